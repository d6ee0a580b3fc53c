//! Entries of a registered fleet that learn from each other what the store does
//! not tell them. Each entry follows a store of its own, so that a test decides
//! which of them hears of a change.

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

/// An entry on `host` that follows a store of its own, which knows `config(1)`.
fn alone(host: &str) -> Fleet {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    let entry = start_entry(host, &store, 1);
    Fleet { store, entry }
}

/// Lists the entry on `host` in the store that `reader` follows.
fn list(reader: &Fleet, host: &str, listed: &Fleet) {
    list_at(reader, host, &listed.entry.address("peers").to_string());
}

fn list_at(reader: &Fleet, host: &str, address: &str) {
    let row = json!({"host": host, "role": "entry", "address": address, "zone": "zone-a",
        "incarnation": 1});
    reader.store.put("entries", host, &row);
}

/// Two entries that list each other.
fn two() -> [Fleet; 2] {
    let fleets = [alone("entry-1"), alone("entry-2")];
    list(&fleets[0], "entry-2", &fleets[1]);
    list(&fleets[1], "entry-1", &fleets[0]);
    fleets
}

/// One entry is cut off from the store, the others are not. A desk says that it
/// leaves, and its row goes. The entry that was cut off went on booking there for as
/// long as the cut lasted, and for 2.5 s after it: it took its own cut for an outage of
/// the store, in which registrations lapse. The evidence: its list read at 17.555 s,
/// "after_outage", was one short; the desk had gone at 8.008 s; at 20.050 s it got a
/// request. The other entries had dropped it by 8.49 s and told of nothing.
#[actix_rt::test]
async fn an_entry_cut_off_from_the_store_hears_who_leaves() {
    let [mut cut, other] = two();
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    for fleet in [&cut, &other] {
        fleet.register("desk-1", "desk", &desk);
        fleet.wait_until_ready().await;
    }
    assert_eq!(cut.send("GET", "/seats/today", "a1").await.status, 200);
    cut.store.server().add_rule(Rule::new(Fault::Silent));
    // The two stores count on their own; a removal is newer than what it removes.
    for round in 0..20 {
        other.store.put("op", "round", &json!(round));
    }
    other.store.remove("servers", "desk-1");
    wait_until("no more bookings at the desk", async || {
        (cut.send("GET", "/seats/today", "a2").await.status == 503).then_some(())
    })
    .await;
    wait_until("the cut to show", async || {
        cut.entry.has_line("table=servers event=feed_lost").then_some(())
    })
    .await;
    cut.store.remove("servers", "desk-1");
    cut.store.server().apply(FaultOrder::ClearAll);
    wait_until("the list after the cut", async || {
        cut.entry.has_line("after_outage=true").then_some(())
    })
    .await;
    assert_eq!(cut.send("GET", "/seats/today", "a3").await.status, 503);
}

/// A key is withdrawn. The first entry reads it, the second has it from the first,
/// and the third hears of it from the second only. What an entry had from another
/// was not among the rows that it gave, so the third obeyed the withdrawn key.
#[actix_rt::test]
async fn what_an_entry_was_told_it_tells_on() {
    let fleets = [alone("entry-1"), alone("entry-2"), alone("entry-3")];
    let [first, second, third] = &fleets;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    third.register("desk-1", "desk", &desk);
    third.wait_until_ready().await;
    list(first, "entry-2", second);
    list(second, "entry-1", first);
    list(second, "entry-3", third);
    list(third, "entry-2", second);
    assert_eq!(third.send("GET", "/seats/today", "a1").await.status, 200);
    first.store.put("op", "config", &config_row(5, &["another-key"]));
    wait_until("the refusal", async || {
        (third.send("GET", "/seats/today", "a2").await.status == 401).then_some(())
    })
    .await;
}

/// A route was added and a key given out, as the operator saw acknowledged. An entry
/// that has heard of the newer configuration but does not have it yet told their
/// first callers that there is no such route or key, and nobody asks again after
/// that. It cannot know, so it has to ask them to come back.
#[actix_rt::test]
async fn an_entry_that_is_behind_calls_nothing_unknown() {
    let fleet = Fleet::start(1).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send_with("GET", "/seats/today", "a1", "new-key", &[]).await.status, 401);
    // Nobody answers there.
    list_at(&fleet, "entry-9", "127.0.0.1:1");
    let tally = UsageReport {
        host: "entry-9".to_owned(),
        incarnation: 1,
        number: Number(9),
        whole: true,
        ..UsageReport::default()
    };
    let url = format!("http://{}/tally", fleet.entry.address("peers"));
    wait_until("the tally", async || {
        let told = client().post(&url).send_body(rmp_serde::to_vec(&tally).unwrap()).await;
        told.is_ok_and(|answer| answer.status().is_success()).then_some(())
    })
    .await;
    for path in ["/seats/today", "/new-route/today"] {
        let got = fleet.send_with("GET", path, "a2", "new-key", &[]).await;
        assert_eq!(got.status, 503, "{path}: {got:?}");
        assert!(got.retry_after.is_some(), "{path}");
    }
    assert_eq!(fleet.send("GET", "/seats/today", "a3").await.status, 200);
}

/// All entries are cut off from the store, or there is only one; a desk leaves, and its
/// row is missing from the list that is read afterwards. Nobody can tell whether it left
/// or its registration lapsed. Bookings went to it like to the one that is listed.
#[actix_rt::test]
async fn a_listed_desk_goes_before_one_that_is_missing() {
    let mut fleet = Fleet::start(1).await;
    let desks = ["desk-1", "desk-2"].map(|id| {
        let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        fleet.register(id, "desk", &desk);
        desk
    });
    fleet.wait_until_ready().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    wait_until("the cut to show", async || {
        fleet.entry.has_line("table=servers event=feed_lost").then_some(())
    })
    .await;
    fleet.store.remove("servers", "desk-1");
    fleet.store.server().apply(FaultOrder::ClearAll);
    wait_until("the list after the cut", async || {
        fleet.entry.has_line("after_outage=true").then_some(())
    })
    .await;
    let before = desks[0].runs().len();
    for attempt in 0..20 {
        let got = fleet.send("GET", "/seats/today", &format!("a{attempt}")).await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!(desks[0].runs().len(), before);
}
