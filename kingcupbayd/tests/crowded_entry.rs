//! Most new connections of a zone reach one entry.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::TcpStream;
use common::{
    Process, get_text,
    registered::{Fleet, KEY, start_engine_fleet, start_entry, wait_until_ready},
    wait_until,
};
use futures_util::future::join_all;
use kingcupbay_standin::UpstreamSettings;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time in which an entry must answer a request or close its connection. Connections that
/// nobody uses stay open for ten times as long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory of the smallest entries.
const MEMORY_BYTES: u64 = 260 << 20;

/// Starts an entry that may open `count` descriptors.
fn start_limited_entry(count: u64, host: &str, fleet: &Fleet, sidecars: u16) -> Process {
    let own = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(count), ..own }).unwrap();
    let entry = start_entry(host, &fleet.store, sidecars);
    setrlimit(Resource::Nofile, own).unwrap();
    entry
}

/// What a caller gets.
#[derive(Debug, PartialEq)]
enum Got {
    /// A whole answer.
    Served,
    /// 429 or 503 with a time after which to retry.
    Refused,
    /// The connection was closed with the request unread.
    Closed,
    /// Anything else.
    Wrong(String),
}

/// Returns a request of `path`, without the end of its head.
fn head(path: &str, attempt: &str) -> String {
    let (method, model) = match path.starts_with("/seats") {
        true => ("GET", ""),
        false => ("POST", "x-model: base/roses\r\nx-token-usage: 20,20\r\ncontent-length: 0\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 10000\r\nauthorization: Bearer {KEY}\r\n{model}"
    )
}

/// Reads an answer to its end.
async fn read_answer(stream: &mut TcpStream) -> Got {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) if bytes.is_empty() => return Got::Closed,
            Ok(0) | Err(_) => return Got::Wrong(String::from_utf8_lossy(&bytes).into_owned()),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let head = head.to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let whole = match length {
            Some(length) => body.len() >= length.parse().unwrap(),
            None => body.ends_with("0\r\n\r\n"),
        };
        if !whole {
            continue;
        }
        let status = head.split(' ').nth(1).unwrap();
        return match status {
            "200" => Got::Served,
            "429" | "503" if head.contains("retry-after: ") => Got::Refused,
            _ => Got::Wrong(text.into_owned()),
        };
    }
}

/// Sends a request on a new connection. Returns what comes, and the connection.
async fn request(entry: SocketAddr, path: &str, attempt: &str) -> (Got, Option<TcpStream>) {
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let sent = stream.write_all(format!("{}\r\n", head(path, attempt)).as_bytes()).await;
        match sent {
            Ok(()) => (read_answer(&mut stream).await, Some(stream)),
            Err(_) => (Got::Closed, None),
        }
    };
    let got = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    got.unwrap_or_else(|_| (Got::Wrong(format!("no answer to {attempt}")), None))
}

/// Requests seats on a new connection.
async fn request_seats(entry: SocketAddr, attempt: &str) -> (Got, Option<TcpStream>) {
    request(entry, "/seats/today", attempt).await
}

/// Connections that are kept open and not used fill an entry's descriptors. It must still take
/// new ones, and serve them.
#[actix_rt::test]
async fn unused_connections_do_not_keep_new_ones_out() {
    const DESCRIPTORS: u64 = 256;
    let fleet = Fleet::start(1).await;
    let entry = start_limited_entry(DESCRIPTORS, "entry-2", &fleet, 1);
    let _upstream = fleet.start_plain("desk-1");
    wait_until_ready(&entry).await;
    let callers = entry.address("callers");
    wait_until("the upstream", async || {
        (request_seats(callers, "a").await.0 == Got::Served).then_some(())
    })
    .await;
    let mut kept = Vec::new();
    for number in 0..2 * DESCRIPTORS {
        let (got, stream) = request_seats(callers, &format!("a{number}")).await;
        assert_eq!(got, Got::Served, "request {number}");
        kept.extend(stream);
    }
    drop(kept);
}

/// Begins a stream. Returns its connection once the first event has come.
async fn begin_stream(entry: SocketAddr, attempt: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let text = format!("{}\r\n", head("/tour/day", attempt));
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("id: 1") {
        let mut part = [0; 1_024];
        let count = stream.read(&mut part).await.unwrap_or_default();
        bytes.extend_from_slice(&part[..count]);
        if count == 0 || !bytes.starts_with(b"HTTP/1.1 200") {
            return None;
        }
    }
    Some(stream)
}

/// Reads the rest of a stream. Returns whether it is whole.
async fn read_to_end(mut stream: TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
        if bytes.ends_with(b"0\r\n\r\n") {
            return true;
        }
    }
}

/// Returns the number of usage reports that an entry has sent.
async fn usage_reports(entry: &Process) -> u64 {
    let text = get_text(entry, "/metrics").await;
    let name = "kingcupbay_control_messages_total{kind=\"tally\"} ";
    text.lines().find_map(|line| line.strip_prefix(name)?.parse().ok()).unwrap_or_default()
}

/// Returns the number of descriptors that a process has open.
fn open_descriptors(process: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count() as u64
}

/// Returns the largest resident memory that a process has had.
fn peak_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    1_024 * line.trim().trim_end_matches(" kB").parse::<u64>().unwrap()
}

/// One of three entries gets all new connections, among them some that send no request or only
/// a part of its head, while it relays long streams. It must accept all, and answer each request
/// or say when to retry, within its descriptors and memory.
#[actix_rt::test]
async fn an_entry_that_gets_all_new_connections_serves_them() {
    const DESCRIPTORS: u64 = 768;
    const WAVES: usize = 6;
    const CALLERS: usize = 150;
    const STREAMS: usize = 12;
    let engine = UpstreamSettings {
        event_interval: Duration::from_millis(20),
        ..UpstreamSettings::engine("gpu-1", 150)
    };
    let (fleet, _engine, sidecar) = start_engine_fleet(engine).await;
    let port = sidecar.address("peers").port();
    let entry = start_limited_entry(DESCRIPTORS, "entry-2", &fleet, port);
    let other = start_entry("entry-3", &fleet.store, port);
    for process in [&entry, &other] {
        wait_until_ready(process).await;
    }
    // Until then the organisation's limit is divided among the entries.
    for process in [&fleet.entry, &other] {
        wait_until("usage reports", async || (usage_reports(process).await > 20).then_some(()))
            .await;
    }
    let _plain = [fleet.start_plain("desk-1"), fleet.start_plain("desk-2")];
    let callers = entry.address("callers");
    wait_until("the upstreams", async || {
        let seats = request_seats(callers, "a").await.0 == Got::Served;
        let stream = begin_stream(callers, "b").await;
        (seats && stream.is_some()).then_some(())
    })
    .await;
    let begun = (0..STREAMS).map(async |number| begin_stream(callers, &format!("s{number}")).await);
    let streams: Vec<TcpStream> = join_all(begun).await.into_iter().flatten().collect();
    assert!(streams.len() >= STREAMS / 2, "{} streams began", streams.len());
    let reading = join_all(streams.into_iter().map(read_to_end));
    let pressing = async {
        // All connections stay open, used or not.
        let (mut kept, mut served, mut refused) = (Vec::new(), 0, 0);
        for wave in 0..WAVES {
            let unsent = join_all((0..CALLERS / 10).map(async |number| {
                let mut stream = TcpStream::connect(callers).await.unwrap();
                let head = head("/seats/today", "slow");
                let part = &head.as_bytes()[..head.len() * (number % 3) / 3];
                stream.write_all(part).await.unwrap();
                stream
            }));
            let asked = (0..CALLERS)
                .map(async |number| request_seats(callers, &format!("w{wave}-{number}")).await);
            let (unsent, asked) = tokio::join!(unsent, join_all(asked));
            kept.extend(unsent);
            for (got, stream) in asked {
                match got {
                    Got::Served => served += 1,
                    Got::Refused => refused += 1,
                    other => panic!("wave {wave}: {other:?}"),
                }
                kept.extend(stream);
            }
            let open = open_descriptors(entry.id());
            assert!(open < DESCRIPTORS * 7 / 8, "wave {wave}: {open} descriptors");
        }
        (served, refused)
    };
    let (whole, (served, refused)) = tokio::join!(reading, pressing);
    assert!(whole.iter().all(|&whole| whole), "streams beside it are whole: {whole:?}");
    let all = WAVES * CALLERS;
    assert!(served * 4 >= all * 3, "{served} of {all} are served, {refused} refused");
    let memory = peak_bytes(entry.id());
    assert!(memory < MEMORY_BYTES, "{memory} bytes");
}
