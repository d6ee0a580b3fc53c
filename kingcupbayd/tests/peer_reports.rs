//! Entries that learn from each other what the store does not deliver to them. Each
//! entry follows a store of its own, so that a test decides which entry receives a
//! change.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    client,
    registered::{ANY_PORT, Fleet, KEY, config_row, start_entry},
    wait_until,
};
use kingcupbay_core::{id::Number, wire::usage::UsageReport};
use kingcupbay_standin::{Fault, FaultOrder, Registry, Rule, UpstreamServer, UpstreamSettings};
use serde_json::json;

/// Starts an entry on `host` that follows a store of its own, which holds `config(1)` and
/// the entries `listed`.
fn entry_with_own_store(host: &str, listed: &[(&str, &Fleet)]) -> Fleet {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    for (host, fleet) in listed {
        put_entry(&store, host, &fleet.entry.address("peers").to_string());
    }
    let entry = start_entry(host, &store, 1);
    Fleet { store, entry }
}

/// Lists the entry on `host` in the store that `reader` follows.
fn list_entry(reader: &Fleet, host: &str, listed: &Fleet) {
    put_entry(&reader.store, host, &listed.entry.address("peers").to_string());
}

/// Lists an entry on `host` at `address` in `store`.
fn put_entry(store: &Registry, host: &str, address: &str) {
    let row = json!({"host": host, "role": "entry", "address": address, "zone": "zone-a",
        "incarnation": 1});
    store.put("entries", host, &row);
}

/// Raises the version of `store` above those of the others. Each store of a test counts on
/// its own, and entries take the greater version for the newer one: an entry that knows of
/// a greater version elsewhere would pass over a change in its own store.
fn raise_version(store: &Registry, count: u64) {
    for round in 0..count {
        store.put("op", "round", &json!(round));
    }
}

/// Starts two entries that list each other.
fn two_entries() -> [Fleet; 2] {
    let fleets = [entry_with_own_store("entry-1", &[]), entry_with_own_store("entry-2", &[])];
    list_entry(&fleets[0], "entry-2", &fleets[1]);
    list_entry(&fleets[1], "entry-1", &fleets[0]);
    fleets
}

/// An entry is isolated from the store while an upstream leaves and its row is removed.
/// The entry takes its isolation for an outage of the store, in which registrations
/// expire. Without reports from other entries it would send requests to that upstream
/// for as long as it is isolated, and for another 2.5 s.
#[actix_rt::test]
async fn an_entry_without_the_store_learns_of_departures() {
    let [mut isolated, other] = two_entries();
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    for fleet in [&isolated, &other] {
        fleet.register("desk-1", "desk", &upstream);
        fleet.wait_until_ready().await;
    }
    assert_eq!(isolated.send("GET", "/seats/today", "a1").await.status, 200);
    isolated.store.server().add_rule(Rule::new(Fault::Silent));
    raise_version(&other.store, 20);
    other.store.remove("servers", "desk-1");
    wait_until("no more requests to the upstream", async || {
        (isolated.send("GET", "/seats/today", "a2").await.status == 503).then_some(())
    })
    .await;
    wait_until("the lost feed", async || {
        isolated.entry.has_line("table=servers event=feed_lost").then_some(())
    })
    .await;
    isolated.store.remove("servers", "desk-1");
    isolated.store.server().apply(FaultOrder::ClearAll);
    wait_until("the list after the outage", async || {
        isolated.entry.has_line("after_outage=true").then_some(())
    })
    .await;
    assert_eq!(isolated.send("GET", "/seats/today", "a3").await.status, 503);
}

/// A key is withdrawn. The first entry reads that from the store, the second fetches it
/// from the first, and the third can only fetch it from the second. Guards against
/// fetched rows that are missing from the rows that an entry returns: the third would
/// accept the withdrawn key.
#[actix_rt::test]
async fn an_entry_passes_on_a_configuration_from_another_entry() {
    let first = entry_with_own_store("entry-1", &[]);
    let second = entry_with_own_store("entry-2", &[("entry-1", &first)]);
    let third = entry_with_own_store("entry-3", &[("entry-2", &second)]);
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    third.register("desk-1", "desk", &upstream);
    third.wait_until_ready().await;
    raise_version(&second.store, 20);
    list_entry(&second, "entry-3", &third);
    raise_version(&first.store, 60);
    list_entry(&first, "entry-2", &second);
    // Until its share of the limit is known, an entry admits nothing.
    wait_until("the key", async || {
        (third.send("GET", "/seats/today", "a1").await.status == 200).then_some(())
    })
    .await;
    first.store.put("op", "config", &config_row(5, &["another-key"]));
    wait_until("the refusal", async || {
        (third.send("GET", "/seats/today", "a2").await.status == 401).then_some(())
    })
    .await;
}

/// A route and a key are added, which the operator sees acknowledged. An entry that
/// knows of the newer configuration but does not have it yet must ask callers to retry:
/// a caller that is told that the route or the key is unknown does not retry.
#[actix_rt::test]
async fn an_entry_with_an_old_configuration_asks_callers_to_retry() {
    let fleet = Fleet::start(1).await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &upstream);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send_with("GET", "/seats/today", "a1", "new-key", &[]).await.status, 401);
    // Nothing listens at this address.
    put_entry(&fleet.store, "entry-9", "127.0.0.1:1");
    let report = UsageReport {
        host: "entry-9".to_owned(),
        incarnation: 1,
        number: Number(9),
        whole: true,
        ..UsageReport::default()
    };
    let url = format!("http://{}/tally", fleet.entry.address("peers"));
    wait_until("the usage report", async || {
        let answer = client().post(&url).send_body(rmp_serde::to_vec(&report).unwrap()).await;
        answer.is_ok_and(|answer| answer.status().is_success()).then_some(())
    })
    .await;
    for path in ["/seats/today", "/new-route/today"] {
        let got = fleet.send_with("GET", path, "a2", "new-key", &[]).await;
        assert_eq!(got.status, 503, "{path}: {got:?}");
        assert!(got.retry_after.is_some(), "{path}");
    }
    assert_eq!(fleet.send("GET", "/seats/today", "a3").await.status, 200);
}

/// All entries are isolated from the store, or there is only one, when an upstream
/// leaves. Its row is missing from the list that is read afterwards, and no entry knows
/// whether it left or its registration expired. Guards against requests to it while
/// another upstream is listed.
#[actix_rt::test]
async fn a_listed_upstream_is_preferred_to_a_missing_one() {
    let mut fleet = Fleet::start(1).await;
    let upstreams = ["desk-1", "desk-2"].map(|id| {
        let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        fleet.register(id, "desk", &upstream);
        upstream
    });
    fleet.wait_until_ready().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    wait_until("the lost feed", async || {
        fleet.entry.has_line("table=servers event=feed_lost").then_some(())
    })
    .await;
    fleet.store.remove("servers", "desk-1");
    fleet.store.server().apply(FaultOrder::ClearAll);
    wait_until("the list after the outage", async || {
        fleet.entry.has_line("after_outage=true").then_some(())
    })
    .await;
    let before = upstreams[0].runs().len();
    for attempt in 0..20 {
        let got = fleet.send("GET", "/seats/today", &format!("a{attempt}")).await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!(upstreams[0].runs().len(), before);
}
