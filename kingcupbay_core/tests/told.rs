//! What entries are told of an engine.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    admission::told::Told,
    deployment::model::{AdapterName, Held},
    placement::Placement,
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn pressure(running: u32, adapters: &[(&str, u32)]) -> EngineLoadReport {
    let adapters = adapters.iter().map(|&(name, version)| (name.to_owned(), version)).collect();
    let held = vec![Held { model: "base".into(), version: 1, adapters }];
    EngineLoadReport {
        running,
        slots: 64,
        open: true,
        resident: Some(held),
        ..EngineLoadReport::default()
    }
}

/// Tells `pressure` at each of `times`; how often it went, and how often with
/// the adapters.
fn tell(
    told: &mut Told,
    times: impl Iterator<Item = u64>,
    pressure: &EngineLoadReport,
) -> (u32, u32) {
    let mut count = (0, 0);
    for time in times {
        let Some(news) = told.next(at(time), pressure) else { continue };
        told.on_answer(at(time), true);
        count.0 += 1;
        count.1 += u32::from(news.resident.is_some());
    }
    count
}

/// A minute of an engine that holds the same adapters and whose load hardly
/// moves: four messages a second with all adapters before, two without them
/// now.
#[test]
fn what_is_known_is_not_told_again() {
    let mut told = Told::default();
    let steady = pressure(13, &[("roses", 1)]);
    assert_eq!(tell(&mut told, (0..60_000).step_by(250), &steady), (120, 1));
}

#[test]
fn what_changes_a_choice_is_told_at_once() {
    let mut told = Told::default();
    tell(&mut told, 0..1, &pressure(13, &[("roses", 1)]));
    assert_eq!(told.next(at(10), &pressure(15, &[("roses", 1)])), None);
    let busier = told.next(at(20), &pressure(19, &[("roses", 1)])).unwrap();
    assert_eq!((busier.running, busier.resident), (19, None));
    let newer = told.next(at(30), &pressure(19, &[("roses", 2)])).unwrap();
    assert!(newer.resident.is_some());
    let delayed =
        EngineLoadReport { delay: Span::from_millis(90), ..pressure(19, &[("roses", 2)]) };
    told.on_answer(at(30), true);
    assert!(told.next(at(40), &delayed).is_some());
    let closed = EngineLoadReport { open: false, ..delayed };
    assert!(told.next(at(50), &closed).is_some());
}

/// The answer to a message is lost, or an entry was restarted and has forgotten
/// everything. It must learn the adapters again: without them it would send
/// their requests to engines that have to load them first.
#[test]
fn an_entry_that_lacks_the_adapters_is_told_them() {
    let mut told = Told::default();
    let held = pressure(13, &[("roses", 1)]);
    assert!(told.next(at(0), &held).unwrap().resident.is_some());
    assert!(told.next(at(250), &held).unwrap().resident.is_some());
    // The late answer to the first message says nothing of the second.
    told.on_answer(at(0), true);
    assert!(told.next(at(500), &held).unwrap().resident.is_some());
    told.on_answer(at(500), true);
    let engine = "127.0.0.1:1".parse().unwrap();
    let mut entry = Placement::default();
    let heartbeat = told.next(at(1_000), &held).unwrap();
    told.on_answer(at(1_000), entry.on_pressure(at(1_001), engine, heartbeat));
    let whole = told.next(at(1_250), &held).unwrap();
    assert!(entry.on_pressure(at(1_251), engine, whole));
    let roses = AdapterName { model: "base".into(), adapter: Some("roses".into()) };
    assert_eq!(entry.held(engine, &roses), Some(1));
}
