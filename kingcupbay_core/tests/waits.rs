//! The waits on the way of a change add up to no more than the bounds.

use kingcupbay_core::{
    allowance::Allowance,
    deployment::waits::{
        ANSWER, ENTRY_FEED, FETCH, FETCH_PAUSE, KNOWN, OPERATOR_PAUSE, OTHER_PAUSE, OWN_FEED,
        RETRY_MIN, SOUND, STEADY,
    },
    time::{Instant, Span},
};

/// Entries of the largest deployment that keeps the shortest bound.
const ENTRIES: usize = 27;

/// Another entry's rows mostly come within this.
const FETCHED: Span = Span::from_millis(150);

/// Time between two tallies there.
fn tally() -> Span {
    let mut allowance = Allowance::new("entry-0", 1, Instant::default());
    let hosts: Vec<String> = (0..ENTRIES).map(|n| format!("entry-{n}")).collect();
    allowance.on_entries(hosts.iter().map(String::as_str));
    allowance.period()
}

fn sum(waits: &[Span]) -> Span {
    Span::from_micros(waits.iter().map(|wait| wait.as_micros()).sum())
}

/// Callers were refused by an older configuration, or sent to an upstream that was
/// leaving, past the bound. No single wait was longer than it; they followed one another,
/// and stood in different files, so that none of them looked wrong.
#[test]
fn a_change_is_known_in_time() {
    let ways = [
        ("a configuration, by the feed", vec![OPERATOR_PAUSE, SOUND]),
        ("an upstream that leaves, by the feed", vec![OTHER_PAUSE, SOUND]),
        (
            "a configuration, from the second entry asked, as the first did not answer",
            vec![OPERATOR_PAUSE, SOUND, tally(), OWN_FEED, FETCH, FETCH_PAUSE, FETCHED],
        ),
        (
            "an upstream that leaves, by the second tally, as the first was lost",
            vec![OTHER_PAUSE, SOUND, tally(), tally()],
        ),
    ];
    for (way, waits) in ways {
        assert!(sum(&waits) <= KNOWN, "{way}: {:?}", sum(&waits));
    }
}

/// The store, or the way to it, is back, but a feed's connection died with it: the feed
/// is given up, and the table read anew, before the bounds hold again.
#[test]
fn a_dead_feed_is_over_before_the_bounds_hold_again() {
    let dead = sum(&[ENTRY_FEED, ANSWER, RETRY_MIN, SOUND]);
    assert!(dead <= STEADY, "{dead:?}");
}
