//! Simulates three requests whose messages about permits are lost, duplicated or late,
//! or whose sender dies, in all combinations.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        report::{Report, Run},
    },
    deployment::model::{AdapterName, Engine, ResidentModel},
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Verdict},
    },
};

/// Requests that the engine runs at once.
const SLOTS: u32 = 3;

/// What happens to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    /// It runs and ends, and its end is reported.
    Normal,
    /// Its end is reported twice.
    DuplicateEnd,
    /// Its end is never reported.
    LostEnd,
    /// Its end is reported 2 s late, when the engine no longer knows it.
    LateEnd,
    /// The entry dies after it requested a permit, so nobody receives the verdict.
    LostVerdict,
    /// Its caller cancels before any report shows it. Its end is reported at once,
    /// but a report sent earlier still shows it.
    EarlyCancel,
    /// Its caller cancels while it runs; the engine stops, and the end is reported.
    LateCancel,
    /// The same attempt requests a permit twice, like an entry that got no answer.
    DuplicateRequest,
}

const SCENARIOS: [Scenario; 8] = [
    Scenario::Normal,
    Scenario::DuplicateEnd,
    Scenario::LostEnd,
    Scenario::LateEnd,
    Scenario::LostVerdict,
    Scenario::EarlyCancel,
    Scenario::LateCancel,
    Scenario::DuplicateRequest,
];

impl Scenario {
    /// Returns the milliseconds in which reports show it.
    fn shown(self) -> std::ops::Range<u64> {
        match self {
            Scenario::LostVerdict => 0..0,
            Scenario::EarlyCancel => 0..70,
            Scenario::LateCancel => 0..400,
            _ => 0..900,
        }
    }

    /// Returns the times at which its end is reported, in milliseconds.
    fn ends_at(self) -> Vec<u64> {
        match self {
            Scenario::Normal | Scenario::DuplicateRequest => vec![900],
            Scenario::DuplicateEnd => vec![900, 960],
            Scenario::LateEnd => vec![2_900],
            Scenario::LostEnd | Scenario::LostVerdict => vec![],
            Scenario::EarlyCancel => vec![20],
            Scenario::LateCancel => vec![420],
        }
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn permit_request(attempt: &str) -> PermitRequest {
    PermitRequest {
        attempt: attempt.into(),
        name: AdapterName { model: "base".into(), adapter: Some("roses".into()) },
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
    }
}

fn granted(actions: &[Action]) -> usize {
    let granted = |action: &&Action| matches!(action, Action::Answer(_, Verdict::Granted { .. }));
    actions.iter().filter(granted).count()
}

/// Simulates three requests with these scenarios for six seconds of reports.
fn simulate(scenarios: &[Scenario; 3]) -> Admission {
    let mut engine = Admission::new("upstream-1");
    engine.on_spec(Engine {
        slots: SLOTS,
        kv_tokens: 100_000,
        adapter_slots: 2,
        ..Engine::default()
    });
    let adapters = [("roses".to_owned(), 1)].into();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    let empty = Report { memory: 100_000, resident, ..Report::default() };
    engine.on_report(at(0), empty.clone());
    for (index, scenario) in scenarios.iter().enumerate() {
        let attempt = format!("a{index}");
        engine.on_permit_request(at(1), Ticket(index as u64), permit_request(&attempt));
        if *scenario == Scenario::DuplicateRequest {
            engine.on_permit_request(at(2), Ticket(10 + index as u64), permit_request(&attempt));
        }
    }
    for now in (10..6_000).step_by(10) {
        for (index, scenario) in scenarios.iter().enumerate() {
            if scenario.ends_at().contains(&now) {
                engine.on_request_end(at(now), &format!("a{index}"));
            }
        }
        if now % 60 == 0 {
            let shown = scenarios
                .iter()
                .enumerate()
                .filter(|(_, scenario)| scenario.shown().contains(&now));
            let run = |(index, _): (usize, &Scenario)| Run {
                attempt: format!("a{index}"),
                tokens: 100 + now / 10,
                events: 1 + now / 30,
            };
            let runs = shown.map(run).collect();
            engine.on_report(at(now), Report { runs, ..empty.clone() });
        }
        assert!(engine.load_report(at(now)).running <= SLOTS, "{scenarios:?} at {now} ms");
    }
    engine
}

/// Guards against permits that are never released or released twice. Whatever happens
/// to the messages, all permits are free a few seconds later, and no more than those.
#[test]
fn every_permit_is_released_once() {
    for first in SCENARIOS {
        for second in SCENARIOS {
            for third in SCENARIOS {
                let scenarios = [first, second, third];
                let mut engine = simulate(&scenarios);
                assert_eq!(engine.load_report(at(6_000)).running, 0, "{scenarios:?}");
                assert_eq!(engine.load_report(at(6_000)).waiting, 0, "{scenarios:?}");
                let mut permits = 0;
                for ticket in 0..u64::from(SLOTS) + 1 {
                    let actions = engine.on_permit_request(
                        at(6_000),
                        Ticket(100 + ticket),
                        permit_request(&format!("b{ticket}")),
                    );
                    permits += granted(&actions);
                }
                assert_eq!(permits, SLOTS as usize, "{scenarios:?}");
            }
        }
    }
}
