//! Answers that callers read slowly, beside planned work.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use actix_rt::net::{TcpSocket, TcpStream};
use common::{
    raw::{Ending, RawUpstream, field},
    registered::{ANY_PORT, Fleet, KEY, PLAIN_SERVICE, config_row, start_daemon},
    wait_until,
};
use futures_util::future::join_all;
use kingcupbay_standin::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes of the answers: what the kernel and the entry keep for a connection ends in between.
const BODY_BYTES: std::ops::RangeInclusive<usize> = 2_000..=120_000;
const STEP_BYTES: usize = 4_000;

/// Pauses of a caller, within the grace of an entry all together.
const PAUSES: u32 = 3;
const PAUSE: Duration = Duration::from_millis(1_500);

/// Starts an entry, and a service with long answers.
async fn start() -> (Fleet, RawUpstream) {
    start_with(15_000).await
}

/// Does the same; callers' connections may be idle for `idle_ms`.
async fn start_with(idle_ms: u64) -> (Fleet, RawUpstream) {
    let answer = |head: &str| {
        let attempt = field(head, "x-attempt-id").unwrap();
        let length: usize = attempt.parse().unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-stamp: stamp\r\n\
             content-length: {length}\r\n\r\n"
        );
        [head.as_bytes(), &vec![b'x'; length]].concat()
    };
    let upstream = RawUpstream::start(answer, Ending::Keep);
    let store = Registry::start(ANY_PORT).unwrap();
    let mut config = config_row(1, &[KEY]);
    config["limits"]["idleTimeoutMs"] = idle_ms.into();
    store.put("op", "config", &config);
    store.put("servers", "desk-1", &upstream.row(PLAIN_SERVICE, "v1"));
    let settings = "ready = 127.0.0.1:0\nsidecars = 1\ngrace_ms = 8000\n";
    let entry = start_daemon("entry", "entry-1", &store, settings);
    let fleet = Fleet { store, entry };
    fleet.wait_until_ready().await;
    (fleet, upstream)
}

/// Sends a request with the further `fields`, over a connection with a small window.
async fn send(fleet: &Fleet, attempt: String, fields: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(fleet.entry.address("callers")).await.unwrap();
    let head = format!(
        "POST /book/seat HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 9000\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n{fields}\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer of `length` bytes with pauses; returns whether it is whole.
async fn is_read_slowly(mut stream: TcpStream, length: usize) -> bool {
    let mut bytes = vec![0; 2 * length + 2_000];
    let mut count = 0;
    for _ in 0..PAUSES {
        tokio::time::sleep(PAUSE).await;
        count += stream.read(&mut bytes[count..count + 300]).await.unwrap_or(0);
    }
    let head = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let whole = head.map_or(usize::MAX, |end| end + 4 + length);
    while count < whole {
        match stream.read(&mut bytes[count..]).await {
            Ok(read @ 1..) => count += read,
            Ok(0) | Err(_) => return false,
        }
    }
    true
}

/// Sends requests for answers of many lengths, and returns the lengths of those that were cut
/// beside `work`.
async fn cut_answers(
    fleet: &Fleet,
    upstream: &RawUpstream,
    fields: &str,
    work: impl Fn(),
) -> Vec<usize> {
    let lengths: Vec<usize> = BODY_BYTES.step_by(STEP_BYTES).collect();
    let streams = lengths.iter().map(|length| send(fleet, length.to_string(), fields));
    let streams = join_all(streams).await;
    wait_until("the requests", async || {
        (upstream.heads("/book/seat").len() == lengths.len()).then_some(())
    })
    .await;
    work();
    let read = streams
        .into_iter()
        .zip(&lengths)
        .map(|(stream, &length)| async move { (length, is_read_slowly(stream, length).await) });
    let read = join_all(read).await;
    read.into_iter().filter(|(_, is_whole)| !is_whole).map(|(length, _)| length).collect()
}

/// Guards against answers that are cut as their callers read them slowly while the entry stops.
#[actix_rt::test]
async fn slow_callers_get_their_answers_beside_a_planned_stop() {
    let (fleet, upstream) = start().await;
    let stop = || fleet.entry.signal("-TERM");
    assert_eq!(cut_answers(&fleet, &upstream, "", stop).await, Vec::<usize>::new());
}

/// Guards against the same where callers want their connections to close.
#[actix_rt::test]
async fn slow_callers_that_close_get_their_answers() {
    let (fleet, upstream) = start().await;
    let cut = cut_answers(&fleet, &upstream, "connection: close\r\n", || {}).await;
    assert_eq!(cut, Vec::<usize>::new());
}

/// Guards against the same where an entry reloads its settings and gets a configuration with
/// shorter times.
#[actix_rt::test]
async fn slow_callers_get_their_answers_beside_a_reload_and_a_configuration() {
    let (fleet, upstream) = start().await;
    let change = || {
        fleet.entry.signal("-HUP");
        let mut config = config_row(2, &["another-key"]);
        config["limits"]["idleTimeoutMs"] = 500.into();
        config["routes"].as_array_mut().unwrap().retain(|route| route["name"] != "book");
        fleet.store.put("op", "config", &config);
    };
    assert_eq!(cut_answers(&fleet, &upstream, "", change).await, Vec::<usize>::new());
}

/// Guards against an unread answer that counts as an idle connection.
#[actix_rt::test]
async fn slow_callers_get_their_answers_where_connections_may_be_idle_for_less() {
    let (fleet, upstream) = start_with(500).await;
    assert_eq!(cut_answers(&fleet, &upstream, "", || {}).await, Vec::<usize>::new());
}
