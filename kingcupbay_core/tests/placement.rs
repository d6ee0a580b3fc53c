//! Which engine a generation goes to, and which upstream a plain request.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::SocketAddr};

use kingcupbay_core::{
    deployment::model::{AdapterName, Held},
    health::{Ending, Health},
    placement::Placement,
    repeat::{RepeatLimits, Repeats},
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn engines(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|host| SocketAddr::from(([10, 0, 0, host], 80))).collect()
}

fn name(adapter: u32) -> AdapterName {
    AdapterName { model: "base".into(), adapter: Some(format!("a{adapter}")) }
}

fn pressure(running: u32, held: &[u32]) -> EngineLoadReport {
    let adapters = held.iter().map(|adapter| (format!("a{adapter}"), 1)).collect();
    let held = vec![Held { model: "base".into(), version: 1, adapters }];
    EngineLoadReport {
        running,
        slots: 48,
        open: true,
        resident: Some(held),
        ..EngineLoadReport::default()
    }
}

/// Every entry sends a cold adapter to the same engine, so it is loaded once;
/// over all adapters the engines have about the same number of homes.
#[test]
fn an_adapter_has_one_home_over_all_entries() {
    let engines = engines(18);
    let mut homes: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for adapter in 0..3_000 {
        let placement = Placement::default();
        let home = placement.choose(at(0), &name(adapter), &engines).unwrap();
        *homes.entry(home).or_default() += 1;
    }
    assert_eq!(homes.len(), 18);
    assert!(homes.values().all(|&count| (100..=240).contains(&count)), "{homes:?}");
}

/// An engine leaves. Only the adapters that had their home there move; a new
/// choice for all of them would load everything anew.
#[test]
fn homes_stay_when_an_engine_leaves() {
    let all = engines(18);
    let placement = Placement::default();
    let moved = (0..1_000)
        .filter(|&adapter| {
            let before = placement.choose(at(0), &name(adapter), &all).unwrap();
            let after = placement.choose(at(0), &name(adapter), &all[1..]).unwrap();
            before != all[0] && before != after
        })
        .count();
    assert_eq!(moved, 0);
}

/// One adapter is asked for by everybody. Its home fills up, and others take
/// over before prompts wait for each other there.
#[test]
fn a_busy_home_passes_requests_on() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    for &engine in &engines {
        let running = if engine == home { 40 } else { 4 };
        placement.on_pressure(at(0), engine, pressure(running, &[1]));
    }
    assert_ne!(placement.choose(at(10), &name(1), &engines), Some(home));
}

/// Three engines hold an adapter that many ask for. The first in the order took
/// every request until it was busy, and callers waited for each other's prompts
/// there while the other two had nothing to do. They share its requests now.
#[test]
fn engines_that_hold_an_adapter_share_its_requests() {
    let engines = engines(6);
    let mut placement = Placement::default();
    for &engine in &engines[..3] {
        placement.on_pressure(at(0), engine, pressure(2, &[1]));
    }
    let mut sent: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..12 {
        let engine = placement.choose(at(10), &name(1), &engines).unwrap();
        placement.on_send(engine);
        *sent.entry(engine).or_default() += 1;
    }
    assert_eq!(sent.into_values().collect::<Vec<_>>(), [4, 4, 4]);
}

/// A request of the base model, which every engine holds, goes to an idle one.
#[test]
fn a_request_without_an_adapter_goes_to_the_least_busy() {
    let engines = engines(4);
    let mut placement = Placement::default();
    for (at_engine, &engine) in engines.iter().enumerate() {
        let running = [9, 3, 8, 7][at_engine];
        placement.on_pressure(at(0), engine, pressure(running, &[]));
    }
    let base = AdapterName { model: "base".into(), adapter: None };
    assert_eq!(placement.choose(at(10), &base, &engines), Some(engines[1]));
}

/// The only engine that holds a popular adapter is busier than the others. The
/// next request went to an engine that had to load it first and waited for that;
/// it goes to the holder now, and the copy is asked for beside it, once.
#[test]
fn a_copy_is_made_beside_the_requests_of_a_busy_holder() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    for &engine in &engines {
        let (running, held) = if engine == home { (40, &[1][..]) } else { (4, &[][..]) };
        placement.on_pressure(at(0), engine, pressure(running, held));
    }
    assert_eq!(placement.choose(at(10), &name(1), &engines), Some(home));
    let copy = placement.copy(at(10), &name(1), &engines);
    assert!(copy.is_some_and(|engine| engine != home), "{copy:?}");
    assert_eq!(placement.copy(at(20), &name(1), &engines), None);
    assert_eq!(placement.copy(at(1_100), &name(1), &engines), copy);
}

/// A holder whose places are all taken is no use to anybody: the next engine loads
/// the adapter for the request itself. Nobody asks for copies of what nobody holds.
#[test]
fn a_full_holder_passes_requests_on() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    assert_eq!(placement.copy(at(0), &name(1), &engines), None);
    for &engine in &engines {
        let (running, held) = if engine == home { (60, &[1][..]) } else { (4, &[][..]) };
        placement.on_pressure(at(0), engine, pressure(running, held));
    }
    assert_ne!(placement.choose(at(10), &name(1), &engines), Some(home));
}

/// A calm engine that holds the adapter goes before the home that does not.
#[test]
fn a_holder_goes_before_the_home() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    let holder = *engines.iter().find(|&&engine| engine != home).unwrap();
    placement.on_pressure(at(0), holder, pressure(2, &[1]));
    assert_eq!(placement.choose(at(10), &name(1), &engines), Some(holder));
}

/// A desk answers half of its requests with failures while it says that it is
/// well. The others are tried first, until it has not failed for some seconds.
#[test]
fn a_failing_upstream_is_tried_last() {
    let mut health = Health::default();
    for draw in 0..20 {
        health.on_ending(at(draw), "grey", Ending::Failed);
    }
    let pick = |health: &Health, now, draw| {
        health.choose(now, ["grey", "good"].into_iter(), draw).unwrap().to_owned()
    };
    assert!((0..50).all(|draw| pick(&health, at(100), draw) == "good"));
    assert!((0..50).any(|draw| pick(&health, at(20_000), draw) == "grey"));
}

/// Many requests fail at once. Sent again without a bound they would double the
/// load on what still works.
#[test]
fn repeats_keep_to_their_part_of_the_requests() {
    let limits = RepeatLimits { ratio: 0.2, slack: 50.0, window: Span::from_secs(10) };
    let mut repeats = Repeats::default();
    let mut sent = 0;
    for millis in (0..10_000).step_by(10) {
        repeats.on_first(at(millis));
        sent += u32::from(repeats.may_repeat(at(millis), &limits, 4));
    }
    assert!(sent <= 200 + 12, "{sent}");
    assert!(sent >= 100, "{sent}");
}
