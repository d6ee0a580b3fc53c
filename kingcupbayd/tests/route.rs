//! Tests that entries route by the reports of upstream daemons.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    Fleet, build_request, completion_body, control, get_text, name, send_request, wait_until,
};
use kingcupbay_core::config::{change::Change, model::Config};
use kingcupbay_standin::EngineRecord;

/// Sets whether upstream `at` is leaving.
async fn set_leaving(fleet: &mut Fleet, at: usize, leaving: bool) {
    let text = get_text(&fleet.entries[0], "/admin/config").await;
    let config: Config = serde_json::from_str(&text).unwrap();
    let id = config.upstream_names[&name(&format!("gpu-{}", at + 1))];
    let mut upstream = config.upstreams.get(id).unwrap().clone();
    upstream.leaving = leaving;
    fleet.apply(&[Change::SetUpstream { upstream }]).await;
}

/// Returns how many adapters engine `at` has loaded so far.
async fn count_loads(fleet: &Fleet, at: usize) -> usize {
    let record: EngineRecord = control(&fleet.engines[at]).get("/state").await.unwrap();
    record.loads.len()
}

/// Sends a request through entry `entry`; it must succeed.
async fn send_completion(fleet: &Fleet, entry: usize) {
    let body = completion_body("tasting@v1", 4);
    let answer = send_request(build_request(&fleet.entries[entry], "/v1/completions"), &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// An adapter is resident on an engine that is not the first choice for it,
/// because that one was leaving when it was loaded. Another entry, which sent
/// none of its requests, must learn this from reports. Otherwise the caller
/// waits for a second cold start.
#[actix_rt::test]
async fn an_entry_learns_from_reports_where_an_adapter_is() {
    let mut fleet = Fleet::start(2, 2, &["--first", "1", "--gap", "0"], "").await;
    send_completion(&fleet, 0).await;
    let first = if count_loads(&fleet, 0).await > 0 { 0 } else { 1 };
    let other = 1 - first;
    set_leaving(&mut fleet, first, true).await;
    send_completion(&fleet, 0).await;
    assert_eq!(count_loads(&fleet, other).await, 1);
    control(&fleet.engines[first]).restart().await.unwrap();
    let resident = |at: usize, count: usize| {
        format!("upstream=gpu-{} leaving=false reachable=true holds={count} ", at + 1)
    };
    set_leaving(&mut fleet, first, false).await;
    wait_until("the reports", async || {
        let dump = get_text(&fleet.entries[1], "/admin/dump").await;
        (dump.contains(&resident(first, 0)) && dump.contains(&resident(other, 1))).then_some(())
    })
    .await;
    for _ in 0..10 {
        send_completion(&fleet, 1).await;
    }
    let record: EngineRecord = control(&fleet.engines[first]).get("/state").await.unwrap();
    assert_eq!(record.ran.len(), 1, "all later requests found the loaded adapter");
}
