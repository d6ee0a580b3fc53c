//! Planned stops of hosts complete the running streams.

#![allow(clippy::unwrap_used)]

mod common;

use std::pin::Pin;

use awc::error::PayloadError;
use bytes::Bytes;
use common::{Fleet, Process, build_request, completion_body, send_request};
use futures_util::{Stream, StreamExt, future::join_all};
use kingcupbay_standin::answer_text;

/// Number of streams that run when the operator stops a host.
const STREAMS: usize = 24;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Starts a stream and waits for its first bytes.
async fn start_stream(entry: &Process) -> (Vec<u8>, Body) {
    let request = build_request(entry, "/v1/completions");
    let mut response = request.send_json(&completion_body("tasting@v1", 60)).await.unwrap();
    assert_eq!(response.status(), 200);
    let first = response.next().await.unwrap().unwrap();
    (first.to_vec(), Box::pin(response))
}

/// Reads a started stream to its end.
async fn read_to_end((mut text, mut body): (Vec<u8>, Body)) -> String {
    while let Some(bytes) = body.next().await {
        text.extend_from_slice(&bytes.unwrap());
    }
    String::from_utf8(text).unwrap()
}

async fn start_streams(entry: &Process) -> Vec<(Vec<u8>, Body)> {
    join_all((0..STREAMS).map(|_| start_stream(entry))).await
}

fn assert_whole(body: String) {
    let answer = common::Answer { status: 200, retry_after: None, body };
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(answer.text(), answer_text("tasting@v1", answer.request(), 0..60));
}

/// An operator stops an entry. Running answers must reach their callers complete,
/// and the process must end by itself, even if a second signal follows.
#[actix_rt::test]
async fn a_stopped_entry_finishes_every_stream() {
    let mut fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "10"], "").await;
    let streams = start_streams(&fleet.entries[0]).await;
    fleet.entries[0].signal("-TERM");
    fleet.entries[0].wait_line("event=stopping");
    fleet.entries[0].signal("-TERM");
    join_all(streams.into_iter().map(read_to_end)).await.into_iter().for_each(assert_whole);
    let (ok, lines) = fleet.entries.remove(0).wait();
    assert!(ok);
    assert!(lines.iter().any(|line| line.contains("event=stopped") && line.contains("cut=0")));
}

/// An operator stops an upstream daemon. Running requests must finish there, and
/// requests that arrive meanwhile must run on another upstream without an error.
#[actix_rt::test]
async fn a_stopped_upstream_daemon_finishes_and_new_requests_go_elsewhere() {
    let mut fleet = Fleet::start(1, 2, &["--first", "1", "--gap", "10"], "").await;
    let streams = start_streams(&fleet.entries[0]).await;
    let host = fleet.upstreams.remove(0);
    host.signal("-TERM");
    let later = (0..STREAMS).map(|_| {
        let body = completion_body("tasting@v1", 60);
        let request = build_request(&fleet.entries[0], "/v1/completions");
        async move { send_request(request, &body).await }
    });
    for answer in join_all(later).await {
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_whole(answer.body);
    }
    join_all(streams.into_iter().map(read_to_end)).await.into_iter().for_each(assert_whole);
    assert!(host.wait().0);
    let answer = send_request(
        build_request(&fleet.entries[0], "/v1/completions"),
        &completion_body("tasting", 60),
    )
    .await;
    assert_whole(answer.body);
}
