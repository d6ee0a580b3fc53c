//! Every message about a place lost, doubled or late, and its sender's death:
//! all combinations for three requests.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        report::{Report, Run},
    },
    deployment::model::{AdapterName, Engine, Held},
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Verdict},
    },
};

/// Places of the engine.
const SLOTS: u32 = 3;

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It runs, ends, and its end is told.
    Ends,
    /// Its end is told twice.
    EndsTwice,
    /// Its end is never told.
    EndIsLost,
    /// Its end is told 2 s late, when the engine has long forgotten it.
    EndIsLate,
    /// The entry dies after it asked; nobody hears the verdict.
    VerdictIsLost,
    /// Its caller leaves before any report shows it; its end is told at once,
    /// and a report that was on its way still shows it.
    LeavesEarly,
    /// Its caller leaves while it runs; the engine stops, and the end is told.
    LeavesLate,
    /// The same attempt asks again, as an entry that got no answer would.
    AsksTwice,
}

const FATES: [Fate; 8] = [
    Fate::Ends,
    Fate::EndsTwice,
    Fate::EndIsLost,
    Fate::EndIsLate,
    Fate::VerdictIsLost,
    Fate::LeavesEarly,
    Fate::LeavesLate,
    Fate::AsksTwice,
];

impl Fate {
    /// Milliseconds in which reports show it.
    fn shown(self) -> std::ops::Range<u64> {
        match self {
            Fate::VerdictIsLost => 0..0,
            Fate::LeavesEarly => 0..70,
            Fate::LeavesLate => 0..400,
            _ => 0..900,
        }
    }

    /// When its end is told, in milliseconds.
    fn told(self) -> Vec<u64> {
        match self {
            Fate::Ends | Fate::AsksTwice => vec![900],
            Fate::EndsTwice => vec![900, 960],
            Fate::EndIsLate => vec![2_900],
            Fate::EndIsLost | Fate::VerdictIsLost => vec![],
            Fate::LeavesEarly => vec![20],
            Fate::LeavesLate => vec![420],
        }
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn want(attempt: &str) -> PermitRequest {
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
    }
}

fn granted(actions: &[Action]) -> usize {
    let granted = |action: &&Action| matches!(action, Action::Answer(_, Verdict::Granted { .. }));
    actions.iter().filter(granted).count()
}

/// Plays three requests with these fates for six seconds of reports.
fn play(fates: &[Fate; 3]) -> Admission {
    let mut engine = Admission::new("upstream-1");
    engine.on_spec(Engine { slots: SLOTS, memory: 100_000, places: 2, ..Engine::default() });
    let adapters = [("roses".to_owned(), 1)].into();
    let held = vec![Held { model: "base".into(), version: 1, adapters }];
    let empty = Report { memory: 100_000, held, ..Report::default() };
    engine.on_report(at(0), empty.clone());
    for (index, fate) in fates.iter().enumerate() {
        let attempt = format!("a{index}");
        engine.on_want(at(1), Ticket(index as u64), want(&attempt));
        if *fate == Fate::AsksTwice {
            engine.on_want(at(2), Ticket(10 + index as u64), want(&attempt));
        }
    }
    for now in (10..6_000).step_by(10) {
        for (index, fate) in fates.iter().enumerate() {
            if fate.told().contains(&now) {
                engine.on_done(at(now), &format!("a{index}"));
            }
        }
        if now % 60 == 0 {
            let shown = fates.iter().enumerate().filter(|(_, fate)| fate.shown().contains(&now));
            let run = |(index, _): (usize, &Fate)| Run {
                attempt: format!("a{index}"),
                tokens: 100 + now / 10,
                events: 1 + now / 30,
            };
            let runs = shown.map(run).collect();
            engine.on_report(at(now), Report { runs, ..empty.clone() });
        }
        assert!(engine.pressure().running <= SLOTS, "{fates:?} at {now} ms");
    }
    engine
}

/// Whatever becomes of the messages about three requests, a few seconds later
/// every place is back: none was lost with a message, and none came back twice.
#[test]
fn every_place_comes_back_once() {
    for first in FATES {
        for second in FATES {
            for third in FATES {
                let fates = [first, second, third];
                let mut engine = play(&fates);
                assert_eq!(engine.pressure().running, 0, "{fates:?}");
                assert_eq!(engine.pressure().waiting, 0, "{fates:?}");
                let mut places = 0;
                for ticket in 0..u64::from(SLOTS) + 1 {
                    let actions = engine.on_want(
                        at(6_000),
                        Ticket(100 + ticket),
                        want(&format!("b{ticket}")),
                    );
                    places += granted(&actions);
                }
                assert_eq!(places, SLOTS as usize, "{fates:?}");
            }
        }
    }
}
