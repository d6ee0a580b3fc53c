//! Daemons, callers and connections that fall silent for a while and go on.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::{TcpSocket, TcpStream};
use common::{
    client,
    registered::{
        Fleet, KEY, STREAM_HEADERS, config_row, event_ids, request_tour, start_engine_fleet,
    },
    wait_until,
};
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A silence that ends before callers give up.
const SILENCE: Duration = Duration::from_millis(2_700);

/// Bytes of a body that no receiver's buffer holds.
const LONG_BODY_BYTES: usize = 16 << 20;

/// Events of each stream.
const EVENTS: u64 = 300;

/// Events of a stream of which only the end is in the entry after a moment.
const SHORT_EVENTS: u64 = 16;

fn slow_engine(id: &str) -> UpstreamSettings {
    UpstreamSettings {
        event_interval: Duration::from_millis(15),
        ..UpstreamSettings::engine(id, EVENTS)
    }
}

/// Waits until `engine` has made a few events for `attempt`.
async fn wait_for_events(engine: &UpstreamServer, attempt: &str) {
    wait_until("events of a stream", async || {
        engine.events_made().get(attempt).is_some_and(|&made| made >= 5).then_some(())
    })
    .await;
}

/// Guards against losing a long request because its upstream reads nothing for a while.
#[actix_rt::test]
async fn a_long_request_outlasts_an_upstream_that_does_not_read() {
    let fleet = Fleet::start(1).await;
    let mut config = config_row(2, &[KEY]);
    config["limits"]["maxBodyBytes"] = (2 * LONG_BODY_BYTES).into();
    fleet.store.put("op", "config", &config);
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    let url = format!("http://{}/book/table", fleet.entry.address("callers"));
    let request = client()
        .post(url)
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", "a1"))
        .insert_header(("x-deadline-ms", "10000"))
        .bearer_auth(KEY);
    let pause = desk.server().pause();
    let silence = async {
        tokio::time::sleep(SILENCE).await;
        drop(pause);
    };
    let (answer, ()) = tokio::join!(request.send_body(vec![b'a'; LONG_BODY_BYTES]), silence);
    assert_eq!(answer.unwrap().status(), 200);
}

/// Requests a stream, reads nothing for [`SILENCE`] and then what there is until the connection
/// ends. `close` says whether the connection is to end after the answer.
async fn read_late(entry: SocketAddr, attempt: &str, close: bool) -> String {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(entry).await.unwrap();
    let connection = if close { "close" } else { "keep-alive" };
    let head = format!(
        "POST /tour/day HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 20000\r\nauthorization: Bearer {KEY}\r\nx-model: base/roses\r\n\
         x-token-usage: 100,50\r\nconnection: {connection}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(SILENCE).await;
    let mut body = Vec::new();
    while !body.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read_buf(&mut body).await {
            Ok(1..) => {}
            end => return format!("{end:?} after {}", String::from_utf8_lossy(&body)),
        }
    }
    String::from_utf8(body).unwrap()
}

/// Guards against ending an answer because its caller reads nothing for a while, in the middle of
/// the answer.
#[actix_rt::test]
async fn a_stream_outlasts_a_caller_that_does_not_read() {
    let settings = UpstreamSettings { event_padding: 4 << 10, ..slow_engine("gpu-1") };
    let (fleet, engine, _sidecar) = start_engine_fleet(settings).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let body = read_late(fleet.entry.address("callers"), "a1", false).await;
    assert_eq!(event_ids(&body), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(engine.runs().len(), 2);
}

/// Guards against cutting the end of an answer off because its caller reads nothing for a while,
/// and the connection is to end after it.
#[actix_rt::test]
async fn the_end_of_an_answer_outlasts_a_caller_that_does_not_read() {
    let settings = UpstreamSettings {
        event_interval: Duration::from_millis(1),
        event_padding: 4 << 10,
        ..UpstreamSettings::engine("gpu-1", SHORT_EVENTS)
    };
    let (fleet, _engine, _sidecar) = start_engine_fleet(settings).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let entry = fleet.entry.address("callers");
    for close in [false, true] {
        let body = read_late(entry, &format!("close-{close}"), close).await;
        let ids = event_ids(&body);
        assert!(body.ends_with("\r\n0\r\n\r\n"), "close {close}: only {ids:?}");
        assert_eq!(ids, (1..=SHORT_EVENTS).collect::<Vec<_>>());
    }
}

/// Guards against cutting the end of an answer off because its caller reads nothing for longer
/// than a connection may be idle.
#[actix_rt::test]
async fn the_end_of_an_answer_outlasts_the_idle_timeout() {
    let settings = UpstreamSettings {
        event_interval: Duration::from_millis(1),
        event_padding: 4 << 10,
        ..UpstreamSettings::engine("gpu-1", SHORT_EVENTS)
    };
    let (mut fleet, _engine, _sidecar) = start_engine_fleet(settings).await;
    let mut config = config_row(2, &[KEY]);
    config["limits"]["idleTimeoutMs"] = 1_000.into();
    fleet.store.put("op", "config", &config);
    wait_until("the configuration", async || {
        fleet.entry.has_line("number=2 event=configuration").then_some(())
    })
    .await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let body = read_late(fleet.entry.address("callers"), "a1", false).await;
    assert_eq!(event_ids(&body), (1..=SHORT_EVENTS).collect::<Vec<_>>(), "{}", &body[..40]);
}

/// Guards against giving a request up whose caller pauses inside of its body.
#[actix_rt::test]
async fn a_request_outlasts_a_pause_inside_of_its_body() {
    let fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    let mut stream = TcpStream::connect(fleet.entry.address("callers")).await.unwrap();
    let head = format!(
        "POST /book/table HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: a1\r\n\
         x-deadline-ms: 10000\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         content-length: 10\r\n\r\nhalf "
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(SILENCE).await;
    stream.write_all(b"whole").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against ending a stream, or losing a request, because the sidecar beside the engine is
/// silent for a while.
#[actix_rt::test]
async fn requests_outlast_the_silence_of_a_sidecar() {
    let (fleet, engine, sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let stream = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS);
    let silence = async {
        wait_for_events(&engine, "a1").await;
        sidecar.signal("-STOP");
        let silent = async {
            tokio::time::sleep(SILENCE).await;
            sidecar.signal("-CONT");
        };
        let during = fleet.send_with("POST", "/tour/day", "a2", KEY, STREAM_HEADERS);
        let (during, ()) = tokio::join!(during, silent);
        let after = fleet.send_with("POST", "/tour/day", "a3", KEY, STREAM_HEADERS).await;
        [during, after]
    };
    let (stream, others) = tokio::join!(stream, silence);
    for answer in others.into_iter().chain([stream]) {
        let ids = answer.body.as_deref().map(event_ids);
        assert_eq!((answer.status, ids), (200, Ok((1..=EVENTS).collect())));
    }
}

/// Guards against a request that runs although it was refused as its engine was silent.
#[actix_rt::test]
async fn a_refusal_at_a_silent_engine_is_true() {
    let (fleet, engine, mut sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let pause = engine.server().pause();
    wait_until("a lost engine", async || sidecar.has_line("event=engine_lost").then_some(())).await;
    let refused = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    drop(pause);
    wait_until("the engine", async || sidecar.has_line("event=engine_back").then_some(())).await;
    assert_eq!(request_tour(&fleet, "a2", None).await.status, 200);
    assert!(engine.runs().iter().all(|run| run.attempt != "a1"));
}

/// Guards against ending what is under way, or refusing what is new, because the store is silent
/// for a while.
#[actix_rt::test]
async fn requests_outlast_the_silence_of_the_store() {
    let (fleet, engine, _sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let stream = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS);
    let silence = async {
        wait_for_events(&engine, "a1").await;
        let pause = fleet.store.server().pause();
        tokio::time::sleep(SILENCE).await;
        let during = fleet.send_with("POST", "/tour/day", "a2", KEY, STREAM_HEADERS).await;
        drop(pause);
        let after = fleet.send_with("POST", "/tour/day", "a3", KEY, STREAM_HEADERS).await;
        [during, after]
    };
    let (stream, others) = tokio::join!(stream, silence);
    for answer in others.into_iter().chain([stream]) {
        let ids = answer.body.as_deref().map(event_ids);
        assert_eq!((answer.status, ids), (200, Ok((1..=EVENTS).collect())));
    }
}

/// Guards against a planned stop that ends a stream because its engine is silent as connections
/// are closed.
#[actix_rt::test]
async fn a_stream_outlasts_a_silence_during_a_planned_stop() {
    let (fleet, engine, _sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let stream = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS);
    let stopped = async {
        wait_for_events(&engine, "a1").await;
        fleet.entry.signal("-TERM");
        // Connections are closed 2.2 s after the signal.
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        let pause = engine.server().pause();
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        drop(pause);
    };
    let (answer, ()) = tokio::join!(stream, stopped);
    let ids = answer.body.as_deref().map(event_ids);
    assert_eq!((answer.status, ids), (200, Ok((1..=EVENTS).collect())));
    let (ok, lines) = fleet.entry.wait();
    let lines = lines.join("\n");
    assert!(ok && lines.contains("cut=0"), "{lines}");
}

/// Guards against losing what is under way because its own entry is paused.
#[actix_rt::test]
async fn requests_outlast_a_pause_of_their_entry() {
    let (fleet, engine, _sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let stream = fleet.send_with("POST", "/tour/day", "a1", KEY, STREAM_HEADERS);
    let silence = async {
        wait_for_events(&engine, "a1").await;
        fleet.entry.signal("-STOP");
        let silent = async {
            tokio::time::sleep(SILENCE).await;
            fleet.entry.signal("-CONT");
        };
        let during = fleet.send_with("POST", "/tour/day", "a2", KEY, STREAM_HEADERS);
        tokio::join!(during, silent).0
    };
    let (stream, during) = tokio::join!(stream, silence);
    for answer in [stream, during] {
        let ids = answer.body.as_deref().map(event_ids);
        assert_eq!((answer.status, ids), (200, Ok((1..=EVENTS).collect())));
    }
}

/// Guards against an entry that takes its own pause for silence of the store.
#[actix_rt::test]
async fn an_entry_that_stood_still_does_not_count_the_store_as_lost() {
    let mut fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    fleet.entry.signal("-STOP");
    tokio::time::sleep(SILENCE).await;
    fleet.entry.signal("-CONT");
    fleet.store.put("op", "config", &config_row(2, &[KEY]));
    wait_until("the configuration", async || {
        fleet.entry.has_line("number=2 event=configuration").then_some(())
    })
    .await;
    assert!(!fleet.entry.has_line("event=store_lost"), "{}", fleet.entry.seen.join("\n"));
}
