//! Admission of an engine that limits its requests.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::{Action, Admission, Ticket, order::Reply, report::Report},
    deployment::model::{AdapterName, Engine, Model, ResidentModel},
    limit::LimitSource,
    time::{Instant, Span},
    wire::{
        limit::LimitReport,
        metadata::{AnnouncedLimit, Size},
        sidecar::{PermitRequest, Refusal, Verdict},
    },
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn name(adapter: &str) -> AdapterName {
    AdapterName { model: "base".into(), adapter: Some(adapter.into()) }
}

fn permit_request(attempt: u64, adapter: &str) -> PermitRequest {
    PermitRequest {
        attempt: attempt.to_string(),
        name: name(adapter),
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

/// Creates an engine with all its adapter slots in use by `adapters`.
fn engine(adapters: &[&str]) -> (Admission, Report) {
    let mut admission = Admission::new("upstream-1");
    admission.on_spec(Engine {
        slots: 64,
        kv_tokens: 100_000,
        adapter_slots: adapters.len() as u32,
        weights_mb: 100.0,
        models: [("base".to_owned(), Model { weights_mb: 50.0, adapter_mb: 1.0 })].into(),
        load_rate: None,
        transfers: None,
    });
    admission.on_fencing(7);
    let adapters = adapters.iter().map(|name| ((*name).to_owned(), 1)).collect();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    let report = Report { memory: 100_000, resident, ..Report::default() };
    admission.on_report(at(0), report.clone());
    (admission, report)
}

/// Callers ask for an adapter that would have to be loaded. Its orders would use up the
/// limit, so the request must be refused at once, with a time that comes true.
#[test]
fn a_limited_engine_refuses_adapters_that_it_has_not_loaded() {
    let (mut engine, _) = engine(&["roses"]);
    let limit = AnnouncedLimit::PerSecond(1.0);
    engine.on_announced_limit(at(10), at(5), LimitSource::Report, limit);
    assert_eq!(engine.limit(at(10)), Some(1.0));
    let granted = engine.on_permit_request(at(20), Ticket(1), permit_request(1, "roses"));
    assert!(matches!(granted[..], [Action::Answer(_, Verdict::Granted { .. })]), "{granted:?}");
    let refused = engine.on_permit_request(at(30), Ticket(2), permit_request(2, "tulips"));
    let [Action::Answer(_, Verdict::Refused { why: Refusal::Busy, after })] = refused[..] else {
        panic!("{refused:?}")
    };
    assert!(after >= Span::from_millis(2_900), "{after:?}");
    engine.on_replica_request(at(40), name("tulips"));
    let planned = engine.on_tick(at(1_500));
    assert!(!planned.iter().any(|action| matches!(action, Action::Order(_))), "{planned:?}");
}

/// Entries know of the limit, and the answers to the sidecar name none. Requests and
/// orders together must keep to it.
#[test]
fn requests_and_orders_share_the_limit() {
    let (mut engine, mut report) = engine(&["roses", "lilies"]);
    let reported = LimitReport { born: 1, rate: Some(2.0), age: Span::from_millis(5) };
    let mut sent = 0;
    for now in (0..8_000).step_by(10) {
        let adapter = ["roses", "tulips", "lilies"][now as usize / 10 % 3];
        let request = PermitRequest { limit: Some(reported), ..permit_request(now, adapter) };
        let mut actions = engine.on_permit_request(at(now + 1), Ticket(now), request);
        actions.extend(engine.on_report(at(now + 2), report.clone()));
        for action in actions {
            sent += match action {
                Action::Answer(_, Verdict::Granted { .. }) => 1,
                Action::Answer(..) => 0,
                Action::Order(_) => {
                    report.orders += 1;
                    engine.on_reply(at(now + 3), Reply::Accepted);
                    1
                }
            };
        }
    }
    assert!((14..=17).contains(&sent), "{sent}");
}

/// An engine turns an order away and asks for rest. Its sidecar must order nothing until then,
/// and order again after a restart, which the new process has not asked for.
#[test]
fn a_resting_engine_gets_no_orders() {
    let (mut engine, report) = engine(&["roses"]);
    let is_order = |action: &Action| matches!(action, Action::Order(_));
    engine.on_rest(at(0), Span::from_secs(3));
    let mut actions = engine.on_permit_request(at(10), Ticket(1), permit_request(1, "tulips"));
    actions.extend(engine.on_tick(at(1_000)));
    assert!(!actions.iter().any(is_order), "{actions:?}");
    actions = engine.on_tick(at(2_990));
    assert!(!actions.iter().any(is_order), "{actions:?}");
    let waiting = engine.on_permit_request(at(3_010), Ticket(2), permit_request(2, "tulips"));
    assert!(waiting.iter().any(is_order), "{waiting:?}");
    engine.on_reply(at(3_020), Reply::Accepted);
    engine.on_report(at(3_030), Report { orders: 1, ..report.clone() });
    engine.on_rest(at(3_040), Span::from_secs(60));
    engine.on_report(at(3_050), report);
    assert_eq!(engine.rest(at(3_060)), Span::ZERO);
}
