//! Tests of the copies of runs' memory between upstream engines.
#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::TcpStream;
use common::{any_port, client, get};
use kingcupbay_standin::{Fault, FaultOrder, Rule, UpstreamServer, UpstreamSettings};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const MOVE: &str = "/v1/kv-move";

fn engine(id: &str, change: impl FnOnce(&mut UpstreamSettings)) -> UpstreamServer {
    let mut settings = UpstreamSettings::engine(id, 40);
    settings.name_runs = true;
    change(&mut settings);
    UpstreamServer::start(any_port(), settings).unwrap()
}

fn pair() -> (UpstreamServer, UpstreamServer) {
    (engine("gpu-1", |_| {}), engine("gpu-2", |_| {}))
}

fn address(engine: &UpstreamServer) -> SocketAddr {
    engine.server().address()
}

/// An answer as it is on the wire: awc takes the end of a connection for the end of a body.
struct Stream {
    socket: TcpStream,
    status: u16,
    not_executed: bool,
    rest: String,
}

/// Sends the request `a` with further headers.
async fn start(engine: &UpstreamServer, headers: &[(&str, &str)]) -> Stream {
    let mut socket = TcpStream::connect(address(engine)).await.unwrap();
    let mut text = String::from("POST /tour HTTP/1.1\r\nhost: x\r\nx-attempt-id: a\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("content-length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut head = String::new();
    while !head.contains("\r\n\r\n") {
        assert!(receive(&mut socket, &mut head).await, "the answer has a head");
    }
    let (head, rest) = head.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let not_executed = head.contains("x-not-executed");
    Stream { socket, status, not_executed, rest: rest.to_owned() }
}

/// Appends what arrives next; returns whether something did.
async fn receive(socket: &mut TcpStream, text: &mut String) -> bool {
    let mut bytes = [0; 4096];
    let count = socket.read(&mut bytes).await.unwrap_or(0);
    text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
    count > 0
}

/// Sends the request `a` again, to go on after event `last`.
async fn go_on(engine: &UpstreamServer, source: SocketAddr, handle: &str, last: u64) -> Stream {
    let from = format!("{source}/{handle}");
    start(engine, &[("kv-from", &from), ("last-event-id", &last.to_string())]).await
}

/// Reads events until `count` have arrived; returns their texts and whether the stream has
/// ended completely.
async fn read(stream: &mut Stream, count: usize) -> (Vec<String>, bool) {
    let mut text = std::mem::take(&mut stream.rest);
    let mut open = true;
    while open && text.matches("\n\n").count() < count && !text.ends_with("\r\n0\r\n\r\n") {
        open = receive(&mut stream.socket, &mut text).await;
    }
    (events(&text), text.ends_with("\r\n0\r\n\r\n"))
}

fn events(text: &str) -> Vec<String> {
    text.lines().filter_map(|line| Some(line.strip_prefix("data: ")?.to_owned())).collect()
}

/// Returns the numbers of events which all belong to one run.
fn numbers(events: &[String]) -> Vec<u64> {
    let run = |event: &String| event.split_once(" run ").unwrap().1.to_owned();
    assert!(events.iter().all(|event| run(event) == run(&events[0])), "{events:?}");
    let number = |event: &String| event.split(' ').nth(1).unwrap().parse().unwrap();
    events.iter().map(number).collect()
}

async fn move_run(source: &UpstreamServer, target: SocketAddr, last: bool) -> (u16, Value) {
    let url = format!("http://{}{MOVE}", address(source));
    let order = json!({"id": "a", "target": target.to_string(), "last": last});
    let mut answer = client().post(url).send_json(&order).await.unwrap();
    let status = answer.status().as_u16();
    (status, answer.json().await.unwrap_or_default())
}

async fn free(source: &UpstreamServer, handle: &str) -> u16 {
    let url = format!("http://{}/v1/kv-handle/{handle}", address(source));
    client().delete(url).send().await.unwrap().status().as_u16()
}

async fn report(engine: &UpstreamServer) -> Value {
    get(address(engine), "/v1/report").await.unwrap().json().await.unwrap()
}

/// Guards against a move that loses, repeats or mixes events, and against a copy that
/// prefills what it has.
#[actix_rt::test]
async fn moved_run_goes_on_at_the_target() {
    let (source, target) = pair();
    let mut stream = start(&source, &[]).await;
    let (mut all, _) = read(&mut stream, 3).await;
    let (status, first) = move_run(&source, address(&target), false).await;
    assert_eq!(status, 200);
    assert!(first["created"].as_u64().unwrap() >= 3);
    assert_eq!(report(&target).await["handles"], 1);
    all.extend(read(&mut stream, 2).await.0);
    let (status, second) = move_run(&source, address(&target), true).await;
    assert_eq!((status, &second["handle"]), (200, &first["handle"]));
    let (rest, complete) = read(&mut stream, usize::MAX).await;
    assert!(!complete, "a stopped stream must not look complete");
    all.extend(rest);
    assert_eq!(numbers(&all).last(), second["created"].as_u64().as_ref());
    let handle = second["handle"].as_str().unwrap();
    let mut stream = go_on(&target, address(&source), handle, all.len() as u64).await;
    assert_eq!(stream.status, 200);
    let (rest, complete) = read(&mut stream, usize::MAX).await;
    all.extend(rest);
    assert!(complete);
    assert_eq!(numbers(&all), (1..=40).collect::<Vec<_>>());
    assert_eq!(target.runs()[0].prefilled, 0);
    assert!(target.runs()[0].continues());
    let counts = (source.copies(), target.copies());
    assert_eq!((counts.0.made, counts.0.stopped, counts.1.used), (1, 1, 1));
    assert_eq!(report(&target).await["handles"], 0);
}

/// Guards against a test that cannot see a handle used twice, at either end.
#[actix_rt::test]
async fn handle_is_used_once() {
    let (source, target) = pair();
    let _stream = start(&source, &[]).await;
    let (_, moved) = move_run(&source, address(&target), true).await;
    let handle = moved["handle"].as_str().unwrap();
    let first = go_on(&target, address(&source), handle, 0).await;
    assert_eq!(first.status, 200);
    for engine in [&target, &source] {
        let again = go_on(engine, address(&source), handle, 0).await;
        assert_eq!(again.status, 503);
        assert!(again.not_executed);
        assert_eq!(engine.copies().refused, 1);
    }
    assert_eq!((source.runs().len(), target.runs().len()), (1, 1));
}

/// Guards against a source that loses a stopped run, or continues one that was not stopped.
#[actix_rt::test]
async fn stopped_run_goes_on_at_its_source() {
    let (source, target) = pair();
    let mut stream = start(&source, &[]).await;
    let (all, _) = read(&mut stream, 2).await;
    let (_, copied) = move_run(&source, address(&target), false).await;
    let handle = copied["handle"].as_str().unwrap();
    assert_eq!(go_on(&source, address(&source), handle, 2).await.status, 503);
    target.set_isolated(true);
    let (status, moved) = move_run(&source, address(&target), true).await;
    assert_eq!((status, moved["handle"].as_str().unwrap()), (503, handle));
    let mut stream = go_on(&source, address(&source), handle, 2).await;
    let (rest, complete) = read(&mut stream, usize::MAX).await;
    assert!(complete);
    assert_eq!(numbers(&[all, rest].concat()), (1..=40).collect::<Vec<_>>());
}

/// Guards against a test that cannot see a refused, late, lost or incomplete copy.
#[actix_rt::test]
async fn faults_of_moves_are_switched_on_request() {
    let (source, target) = pair();
    let mut stream = start(&source, &[]).await;
    read(&mut stream, 4).await;
    assert_eq!(move_run(&target, address(&source), false).await.0, 404);
    for status in [404, 409, 503] {
        let fault = Fault::RefuseMoves { status, not_last: false };
        source.server().add_rule(Rule::new(fault).times(1));
        assert_eq!(move_run(&source, address(&target), false).await, (status, Value::Null));
    }
    source.server().add_rule(Rule::new(Fault::LoseAnswer).path(MOVE).times(1));
    let url = format!("http://{}{MOVE}", address(&source));
    let order = json!({"id": "a", "target": address(&target).to_string()});
    assert!(client().post(&url).send_json(&order).await.is_err());
    assert_eq!(source.copies().made, 1, "the copy is made although its answer is lost");
    let late = source.server().add_rule(Rule::new(Fault::LateAnswer { millis: 1 }).path(MOVE));
    let partial = source.server().add_rule(Rule::new(Fault::PartialCopies { percent: 50 }));
    let (status, moved) = move_run(&source, address(&target), true).await;
    assert_eq!(status, 200);
    assert_eq!(
        (source.server().faults().hits(late), source.server().faults().hits(partial)),
        (1, 1)
    );
    let created = moved["created"].as_u64().unwrap();
    let handle = moved["handle"].as_str().unwrap();
    let answer = go_on(&target, address(&source), handle, created).await;
    assert_eq!(answer.status, 200);
    assert_eq!(target.runs()[0].prefilled, 4 * (created - created / 2));
}

/// Guards against a second call while the first one copies.
#[actix_rt::test]
async fn move_in_progress_refuses_another() {
    let source = engine("gpu-1", |settings| settings.copy_time = Duration::from_millis(50));
    let target = engine("gpu-2", |_| {});
    let _stream = start(&source, &[]).await;
    let both = futures_util::future::join(move_run(&source, address(&target), true), async {
        source.wait_for_copies(|counts| counts.stopped == 1).await;
        // The stream has ended; the run is known as long as it is copied.
        move_run(&source, address(&target), true).await
    });
    let (first, second) = both.await;
    assert_eq!((first.0, second.0), (200, 409));
}

/// Guards against copies that take no room, or that stay when they are freed or too old.
#[actix_rt::test]
async fn copies_take_room_until_they_are_freed() {
    let source = engine("gpu-1", |_| {});
    let target = engine("gpu-2", |settings| settings.slots = 1);
    let _first = start(&source, &[]).await;
    let (_, moved) = move_run(&source, address(&target), true).await;
    let handle = moved["handle"].as_str().unwrap();
    assert_eq!(
        (&report(&source).await["handles"], &report(&target).await["handles"]),
        (&json!(1), &json!(1))
    );
    assert!(report(&target).await["kvUsed"].as_u64().unwrap() > 0);
    let _second = start(&source, &[]).await;
    assert_eq!(move_run(&source, address(&target), false).await.0, 503, "no slot is left");
    assert_eq!(free(&source, handle).await, 204);
    assert_eq!(free(&source, handle).await, 404);
    assert_eq!(go_on(&target, address(&source), handle, 0).await.status, 503);
    assert_eq!((source.copies().freed, &report(&target).await["kvUsed"]), (1, &json!(0)));
    assert_eq!(move_run(&source, address(&target), false).await.0, 200);
    let brief = engine("gpu-3", |settings| settings.handle_time = Duration::ZERO);
    assert_eq!(move_run(&source, address(&brief), false).await.0, 200);
    assert_eq!(report(&brief).await["handles"], 0);
    assert_eq!(brief.copies().expired, 1);
}

/// Guards against a backup that is lost with the engine it was made for, or that serves
/// twice.
#[actix_rt::test]
async fn crashed_run_goes_on_from_its_backup() {
    let (source, target) = pair();
    let backup = address(&target).to_string();
    let mut stream = start(&source, &[("x-kv-backup", &backup)]).await;
    let (all, _) = read(&mut stream, 5).await;
    assert_eq!(target.copies().backups, 1);
    source.server().apply(FaultOrder::Restart);
    let (rest, complete) = read(&mut stream, usize::MAX).await;
    assert!(!complete);
    let mut all = [all, rest].concat();
    let mut stream = go_on(&target, address(&target), "a", all.len() as u64).await;
    all.extend(read(&mut stream, usize::MAX).await.0);
    assert_eq!(numbers(&all), (1..=40).collect::<Vec<_>>());
    assert_eq!(target.copies().restored, 1);
    assert_eq!(go_on(&target, address(&target), "a", 0).await.status, 503);
    // A run that ends as it should leaves no backup.
    let mut stream = start(&source, &[("x-kv-backup", &backup)]).await;
    assert!(read(&mut stream, usize::MAX).await.1);
    assert_eq!(report(&target).await["handles"], 0);
}

/// Guards against a test that cannot see a run that goes on at two engines.
#[actix_rt::test]
async fn run_at_two_engines_is_counted() {
    let slow = |settings: &mut UpstreamSettings| settings.events = 1_000;
    let (source, target) = (engine("gpu-1", slow), engine("gpu-2", slow));
    let _first = start(&source, &[]).await;
    let (_, copied) = move_run(&source, address(&target), false).await;
    let handle = copied["handle"].as_str().unwrap();
    let mut first = start(&target, &[]).await;
    read(&mut first, 2).await;
    assert_eq!(source.copies().overlaps, 0, "the two runs are not one");
    let _second = go_on(&target, address(&source), handle, 0).await;
    let mut stream = start(&target, &[]).await;
    while source.copies().overlaps == 0 {
        read(&mut stream, 1).await;
    }
    assert_eq!((source.copies().overlaps, target.copies().overlaps), (1, 0));
}

/// Guards against an engine that leaves unannounced or keeps its runs.
#[actix_rt::test]
async fn leaving_engine_reports_it_and_ends_its_runs() {
    let (source, target) = pair();
    assert_eq!(report(&source).await["state"], "ready");
    let mut stream = start(&source, &[]).await;
    source.drain(Duration::ZERO, Duration::from_millis(60), true);
    let said = report(&source).await;
    assert_eq!(said["state"], "draining");
    assert!(said["remainingMs"].as_u64().unwrap() <= 60);
    assert_eq!(start(&source, &[]).await.status, 503);
    let _other = start(&target, &[]).await;
    assert_eq!(move_run(&target, address(&source), false).await.0, 503);
    assert!(!read(&mut stream, usize::MAX).await.1);
    assert_eq!(report(&source).await["inFlight"], 0);
    source.end_drain();
    assert_eq!(report(&source).await["state"], "ready");
    assert_eq!(start(&source, &[]).await.status, 200);
}
