//! The waits on the way of a change add up to no more than the bounds.

use kingcupbay_core::{
    allowance::Allowance,
    deployment::waits::{
        ENTRIES_AGE_MAX, ENTRIES_FEED_WAIT, FETCH_PAUSE_MIN, FETCH_TIMEOUT, OPERATOR_AGE_MAX,
        OPERATOR_FEED_PAUSE, OPERATOR_FEED_WAIT, OTHER_FEED_PAUSE, OWN_FEED_DELAY, PROPAGATION_MAX,
        RECOVERY_MAX, RETRY_PAUSE_MIN, STORE_ANSWER_MAX, STORE_CALL_TIMEOUT, UPSTREAMS_AGE_MAX,
        UPSTREAMS_FEED_WAIT,
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
    allowance.report_period()
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
        ("a configuration, by the feed", vec![OPERATOR_FEED_PAUSE, STORE_ANSWER_MAX]),
        ("an upstream that leaves, by the feed", vec![OTHER_FEED_PAUSE, STORE_ANSWER_MAX]),
        (
            "a configuration, from the second entry asked, as the first did not answer",
            vec![
                OPERATOR_FEED_PAUSE,
                STORE_ANSWER_MAX,
                tally(ENTRIES),
                OWN_FEED_DELAY,
                FETCH_TIMEOUT,
                FETCH_PAUSE_MIN,
                FETCHED,
            ],
        ),
        (
            "an upstream that leaves, by the second tally, as the first was lost",
            vec![OTHER_FEED_PAUSE, STORE_ANSWER_MAX, tally(ENTRIES), tally(ENTRIES)],
        ),
    ];
    for (way, waits) in ways {
        assert!(sum(&waits) <= PROPAGATION_MAX, "{way}: {:?}", sum(&waits));
    }
}

/// The store, or the way to it, is back, but a feed's connection died with it: the feed
/// is given up, and the table read anew, before the bounds hold again.
#[test]
fn a_dead_feed_is_over_before_the_bounds_hold_again() {
    let dead = sum(&[OPERATOR_FEED_WAIT, STORE_CALL_TIMEOUT, RETRY_PAUSE_MIN, STORE_ANSWER_MAX]);
    assert!(dead <= RECOVERY_MAX, "{dead:?}");
}

/// A listener hears from readers what the store would have told it. Whatever becomes of
/// them and of their tallies, it knows of an upstream that leaves in time, however many
/// entries there are.
#[test]
fn a_listener_knows_in_time_without_readers() {
    // As of the reader's answer, which comes one answer's time after the store's.
    let waits = [UPSTREAMS_AGE_MAX, STORE_ANSWER_MAX, STORE_ANSWER_MAX];
    assert!(sum(&waits) <= PROPAGATION_MAX, "{:?}", sum(&waits));
    let dead = sum(&[OPERATOR_AGE_MAX, RETRY_PAUSE_MIN, STORE_ANSWER_MAX]);
    assert!(dead <= RECOVERY_MAX, "{dead:?}");
}

/// Readers that do their work keep the others from reading: from one of their answers to
/// the next, a tally and its way, another reading still counts. With 340 entries tallies
/// come each second, and readings of upstreams do not last until the next one.
#[test]
fn readers_that_work_are_enough() {
    let gaps = [
        (UPSTREAMS_AGE_MAX, [OTHER_FEED_PAUSE, UPSTREAMS_FEED_WAIT]),
        (ENTRIES_AGE_MAX, [OTHER_FEED_PAUSE, ENTRIES_FEED_WAIT]),
        (OPERATOR_AGE_MAX, [OPERATOR_FEED_PAUSE, OPERATOR_FEED_WAIT]),
    ];
    for (listen, gap) in gaps {
        for entries in [4, 27, 68] {
            let whole = sum(&[sum(&gap), tally(entries)]);
            assert!(whole <= listen, "{entries} entries: {whole:?} of {listen:?}");
        }
    }
}
