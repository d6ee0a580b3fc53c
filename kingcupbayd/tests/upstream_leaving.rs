//! Upstreams that say in their answers that they leave.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    registered::{
        ANY_PORT, Fleet, KEY, PLAIN_SERVICE, STREAM_HEADERS, request_tour, start_engine_fleet,
    },
    wait_until,
};
use kingcupbay_standin::{Fault, Rule, UpstreamServer, UpstreamSettings};
use serde_json::json;

/// The store is away when an upstream says that it leaves, so no row says so. The entry
/// must send nothing more to it once an answer has said so.
#[actix_rt::test]
async fn an_answer_that_says_leaving_ends_the_requests() {
    let fleet = Fleet::start(1).await;
    let leaving = fleet.start_plain("plain-1");
    let _staying = fleet.start_plain("plain-2");
    fleet.wait_until_ready().await;
    fleet.request_until(&leaving, "a").await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    leaving.set_leaving(true);
    fleet.request_until(&leaving, "b").await;
    let before = leaving.runs().len();
    for attempt in 0..30 {
        let got = fleet.send("GET", "/seats/today", &format!("c{attempt}")).await;
        assert_eq!(got.body.unwrap(), "done by plain-2");
    }
    assert_eq!(leaving.runs().len(), before);
}

/// A row that says ready, written earlier or later, must not undo what the upstream itself
/// has said. An upstream that starts again under the same id must get requests.
#[actix_rt::test]
async fn only_a_restart_undoes_an_answer_that_says_leaving() {
    let mut fleet = Fleet::start(1).await;
    let upstream = fleet.start_plain("plain-1");
    fleet.wait_until_ready().await;
    upstream.set_leaving(true);
    fleet.request_until(&upstream, "a").await;
    let before = upstream.runs().len();
    let mut row = upstream.registration(PLAIN_SERVICE, "ready");
    row["seq"] = json!(1);
    fleet.store.put("servers", "plain-1", &row);
    wait_until("the row", async || fleet.entry.has_line("count=1").then_some(())).await;
    let got = fleet.send("GET", "/seats/today", "b").await;
    assert_eq!((got.status, upstream.runs().len()), (503, before), "{got:?}");
    upstream.set_leaving(false);
    row["born"] = json!(2);
    fleet.store.put("servers", "plain-1", &row);
    fleet.request_until(&upstream, "c").await;
}

/// An engine says that it leaves, and its reports do not say so yet. It must get no more
/// requests, and its sidecar must not be asked.
#[actix_rt::test]
async fn an_engine_that_says_leaving_gets_no_more_requests() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a", None).await.status, 200);
    engine.set_leaving(true);
    fleet.send_with("POST", "/tour/day", "b", KEY, STREAM_HEADERS).await;
    let before = engine.runs().len();
    for attempt in 0..5 {
        let attempt = format!("c{attempt}");
        let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, STREAM_HEADERS).await;
        assert_eq!(got.status, 503, "{got:?}");
    }
    assert_eq!(engine.runs().len(), before);
}

/// The address of an upstream has been given to another one, which answers 421 and says that
/// it leaves, limits its requests and wants rest. None of that is said of the first.
#[actix_rt::test]
async fn another_upstream_at_the_address_says_nothing_of_this_one() {
    let fleet = Fleet::start(1).await;
    let other = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("other")).unwrap();
    fleet.register("plain-1", PLAIN_SERVICE, &other);
    fleet.wait_until_ready().await;
    other.set_leaving(true);
    other.set_limit(Some("0"));
    wait_until("a request at the address", async || {
        fleet.send("GET", "/seats/today", "a").await;
        (!other.arrivals().is_empty()).then_some(())
    })
    .await;
    let upstream = fleet.start_plain("plain-1");
    fleet.request_until(&upstream, "b").await;
    fleet.request_until(&upstream, "c").await;
}
