//! An entry that relies on readers, other entries that read the store. The tests act as
//! the readers, which the store lists with an incarnation that gives them precedence.

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

/// Starts an entry behind four readers, whose addresses do not answer.
async fn listener() -> Fleet {
    let fleet = Fleet::start(1).await;
    for (index, host) in READERS.iter().enumerate() {
        let row = json!({"host": host, "role": "entry", "address": format!("127.0.0.1:{}", index + 1),
            "zone": "zone-a", "incarnation": 0});
        fleet.store.put("entries", host, &row);
    }
    fleet
}

/// Returns the current version of the store. A read position with a newer version would
/// claim to know changes that have not happened yet.
fn version(fleet: &Fleet) -> u64 {
    fleet.store.put("op", "round", &json!({}))
}

fn position(version: u64, since: u64, changes: Vec<TableChange>) -> ReadPosition {
    ReadPosition { version, age: Span::ZERO, since, changes }
}

/// Reports `positions` from the first reader, and nothing from the others.
async fn report_from_readers(fleet: &Fleet, positions: BTreeMap<Table, ReadPosition>) {
    for host in READERS {
        let reported = if host == READERS[0] { positions.clone() } else { BTreeMap::new() };
        send_report(fleet, host, reported).await;
    }
}

/// Sends the entry a usage report of `host`.
async fn send_report(fleet: &Fleet, host: &str, positions: BTreeMap<Table, ReadPosition>) {
    let report = UsageReport {
        host: host.to_owned(),
        incarnation: 0,
        number: Number(1),
        whole: true,
        positions,
        ..UsageReport::default()
    };
    let url = format!("http://{}/tally", fleet.entry.address("peers"));
    let answer = client().post(&url).send_body(rmp_serde::to_vec(&report).unwrap()).await.unwrap();
    assert!(answer.status().is_success(), "{answer:?}");
}

/// Reports that nothing has changed up to `version`, until the entry has logged a line
/// with `text`.
async fn report_until(fleet: &mut Fleet, tables: &[Table], version: u64, text: &str) {
    wait_until(text, async || {
        let unchanged = |&table: &Table| (table, position(version, 0, Vec::new()));
        report_from_readers(fleet, tables.iter().map(unchanged).collect()).await;
        fleet.entry.has_line(text).then_some(())
    })
    .await;
}

fn instance(id: &str, upstream: &UpstreamServer, version: u64) -> Instance {
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
        software: "v1".to_owned(),
        cold_remaining: Span::ZERO,
    }
}

/// Returns the number of feed calls of `table` that the entry has made.
async fn feeds(fleet: &Fleet, table: &str) -> u64 {
    let text = get_text(&fleet.entry, "/metrics").await;
    let name = format!("kingcupbay_store_calls_total{{call=\"feed\",table=\"{table}\"}} ");
    text.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok()).unwrap_or_default()
}

async fn status(fleet: &Fleet, attempt: &str) -> u16 {
    fleet.send("GET", "/seats/today", attempt).await.status
}

/// Guards against store calls by every entry for every change of every upstream, which
/// come to entries times changes. An entry that receives changes from readers makes no
/// such calls, and applies the changes.
#[actix_rt::test]
async fn a_listener_applies_changes_that_readers_report() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    // An entry admits nothing until it finds itself on the list.
    wait_until("the list", async || (status(&fleet, "a0").await == 503).then_some(())).await;
    report_until(&mut fleet, &[Table::Upstreams], 100, "table=servers event=listens").await;
    let before = feeds(&fleet, "servers").await;
    let joined = TableChange {
        version: 105,
        kind: ChangeKind::Upstream(instance("desk-1", &upstream, 105)),
    };
    report_from_readers(&fleet, [(Table::Upstreams, position(110, 100, vec![joined]))].into())
        .await;
    assert_eq!(status(&fleet, "a1").await, 200);
    let left = TableChange { version: 115, kind: ChangeKind::UpstreamGone("desk-1".to_owned()) };
    report_from_readers(&fleet, [(Table::Upstreams, position(120, 110, vec![left]))].into()).await;
    assert_eq!(status(&fleet, "a2").await, 503);
    assert_eq!(feeds(&fleet, "servers").await, before);
}

/// All readers are killed, frozen or isolated when an upstream registers. The entries
/// that relied on them have to read the store themselves.
#[actix_rt::test]
async fn a_listener_reads_the_store_once_readers_are_silent() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    let now = version(&fleet);
    report_until(&mut fleet, &[Table::Upstreams], now, "table=servers event=listens").await;
    fleet.register("desk-1", "desk", &upstream);
    wait_until("the upstream", async || {
        // Entries that send no reports at all are removed from the list.
        report_from_readers(&fleet, BTreeMap::new()).await;
        (status(&fleet, "a1").await == 200).then_some(())
    })
    .await;
    // Lines are read by a thread of their own.
    wait_until("the line", async || {
        fleet.entry.has_line("table=servers event=reads").then_some(())
    })
    .await;
}

/// Guards against a change that is never applied: the reports with it were lost, and
/// later reports, without changes, must not hide that.
#[actix_rt::test]
async fn a_listener_that_missed_a_change_reads_it() {
    let mut fleet = listener().await;
    let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    let now = version(&fleet);
    report_until(&mut fleet, &[Table::Upstreams], now, "table=servers event=listens").await;
    fleet.register("desk-1", "desk", &upstream);
    let missed = version(&fleet);
    wait_until("the upstream", async || {
        report_from_readers(
            &fleet,
            [(Table::Upstreams, position(missed, missed, Vec::new()))].into(),
        )
        .await;
        (status(&fleet, "a1").await == 200).then_some(())
    })
    .await;
}

/// A key is withdrawn while the listener's feed, which waits long, misses changes. Once
/// a reader reports that the table has changed, the feed must be abandoned at once and
/// not when its wait ends.
#[actix_rt::test]
async fn a_listener_abandons_a_feed_that_missed_a_configuration() {
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
    let delayed = fleet.store.delayed_feeds("op");
    report_until(&mut fleet, &[Table::Operator], now, "table=op event=listens").await;
    wait_until("the long feed", async || {
        report_from_readers(&fleet, [(Table::Operator, position(now, 0, Vec::new()))].into()).await;
        let long = fleet.store.longest_wait("op") >= 10_000;
        (long && fleet.store.delayed_feeds("op") > delayed).then_some(())
    })
    .await;
    let version = fleet.store.put("op", "config", &config_row(3, &["another-key"]));
    fleet.store.set_feeds_delayed(false);
    report_from_readers(&fleet, [(Table::Operator, position(version, version, Vec::new()))].into())
        .await;
    wait_until("the refusal", async || (status(&fleet, "a2").await == 401).then_some(())).await;
    assert!(!fleet.entry.has_line("event=feed_deaf"));
}

/// Guards against calls of an unavailable store by the feed of each table. One of the
/// three finds out that the store is back.
#[actix_rt::test]
async fn only_one_feed_calls_an_unavailable_store() {
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
