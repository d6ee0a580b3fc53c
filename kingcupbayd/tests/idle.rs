//! Idle connections of callers.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;

use actix_rt::net::TcpStream;
use common::{
    EVENT_TIMEOUT,
    registered::{Fleet, KEY, config_row},
    wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The idle timeout of the tests, far below that of an entry without a configuration.
const IDLE_MS: u64 = 1_000;

/// Sends a request on a new connection and returns the connection once its answer is read.
async fn answered(entry: SocketAddr, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    exchange(&mut stream, attempt).await;
    stream
}

/// Sends a request and reads its answer. Panics if the connection ends.
async fn exchange(stream: &mut TcpStream, attempt: &str) {
    let head = format!(
        "GET /seats/today HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 10000\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"done by desk-1") {
        let mut part = [0; 1024];
        let count = stream.read(&mut part).await.unwrap();
        assert!(count > 0, "the connection ended after {}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&part[..count]);
    }
}

/// Waits until the other side closes an idle connection; `None` if it stays open.
async fn closed(stream: &mut TcpStream) -> Option<usize> {
    let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut [0; 16])).await;
    read.ok().map(Result::unwrap)
}

/// Guards against an idle timeout of callers' connections that the configuration does not set.
#[actix_rt::test]
async fn an_idle_connection_is_closed_after_the_configured_time() {
    let mut fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    let entry = fleet.entry.address("callers");
    let mut before = answered(entry, "a1").await;
    let mut config = config_row(2, &[KEY]);
    config["limits"]["idleTimeoutMs"] = IDLE_MS.into();
    fleet.store.put("op", "config", &config);
    wait_until("the configuration", async || {
        fleet.entry.has_line("number=2 event=configuration").then_some(())
    })
    .await;
    let mut after = answered(entry, "a2").await;
    assert_eq!(closed(&mut after).await, Some(0));
    exchange(&mut before, "a3").await;
}
