//! Requests that a planned stop of their entry meets.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use actix_rt::net::TcpStream;
use common::{
    Process, apply_changes, basic_changes, build_request,
    raw::{Ending, RawCaller, RawUpstream},
    registered::{
        ANY_PORT, Fleet, KEY, PLAIN_SERVICE, config_row, start_daemon, start_engine_fleet,
    },
    send_request, service_route, start_standin, wait_for_number, wait_until,
};
use kingcupbay_standin::{Registry, UpstreamSettings};
use serde_json::json;
use tokio::io::AsyncWriteExt;

/// Longer than any grace of these tests.
const LONG_TIME: Duration = Duration::from_secs(30);

/// Starts an entry with a grace of `grace_ms`, and a service that answers each request `after` its
/// arrival.
async fn start(grace_ms: u64, after: Duration) -> (Fleet, RawUpstream) {
    let answer = move |head: &str| {
        std::thread::sleep(after);
        let attempt = common::raw::field(head, "x-attempt-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-stamp: stamp");
        format!("{head}\r\ncontent-length: 2\r\n\r\nok").into_bytes()
    };
    let upstream = RawUpstream::start(answer, Ending::Keep);
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    let settings = format!("ready = 127.0.0.1:0\nsidecars = 1\ngrace_ms = {grace_ms}\n");
    let entry = start_daemon("entry", "entry-1", &store, &settings);
    let fleet = Fleet { store, entry };
    fleet.store.put("servers", "desk-0", &upstream.row(PLAIN_SERVICE, "v1"));
    fleet.wait_until_ready().await;
    (fleet, upstream)
}

/// Waits until a stopping entry takes no new connection.
async fn wait_until_closing(entry: &Process) {
    let callers = entry.address("callers");
    wait_until("the closed port", async || {
        TcpStream::connect(callers).await.is_err().then_some(())
    })
    .await;
}

/// Guards against ending a connection without an answer where the grace ends before the answer of
/// the upstream.
#[actix_rt::test]
async fn a_request_that_outlasts_the_grace_is_answered() {
    let (fleet, upstream) = start(3_000, LONG_TIME).await;
    let mut caller = RawCaller::connect(fleet.entry.address("callers")).await;
    caller.send("POST /book/seat", "x-attempt-id: e1\r\n", b"a table for two").await;
    wait_until("the request", async || (!upstream.heads("/book/seat").is_empty()).then_some(()))
        .await;
    fleet.entry.signal("-TERM");
    let got = caller.read().await.expect("an answer");
    assert!(matches!(got.status(), 502 | 504), "{got:?}");
    assert!(got.head.contains("x-attempt-id: e1"), "{got:?}");
    let (ok, lines) = fleet.entry.wait();
    assert!(ok, "{}", lines.join("\n"));
}

/// Guards against passing a request on so late in the grace that it is cut.
#[actix_rt::test]
async fn a_request_whose_body_ends_late_in_the_grace_is_refused() {
    let (fleet, upstream) = start(4_000, LONG_TIME).await;
    let mut stream = TcpStream::connect(fleet.entry.address("callers")).await.unwrap();
    let head = format!(
        "POST /book/seat HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: e1\r\n\
         x-deadline-ms: 9000\r\nauthorization: Bearer {KEY}\r\ncontent-length: 10\r\n\r\nhalf "
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    fleet.entry.signal("-TERM");
    wait_until_closing(&fleet.entry).await;
    stream.write_all(b"half ").await.unwrap();
    let got = RawCaller::new(stream).read().await.expect("an answer");
    assert_eq!(got.status(), 503, "{got:?}");
    assert!(got.head.contains("retry-after: "), "{got:?}");
    assert_eq!(upstream.heads("/book/seat"), Vec::<String>::new());
}

/// Guards against losing requests that arrive while an entry leaves: each one is answered, or no
/// upstream gets it.
#[actix_rt::test]
async fn requests_during_a_planned_stop_are_answered_or_not_passed_on() {
    let (fleet, upstream) = start(8_000, Duration::from_millis(300)).await;
    let callers = fleet.entry.address("callers");
    fleet.entry.signal("-TERM");
    let clients = (0..8).map(async |client| {
        let (mut answered, mut lost, mut kept) = (0, Vec::new(), None);
        for number in 0.. {
            let stream = match kept.take() {
                Some(stream) => stream,
                None => match TcpStream::connect(callers).await {
                    Ok(stream) => RawCaller::new(stream),
                    Err(_) => break,
                },
            };
            let mut caller = stream;
            let attempt = format!("e{client}-{number}");
            let fields = format!("x-attempt-id: {attempt}\r\n");
            if !caller.try_send("POST /book/seat", &fields, b"a table for two").await {
                lost.push(attempt);
                continue;
            }
            match caller.read().await {
                Some(got) if got.status() == 200 => {
                    answered += 1;
                    // Half of the clients use their connections against the entry's wish.
                    kept = (client % 2 == 0).then_some(caller);
                }
                Some(got) => assert_eq!(got.status(), 503, "{got:?}"),
                None => lost.push(attempt),
            }
        }
        (answered, lost)
    });
    let ended = futures_util::future::join_all(clients).await;
    let answered: usize = ended.iter().map(|(answered, _)| answered).sum();
    assert!(answered >= 8, "{answered} requests were answered during the stop");
    let heads = upstream.heads("/book/seat");
    for attempt in ended.iter().flat_map(|(_, lost)| lost) {
        let field = format!("x-attempt-id: {attempt}\r\n");
        assert!(!heads.iter().any(|head| head.contains(&field)), "{attempt} is lost");
    }
}

/// Guards against a stream that ends without its end, and looks whole, as the grace ends.
#[actix_rt::test]
async fn a_stream_that_outlasts_the_grace_does_not_look_whole() {
    let slow = UpstreamSettings {
        event_interval: Duration::from_millis(100),
        ..UpstreamSettings::engine("gpu-1", 400)
    };
    let (fleet, engine, _sidecar) = start_engine_fleet(slow).await;
    let callers = fleet.entry.address("callers");
    let tour = wait_until("a stream", async || {
        let mut caller = RawCaller::connect(callers).await;
        let fields = "x-attempt-id: a1\r\nx-model: base/roses\r\nx-token-usage: 100,50\r\n";
        caller.send("POST /tour/day", fields, b"").await;
        let got = caller.read().await;
        got.as_ref().is_none_or(|got| got.status() != 503).then_some(got)
    });
    let stop = async {
        engine.wait_for_runs(1).await;
        fleet.entry.signal("-TERM");
    };
    let (got, ()) = tokio::join!(tour, stop);
    assert!(got.is_none(), "{got:?}");
}

/// Guards against the same without a registry, where the settings bound the time for running
/// requests.
#[actix_rt::test]
async fn a_call_that_outlasts_the_drain_limit_is_answered() {
    let service = RawUpstream::start(
        |_| {
            std::thread::sleep(LONG_TIME);
            Vec::new()
        },
        Ending::Keep,
    );
    let platform = start_standin("platform", &["--load", "1"]);
    let upstream = common::start_daemon("upstream", "upstream-1", &platform, "");
    let tuning = "drain_limit_ms = 500\n";
    let entry = common::start_daemon("entry", "entry-1", &platform, tuning);
    common::wait_until_ready(&upstream).await;
    common::wait_until_ready(&entry).await;
    let mut changes = basic_changes();
    changes.extend(service_route("slow", service.address));
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&upstream, number).await;
    wait_for_number(&entry, number).await;
    let body = json!({});
    let call = send_request(build_request(&entry, "/v1/call/slow/verdict"), &body);
    let stop = async {
        wait_until("the call", async || (!service.heads("/call/verdict").is_empty()).then_some(()))
            .await;
        entry.signal("-TERM");
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"), "{}", answer.body);
}
