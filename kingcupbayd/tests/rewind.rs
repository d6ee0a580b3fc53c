//! A store that comes back from an older copy: what was written since is gone, and its
//! versions are given out again. The operator, the upstreams and the entries write again.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    get_text,
    registered::{ANY_PORT, Fleet, KEY, config_row, request_tour, start_entry, start_sidecar},
    wait_until,
};
use kingcupbay_standin::{Fault, FaultOrder, Rule, UpstreamServer, UpstreamSettings};
use serde_json::{Value, json};

const KEYS: &[&str] = &[KEY];

async fn wait_for_line(fleet: &mut Fleet, text: &str) {
    wait_until(text, async || fleet.entry.has_line(text).then_some(())).await;
}

/// Raises the store's version, as writes of others do.
fn write_more(fleet: &Fleet, count: u64) {
    for round in 0..count {
        fleet.store.put("other", "round", &json!(round));
    }
}

/// Returns the registration of an upstream that has written `seq` rows since its start.
fn registration(upstream: &UpstreamServer, state: &str, seq: u64) -> Value {
    let mut row = upstream.registration("desk", state);
    row["seq"] = json!(seq);
    row
}

fn start_desk(id: &str) -> UpstreamServer {
    UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap()
}

/// Starts an entry that knows one upstream, and returns it with the version of the store.
async fn start() -> (Fleet, UpstreamServer, u64) {
    let fleet = Fleet::start(1).await;
    let desk = start_desk("desk-1");
    fleet.store.put("servers", "desk-1", &registration(&desk, "ready", 1));
    fleet.wait_until_ready().await;
    wait_until("an answer", async || {
        (fleet.send("GET", "/seats/today", "a0").await.status == 200).then_some(())
    })
    .await;
    let version = fleet.store.version();
    (fleet, desk, version)
}

/// Changes after the return have versions that the entry has passed already. They must not
/// be ignored until the counter has caught up.
#[actix_rt::test]
async fn changes_after_a_return_are_applied() {
    let (mut fleet, _desk, version) = start().await;
    write_more(&fleet, 50);
    // The entry's feed has passed all of them.
    fleet.store.put("op", "config", &config_row(2, KEYS));
    wait_for_line(&mut fleet, "number=2 event=configuration").await;
    fleet.store.rewind(version);
    wait_for_line(&mut fleet, "table=op event=reread").await;
    fleet.store.put("op", "config", &config_row(3, &["another-key"]));
    wait_until("the refusal", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 401).then_some(())
    })
    .await;
    let second = start_desk("desk-2");
    fleet.store.put("servers", "desk-2", &registration(&second, "ready", 1));
    wait_until("a request at the second upstream", async || {
        let attempt = format!("a{}", second.runs().len() + fleet.entry.seen.len());
        fleet.entry.has_line("");
        fleet.send_with("GET", "/seats/today", &attempt, "another-key", &[]).await;
        (!second.runs().is_empty()).then_some(())
    })
    .await;
    let text = get_text(&fleet.entry, "/metrics").await;
    assert!(text.contains("kingcupbay_store_era 1"), "{text}");
}

/// A key was withdrawn after the copy was made. The configuration must not go back, and the
/// daemons that fetch rows from this one must get the newer one.
#[actix_rt::test]
async fn a_withdrawn_key_stays_withdrawn_after_a_return() {
    let (mut fleet, _desk, version) = start().await;
    fleet.store.put("op", "config", &config_row(5, &["another-key"]));
    wait_until("the refusal", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 401).then_some(())
    })
    .await;
    fleet.store.rewind(version);
    wait_for_line(&mut fleet, "table=op event=reread").await;
    assert_eq!(fleet.send("GET", "/seats/today", "a2").await.status, 401);
    let url = format!("http://{}/rows", fleet.entry.address("peers"));
    let rows = common::client().get(url).send().await.unwrap().body().await.unwrap();
    let rows: kingcupbay_core::wire::usage::StoredRows = rmp_serde::from_slice(&rows).unwrap();
    let config = rows.rows.iter().find(|row| row.key == "config").unwrap();
    assert!(String::from_utf8_lossy(&config.value.0).contains("another-key"));
}

/// The copy is from before the entry has registered. An entry that is not listed is not
/// counted by the others, and they would admit its part of the limits as well.
#[actix_rt::test]
async fn an_entry_registers_again_after_a_return() {
    let (mut fleet, _desk, _) = start().await;
    wait_until("the entry's row", async || (!fleet.store.keys("entries").is_empty()).then_some(()))
        .await;
    fleet.store.rewind(1);
    wait_for_line(&mut fleet, "table=entries event=reread").await;
    wait_until("the entry's row", async || (!fleet.store.keys("entries").is_empty()).then_some(()))
        .await;
    // The upstream is missing as well, and is used until it registers again.
    assert_eq!(fleet.send("GET", "/seats/today", "a1").await.status, 200);
}

/// The copy shows an upstream that has left since, and another one as ready that is
/// leaving. Neither may get requests.
#[actix_rt::test]
async fn an_upstream_that_left_does_not_come_back_with_a_copy() {
    let (mut fleet, desk, _) = start().await;
    let gone = start_desk("desk-2");
    let stays = start_desk("desk-3");
    fleet.store.put("servers", "desk-2", &registration(&gone, "ready", 4));
    fleet.store.put("servers", "desk-3", &registration(&stays, "ready", 4));
    wait_for_line(&mut fleet, "address=").await;
    let version = fleet.store.version();
    wait_until("all upstreams", async || {
        ["desk-2", "desk-3"]
            .iter()
            .all(|id| fleet.entry.has_line(&format!("id={id} event=upstream")))
            .then_some(())
    })
    .await;
    fleet.store.put("servers", "desk-1", &registration(&desk, "draining", 2));
    fleet.store.remove("servers", "desk-2");
    wait_for_line(&mut fleet, "id=desk-2 event=upstream_gone").await;
    fleet.store.rewind(version);
    wait_for_line(&mut fleet, "table=servers event=reread").await;
    for attempt in 0..20 {
        let got = fleet.send("GET", "/seats/today", &format!("b{attempt}")).await;
        assert_eq!(got.body.unwrap(), "done by desk-3");
    }
    // It was there all the time, and has written more than the copy shows.
    fleet.store.put("servers", "desk-2", &registration(&gone, "ready", 5));
    wait_until("a request at the upstream", async || {
        let attempt = format!("c{}", fleet.entry.seen.len());
        fleet.entry.has_line("");
        fleet.send("GET", "/seats/today", &attempt).await;
        (!gone.runs().is_empty()).then_some(())
    })
    .await;
}

/// A zone was evacuated after the copy was made. It stays so until the operator has had the
/// time to write that again.
#[actix_rt::test]
async fn an_evacuated_zone_stays_evacuated_after_a_return() {
    let (mut fleet, _desk, version) = start().await;
    fleet.store.put("op", "evacuate/zone-a", &json!({}));
    wait_for_line(&mut fleet, "evacuated=true zone=zone-a event=zone").await;
    fleet.store.rewind(version);
    wait_for_line(&mut fleet, "table=op event=reread").await;
    assert_eq!(fleet.send("GET", "/seats/today", "a1").await.status, 503);
    fleet.store.put("op", "evacuate/zone-a", &json!({}));
    fleet.store.put("op", "round", &json!({}));
    fleet.store.remove("op", "evacuate/zone-a");
    wait_until("an answer", async || {
        (fleet.send("GET", "/seats/today", "a2").await.status == 200).then_some(())
    })
    .await;
}

/// A feed's answer from before the return arrives after answers from after it.
#[actix_rt::test]
async fn an_answer_from_before_a_return_is_discarded() {
    let (mut fleet, _desk, version) = start().await;
    let late = Rule::new(Fault::LateAnswer { millis: 400 }).path("/v1/rows-feed");
    let rule = fleet.store.server().add_rule(late);
    fleet.store.put("op", "config", &config_row(2, KEYS));
    fleet.store.server().wait_for_hits(rule, 1).await;
    fleet.store.rewind(version);
    fleet.store.server().apply(FaultOrder::ClearAll);
    wait_for_line(&mut fleet, "event=store_era").await;
    fleet.store.put("op", "config", &config_row(3, &["another-key"]));
    wait_until("the refusal", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 401).then_some(())
    })
    .await;
}

/// The fencing number of a sidecar that starts after the return must be greater than that
/// of the one before, although the store counts from a lower version again.
#[actix_rt::test]
async fn fencing_numbers_rise_over_a_return() {
    let store = kingcupbay_standin::Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, KEYS));
    let engine = UpstreamServer::start(ANY_PORT, UpstreamSettings::engine("gpu-1", 2)).unwrap();
    let sidecar = start_sidecar("upstream-1", &store, &engine);
    let port = sidecar.address("peers").port();
    let entry = start_entry("entry-1", &store, port);
    let fleet = Fleet { store, entry };
    fleet.register("gpu-1", "writer", &engine);
    fleet.wait_until_ready().await;
    request_tour(&fleet, "a1", None).await;
    let before = engine.order_issuers().last().unwrap().fencing;
    fleet.store.rewind(1);
    drop(sidecar);
    engine.server().apply(FaultOrder::Restart);
    let successor = start_sidecar("upstream-2", &fleet.store, &engine);
    wait_until("an order of the successor", async || {
        let address = successor.address("peers");
        let request = kingcupbay_core::deployment::model::AdapterName {
            model: "base".to_owned(),
            adapter: Some("roses".to_owned()),
        };
        let body = rmp_serde::to_vec_named(&request).unwrap();
        let url = format!("http://{address}/copy");
        let _ = common::client().post(url).send_body(body).await;
        let last = engine.order_issuers().last().cloned()?;
        (last.holder == "upstream-2").then_some(())
    })
    .await;
    let after = engine.order_issuers().last().unwrap().fencing;
    assert!(before < after, "{before} then {after}");
}
