//! The waits on the way of a change add up to no more than the bounds.

use kingcupbay_core::{
    allowance::Allowance,
    deployment::waits::{
        ANSWER, ENTRIES_LISTEN, ENTRY_FEED, FETCH, FETCH_PAUSE, KNOWN, MEMBERS_FEED,
        OPERATOR_LISTEN, OPERATOR_PAUSE, OTHER_PAUSE, OWN_FEED, RETRY_MIN, SOUND, STEADY,
        UPSTREAMS_FEED, UPSTREAMS_LISTEN,
    },
    time::{Instant, Span},
};

/// Entries of the largest deployment that keeps the shortest bound.
const ENTRIES: usize = 27;

/// Another entry's rows mostly come within this.
const FETCHED: Span = Span::from_millis(150);

/// Time between two tallies of `entries` entries.
fn tally(entries: usize) -> Span {
    let mut allowance = Allowance::new("entry-0", 1, Instant::default());
    let hosts: Vec<String> = (0..entries).map(|n| format!("entry-{n}")).collect();
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
            vec![OPERATOR_PAUSE, SOUND, tally(ENTRIES), OWN_FEED, FETCH, FETCH_PAUSE, FETCHED],
        ),
        (
            "an upstream that leaves, by the second tally, as the first was lost",
            vec![OTHER_PAUSE, SOUND, tally(ENTRIES), tally(ENTRIES)],
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

/// A listener hears from readers what the store would have told it. Whatever becomes of
/// them and of their tallies, it knows of an upstream that leaves in time, however many
/// entries there are.
#[test]
fn a_listener_knows_in_time_without_readers() {
    // As of the reader's answer, which comes one answer's time after the store's.
    let waits = [UPSTREAMS_LISTEN, SOUND, SOUND];
    assert!(sum(&waits) <= KNOWN, "{:?}", sum(&waits));
    let dead = sum(&[OPERATOR_LISTEN, RETRY_MIN, SOUND]);
    assert!(dead <= STEADY, "{dead:?}");
}

/// Readers that do their work keep the others from reading: from one of their answers to
/// the next, a tally and its way, another reading still counts. With 340 entries tallies
/// come each second, and readings of upstreams do not last until the next one.
#[test]
fn readers_that_work_are_enough() {
    let gaps = [
        (UPSTREAMS_LISTEN, [OTHER_PAUSE, UPSTREAMS_FEED]),
        (ENTRIES_LISTEN, [OTHER_PAUSE, MEMBERS_FEED]),
        (OPERATOR_LISTEN, [OPERATOR_PAUSE, ENTRY_FEED]),
    ];
    for (listen, gap) in gaps {
        for entries in [4, 27, 68] {
            let whole = sum(&[sum(&gap), tally(entries)]);
            assert!(whole <= listen, "{entries} entries: {whole:?} of {listen:?}");
        }
    }
}
