//! Choice among engines by the capacity that their sidecars report.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, net::SocketAddr};

use kingcupbay_core::{
    deployment::model::{AdapterName, ResidentModel},
    placement::{Placement, RequestNeeds},
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{EngineCapacity, EngineLoadReport},
    },
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn engines() -> Vec<SocketAddr> {
    (1..=4).map(|host| SocketAddr::from(([10, 0, 0, host], 80))).collect()
}

fn name() -> AdapterName {
    AdapterName { model: "base".into(), adapter: Some("roses".into()) }
}

fn want(prompt: u64, output: u64) -> RequestNeeds {
    RequestNeeds { size: Size { prompt, output }, priority: 1, remaining: Span::from_secs(15) }
}

fn capacity(prefill_rate: u32, work_percent: u32) -> EngineCapacity {
    EngineCapacity {
        prefill_rate,
        event_interval: Span::from_millis(900_000 / u64::from(prefill_rate.max(1))),
        work_percent,
        sustained_rate: prefill_rate * 100 / work_percent.max(1),
    }
}

fn load_report(capacity: Option<EngineCapacity>) -> EngineLoadReport {
    let adapters = [("roses".to_owned(), 1)].into();
    EngineLoadReport {
        running: 4,
        slots: 64,
        open: true,
        resident: Some(vec![ResidentModel { model: "base".into(), version: 1, adapters }]),
        capacity,
        ..EngineLoadReport::default()
    }
}

fn placement(capacities: [Option<EngineCapacity>; 4]) -> Placement {
    let mut placement = Placement::default();
    for (engine, capacity) in engines().into_iter().zip(capacities) {
        placement.on_load_report(at(0), engine, load_report(capacity));
    }
    placement
}

fn choose(placement: &Placement, want: &RequestNeeds) -> Option<SocketAddr> {
    let none = BTreeSet::new();
    placement.choose_at_pace(at(10), &name(), want, &engines(), &none).map(|(engine, _)| engine)
}

/// Guards against other decisions where all engines are alike, of an earlier build, or known
/// from outdated reports only.
#[test]
fn engines_that_are_alike_are_chosen_as_before() {
    let alike = [25_000, 27_000, 24_000, 29_000].map(|rate| Some(capacity(rate, 100)));
    assert_eq!(choose(&placement(alike), &want(1_000, 100)), None);
    assert_eq!(choose(&placement([None; 4]), &want(1_000, 100)), None);
    let uneven = placement([15_000, 25_000, 25_000, 40_000].map(|rate| Some(capacity(rate, 100))));
    assert!(uneven.is_uneven(at(10), &engines()));
    assert!(!uneven.is_uneven(at(2_001), &engines()));
}

/// Guards against requests that go to a slow engine while a faster one could start them
/// sooner, and against all of them going to one engine between two reports.
#[test]
fn faster_engines_get_more_requests_but_not_all() {
    let rates = [15_000, 25_000, 25_000, 40_000];
    let mut placement = placement(rates.map(|rate| Some(capacity(rate, 100))));
    let mut sent = [0; 4];
    for _ in 0..40 {
        let engine = choose(&placement, &want(1_000, 100)).unwrap();
        placement.on_send(at(10), engine);
        placement.on_send_prompt(engine, 1_000);
        sent[engines().iter().position(|other| *other == engine).unwrap()] += 1;
    }
    assert!(sent[3] > sent[1] && sent[1] > sent[0], "{sent:?}");
    assert!(sent[0] > 0 && sent[3] <= 24, "{sent:?}");
}

/// Guards against a stream that is sent to an engine where it cannot end in time, or whose
/// event gap the engine cannot keep.
#[test]
fn unfit_engines_get_only_what_no_other_takes() {
    let mut slow = capacity(40_000, 250);
    slow.sustained_rate = 0;
    let uneven = placement([Some(slow), Some(capacity(15_000, 100)), Some(slow), Some(slow)]);
    assert_eq!(choose(&uneven, &want(1_000, 100)), Some(engines()[1]));
    let all = placement([Some(slow); 4]);
    assert!(choose(&all, &want(1_000, 100)).is_some());
    let hurried = RequestNeeds { remaining: Span::from_millis(2_000), ..want(100, 120) };
    let rates = [6_000, 25_000, 6_000, 6_000].map(|rate| Some(capacity(rate, 100)));
    assert_eq!(choose(&placement(rates), &hurried), Some(engines()[1]));
}

/// Guards against an engine that attracts all requests, or loses them all, as its sidecar
/// reports an absurd capacity.
#[test]
fn absurd_capacities_are_bounded() {
    let absurd = EngineCapacity {
        prefill_rate: u32::MAX,
        event_interval: Span::ZERO,
        work_percent: 0,
        sustained_rate: u32::MAX,
    };
    for strange in [absurd, EngineCapacity::default()] {
        let usual = Some(capacity(25_000, 100));
        let mut placement = placement([Some(strange), usual, usual, usual]);
        let mut sent = 0;
        for _ in 0..200 {
            let engine = choose(&placement, &want(1_000, 100)).unwrap();
            placement.on_send(at(10), engine);
            placement.on_send_prompt(engine, 1_000);
            sent += u32::from(engine == engines()[0]);
        }
        assert!(sent < 200, "{strange:?}: {sent}");
    }
}

/// Guards against bytes between zones that gain nothing.
#[test]
fn the_nearer_of_equal_engines_is_chosen() {
    let rates = [15_000, 25_000, 25_000, 25_000].map(|rate| Some(capacity(rate, 100)));
    let placement = placement(rates);
    for engine in &engines()[1..] {
        let near: BTreeSet<SocketAddr> = [*engine].into();
        let chosen =
            placement.choose_at_pace(at(10), &name(), &want(1_000, 100), &engines(), &near);
        assert_eq!(chosen.unwrap().0, *engine);
    }
}

/// Guards against a request that waits at one engine while another would start it sooner.
#[test]
fn the_wait_is_bounded_by_the_next_best_engine() {
    let rates = [15_000, 25_000, 25_000, 40_000].map(|rate| Some(capacity(rate, 100)));
    let none = BTreeSet::new();
    let chosen =
        placement(rates).choose_at_pace(at(10), &name(), &want(1_000, 100), &engines(), &none);
    let wait = chosen.unwrap().1.unwrap();
    assert!((100..300).contains(&wait.as_millis()), "{wait:?}");
}
