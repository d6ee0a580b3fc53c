//! Routes, callers, and the state that a daemon keeps of the deployment.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, rc::Rc};

use kingcupbay_core::{
    cold::ColdLimits,
    config::model::{KeyHash, Role},
    deployment::{
        catalogue::{Catalogue, Member, Withdrawal},
        lookup::Caller,
        model::{AdapterName, Deployment, Instance, Organisation, Repeat, Route, Service, Target},
    },
    id::Number,
    time::{Instant, Span},
    wire::read_position::{ChangeKind, TableChange},
};

fn route(name: &str, host: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![
            Target { service: "old".into(), weight: 90 },
            Target { service: "new".into(), weight: 10 },
        ],
        repeat: Repeat::Idempotent,
        timeout: Span::from_secs(1),
        latency_target: Span::from_millis(100),
        event_gap: None,
        attempts: 2,
        priority: 1,
        anonymous: false,
    })
}

fn deployment(number: u64) -> Deployment {
    let winery = Organisation {
        name: "winery".into(),
        priority: None,
        rate: 1,
        burst: 1,
        plain_cost: 1,
        counts_tokens: true,
    };
    Deployment {
        number: Number(number),
        routes: vec![
            route("all", "desk.example", "/"),
            route("seats", "desk.example", "/seats/"),
            route("other", "other.example", "/seats/today/"),
        ],
        organisations: vec![Rc::new(winery)],
        keys: [(KeyHash::of("key"), 0)].into(),
        ..Deployment::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let deployment = deployment(1);
    let name = |host, path| deployment.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("desk.example", "/seats/today/noon").as_deref(), Some("seats"));
    assert_eq!(name("DESK.example", "/book/").as_deref(), Some("all"));
    assert_eq!(name("desk.example", "/seats").as_deref(), Some("all"));
    assert_eq!(name("nobody.example", "/seats/"), None);
}

#[test]
fn a_key_identifies_its_organisation_and_other_keys_are_unknown() {
    let deployment = deployment(1);
    let route = &deployment.routes[0];
    let known = deployment.caller(route, Some(&KeyHash::of("key")));
    assert!(matches!(known, Caller::Organisation(who) if who.name == "winery"));
    assert_eq!(deployment.caller(route, Some(&KeyHash::of("other"))), Caller::Unknown);
    assert_eq!(deployment.caller(route, None), Caller::Unknown);
}

#[test]
fn a_traffic_split_follows_the_weights() {
    let route = route("all", "desk.example", "/");
    let new = (0..1_000).filter(|&draw| route.target(draw) == "new").count();
    assert_eq!(new, 100);
}

/// A read that began before a key was withdrawn is answered after the feed has reported
/// the withdrawal. The older configuration must not restore the key.
#[test]
fn an_older_configuration_is_not_applied() {
    let mut catalogue = Catalogue::default();
    assert!(catalogue.on_deployment(deployment(7)));
    assert!(!catalogue.on_deployment(deployment(3)));
    assert!(!catalogue.on_deployment(deployment(7)));
    assert_eq!(catalogue.deployment().unwrap().number, Number(7));
    let roses = AdapterName { model: "base".into(), adapter: Some("roses".into()) };
    assert!(catalogue.on_version(roses.clone(), 4));
    assert!(!catalogue.on_version(roses.clone(), 2));
    assert_eq!(catalogue.version(&roses), Some(4));
}

fn instance(id: &str) -> Instance {
    Instance {
        id: id.into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 6,
        leaving: false,
        born: 1,
        count: 1,
        models: Vec::new(),
        version: 1,
        software: String::new(),
        cold_remaining: Span::ZERO,
    }
}

/// An engine crashes and restarts at its address under a new id. Its old row stays in
/// the store for some heartbeats. No request may be sent to the old id.
#[test]
fn an_upstream_that_was_replaced_at_its_address_gets_nothing() {
    let mut catalogue = Catalogue::default();
    let now = Instant::default();
    let serving = |catalogue: &Catalogue| {
        catalogue.serving("desk").map(|row| row.id.clone()).collect::<Vec<_>>()
    };
    catalogue.on_instance(now, instance("a"));
    let elsewhere = Instance { address: "10.0.0.2:80".parse().unwrap(), ..instance("c") };
    catalogue.on_instance(now, elsewhere);
    catalogue.on_instance(now, Instance { born: 9, version: 9, ..instance("b") });
    assert_eq!(serving(&catalogue), ["b", "c"]);
    catalogue.on_instance(now, Instance { count: 2, version: 10, ..instance("a") });
    assert_eq!(serving(&catalogue), ["b", "c"]);
    catalogue.on_instance_gone(now, "b", 11);
    assert_eq!(serving(&catalogue), ["a", "c"]);
}

/// An outage of the store lasts so long that registrations expire. Running upstreams
/// register again within two seconds of its recovery. Dropping all of them at once would
/// leave callers without any upstream for that time.
#[test]
fn upstreams_that_expired_in_an_outage_are_kept_for_a_while() {
    let mut catalogue = Catalogue::default();
    let second = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    catalogue.on_instances(second(1), vec![instance("a"), instance("b")], 1, false);
    catalogue.on_instances(second(10), Vec::new(), 2, true);
    assert_eq!(catalogue.serving("desk").count(), 2);
    catalogue.on_instance(second(10), Instance { version: 3, ..instance("a") });
    catalogue.on_tick(second(13));
    let ids: Vec<_> = catalogue.serving("desk").map(|row| row.id.as_str()).collect();
    assert_eq!(ids, ["a"]);
}

/// The connection to the store is unstable: every second a feed fails and the list is
/// read again. An upstream has left meanwhile. If each read restarted the time for which
/// it is kept, requests would be sent to it for as long as the connection is unstable.
#[test]
fn an_unstable_connection_keeps_no_upstream_for_longer() {
    let mut catalogue = Catalogue::default();
    let second = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    catalogue.on_instances(second(1), vec![instance("a"), instance("b")], 1, false);
    for now in 10..14 {
        catalogue.on_instances(second(now), vec![instance("b")], now, true);
        catalogue.on_tick(second(now));
    }
    let ids: Vec<_> = catalogue.serving("desk").map(|row| row.id.as_str()).collect();
    assert_eq!(ids, ["b"]);
}

/// The feed reports that an upstream has left. The store then drops its history, and a
/// list that is read afterwards is some seconds old: it still shows that upstream as
/// ready, and not the one that replaced it. Requests must still go to the new one.
#[test]
fn a_stale_list_reverts_nothing() {
    let mut catalogue = Catalogue::default();
    let row = |id: &str, version| Instance { version, ..instance(id) };
    let now = Instant::from_micros(1);
    catalogue.on_instances(now, vec![row("a", 1), row("b", 2)], 5, false);
    catalogue.on_instance(now, Instance { leaving: true, ..row("a", 6) });
    catalogue.on_instance_gone(now, "b", 7);
    catalogue.on_instance(now, row("c", 8));
    catalogue.on_instances(now, vec![row("a", 1), row("b", 2)], 5, false);
    let ids: Vec<_> = catalogue.serving("desk").map(|row| row.id.as_str()).collect();
    assert_eq!(ids, ["c"]);
    // An upstream may register again under its old id.
    catalogue.on_instance(now, row("b", 9));
    assert_eq!(catalogue.serving("desk").count(), 2);
}

/// An upstream writes that it is ready, and the answer is lost; it then writes that it
/// leaves. The store applies the first write after the second, under a newer version, so
/// the upstream would count as ready again. After a restart under the same id, the count
/// of writes starts from one.
#[test]
fn a_delayed_write_reverts_nothing() {
    let mut catalogue = Catalogue::default();
    let now = Instant::from_micros(1);
    let ready = |version, count| Instance { version, count, ..instance("a") };
    catalogue.on_instance(now, ready(1, 4));
    catalogue.on_instance(now, Instance { leaving: true, ..ready(2, 6) });
    catalogue.on_instance(now, ready(3, 5));
    assert_eq!(catalogue.serving("desk").count(), 0);
    catalogue.on_instance(now, Instance { born: 2, ..ready(4, 1) });
    assert_eq!(catalogue.serving("desk").count(), 1);
}

/// An upstream's write gets no answer, its next ones do, and its row is removed as it leaves. The
/// store then carries out the early write, which would bring the upstream back.
#[test]
fn a_write_from_before_a_departure_brings_nobody_back() {
    for reported in [false, true] {
        let mut catalogue = Catalogue::default();
        let now = Instant::from_micros(1);
        let write = |version, count| Instance { version, count, ..instance("a") };
        catalogue.on_instance(now, write(1, 5));
        if reported {
            assert!(catalogue.on_departure_report(now, "a", 2));
        }
        catalogue.on_instance_gone(now, "a", 2);
        catalogue.on_instance(now, write(3, 3));
        assert_eq!(catalogue.serving("desk").count(), 0, "reported: {reported}");
        catalogue.on_instance(now, write(4, 6));
        assert_eq!(catalogue.serving("desk").count(), 1, "it is back");
    }
}

/// An entry is cut off from the store while an upstream leaves. Another entry that saw it
/// leave reports this at once in three usage reports, as one may be lost. It also does so
/// in each full report, for entries that were cut off from all others.
#[test]
fn entries_that_saw_an_upstream_leave_report_it() {
    let (mut saw, mut cut) = (Catalogue::default(), Catalogue::default());
    let at = |millis: u64| Instant::from_micros(millis * 1_000);
    for catalogue in [&mut saw, &mut cut] {
        catalogue.on_instances(at(0), vec![instance("a"), instance("b")], 1, false);
    }
    saw.on_instance_gone(at(100), "a", 2);
    let reported: Vec<_> = (1..=4).map(|n| saw.departures_to_report(at(100 * n), false)).collect();
    let departure = BTreeMap::from([("a".to_owned(), 2)]);
    assert_eq!(
        reported,
        [departure.clone(), departure.clone(), departure.clone(), BTreeMap::new()]
    );
    assert_eq!(saw.departures_to_report(at(30_000), true), departure);

    assert!(cut.on_departure_report(at(200), "a", 2));
    assert!(!cut.on_departure_report(at(300), "a", 2), "known already");
    assert_eq!(cut.serving("desk").count(), 1);
    assert_eq!(cut.departures_to_report(at(400), true), BTreeMap::new(), "not from the store");
    // When the store is available again, the row is missing, but the registration has
    // not expired: the upstream has left.
    assert_eq!(cut.on_instances(at(900), vec![instance("b")], 3, true), Vec::<String>::new());
    assert_eq!(cut.instances().count(), 1);
    assert_eq!(saw.departures_to_report(at(70_000), true), BTreeMap::new(), "long ago");
}

/// The store drops its history without an outage, and the list is read again. An upstream
/// that is not listed has left.
#[test]
fn upstreams_missing_from_a_list_without_an_outage_are_gone() {
    let mut catalogue = Catalogue::default();
    catalogue.on_instances(Instant::default(), vec![instance("a")], 1, false);
    catalogue.on_instances(Instant::default(), Vec::new(), 2, false);
    assert_eq!(catalogue.instances().count(), 0);
}

/// A host is replaced, and the new one gets the old address. The old row is still in the
/// store, and must not count as a second entry.
#[test]
fn a_daemon_at_the_same_address_replaces_the_old_one() {
    let member = |host: &str| Member {
        host: host.into(),
        role: Role::Entry,
        address: "10.0.0.1:7600".parse().unwrap(),
        zone: "a".into(),
        incarnation: 1,
    };
    let mut catalogue = Catalogue::default();
    catalogue.on_member(member("old"));
    catalogue.on_member(member("new"));
    let hosts: Vec<_> = catalogue.of_role(Role::Entry).map(|row| row.host.as_str()).collect();
    assert_eq!(hosts, ["new"]);
}

/// The store comes back from a copy that lacks an entry which registers again seconds later.
/// Meanwhile the others must not share the limits among too few, and not for good either.
#[test]
fn entries_are_kept_for_a_while_after_the_store_came_back() {
    let entry = |host: &str| Member {
        host: host.into(),
        role: Role::Entry,
        address: format!("10.0.1.{}:7000", host.len()).parse().unwrap(),
        zone: "a".into(),
        incarnation: 1,
    };
    let second = |secs| Instant::default() + Span::from_secs(secs);
    let hosts = |catalogue: &Catalogue| -> Vec<String> {
        catalogue.members().map(|member| member.host.clone()).collect()
    };
    let mut catalogue = Catalogue::default();
    catalogue.on_members(vec![entry("a"), entry("bb"), entry("ccc")]);
    catalogue.on_members_rewound(second(0), vec![entry("bb")], "a");
    // This daemon's own row is missing too, so that it registers again.
    assert_eq!(hosts(&catalogue), ["bb", "ccc"]);
    // Another list within that time.
    catalogue.on_members(vec![entry("a"), entry("bb")]);
    catalogue.on_tick(second(4));
    assert_eq!(hosts(&catalogue), ["a", "bb", "ccc"]);
    catalogue.on_tick(second(5));
    assert_eq!(hosts(&catalogue), ["a", "bb"]);
}

/// A cold upstream fails above its rate. Its row says that it is cold, but the report of
/// another entry says only that it has started.
#[test]
fn an_upstream_that_has_started_is_cold() {
    let mut catalogue = Catalogue::default();
    let limits = ColdLimits { rate: 5.0, time: Span::from_secs(3) };
    let service = Service { cold: Some(limits), ..Service::default() };
    let services = [("desk".to_owned(), service)].into();
    catalogue.on_deployment(Deployment { services, ..deployment(1) });
    let now = Instant::default();
    let remaining = |catalogue: &Catalogue, id: &str| catalogue.cold_remaining(now, id);
    let cold = Instance { cold_remaining: Span::from_secs(1), ..instance("read") };
    catalogue.on_instance(now, cold.clone());
    assert_eq!(remaining(&catalogue, "read"), Span::from_secs(1));
    assert_eq!(catalogue.cold_limits(now, &cold), Some(limits));
    catalogue.on_instance(now, instance("warm"));
    assert_eq!(catalogue.cold_limits(now, &instance("warm")), None);
    let kind = ChangeKind::Upstream(instance("reported"));
    catalogue.on_reported_change(now, TableChange { version: 2, kind });
    assert_eq!(remaining(&catalogue, "reported"), Span::from_secs(3));
    catalogue.on_instance(now, Instance { born: 2, version: 3, ..instance("warm") });
    assert_eq!(remaining(&catalogue, "warm"), Span::from_secs(3));
}

/// An upstream says in an answer that it leaves. A late answer of its predecessor, a later
/// row that says ready, and an older copy of the store that lists it once it is gone must
/// not undo that; its own restart must.
#[test]
fn only_a_later_start_undoes_an_announced_departure() {
    let at = |secs: u64| Instant::from_micros(1_000_000 * (100 + secs));
    let mut catalogue = Catalogue::default();
    let row = |born, version| Instance { born, version, ..instance("a") };
    catalogue.on_instance(at(0), row(5, 1));
    catalogue.on_leaving_answer(at(1), "a", 4);
    assert_eq!(catalogue.listed("desk").len(), 1);
    assert!(catalogue.on_leaving_answer(at(1), "a", 5));
    assert!(!catalogue.on_leaving_answer(at(2), "a", 5));
    catalogue.on_instance(at(3), Instance { count: 9, ..row(5, 2) });
    assert!(catalogue.listed("desk").is_empty());
    catalogue.on_instance_gone(at(4), "a", 3);
    catalogue.on_tick(at(5));
    catalogue.on_instance(at(6), row(5, 4));
    assert!(catalogue.listed("desk").is_empty());
    catalogue.on_instance(at(7), row(6, 5));
    assert_eq!(catalogue.listed("desk").len(), 1);
}

/// An entry of an earlier build reports a row without the software. What the store has said of
/// the same process must hold, and not for a process that has started since.
#[test]
fn a_report_of_an_earlier_build_keeps_the_software() {
    let mut catalogue = Catalogue::default();
    let now = Instant::from_micros(1);
    let row = |born, version, software: &str| Instance {
        born,
        version,
        count: version,
        software: software.to_owned(),
        ..instance("a")
    };
    let report =
        |born, version| TableChange { version, kind: ChangeKind::Upstream(row(born, version, "")) };
    catalogue.on_instance(now, row(1, 1, "v1"));
    catalogue.on_reported_change(now, report(1, 2));
    assert_eq!(catalogue.instance("a").map(|row| row.software.as_str()), Some("v1"));
    catalogue.on_reported_change(now, report(2, 3));
    assert_eq!(catalogue.instance("a").map(|row| row.software.as_str()), Some(""));
}

/// Guards against losing sight of how long an upstream has been withdrawn, and against taking the
/// process that comes after it for the one that left.
#[test]
fn a_withdrawn_upstream_is_known_until_it_registers_again() {
    let mut catalogue = Catalogue::default();
    let at = |millis| Instant::default() + Span::from_millis(millis);
    let row = instance("a");
    catalogue.on_instance(at(0), row.clone());
    assert_eq!((catalogue.withdrawal(&row), catalogue.left_for(at(10), "a")), (None, None));
    let draining = Instance { leaving: true, count: 2, version: 2, ..instance("a") };
    catalogue.on_instance(at(100), draining.clone());
    catalogue.on_instance(at(300), Instance { count: 3, version: 3, ..draining });
    assert_eq!(catalogue.withdrawal(&row), Some(Withdrawal::Leaving));
    assert_eq!(catalogue.left_for(at(400), "a"), Some(Span::from_millis(300)));
    catalogue.on_instance_gone(at(500), "a", 4);
    assert_eq!(catalogue.withdrawal(&row), Some(Withdrawal::Gone));
    assert_eq!(catalogue.left_for(at(600), "a"), Some(Span::from_millis(500)));
    let successor = Instance { born: 2, version: 5, ..instance("a") };
    catalogue.on_instance(at(700), successor.clone());
    assert_eq!(catalogue.withdrawal(&row), Some(Withdrawal::Gone));
    assert_eq!(catalogue.withdrawal(&successor), None);
    assert_eq!(catalogue.left_for(at(800), "a"), None);
}
