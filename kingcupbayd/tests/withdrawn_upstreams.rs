//! Requests that wait for an upstream while it is withdrawn.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{
    Process, client, get_text,
    registered::{
        Fleet, KEY, event_ids, request_tour, second_host, second_sidecar, start_engine_fleet,
    },
    wait_until,
};
use futures_util::future::join_all;
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};
use serde_json::json;

/// Requests that wait at once.
const REQUESTS: usize = 8;

/// Time in which requests come to wait for a permit.
const WAIT: Duration = Duration::from_millis(150);

/// Counter of the load reports that a sidecar has sent.
const LOAD_REPORTS: &str = "kingcupbay_control_messages_total{kind=\"pressure\"}";

/// Requests a stream of the base model, which each engine holds. Returns its events.
async fn request_base(entry: SocketAddr, attempt: String) -> Vec<u64> {
    let request = client()
        .post(format!("http://{entry}/tour/day"))
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", attempt))
        .insert_header(("x-deadline-ms", "10000"))
        .insert_header(("x-model", "base"))
        .insert_header(("x-token-usage", "100,50"))
        .bearer_auth(KEY);
    let mut response = request.send().await.unwrap();
    let body = response.body().await.unwrap_or_default();
    event_ids(std::str::from_utf8(&body).unwrap())
}

/// Sends requests until the entry knows by the load reports of `sidecar` what its engine holds.
async fn warm_up(fleet: &Fleet, sidecar: &Process) {
    let mut attempts = 0;
    wait_until("load reports", async || {
        attempts += 1;
        request_base(fleet.entry.address("callers"), format!("warm-{attempts}")).await;
        let counts = get_text(sidecar, "/metrics").await;
        let sent = counts.lines().find_map(|line| line.strip_prefix(LOAD_REPORTS))?;
        (sent.trim().parse::<u64>().unwrap() >= 2).then_some(())
    })
    .await;
}

/// Requests wait for permits of the only engine, which do not come, when another engine joins and
/// `withdraw` withdraws the first one, which the entry logs as `line`. All must be served, and none
/// at the first one after that.
async fn assert_moved(line: &str, withdraw: impl Fn(&Fleet, &UpstreamServer)) {
    let (mut fleet, engine, sidecar) =
        start_engine_fleet(UpstreamSettings::engine("gpu-1", 6)).await;
    let other = SocketAddr::new(second_host(), 0);
    let other = UpstreamServer::start(other, UpstreamSettings::engine("gpu-2", 6)).unwrap();
    let port = sidecar.address("peers").port();
    let mut other_sidecar = second_sidecar(&fleet.store, &other, port);
    wait_until("the other engine", async || other_sidecar.has_line("event=report").then_some(()))
        .await;
    warm_up(&fleet, &sidecar).await;
    sidecar.signal("-STOP");
    let entry = fleet.entry.address("callers");
    let requests = (0..REQUESTS).map(|number| request_base(entry, format!("b{number}")));
    let withdrawal = async {
        tokio::time::sleep(WAIT).await;
        fleet.register("gpu-2", "writer", &other);
        withdraw(&fleet, &engine);
        wait_until(line, async || fleet.entry.has_line(line).then_some(())).await;
        Instant::now()
    };
    let (answers, known) = tokio::join!(join_all(requests), withdrawal);
    let late = engine.runs().iter().filter(|run| run.started > known).count();
    assert_eq!(late, 0, "requests reached the engine after it was withdrawn");
    for events in answers {
        assert_eq!(events, [1, 2, 3, 4, 5, 6]);
    }
    sidecar.signal("-CONT");
}

/// Guards against a request that reaches a draining engine once its wait for a permit ends.
#[actix_rt::test]
async fn requests_leave_a_draining_engine() {
    assert_moved("leaving=true", |fleet, engine| {
        fleet.store.put("servers", "gpu-1", &engine.registration("writer", "draining"));
    })
    .await;
}

/// Guards against the same for an engine whose registration is gone.
#[actix_rt::test]
async fn requests_leave_an_engine_that_is_gone() {
    assert_moved("event=upstream_gone", |fleet, _| fleet.store.remove("servers", "gpu-1")).await;
}

/// Guards against a request that was chosen for a process and reaches its successor.
#[actix_rt::test]
async fn requests_leave_an_engine_that_has_started_anew() {
    assert_moved("born=2", |fleet, engine| {
        let mut row = engine.registration("writer", "ready");
        row["born"] = json!(2);
        fleet.store.put("servers", "gpu-1", &row);
    })
    .await;
}

/// Guards against refusing what the only engine can still run while it drains.
#[actix_rt::test]
async fn the_last_engine_serves_waiting_requests_while_it_drains() {
    let (fleet, engine, sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 6)).await;
    request_tour(&fleet, "a", None).await;
    warm_up(&fleet, &sidecar).await;
    sidecar.signal("-STOP");
    let drain = async {
        tokio::time::sleep(WAIT).await;
        fleet.store.put("servers", "gpu-1", &engine.registration("writer", "draining"));
    };
    let served = request_base(fleet.entry.address("callers"), "c".to_owned());
    let (events, ()) = tokio::join!(served, drain);
    sidecar.signal("-CONT");
    assert_eq!(events, [1, 2, 3, 4, 5, 6]);
}
