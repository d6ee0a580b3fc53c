//! Tests of the adapter slots that stay free for loads of a sidecar's earlier process.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::{Action, Admission, Ticket, order::Target, report::Report},
    deployment::model::{AdapterName, Engine, ResidentModel},
    time::{Instant, Span},
    wire::{metadata::Size, sidecar::PermitRequest},
};

/// Adapter slots of the engine.
const ADAPTER_SLOTS: usize = 6;

/// Unix time in milliseconds at which the sidecar starts.
const START_UNIX_MS: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

/// Creates the state of a sidecar that has just started.
fn sidecar() -> Admission {
    let mut admission = Admission::new("upstream-1");
    let adapter_slots = ADAPTER_SLOTS as u32;
    admission.on_spec(Engine { slots: 8, kv_tokens: 100_000, adapter_slots, ..Engine::default() });
    admission.on_fencing(7);
    admission.on_start(at(0), START_UNIX_MS);
    admission
}

/// Returns the report of an engine that holds `held` adapters.
fn report(born: Option<u64>, orders: u64, held: usize) -> Report {
    let adapters = (0..held).map(|number| (format!("a{number}"), 1)).collect();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    Report { orders, born, memory: 100_000, resident, ..Report::default() }
}

/// Requests an adapter that the engine does not hold; returns the first order that follows.
fn request(sidecar: &mut Admission, millis: u64) -> Option<Target> {
    let request = PermitRequest {
        attempt: format!("r{millis}"),
        name: AdapterName { model: "base".into(), adapter: Some("missing".into()) },
        newest: None,
        priority: 1,
        size: Size { prompt: 100, output: 100 },
        latency_target: Span::from_millis(800),
        max_wait: Span::from_millis(1_600),
        event_gap: None,
        entry: "127.0.0.1:1".parse().unwrap(),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: None,
        transferred: false,
    };
    target(sidecar.on_permit_request(at(millis), Ticket(millis), request))
}

fn target(actions: Vec<Action>) -> Option<Target> {
    actions.into_iter().find_map(|action| match action {
        Action::Order(order) => Some(order.target),
        Action::Answer(..) => None,
    })
}

const LOAD_NEWEST: Option<Target> = Some(Target::Load { version: None });

/// Guards against an engine that crashes on a late load of the sidecar's earlier process, which has
/// gone with all that it knew.
#[test]
fn slots_are_kept_for_late_loads_of_a_sidecar_that_restarted_after_its_engine() {
    for born in [None, Some(START_UNIX_MS - 100), Some(START_UNIX_MS - 19_000)] {
        let mut sidecar = sidecar();
        sidecar.on_report(at(1), report(born, ADAPTER_SLOTS as u64 - 1, ADAPTER_SLOTS - 2));
        assert_eq!(request(&mut sidecar, 2), Some(Target::Unload), "{born:?}");
        sidecar = self::sidecar();
        sidecar.on_report(at(1), report(born, ADAPTER_SLOTS as u64 - 2, ADAPTER_SLOTS - 3));
        assert_eq!(request(&mut sidecar, 2), LOAD_NEWEST, "{born:?}");
        sidecar = self::sidecar();
        sidecar.on_report(at(20_001), report(born, ADAPTER_SLOTS as u64, ADAPTER_SLOTS - 1));
        assert_eq!(request(&mut sidecar, 20_002), LOAD_NEWEST, "{born:?}");
    }
}

/// Guards against the same if the engine restarts last, with an order count that it had before.
#[test]
fn slots_are_kept_for_late_loads_of_a_sidecar_that_restarted_before_its_engine() {
    let mut sidecar = sidecar();
    sidecar.on_report(
        at(1),
        report(Some(START_UNIX_MS - 60_000), ADAPTER_SLOTS as u64, ADAPTER_SLOTS - 1),
    );
    sidecar.on_report_failure(at(100));
    sidecar.on_report(
        at(2_000),
        report(Some(START_UNIX_MS + 1_500), ADAPTER_SLOTS as u64, ADAPTER_SLOTS - 2),
    );
    assert_eq!(request(&mut sidecar, 2_001), Some(Target::Unload));
}

/// Guards against a second late load at an engine whose last slot a first one has taken.
#[test]
fn a_slot_that_a_late_load_has_taken_is_freed_without_demand() {
    let mut sidecar = sidecar();
    sidecar.on_report(at(1), report(Some(START_UNIX_MS), ADAPTER_SLOTS as u64, ADAPTER_SLOTS - 2));
    let actions = sidecar.on_report(
        at(60),
        report(Some(START_UNIX_MS), ADAPTER_SLOTS as u64 + 1, ADAPTER_SLOTS - 1),
    );
    assert_eq!(target(actions), Some(Target::Unload));
}

/// Guards against needless evictions when daemons are replaced while their engines keep running.
#[test]
fn no_slot_is_kept_if_the_engine_has_not_restarted_lately() {
    let mut sidecar = sidecar();
    sidecar.on_report(at(1), report(Some(START_UNIX_MS - 60_000), 40, ADAPTER_SLOTS - 1));
    assert_eq!(request(&mut sidecar, 2), LOAD_NEWEST);
}
