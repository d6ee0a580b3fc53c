//! Routes, callers, and what is kept of what the store tells.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, rc::Rc};

use kingcupbay_core::{
    config::model::{KeyHash, Role},
    deployment::{
        catalogue::{Catalogue, Member},
        lookup::Caller,
        model::{AdapterName, Deployment, Instance, Organisation, Repeat, Route, Target},
    },
    id::Number,
    time::{Instant, Span},
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
fn a_key_names_its_organisation_and_no_other_is_let_in() {
    let deployment = deployment(1);
    let route = &deployment.routes[0];
    let known = deployment.caller(route, Some(&KeyHash::of("key")));
    assert!(matches!(known, Caller::Organisation(who) if who.name == "winery"));
    assert_eq!(deployment.caller(route, Some(&KeyHash::of("other"))), Caller::Unknown);
    assert_eq!(deployment.caller(route, None), Caller::Unknown);
}

#[test]
fn a_split_sends_each_service_its_part() {
    let route = route("all", "desk.example", "/");
    let new = (0..1_000).filter(|&draw| route.target(draw) == "new").count();
    assert_eq!(new, 100);
}

/// A read that began before a key was withdrawn is answered after the feed has
/// told of it. The older configuration must not bring the key back.
#[test]
fn a_configuration_never_goes_back() {
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
    }
}

/// An engine crashed and came back at its address under a new id. The row of before
/// outlasted it for some heartbeats, and callers were sent to the id that was no more.
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

/// The store is away so long that registrations lapse. Those that live write
/// themselves anew within two seconds of its return; dropping all at once would
/// leave callers without any upstream for that time.
#[test]
fn upstreams_that_lapsed_in_an_outage_are_kept_for_a_while() {
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

/// The way to the store is unsteady: every second a feed fails and the list is read
/// anew. A desk left meanwhile. Each read took it for lapsed and kept it from then
/// on, so bookings went to it for as long as the way stayed unsteady.
#[test]
fn an_unsteady_way_to_the_store_keeps_no_upstream_for_longer() {
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

/// A desk left, as the feed told. The store then drops its history, and a list that is
/// read afterwards is some seconds old: it still shows the desk as ready, and not the
/// one that came for it. Bookings must go on to the new one.
#[test]
fn an_older_list_undoes_nothing() {
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
    // It may come back under its name.
    catalogue.on_instance(now, row("b", 9));
    assert_eq!(catalogue.serving("desk").count(), 2);
}

/// A desk writes that it is ready, and the answer is lost; it then writes that it leaves.
/// The store carries the first out after the second, under a newer version: the desk
/// would count as ready again. One that is started anew under its name counts from one.
#[test]
fn a_row_that_was_written_late_undoes_nothing() {
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

/// An entry is cut off from the store while a desk leaves. Another one saw that and
/// tells of it: at once in three tallies, as one may be lost, and in each whole one,
/// for who comes back from being cut off from everybody.
#[test]
fn who_saw_an_upstream_leave_tells_the_others() {
    let (mut saw, mut cut) = (Catalogue::default(), Catalogue::default());
    let at = |millis: u64| Instant::from_micros(millis * 1_000);
    for catalogue in [&mut saw, &mut cut] {
        catalogue.on_instances(at(0), vec![instance("a"), instance("b")], 1, false);
    }
    saw.on_instance_gone(at(100), "a", 2);
    let told: Vec<_> = (1..=4).map(|n| saw.departures_to_report(at(100 * n), false)).collect();
    let news = BTreeMap::from([("a".to_owned(), 2)]);
    assert_eq!(told, [news.clone(), news.clone(), news.clone(), BTreeMap::new()]);
    assert_eq!(saw.departures_to_report(at(30_000), true), news);

    assert!(cut.on_departure_report(at(200), "a", 2));
    assert!(!cut.on_departure_report(at(300), "a", 2), "no news");
    assert_eq!(cut.serving("desk").count(), 1);
    assert_eq!(cut.departures_to_report(at(400), true), BTreeMap::new(), "second-hand");
    // After the cut its row is missing, which is no lapse.
    assert_eq!(cut.on_instances(at(900), vec![instance("b")], 3, true), Vec::<String>::new());
    assert_eq!(cut.instances().count(), 1);
    assert_eq!(saw.departures_to_report(at(70_000), true), BTreeMap::new(), "long ago");
}

/// A list read anew after dropped history, with the store there all the while,
/// is the truth: what is missing has left.
#[test]
fn upstreams_missing_from_a_list_without_an_outage_are_gone() {
    let mut catalogue = Catalogue::default();
    catalogue.on_instances(Instant::default(), vec![instance("a")], 1, false);
    catalogue.on_instances(Instant::default(), Vec::new(), 2, false);
    assert_eq!(catalogue.instances().count(), 0);
}

/// A host is replaced, and the new one gets the old address. The row of the old
/// one is still in the store; both would be taken for one entry each.
#[test]
fn a_member_at_the_same_address_takes_the_place_of_the_old_one() {
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
