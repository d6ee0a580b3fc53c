//! Refusals for lack of capacity where priorities differ.

use std::collections::BTreeSet;

use kingcupbay_core::{
    backlog::Backlog,
    random::Random,
    retry_after::retry_after,
    time::{Instant, Span},
    wire::metadata::Load,
};

const TARGET: Span = Span::from_millis(300);

fn now() -> Instant {
    Instant::from_micros(1_000_000)
}

/// Creates a backlog whose upstream would answer about 0.2 of the requests too late.
fn backlog() -> Backlog {
    let mut backlog = Backlog::default();
    let load = Load { running: 6, waiting: 12, slots: 6, ..Load::default() };
    backlog.on_answer(now(), "desk-1", load, Span::from_millis(204));
    backlog
}

/// Returns how many of 1,000 requests of each priority are refused.
fn refused(backlog: &mut Backlog, priorities: &[u8]) -> Vec<u32> {
    let mut random = Random::new(1);
    for _ in 0..1_000 {
        for &priority in priorities {
            backlog.on_request(now(), "desk-1", priority);
        }
    }
    let mut counts = Vec::new();
    for &priority in priorities {
        let refuse = |draw| backlog.refuse_by_priority(now(), "desk-1", TARGET, priority, draw);
        counts.push((0..1_000).filter(|_| refuse(random.draw()).is_some()).count() as u32);
    }
    counts
}

/// Guards against refusals of urgent requests while less urgent ones are sent.
#[test]
fn the_less_urgent_are_refused_first() {
    let refused = refused(&mut backlog(), &[0, 1]);
    assert_eq!(refused[0], 0, "{refused:?}");
    assert!((300..=500).contains(&refused[1]), "{refused:?}");
}

/// Guards against another decision where all requests have one priority.
#[test]
fn equal_requests_are_refused_as_before() {
    let mut backlog = backlog();
    let mut random = Random::new(2);
    for _ in 0..1_000 {
        let draw = random.draw();
        backlog.on_request(now(), "desk-1", 2);
        let before = backlog.refuse(now(), "desk-1", TARGET, draw);
        assert_eq!(backlog.refuse_by_priority(now(), "desk-1", TARGET, 2, draw), before);
    }
}

/// Guards against refused callers who all return at once, or the less urgent ones first.
#[test]
fn retries_are_spread_by_priority() {
    let after = Span::from_millis(600);
    let priorities = BTreeSet::from([0, 2, 5]);
    let mut random = Random::new(3);
    for _ in 0..100 {
        let [first, second, third] =
            [0, 2, 5].map(|priority| retry_after(after, priority, &priorities, random.draw()));
        assert!(after <= first && first < second && second < third, "{first:?} {second:?}");
        assert!(third < Span::from_millis(1_200), "{third:?}");
    }
    assert_eq!(retry_after(after, 2, &BTreeSet::from([2]), 17), after);
}
