//! Upstreams that turn requests away and ask for rest.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    registered::{Fleet, KEY, STREAM_HEADERS, request_tour, start_engine_fleet},
    wait_until,
};
use kingcupbay_standin::UpstreamSettings;

/// An upstream turns a request away and asks for rest. The entry must send it nothing for so
/// long, and serve callers elsewhere.
#[actix_rt::test]
async fn a_resting_upstream_gets_no_requests() {
    let fleet = Fleet::start(1).await;
    let resting = fleet.start_plain("plain-1");
    let _other = fleet.start_plain("plain-2");
    fleet.wait_until_ready().await;
    resting.set_rest(Some("60"));
    fleet.request_until(&resting, "a").await;
    let asked = resting.arrivals().len();
    for attempt in 0..60 {
        let got = fleet.send("GET", "/seats/today", &format!("b{attempt}")).await;
        assert_eq!(got.body.unwrap(), "done by plain-2");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(resting.arrivals().len(), asked);
}

/// All upstreams of a service rest. Callers must be refused at once, as not run, with a time
/// that is not before the end of the rest, and be served after it.
#[actix_rt::test]
async fn requests_are_refused_at_once_while_all_upstreams_rest() {
    let fleet = Fleet::start(1).await;
    let resting = fleet.start_plain("plain-1");
    fleet.wait_until_ready().await;
    resting.set_rest(Some("1.5"));
    fleet.request_until(&resting, "a").await;
    resting.set_rest(None);
    let asked = resting.arrivals().len();
    let got = fleet.send("POST", "/book/table", "b").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.unwrap().contains("upstreams asked for rest"));
    let after: f64 = got.retry_after.unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 3.0, "{after}");
    assert_eq!(resting.arrivals().len(), asked);
    tokio::time::sleep(Duration::from_secs_f64(after)).await;
    wait_until("an answer", async || {
        (fleet.send("GET", "/seats/today", "c").await.status == 200).then_some(())
    })
    .await;
}

/// An engine turns requests away while its reports are good, and its sidecar grants permits.
/// The entry must send it nothing while it rests.
#[actix_rt::test]
async fn a_resting_engine_gets_no_requests() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a", None).await.status, 200);
    engine.set_rest(Some("60"));
    fleet.send_with("POST", "/tour/day", "b", KEY, STREAM_HEADERS).await;
    let asked = engine.arrivals().len();
    for attempt in 0..10 {
        let attempt = format!("c{attempt}");
        let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, STREAM_HEADERS).await;
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.unwrap().contains("engines asked for rest"));
    }
    assert_eq!(engine.arrivals().len(), asked);
}

/// An invalid time after which to retry must be ignored: the upstream gets the next request.
#[actix_rt::test]
async fn an_invalid_time_to_retry_is_ignored() {
    let fleet = Fleet::start(1).await;
    let upstream = fleet.start_plain("plain-1");
    fleet.wait_until_ready().await;
    for rest in ["", "-1", "NaN", "0", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        upstream.set_rest(Some(rest));
        fleet.request_until(&upstream, "a").await;
        upstream.set_rest(None);
        let got = fleet.send("GET", "/seats/today", "b").await;
        assert_eq!(got.status, 200, "{rest}: {got:?}");
    }
}
