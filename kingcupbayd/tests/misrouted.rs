//! Answers that are stale, duplicate, out of order or misrouted.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
};

use common::{
    Answer, Process, apply_changes, basic_changes, build_request, name, send_request, start_daemon,
    start_standin, wait_for_number, wait_until, wait_until_ready,
};
use kingcupbay_core::{
    config::{
        change::Change,
        model::{Role, Serves, Upstream},
    },
    id::RequestId,
    wire::{
        engine::Usage,
        run::{Frame, Prompt, Run, RunEvent, Work},
    },
};
use serde_json::json;

/// Text that a caller must receive, whatever the upstream's daemon sends.
const COMPLETE: &str = "0 1 2 ";

/// Starts an upstream's daemon that answers as the prompt says, with faults in the first
/// attempt of each request.
fn faulty_daemon() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut attempts = BTreeMap::new();
        for stream in listener.incoming().map_while(Result::ok) {
            serve(stream, &mut attempts);
        }
    });
    address
}

fn serve(mut stream: TcpStream, attempts: &mut BTreeMap<RequestId, u32>) {
    let (path, body) = read(&stream);
    let mut frames = Vec::new();
    if path == "/run" {
        let run: Run = rmp_serde::from_slice(&body).unwrap();
        let attempt = attempts.entry(run.request).or_default();
        *attempt += 1;
        for frame in answer(&run, *attempt) {
            let bytes = rmp_serde::to_vec(&frame).unwrap();
            frames.extend((bytes.len() as u32).to_be_bytes());
            frames.extend(bytes);
        }
    }
    // Other paths are gossip, which this daemon does not support.
    let status = if path == "/run" { "200 OK" } else { "404 Not Found" };
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", frames.len());
    let _ = stream.write_all(&[head.as_bytes(), &frames].concat());
}

fn read(stream: &TcpStream) -> (String, Vec<u8>) {
    let mut reader = BufReader::new(stream);
    let (mut first, mut length) = (String::new(), 0);
    reader.read_line(&mut first).unwrap();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (first.split(' ').nth(1).unwrap_or_default().to_owned(), body)
}

fn answer(run: &Run, attempt: u32) -> Vec<Frame> {
    let Work::Generate { prompt: Prompt::Text(prompt), offset, .. } = &run.work else {
        unreachable!("the test only completes texts")
    };
    let frame = |request, event| Frame { request, event };
    let token = |offset, text: &str| RunEvent::Token { offset, text: text.to_owned() };
    let own_frame = |event| frame(run.request, event);
    let expected = |offset: u32| own_frame(token(offset, &format!("{offset} ")));
    let mut frames = match (prompt.as_str(), attempt) {
        ("misrouted", 1) => {
            let other = frame(RequestId([9; 16]), token(1, "of another request "));
            vec![expected(0), other, expected(1), expected(2)]
        }
        ("duplicate", 1) => {
            vec![
                expected(0),
                expected(1),
                own_frame(token(0, "again ")),
                own_frame(token(1, "again ")),
                expected(2),
            ]
        }
        ("missing", 1) => vec![expected(0), expected(2)],
        _ => (*offset..3).map(expected).collect(),
    };
    let done = RunEvent::Done { reason: "length".to_owned(), usage: Usage::default() };
    frames.push(own_frame(done));
    frames
}

/// Starts an entry whose only upstream has the faulty daemon.
async fn fleet() -> (Process, Process) {
    let platform = start_standin("platform", &[]);
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&entry).await;
    let join = Change::Join {
        host: name("crossing"),
        address: faulty_daemon().to_string(),
        zone: name("zone-a"),
        role: Role::Upstream,
        incarnation: 1,
    };
    apply_changes(&entry, &[join]).await;
    let upstream = Upstream {
        name: name("gpu-1"),
        host: name("crossing"),
        address: "127.0.0.1:1".to_owned(),
        zone: name("zone-a"),
        serves: Serves::Model { base: name("base"), slots: 8, fenced: true },
        leaving: false,
    };
    let mut changes = basic_changes();
    changes.push(Change::SetUpstream { upstream });
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&entry, number).await;
    // A new organisation may get its shares a moment later.
    wait_until("an admitted request", async || {
        (complete(&entry, "plain").await.status == 200).then_some(())
    })
    .await;
    (platform, entry)
}

async fn complete(entry: &Process, prompt: &str) -> Answer {
    let body = json!({
        "model": "tasting@v1", "prompt": prompt, "max_tokens": 3, "stream": true
    });
    send_request(build_request(entry, "/v1/completions"), &body).await
}

async fn assert_complete(prompt: &str) {
    let (_platform, entry) = fleet().await;
    let answer = complete(&entry, prompt).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, COMPLETE), "{}", answer.body);
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
}

/// Tokens of one request arrive in the middle of the answer to another. No caller may
/// receive them; the attempt can no longer be trusted, and another attempt sends the
/// rest.
#[actix_rt::test]
async fn tokens_of_another_request_are_dropped() {
    assert_complete("misrouted").await;
}

/// A resumed stream begins too early and repeats tokens that the caller already has.
/// They must not be sent to the caller twice.
#[actix_rt::test]
async fn duplicate_tokens_are_sent_to_the_caller_once() {
    assert_complete("duplicate").await;
}

/// A token is missing in the middle of an answer. A caller could not notice the gap, so
/// the attempt must end there, and another one send the missing token.
#[actix_rt::test]
async fn a_missing_token_is_fetched_by_another_attempt() {
    assert_complete("missing").await;
}
