//! Many slow callers of long answers at one entry.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::Read as _,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::{TcpSocket, TcpStream};
use common::{
    EVENT_TIMEOUT,
    registered::{KEY, config_row, event_ids, start_engine_fleet},
    wait_until,
};
use kingcupbay_standin::UpstreamSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Callers that read slowly.
const SLOW_CALLERS: usize = 500;

/// Slots of the engine, more than there are callers.
const SLOTS: usize = 1_000;

/// Events of each answer, and their size.
const EVENTS: u64 = 64;
const EVENT_BYTES: usize = 16 << 10;

/// Memory that an entry has.
const MEMORY_BYTES: usize = 160 << 20;

/// Most bytes between the engine and a caller, in the entry, in the kernel and in the
/// stand-ins' own buffers.
const MAX_BYTES_UNDER_WAY: usize = MEMORY_BYTES / SLOW_CALLERS;

/// Memory of the kernel for the two sockets of a stream at the entry, twice what is set.
const SOCKET_BYTES: usize = (2 * (16 + 24)) << 10;

/// Requests a stream. Returns the connection once its head has arrived, and the body's
/// first bytes; `None` if the entry refused.
async fn request(entry: SocketAddr, attempt: &str, buffer: u32) -> Option<(TcpStream, Vec<u8>)> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(buffer).unwrap();
    let mut stream = socket.connect(entry).await.unwrap();
    let head = format!(
        "POST /tour/day HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 10000\r\nauthorization: Bearer {KEY}\r\nx-model: base/roses\r\n\
         x-token-usage: 20,20\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 256];
        let count = stream.read(&mut part).await.unwrap();
        assert!(count > 0, "the answer has a head");
        bytes.extend_from_slice(&part[..count]);
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let accepted = bytes.starts_with(b"HTTP/1.1 200");
            return accepted.then(|| (stream, bytes.split_off(end + 4)));
        }
    }
}

/// Requests a stream until it is accepted.
async fn accepted(entry: SocketAddr, name: &str, buffer: u32) -> (TcpStream, Vec<u8>, String) {
    let mut tries = 0;
    wait_until("a stream", async || {
        tries += 1;
        let attempt = format!("{name}-{tries}");
        let (stream, bytes) = request(entry, &attempt, buffer).await?;
        Some((stream, bytes, attempt))
    })
    .await
}

/// Returns the resident memory of a process.
fn resident_bytes(process: u32) -> usize {
    let mut text = String::new();
    let path = format!("/proc/{process}/status");
    std::fs::File::open(path).unwrap().read_to_string(&mut text).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
}

/// Guards against an entry that keeps the answers of slow callers: 500 of them would take
/// all of its memory. Also guards against a slow caller that delays the streams of others
/// until their engine cuts them off.
#[actix_rt::test]
async fn slow_callers_take_bounded_memory_and_disturb_no_other() {
    let settings = UpstreamSettings {
        event_interval: Duration::from_millis(60),
        event_padding: EVENT_BYTES,
        patience: Some(Duration::from_secs(2)),
        send_buffer: Some(8 << 10),
        slots: SLOTS,
        ..UpstreamSettings::engine("gpu-1", EVENTS)
    };
    let (fleet, engine, _sidecar) = start_engine_fleet(settings).await;
    let mut config = config_row(2, &[KEY]);
    config["services"].as_array_mut().unwrap().iter_mut().for_each(|service| {
        if !service["engine"].is_null() {
            service["engine"]["slots"] = SLOTS.into();
            service["maxConns"] = SLOTS.into();
        }
    });
    fleet.store.put("op", "config", &config);
    let mut row = engine.registration("writer", "ready");
    row["slots"] = SLOTS.into();
    row["seq"] = 1.into();
    fleet.store.put("servers", "gpu-1", &row);
    let entry = fleet.entry.address("callers");
    let first = accepted(entry, "first", 4 << 10).await;
    drop(first);
    let before = resident_bytes(fleet.entry.id());
    let slow = (0..SLOW_CALLERS).map(|at| async move {
        let (stream, bytes, attempt) = accepted(entry, &format!("slow-{at}"), 4 << 10).await;
        (stream, bytes.len(), attempt)
    });
    let slow = futures_util::future::join_all(slow).await;
    let peak = Rc::new(std::cell::Cell::new((0, 0)));
    let watched = async {
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            let made = engine.events_made();
            let of = |(_, read, attempt): &(TcpStream, usize, String)| {
                let made = made.get(attempt).copied().unwrap_or_default() as usize;
                (made * EVENT_BYTES).saturating_sub(*read)
            };
            let most = slow.iter().map(of).max().unwrap();
            let resident = resident_bytes(fleet.entry.id());
            let (a, b) = peak.get();
            peak.set((most.max(a), resident.max(b)));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let quick = async {
        let (mut stream, mut body, attempt) = accepted(entry, "quick", 1 << 20).await;
        let mut part = vec![0; 64 << 10];
        while !body.ends_with(b"\r\n0\r\n\r\n") {
            let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut part)).await;
            let count = read.unwrap().unwrap();
            assert!(count > 0, "the quick caller's stream broke off");
            body.extend_from_slice(&part[..count]);
        }
        (String::from_utf8(body).unwrap(), attempt)
    };
    let ((), (body, attempt)) = futures_util::future::join(watched, quick).await;
    let (most, resident) = peak.get();
    println!("resident {before} then {resident}, most under way {most}");
    assert_eq!(event_ids(&body), (1..=EVENTS).collect::<Vec<_>>());
    assert!(!engine.cut_off().contains(&attempt));
    assert!(most <= MAX_BYTES_UNDER_WAY, "{most} bytes under way to one caller");
    let total = resident + SLOW_CALLERS * SOCKET_BYTES;
    assert!(total <= MEMORY_BYTES, "{resident} bytes resident, {total} with the kernel's");
}
