//! Admission of one engine whose availability zone is evacuated or that is cold.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::{Action, Admission, Ticket, report::Report},
    cold::ColdLimits,
    deployment::model::{AdapterName, Engine, Model, ResidentModel},
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Refusal, Verdict},
    },
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + millis * 1_000)
}

fn permit_request(attempt: u64, adapter: &str) -> PermitRequest {
    PermitRequest {
        attempt: attempt.to_string(),
        name: AdapterName { model: "base".into(), adapter: Some(adapter.into()) },
        newest: None,
        priority: 1,
        size: Size { prompt: 10, output: 10 },
        latency_target: Span::from_millis(800),
        max_wait: Span::from_millis(1_600),
        event_gap: None,
        entry: "127.0.0.1:1".parse().unwrap(),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: None,
        transferred: false,
    }
}

/// Returns a report of an engine that holds the adapter `roses`.
fn report(orders: u64) -> Report {
    let resident = vec![ResidentModel {
        model: "base".into(),
        version: 1,
        adapters: [("roses".to_owned(), 1)].into(),
    }];
    Report { orders, memory: 100_000, resident, ..Report::default() }
}

/// Creates an engine with 64 slots.
fn engine() -> Admission {
    let mut admission = Admission::new("upstream-1");
    let model = Model { weights_mb: 50.0, adapter_mb: 1.0 };
    admission.on_spec(Engine {
        slots: 64,
        kv_tokens: 100_000,
        adapter_slots: 2,
        weights_mb: 100.0,
        models: [("base".to_owned(), model)].into(),
        load_rate: None,
        transfers: None,
    });
    admission.on_fencing(7);
    admission
}

fn refused(actions: &[Action]) -> Vec<Refusal> {
    let why = |action: &Action| match action {
        Action::Answer(_, Verdict::Refused { why, .. }) => Some(*why),
        _ => None,
    };
    actions.iter().filter_map(why).collect()
}

fn granted(actions: &[Action]) -> usize {
    let is_grant = |action: &&Action| matches!(action, Action::Answer(_, Verdict::Granted { .. }));
    actions.iter().filter(is_grant).count()
}

/// The zone is evacuated while a request waits for its adapter. It must be refused at
/// once, so that its entry asks an engine elsewhere in time, and nothing more is loaded.
#[test]
fn an_evacuation_refuses_waiting_requests_and_orders_nothing() {
    let mut engine = engine();
    engine.on_report(at(0), report(0));
    let waits = engine.on_permit_request(at(1), Ticket(1), permit_request(1, "lilies"));
    assert!(matches!(waits[..], [Action::Order(_)]), "{waits:?}");
    engine.on_evacuation(at(2), true);
    assert_eq!(refused(&engine.on_tick(at(2))), [Refusal::Evacuated]);
    engine.on_reply(at(3), kingcupbay_core::admission::order::Reply::Busy);
    let next = engine.on_permit_request(at(4), Ticket(2), permit_request(2, "roses"));
    assert_eq!(refused(&next), [Refusal::Evacuated]);
    assert!(!engine.load_report(at(4)).open);
    let asked = engine.on_replica_request(
        at(5),
        AdapterName { model: "base".into(), adapter: Some("tulips".into()) },
    );
    assert!(asked.is_empty(), "{asked:?}");
    let empty = Report { resident: Vec::new(), ..report(1) };
    assert!(engine.on_report(at(6), empty).is_empty());
    engine.on_evacuation(at(7), false);
    engine.on_report(at(8), report(1));
    let back = engine.on_permit_request(at(9), Ticket(3), permit_request(3, "roses"));
    assert_eq!(granted(&back), 1, "{back:?}");
}

/// Plays `millis` in which 60 requests a second ask for permits, and returns the time of
/// each grant. Requests end at once. Engines report every 20 ms.
fn play(engine: &mut Admission, millis: std::ops::Range<u64>, orders: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for now in millis {
        let mut actions = Vec::new();
        if now % 20 == 0 {
            actions.extend(engine.on_report(at(now), report(orders)));
        }
        if now % 16 == 0 {
            let request = permit_request(now, "roses");
            actions.extend(engine.on_permit_request(at(now), Ticket(now), request));
        }
        times.extend(std::iter::repeat_n(now, granted(&actions)));
        for attempt in 0..=now {
            if attempt % 16 == 0 && attempt + 40 == now {
                engine.on_request_end(at(now), &attempt.to_string());
            }
        }
    }
    times
}

fn busiest_second(times: &[u64]) -> usize {
    let count = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    times.iter().map(count).max().unwrap_or_default()
}

/// An engine restarts under a flood of requests. While it is cold it gets its rate, and
/// requests that would wait too long for it are refused at once.
#[test]
fn a_restarted_engine_gets_its_cold_rate() {
    let mut engine = engine();
    engine.on_cold_limits(at(0), Some(ColdLimits { rate: 12.0, time: Span::from_secs(3) }));
    engine.on_report(at(0), report(5));
    let warm = play(&mut engine, 4_000..8_000, 5);
    assert_eq!(busiest_second(&warm), 18);
    let cold = play(&mut engine, 8_000..11_000, 0);
    assert_eq!(busiest_second(&cold), 12);
    let refusal = engine.on_permit_request(at(10_999), Ticket(1), permit_request(1, "roses"));
    assert_eq!(refused(&refusal), [Refusal::Busy], "{refusal:?}");
}

/// The engines of a zone may have turned cold while it was evacuated. When it is restored,
/// all requests for the adapters that they hold come back at the same moment.
#[test]
fn a_restored_zone_is_treated_as_cold() {
    let mut engine = engine();
    engine.on_cold_limits(at(0), Some(ColdLimits { rate: 12.0, time: Span::from_secs(3) }));
    engine.on_report(at(0), report(5));
    engine.on_evacuation(at(4_000), true);
    play(&mut engine, 4_000..8_000, 5);
    engine.on_evacuation(at(8_000), false);
    assert_eq!(busiest_second(&play(&mut engine, 8_000..11_000, 5)), 12);
}

/// An engine turns cold without a restart, and an entry reads that in its registration.
#[test]
fn a_registration_that_says_cold_lowers_the_rate() {
    let mut engine = engine();
    engine.on_cold_limits(at(0), Some(ColdLimits { rate: 12.0, time: Span::from_secs(3) }));
    engine.on_report(at(0), report(5));
    play(&mut engine, 4_000..8_000, 5);
    let cold = PermitRequest { cold: Span::from_secs(3), ..permit_request(8_000, "roses") };
    engine.on_permit_request(at(8_000), Ticket(8_000), cold);
    assert_eq!(busiest_second(&play(&mut engine, 8_001..11_000, 5)), 12);
}
