//! Daemons, callers and connections that fall silent for a while and go on.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

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

/// Guards against ending an answer because its caller reads nothing for a while.
#[actix_rt::test]
async fn a_stream_outlasts_a_caller_that_does_not_read() {
    let settings = UpstreamSettings { event_padding: 4 << 10, ..slow_engine("gpu-1") };
    let (fleet, engine, _sidecar) = start_engine_fleet(settings).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(fleet.entry.address("callers")).await.unwrap();
    let head = format!(
        "POST /tour/day HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: a1\r\n\
         x-deadline-ms: 20000\r\nauthorization: Bearer {KEY}\r\nx-model: base/roses\r\n\
         x-token-usage: 100,50\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    wait_for_events(&engine, "a1").await;
    tokio::time::sleep(SILENCE).await;
    let mut body = String::new();
    stream.read_to_string(&mut body).await.unwrap();
    assert!(body.ends_with("\r\n0\r\n\r\n"), "{}", &body[body.len().saturating_sub(200)..]);
    assert_eq!(event_ids(&body), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(engine.runs().len(), 2);
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

/// Guards against losing what is under way because its own entry stands still for a while.
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
