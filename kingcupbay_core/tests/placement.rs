//! Choice of the engine for a generation and of the upstream for a plain request.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::SocketAddr};

use kingcupbay_core::{
    deployment::model::{AdapterName, ResidentModel},
    health::{Exchange, Health},
    placement::Placement,
    random::Random,
    repeat::{RepeatBudget, RepeatLimits},
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

fn load_report(running: u32, adapters: &[u32]) -> EngineLoadReport {
    let adapters = adapters.iter().map(|adapter| (format!("a{adapter}"), 1)).collect();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    EngineLoadReport {
        running,
        slots: 48,
        open: true,
        resident: Some(resident),
        ..EngineLoadReport::default()
    }
}

/// Every entry sends requests for an adapter that is not loaded to the same engine, so
/// it is loaded once. The homes of all adapters are spread evenly over the engines.
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

/// An engine leaves. Only the adapters with their home there may move; otherwise all
/// adapters would have to be loaded again.
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

/// All requests are for one adapter, and its home is busy. Other engines must take over
/// before prompts queue there.
#[test]
fn a_busy_home_passes_requests_on() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    for &engine in &engines {
        let running = if engine == home { 40 } else { 4 };
        placement.on_load_report(at(0), engine, load_report(running, &[1]));
    }
    assert_ne!(placement.choose(at(10), &name(1), &engines), Some(home));
}

/// Three engines hold a popular adapter. If the first in the order got every request
/// until it was busy, prompts would queue there while the other two were idle. They must
/// share the requests.
#[test]
fn engines_that_hold_an_adapter_share_its_requests() {
    let engines = engines(6);
    let mut placement = Placement::default();
    for &engine in &engines[..3] {
        placement.on_load_report(at(0), engine, load_report(2, &[1]));
    }
    let mut sent: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..12 {
        let engine = placement.choose(at(10), &name(1), &engines).unwrap();
        placement.on_send(at(10), engine);
        *sent.entry(engine).or_default() += 1;
    }
    assert_eq!(sent.into_values().collect::<Vec<_>>(), [4, 4, 4]);
}

/// A request of the base model, which every engine holds, goes to the least busy one.
#[test]
fn a_request_without_an_adapter_goes_to_the_least_busy() {
    let engines = engines(4);
    let mut placement = Placement::default();
    for (at_engine, &engine) in engines.iter().enumerate() {
        let running = [9, 3, 8, 7][at_engine];
        placement.on_load_report(at(0), engine, load_report(running, &[]));
    }
    let base = AdapterName { model: "base".into(), adapter: None };
    assert_eq!(placement.choose(at(10), &base, &engines), Some(engines[1]));
}

/// The only engine that holds a popular adapter is busier than the others. A request
/// sent to another engine would wait until that has loaded the adapter. It must go to
/// the holder, while a replica is requested in parallel, once.
#[test]
fn a_busy_holder_gets_requests_while_a_replica_loads() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    for &engine in &engines {
        let (running, adapters) = if engine == home { (40, &[1][..]) } else { (4, &[][..]) };
        placement.on_load_report(at(0), engine, load_report(running, adapters));
    }
    assert_eq!(placement.choose(at(10), &name(1), &engines), Some(home));
    let replica = placement.choose_replica(at(10), &name(1), &engines);
    assert!(replica.is_some_and(|engine| engine != home), "{replica:?}");
    assert_eq!(placement.choose_replica(at(20), &name(1), &engines), None);
    assert_eq!(placement.choose_replica(at(1_100), &name(1), &engines), replica);
}

/// A holder has no free slots: the request goes to the next engine, which loads the
/// adapter. No replica is requested of an adapter that no engine holds.
#[test]
fn a_full_holder_passes_requests_on() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    assert_eq!(placement.choose_replica(at(0), &name(1), &engines), None);
    for &engine in &engines {
        let (running, adapters) = if engine == home { (60, &[1][..]) } else { (4, &[][..]) };
        placement.on_load_report(at(0), engine, load_report(running, adapters));
    }
    assert_ne!(placement.choose(at(10), &name(1), &engines), Some(home));
}

/// An entry that has not asked an engine for a while gets no load reports from it. The
/// engine must not count as silent for that, or each entry would in time give up the homes of
/// most adapters.
#[test]
fn an_engine_that_owes_no_report_is_not_silent() {
    let engine = engines(1)[0];
    let mut placement = Placement::default();
    placement.on_send(at(0), engine);
    placement.on_load_report(at(200), engine, load_report(2, &[1]));
    placement.on_load_report(at(1_900), engine, load_report(2, &[1]));
    for now in [2_500, 4_000, 30_000] {
        assert!(!placement.is_silent(at(now), engine), "{now} ms");
    }
}

/// A sidecar was killed and restarted, and knows nothing of the entries that asked before. An
/// engine whose reports were missing must be tried again after a while.
#[test]
fn a_silent_engine_is_tried_again() {
    let engine = engines(1)[0];
    let mut placement = Placement::default();
    for now in (0..3_000).step_by(500) {
        placement.on_send(at(now), engine);
    }
    assert!(placement.is_silent(at(3_000), engine));
    assert!(placement.is_silent(at(5_000), engine));
    assert!(!placement.is_silent(at(11_000), engine));
}

/// Hundreds of entries each send a popular adapter a request now and then, and know nothing of
/// its engines' loads. If all of them kept to its home and the next ones in the order, requests
/// would wait there while hundreds of engines are idle.
#[test]
fn requests_of_an_adapter_in_demand_are_spread() {
    let (engines, adapter) = (engines(200), name(1));
    let mut entries: Vec<Placement> = (0..100).map(|_| Placement::default()).collect();
    let mut random = Random::new(3);
    let mut running: Vec<(u64, SocketAddr)> = Vec::new();
    let (mut asked, mut refused, mut requests) = (0, 0, 0);
    // 60 requests a second of 2 s each need eight engines of 16 slots.
    for now in (0..40_000).step_by(17) {
        running.retain(|(end, _)| *end > now);
        let placement = &mut entries[random.below(100) as usize];
        // Most of its requests are for other adapters, each at an engine of its own.
        for _ in 0..4 {
            let other = engines[random.below(200) as usize];
            let busy = running.iter().filter(|(_, engine)| *engine == other).count() as u32;
            let report = EngineLoadReport { slots: 16, ..load_report(busy + 1, &[2]) };
            placement.on_load_report(at(now), other, report);
        }
        let mut tried = Vec::new();
        let placed = (0..4).any(|_| {
            let untried: Vec<SocketAddr> =
                engines.iter().copied().filter(|engine| !tried.contains(engine)).collect();
            let engine = placement
                .choose_spread(at(now), &adapter, &untried, random.draw())
                .or_else(|| placement.choose(at(now), &adapter, &untried))
                .unwrap();
            tried.push(engine);
            placement.on_send(at(now), engine);
            let running_there = running.iter().filter(|(_, other)| *other == engine).count();
            let busy = running_there >= 16;
            let report = EngineLoadReport { slots: 16, ..load_report(running_there as u32, &[1]) };
            placement.on_load_report(at(now), engine, report);
            if busy {
                placement.on_refusal(engine);
                placement.on_busy(at(now), &adapter, untried.len());
            } else {
                running.push((now + 2_000, engine));
            }
            !busy
        });
        if now >= 10_000 {
            requests += 1;
            asked += tried.len();
            refused += usize::from(!placed);
        }
    }
    assert!(refused * 100 <= requests, "{refused} of {requests} refused");
    assert!(asked * 10 <= requests * 15, "{asked} engines asked for {requests} requests");
}

/// An idle engine that holds the adapter is preferred to its home, which does not.
#[test]
fn a_holder_is_preferred_to_the_home() {
    let engines = engines(4);
    let mut placement = Placement::default();
    let home = placement.choose(at(0), &name(1), &engines).unwrap();
    let holder = *engines.iter().find(|&&engine| engine != home).unwrap();
    placement.on_load_report(at(0), holder, load_report(2, &[1]));
    assert_eq!(placement.choose(at(10), &name(1), &engines), Some(holder));
}

/// An upstream answers half of its requests with failures but reports that it is healthy.
/// The others are tried first until it has not failed for some seconds.
#[test]
fn a_failing_upstream_is_tried_last() {
    let mut health = Health::default();
    for draw in 0..20 {
        health.on_exchange(at(draw), "grey", Exchange::Failed);
    }
    let pick = |health: &Health, now, draw| {
        health.choose(now, ["grey", "good"].into_iter(), draw).unwrap().to_owned()
    };
    assert!((0..50).all(|draw| pick(&health, at(100), draw) == "good"));
    assert!((0..50).any(|draw| pick(&health, at(20_000), draw) == "grey"));
}

/// Many requests fail at once. Repeating all of them would double the load on the
/// upstreams that still work.
#[test]
fn repeats_stay_within_their_budget() {
    let limits = RepeatLimits { ratio: 0.2, slack: 50.0, window: Span::from_secs(10) };
    let mut repeats = RepeatBudget::default();
    let mut sent = 0;
    for millis in (0..10_000).step_by(10) {
        repeats.on_first(at(millis));
        sent += u32::from(repeats.try_repeat(at(millis), &limits, 4));
    }
    assert!(sent <= 200 + 12, "{sent}");
    assert!(sent >= 100, "{sent}");
}

/// Guards against a budget that is spent by requests which were not sent.
#[test]
fn repeats_that_are_not_sent_are_taken_back() {
    let limits = RepeatLimits { ratio: 0.0, slack: 2.0, window: Span::from_secs(10) };
    let mut repeats = RepeatBudget::default();
    for millis in 0..20 {
        assert!(repeats.try_repeat(at(millis), &limits, 1), "{millis}");
        repeats.on_unused(at(millis));
    }
    assert!(repeats.try_repeat(at(20), &limits, 1));
    repeats.on_send(at(5_000), at(20));
    assert!(!repeats.try_repeat(at(14_000), &limits, 1), "counted from when it was sent");
}
