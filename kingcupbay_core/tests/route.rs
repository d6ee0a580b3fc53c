//! Routing: to the adapter, away from load, once per cold adapter.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Serves, Upstream},
    },
    id::{Id, Name, UpstreamId, VersionId},
    route::{Limits, Progress, Report, Retry, RetryBudget, Router, WorkKind},
    time::{Instant, Span},
};

/// Requests that a runner of the tests runs at once.
const PLACES: u32 = 8;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn v(raw: u32) -> VersionId {
    VersionId::from_raw(raw)
}

fn u(raw: u32) -> UpstreamId {
    UpstreamId::from_raw(raw)
}

fn now(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn set(number: u32, serves: Serves, leaving: bool) -> Change {
    let upstream = Upstream {
        name: name(&format!("runner-{number}")),
        host: name(&format!("host-{number}")),
        address: format!("127.0.0.1:{}", 9_000 + number),
        zone: name(&format!("zone-{}", number % 3)),
        serves,
        leaving,
    };
    Change::SetUpstream { upstream }
}

fn model(base: &str) -> Serves {
    Serves::Model { base: name(base), slots: 4, fenced: true }
}

/// Upstreams 0 to `count - 1` of base model `base`, three zones.
fn config(count: u32) -> Config {
    let mut config = Config::default();
    for number in 0..count {
        config.change(&set(number, model("base"), false)).unwrap();
    }
    config
}

fn router(config: &Config, seed: u64) -> Router {
    let mut router = Router::new(Limits::default(), seed);
    router.on_config(config);
    router
}

fn report(seq: u64, load: u32, loaded: &[u32]) -> Report {
    let loaded = loaded.iter().map(|&raw| v(raw)).collect();
    Report { loaded, running: load, waiting: 0, places: PLACES, seq }
}

fn choose(router: &mut Router, at: u64, version: u32) -> Option<UpstreamId> {
    router.choose(now(at), v(version), &name("base"), &[])
}

/// Two entries get requests for the same cold adapter in the same moment. If
/// they chose differently it would be loaded twice, and each load makes all
/// other loads slower.
#[test]
fn entries_agree_on_a_cold_adapter() {
    let config = config(10);
    let (mut one, mut other) = (router(&config, 1), router(&config, 2));
    let mut chosen = BTreeMap::new();
    for version in 0..1_000 {
        let place = choose(&mut one, 0, version).unwrap();
        assert_eq!(choose(&mut other, 0, version), Some(place));
        *chosen.entry(place).or_insert(0) += 1;
    }
    assert!(chosen.len() == 10 && chosen.values().all(|&count| (60..150).contains(&count)));
}

#[test]
fn an_upstream_that_holds_the_adapter_is_preferred() {
    let mut router = router(&config(10), 1);
    let cold = choose(&mut router, 0, 7).unwrap();
    let held = u((cold.raw() + 1) % 10);
    router.on_report(held, &report(1, 0, &[7]));
    router.on_load_failed(cold, v(7));
    assert_eq!(choose(&mut router, 1, 7), Some(held));
    assert_eq!(router.choose(now(1), v(7), &name("other"), &[]), None, "another base model");
    router.on_report(held, &report(2, 0, &[]));
    router.on_report(held, &report(1, 0, &[7]));
    assert_eq!(router.holders(v(7)), [], "an old report changes nothing");
}

#[test]
fn requests_follow_the_first_while_it_loads() {
    let mut router = router(&config(10), 1);
    let first = choose(&mut router, 0, 7).unwrap();
    router.on_report(first, &report(1, PLACES - 1, &[]));
    assert_eq!(choose(&mut router, 100, 7), Some(first));
    assert_eq!(router.holders(v(7)), [first]);
    router.on_report(first, &report(2, 500, &[]));
    assert_ne!(choose(&mut router, 200, 7), Some(first), "it would wait there only");
    let second = choose(&mut router, 3_100, 8).unwrap();
    assert!(!router.holders(v(7)).contains(&first), "no report has shown it in time");
    assert_eq!(router.holders(v(8)), [second]);
}

#[test]
fn a_cold_adapter_passes_over_an_overloaded_upstream() {
    let config = config(10);
    let mut router = router(&config, 1);
    let first = choose(&mut router, 0, 7).unwrap();
    router.on_load_failed(first, v(7));
    let held: Vec<_> = (0..30).map(|_| router.begin(first).unwrap()).collect();
    let second = choose(&mut router, 0, 7).unwrap();
    assert_ne!(first, second);
    assert_eq!(router.in_flight(first), 30);
    drop(held);
    router.on_load_failed(second, v(7));
    assert_eq!((router.in_flight(first), choose(&mut router, 0, 7)), (0, Some(first)));
}

/// The report is a second old and says that both are idle. An entry that
/// believed it would send everything of that second to the same one.
#[test]
fn own_requests_since_the_report_are_counted() {
    let mut router = router(&config(2), 1);
    for raw in 0..2 {
        router.on_report(u(raw), &report(1, 0, &[7]));
    }
    let mut guards = Vec::new();
    for _ in 0..20 {
        let place = choose(&mut router, 0, 7).unwrap();
        guards.push(router.begin(place).unwrap());
    }
    assert_eq!((router.in_flight(u(0)), router.in_flight(u(1))), (10, 10));
    // Now reported, they are not counted twice; eight others are.
    router.on_report(u(0), &report(2, 10, &[7]));
    router.on_report(u(1), &report(2, 18, &[7]));
    let next: BTreeSet<_> = (0..8)
        .map(|_| {
            let place = choose(&mut router, 0, 7).unwrap();
            guards.push(router.begin(place).unwrap());
            place
        })
        .collect();
    assert_eq!(next, BTreeSet::from([u(0)]));
}

#[test]
fn leaving_unreachable_removed_and_tried_upstreams_get_no_requests() {
    let mut config = config(4);
    let mut router = router(&config, 1);
    for raw in 0..4 {
        router.on_report(u(raw), &report(1, 0, &[7]));
    }
    config.change(&set(0, model("base"), true)).unwrap();
    config.change(&Change::RemoveUpstream { name: name("runner-1") }).unwrap();
    router.on_config(&config);
    router.set_reachable(u(2), false);
    for _ in 0..20 {
        assert_eq!(choose(&mut router, 0, 7), Some(u(3)));
    }
    assert_eq!(router.choose(now(0), v(7), &name("base"), &[u(3)]), None);
    assert!(router.begin(u(1)).is_none());
    router.set_reachable(u(2), true);
    assert_eq!(router.choose(now(0), v(7), &name("base"), &[u(3)]), Some(u(2)));
}

/// A tour company makes one adapter most of all demand. Its one upstream
/// would make every guest wait for a place while others have places free.
#[test]
fn a_busy_adapter_gains_replicas_in_other_zones_while_there_is_capacity() {
    let mut router = router(&config(9), 1);
    for raw in 0..9 {
        router.on_report(u(raw), &report(1, 0, &[]));
    }
    let mut guards = Vec::new();
    let mut send = |router: &mut Router, count: usize| {
        for _ in 0..count {
            let place = choose(router, 0, 7).unwrap();
            guards.push(router.begin(place).unwrap());
        }
        router.holders(v(7))
    };
    assert_eq!(send(&mut router, PLACES as usize).len(), 1, "there is a place free");
    let copies = send(&mut router, 2 * PLACES as usize);
    let zones: BTreeSet<_> = copies.iter().map(|place| place.raw() % 3).collect();
    assert!((3..=4).contains(&copies.len()) && zones.len() == 3, "{copies:?}");
    let copies = send(&mut router, 5 * PLACES as usize);
    assert!((8..=9).contains(&copies.len()), "{copies:?}");
    guards.clear();
    assert_eq!(choose(&mut router, 1, 7).map(|place| copies.contains(&place)), Some(true));
}

/// No upstream has reported yet, as after a start of the whole fleet. Copies
/// made for want of a report would load every adapter at several of them.
#[test]
fn without_reports_a_few_requests_create_no_replicas() {
    let mut router = router(&config(9), 1);
    let guards: Vec<_> = (0..PLACES)
        .map(|_| {
            let place = choose(&mut router, 0, 7).unwrap();
            router.begin(place).unwrap()
        })
        .collect();
    assert!(guards.iter().all(|guard| guard.upstream() == guards[0].upstream()));
}

#[test]
fn the_second_replica_is_in_another_zone() {
    for version in 0..30 {
        let mut router = router(&config(9), 1);
        (0..9).for_each(|raw| router.on_report(u(raw), &report(1, 0, &[])));
        let first = choose(&mut router, 0, version).unwrap();
        router.on_report(first, &report(2, 5 * PLACES, &[version]));
        let second = choose(&mut router, 50, version).unwrap();
        assert_ne!(first.raw() % 3, second.raw() % 3);
    }
}

/// A request comes back from an upstream that refused it. The one that holds
/// its adapter is full, and so is the only other one: loading there wins
/// nothing.
#[test]
fn a_retry_creates_no_replica_where_it_would_also_wait() {
    let mut router = router(&config(3), 1);
    router.on_report(u(0), &report(1, 20, &[7]));
    router.on_report(u(1), &report(1, 0, &[]));
    router.on_report(u(2), &report(1, 20, &[]));
    let retried = |router: &mut Router| router.choose(now(0), v(7), &name("base"), &[u(1)]);
    assert_eq!(retried(&mut router), Some(u(0)));
    router.on_report(u(2), &report(2, 5, &[]));
    assert_eq!(retried(&mut router), Some(u(2)));
}

/// Every upstream is full. Requests that looked for a better one would load
/// their adapter everywhere, and the loads would make all wait still longer.
#[test]
fn a_full_fleet_gains_no_replicas() {
    let mut router = router(&config(9), 1);
    for raw in 0..9 {
        let loaded: &[u32] = if raw == 4 { &[7] } else { &[] };
        router.on_report(u(raw), &report(1, 3 * PLACES, loaded));
    }
    let guards: Vec<_> = (0..5)
        .map(|_| {
            let place = choose(&mut router, 0, 7).unwrap();
            router.begin(place).unwrap()
        })
        .collect();
    assert!(guards.iter().all(|guard| guard.upstream() == u(4)));
    assert_eq!(router.holders(v(7)), [u(4)]);
}

#[test]
fn service_calls_go_to_the_less_loaded_upstream() {
    let mut config = config(1);
    for number in 1..3 {
        let serves = Serves::Service { service: name("desk") };
        config.change(&set(number, serves, false)).unwrap();
    }
    let mut router = router(&config, 1);
    let _guard = router.begin(u(1)).unwrap();
    assert_eq!(router.choose_service(&name("desk"), &[]), Some(u(2)));
    assert_eq!(router.choose_service(&name("desk"), &[u(1), u(2)]), None);
    assert_eq!(choose(&mut router, 0, 7), Some(u(0)), "services take no adapters");
}

#[test]
fn retries_are_bounded_and_never_repeat_what_must_not_run_twice() {
    let mut budget = RetryBudget::default();
    assert_eq!(budget.retry(WorkKind::Once, Progress::NotRun), Retry::Never);
    assert_eq!(budget.retry(WorkKind::Once, Progress::Sent), Retry::Never);
    let streaming = Progress::Streaming { offset: 12 };
    assert_eq!(budget.retry(WorkKind::Generate, streaming), Retry::Resume { offset: 12 });
    assert_eq!(budget.retry(WorkKind::Call, streaming), Retry::Never);
    let granted = |budget: &mut RetryBudget, tries: u32| {
        let again = (0..tries).filter(|_| {
            budget.record_first_attempt();
            budget.retry(WorkKind::Generate, Progress::Sent) == Retry::Again
        });
        again.count()
    };
    assert!(granted(&mut budget, 100) <= 40);
    assert!((90..=110).contains(&granted(&mut budget, 1_000)), "a tenth of the requests");
    assert_eq!(Limits::default().load_timeout, Span::from_secs(3));
}

/// A zone goes and with it every stream there, all in one moment. The budget
/// of retries is long spent when the last of them breaks; a guest whose answer
/// has begun must get the rest all the same.
#[test]
fn every_stream_of_a_lost_zone_is_resumed() {
    let mut budget = RetryBudget::default();
    let streaming = Progress::Streaming { offset: 12 };
    let resume = Retry::Resume { offset: 12 };
    assert!((0..500).all(|_| budget.retry(WorkKind::Generate, streaming) == resume));
    assert_eq!(budget.retry(WorkKind::Generate, Progress::Sent), Retry::Again);
}
