//! Answers that come once more, late, where the answer to another request is expected.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use common::{
    registered::{Fleet, PLAIN_SERVICE},
    wait_until,
};
use serde_json::json;

/// Starts a service that refuses the first request of all without naming it. Where a connection
/// that has carried the refusal carries another request, the refusal comes once more before that
/// is answered. Returns its address and the number of requests that it has run.
fn start_repeating_service() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let (count, refused) = (runs.clone(), Arc::new(AtomicU32::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (count, refused) = (count.clone(), refused.clone());
            std::thread::spawn(move || serve_repeating(&stream, &count, &refused));
        }
    });
    (address, runs)
}

fn serve_repeating(mut stream: &TcpStream, runs: &AtomicU32, refused: &AtomicU32) -> Option<()> {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut has_refused = false;
    loop {
        let (mut attempt, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let lower = line.trim().to_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            } else if let Some(value) = lower.strip_prefix("x-attempt-id:") {
                attempt = value.trim().to_owned();
            } else if lower.is_empty() {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()?;
        if refused.swap(1, Ordering::SeqCst) == 0 {
            has_refused = true;
            stream.write_all(REFUSAL).ok()?;
            continue;
        }
        if std::mem::take(&mut has_refused) {
            stream.write_all(REFUSAL).ok()?;
        }
        runs.fetch_add(1, Ordering::SeqCst);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-stamp: s\r\n\
             content-length: 4\r\n\r\ndone"
        );
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// A refusal that names no request comes a second time, late. It must not refuse the booking that
/// the connection carries next, as that runs.
#[actix_rt::test]
async fn a_late_copy_of_a_refusal_answers_no_other_request() {
    let fleet = Fleet::start(1).await;
    let (address, runs) = start_repeating_service();
    let row = json!({"service": PLAIN_SERVICE, "address": address.to_string(),
        "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
        "coldRemainingMs": 0, "seq": 0, "born": 1});
    fleet.store.put("servers", "desk-0", &row);
    fleet.wait_until_ready().await;
    wait_until("the refusal", async || {
        let got = fleet.send("POST", "/book/seat", "b1").await;
        (got.status == 503).then_some(())
    })
    .await;
    let got = fleet.send("POST", "/book/seat", "b2").await;
    assert_eq!((got.status, runs.load(Ordering::SeqCst)), (200, 1), "{got:?}");
}
