//! Daemons of a registered fleet as separate processes, before stand-ins of
//! the platform's store, plain services and engines.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::Duration,
};

use common::{PATIENCE, Process, client, until};
use kingcupbay_standin::{Fault, Registry, Rule, Runner, RunnerSettings};
use serde_json::{Value, json};

const KEY: &str = "key-of-the-winery";

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A store with one configuration, and an entry that follows it.
struct Fleet {
    store: Registry,
    entry: Process,
}

/// The configuration `version`, in which the winery holds `keys`.
fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 10_000, "targetLatencyMs": 800, "priority": 1, "service": service,
            "maxAttempts": attempts, "allowAnonymous": false, "resumable": kind == "stream"})
    };
    json!({"version": version,
        "routes": [route("seats", "/seats/", "idempotent", "desk", 2),
            route("book", "/book/", "non_idempotent", "desk", 1),
            route("tour", "/tour/", "stream", "writer", 2)],
        "services": [{"name": "desk", "maxConns": 100},
            {"name": "writer", "maxConns": 100, "engine": {"slots": 8, "kvCacheTokens": 100_000,
                "adapterSlots": 2, "weightsMb": 100.0,
                "models": [{"name": "base", "weightsMb": 50.0, "loadS": 1.0, "adapters": 10}]}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "winery", "apiKeys": keys, "unit": "tokens", "plainTokens": 100,
            "ratePerS": 100_000, "burst": 100_000}]})
}

fn settings(role: &str, host: &str, store: SocketAddr, rest: &str) -> String {
    let callers = match role {
        "entry" => "[callers]\nlisten = 127.0.0.1:0\n",
        _ => "",
    };
    format!(
        "[daemon]\nhost = {host}\nzone = zone-a\nrole = {role}\n{callers}\
         [peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
         [registry]\nstore = {store}\n{rest}"
    )
}

fn start(role: &str, host: &str, store: &Registry, rest: &str) -> Process {
    let at = store.server().address();
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{}-{host}-{}.ini", std::process::id(), at.port()));
    std::fs::write(&file, settings(role, host, at, rest)).unwrap();
    let args = vec!["--config".to_owned(), file.display().to_string()];
    let process = Process::start("kingcupbayd", &args);
    std::fs::remove_file(&file).unwrap();
    process
}

fn entry(host: &str, store: &Registry, sidecars: u16) -> Process {
    start("entry", host, store, &format!("ready = 127.0.0.1:0\nsidecars = {sidecars}\n"))
}

fn sidecar(host: &str, store: &Registry, engine: &Runner) -> Process {
    let engine = engine.server().address();
    start("upstream", host, store, &format!("engine = {engine}\nservice = writer\n"))
}

impl Fleet {
    /// An entry that knows `config(1)`; sidecars listen at `sidecars`.
    async fn start(sidecars: u16) -> Fleet {
        let store = Registry::start(ANY).unwrap();
        store.put("op", "config", &config(1, &[KEY]));
        let entry = entry("entry-1", &store, sidecars);
        Fleet { store, entry }
    }

    fn register(&self, id: &str, service: &str, upstream: &Runner) {
        self.store.put("servers", id, &upstream.registration(service, "ready"));
    }

    /// Waits until the entry says that it is ready.
    async fn ready(&self) {
        let url = format!("http://{}/ready", self.entry.address("ready"));
        until("readiness", async || {
            let answer = client().get(&url).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }

    async fn ask(&self, method: &str, path: &str, attempt: &str) -> Got {
        self.ask_with(method, path, attempt, KEY, &[]).await
    }

    async fn ask_with(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        key: &str,
        headers: &[(&str, &str)],
    ) -> Got {
        let url = format!("http://{}{path}", self.entry.address("callers"));
        let method = method.parse().unwrap();
        let mut request = client()
            .request(method, url)
            .insert_header(("host", "desk.example"))
            .insert_header(("x-attempt-id", attempt.to_owned()))
            .insert_header(("x-deadline-ms", "10000"))
            .bearer_auth(key);
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let mut response = request.send_body("a table for two").await.unwrap();
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (stamp, retry_after) = (text("x-response-stamp"), text("retry-after"));
        let status = response.status().as_u16();
        let body = response.body().limit(1 << 20).await;
        let body = body.map(|body| String::from_utf8(body.to_vec()).unwrap());
        Got { status, stamp, retry_after, body: body.map_err(|error| error.to_string()) }
    }
}

/// What a caller got.
#[derive(Debug)]
struct Got {
    status: u16,
    stamp: Option<String>,
    retry_after: Option<String>,
    body: Result<String, String>,
}

const STREAM: &[(&str, &str)] = &[("x-model", "base/roses"), ("x-token-usage", "100,50")];

/// A visitor asks for seats. The desk's answer reaches them with its status,
/// body and proof unchanged; the desk is told whose request it is and never
/// sees the key.
#[actix_rt::test]
async fn a_plain_answer_is_passed_on_unchanged() {
    let fleet = Fleet::start(1).await;
    let desk = Runner::start(ANY, RunnerSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.ready().await;
    let extra = [("x-tenant", "another"), ("x-hold", "7"), ("x-party", "2")];
    let got = fleet.ask_with("POST", "/seats/today?at=noon", "a1", KEY, &extra).await;
    assert_eq!((got.status, got.stamp.as_deref()), (200, Some("stamp-of-a1")), "{got:?}");
    assert_eq!(got.body.unwrap(), "done by desk-1");
    let run = &desk.runs()[0];
    assert_eq!(
        (run.path.as_str(), run.body.as_slice()),
        ("/seats/today?at=noon", &b"a table for two"[..])
    );
    assert_eq!(run.headers["x-tenant"], "winery");
    assert_eq!(run.headers["x-expect-instance"], "desk-1");
    assert_eq!(run.headers["x-party"], "2");
    assert!(!run.headers.contains_key("authorization"));
    assert!(!run.headers.contains_key("x-hold"));
}

/// Before an entry knows a configuration it cannot tell an unknown route or
/// key from one it has not read yet, so it must not call either unknown.
#[actix_rt::test]
async fn an_entry_without_a_configuration_asks_callers_to_come_back() {
    let store = Registry::start(ANY).unwrap();
    let entry = entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    let got = fleet.ask("GET", "/seats/today", "a1").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.retry_after.is_some());
}

/// The operator withdraws a key while its holder goes on calling. As soon as
/// the store's feed has told it, the key is refused; an older configuration
/// that comes later, as from a slow read, does not revive it.
#[actix_rt::test]
async fn a_withdrawn_key_stops_working_and_stays_withdrawn() {
    let fleet = Fleet::start(1).await;
    let desk = Runner::start(ANY, RunnerSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.ready().await;
    assert_eq!(fleet.ask("GET", "/seats/today", "a1").await.status, 200);
    fleet.store.put("op", "config", &config(5, &["another-key"]));
    until("the refusal", async || {
        (fleet.ask("GET", "/seats/today", "a2").await.status == 401).then_some(())
    })
    .await;
    fleet.store.put("op", "config", &config(4, &[KEY]));
    fleet.store.put("op", "config", &config(6, &["a-third-key"]));
    until("the third key", async || {
        let got = fleet.ask_with("GET", "/seats/today", "a3", "a-third-key", &[]).await;
        (got.status == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.ask("GET", "/seats/today", "a4").await.status, 401);
}

/// The store drops its history while an entry follows it. The feed fails, and
/// the entry must read everything anew instead of missing what was dropped.
#[actix_rt::test]
async fn a_dropped_history_is_read_anew() {
    let fleet = Fleet::start(1).await;
    let desk = Runner::start(ANY, RunnerSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.ready().await;
    fleet.store.put("op", "config", &config(2, &["another-key"]));
    fleet.store.forget();
    until("the new key", async || {
        let got = fleet.ask_with("GET", "/seats/today", "a1", "another-key", &[]).await;
        (got.status == 200).then_some(())
    })
    .await;
}

/// Another program writes a row among the upstreams that is not JSON, and one
/// without an address. They name no upstream; the good one still serves.
#[actix_rt::test]
async fn rows_of_other_writers_name_no_upstream() {
    let fleet = Fleet::start(1).await;
    fleet.store.put_bytes("servers", "bytes", &[0xff, 0x00]);
    fleet.store.put("servers", "half", &json!({"service": "desk", "state": "ready"}));
    let desk = Runner::start(ANY, RunnerSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.ready().await;
    assert_eq!(fleet.ask("GET", "/seats/today", "a1").await.status, 200);
}

/// A booking reaches the desk, which takes the seats, and its answer is lost
/// with the connection. Sent again it would book twice, and "not run" would be
/// a lie, so the caller is told neither.
#[actix_rt::test]
async fn a_booking_whose_answer_is_lost_is_not_sent_again() {
    let fleet = Fleet::start(1).await;
    let desks = ["desk-1", "desk-2"].map(|id| {
        let desk = Runner::start(ANY, RunnerSettings::plain(id)).unwrap();
        desk.server().set(Rule::new(Fault::LoseAnswer).path("/book/"));
        fleet.register(id, "desk", &desk);
        desk
    });
    fleet.ready().await;
    let got = fleet.ask("POST", "/book/table", "a1").await;
    assert_eq!(got.status, 502, "{got:?}");
    let runs: usize = desks.iter().map(|desk| desk.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A seat lookup may run twice: when one desk loses its answer, the other is
/// asked, and the visitor sees nothing of it.
#[actix_rt::test]
async fn a_lookup_whose_answer_is_lost_goes_to_another_desk() {
    let fleet = Fleet::start(1).await;
    let desks = ["desk-1", "desk-2"].map(|id| {
        let desk = Runner::start(ANY, RunnerSettings::plain(id)).unwrap();
        fleet.register(id, "desk", &desk);
        desk
    });
    desks[0].server().set(Rule::new(Fault::LoseAnswer).path("/seats/"));
    fleet.ready().await;
    for attempt in ["a1", "a2", "a3", "a4"] {
        let got = fleet.ask("GET", "/seats/today", attempt).await;
        assert_eq!((got.status, got.body.unwrap().as_str()), (200, "done by desk-2"));
    }
}

/// Serves each connection once with `answer` and closes it; `reset` closes it
/// with the request unread, which resets it.
fn raw_upstream(answer: &'static str, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 16];
            let size = if reset { 1 } else { 4_096 };
            let mut rest = vec![0; size];
            let _ = if reset { stream.read(&mut head[..1]) } else { stream.read(&mut rest) };
            let _ = stream.write_all(answer.as_bytes());
            std::thread::sleep(Duration::from_millis(30));
        }
    });
    address
}

async fn raw_answer(answer: &'static str, reset: bool) -> Got {
    let fleet = Fleet::start(1).await;
    let address = raw_upstream(answer, reset).to_string();
    let row = json!({"service": "desk", "address": address, "zone": "zone-a", "state": "ready"});
    fleet.store.put("servers", "raw", &row);
    fleet.ready().await;
    fleet.ask("POST", "/book/table", "a1").await
}

/// A desk names no length and ends its answer by closing the connection. The
/// library's parser takes that for an empty body: the guest would get a proper
/// answer without its text. It must come whole.
#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_is_whole() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\r\ntwo seats";
    let got = raw_answer(answer, false).await;
    assert_eq!((got.status, got.body.unwrap().as_str()), (200, "two seats"));
}

/// The same answer, but its connection is reset: what came may be half of it,
/// and a half itinerary must not look like a whole one.
#[actix_rt::test]
async fn a_body_whose_connection_is_reset_is_not_whole() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\r\ntwo seats";
    let got = raw_answer(answer, true).await;
    assert_eq!(got.status, 502, "{got:?}");
}

/// A desk's late answer to another guest arrives where this guest's is due.
/// Passed on, it would tell one family of another's booking.
#[actix_rt::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: b7\r\nx-response-stamp: s\r\n\
        content-length: 5\r\n\r\ntheir\
        HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\
        content-length: 4\r\n\r\nours";
    let got = raw_answer(answer, false).await;
    assert_eq!((got.status, got.body.unwrap().as_str()), (200, "ours"));
}

/// An engine with its daemon, and an entry that knows both.
async fn engine_fleet(settings: RunnerSettings) -> (Fleet, Runner, Process) {
    let store = Registry::start(ANY).unwrap();
    store.put("op", "config", &config(1, &[KEY]));
    let engine = Runner::start(ANY, settings).unwrap();
    let beside = sidecar("upstream-1", &store, &engine);
    let entry = entry("entry-1", &store, beside.address("peers").port());
    let fleet = Fleet { store, entry };
    fleet.register("gpu-1", "writer", &engine);
    fleet.ready().await;
    (fleet, engine, beside)
}

/// Asks for a tour until the daemon beside the engine has read its first
/// report; until then the answer is "come back".
async fn tour(fleet: &Fleet, attempt: &str, last: Option<&str>) -> Got {
    let mut headers = STREAM.to_vec();
    headers.extend(last.map(|last| ("last-event-id", last)));
    let mut tries = 0;
    until("a tour", async || {
        tries += 1;
        let attempt = if tries == 1 { attempt.to_owned() } else { format!("{attempt}-{tries}") };
        let got = fleet.ask_with("POST", "/tour/day", &attempt, KEY, &headers).await;
        (got.status != 503).then_some(got)
    })
    .await
}

fn ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// A tour driver asks for an itinerary by an adapter that no engine holds. The
/// daemon beside the engine has it loaded, and the request names the version
/// that came, so that no other can run it.
#[actix_rt::test]
async fn a_cold_adapter_is_loaded_and_its_version_named() {
    let (fleet, engine, _beside) = engine_fleet(RunnerSettings::engine("gpu-1", 4)).await;
    let got = tour(&fleet, "a1", None).await;
    assert_eq!((got.status, ids(got.body.as_ref().unwrap())), (200, vec![1, 2, 3, 4]));
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((&orders[0]["operation"], &orders[0]["adapter"]), (&json!("load"), &json!("roses")));
    assert_eq!(orders[0]["holder"], "upstream-1");
    assert_eq!(engine.runs()[0].headers["x-expect-version"], "1");
}

/// A stream has ended whole. Its connection carries the next one; a new one for
/// each would cost the engine a handshake and a slot for its time.
#[actix_rt::test]
async fn a_whole_stream_leaves_its_connection_for_the_next() {
    let (fleet, engine, _beside) = engine_fleet(RunnerSettings::engine("gpu-1", 2)).await;
    assert_eq!(tour(&fleet, "a1", None).await.status, 200);
    let before = engine.server().connections();
    assert_eq!(tour(&fleet, "a2", None).await.status, 200);
    assert_eq!(engine.server().connections(), before);
    assert_eq!(engine.runs().len(), 2);
}

/// A new version of an adapter is announced while the old one is loaded and
/// idle. The next visitor must be answered by the new one.
#[actix_rt::test]
async fn an_announced_version_replaces_the_old_one() {
    let (fleet, engine, _beside) = engine_fleet(RunnerSettings::engine("gpu-1", 2)).await;
    assert_eq!(tour(&fleet, "a1", None).await.status, 200);
    engine.announce("roses", 2);
    let row = json!({"model": "base", "adapter": "roses", "version": 2});
    fleet.store.put("op", "version/base.roses", &row);
    until("the new version", async || {
        let got = tour(&fleet, "a2", None).await;
        let run = engine.runs().last().cloned().unwrap();
        (got.status == 200 && run.headers["x-expect-version"] == "2").then_some(())
    })
    .await;
}

/// The daemon beside a second engine listens where the entry looks for it: at
/// that engine's address, at the port of the first.
fn second_sidecar(store: &Registry, engine: &Runner, port: u16) -> Process {
    let text = settings(
        "upstream",
        "upstream-2",
        store.server().address(),
        &format!("engine = {}\nservice = writer\n", engine.server().address()),
    );
    let peers = format!("[peers]\nlisten = 127.0.0.2:{port}");
    let text = text.replacen("[peers]\nlisten = 127.0.0.1:0", &peers, 1);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("second-{port}.ini"));
    std::fs::write(&file, text).unwrap();
    let args = ["--config".to_owned(), file.display().to_string()];
    let process = Process::start("kingcupbayd", &args);
    std::fs::remove_file(&file).unwrap();
    process
}

/// An engine breaks a stream off in its middle. Another one goes on after the
/// last whole event, and the caller gets each event once.
#[actix_rt::test]
async fn a_broken_stream_goes_on_at_another_engine() {
    let cut = |id| RunnerSettings { cut: Some(3), ..RunnerSettings::engine(id, 6) };
    let (mut fleet, first, mut beside) = engine_fleet(cut("gpu-1")).await;
    let second = Runner::start("127.0.0.2:0".parse().unwrap(), cut("gpu-2")).unwrap();
    let mut other = second_sidecar(&fleet.store, &second, beside.address("peers").port());
    fleet.register("gpu-2", "writer", &second);
    until("both engines", async || {
        let known = fleet.entry.has_line("id=gpu-2");
        let asked = beside.has_line("event=report") && other.has_line("event=report");
        (known && asked).then_some(())
    })
    .await;
    let got = tour(&fleet, "a1", None).await;
    assert_eq!((got.status, ids(&got.body.unwrap())), (200, vec![1, 2, 3, 4, 5, 6]));
    let runs: Vec<_> = first.runs().into_iter().chain(second.runs()).collect();
    assert_eq!(runs.len(), 2);
    let resumed = runs.iter().filter(|run| run.headers.contains_key("last-event-id"));
    assert_eq!(resumed.map(|run| run.headers["last-event-id"].as_str()).collect::<Vec<_>>(), ["3"]);
}

/// A caller closes its connection in the middle of a stream. The engine must
/// be told at once, or it works on for nobody.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_the_engines_run() {
    let slow = RunnerSettings {
        pause: Duration::from_millis(50),
        ..RunnerSettings::engine("gpu-1", 100_000)
    };
    let (fleet, engine, _beside) = engine_fleet(slow).await;
    let url = format!("http://{}/tour/day", fleet.entry.address("callers"));
    for attempt in 0..200 {
        let request = client()
            .post(&url)
            .insert_header(("host", "desk.example"))
            .insert_header(("x-attempt-id", format!("a{attempt}")))
            .insert_header(("x-deadline-ms", "10000"))
            .insert_header(STREAM[0])
            .insert_header(STREAM[1])
            .bearer_auth(KEY);
        let response = request.send().await.unwrap();
        if response.status() == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    engine.ran(1).await;
    tokio::time::timeout(PATIENCE, engine.left(1)).await.unwrap();
}

/// A caller gives up while nothing comes from the desk. What was sent there must
/// not arrive later, when the way to it is back: the entry resets the
/// connection, which drops what the kernel still holds; a plain close would
/// deliver it.
#[actix_rt::test]
async fn a_request_that_is_given_up_is_reset() {
    let fleet = Fleet::start(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (ended, end) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4_096];
        let end = loop {
            match stream.read(&mut bytes) {
                Ok(0) => break None,
                Ok(_) => {}
                Err(error) => break Some(error.kind()),
            }
        };
        ended.send(end).unwrap();
    });
    let row = json!({"service": "desk", "address": address, "zone": "zone-a", "state": "ready"});
    fleet.store.put("servers", "mute", &row);
    fleet.ready().await;
    let asked = fleet.ask("POST", "/book/table", "a1");
    // The caller's own patience; the request is not answered by then.
    let gone = tokio::time::timeout(Duration::from_millis(300), asked).await;
    assert!(gone.is_err());
    let end = until("the end", async || end.try_recv().ok()).await;
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// The platform stops an entry. It says at once that it is not ready, lets the
/// running stream end whole, and only then goes.
#[actix_rt::test]
async fn a_planned_stop_cuts_no_stream() {
    let slow =
        RunnerSettings { pause: Duration::from_millis(20), ..RunnerSettings::engine("gpu-1", 60) };
    let (fleet, engine, _beside) = engine_fleet(slow).await;
    let asked = tour(&fleet, "a1", None);
    let stopped = async {
        engine.ran(1).await;
        fleet.entry.signal("-TERM");
        let url = format!("http://{}/ready", fleet.entry.address("ready"));
        until("unreadiness", async || {
            let answer = client().get(&url).send().await;
            answer.map_or(true, |answer| !answer.status().is_success()).then_some(())
        })
        .await;
    };
    let (got, ()) = tokio::join!(asked, stopped);
    assert_eq!(ids(&got.body.unwrap()).len(), 60);
    let (ok, lines) = fleet.entry.wait();
    assert!(ok, "{}", lines.join("\n"));
}

/// Two entries share an organisation's limit. What is spent at one counts at
/// the other: together they let no more through than the burst and the rate.
#[actix_rt::test]
async fn two_entries_count_one_limit() {
    let store = Registry::start(ANY).unwrap();
    let mut limited = config(1, &[KEY]);
    limited["tenants"][0]["ratePerS"] = json!(1);
    limited["tenants"][0]["burst"] = json!(1_000);
    store.put("op", "config", &limited);
    let desk = Runner::start(ANY, RunnerSettings::plain("desk-1")).unwrap();
    store.put("servers", "desk-1", &desk.registration("desk", "ready"));
    let fleets: Vec<Fleet> = ["entry-1", "entry-2"]
        .into_iter()
        .map(|host| Fleet { store: Registry::start(ANY).unwrap(), entry: entry(host, &store, 1) })
        .collect();
    for fleet in &fleets {
        fleet.ready().await;
    }
    until("both entries on the list", async || (store.keys("entries").len() == 2).then_some(()))
        .await;
    let mut served = 0;
    for attempt in 0..30 {
        let got = fleets[attempt % 2].ask("GET", "/seats/today", &format!("a{attempt}")).await;
        served += u32::from(got.status == 200);
        if got.status != 200 {
            assert_eq!(got.status, 429);
            assert!(got.retry_after.is_some());
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    // Ten requests of 100 tokens are the burst; each entry may spend one more
    // on what the other's next tally would have told it.
    assert!((8..=12).contains(&served), "{served}");
}
