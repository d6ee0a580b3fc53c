//! Rows of another writer in the platform's table, without a registry.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    Fleet, Process, client, get_text, name, post_patch, wait_for_number, wait_until,
    wait_until_ready,
};
use kingcupbay_core::{
    config::{
        change::Change,
        model::Config,
        patch::{HEAD_KEY, Patch, delta_key},
    },
    id::RequestId,
    share::plan::REPORT_PREFIX,
    wire::table::{Read, Row, Rows, Txn, Write},
};

const ODD_VALUES: [&str; 4] = ["", "17", "{}", "[[[[1e400]]]]"];

/// Returns the row `key` of the table.
async fn read(platform: &Process, key: &str) -> Option<Row> {
    let read = Read::Keys(vec![key.to_owned()]);
    let url = format!("http://{}/read", platform.address("address"));
    let rows: Rows = client().post(url).send_json(&read).await.unwrap().json().await.unwrap();
    rows.rows.into_iter().next()
}

async fn write(platform: &Process, key: &str, value: Option<&str>) {
    let write = Write { key: key.to_owned(), value: value.map(str::to_owned) };
    let txn = Txn { conditions: Vec::new(), writes: vec![write] };
    let url = format!("http://{}/txn", platform.address("address"));
    assert!(client().post(url).send_json(&txn).await.unwrap().status().is_success());
}

async fn config(entry: &Process) -> Config {
    serde_json::from_str(&get_text(entry, "/admin/config").await).unwrap()
}

/// Guards against a daemon that no longer reads the table once it has met a row that it cannot
/// read.
#[actix_rt::test]
async fn a_daemon_follows_the_table_again_after_odd_rows() {
    let mut fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await;
    let (entry, platform) = (&mut fleet.entries[0], &fleet.platform);
    let number = config(entry).await.number;
    let head = read(platform, HEAD_KEY).await.unwrap();
    let odd_keys = [HEAD_KEY.to_owned(), format!("{REPORT_PREFIX}odd"), delta_key(number.next())];
    for key in &odd_keys {
        for odd in ODD_VALUES {
            write(platform, key, Some(odd)).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    // Each attempt says so, and another one follows.
    wait_until("attempts to read the table", async || {
        (entry.lines_with("event=table_unread").len() >= 3).then_some(())
    })
    .await;
    for key in &odd_keys {
        write(platform, key, None).await;
    }
    write(platform, HEAD_KEY, Some(&head.value)).await;
    wait_until_ready(entry).await;
    wait_until_ready(&fleet.upstreams[0]).await;
    let against = config(entry).await.number;
    let changes = vec![Change::WithdrawKey { label: name("desk") }];
    let patch = Patch { id: RequestId([7; 16]), against, author: "ops".into(), changes };
    let (status, body) = post_patch(entry, &patch).await;
    assert_eq!(status, 200, "{body}");
    wait_for_number(&fleet.upstreams[0], against.next().0).await;
}
