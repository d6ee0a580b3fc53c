//! An entry that leaves reading the store to others. The test plays the readers, which
//! the store lists with an incarnation that puts them first.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use common::{
    client, get_text,
    registered::{ANY_PORT, Fleet, KEY, config_row},
    wait_until,
};
use kingcupbay_core::{
    deployment::model::Instance,
    id::Number,
    time::Span,
    wire::{
        read_position::{ChangeKind, ReadPosition, Table, TableChange},
        usage::UsageReport,
    },
};
use kingcupbay_standin::{Fault, FaultOrder, Rule, UpstreamServer, UpstreamSettings};
use serde_json::json;

const READERS: [&str; 4] = ["reader-1", "reader-2", "reader-3", "reader-4"];

/// An entry behind four readers; nobody answers at their addresses.
async fn listener() -> Fleet {
    let fleet = Fleet::start(1).await;
    for (index, host) in READERS.iter().enumerate() {
        let row = json!({"host": host, "role": "entry", "address": format!("127.0.0.1:{}", index + 1),
            "zone": "zone-a", "incarnation": 0});
        fleet.store.put("entries", host, &row);
    }
    fleet
}

/// Version of the store as it is now. A reading of a newer one would claim to know what
/// has not happened yet.
fn version(fleet: &Fleet) -> u64 {
    fleet.store.put("op", "round", &json!({}))
}

fn reading(version: u64, since: u64, changes: Vec<TableChange>) -> ReadPosition {
    ReadPosition { version, age: Span::ZERO, since, changes }
}

/// The first reader tells `readings`, the others that they are there.
async fn tell(fleet: &Fleet, readings: BTreeMap<Table, ReadPosition>) {
    for host in READERS {
        let told = if host == READERS[0] { readings.clone() } else { BTreeMap::new() };
        send(fleet, host, told).await;
    }
}

async fn send(fleet: &Fleet, host: &str, readings: BTreeMap<Table, ReadPosition>) {
    let tally = UsageReport {
        host: host.to_owned(),
        incarnation: 0,
        number: Number(1),
        whole: true,
        positions: readings,
        ..UsageReport::default()
    };
    let url = format!("http://{}/tally", fleet.entry.address("peers"));
    let told = client().post(&url).send_body(rmp_serde::to_vec(&tally).unwrap()).await.unwrap();
    assert!(told.status().is_success(), "{told:?}");
}

/// Tells that nothing has happened up to `version` until a line holds `text`.
async fn tell_until(fleet: &mut Fleet, tables: &[Table], version: u64, text: &str) {
    wait_until(text, async || {
        let calm = |&table: &Table| (table, reading(version, 0, Vec::new()));
        tell(fleet, tables.iter().map(calm).collect()).await;
        fleet.entry.has_line(text).then_some(())
    })
    .await;
}

fn desk(id: &str, upstream: &UpstreamServer, version: u64) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: upstream.server().address(),
        zone: "zone-a".to_owned(),
        slots: 8,
        leaving: false,
        born: 1,
        count: 0,
        models: Vec::new(),
        version,
    }
}

async fn feeds(fleet: &Fleet, table: &str) -> u64 {
    let text = get_text(&fleet.entry, "/metrics").await;
    let name = format!("kingcupbay_store_calls_total{{call=\"feed\",table=\"{table}\"}} ");
    text.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok()).unwrap_or_default()
}

async fn status(fleet: &Fleet, attempt: &str) -> u16 {
    fleet.send("GET", "/seats/today", attempt).await.status
}

/// Each entry read each change of each upstream: the store was called entries times
/// changes. An entry that hears of them calls it no more, and acts on what it hears.
#[actix_rt::test]
async fn a_listener_acts_on_what_readers_tell() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    // An entry admits nothing until it finds itself on the list.
    wait_until("the list", async || (status(&fleet, "a0").await == 503).then_some(())).await;
    tell_until(&mut fleet, &[Table::Upstreams], 100, "table=servers event=listens").await;
    let before = feeds(&fleet, "servers").await;
    let joined =
        TableChange { version: 105, kind: ChangeKind::Upstream(desk("desk-1", &upstream, 105)) };
    tell(&fleet, [(Table::Upstreams, reading(110, 100, vec![joined]))].into()).await;
    assert_eq!(status(&fleet, "a1").await, 200);
    let left = TableChange { version: 115, kind: ChangeKind::UpstreamGone("desk-1".to_owned()) };
    tell(&fleet, [(Table::Upstreams, reading(120, 110, vec![left]))].into()).await;
    assert_eq!(status(&fleet, "a2").await, 503);
    assert_eq!(feeds(&fleet, "servers").await, before);
}

/// All readers are killed, frozen or cut off as an upstream is registered: the entries
/// that listened to them read by themselves.
#[actix_rt::test]
async fn a_listener_reads_once_the_readers_are_silent() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    let now = version(&fleet);
    tell_until(&mut fleet, &[Table::Upstreams], now, "table=servers event=listens").await;
    fleet.register("desk-1", "desk", &upstream);
    wait_until("the desk", async || {
        // Entries that say nothing at all are taken off the list.
        tell(&fleet, BTreeMap::new()).await;
        (status(&fleet, "a1").await == 200).then_some(())
    })
    .await;
    // Lines come by way of a thread of their own.
    wait_until("the line", async || {
        fleet.entry.has_line("table=servers event=reads").then_some(())
    })
    .await;
}

/// The tallies that told of an upstream got lost. Later ones, in which nothing happens,
/// kept the entry from ever learning of it.
#[actix_rt::test]
async fn a_listener_that_missed_a_change_reads_it() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    let now = version(&fleet);
    tell_until(&mut fleet, &[Table::Upstreams], now, "table=servers event=listens").await;
    fleet.register("desk-1", "desk", &upstream);
    let missed = version(&fleet);
    wait_until("the desk", async || {
        tell(&fleet, [(Table::Upstreams, reading(missed, missed, Vec::new()))].into()).await;
        (status(&fleet, "a1").await == 200).then_some(())
    })
    .await;
}

/// A key is withdrawn while the listener's long feed is deaf. A reader tells that the
/// table has changed: the deaf feed is given up at once, not at its end.
#[actix_rt::test]
async fn a_listener_gives_up_a_feed_that_missed_a_configuration() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &upstream);
    // An entry admits nothing until it finds itself on the list.
    wait_until("an answer", async || (status(&fleet, "a1").await == 200).then_some(())).await;
    let now = fleet.store.put("op", "config", &config_row(2, &[KEY]));
    wait_until("the configuration", async || {
        fleet.entry.has_line("number=2 event=configuration").then_some(())
    })
    .await;
    fleet.store.set_feeds_delayed(true);
    let deaf = fleet.store.delayed_feeds("op");
    tell_until(&mut fleet, &[Table::Operator], now, "table=op event=listens").await;
    wait_until("the long feed", async || {
        tell(&fleet, [(Table::Operator, reading(now, 0, Vec::new()))].into()).await;
        let long = fleet.store.longest_wait("op") >= 10_000;
        (long && fleet.store.delayed_feeds("op") > deaf).then_some(())
    })
    .await;
    let version = fleet.store.put("op", "config", &config_row(3, &["another-key"]));
    fleet.store.set_feeds_delayed(false);
    tell(&fleet, [(Table::Operator, reading(version, version, Vec::new()))].into()).await;
    wait_until("the refusal", async || (status(&fleet, "a2").await == 401).then_some(())).await;
    assert!(!fleet.entry.has_line("event=feed_deaf"));
}

/// The store is away: each table's feed kept asking it, three calls where one finds
/// out as much.
#[actix_rt::test]
async fn one_feed_finds_out_that_the_store_is_back() {
    let mut fleet = Fleet::start(1).await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &upstream);
    fleet.wait_until_ready().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    wait_until("the loss", async || fleet.entry.has_line("table=op event=feed_lost").then_some(()))
        .await;
    let reads = async |fleet: &Fleet, table: &str| {
        let text = get_text(&fleet.entry, "/metrics").await;
        let name = format!("kingcupbay_store_calls_total{{call=\"read\",table=\"{table}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&name)?.parse::<u64>().ok()).unwrap()
    };
    let (op, servers) = (reads(&fleet, "op").await, reads(&fleet, "servers").await);
    wait_until("three more reads", async || (reads(&fleet, "op").await >= op + 3).then_some(()))
        .await;
    assert_eq!(reads(&fleet, "servers").await, servers);
    fleet.store.server().apply(FaultOrder::ClearAll);
    wait_until("the list", async || fleet.entry.has_line("after_outage=true").then_some(())).await;
}
