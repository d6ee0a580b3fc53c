//! Streams of services without an engine that callers take up.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use common::{
    raw::{Ending, RawUpstream, field},
    registered::{ANY_PORT, CallerAnswer, Fleet, KEY, config_row, event_ids, start_entry},
};
use kingcupbay_standin::Registry;
use serde_json::{Value, json};

/// Events of each stream.
const EVENTS: u64 = 6;

/// Streams that are begun and taken up.
const STREAMS: usize = 12;

/// An upstream whose streams go on after the event that a request names.
fn start_upstream() -> RawUpstream {
    RawUpstream::start(|head| answer(head, "text/event-stream"), Ending::Keep)
}

fn answer(head: &str, kind: &str) -> Vec<u8> {
    let last: u64 = field(head, "last-event-id").map_or(0, |last| last.parse().unwrap());
    let event = |id: u64| format!("id: {id}\ndata: piece\n\n");
    let body: String = (last + 1..=EVENTS).map(event).collect();
    let attempt = field(head, "x-attempt-id").unwrap();
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-stamp: stamp\r\n\
         content-type: {kind}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// The configuration with the `tour` route changed to the targets of `split`.
fn config_with(split: &[(&str, u64)], resumable: bool) -> Value {
    let mut row = config_row(1, &[KEY]);
    let tour = row["routes"].as_array_mut().unwrap();
    let tour = tour.iter_mut().find(|route| route["name"] == "tour").unwrap();
    let target = |&(service, weight): &(&str, u64)| json!({"service": service, "weight": weight});
    tour["trafficSplit"] = split.iter().map(target).collect();
    tour["resumable"] = json!(resumable);
    tour.as_object_mut().unwrap().remove("service");
    row
}

/// Starts an entry that knows `upstreams`, each with its id, service and software.
async fn start_fleet(config: Value, upstreams: &[(&RawUpstream, &str, &str, &str)]) -> Fleet {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config);
    for (upstream, id, service, software) in upstreams {
        store.put("servers", id, &upstream.row(service, software));
    }
    let entry = start_entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    fleet.wait_until_ready().await;
    fleet
}

async fn begin(fleet: &Fleet, number: usize) -> CallerAnswer {
    fleet.send("POST", &format!("/tour/{number}"), &format!("s{number}")).await
}

/// Takes up stream `number` after event 2; `names` says whether the caller names the stream.
async fn take_up(fleet: &Fleet, number: usize, names: bool) -> CallerAnswer {
    let first = format!("s{number}");
    let mut headers = vec![("last-event-id", "2")];
    headers.extend(names.then_some(("resumes", &*first)));
    let (path, attempt) = (format!("/tour/{number}"), format!("{first}-again"));
    fleet.send_with("POST", &path, &attempt, KEY, &headers).await
}

/// Returns the upstream, by its index, that each attempt of `STREAMS` streams reached.
fn reached(upstreams: &[RawUpstream]) -> BTreeMap<String, Vec<usize>> {
    let mut reached = BTreeMap::<String, Vec<usize>>::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        for head in (0..STREAMS).flat_map(|number| upstream.heads(&format!("/tour/{number}"))) {
            let attempt = field(&head, "x-attempt-id").unwrap().to_owned();
            reached.entry(attempt).or_default().push(index);
        }
    }
    reached
}

/// Guards against a service without an engine that runs a resumed stream from its start.
#[actix_rt::test]
async fn a_resumed_stream_goes_on_after_its_last_event() {
    let upstream = start_upstream();
    let config = config_with(&[("desk", 1)], true);
    let fleet = start_fleet(config, &[(&upstream, "desk-1", "desk", "v1")]).await;
    for (number, names) in [(0, false), (1, true)] {
        assert_eq!(begin(&fleet, number).await.status, 200);
        let got = take_up(&fleet, number, names).await;
        assert_eq!(event_ids(&got.body.unwrap()), [3, 4, 5, 6]);
    }
}

/// Guards against withholding the caller's last event where it is no concern of the entry.
#[actix_rt::test]
async fn the_last_event_reaches_services_on_all_kinds_of_routes() {
    let upstream = RawUpstream::start(|head| answer(head, "text/plain"), Ending::Keep);
    let config = config_with(&[("desk", 1)], false);
    let fleet = start_fleet(config, &[(&upstream, "desk-1", "desk", "v1")]).await;
    for (method, path) in [("GET", "/seats/a"), ("POST", "/book/b"), ("POST", "/tour/c")] {
        let headers = [("last-event-id", "2")];
        let got = fleet.send_with(method, path, path, KEY, &headers).await;
        assert_eq!(got.status, 200, "{path}: {got:?}");
        let heads = upstream.heads(path);
        assert_eq!(field(&heads[0], "last-event-id"), Some("2"), "{path}");
        assert_eq!(fleet.send(method, path, "calm").await.status, 200);
        assert_eq!(field(&upstream.heads(path)[1], "last-event-id"), None, "{path}");
    }
}

/// Guards against a stream that goes on with the events of another software.
#[actix_rt::test]
async fn a_resumed_stream_keeps_its_software() {
    let upstreams = [start_upstream(), start_upstream()];
    let rows = [(&upstreams[0], "desk-1", "desk", "v1"), (&upstreams[1], "desk-2", "desk", "v2")];
    let fleet = start_fleet(config_with(&[("desk", 1)], true), &rows).await;
    for number in 0..STREAMS {
        assert_eq!(begin(&fleet, number).await.status, 200);
        let got = take_up(&fleet, number, true).await;
        assert_eq!(event_ids(&got.body.unwrap()), [3, 4, 5, 6], "stream {number}");
    }
    let reached = reached(&upstreams);
    for number in 0..STREAMS {
        let (began, again) =
            (&reached[&format!("s{number}")], &reached[&format!("s{number}-again")]);
        assert_eq!(began, again, "stream {number}");
    }
    assert!(reached.values().any(|at| at == &[0]) && reached.values().any(|at| at == &[1]));
    let got = take_up(&fleet, STREAMS, true).await;
    assert_eq!((got.status, got.retry_after.as_deref()), (503, None), "unknown origin: {got:?}");
}

/// Guards against a stream that goes on at another service of its route than the one that began
/// it.
#[actix_rt::test]
async fn a_resumed_stream_keeps_its_service() {
    let upstreams = [start_upstream(), start_upstream()];
    let rows =
        [(&upstreams[0], "desk-1", "desk", "v1"), (&upstreams[1], "writer-1", "writer", "v1")];
    let fleet = start_fleet(config_with(&[("desk", 1), ("writer", 1)], true), &rows).await;
    for number in 0..STREAMS {
        assert_eq!(begin(&fleet, number).await.status, 200);
        let got = take_up(&fleet, number, true).await;
        assert_eq!(event_ids(&got.body.unwrap()), [3, 4, 5, 6], "stream {number}");
    }
    let reached = reached(&upstreams);
    let moved: Vec<usize> = (0..STREAMS)
        .filter(|n| reached[&format!("s{n}")] != reached[&format!("s{n}-again")])
        .collect();
    assert!(moved.is_empty(), "{moved:?} went on at another service");
    assert!(reached.values().any(|at| at == &[0]) && reached.values().any(|at| at == &[1]));
}
