//! Tests of the adapter slots: pins, load orders, eviction and engine reports.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    id::{Id, OrganisationId, RequestId, VersionId},
    queue::Wait,
    slot::{Action, EngineReport, Limits, Order, Outcome, SlotState, Slots},
    time::{Instant, Span},
};
use quickcheck::{Arbitrary, Gen};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn v(raw: u32) -> VersionId {
    VersionId::from_raw(raw)
}

fn id(number: u8) -> RequestId {
    RequestId([number; 16])
}

fn wait(version: u32, count: u32, since: u64) -> Wait {
    let organisation = OrganisationId::from_raw(version % 2);
    Wait { version: v(version), organisation, count, oldest: at(since) }
}

fn slots(count: u32) -> Slots {
    Slots::new(Limits::default(), count, 7)
}

fn order(action: Action) -> Order {
    match action {
        Action::Load { order, .. } | Action::Unload { order, .. } => order,
        other => panic!("{other:?} carries no order"),
    }
}

/// Loads `versions` one after another at `millis`.
fn load(slots: &mut Slots, millis: u64, versions: &[u32]) {
    for &version in versions {
        let planned = slots.plan(at(millis), &[wait(version, 1, millis)], 1);
        assert_eq!(slots.on_load(at(millis), order(planned[0]), Outcome::Done), []);
        assert!(slots.is_ready(v(version)));
    }
}

fn report(incarnation: u64, as_of: u64, loaded: &[u32]) -> EngineReport {
    EngineReport { incarnation, as_of: at(as_of), loaded: loaded.iter().map(|&n| v(n)).collect() }
}

/// More versions wait than the budget allows. Those with the longest total wait
/// must be loaded first, and no more than the budget.
#[test]
fn the_longest_total_wait_loads_first_within_the_budget() {
    let mut slots = slots(4);
    let waits = [wait(1, 1, 900), wait(2, 5, 900), wait(3, 1, 0)];
    let planned = slots.plan(at(1_000), &waits, 2);
    let versions: Vec<_> = planned
        .iter()
        .map(|action| match action {
            Action::Load { version, order } => (version.raw(), order.fencing),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(versions, [(2, 7), (3, 7)]);
    assert_eq!(slots.loading(), 2);
    assert_eq!(slots.plan(at(1_001), &waits, 0), []);
}

/// One organisation keeps requesting further adapters. If loads were ordered by
/// wait alone, its loads would delay those of all other organisations.
#[test]
fn the_organisation_with_the_fewest_loads_goes_first() {
    let mut slots = slots(8);
    load(&mut slots, 0, &[1, 3, 5]);
    let planned = slots.plan(at(100), &[wait(2, 1, 100), wait(7, 9, 0)], 1);
    assert!(matches!(planned[..], [Action::Load { version, .. }] if version == v(2)));
}

/// A request runs on adapter 1 when another request needs a slot. Evicting
/// adapter 1 would cut off the answer or complete it incorrectly.
#[test]
fn a_pinned_version_is_not_evicted() {
    let mut slots = slots(2);
    load(&mut slots, 0, &[1, 2]);
    for _ in 0..5 {
        slots.touch(at(1), v(2));
    }
    let pin = slots.pin(v(1), id(1)).unwrap();
    assert!(slots.pin(v(1), id(1)).is_none(), "one request holds one pin");
    let planned = slots.plan(at(2), &[wait(3, 1, 2)], 4);
    assert!(matches!(planned[..], [Action::Unload { version, .. }] if version == v(2)));
    slots.on_unload(at(3), order(planned[0]), Outcome::Done);
    load(&mut slots, 3, &[3]);
    let other = slots.pin(v(3), id(2)).unwrap();
    assert_eq!(slots.plan(at(4), &[wait(4, 1, 4)], 4), []);
    drop(pin);
    let planned = slots.plan(at(5), &[wait(4, 1, 4)], 4);
    assert!(matches!(planned[..], [Action::Unload { version, .. }] if version == v(1)));
    assert_eq!((other.version(), other.request()), (v(3), id(2)));
}

/// A load needs a slot while none is empty. The version with the lowest recent
/// use must be evicted, but not one that a request waits for.
#[test]
fn the_least_used_version_is_evicted_unless_awaited() {
    let mut slots = slots(3);
    load(&mut slots, 0, &[1, 2, 3]);
    for (version, uses) in [(1, 8), (2, 2), (3, 4)] {
        (0..uses).for_each(|_| slots.touch(at(0), v(version)));
    }
    let planned = slots.plan(at(1), &[wait(2, 1, 1), wait(4, 1, 1)], 4);
    assert!(matches!(planned[..], [Action::Unload { version, .. }] if version == v(3)));
    // Five half-lives later eight old uses count less than one new one.
    let later = 5 * 60_000;
    slots.touch(at(later), v(2));
    slots.on_unload(at(later), order(planned[0]), Outcome::Done);
    load(&mut slots, later, &[4]);
    slots.touch(at(later), v(4));
    let planned = slots.plan(at(later), &[wait(5, 1, later)], 4);
    assert!(matches!(planned[..], [Action::Unload { version, .. }] if version == v(1)));
}

/// Two adapters are in constant use, so their slots are never unpinned. Without
/// draining, a request for a third adapter would wait until its deadline, and so
/// would all later ones.
#[test]
fn busy_adapters_do_not_starve_a_waiting_one() {
    let mut slots = slots(2);
    load(&mut slots, 0, &[1, 2]);
    slots.touch(at(0), v(2));
    let mut pin = slots.pin(v(1), id(1)).unwrap();
    let _other = slots.pin(v(2), id(9)).unwrap();
    let mut started = 1;
    let mut unload = None;
    for step in 1..100 {
        let now = at(100 * step);
        if slots.is_ready(v(1)) {
            pin = slots.pin(v(1), id(10 + step as u8)).unwrap();
            started += 1;
        }
        unload = slots.plan(now, &[wait(1, 1, 100 * step), wait(3, 1, 0)], 4).pop();
        if !slots.is_ready(v(1)) {
            break;
        }
    }
    assert!((10..13).contains(&started), "{started} requests started before the slot was drained");
    assert_eq!(unload, None, "the last request still runs");
    drop(pin);
    let planned = slots.plan(at(5_000), &[wait(1, 1, 4_000), wait(3, 1, 0)], 4);
    assert!(matches!(planned[..], [Action::Unload { version, .. }] if version == v(1)));
}

/// A load fails twice. Its requests must be failed, and a new load must wait for a
/// delay that doubles; otherwise a broken adapter would be loaded continuously.
#[test]
fn a_failed_load_is_reported_and_backed_off() {
    let mut slots = slots(1);
    let planned = slots.plan(at(0), &[wait(1, 3, 0)], 1);
    let actions = slots.on_load(at(250), order(planned[0]), Outcome::Failed);
    let first = Span::from_millis(250);
    assert_eq!(actions, [Action::Failed { version: v(1), retry_after: first }]);
    assert_eq!(slots.backoff(at(250), v(1)), Some(first));
    assert_eq!(slots.plan(at(499), &[wait(1, 1, 499)], 1), []);
    let again = slots.plan(at(500), &[wait(1, 1, 500)], 1);
    let actions = slots.on_load(at(750), order(again[0]), Outcome::Failed);
    assert_eq!(actions, [Action::Failed { version: v(1), retry_after: Span::from_millis(500) }]);
    load(&mut slots, 1_250, &[1]);
    assert_eq!(slots.backoff(at(1_250), v(1)), None);
}

/// The engine restarts empty while two requests run and a load is in flight.
/// Without notification their callers would wait for tokens that never come, and
/// the answer to the old load order would mark a version as loaded that is not.
#[test]
fn a_restart_empties_every_slot_and_notifies_its_requests() {
    let mut slots = slots(3);
    slots.on_report(at(0), &report(1, 0, &[]));
    load(&mut slots, 1, &[1, 2]);
    (0..3).for_each(|_| slots.touch(at(2), v(1)));
    let _first = slots.pin(v(1), id(1)).unwrap();
    let _second = slots.pin(v(2), id(2)).unwrap();
    let old_order = order(slots.plan(at(10), &[wait(3, 1, 10)], 1)[0]);
    let actions = slots.on_report(at(20), &report(2, 15, &[]));
    assert_eq!(actions, [Action::Lost { request: id(1) }, Action::Lost { request: id(2) }]);
    slots.on_load(at(21), old_order, Outcome::Done);
    assert!(!slots.is_ready(v(3)) && !slots.is_ready(v(1)));
    // No request waits, so the most used version is prefetched, unless the rest of
    // the budget is reserved for loads that requests wait for.
    assert_eq!(slots.plan(at(30), &[], Limits::default().prefetch_reserve), []);
    let planned = slots.plan(at(30), &[], Limits::default().prefetch_reserve + 2);
    assert!(matches!(planned[..], [Action::Load { version, .. }] if version == v(1)));
}

/// Reports show the engine as it was before the last orders. Applying them would
/// drop a version that was just loaded, or restore one that was just unloaded.
#[test]
fn recent_orders_override_a_lagging_report() {
    let mut slots = slots(2);
    load(&mut slots, 0, &[1]);
    load(&mut slots, 100, &[2]);
    assert_eq!(slots.on_report(at(200), &report(1, 50, &[1])), []);
    assert!(slots.is_ready(v(2)), "the report is older than the load");
    let unload = slots.plan(at(300), &[wait(3, 1, 300)], 1)[0];
    slots.on_unload(at(310), order(unload), Outcome::Done);
    assert_eq!(slots.on_report(at(320), &report(1, 305, &[1, 2])), []);
    assert_eq!(slots.loaded_versions().len(), 1, "an unloaded version is not taken back");
    assert_eq!(slots.on_report(at(400), &report(1, 300, &[])), [], "older than the last");
    assert!(slots.is_ready(v(2)));
    slots.on_report(at(500), &report(1, 490, &[]));
    assert_eq!(slots.loaded_versions(), []);
}

/// A new daemon finds versions that a previous one loaded. They must fill its
/// slots, and those without a slot must be unloaded.
#[test]
fn a_predecessors_versions_are_taken_over_or_unloaded() {
    let mut slots = slots(2);
    let actions = slots.on_report(at(10), &report(1, 5, &[1, 2, 3]));
    assert!(matches!(actions[..], [Action::Unload { version, .. }] if version == v(3)));
    assert_eq!(slots.loaded_versions(), [v(1), v(2)]);
}

/// The answer to a load order is lost. Only a report that is newer than the order
/// may decide whether the version is loaded; later answers must be ignored.
#[test]
fn a_report_decides_an_order_whose_answer_was_lost() {
    for (loaded, ready) in [(vec![1], true), (vec![], false)] {
        let mut slots = slots(1);
        let planned = slots.plan(at(0), &[wait(1, 1, 0)], 1);
        let sent = order(planned[0]);
        assert_eq!(slots.on_load(at(900), sent, Outcome::Unknown), [Action::RequestReport]);
        assert_eq!(slots.on_load(at(901), sent, Outcome::Done), [], "one order, one answer");
        slots.on_report(at(950), &report(1, 100, &loaded));
        assert_eq!(slots.view()[0].state, SlotState::Loading, "the report is too old");
        let actions = slots.on_report(at(1_000), &report(1, 990, &loaded));
        assert_eq!((slots.is_ready(v(1)), actions.is_empty()), (ready, ready));
        assert_eq!(slots.on_load(at(1_001), sent, Outcome::Done), [], "late answers are void");
        assert_eq!(slots.is_ready(v(1)), ready);
    }
}

/// Cache events arrive late, with gaps or from another incarnation. They must not
/// change a slot, and those that contradict the known state request a report.
#[test]
fn cache_events_only_request_a_report() {
    let mut slots = slots(2);
    slots.on_report(at(0), &report(1, 0, &[]));
    load(&mut slots, 1, &[1]);
    assert_eq!(slots.on_event(1, 1, v(1), true), None);
    assert_eq!(slots.on_event(1, 3, v(1), true), Some(Action::RequestReport), "a gap");
    assert_eq!(slots.on_event(1, 2, v(1), false), None, "an old event");
    assert_eq!(slots.on_event(1, 4, v(1), false), Some(Action::RequestReport), "a contradiction");
    assert_eq!(
        slots.on_event(2, 1, v(1), true),
        Some(Action::RequestReport),
        "another incarnation"
    );
    assert!(slots.is_ready(v(1)));
}

/// Another daemon takes over the engine. This daemon must send no more orders, as
/// both would otherwise change the same slots.
#[test]
fn a_newer_fencing_number_ends_all_orders() {
    let mut slots = slots(2);
    let planned = slots.plan(at(0), &[wait(1, 1, 0)], 1);
    let actions = slots.on_load(at(1), order(planned[0]), Outcome::Fenced);
    assert!(matches!(actions[..], [Action::Failed { .. }]));
    assert!(slots.is_fenced());
    assert_eq!(slots.plan(at(9_000), &[wait(2, 1, 0)], 4), []);
}

/// A version is removed from the configuration while a request uses it. It must
/// accept no new request and be unloaded only after the running one.
#[test]
fn a_retired_version_is_unloaded_when_its_last_request_ends() {
    let mut slots = slots(2);
    load(&mut slots, 0, &[1]);
    let pin = slots.pin(v(1), id(1)).unwrap();
    slots.retire(v(1));
    assert!(!slots.is_ready(v(1)));
    assert_eq!(slots.plan(at(1), &[], 4), []);
    drop(pin);
    assert!(matches!(slots.plan(at(2), &[], 4)[..], [Action::Unload { .. }]));
}

/// Random commands, answers and reports against a model of the engine: no pinned
/// version is ordered to unload, and every ready version is loaded.
#[test]
fn random_sessions_keep_pinned_versions() {
    for seed in 0..300 {
        let mut source = Gen::from_size_and_seed(64, seed);
        let mut slots = slots(3);
        let mut engine: BTreeMap<VersionId, ()> = BTreeMap::new();
        let (mut incarnation, mut pins, mut pending) = (1, Vec::new(), Vec::new());
        slots.on_report(at(0), &report(incarnation, 0, &[]));
        for step in 1..400u64 {
            let now = at(step * 50);
            let wanted = u32::from(u8::arbitrary(&mut source) % 8);
            match u8::arbitrary(&mut source) % 9 {
                0..=2 => {
                    slots.touch(now, v(wanted));
                    pending.extend(slots.plan(now, &[wait(wanted, 1, step)], 2));
                }
                3 | 4 => {
                    let pin = slots.pin(v(wanted), id(step as u8));
                    assert!(pin.is_none() || engine.contains_key(&v(wanted)));
                    pins.extend(pin);
                }
                5 if !pins.is_empty() => drop(pins.remove(0)),
                6 if u8::arbitrary(&mut source) % 8 == 0 => {
                    engine.clear();
                    pins.clear();
                    pending.clear();
                    incarnation += 1;
                    slots.on_report(now, &report(incarnation, step * 50, &[]));
                }
                _ if !pending.is_empty() => {
                    let outcome = match u8::arbitrary(&mut source) % 4 {
                        0 => Outcome::Failed,
                        _ => Outcome::Done,
                    };
                    match pending.remove(0) {
                        Action::Load { version, order } => {
                            if outcome == Outcome::Done {
                                engine.insert(version, ());
                            }
                            slots.on_load(now, order, outcome);
                        }
                        Action::Unload { version, order } => {
                            assert!(pins.iter().all(|pin| pin.version() != version));
                            engine.remove(&version);
                            slots.on_unload(now, order, Outcome::Done);
                        }
                        _ => {}
                    }
                }
                _ => {}
            }
            assert!(engine.len() <= 3, "more versions loaded than there are slots");
            let ready = slots.loaded_versions();
            assert!(ready.iter().all(|version| engine.contains_key(version)), "seed {seed}");
        }
    }
}
