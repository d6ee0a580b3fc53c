//! Requests that wait in the kernel while a stopping entry gets no processor time.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, io::ErrorKind, time::Duration};

use actix_rt::net::TcpStream;
use common::{
    raw::{Ending, RawUpstream, field},
    registered::{ANY_PORT, Fleet, KEY, PLAIN_SERVICE, config_row, start_daemon},
    wait_until,
};
use futures_util::future::join_all;
use kingcupbay_standin::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Callers, each with a connection that it has used before; more than tasks of the runtime run
/// between two looks at its sockets.
const CALLER_COUNT: usize = 100;

/// For how long an entry is paused. Meanwhile the time comes at which it closes idle connections.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);

/// Time for the reset of a connection to arrive.
const RESET_TIME: Duration = Duration::from_secs(4);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Answered(u16),
    /// The connection was closed after the request had been read.
    Closed,
    /// The connection was closed before that.
    Reset,
}

/// Starts an entry whose callers' connections may be idle for `idle_ms`, and a service.
async fn start(idle_ms: u64) -> (Fleet, RawUpstream) {
    let answer = |head: &str| {
        let attempt = field(head, "x-attempt-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-stamp: stamp");
        format!("{head}\r\ncontent-length: 2\r\n\r\nok").into_bytes()
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

async fn send(stream: &mut TcpStream, attempt: &str) {
    let head = format!(
        "POST /book/seat HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 9000\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
}

async fn outcome(stream: &mut TcpStream) -> Outcome {
    let mut bytes = [0; 4_096];
    match stream.read(&mut bytes).await {
        Ok(0) => {
            // A connection that is closed with unread bytes is reset.
            tokio::time::sleep(RESET_TIME).await;
            match stream.take_error().unwrap() {
                Some(_) => Outcome::Reset,
                None => Outcome::Closed,
            }
        }
        Ok(read) => {
            let answer = std::str::from_utf8(&bytes[..read]).unwrap();
            let (head, body) = answer.split_once("\r\n\r\n").unwrap();
            let length = field(head, "content-length").unwrap();
            assert_eq!(length.parse(), Ok(body.len()), "{answer}");
            Outcome::Answered(answer[9..12].parse().unwrap())
        }
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Outcome::Reset,
        Err(error) => panic!("{error}"),
    }
}

/// Opens connections and uses each once.
async fn open_used(fleet: &Fleet) -> Vec<TcpStream> {
    let callers = fleet.entry.address("callers");
    let mut streams = Vec::new();
    for number in 0..CALLER_COUNT {
        let mut stream = TcpStream::connect(callers).await.unwrap();
        send(&mut stream, &format!("a{number}")).await;
        assert_eq!(outcome(&mut stream).await, Outcome::Answered(200));
        streams.push(stream);
    }
    streams
}

/// Pauses the entry and sends a request on each connection meanwhile. Returns what became of
/// them.
async fn send_while_paused(fleet: &Fleet, mut streams: Vec<TcpStream>) -> BTreeMap<Outcome, usize> {
    fleet.entry.signal("-STOP");
    for (number, stream) in streams.iter_mut().enumerate() {
        send(stream, &format!("b{number}")).await;
    }
    tokio::time::sleep(PAUSE_TIME).await;
    fleet.entry.signal("-CONT");
    let mut outcomes = BTreeMap::<Outcome, usize>::new();
    for outcome in join_all(streams.iter_mut().map(outcome)).await {
        *outcomes.entry(outcome).or_default() += 1;
    }
    outcomes
}

/// Guards against a request that an entry reads and drops as it closes idle connections late.
#[actix_rt::test]
async fn what_a_stopping_entry_reads_late_is_answered() {
    let (mut fleet, _upstream) = start(15_000).await;
    let streams = open_used(&fleet).await;
    fleet.entry.signal("-TERM");
    wait_until("the stop", async || fleet.entry.has_line("event=stopping").then_some(())).await;
    let outcomes = send_while_paused(&fleet, streams).await;
    let answered = |outcome: &Outcome| matches!(outcome, Outcome::Answered(200 | 503));
    assert!(outcomes.keys().all(answered), "{outcomes:?}");
}

/// Guards against the same where a connection's idle time ends: what is not answered is not read.
#[actix_rt::test]
async fn what_comes_before_the_end_of_the_idle_time_is_not_dropped() {
    let (fleet, _upstream) = start(2_000).await;
    let streams = open_used(&fleet).await;
    let outcomes = send_while_paused(&fleet, streams).await;
    assert_eq!(outcomes.get(&Outcome::Closed), None, "{outcomes:?}");
}
