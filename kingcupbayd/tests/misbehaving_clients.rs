//! Crowds of clients that send much, stop short of the end or do not read their answers.
//!
//! Each test starts an entry with the descriptors of the smallest machine and checks that it
//! lives, that its memory and descriptors stay within that machine, and that an ordinary request
//! is answered while the crowd is connected and after it has left.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use actix_rt::net::TcpStream;
use common::{
    EVENT_TIMEOUT, Process, SECRET, build_request, completion_body, get_text,
    registered::{
        ANY_PORT, Fleet, KEY, PLAIN_SERVICE, config_row, send_to, settings_text, wait_until_ready,
    },
    send_request, wait_until,
};
use futures_util::future::join_all;
use kingcupbay_core::wire::usage::USAGE_PATH;
use kingcupbay_standin::Registry;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::Mutex,
};

/// Memory and descriptors of the smallest machine of an entry.
const MEMORY_BYTES: u64 = 260 << 20;
const DESCRIPTORS: usize = 4_200;

/// Limits of the configuration.
const BODY_MAX_BYTES: usize = 4 << 20;
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Bytes of a piece of a body.
const PIECE_BYTES: usize = 64 << 10;

/// Crowds are large, so only one is connected at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Stands in a head for an attempt id, each client's own and as long.
const ATTEMPT: &str = "attempt-00000";

/// Number of the next client.
static NEXT_CLIENT: AtomicU32 = AtomicU32::new(0);

/// What each client of a crowd sends.
#[derive(Clone)]
struct Script {
    head: String,
    piece: Vec<u8>,
    pieces: usize,
    pause: Duration,
    /// Whether it reads what the entry sends.
    reads: bool,
}

impl Script {
    fn new(head: String, piece: Vec<u8>, pieces: usize) -> Script {
        Script { head, piece, pieces, pause: Duration::ZERO, reads: true }
    }
}

/// Returns the head of a request with a body, without a framing header and its end.
fn head() -> String {
    format!(
        "POST /seats/today HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: 10000\r\n\
         x-attempt-id: {ATTEMPT}\r\nauthorization: Bearer {KEY}\r\n"
    )
}

fn head_with_length(length: usize) -> String {
    format!("{}content-length: {length}\r\n\r\n", head())
}

fn chunked_head() -> String {
    format!("{}transfer-encoding: chunked\r\n\r\n", head())
}

fn chunk(length: usize) -> Vec<u8> {
    [format!("{length:x}\r\n").into_bytes(), vec![b'x'; length], b"\r\n".to_vec()].concat()
}

/// Sends the script until its end or until the entry answers or closes the connection. Returns
/// the connection, which is still open on this side, and what was received.
async fn send_script(entry: SocketAddr, script: Script) -> Option<(TcpStream, Vec<u8>)> {
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let mut received = Vec::new();
    {
        let (mut reader, mut writer) = stream.split();
        let sending = async {
            let number = NEXT_CLIENT.fetch_add(1, Ordering::Relaxed);
            let head = script.head.replacen(ATTEMPT, &format!("attempt-{number:05}"), 1);
            writer.write_all(head.as_bytes()).await?;
            for _ in 0..script.pieces {
                writer.write_all(&script.piece).await?;
                tokio::time::sleep(script.pause).await;
            }
            Ok::<_, std::io::Error>(())
        };
        let reading = async {
            match script.reads {
                true => reader.read_buf(&mut received).await,
                false => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = sending => {}
            _ = reading => {}
        }
    }
    Some((stream, received))
}

/// Starts an entry with the limits of the smallest machine.
async fn start_fleet() -> Fleet {
    let store = Registry::start(ANY_PORT).unwrap();
    let mut config = config_row(1, &[KEY]);
    config["limits"]["maxBodyBytes"] = BODY_MAX_BYTES.into();
    config["limits"]["maxHeaderBytes"] = HEAD_MAX_BYTES.into();
    store.put("op", "config", &config);
    let at = store.server().address();
    let text = settings_text("entry", "entry-1", at, "ready = 127.0.0.1:0\nsidecars = 1\n")
        .replacen("[callers]\n", &format!("[callers]\ndescriptors = {DESCRIPTORS}\n"), 1);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{}.ini", at.port()));
    std::fs::write(&file, text).unwrap();
    let entry = Process::start("kingcupbayd", &["--config".to_owned(), file.display().to_string()]);
    std::fs::remove_file(&file).unwrap();
    Fleet { store, entry }
}

/// Returns a value in KB from a process's status, in bytes.
fn status_bytes(process: &Process, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    1_024 * line.trim().trim_end_matches(" kB").parse::<u64>().unwrap()
}

fn open_descriptors(process: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.id())).unwrap().count()
}

/// Waits until the memory of `process` stays as it is, so that what was sent has been read.
async fn wait_until_steady(process: &Process) {
    const STEADY_CHECKS: u32 = 100;
    let (mut last, mut checks) = (0, 0);
    wait_until("steady memory", async || {
        let resident = status_bytes(process, "VmRSS:");
        checks = if resident == last { checks + 1 } else { 0 };
        last = resident;
        (checks >= STEADY_CHECKS).then_some(())
    })
    .await;
}

/// Waits until an ordinary request is served.
async fn request_until_served(entry: &Process, label: &str) {
    let mut attempts = 0;
    wait_until("an ordinary answer", async || {
        attempts += 1;
        let attempt = format!("{label}-{attempts}");
        let answer = send_to(entry, "GET", "/seats/today", &attempt, KEY, &[]).await;
        (answer.status == 200).then_some(())
    })
    .await;
}

/// Lets `clients` clients run the script at once against the address `listener` of `entry`. Checks descriptors, and memory
/// against `memory` bytes. Returns what each client has received.
async fn run_crowd_at(
    entry: &Process,
    listener: &str,
    clients: usize,
    script: &Script,
    memory: u64,
) -> Vec<Option<Vec<u8>>> {
    let address = entry.address(listener);
    let crowd: Vec<_> =
        (0..clients).map(|_| actix_rt::spawn(send_script(address, script.clone()))).collect();
    let settled = tokio::time::timeout(EVENT_TIMEOUT, join_all(crowd));
    let (settled, ()) = tokio::join!(settled, request_until_served(entry, "during"));
    wait_until_steady(entry).await;
    let descriptors = open_descriptors(entry);
    assert!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
    let connections = settled.into_iter().flatten().map(Result::unwrap).collect::<Vec<_>>();
    let received =
        connections.iter().map(|open| open.as_ref().map(|(_, bytes)| bytes.clone())).collect();
    drop(connections);
    check_after(entry, memory).await;
    received
}

/// Checks that an ordinary request is served once a crowd has left, and the memory that the crowd
/// has taken.
async fn check_after(entry: &Process, memory: u64) {
    request_until_served(entry, "after").await;
    let (peak, now) = (status_bytes(entry, "VmHWM:"), status_bytes(entry, "VmRSS:"));
    println!("{} MB at most, {} MB after", peak >> 20, now >> 20);
    wait_until("the release of all memory", async || {
        let text = get_text(entry, "/metrics").await;
        let held = |what: &str| format!("kingcupbay_held_bytes{{what=\"{what}\"}} 0");
        let is_released = |what| text.lines().any(|line| line == held(what));
        (is_released("bodies") && is_released("answers")).then_some(())
    })
    .await;
    assert!(peak < memory, "{} MB resident at most, {} allowed", peak >> 20, memory >> 20);
}

/// Runs a crowd against an entry with a sound upstream.
async fn run(clients: usize, script: Script, memory: u64) -> Vec<Option<Vec<u8>>> {
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let _upstreams = [fleet.start_plain("desk-1"), fleet.start_plain("desk-2")];
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    run_crowd_at(&fleet.entry, "callers", clients, &script, memory).await
}

/// Bodies of legal size that stop just short of their end, sent at once.
#[actix_rt::test]
async fn announced_bodies_without_their_end_take_bounded_memory() {
    let script = Script::new(head_with_length(BODY_MAX_BYTES), vec![b'x'; PIECE_BYTES - 1], 64);
    run(100, script, MEMORY_BYTES).await;
}

/// The same bodies, sent slowly in pieces.
#[actix_rt::test]
async fn bodies_sent_in_pieces_without_their_end_take_bounded_memory() {
    let script = Script::new(head_with_length(BODY_MAX_BYTES), vec![b'x'; PIECE_BYTES - 1], 64);
    run(100, Script { pause: Duration::from_millis(20), ..script }, MEMORY_BYTES).await;
}

/// Chunked bodies of legal size without their last chunk.
#[actix_rt::test]
async fn chunked_bodies_without_their_end_take_bounded_memory() {
    run(100, Script::new(chunked_head(), chunk(PIECE_BYTES), 63), MEMORY_BYTES).await;
}

/// Chunks of one byte: each is an entry in the queue of decoded chunks.
#[actix_rt::test]
async fn chunks_of_one_byte_take_bounded_memory() {
    let script = Script::new(chunked_head(), chunk(1).repeat(1_024), 32);
    run(400, script, MEMORY_BYTES).await;
}

/// Bodies far over the limit, as their length says.
#[actix_rt::test]
async fn announced_bodies_over_the_limit_are_refused_in_bounded_memory() {
    let script = Script::new(head_with_length(1 << 30), vec![b'x'; PIECE_BYTES], 512);
    assert_refused(&run(100, script, MEMORY_BYTES).await);
}

/// Checks that clients that got anything were told that their body is too large.
fn assert_refused(received: &[Option<Vec<u8>>]) {
    for text in received.iter().flatten().filter(|text| !text.is_empty()) {
        let text = String::from_utf8_lossy(text);
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    }
    assert!(received.iter().flatten().any(|text| !text.is_empty()), "nobody got an answer");
}

/// Chunked bodies far over the limit.
#[actix_rt::test]
async fn chunked_bodies_over_the_limit_are_refused_in_bounded_memory() {
    let script = Script::new(chunked_head(), chunk(PIECE_BYTES), 512);
    assert_refused(&run(100, script, MEMORY_BYTES).await);
}

/// A client that goes on sending after its request was refused must be disconnected.
#[actix_rt::test]
async fn a_body_that_goes_on_after_its_refusal_ends_its_connection() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let _upstream = fleet.start_plain("desk-1");
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    for head in [head_with_length(1 << 40), chunked_head()] {
        let mut stream = TcpStream::connect(fleet.entry.address("callers")).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let piece = chunk(PIECE_BYTES);
        let sending = async { while stream.write_all(&piece).await.is_ok() {} };
        let ended = tokio::time::timeout(EVENT_TIMEOUT, sending).await;
        assert!(ended.is_ok(), "the entry goes on reading: {head}");
    }
}

/// Whole bodies of legal size, all at once: held while they are forwarded too.
#[actix_rt::test]
async fn whole_bodies_of_legal_size_take_bounded_memory() {
    let script = Script::new(head_with_length(BODY_MAX_BYTES), vec![b'x'; PIECE_BYTES], 64);
    run(100, script, MEMORY_BYTES).await;
}

/// Heads without an end. Each may take what the configuration allows, twice while a buffer grows.
#[actix_rt::test]
async fn heads_without_an_end_take_bounded_memory() {
    const CLIENTS: usize = 1_000;
    const BASE_BYTES: u64 = 64 << 20;
    let script = Script::new(head(), format!("x-a: {}\r\n", "x".repeat(993)).into_bytes(), 120);
    run(CLIENTS, script, BASE_BYTES + (2 * CLIENTS * HEAD_MAX_BYTES) as u64).await;
}

/// A request of the legal head size, and one that is longer than that.
#[actix_rt::test]
async fn heads_are_served_up_to_the_configured_size() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let _upstream = fleet.start_plain("desk-1");
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    let send = async |length: usize| {
        let line = format!("x-a: {}\r\n", "x".repeat(length - head_with_length(0).len() - 7));
        let text = head_with_length(0).replacen("content-length", &(line + "content-length"), 1);
        assert_eq!(text.len(), length);
        let script = Script { reads: false, ..Script::new(text, Vec::new(), 0) };
        let (mut stream, _) = send_script(fleet.entry.address("callers"), script).await.unwrap();
        let mut answer = vec![0; 1_024];
        let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut answer)).await.unwrap();
        answer.truncate(read.unwrap_or_default());
        String::from_utf8(answer).unwrap()
    };
    let legal = send(HEAD_MAX_BYTES).await;
    assert!(legal.starts_with("HTTP/1.1 200"), "{legal}");
    let long = send(HEAD_MAX_BYTES + 8_192).await;
    assert!(long.is_empty() || long.starts_with("HTTP/1.1 431"), "{long}");
}

/// Small requests behind each other on one connection, whose answers are not read.
#[actix_rt::test]
async fn pipelined_requests_without_a_reader_take_bounded_memory() {
    let request = format!(
        "GET /seats/today HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: 10000\r\n\
                 x-attempt-id: pipelined\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    let script = Script::new(String::new(), request.into_bytes().repeat(80), 100);
    run(100, Script { reads: false, ..script }, MEMORY_BYTES).await;
}

/// Starts a service that answers each request with `length` bytes, except those of ordinary
/// callers.
fn start_large_service(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let head = format!("HTTP/1.1 404 Large\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&vec![b'x'; length]);
            });
        }
    });
    address
}

/// Large answers whose callers do not read them.
#[actix_rt::test]
async fn unread_large_answers_take_bounded_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut fleet = start_fleet().await;
    let upstream = fleet.start_plain("desk-1");
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    let large = start_large_service(BODY_MAX_BYTES);
    let mut config = config_row(2, &[KEY]);
    for service in config["services"].as_array_mut().unwrap() {
        if service["name"] == "writer" {
            service["engine"] = json!(null);
        }
    }
    let mut row = upstream.registration("writer", "ready");
    row["address"] = json!(large.to_string());
    assert_ne!(PLAIN_SERVICE, "writer");
    fleet.store.put("op", "config", &config);
    fleet.store.put("servers", "large-1", &row);
    wait_until("the service", async || fleet.entry.has_line("id=large-1").then_some(())).await;
    let head = format!(
        "GET /tour/large HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\n\r\n"
    );
    let mut unread = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(fleet.entry.address("callers")).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        // The entry has the whole answer when it begins to send it.
        let begun = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut [0; 12])).await;
        begun.unwrap().unwrap();
        unread.push(stream);
    }
    request_until_served(&fleet.entry, "during").await;
    assert!(open_descriptors(&fleet.entry) < DESCRIPTORS);
    drop(unread);
    check_after(&fleet.entry, MEMORY_BYTES).await;
}

/// Requests inside the limits, sent in every way that they allow, must be served in calm.
#[actix_rt::test]
async fn bodies_inside_the_limits_are_served_in_calm() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let _upstream = fleet.start_plain("desk-1");
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    let end = |chunks: Vec<u8>| [chunks, b"0\r\n\r\n".to_vec()].concat();
    let whole = vec![b'x'; PIECE_BYTES];
    let scripts = [
        Script::new(head_with_length(BODY_MAX_BYTES), whole.clone(), 64),
        Script {
            pause: Duration::from_millis(20),
            ..Script::new(head_with_length(BODY_MAX_BYTES), whole, 64)
        },
        Script::new(chunked_head(), end(chunk(PIECE_BYTES).repeat(63)), 1),
        Script::new(chunked_head(), end(chunk(PIECE_BYTES - 1).repeat(63)), 1),
        Script::new(chunked_head(), end(chunk(16).repeat(16_384)), 1),
        Script::new(chunked_head(), end(chunk(1).repeat(32_768)), 1),
    ];
    for (number, script) in scripts.into_iter().enumerate() {
        let script = Script { reads: false, ..script };
        let sent = send_script(fleet.entry.address("callers"), script);
        let (mut stream, _) = tokio::time::timeout(EVENT_TIMEOUT, sent).await.unwrap().unwrap();
        let mut answer = vec![0; 1_024];
        let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut answer)).await.unwrap();
        answer.truncate(read.unwrap_or_default());
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.1 200"), "script {number}: {text}");
    }
}

/// Messages of legal size without their end at the port for other daemons.
#[actix_rt::test]
async fn unfinished_messages_take_bounded_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let _upstreams = [fleet.start_plain("desk-1"), fleet.start_plain("desk-2")];
    wait_until_ready(&fleet.entry).await;
    request_until_served(&fleet.entry, "before").await;
    let head = format!(
        "POST {USAGE_PATH} HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n",
        256 << 10
    );
    let script = Script::new(head, vec![b'x'; PIECE_BYTES - 1], 4);
    run_crowd_at(&fleet.entry, "peers", 1_200, &script, MEMORY_BYTES).await;
}

/// The same crowd of unfinished bodies at an entry that keeps its own configuration.
#[actix_rt::test]
async fn unfinished_bodies_take_bounded_memory_without_a_registry() {
    const BODY_LIMIT_BYTES: usize = 1 << 20;
    let _turn = ONE_AT_A_TIME.lock().await;
    let fleet = common::Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await;
    let entry = &fleet.entries[0];
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nx-deadline-ms: 30000\r\n\
         authorization: Bearer {SECRET}\r\ncontent-length: {BODY_LIMIT_BYTES}\r\n\r\n"
    );
    let script = Script::new(head, vec![b'x'; PIECE_BYTES - 1], 16);
    let address = entry.address("callers");
    let crowd: Vec<_> =
        (0..400).map(|_| actix_rt::spawn(send_script(address, script.clone()))).collect();
    let settled = tokio::time::timeout(EVENT_TIMEOUT, join_all(crowd)).await;
    let served = async || {
        let request = build_request(entry, "/v1/completions");
        let answer = send_request(request, &completion_body("tasting@v1", 4)).await;
        (answer.status == 200).then_some(())
    };
    wait_until("an ordinary answer beside the crowd", served).await;
    wait_until_steady(entry).await;
    let descriptors = open_descriptors(entry);
    assert!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
    drop(settled);
    wait_until("an ordinary answer after the crowd", served).await;
    let peak = status_bytes(entry, "VmHWM:");
    println!("{} MB at most", peak >> 20);
    assert!(peak < MEMORY_BYTES, "{} MB resident at most", peak >> 20);
}
