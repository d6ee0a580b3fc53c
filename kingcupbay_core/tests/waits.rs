//! The timeouts and pauses until a change is known add up to no more than the bounds.

use kingcupbay_core::{
    allowance::Allowance,
    deployment::{
        limiters::LIMITERS_MAX,
        waits::{
            CONFIRM_PAUSE, CONFIRM_TIMEOUT, DENIAL_AGE_MAX, ENTRIES_AGE_MAX, ENTRIES_FEED_WAIT,
            EVACUATION_MAX, FETCH_PAUSE_MIN, FETCH_TIMEOUT, FOLLOWED_FEED_WAIT,
            FOLLOWER_OPERATOR_AGE_MAX, OPERATOR_AGE_MAX, OPERATOR_FEED_PAUSE, OPERATOR_FEED_WAIT,
            OTHER_FEED_PAUSE, OWN_FEED_DELAY, OWN_UPSTREAMS_FEED_PAUSE, PROPAGATION_MAX,
            RECOVERY_MAX, RELAY_PERIOD, RELAYED_FOR, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN,
            STORE_ANSWER_MAX, STORE_CALL_TIMEOUT, UPSTREAMS_AGE_MAX, UPSTREAMS_FEED_WAIT,
        },
    },
    time::{Instant, Span},
};

/// Number of entries in the largest deployment that meets the shortest bound.
const ENTRIES: usize = 27;

/// Usual time of a fetch from another entry.
const FETCH_USUAL: Span = Span::from_millis(150);

/// Returns the time between two usage reports in a fleet of `entries` entries.
fn report_period(entries: usize) -> Span {
    let mut allowance = Allowance::new("entry-0", 1, Instant::default());
    let hosts: Vec<String> = (0..entries).map(|n| format!("entry-{n}")).collect();
    allowance.on_entries(hosts.iter().map(String::as_str));
    allowance.report_period()
}

fn sum(waits: &[Span]) -> Span {
    Span::from_micros(waits.iter().map(|wait| wait.as_micros()).sum())
}

/// Callers would be refused under an older configuration, or sent to an upstream that is
/// leaving, for longer than the bound. No single wait needs to exceed the bound for this,
/// as the waits follow one another.
#[test]
fn a_change_is_known_in_time() {
    let paths = [
        ("a configuration, by the feed", vec![OPERATOR_FEED_PAUSE, STORE_ANSWER_MAX]),
        ("an upstream that leaves, by the feed", vec![OTHER_FEED_PAUSE, STORE_ANSWER_MAX]),
        (
            "the same, at an entry that reports nothing to others",
            vec![OWN_UPSTREAMS_FEED_PAUSE, STORE_ANSWER_MAX],
        ),
        (
            "a configuration, from the second entry asked, as the first did not answer",
            vec![
                OPERATOR_FEED_PAUSE,
                STORE_ANSWER_MAX,
                report_period(ENTRIES),
                OWN_FEED_DELAY,
                FETCH_TIMEOUT,
                FETCH_PAUSE_MIN,
                FETCH_USUAL,
            ],
        ),
        (
            "an upstream that leaves, by the second usage report, as the first was lost",
            vec![
                OTHER_FEED_PAUSE,
                STORE_ANSWER_MAX,
                report_period(ENTRIES),
                report_period(ENTRIES),
            ],
        ),
    ];
    for (path, waits) in paths {
        assert!(sum(&waits) <= PROPAGATION_MAX, "{path}: {:?}", sum(&waits));
    }
}

/// Requests would reach an evacuated zone for longer than the bound. An entry or a sidecar
/// learns of the evacuation by its own feed or by a reader's report, whichever is first;
/// each must be in time alone, with any number of entries.
#[test]
fn an_evacuation_is_known_in_time() {
    let feed = [OPERATOR_FEED_PAUSE, STORE_ANSWER_MAX];
    let slow = [OPERATOR_FEED_PAUSE, STORE_CALL_TIMEOUT];
    let dead = [OPERATOR_FEED_WAIT, STORE_CALL_TIMEOUT, RETRY_PAUSE_MIN, STORE_ANSWER_MAX];
    for (path, waits) in [
        ("by the feed", &feed[..]),
        ("by the feed of a slow store", &slow[..]),
        ("by the feed, once one whose connection died is abandoned", &dead[..]),
    ] {
        assert!(sum(waits) <= EVACUATION_MAX, "{path}: {:?}", sum(waits));
    }
    for entries in [4, 68, 340] {
        let period = report_period(entries);
        // The reader has waited for its own feed, and its first report is lost.
        let reported = sum(&[sum(&slow), period, period, STORE_ANSWER_MAX]);
        assert!(reported <= EVACUATION_MAX, "{entries} entries, by a report: {reported:?}");
    }
}

/// The store, or the connection to it, has recovered, but a feed's connection died in the
/// outage. The feed must be abandoned, and the table read again, before the bounds hold
/// again.
#[test]
fn a_dead_feed_ends_before_the_bounds_hold_again() {
    let dead = sum(&[OPERATOR_FEED_WAIT, STORE_CALL_TIMEOUT, RETRY_PAUSE_MIN, STORE_ANSWER_MAX]);
    assert!(dead <= RECOVERY_MAX, "{dead:?}");
}

/// A listener learns changes from readers instead of the store. Even if all of them or
/// their usage reports fail, it must learn in time that an upstream leaves, with any
/// number of entries.
#[test]
fn a_listener_knows_in_time_without_readers() {
    // The age counts from the reader's answer, which arrives one answer's time after the
    // store sent it.
    let waits = [UPSTREAMS_AGE_MAX, STORE_ANSWER_MAX, STORE_ANSWER_MAX];
    assert!(sum(&waits) <= PROPAGATION_MAX, "{:?}", sum(&waits));
    let dead = sum(&[OPERATOR_AGE_MAX, RETRY_PAUSE_MIN, STORE_ANSWER_MAX]);
    assert!(dead <= RECOVERY_MAX, "{dead:?}");
}

/// Working readers keep the other entries from reading the store: a read position must
/// stay valid until the reader's next answer, and the usage report with it, has arrived.
/// With 340 entries, usage reports come once a second, and read positions of the upstreams
/// expire before the next one.
#[test]
fn working_readers_are_enough() {
    let gaps = [
        (UPSTREAMS_AGE_MAX, [OTHER_FEED_PAUSE, UPSTREAMS_FEED_WAIT]),
        (ENTRIES_AGE_MAX, [OTHER_FEED_PAUSE, ENTRIES_FEED_WAIT]),
        (OPERATOR_AGE_MAX, [OPERATOR_FEED_PAUSE, OPERATOR_FEED_WAIT]),
    ];
    for (listen, gap) in gaps {
        for entries in [4, 27, 68] {
            let whole = sum(&[sum(&gap), report_period(entries)]);
            assert!(whole <= listen, "{entries} entries: {whole:?} of {listen:?}");
        }
    }
}

/// A follower learns changes from limiters, which learn them from readers. With any number of
/// entries, reports must come before what they confirm is too old, and a change must be known in
/// time although one report of a limiter is lost.
#[test]
fn a_follower_knows_in_time() {
    // The number of limiters is the same in all fleets that have followers.
    let report = report_period(LIMITERS_MAX);
    let upstreams = sum(&[OTHER_FEED_PAUSE, UPSTREAMS_FEED_WAIT, report, RELAY_PERIOD]);
    assert!(upstreams <= UPSTREAMS_AGE_MAX, "{upstreams:?}");
    let operator = sum(&[OPERATOR_FEED_PAUSE, FOLLOWED_FEED_WAIT, report, RELAY_PERIOD]);
    assert!(operator <= FOLLOWER_OPERATOR_AGE_MAX, "{operator:?}");
    let changed = sum(&[
        OPERATOR_FEED_PAUSE,
        STORE_ANSWER_MAX,
        report,
        RELAY_PERIOD,
        RELAY_PERIOD,
        STORE_ANSWER_MAX,
    ]);
    assert!(changed <= PROPAGATION_MAX, "{changed:?}");
    let left = sum(&[OTHER_FEED_PAUSE, STORE_ANSWER_MAX, report, RELAY_PERIOD, RELAY_PERIOD]);
    assert!(left <= PROPAGATION_MAX, "{left:?}");
    let silent = sum(&[FOLLOWER_OPERATOR_AGE_MAX, STORE_ANSWER_MAX, STORE_ANSWER_MAX]);
    assert!(silent <= PROPAGATION_MAX, "{silent:?}");
    assert!(RELAYED_FOR >= sum(&[RELAY_PERIOD, RELAY_PERIOD, RELAY_PERIOD]));
}

/// A request is denied by a configuration that another one has replaced for longer than the
/// bound. Whoever confirms it, its age when the caller gets the answer must stay below it.
#[test]
fn a_denial_is_by_a_configuration_of_known_age() {
    let feed = sum(&[STORE_ANSWER_MAX, DENIAL_AGE_MAX]);
    assert!(feed <= PROPAGATION_MAX, "by the feed: {feed:?}");
    let store = sum(&[DENIAL_AGE_MAX, CONFIRM_TIMEOUT]);
    assert!(store <= PROPAGATION_MAX, "by the store: {store:?}");
    // The store does not answer this entry.
    let entries = sum(&[STORE_ANSWER_MAX, OPERATOR_AGE_MAX, CONFIRM_TIMEOUT]);
    assert!(entries <= RECOVERY_MAX, "by other entries: {entries:?}");
    // The pause between two calls must end before the feed's answer is too old.
    assert!(CONFIRM_PAUSE <= DENIAL_AGE_MAX);
}

/// A change takes longer than the bound of a larger fleet: 3 s up to 32 entries, 4 s up to 72 and
/// 5 s beyond.
#[test]
fn a_change_is_known_in_time_in_large_fleets() {
    let deployed = [
        (27, Span::from_secs(2)),
        (29, Span::from_secs(3)),
        (72, Span::from_secs(4)),
        (340, Span::from_secs(5)),
        (700, Span::from_secs(5)),
    ];
    for (entries, bound) in deployed {
        let reporters = entries.min(LIMITERS_MAX);
        let report = report_period(reporters);
        let reader = sum(&[OPERATOR_FEED_PAUSE, STORE_ANSWER_MAX]);
        // One report is lost, and the reading of what it names takes the longest.
        let told = sum(&[reader, report, report, STORE_ANSWER_MAX, STORE_CALL_TIMEOUT]);
        let fetched = sum(&[
            reader,
            report_period(entries),
            OWN_FEED_DELAY,
            FETCH_TIMEOUT,
            FETCH_PAUSE_MIN,
            FETCH_USUAL,
        ]);
        let relayed = sum(&[reader, report, RELAY_PERIOD, RELAY_PERIOD, STORE_CALL_TIMEOUT]);
        for (path, time) in [("told", told), ("fetched", fetched), ("relayed", relayed)] {
            assert!(time <= bound, "{entries} entries, {path}: {time:?} of {bound:?}");
        }
    }
}

/// Returns the time from the end of the store's trouble until a reader of the operator's rows
/// knows a change of that moment. `calls` says how its calls fail until then: they are refused,
/// unanswered, or answered when their wait ends.
fn recovery_time(calls: &[u8], trouble: Span) -> Span {
    let (mut now, mut pause, mut is_feed) = (Span::ZERO, RETRY_PAUSE_MIN, true);
    for call in calls.iter().cycle() {
        let wait = if is_feed { OPERATOR_FEED_WAIT } else { Span::ZERO };
        let began = now;
        let is_sound = began >= trouble;
        let failed = match call % 3 {
            _ if is_sound => None,
            0 => Some(STORE_ANSWER_MAX),
            1 => Some(wait + STORE_CALL_TIMEOUT),
            _ => None,
        };
        now = now
            + match failed {
                Some(time) => time,
                None if is_sound => STORE_ANSWER_MAX,
                None => wait + STORE_ANSWER_MAX,
            };
        // An answer shows the change if it is given afterwards.
        if failed.is_none() && now > trouble {
            return now.saturating_sub(trouble);
        }
        if failed.is_some() {
            now = now + pause;
            pause = (pause + pause).min(RETRY_PAUSE_MAX);
        } else {
            pause = RETRY_PAUSE_MIN;
        }
        is_feed = failed.is_none();
    }
    Span::ZERO
}

quickcheck::quickcheck! {
    /// A series of failed calls keeps a reader from a change for longer than the bounds allow
    /// after the store's trouble.
    fn any_series_of_failed_calls_ends_in_time(calls: Vec<u8>, trouble: u16) -> bool {
        let trouble = Span::from_millis(u64::from(trouble % 8_000));
        calls.is_empty() || recovery_time(&calls, trouble) <= RECOVERY_MAX
    }
}
