//! Bytes without an end, in a head or a body, until the entry closes the connection.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use common::{
    Process, apply_changes, basic_changes, build_request,
    raw::{Ending, RawUpstream},
    registered::{
        Fleet, KEY, PLAIN_SERVICE, STREAM_HEADERS, config_row, event_ids, request_tour,
        settings_text, start_two_engines, start_with,
    },
    send_request, service_route, start_daemon, start_standin, wait_for_number, wait_until,
    wait_until_ready,
};
use kingcupbay_standin::UpstreamSettings;
use serde_json::json;

/// Most memory that an entry may use, in KB.
const MEMORY_MAX_KB: u64 = 150 << 10;

/// What a service sends without an end after the beginning of an answer.
#[derive(Clone, Copy, Debug)]
struct Endless {
    begin: &'static str,
    piece: &'static str,
    /// Copies of the piece that are written at once.
    copies: usize,
    pause: Duration,
}

impl Endless {
    fn fast(begin: &'static str, piece: &'static str) -> Endless {
        Endless { begin, piece, copies: (32 << 10) / piece.len(), pause: Duration::ZERO }
    }
}

/// Starts a service whose answers are `endless`. Returns its address and the number of its
/// connections that are still open.
fn start_service(endless: Endless) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let open = Arc::new(AtomicU32::new(0));
    let count = open.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let _ = write_endless(stream, endless);
                count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, open)
}

fn write_endless(mut stream: TcpStream, endless: Endless) -> std::io::Result<()> {
    let _ = stream.read(&mut [0; 4_096])?;
    stream.write_all(endless.begin.as_bytes())?;
    let piece = endless.piece.repeat(endless.copies);
    loop {
        stream.write_all(piece.as_bytes())?;
        std::thread::sleep(endless.pause);
    }
}

/// Returns the largest memory that the process has used, in KB.
fn memory_kb(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A plain service sends bytes without an end. Callers must get a failure that promises nothing
/// or a sound service's answer, and the entry must close the connection and keep its memory.
#[actix_rt::test]
async fn plain_answers_without_an_end_are_given_up() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    let answers = [
        ("a head", Endless::fast(HEAD, "x-filler: 0123456789\r\n")),
        ("a line of a head", Endless::fast("HTTP/1.1 200 OK\r\nx-filler: ", "0123456789")),
        ("no answer", Endless::fast("", "0123456789")),
        ("informational heads", Endless::fast("", "HTTP/1.1 103 Early Hints\r\n\r\n")),
        (
            "a chunked body",
            Endless::fast(
                "HTTP/1.1 200 OK\r\nx-attempt-id: e1\r\ntransfer-encoding: chunked\r\n\r\n",
                "10\r\n0123456789abcdef\r\n",
            ),
        ),
        (
            "the extension of a chunk",
            Endless::fast(
                "HTTP/1.1 200 OK\r\nx-attempt-id: e1\r\ntransfer-encoding: chunked\r\n\r\n10;",
                "0123456789",
            ),
        ),
        (
            "an unframed body",
            Endless::fast("HTTP/1.1 200 OK\r\nx-attempt-id: e1\r\n\r\n", "0123456789"),
        ),
        (
            "another request's answer",
            Endless::fast("HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n\r\n", "0123456789"),
        ),
        (
            "a refusal",
            Endless::fast(
                "HTTP/1.1 503 Busy\r\nx-attempt-id: e1\r\nx-not-executed: 1\r\n\r\n",
                "0123456789",
            ),
        ),
        (
            "a head, slowly",
            Endless { begin: HEAD, piece: "x", copies: 1, pause: Duration::from_millis(20) },
        ),
    ];
    for (what, endless) in answers {
        let fleet = Fleet::start(1).await;
        let (address, open) = start_service(endless);
        let row = json!({"service": PLAIN_SERVICE, "address": address.to_string(),
            "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "seq": 0, "born": 1});
        fleet.store.put("servers", "desk-0", &row);
        fleet.wait_until_ready().await;
        let sends = (0..64).map(|_| {
            fleet.send_with("POST", "/book/seat", "e1", KEY, &[("x-deadline-ms", "1500")])
        });
        for got in futures_util::future::join_all(sends).await {
            let expected: &[u16] = if what == "a refusal" { &[502, 503, 504] } else { &[502, 504] };
            assert!(expected.contains(&got.status), "{what}: {got:?}");
        }
        wait_until("the connections to close", async || {
            (open.load(Ordering::SeqCst) == 0).then_some(())
        })
        .await;
        let used = memory_kb(&fleet.entry);
        assert!(used <= MEMORY_MAX_KB, "{what}: {used} KB");
    }
}

/// An engine begins an event that has no end, at full speed or one byte at a time. The stream
/// must go on at another engine, and the entry keep its memory.
#[actix_rt::test]
async fn a_stream_goes_on_after_an_event_without_an_end() {
    for pause in [Duration::ZERO, Duration::from_millis(100)] {
        let settings = |id: &str| UpstreamSettings::engine(id, 6);
        let (fleet, engines, _sidecars) = start_two_engines(settings).await;
        assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
        let before = engines[0].runs().len();
        engines[0].set_endless(Some(pause));
        let mut went_on = 0;
        for number in 0..12 {
            let adapter = format!("base/a{number}");
            let headers = [("x-model", &*adapter), STREAM_HEADERS[1]];
            let attempt = format!("b{number}");
            let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, &headers).await;
            if got.status == 200 {
                let events = event_ids(&got.body.unwrap_or_default());
                assert_eq!(events, [1, 2, 3, 4, 5, 6], "{pause:?}, stream {number}");
                went_on += 1;
            }
        }
        assert!(engines[0].runs().len() > before, "the first engine has begun no stream");
        assert!(went_on > 0, "no stream was served");
        let used = memory_kb(&fleet.entry);
        assert!(used <= MEMORY_MAX_KB, "{used} KB");
    }
}

/// A chunked body of status 200 for the attempt `e1`.
const ENDLESS_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: e1\r\ntransfer-encoding: chunked\r\n\r\n";

/// A service sends bytes without an end to many requests at once. Guards against requests for
/// sound services that are not served meanwhile.
#[actix_rt::test]
async fn sound_services_are_served_beside_answers_without_an_end() {
    let piece = "10\r\n0123456789abcdef\r\n";
    let (endless, _) = start_service(Endless::fast(ENDLESS_CHUNKS, piece));
    let fleet = Fleet::start(1).await;
    let mut config = config_row(2, &[KEY]);
    for service in config["services"].as_array_mut().unwrap() {
        service["engine"] = json!(null);
    }
    fleet.store.put("op", "config", &config);
    let _sound = fleet.start_plain("desk-1");
    let row = json!({"service": "writer", "address": endless.to_string(), "zone": "zone-a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 0, "born": 1});
    fleet.store.put("servers", "endless-1", &row);
    fleet.wait_until_ready().await;
    wait_until("a sound answer", async || {
        (fleet.send("GET", "/seats/today", "a0").await.status == 200).then_some(())
    })
    .await;
    let endless = (0..100).map(async |_| {
        let got = fleet.send_with("POST", "/tour/day", "e1", KEY, &[("x-deadline-ms", "3000")]);
        got.await.status
    });
    let sound = async {
        let mut statuses = Vec::new();
        for number in 0..40 {
            statuses.push(fleet.send("POST", "/book/seat", &format!("s{number}")).await.status);
        }
        statuses
    };
    let (endless, sound) = tokio::join!(futures_util::future::join_all(endless), sound);
    assert_eq!(sound, vec![200; 40]);
    assert!(!endless.contains(&200), "{endless:?}");
    let used = memory_kb(&fleet.entry);
    assert!(used <= MEMORY_MAX_KB, "{used} KB");
}

/// A service sends bytes without an end where no store keeps the registrations. Guards against
/// daemons that keep them all.
#[actix_rt::test]
async fn calls_without_an_end_take_bounded_memory() {
    let piece = "10\r\n0123456789abcdef\r\n";
    let (endless, _) = start_service(Endless::fast(ENDLESS_CHUNKS, piece));
    let (head, _) = start_service(Endless::fast("HTTP/1.1 200 OK\r\n", "x-filler: 0123456789\r\n"));
    let sound = RawUpstream::start(
        |_| b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_vec(),
        Ending::Keep,
    );
    let platform = start_standin("platform", &["--load", "1"]);
    let upstream = start_daemon("upstream", "upstream-1", &platform, "");
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&upstream).await;
    wait_until_ready(&entry).await;
    let mut changes = basic_changes();
    for (label, address) in [("endless", endless), ("head", head), ("sound", sound.address)] {
        changes.extend(service_route(label, address));
    }
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&upstream, number).await;
    wait_for_number(&entry, number).await;
    let call = async |route: &str| {
        let request = build_request(&entry, &format!("/v1/call/{route}/verdict"));
        send_request(request, &json!({})).await.status
    };
    let calls = ["endless", "head"].iter().cycle().take(100).map(async |&route| call(route).await);
    let sound = async {
        let mut statuses = Vec::new();
        for _ in 0..20 {
            statuses.push(call("sound").await);
        }
        statuses
    };
    let (statuses, sound) = tokio::join!(futures_util::future::join_all(calls), sound);
    assert_eq!(sound, vec![200; 20]);
    assert!(!statuses.contains(&200), "{statuses:?}");
    for (role, process) in [("upstream", &upstream), ("entry", &entry)] {
        let used = memory_kb(process);
        assert!(used <= MEMORY_MAX_KB, "{role}: {used} KB");
    }
}

/// The store sends bytes without an end. Guards against an entry that keeps them all.
#[actix_rt::test]
async fn answers_of_the_store_without_an_end_take_bounded_memory() {
    for (begin, piece) in
        [("HTTP/1.1 200 OK\r\n", "x-filler: 0123456789\r\n"), (ENDLESS_CHUNKS, "4\r\n[[[[\r\n")]
    {
        let (store, open) = start_service(Endless::fast(begin, piece));
        let label = format!("endless-{}", store.port());
        let rest = "ready = 127.0.0.1:0\nsidecars = 1\n";
        let mut entry = start_with(&label, &settings_text("entry", "entry-1", store, rest));
        wait_until("a call", async || (open.load(Ordering::SeqCst) > 0).then_some(())).await;
        wait_until("the end of a call", async || entry.has_line("feed_lost").then_some(())).await;
        let used = memory_kb(&entry);
        assert!(used <= MEMORY_MAX_KB, "{used} KB");
    }
}
