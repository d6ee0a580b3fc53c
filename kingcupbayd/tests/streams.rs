//! Streams of a registered fleet: adapters, resumption, callers that disconnect.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    EVENT_TIMEOUT, client, get_text,
    registered::{
        KEY, STREAM_HEADERS, event_ids, request_tour, start_engine_fleet, start_two_engines,
    },
    wait_until,
};
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};
use serde_json::json;

/// A request names an adapter that is resident on no engine. The sidecar has the engine
/// load it, and the request is sent with the version that was loaded, so that no other
/// version can run it.
#[actix_rt::test]
async fn a_nonresident_adapter_is_loaded_and_its_version_sent() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 4)).await;
    let got = request_tour(&fleet, "a1", None).await;
    assert_eq!((got.status, event_ids(got.body.as_ref().unwrap())), (200, vec![1, 2, 3, 4]));
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((&orders[0]["operation"], &orders[0]["adapter"]), (&json!("load"), &json!("roses")));
    assert_eq!(orders[0]["holder"], "upstream-1");
    assert_eq!(engine.runs()[0].headers["x-expect-version"], "1");
}

/// The metrics of both daemons must show the waits for permits, the orders to the engine
/// and the pauses between events.
#[actix_rt::test]
async fn entry_and_sidecar_count_a_stream() {
    let (fleet, _engine, sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 4)).await;
    assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
    let counts = get_text(&sidecar, "/metrics").await;
    for line in [
        "kingcupbay_places_total{verdict=\"granted\"} 1",
        "kingcupbay_place_wait_seconds_count{verdict=\"granted\"} 1",
        "kingcupbay_orders_total{reply=\"accepted\",target=\"load\"} 1",
    ] {
        assert!(counts.contains(line), "no {line} in\n{counts}");
    }
    let counts = get_text(&fleet.entry, "/metrics").await;
    let line = "kingcupbay_event_gap_seconds_count{route=\"tour\"} 1";
    assert!(counts.contains(line), "no {line} in\n{counts}");
}

/// Guards against a new connection for each stream, which would cost the engine a
/// handshake and occupy another connection.
#[actix_rt::test]
async fn a_complete_stream_keeps_its_connection_for_the_next() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
    let before = engine.server().connections();
    assert_eq!(request_tour(&fleet, "a2", None).await.status, 200);
    assert_eq!(engine.server().connections(), before);
    assert_eq!(engine.runs().len(), 2);
}

/// A new version of an adapter is announced while the old one is loaded and idle. The
/// next request must run on the new version.
#[actix_rt::test]
async fn an_announced_version_replaces_the_old_one() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 2)).await;
    assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
    engine.set_newest_version("roses", 2);
    let row = json!({"model": "base", "adapter": "roses", "version": 2});
    fleet.store.put("op", "version/base.roses", &row);
    wait_until("the new version", async || {
        let got = request_tour(&fleet, "a2", None).await;
        let run = engine.runs().last().cloned().unwrap();
        (got.status == 200 && run.headers["x-expect-version"] == "2").then_some(())
    })
    .await;
}

/// An engine closes the connection in the middle of a stream. Another engine must resume
/// after the last whole event, and the caller must get each event once.
#[actix_rt::test]
async fn a_broken_stream_goes_on_at_another_engine() {
    let cut = |id: &str| UpstreamSettings { cut_after: Some(3), ..UpstreamSettings::engine(id, 6) };
    let (mut fleet, [first, second], _sidecars) = start_two_engines(cut).await;
    let got = request_tour(&fleet, "a1", None).await;
    let runs: Vec<_> = first.runs().into_iter().chain(second.runs()).collect();
    let begun: Vec<_> =
        runs.iter().map(|run| (&run.attempt, run.headers.get("last-event-id"))).collect();
    fleet.entry.has_line("event=streamed");
    let report = format!("{got:?}, runs {begun:?}, lines\n{}", fleet.entry.seen.join("\n"));
    assert_eq!(got.status, 200, "{report}");
    let ids = got.body.as_deref().map(event_ids);
    assert_eq!(ids, Ok(vec![1, 2, 3, 4, 5, 6]), "{report}");
    assert_eq!(runs.len(), 2, "{report}");
    let resumed = runs.iter().filter_map(|run| run.headers.get("last-event-id"));
    assert_eq!(resumed.collect::<Vec<_>>(), ["3"], "{report}");
}

/// Engines whose answers have neither a length nor chunks. A stream that ends between two events
/// is whole; one that ends inside an event has been broken off, and must go on elsewhere.
#[actix_rt::test]
async fn an_unframed_stream_that_ends_inside_an_event_goes_on() {
    let unframed = |id: &str| UpstreamSettings {
        cut_after: Some(3),
        unframed: true,
        ..UpstreamSettings::engine(id, 6)
    };
    let (fleet, engines, _sidecars) = start_two_engines(unframed).await;
    let got = request_tour(&fleet, "a1", None).await;
    assert_eq!(event_ids(&got.body.unwrap()), [1, 2, 3, 4, 5, 6]);
    let runs = engines.iter().flat_map(UpstreamServer::runs);
    let resumed: Vec<_> =
        runs.filter_map(|run| run.headers.get("last-event-id").cloned()).collect();
    assert_eq!(resumed, ["3"]);
    let counts = get_text(&fleet.entry, "/metrics").await;
    assert!(counts.contains("kingcupbay_resumed_total 1"), "{counts}");
    let line = "kingcupbay_event_gap_seconds_count{route=\"tour\"} 1";
    assert!(counts.contains(line), "no {line} in\n{counts}");
}

/// A caller disconnects in the middle of a stream. The engine must be disconnected at
/// once, or it goes on generating for nobody.
#[actix_rt::test]
async fn a_caller_that_disconnects_stops_the_engine() {
    let slow = UpstreamSettings {
        event_interval: Duration::from_millis(50),
        ..UpstreamSettings::engine("gpu-1", 100_000)
    };
    let (fleet, engine, _sidecar) = start_engine_fleet(slow).await;
    let url = format!("http://{}/tour/day", fleet.entry.address("callers"));
    for attempt in 0..200 {
        let request = client()
            .post(&url)
            .insert_header(("host", "desk.example"))
            .insert_header(("x-attempt-id", format!("a{attempt}")))
            .insert_header(("x-deadline-ms", "10000"))
            .insert_header(STREAM_HEADERS[0])
            .insert_header(STREAM_HEADERS[1])
            .bearer_auth(KEY);
        let response = request.send().await.unwrap();
        if response.status() == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    engine.wait_for_runs(1).await;
    tokio::time::timeout(EVENT_TIMEOUT, engine.wait_for_disconnects(1)).await.unwrap();
}

/// An entry is stopped. It must report at once that it is not ready, let the running
/// stream complete, and only then exit.
#[actix_rt::test]
async fn a_planned_stop_lets_streams_complete() {
    let slow = UpstreamSettings {
        event_interval: Duration::from_millis(20),
        ..UpstreamSettings::engine("gpu-1", 60)
    };
    let (fleet, engine, _sidecar) = start_engine_fleet(slow).await;
    let answer = request_tour(&fleet, "a1", None);
    let stopped = async {
        engine.wait_for_runs(1).await;
        fleet.entry.signal("-TERM");
        let url = format!("http://{}/ready", fleet.entry.address("ready"));
        wait_until("unreadiness", async || {
            let answer = client().get(&url).send().await;
            answer.map_or(true, |answer| !answer.status().is_success()).then_some(())
        })
        .await;
    };
    let (got, ()) = tokio::join!(answer, stopped);
    assert_eq!(event_ids(&got.body.unwrap()).len(), 60);
    let (ok, lines) = fleet.entry.wait();
    assert!(ok, "{}", lines.join("\n"));
}
