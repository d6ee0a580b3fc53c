//! Connections that upstreams end while a long request is written.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use common::{
    raw::{RawAnswer, RawCaller, field},
    registered::{Fleet, KEY, PLAIN_SERVICE, config_row},
    wait_until,
};
use serde_json::json;

/// Bytes of a request that no kernel takes at once.
const UPLOAD_BYTES: usize = 8 << 20;

/// Body of the upstream's answer.
const BODY: &str = "the first of two parts";

/// How the upstream ends its connection after the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// By a reset, without an end before it.
    Reset,
    /// By its proper end, and a reset after it, as the rest of the request arrives.
    Close,
}

/// An upstream that reads the head of one request only. It answers once the test says so.
struct Upstream {
    address: SocketAddr,
    /// Receives the head of the request.
    begun: Receiver<String>,
    answer: Sender<Vec<u8>>,
    answered: Receiver<()>,
}

impl Upstream {
    fn start(ending: Ending) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (begin, begun) = channel();
        let (answer, answers) = channel::<Vec<u8>>();
        let (answering, answered) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let head = read_head(&mut stream);
                if !head.starts_with("POST /book/") {
                    continue;
                }
                // Without unread bytes, the connection would end properly when it is closed.
                stream.peek(&mut [0]).unwrap();
                begin.send(head).unwrap();
                stream.write_all(&answers.recv().unwrap()).unwrap();
                if ending == Ending::Close {
                    stream.shutdown(Shutdown::Write).unwrap();
                }
                // The kernel resets a connection that is closed with unread bytes.
                drop(stream);
                answering.send(()).unwrap();
            }
        });
        Upstream { address, begun, answer, answered }
    }
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|read| read == 1) {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Plays an answer with `fields` that arrives while the entry, which writes the request, is paused.
/// Returns what the caller gets.
async fn play(fields: &str, ending: Ending) -> Option<RawAnswer> {
    let upstream = Upstream::start(ending);
    let mut fleet = Fleet::start(1).await;
    let mut config = config_row(2, &[KEY]);
    config["limits"]["maxBodyBytes"] = UPLOAD_BYTES.into();
    fleet.store.put("op", "config", &config);
    let row = json!({"service": PLAIN_SERVICE, "address": upstream.address.to_string(),
        "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
        "coldRemainingMs": 0, "seq": 0, "born": 1});
    fleet.store.put("servers", "desk-0", &row);
    fleet.wait_until_ready().await;
    wait_until("the configuration", async || fleet.entry.has_line("number=2").then_some(())).await;
    let mut caller = RawCaller::connect(fleet.entry.address("callers")).await;
    caller.send("POST /book/seat", "x-attempt-id: e1\r\n", &vec![b'x'; UPLOAD_BYTES]).await;
    let head = wait_until("the request", async || upstream.begun.try_recv().ok()).await;
    assert_eq!(field(&head, "x-attempt-id"), Some("e1"));
    fleet.entry.signal("-STOP");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: e1\r\nx-response-stamp: stamp\r\n{fields}\r\n{BODY}"
    );
    upstream.answer.send(answer.into_bytes()).unwrap();
    wait_until("the end of the answer", async || upstream.answered.try_recv().ok()).await;
    // The kernel delivers a reset on loopback at once; the pause is for a busy machine.
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.entry.signal("-CONT");
    caller.read().await
}

/// Guards against taking a reset for the end of an answer without a length, as writing the request
/// has taken the error of the connection.
#[actix_rt::test]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete() {
    for _ in 0..5 {
        let got = play("", Ending::Reset).await.unwrap();
        assert_eq!(got.status(), 502, "{got:?}");
        assert!(!got.head.contains("x-response-stamp"), "{got:?}");
    }
}

/// Guards against losing an answer that is complete before its connection is reset.
#[actix_rt::test]
async fn an_answer_that_ends_properly_during_an_upload_is_complete() {
    let length = format!("content-length: {}\r\n", BODY.len());
    for (fields, ending) in
        [(&*length, Ending::Reset), (&length, Ending::Close), ("", Ending::Close)]
    {
        let got = play(fields, ending).await.unwrap();
        assert_eq!(got.status(), 200, "{fields:?} {ending:?}: {got:?}");
        assert_eq!(String::from_utf8_lossy(&got.body), BODY, "{fields:?} {ending:?}");
    }
}
