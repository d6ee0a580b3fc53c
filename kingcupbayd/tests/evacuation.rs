//! Evacuated availability zones of a registered fleet.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    client, get_text,
    registered::{
        ANY_PORT, Fleet, KEY, STREAM_HEADERS, config_row, request_tour, start_engine_fleet,
        start_entry, start_sidecar,
    },
    wait_until,
};
use kingcupbay_core::wire::{
    evacuation::{EvacuationReport, ZoneState},
    usage::StoredRows,
};
use kingcupbay_standin::{Fault, FaultOrder, Registry, Rule, UpstreamServer, UpstreamSettings};
use serde_json::json;

/// Starts two upstreams of the plain service, each in a zone of its own.
fn desks(fleet: &Fleet) -> [UpstreamServer; 2] {
    [("desk-1", "zone-a"), ("desk-2", "zone-b")].map(|(id, zone)| {
        let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        let mut row = upstream.registration("desk", "ready");
        row["zone"] = json!(zone);
        fleet.store.put("servers", id, &row);
        upstream
    })
}

fn evacuate(store: &Registry, zone: &str) -> u64 {
    store.put("op", &format!("evacuate/{zone}"), &json!({}))
}

fn restore(store: &Registry, zone: &str) {
    store.remove("op", &format!("evacuate/{zone}"));
}

async fn wait_for_line(fleet: &mut Fleet, text: &str) {
    wait_until(text, async || fleet.entry.has_line(text).then_some(())).await;
}

/// Sends requests until `upstream` has run one.
async fn wait_for_request(fleet: &Fleet, upstream: &UpstreamServer) {
    let mut attempts = 0;
    wait_until("a request in the zone", async || {
        attempts += 1;
        fleet.send("GET", "/seats/today", &format!("b{attempts}")).await;
        (!upstream.runs().is_empty()).then_some(())
    })
    .await;
}

/// The operator evacuates a zone and restores it. All requests go to the other zone, then
/// to both again.
#[actix_rt::test]
async fn an_evacuated_zone_gets_no_requests_until_it_is_restored() {
    let mut fleet = Fleet::start(1).await;
    let upstreams = desks(&fleet);
    fleet.wait_until_ready().await;
    evacuate(&fleet.store, "zone-a");
    wait_for_line(&mut fleet, "evacuated=true zone=zone-a event=zone").await;
    for attempt in 0..20 {
        let got = fleet.send("GET", "/seats/today", &format!("a{attempt}")).await;
        assert_eq!(got.body.unwrap(), "done by desk-2");
    }
    restore(&fleet.store, "zone-a");
    wait_for_request(&fleet, &upstreams[0]).await;
}

/// All zones are evacuated. A request must be refused at once with the time to come back,
/// and must not have run, instead of waiting until its deadline.
#[actix_rt::test]
async fn requests_are_refused_at_once_if_all_zones_are_evacuated() {
    let mut fleet = Fleet::start(1).await;
    let upstreams = desks(&fleet);
    fleet.wait_until_ready().await;
    evacuate(&fleet.store, "zone-a");
    evacuate(&fleet.store, "zone-b");
    wait_for_line(&mut fleet, "evacuated=true zone=zone-b event=zone").await;
    let got = fleet.send("POST", "/book/table", "a1").await;
    assert_eq!((got.status, got.retry_after.as_deref()), (503, Some("2.000")), "{got:?}");
    assert!(got.body.unwrap().contains("all zones are evacuated"));
    assert!(upstreams.iter().all(|upstream| upstream.runs().is_empty()));
    let text = get_text(&fleet.entry, "/metrics").await;
    assert!(text.contains("kingcupbay_evacuated_zones 2"), "{text}");
}

/// An entry starts, or starts again, while a zone is evacuated. It must know that before
/// it takes callers.
#[actix_rt::test]
async fn an_entry_knows_evacuated_zones_before_it_is_ready() {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    evacuate(&store, "zone-a");
    let entry = start_entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    let upstreams = desks(&fleet);
    fleet.wait_until_ready().await;
    wait_until("an answer", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 200).then_some(())
    })
    .await;
    assert!(upstreams[0].runs().is_empty());
    // An entry that starts while the store is away fetches this one's rows.
    let url = format!("http://{}/rows", fleet.entry.address("peers"));
    let rows = client().get(url).send().await.unwrap().body().await.unwrap();
    let rows: StoredRows = rmp_serde::from_slice(&rows).unwrap();
    assert!(rows.rows.iter().any(|row| row.key == "evacuate/zone-a"));
}

/// A zone is restored while the entry cannot reach the store, which drops its history. No
/// row says so afterwards: the zone is only missing from the list.
#[actix_rt::test]
async fn a_zone_that_was_restored_in_an_outage_gets_requests_again() {
    let mut fleet = Fleet::start(1).await;
    let upstreams = desks(&fleet);
    evacuate(&fleet.store, "zone-a");
    fleet.wait_until_ready().await;
    wait_for_line(&mut fleet, "evacuated=true zone=zone-a event=zone").await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    wait_for_line(&mut fleet, "table=op event=feed_lost").await;
    restore(&fleet.store, "zone-a");
    fleet.store.drop_history();
    fleet.store.server().apply(FaultOrder::ClearAll);
    wait_for_line(&mut fleet, "why=list").await;
    wait_for_request(&fleet, &upstreams[0]).await;
}

/// Sends the daemon at `peers` a reader's report.
async fn report(peers: &str, zone: &str, state: ZoneState) {
    let report = EvacuationReport { zones: [(zone.to_owned(), state)].into() };
    let body = rmp_serde::to_vec_named(&report).unwrap();
    let url = format!("http://{peers}/evacuations");
    let answer = client().post(url).send_body(body).await.unwrap();
    assert_eq!(answer.status(), 204);
}

/// An entry cannot reach the store when a zone is evacuated, but another entry can. A
/// report that is older than what the entry knows must change nothing.
#[actix_rt::test]
async fn an_entry_without_the_store_learns_of_evacuations() {
    let mut fleet = Fleet::start(1).await;
    let _upstreams = desks(&fleet);
    fleet.wait_until_ready().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    let peers = fleet.entry.address("peers").to_string();
    report(&peers, "zone-a", ZoneState::evacuated(100)).await;
    report(&peers, "zone-a", ZoneState::restored(90)).await;
    for attempt in 0..10 {
        let got = fleet.send("GET", "/seats/today", &format!("a{attempt}")).await;
        assert_eq!(got.body.unwrap(), "done by desk-2");
    }
    report(&peers, "zone-a", ZoneState::restored(110)).await;
    wait_for_line(&mut fleet, "evacuated=false zone=zone-a event=zone").await;
}

/// The sidecar does not answer when the zone is evacuated. The request must not wait for
/// it until its deadline.
#[actix_rt::test]
async fn a_request_leaves_a_silent_sidecar_when_its_zone_is_evacuated() {
    let (fleet, engine, sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
    let runs = engine.runs().len();
    sidecar.signal("-STOP");
    let sent = fleet.send_with("POST", "/tour/day", "a2", KEY, STREAM_HEADERS);
    let evacuated = async {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        evacuate(&fleet.store, "zone-a");
    };
    let (got, ()) = futures_util::future::join(sent, evacuated).await;
    sidecar.signal("-CONT");
    assert_eq!((got.status, got.retry_after.as_deref()), (503, Some("2.000")), "{got:?}");
    assert_eq!(engine.runs().len(), runs);
}

/// The entry does not know that the zone is evacuated, the sidecar does. The sidecar must
/// refuse the request as not run, and the engine gets neither request nor order.
#[actix_rt::test]
async fn a_sidecar_in_an_evacuated_zone_grants_no_permits() {
    let sidecar_store = Registry::start(ANY_PORT).unwrap();
    sidecar_store.put("op", "config", &config_row(1, &[KEY]));
    evacuate(&sidecar_store, "zone-a");
    let engine = UpstreamServer::start(ANY_PORT, UpstreamSettings::engine("gpu-1", 2)).unwrap();
    let mut sidecar = start_sidecar("upstream-1", &sidecar_store, &engine);
    let mut fleet = Fleet::start(sidecar.address("peers").port()).await;
    fleet.register("gpu-1", "writer", &engine);
    fleet.wait_until_ready().await;
    wait_until("the evacuation", async || {
        sidecar.has_line("evacuated=true zone=zone-a event=zone").then_some(())
    })
    .await;
    let got = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS).await;
    assert_eq!(got.status, 503, "{got:?}");
    wait_for_line(&mut fleet, "why=evacuated").await;
    assert!(engine.runs().is_empty() && engine.orders().is_empty());
}
