//! Tests of routing: holders, load, replicas and retries.

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

/// Number of requests that an upstream of these tests runs concurrently.
const CAPACITY: u32 = 8;

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

/// Returns a configuration with upstreams 0 to `count - 1` of base model `base` in
/// three zones.
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
    Report { loaded, running: load, waiting: 0, places: CAPACITY, seq }
}

fn choose(router: &mut Router, at: u64, version: u32) -> Option<UpstreamId> {
    router.choose(now(at), v(version), &name("base"), &[])
}

/// Two entries receive requests for the same cold adapter at the same time. If
/// they chose different upstreams, it would be loaded twice, and each load slows
/// down all other loads.
#[test]
fn entries_agree_on_a_cold_adapter() {
    let config = config(10);
    let (mut one, mut other) = (router(&config, 1), router(&config, 2));
    let mut chosen = BTreeMap::new();
    for version in 0..1_000 {
        let upstream = choose(&mut one, 0, version).unwrap();
        assert_eq!(choose(&mut other, 0, version), Some(upstream));
        *chosen.entry(upstream).or_insert(0) += 1;
    }
    assert!(chosen.len() == 10 && chosen.values().all(|&count| (60..150).contains(&count)));
}

/// One upstream reports the adapter and another failed to load it. A request must
/// go to the holder, and a stale report must not restore an old holder.
#[test]
fn an_upstream_that_holds_the_adapter_is_preferred() {
    let mut router = router(&config(10), 1);
    let cold = choose(&mut router, 0, 7).unwrap();
    let holder = u((cold.raw() + 1) % 10);
    router.on_report(holder, &report(1, 0, &[7]));
    router.on_load_failed(cold, v(7));
    assert_eq!(choose(&mut router, 1, 7), Some(holder));
    assert_eq!(router.choose(now(1), v(7), &name("other"), &[]), None, "another base model");
    router.on_report(holder, &report(2, 0, &[]));
    router.on_report(holder, &report(1, 0, &[7]));
    assert_eq!(router.holders(v(7)), [], "an old report changes nothing");
}

/// Further requests arrive while the adapter loads. Sent elsewhere, they would load
/// it again, unless the first upstream is full or no report shows the load in time.
#[test]
fn requests_follow_the_first_while_it_loads() {
    let mut router = router(&config(10), 1);
    let first = choose(&mut router, 0, 7).unwrap();
    router.on_report(first, &report(1, CAPACITY - 1, &[]));
    assert_eq!(choose(&mut router, 100, 7), Some(first));
    assert_eq!(router.holders(v(7)), [first]);
    router.on_report(first, &report(2, 500, &[]));
    assert_ne!(choose(&mut router, 200, 7), Some(first), "it would wait only there");
    let second = choose(&mut router, 3_100, 8).unwrap();
    assert!(!router.holders(v(7)).contains(&first), "no report has shown the load in time");
    assert_eq!(router.holders(v(8)), [second]);
}

/// The preferred upstream of a cold adapter has many requests in flight. The adapter
/// must be loaded elsewhere, as its requests would wait there.
#[test]
fn a_cold_adapter_passes_over_an_overloaded_upstream() {
    let config = config(10);
    let mut router = router(&config, 1);
    let first = choose(&mut router, 0, 7).unwrap();
    router.on_load_failed(first, v(7));
    let guards: Vec<_> = (0..30).map(|_| router.begin(first).unwrap()).collect();
    let second = choose(&mut router, 0, 7).unwrap();
    assert_ne!(first, second);
    assert_eq!(router.in_flight(first), 30);
    drop(guards);
    router.on_load_failed(second, v(7));
    assert_eq!((router.in_flight(first), choose(&mut router, 0, 7)), (0, Some(first)));
}

/// The last reports say that both upstreams are idle. An entry that relied on them
/// alone would send all requests until the next report to the same upstream.
#[test]
fn own_requests_since_the_report_are_counted() {
    let mut router = router(&config(2), 1);
    for raw in 0..2 {
        router.on_report(u(raw), &report(1, 0, &[7]));
    }
    let mut guards = Vec::new();
    for _ in 0..20 {
        let upstream = choose(&mut router, 0, 7).unwrap();
        guards.push(router.begin(upstream).unwrap());
    }
    assert_eq!((router.in_flight(u(0)), router.in_flight(u(1))), (10, 10));
    // Reported requests must not be counted twice; upstream 1 has eight others.
    router.on_report(u(0), &report(2, 10, &[7]));
    router.on_report(u(1), &report(2, 18, &[7]));
    let next: BTreeSet<_> = (0..8)
        .map(|_| {
            let upstream = choose(&mut router, 0, 7).unwrap();
            guards.push(router.begin(upstream).unwrap());
            upstream
        })
        .collect();
    assert_eq!(next, BTreeSet::from([u(0)]));
}

/// Upstreams leave, are removed or become unreachable. A request sent to one of them
/// or to one already tried would fail.
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

/// Most requests need the same adapter. With a single holder they would wait there
/// while other upstreams have free capacity.
#[test]
fn a_busy_adapter_gains_replicas_in_other_zones_while_there_is_capacity() {
    let mut router = router(&config(9), 1);
    for raw in 0..9 {
        router.on_report(u(raw), &report(1, 0, &[]));
    }
    let mut guards = Vec::new();
    let mut send = |router: &mut Router, count: usize| {
        for _ in 0..count {
            let upstream = choose(router, 0, 7).unwrap();
            guards.push(router.begin(upstream).unwrap());
        }
        router.holders(v(7))
    };
    assert_eq!(send(&mut router, CAPACITY as usize).len(), 1, "the first holder has free capacity");
    let replicas = send(&mut router, 2 * CAPACITY as usize);
    let zones: BTreeSet<_> = replicas.iter().map(|upstream| upstream.raw() % 3).collect();
    assert!((3..=4).contains(&replicas.len()) && zones.len() == 3, "{replicas:?}");
    let replicas = send(&mut router, 5 * CAPACITY as usize);
    assert!((8..=9).contains(&replicas.len()), "{replicas:?}");
    guards.clear();
    assert_eq!(choose(&mut router, 1, 7).map(|upstream| replicas.contains(&upstream)), Some(true));
}

/// No upstream has reported yet, as after a start of the whole fleet. Replicas
/// created without reports would load every adapter at several upstreams.
#[test]
fn without_reports_a_few_requests_create_no_replicas() {
    let mut router = router(&config(9), 1);
    let guards: Vec<_> = (0..CAPACITY)
        .map(|_| {
            let upstream = choose(&mut router, 0, 7).unwrap();
            router.begin(upstream).unwrap()
        })
        .collect();
    assert!(guards.iter().all(|guard| guard.upstream() == guards[0].upstream()));
}

/// The holder of an adapter is full. If its second replica were in the same zone,
/// the failure of that zone would lose both.
#[test]
fn the_second_replica_is_in_another_zone() {
    for version in 0..30 {
        let mut router = router(&config(9), 1);
        (0..9).for_each(|raw| router.on_report(u(raw), &report(1, 0, &[])));
        let first = choose(&mut router, 0, version).unwrap();
        router.on_report(first, &report(2, 5 * CAPACITY, &[version]));
        let second = choose(&mut router, 50, version).unwrap();
        assert_ne!(first.raw() % 3, second.raw() % 3);
    }
}

/// A request was refused by one upstream. The holder of its adapter is full, and so
/// is the only other upstream, so a load there would not shorten the wait.
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

/// Every upstream is full. If requests went to other upstreams, their adapter would
/// be loaded everywhere, and the loads would make all requests wait longer.
#[test]
fn a_full_fleet_gains_no_replicas() {
    let mut router = router(&config(9), 1);
    for raw in 0..9 {
        let loaded: &[u32] = if raw == 4 { &[7] } else { &[] };
        router.on_report(u(raw), &report(1, 3 * CAPACITY, loaded));
    }
    let guards: Vec<_> = (0..5)
        .map(|_| {
            let upstream = choose(&mut router, 0, 7).unwrap();
            router.begin(upstream).unwrap()
        })
        .collect();
    assert!(guards.iter().all(|guard| guard.upstream() == u(4)));
    assert_eq!(router.holders(v(7)), [u(4)]);
}

/// A service has two upstreams, one with a request in flight. Calls must go to the
/// other, and never to an upstream that was already tried.
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
    assert_eq!(choose(&mut router, 0, 7), Some(u(0)), "services serve no adapters");
}

/// Many attempts fail. Unlimited retries would multiply the load, and a retry of a
/// call that must run at most once could run it twice.
#[test]
fn retries_are_bounded_and_never_repeat_what_must_not_run_twice() {
    let mut budget = RetryBudget::default();
    assert_eq!(budget.retry(WorkKind::Once, Progress::NotRun), Retry::Never);
    assert_eq!(budget.retry(WorkKind::Once, Progress::Sent), Retry::Never);
    let streaming = Progress::Streaming { offset: 12 };
    assert_eq!(budget.retry(WorkKind::Generate, streaming), Retry::Resume { offset: 12 });
    assert_eq!(budget.retry(WorkKind::Call, streaming), Retry::Never);
    let count_granted = |budget: &mut RetryBudget, tries: u32| {
        let again = (0..tries).filter(|_| {
            budget.record_first_attempt();
            budget.retry(WorkKind::Generate, Progress::Sent) == Retry::Again
        });
        again.count()
    };
    assert!(count_granted(&mut budget, 100) <= 40);
    assert!((90..=110).contains(&count_granted(&mut budget, 1_000)), "a tenth of the requests");
    assert_eq!(Limits::default().load_timeout, Span::from_secs(3));
}

/// A zone fails and breaks all of its streams at the same time, more than the retry
/// budget allows. Every answer that has begun must still be resumed.
#[test]
fn every_stream_of_a_lost_zone_is_resumed() {
    let mut budget = RetryBudget::default();
    let streaming = Progress::Streaming { offset: 12 };
    let resume = Retry::Resume { offset: 12 };
    assert!((0..500).all(|_| budget.retry(WorkKind::Generate, streaming) == resume));
    assert_eq!(budget.retry(WorkKind::Generate, Progress::Sent), Retry::Again);
}
