//! Tests of the load reports that a sidecar sends to an entry.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::load_report::LoadReporter,
    deployment::model::{AdapterName, ResidentModel},
    placement::Placement,
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn load_report(running: u32, adapters: &[(&str, u32)]) -> EngineLoadReport {
    let adapters = adapters.iter().map(|&(name, version)| (name.to_owned(), version)).collect();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    EngineLoadReport {
        running,
        slots: 64,
        open: true,
        resident: Some(resident),
        ..EngineLoadReport::default()
    }
}

/// Offers `current` to the reporter at each of `times`. Returns how many reports were
/// sent, and how many of them included the adapters.
fn send(
    reporter: &mut LoadReporter,
    times: impl Iterator<Item = u64>,
    current: &EngineLoadReport,
) -> (u32, u32) {
    let mut count = (0, 0);
    for time in times {
        let Some(report) = reporter.next(at(time), current) else { continue };
        reporter.on_answer(at(time), true);
        count.0 += 1;
        count.1 += u32::from(report.resident.is_some());
    }
    count
}

/// Guards against reports without new information. An engine whose adapters stay the
/// same and whose load hardly changes must be reported twice a second, and only once
/// with its adapters, instead of four times a second with all of them.
#[test]
fn known_load_is_not_sent_again() {
    let mut reporter = LoadReporter::default();
    let steady = load_report(13, &[("roses", 1)]);
    assert_eq!(send(&mut reporter, (0..60_000).step_by(250), &steady), (120, 1));
}

/// Guards against choices based on outdated reports. A change of load, delay, adapters or
/// readiness that affects the choice of an engine must be sent before the next heartbeat.
#[test]
fn relevant_changes_are_sent_at_once() {
    let mut reporter = LoadReporter::default();
    send(&mut reporter, 0..1, &load_report(13, &[("roses", 1)]));
    assert_eq!(reporter.next(at(10), &load_report(15, &[("roses", 1)])), None);
    let busier = reporter.next(at(20), &load_report(19, &[("roses", 1)])).unwrap();
    assert_eq!((busier.running, busier.resident), (19, None));
    let newer = reporter.next(at(30), &load_report(19, &[("roses", 2)])).unwrap();
    assert!(newer.resident.is_some());
    let delayed =
        EngineLoadReport { delay: Span::from_millis(90), ..load_report(19, &[("roses", 2)]) };
    reporter.on_answer(at(30), true);
    assert!(reporter.next(at(40), &delayed).is_some());
    let closed = EngineLoadReport { open: false, ..delayed };
    assert!(reporter.next(at(50), &closed).is_some());
}

/// The answer to a report is lost, or an entry restarts and loses its state. It must
/// receive the adapters again, or it would send their requests to engines that have
/// to load them first.
#[test]
fn an_entry_that_lacks_the_adapters_is_sent_them() {
    let mut reporter = LoadReporter::default();
    let current = load_report(13, &[("roses", 1)]);
    assert!(reporter.next(at(0), &current).unwrap().resident.is_some());
    assert!(reporter.next(at(250), &current).unwrap().resident.is_some());
    // The stale answer to the first report says nothing about the second.
    reporter.on_answer(at(0), true);
    assert!(reporter.next(at(500), &current).unwrap().resident.is_some());
    reporter.on_answer(at(500), true);
    let engine = "127.0.0.1:1".parse().unwrap();
    let mut entry = Placement::default();
    let heartbeat = reporter.next(at(1_000), &current).unwrap();
    reporter.on_answer(at(1_000), entry.on_load_report(at(1_001), engine, heartbeat));
    let complete = reporter.next(at(1_250), &current).unwrap();
    assert!(entry.on_load_report(at(1_251), engine, complete));
    let roses = AdapterName { model: "base".into(), adapter: Some("roses".into()) };
    assert_eq!(entry.resident_version(engine, &roses), Some(1));
}
