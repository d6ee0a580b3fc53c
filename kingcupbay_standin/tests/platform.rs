//! Tests of table, objects, host list, weight store and plain service without faults.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{any_port, client, get, post};
use kingcupbay_core::wire::{
    fleet::{Host, Hosts},
    table::{Condition, Read, Row, Rows, Txn, TxnAnswer, Write},
};
use kingcupbay_standin::{
    Control, Execution, ExecutionCounts, HostList, Lag, PlainService, Platform, PlatformRecord,
    SharedBandwidth, Table,
};

const MS: Duration = Duration::from_millis(1);

fn txn(conditions: &[(&str, u64)], writes: &[(&str, Option<&str>)]) -> Txn {
    let condition = |&(key, revision): &(&str, u64)| Condition { key: key.into(), revision };
    let write = |&(key, value): &(&str, Option<&str>)| Write {
        key: key.into(),
        value: value.map(str::to_owned),
    };
    Txn {
        conditions: conditions.iter().map(condition).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

fn row(key: &str, value: &str, revision: u64) -> Row {
    Row { key: key.into(), value: value.into(), revision }
}

/// Guards against a transaction that writes some of its rows although one of
/// its conditions failed.
#[actix_rt::test]
async fn table_writes_all_or_nothing() {
    let table = Table::start(any_port()).unwrap();
    let address = table.server().address();
    let steps = [
        (txn(&[("a", 0)], &[("a", Some("1")), ("b", Some("1"))]), TxnAnswer::Committed),
        (txn(&[("a", 1), ("b", 1)], &[("a", Some("2"))]), TxnAnswer::Committed),
        (
            txn(&[("b", 1), ("a", 1), ("c", 1)], &[("b", Some("9")), ("c", Some("9"))]),
            TxnAnswer::Conflict(vec![row("a", "2", 2)]),
        ),
        (txn(&[], &[("b", None)]), TxnAnswer::Committed),
        (txn(&[("b", 1)], &[("a", None)]), TxnAnswer::Conflict(vec![])),
        (txn(&[("b", 0)], &[("b", Some("3"))]), TxnAnswer::Committed),
    ];
    for (txn, expected) in steps {
        let mut answer = post(address, "/txn", &txn).await.unwrap();
        assert_eq!(answer.json::<TxnAnswer>().await.unwrap(), expected, "{txn:?}");
    }
    assert_eq!(table.rows(), [row("a", "2", 2), row("b", "3", 1)]);
    assert_eq!((table.record().committed, table.record().conflicts), (4, 2));
}

/// Guards against reads with duplicate, missing or unordered rows, and against
/// ranges that include their end.
#[actix_rt::test]
async fn table_reads_keys_and_ranges_in_order() {
    let table = Table::start(any_port()).unwrap();
    table.txn(&txn(&[], &["d", "a", "c", "b"].map(|key| (key, Some("v")))));
    let range =
        |from: &str, to: &str, limit| Read::Range { from: from.into(), to: to.into(), limit };
    let keys = |keys: &[&str]| Read::Keys(keys.iter().map(|&key| key.into()).collect());
    let cases: [(Read, &[&str]); 6] = [
        (keys(&["c", "x", "a", "c"]), &["a", "c"]),
        (range("a", "d", 9), &["a", "b", "c"]),
        (range("aa", "z", 2), &["b", "c"]),
        (range("b", "b", 9), &[]),
        (range("c", "a", 9), &[]),
        (range("a", "z", 0), &[]),
    ];
    for (read, expected) in cases {
        let mut answer = post(table.server().address(), "/read", &read).await.unwrap();
        let rows: Rows = answer.json().await.unwrap();
        let found: Vec<_> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(found, expected, "{read:?}");
    }
    assert_eq!(table.record().reads, 6);
}

/// Guards against requests that reach the wrong part of the platform, and
/// against counts that miss a request.
#[actix_rt::test]
async fn platform_serves_all_four_on_one_port() {
    let platform = Platform::start(any_port(), MS).unwrap();
    let address = platform.server().address();
    let url = |path: &str| format!("http://{address}{path}");
    assert_eq!(get(address, "/objects/s/1").await.unwrap().status(), 404);
    client().put(url("/objects/s/1")).send_body("bytes").await.unwrap();
    let mut object = get(address, "/objects/s/1").await.unwrap();
    assert_eq!(object.body().await.unwrap(), "bytes");
    post(address, "/txn", &txn(&[], &[("a", Some("1"))])).await.unwrap();
    assert_eq!(get(address, "/hosts").await.unwrap().status(), 200);
    let take = kingcupbay_standin::TakeRequest { path: "w".into() };
    assert_eq!(post(address, "/weights/take", &take).await.unwrap().status(), 200);
    assert_eq!(post(address, "/txn", &"not a txn").await.unwrap().status(), 400);
    assert_eq!(get(address, "/elsewhere").await.unwrap().status(), 404);
    let record: PlatformRecord = get(address, "/state").await.unwrap().json().await.unwrap();
    assert_eq!(record, platform.record());
    assert_eq!((record.objects.puts, record.objects.gets), (1, 2));
    assert_eq!((record.weights.most, record.weights.in_flight), (1, 0));
    assert_eq!(record.weights.taken["w"], 1);
}

/// A host is leaving, but the list still shows it as live, so a daemon that
/// trusts the list sends requests there. Checks that the list shows a change
/// only after its lag.
#[actix_rt::test]
async fn host_list_shows_a_change_after_the_lag() {
    let list = HostList::start(any_port()).unwrap();
    let address = list.server().address();
    let host = |name: &str, leaving| Host {
        name: name.parse().unwrap(),
        zone: "z1".parse().unwrap(),
        leaving,
    };
    let control = Control::new(address);
    let before = Hosts { hosts: vec![host("h2", false), host("h1", false)] };
    control.set_hosts(&before).await.unwrap();
    list.set_lag(Duration::from_secs(300));
    // Before the history begins, the oldest state is shown.
    assert_eq!(list.shown(), Hosts::default());
    control.set_lag(Lag { millis: 0 }).await.unwrap();
    assert_eq!(list.shown().hosts, [host("h1", false), host("h2", false)]);
    list.set(Hosts { hosts: vec![host("h1", true)] });
    let shown: Hosts = get(address, "/hosts").await.unwrap().json().await.unwrap();
    assert_eq!(shown.hosts, [host("h1", true)]);
}

/// A call that is sent twice must be deduplicated by the system. Guards against
/// a service that deduplicates by itself, or counts too few executions, and so
/// hides the repetition.
#[actix_rt::test]
async fn service_counts_every_execution() {
    let service = PlainService::start(any_port()).unwrap();
    let address = service.server().address();
    let call = async |key: Option<&str>| {
        let mut request = client().post(format!("http://{address}/call/book/7"));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        request.send_body("{}").await.unwrap().json::<Execution>().await.unwrap()
    };
    call(Some("k1")).await;
    call(None).await;
    let third = call(Some("k1")).await;
    assert_eq!((third.path.as_str(), third.execution, third.body.as_str()), ("book/7", 3, "{}"));
    assert_eq!(third.key.as_deref(), Some("k1"));
    let counts: ExecutionCounts = get(address, "/executions").await.unwrap().json().await.unwrap();
    assert_eq!(counts, service.executions());
    assert_eq!((counts.total, counts.keys["k1"], counts.keys.len()), (3, 2, 1));
}

/// Guards against a weight store without a bandwidth limit, which would hide
/// slow loads: eight loads run at full speed, sixteen take twice as long.
#[test]
fn more_than_eight_loads_share_the_bandwidth() {
    for (loads, expected) in [(1, 250), (8, 250), (16, 500), (24, 750)] {
        let mut bandwidth = SharedBandwidth::new(Duration::ZERO);
        let targets: Vec<_> = (0..loads).map(|_| bandwidth.begin(MS, 250 * MS)).collect();
        for target in targets {
            assert_eq!(bandwidth.time_left(MS, target), expected * MS, "{loads} loads");
        }
    }
}

/// Guards against a load that keeps its low speed after others have ended.
#[test]
fn loads_speed_up_when_others_end() {
    let mut bandwidth = SharedBandwidth::new(Duration::ZERO);
    let target = bandwidth.begin(Duration::ZERO, 250 * MS);
    (1..16).for_each(|_| {
        bandwidth.begin(Duration::ZERO, 250 * MS);
    });
    // 100 ms at half speed leave 200 ms of work.
    assert_eq!(bandwidth.time_left(100 * MS, target), 400 * MS);
    (0..8).for_each(|_| bandwidth.end(100 * MS));
    assert_eq!(bandwidth.in_flight(), 8);
    assert_eq!(bandwidth.time_left(100 * MS, target), 200 * MS);
    assert_eq!(bandwidth.time_left(300 * MS, target), Duration::ZERO);
}
