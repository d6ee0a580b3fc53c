//! Tests of the fair queue: token accounting, order of service, deadlines and
//! limits.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    id::{Id, OrganisationId, RequestId, VersionId},
    queue::{Entry, Limits, Queue},
    time::{Instant, Span},
    wire::error::{Code, Ran},
};
use quickcheck::{Arbitrary, Gen};

const LIMITS: Limits = Limits { max_waiting: 8, min_runtime: Span::from_millis(50), max_lag: 500 };

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn organisation(raw: u32) -> OrganisationId {
    OrganisationId::from_raw(raw)
}

fn version(raw: u32) -> VersionId {
    VersionId::from_raw(raw)
}

fn id(number: u64) -> RequestId {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    RequestId(bytes)
}

fn entry(number: u64, owner: u32, tokens: u64, now: Instant) -> Entry {
    Entry {
        request: id(number),
        organisation: organisation(owner),
        version: version(owner),
        tokens,
        deadline: now + Span::from_secs(60),
        enqueued: now,
    }
}

/// Organisation 1 sends five times as many requests as organisation 2, and sends
/// them first. In a first-in-first-out queue, organisation 2 would wait behind
/// all of them.
#[test]
fn the_smaller_organisation_is_served_in_turn() {
    let mut queue = Queue::new(Limits { max_waiting: 100, ..LIMITS });
    for number in 0..50 {
        assert_eq!(queue.push(at(0), entry(number, 1, 100, at(0))), None);
    }
    for number in 50..60 {
        assert_eq!(queue.push(at(1), entry(number, 2, 100, at(1))), None);
    }
    let mut owners = Vec::new();
    for _ in 0..20 {
        owners.push(queue.start_next(at(2), |_| true).unwrap().organisation.raw());
    }
    assert_eq!(owners.iter().filter(|&&owner| owner == 2).count(), 10);
}

/// A request uses more, then fewer tokens than expected. Without correction the
/// organisation would be served too early or too late afterwards.
#[test]
fn the_actual_token_count_replaces_the_expected_one() {
    let mut queue = Queue::new(LIMITS);
    queue.push(at(0), entry(1, 1, 1_000, at(0)));
    queue.push(at(0), entry(2, 1, 1_000, at(0)));
    queue.start_next(at(0), |_| true).unwrap();
    assert_eq!(queue.counter(organisation(1)), 1_000);
    queue.add_tokens(id(1), 900);
    queue.add_tokens(id(1), 300);
    assert_eq!(queue.counter(organisation(1)), 1_200);
    queue.finish(id(1), 250);
    queue.finish(id(1), 250);
    assert_eq!(queue.counter(organisation(1)), 250);
    assert_eq!(queue.running(), 0);
}

/// An organisation is idle and then sends many requests. If its counter stayed
/// behind while it was idle, all others would wait until it had caught up.
#[test]
fn idle_time_earns_no_credit() {
    let mut queue = Queue::new(Limits { max_waiting: 100, ..LIMITS });
    for number in 0..20 {
        queue.push(at(0), entry(number, 1, 100, at(0)));
    }
    for _ in 0..10 {
        queue.start_next(at(0), |_| true).unwrap();
    }
    for number in 20..40 {
        queue.push(at(5), entry(number, 2, 100, at(5)));
    }
    let owners: Vec<_> =
        (0..8).map(|_| queue.start_next(at(6), |_| true).unwrap().organisation.raw()).collect();
    assert_eq!(owners.iter().filter(|&&owner| owner == 1).count(), 4, "{owners:?}");
}

/// An organisation's adapters load for a long time while others are served. If
/// its lag were not bounded, it would afterwards be the only one served for as
/// long.
#[test]
fn a_lane_delayed_by_loads_catches_up_within_max_lag() {
    let mut queue = Queue::new(Limits { max_waiting: 200, ..LIMITS });
    for number in 0..50 {
        queue.push(at(0), entry(number, 1, 100, at(0)));
        queue.push(at(0), entry(100 + number, 2, 100, at(0)));
    }
    for _ in 0..30 {
        let started = queue.start_next(at(0), |wanted| wanted == version(2)).unwrap();
        assert_eq!(started.organisation, organisation(2));
    }
    let owners: Vec<_> =
        (0..10).map(|_| queue.start_next(at(1), |_| true).unwrap().organisation.raw()).collect();
    let ones = owners.iter().filter(|&&owner| owner == 1).count();
    assert!((5..=8).contains(&ones), "{owners:?}");
}

/// The oldest request of a lane waits for a load. The engine must start a later
/// one whose adapter is loaded instead of idling.
#[test]
fn a_loaded_adapter_overtakes_one_that_loads() {
    let mut queue = Queue::new(LIMITS);
    let cold = Entry { version: version(9), ..entry(1, 1, 10, at(0)) };
    queue.push(at(0), cold);
    queue.push(at(0), entry(2, 1, 10, at(0)));
    assert_eq!(queue.start_next(at(0), |wanted| wanted != version(9)).unwrap().request, id(2));
    assert_eq!(queue.start_next(at(0), |wanted| wanted != version(9)), None);
    assert_eq!(queue.start_next(at(0), |_| true).unwrap().request, id(1));
}

/// A request cannot meet its deadline, on arrival or after waiting. It must be
/// refused as not run, with a retry delay, and must not be started.
#[test]
fn an_unreachable_deadline_is_refused_immediately_as_not_run() {
    let mut queue = Queue::new(LIMITS);
    let urgent = Entry { deadline: at(40), ..entry(1, 1, 10, at(0)) };
    let given_up = queue.push(at(0), urgent).unwrap();
    assert_eq!((given_up.code, given_up.failure().ran), (Code::Deadline, Ran::NotRun));
    let relaxed = Entry { deadline: at(100), ..entry(2, 1, 10, at(0)) };
    assert_eq!(queue.push(at(0), relaxed), None);
    assert_eq!(queue.expire(at(50)), []);
    let due = queue.next_expiry().unwrap();
    assert_eq!(
        queue.start_next(due, |_| true),
        None,
        "a request that cannot meet its deadline starts"
    );
    let given_up = queue.expire(due);
    assert_eq!(given_up[0].entry.request, id(2));
    assert!(given_up[0].failure().retry_after.unwrap() >= Span::from_secs(1));
    assert!(queue.is_empty() && queue.waits().is_empty());
}

/// The engine starts one request per second and twenty-one requests wait. A new
/// request with a deadline of ten seconds would only be refused later if it were
/// enqueued.
#[test]
fn a_wait_longer_than_the_deadline_is_refused_on_arrival() {
    let mut queue = Queue::new(Limits { max_waiting: 100, ..LIMITS });
    for number in 0..30 {
        queue.push(at(0), entry(number, 1, 10, at(0)));
    }
    for second in 1..10 {
        queue.start_next(at(1_000 * second), |_| true).unwrap();
    }
    let now = at(9_000);
    let urgent = Entry { deadline: now + Span::from_secs(10), ..entry(90, 1, 10, now) };
    let given_up = queue.push(now, urgent).unwrap();
    assert_eq!((given_up.code, given_up.retry_after), (Code::Deadline, Span::from_secs(21)));
    let other = Entry { deadline: now + Span::from_secs(10), ..entry(91, 2, 10, now) };
    assert_eq!(queue.push(now, other), None, "a request in a short lane is refused");
}

/// The engine slows down while requests wait. Their callers can still retry
/// elsewhere in time, but only if they are notified well before the deadline.
#[test]
fn a_wait_that_grows_beyond_the_deadline_is_answered_early() {
    let mut queue = Queue::new(Limits { max_waiting: 100, ..LIMITS });
    for number in 0..20 {
        let entry = Entry { deadline: at(40_000), ..entry(number, 1, 10, at(0)) };
        assert_eq!(queue.push(at(0), entry), None);
    }
    for second in 1..6 {
        queue.start_next(at(10_000 + 1_000 * second), |_| true).unwrap();
    }
    assert_eq!(queue.expire(at(15_000)), [], "14 seconds of waiting, 25 seconds left");
    queue.start_next(at(31_000), |_| true).unwrap();
    let expired: Vec<_> =
        queue.expire(at(31_000)).iter().map(|given_up| given_up.entry.request).collect();
    // The mean interval is now 2.875 s: half of seven intervals exceeds the 8.95 s
    // left.
    assert_eq!(expired, (13..20).map(id).collect::<Vec<_>>());
}

/// One organisation fills the queue. Its own next request must be refused, and a
/// request of another organisation must evict its newest one.
#[test]
fn a_full_queue_refuses_the_longest_lane_first() {
    let mut queue = Queue::new(LIMITS);
    for number in 0..8 {
        assert_eq!(queue.push(at(0), entry(number, 1, 10, at(0))), None);
    }
    let refused = queue.push(at(1), entry(8, 1, 10, at(1))).unwrap();
    assert_eq!((refused.entry.request, refused.code), (id(8), Code::Overloaded));
    let evicted = queue.push(at(1), entry(9, 2, 10, at(1))).unwrap();
    assert_eq!((evicted.entry.request, evicted.code), (id(7), Code::Overloaded));
    assert_eq!((queue.len(), queue.waits().len()), (8, 2));
}

/// An entry daemon loses its connection and sends the request again while the
/// first attempt waits or runs here. If both were accepted, the end of the first
/// would unpin the adapter used by the second. Reporting "not run" would be wrong.
#[test]
fn a_second_attempt_is_refused_while_the_first_is_present() {
    let mut queue = Queue::new(LIMITS);
    let once = entry(1, 1, 100, at(0));
    assert_eq!(queue.push(at(0), once), None);
    for started in [false, true] {
        if started {
            queue.start_next(at(1), |_| true).unwrap();
        }
        let again = queue.push(at(2), Entry { enqueued: at(2), ..once }).unwrap();
        assert_eq!((again.code, again.failure().ran), (Code::OutcomeUnknown, Ran::Unknown));
        assert_eq!(queue.len() + queue.running(), 1);
    }
    queue.finish(id(1), 100);
    assert_eq!(queue.push(at(3), once), None);
}

/// A load fails, then the daemon stops. Every request that waits for the version,
/// or at all, must be given up; otherwise its caller waits until its deadline.
#[test]
fn a_failed_load_and_a_stop_give_up_every_waiting_request() {
    let mut queue = Queue::new(LIMITS);
    for number in 0..3 {
        queue.push(at(0), entry(number, 1 + number as u32 / 2, 10, at(0)));
    }
    let failed = queue.fail(version(1), Span::from_secs(2));
    assert_eq!(failed.iter().map(|one| one.entry.request).collect::<Vec<_>>(), [id(0), id(1)]);
    assert!(failed.iter().all(|one| one.retry_after == Span::from_secs(2)));
    assert_eq!(queue.cancel(id(0)), None);
    assert_eq!(queue.close()[0].code, Code::Stopping);
    assert!(queue.is_empty());
}

/// Random commands against a simple model: no request is lost, duplicated or
/// started while its version is not ready.
#[test]
fn random_sessions_lose_no_request() {
    for seed in 0..200 {
        let mut source = Gen::from_size_and_seed(64, seed);
        let mut queue = Queue::new(LIMITS);
        let mut waiting: BTreeMap<RequestId, Entry> = BTreeMap::new();
        let mut running = Vec::new();
        for step in 0..300u64 {
            let now = at(step * 10);
            match u8::arbitrary(&mut source) % 6 {
                0..=2 => {
                    let owner = u32::from(u8::arbitrary(&mut source) % 4);
                    let span = Span::from_millis(u64::from(u8::arbitrary(&mut source)) * 10);
                    let new = Entry { deadline: now + span, ..entry(step, owner, 100, now) };
                    waiting.insert(new.request, new);
                    if let Some(given_up) = queue.push(now, new) {
                        assert_eq!(waiting.remove(&given_up.entry.request), Some(given_up.entry));
                    }
                }
                3 => {
                    let odd = |wanted: VersionId| wanted.raw() % 2 == 1;
                    if let Some(started) = queue.start_next(now, odd) {
                        assert!(odd(started.version) && started.deadline >= now);
                        assert_eq!(waiting.remove(&started.request), Some(started));
                        running.push(started.request);
                    }
                }
                4 => {
                    for given_up in queue.expire(now) {
                        assert_eq!(waiting.remove(&given_up.entry.request), Some(given_up.entry));
                    }
                    assert!(queue.next_expiry().is_none_or(|next| next > now));
                }
                _ => running.pop().into_iter().for_each(|request| queue.finish(request, 70)),
            }
            assert_eq!((queue.len(), queue.running()), (waiting.len(), running.len()));
            let waits: u32 = queue.waits().iter().map(|wait| wait.count).sum();
            assert_eq!(waits as usize, waiting.len());
        }
    }
}
