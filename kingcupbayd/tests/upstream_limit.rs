//! Upstreams that limit their requests.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::{
    get_text,
    registered::{
        Fleet, KEY, STREAM_HEADERS, request_tour, send_to, start_engine_fleet, start_entry,
        wait_until_ready,
    },
    wait_until,
};
use kingcupbay_standin::UpstreamSettings;

/// Span in which the requests to a limited upstream are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Requests in [`RATE_WINDOW`] that an upstream with a limit of one a second may get, as the
/// platform's rules say.
const MAX_REQUESTS: usize = 11;

/// Callers ask a limited engine for many adapters. Requests and orders together must keep
/// to the rate that it names.
#[actix_rt::test]
async fn a_limited_engine_gets_its_rate_at_most() {
    let (fleet, engine, sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a", None).await.status, 200);
    engine.set_limit(Some("1"));
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < RATE_WINDOW {
        let adapter = format!("base/{}", ["roses", "tulips", "lilies"][sent % 3]);
        let headers = [("x-model", adapter.as_str()), STREAM_HEADERS[1]];
        fleet.send_with("POST", "/tour/day", &format!("b{sent}"), KEY, &headers).await;
        sent += 1;
    }
    let busiest = engine.busiest(began, RATE_WINDOW);
    assert!(busiest <= MAX_REQUESTS, "{busiest} of {sent}");
    let text = get_text(&sidecar, "/metrics").await;
    assert!(text.contains("kingcupbay_engine_limit 1\n"), "{text}");
}

/// Several entries send to a limited plain service. Together they must keep to its rate,
/// and the requests must go to an upstream without a limit.
#[actix_rt::test]
async fn entries_share_the_rate_of_a_limited_upstream() {
    let first = Fleet::start(1).await;
    let second = start_entry("entry-2", &first.store, 1);
    let limited = first.start_plain("plain-1");
    let free = first.start_plain("plain-2");
    first.wait_until_ready().await;
    wait_until_ready(&second).await;
    limited.set_limit(Some("1"));
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < RATE_WINDOW {
        let entry = if sent % 2 == 0 { &first.entry } else { &second };
        send_to(entry, "GET", "/seats/today", &format!("a{sent}"), KEY, &[]).await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let busiest = limited.busiest(began, RATE_WINDOW);
    assert!(busiest <= MAX_REQUESTS, "{busiest}");
    assert!(free.runs().len() > MAX_REQUESTS);
}

/// All upstreams of a service limit their requests. Those beyond the rate must be refused
/// at once, as not run, with the time to come back.
#[actix_rt::test]
async fn requests_beyond_the_limit_are_refused_at_once() {
    let fleet = Fleet::start(1).await;
    let upstream = fleet.start_plain("plain-1");
    fleet.wait_until_ready().await;
    upstream.set_limit(Some("0.5"));
    let mut attempts = 0;
    let refused = wait_until("a refusal", async || {
        attempts += 1;
        let got = fleet.send("POST", "/book/table", &format!("a{attempts}")).await;
        (got.status == 503).then_some(got)
    })
    .await;
    assert!(refused.body.unwrap().contains("upstreams limit their requests"));
    let after: f64 = refused.retry_after.unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 8.0, "{after}");
    let text = get_text(&fleet.entry, "/metrics").await;
    assert!(text.contains("kingcupbay_limited_upstreams 1"), "{text}");
}

/// An upstream stops naming its limit. It must get all requests again.
#[actix_rt::test]
async fn a_limit_ends_when_answers_no_longer_name_it() {
    let mut fleet = Fleet::start(1).await;
    let upstream = fleet.start_plain("plain-1");
    fleet.wait_until_ready().await;
    upstream.set_limit(Some("2"));
    fleet.send("GET", "/seats/today", "a").await;
    wait_until("the limit", async || fleet.entry.has_line("event=upstream_limit").then_some(()))
        .await;
    upstream.set_limit(None);
    let mut attempts = 0;
    wait_until("ten answers in a row", async || {
        for _ in 0..10 {
            attempts += 1;
            let got = fleet.send("GET", "/seats/today", &format!("b{attempts}")).await;
            if got.status != 200 {
                return None;
            }
        }
        Some(())
    })
    .await;
}
