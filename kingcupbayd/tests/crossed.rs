//! Answers that come late, twice, out of order or crossed with another's.

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

/// What a caller must read, whatever the upstream's daemon sends.
const WHOLE: &str = "0 1 2 ";

/// A daemon of an upstream that answers as the prompt says, with mistakes in
/// the first attempt of each request.
fn daemon_with_mistakes() -> SocketAddr {
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
    // Other paths are gossip, which this daemon does not speak.
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
    let own = |event| frame(run.request, event);
    let right = |offset: u32| own(token(offset, &format!("{offset} ")));
    let mut frames = match (prompt.as_str(), attempt) {
        ("crossed", 1) => {
            let other = frame(RequestId([9; 16]), token(1, "of another request "));
            vec![right(0), other, right(1), right(2)]
        }
        ("doubled", 1) => {
            vec![right(0), right(1), own(token(0, "again ")), own(token(1, "again ")), right(2)]
        }
        ("skipped", 1) => vec![right(0), right(2)],
        _ => (*offset..3).map(right).collect(),
    };
    let done = RunEvent::Done { reason: "length".to_owned(), usage: Usage::default() };
    frames.push(own(done));
    frames
}

/// An entry with nothing but the daemon with mistakes behind it.
async fn fleet() -> (Process, Process) {
    let platform = start_standin("platform", &[]);
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&entry).await;
    let join = Change::Join {
        host: name("crossing"),
        address: daemon_with_mistakes().to_string(),
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
    // An organisation that has just been made may get its shares a moment
    // later.
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

async fn assert_whole(prompt: &str) {
    let (_platform, entry) = fleet().await;
    let answer = complete(&entry, prompt).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, WHOLE), "{}", answer.body);
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
}

/// Two answers cross between an upstream's daemon and an entry: in the middle
/// of one caller's words stand another's. Nobody may read them; the attempt
/// cannot be trusted any further and the rest comes from the next one.
#[actix_rt::test]
async fn words_of_another_request_reach_nobody() {
    assert_whole("crossed").await;
}

/// A resumed stream begins before the place where it should: words that the
/// caller has read already come again, and must not be read twice.
#[actix_rt::test]
async fn words_that_come_twice_are_read_once() {
    assert_whole("doubled").await;
}

/// A word is missing in the middle. An answer with a gap reads like a whole
/// one, so the attempt ends there and the next one brings the missing word.
#[actix_rt::test]
async fn a_missing_word_is_fetched_again() {
    assert_whole("skipped").await;
}
