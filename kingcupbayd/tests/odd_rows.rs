//! Rows of another writer among those of the store.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    get_text,
    registered::{ANY_PORT, Fleet, KEY, config_row, start_entry},
    wait_until,
};
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};
use serde_json::{Value, json};

/// Values that are no base64.
fn odd_values() -> Vec<Value> {
    let nested = |depth| (0..depth).fold(json!(1), |inner, _| json!([inner]));
    let row = json!({"service": "desk", "address": "127.0.0.1:1", "state": "ready"});
    vec![json!(17), row, json!([]), nested(150), json!("no base64!")]
}

fn desk(id: &str) -> UpstreamServer {
    UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap()
}

/// Sends requests until `upstream` has run one.
async fn wait_for_request(fleet: &Fleet, upstream: &UpstreamServer) {
    let mut attempts = 0;
    wait_until("a request at the upstream", async || {
        attempts += 1;
        fleet.send("GET", "/seats/today", &format!("a{attempts}")).await;
        (!upstream.runs().is_empty()).then_some(())
    })
    .await;
}

/// Guards against an entry that no longer follows the upstreams beside a row that it cannot read.
#[actix_rt::test]
async fn an_entry_follows_the_upstreams_beside_odd_rows() {
    for odd in odd_values() {
        let fleet = Fleet::start(1).await;
        let _first = fleet.start_plain("desk-1");
        fleet.wait_until_ready().await;
        fleet.store.put_unencoded("servers", "odd", odd);
        let second = desk("desk-2");
        fleet.register("desk-2", "desk", &second);
        wait_for_request(&fleet, &second).await;
        fleet.store.remove("servers", "desk-1");
        wait_until("the other upstream to be left out", async || {
            let got = fleet.send("GET", "/seats/today", "b").await;
            (got.body.unwrap() == "done by desk-2").then_some(())
        })
        .await;
    }
}

/// Guards against an entry that does not come up beside such rows, in any table that it reads.
#[actix_rt::test]
async fn an_entry_starts_beside_odd_rows() {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    for (number, odd) in odd_values().into_iter().enumerate() {
        for table in ["op", "servers", "entries", "mixed"] {
            store.put_unencoded(table, &format!("odd-{number}"), odd.clone());
        }
    }
    let upstream = desk("desk-1");
    store.put("servers", "desk-1", &upstream.registration("desk", "ready"));
    let entry = start_entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send("GET", "/seats/today", "a").await.status, 200);
    let counts = get_text(&fleet.entry, "/metrics").await;
    let unreadable = "kingcupbay_unreadable_rows_total{table=\"servers\"} 5";
    assert!(counts.contains(unreadable), "{counts}");
}

/// Guards against sending to an upstream whose registration another writer has replaced, and
/// against forgetting it once it registers again.
#[actix_rt::test]
async fn an_odd_row_takes_its_upstream_out_until_it_registers_again() {
    for odd in odd_values() {
        let fleet = Fleet::start(1).await;
        let first = fleet.start_plain("desk-1");
        let _second = fleet.start_plain("desk-2");
        fleet.wait_until_ready().await;
        wait_for_request(&fleet, &first).await;
        fleet.store.put_unencoded("servers", "desk-1", odd);
        wait_until("the upstream to be left out", async || {
            let mut answers = Vec::new();
            for attempt in 0..8 {
                let got = fleet.send("GET", "/seats/today", &format!("b{attempt}")).await;
                answers.push(got.body.unwrap());
            }
            answers.iter().all(|answer| answer == "done by desk-2").then_some(())
        })
        .await;
        let before = first.runs().len();
        fleet.register("desk-1", "desk", &first);
        let mut attempts = 0;
        wait_until("the upstream to be back", async || {
            attempts += 1;
            fleet.send("GET", "/seats/today", &format!("c{attempts}")).await;
            (first.runs().len() > before).then_some(())
        })
        .await;
    }
}

/// Guards against an entry that stays off the list of entries once another writer has replaced its
/// row.
#[actix_rt::test]
async fn an_entry_whose_row_is_odd_registers_again() {
    let mut fleet = Fleet::start(1).await;
    let _upstream = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    wait_until("its row", async || {
        fleet.store.keys("entries").contains(&"entry-1".to_owned()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.entry.lines_with("event=registered").len();
    fleet.store.put_unencoded("entries", "entry-1", json!(17));
    wait_until("another registration", async || {
        (fleet.entry.lines_with("event=registered").len() > before).then_some(())
    })
    .await;
}
