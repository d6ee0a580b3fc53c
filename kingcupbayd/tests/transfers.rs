//! Streams that move to another engine while they are forwarded.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    cell::RefCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use common::{
    EVENT_TIMEOUT, Process, get_text,
    registered::{
        ANY_PORT, CallerAnswer, Fleet, KEY, config_row, event_ids, settings_text, start_daemon,
    },
    wait_until,
};
use kingcupbay_platform::{engine::encode_copy, operator::evacuation_key};
use kingcupbay_standin::{
    Fault, FaultOrder, Registry, Rule, UpstreamServer, UpstreamSettings, allow_transfers,
};
use kingcupbayd::config::{ConfigSource, Settings};
use serde_json::json;

/// Events of each stream.
const EVENTS: u64 = 300;

/// A request for the base model, which both engines hold, whose stream may take some seconds.
const HEADERS: &[(&str, &str)] = &[("x-model", "base"), ("x-token-usage", "10,1200")];

/// A silence that ends before callers give up.
const SILENCE: Duration = Duration::from_millis(2_700);

/// A time that no test reaches.
const LONG: Duration = Duration::from_secs(60);

/// Returns the address of a host that is different for each test process.
fn host(number: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 + (high & 0x7f), low, number).into()
}

fn engine(id: &str, number: u8) -> UpstreamServer {
    let settings = UpstreamSettings {
        event_interval: Duration::from_millis(10),
        name_runs: true,
        copy_time: Duration::from_millis(50),
        ..UpstreamSettings::engine(id, EVENTS)
    };
    UpstreamServer::start(SocketAddr::new(host(number), 0), settings).unwrap()
}

/// Returns the path of the calls that copy memory.
fn copy_path() -> String {
    encode_copy("a", ANY_PORT, false).path
}

/// Two engines with their sidecars, and an entry.
struct Pair {
    fleet: Fleet,
    engines: [UpstreamServer; 2],
    sidecars: RefCell<[Option<Process>; 2]>,
}

impl Pair {
    /// Starts a pair. The operator says that its engines copy runs if they move.
    async fn start(moves: bool) -> Pair {
        Pair::start_with(moves, "transfers = true\n").await
    }

    /// Starts a pair whose daemons have `setting` in `[registry]`.
    async fn start_with(moves: bool, setting: &str) -> Pair {
        let store = Registry::start(ANY_PORT).unwrap();
        let mut config = config_row(1, &[KEY]);
        config["routes"][2]["resumable"] = json!(false);
        if moves {
            allow_transfers(&mut config);
        }
        store.put("op", "config", &config);
        let engines = [engine("gpu-1", 2), engine("gpu-2", 3)];
        let first = sidecar(&store, &engines[0], 0, setting);
        let port = first.address("peers").port();
        let second = sidecar(&store, &engines[1], port, setting);
        let entry = start_daemon(
            "entry",
            "entry-1",
            &store,
            &format!("ready = 127.0.0.1:0\nsidecars = {port}\n{setting}"),
        );
        let mut fleet = Fleet { store, entry };
        fleet.register("gpu-1", "writer", &engines[0]);
        fleet.wait_until_ready().await;
        let mut row = engines[1].registration("writer", "ready");
        row["zone"] = json!("zone-b");
        fleet.store.put("servers", "gpu-2", &row);
        let mut sidecars = [first, second];
        wait_until("both engines", async || {
            let known = fleet.entry.has_line("id=gpu-2");
            let reported = sidecars.iter_mut().all(|sidecar| sidecar.has_line("event=report"));
            (known && reported).then_some(())
        })
        .await;
        Pair { fleet, engines, sidecars: RefCell::new(sidecars.map(Some)) }
    }

    /// Returns the index of the engine that runs a stream, once it has made some events.
    async fn source(&self) -> usize {
        wait_until("a running stream", async || {
            self.engines.iter().position(|engine| !engine.running_streams().is_empty())
        })
        .await
    }

    async fn request(&self, attempt: &str) -> CallerAnswer {
        self.fleet.send_with("POST", "/tour/day", attempt, KEY, HEADERS).await
    }

    /// Sends a request, and lets `act` disturb it once it runs at the engine with that index.
    async fn request_with(&self, act: impl AsyncFnOnce(usize)) -> (CallerAnswer, usize) {
        let acted = async {
            let source = self.source().await;
            act(source).await;
            source
        };
        tokio::join!(self.request("a"), acted)
    }

    async fn metric(&self, line: &str) -> bool {
        get_text(&self.fleet.entry, "/metrics").await.contains(line)
    }

    /// Returns how many requests the sidecar of the engine with that index keeps for transfers.
    async fn movable(&self, index: usize) -> u64 {
        let sidecar = self.sidecars.borrow_mut()[index].take().unwrap();
        let text = get_text(&sidecar, "/metrics").await;
        self.sidecars.borrow_mut()[index] = Some(sidecar);
        let line = text.lines().find_map(|line| line.strip_prefix("kingcupbay_movable_requests "));
        line.unwrap().parse().unwrap()
    }

    /// Checks that no run was under way twice and that no copy is kept.
    fn assert_clean(&self) {
        for engine in &self.engines {
            let copies = engine.copies();
            assert_eq!((copies.overlaps, copies.expired), (0, 0), "{copies:?}");
            assert_eq!(engine.running_streams(), [""; 0]);
        }
    }
}

/// Starts the sidecar of `engine` on the host of the engine, with `setting` in `[registry]`.
fn sidecar(store: &Registry, engine: &UpstreamServer, port: u16, setting: &str) -> Process {
    let at = engine.server().address();
    let rest = format!("engine = {at}\nservice = writer\n{setting}");
    let name = format!("beside-{}", at.ip());
    let text = settings_text("upstream", &name, store.server().address(), &rest);
    let peers = format!("[peers]\nlisten = {}:{port}", at.ip());
    let text = text.replacen("[peers]\nlisten = 127.0.0.1:0", &peers, 1);
    let file = format!("transfers-{}-{}.ini", std::process::id(), at);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&file, text).unwrap();
    let process =
        Process::start("kingcupbayd", &["--config".to_owned(), file.display().to_string()]);
    std::fs::remove_file(&file).unwrap();
    process
}

/// Checks that the caller got every event of one run once, in order, under the proof of the
/// engine that began it.
fn assert_whole(got: &CallerAnswer) {
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.signature.as_deref(), Some("stamp-of-a"));
    let body = got.body.as_ref().unwrap();
    assert_eq!(event_ids(body), (1..=EVENTS).collect::<Vec<_>>());
    let runs = body.lines().filter_map(|line| line.split_once(" run "));
    let runs: std::collections::BTreeSet<&str> = runs.map(|(_, run)| run).collect();
    assert_eq!(runs.len(), 1, "{runs:?}");
}

/// An engine that leaves with notice ended the streams that still ran.
#[actix_rt::test]
async fn a_stream_moves_when_its_engine_leaves() {
    let pair = Pair::start(true).await;
    let (got, source) = pair
        .request_with(async |source| {
            pair.engines[source].drain(Duration::from_secs(1), Duration::from_secs(2), true);
        })
        .await;
    assert_whole(&got);
    let [source, target] = [&pair.engines[source], &pair.engines[1 - source]];
    let runs = target.runs();
    assert_eq!((source.runs().len(), runs.len()), (1, 1));
    assert!(runs[0].continues() && runs[0].prefilled < 10, "{runs:?}");
    let line = "kingcupbay_transfers_total{outcome=\"moved\",why=\"leaving\"} 1";
    assert!(pair.metric(line).await);
    pair.assert_clean();
}

/// The sidecar of an engine is gone when the engine leaves. The entry reads it in the
/// registration.
#[actix_rt::test]
async fn a_stream_moves_without_the_sidecar_of_its_engine() {
    let pair = Pair::start(true).await;
    let (got, _) = pair
        .request_with(async |source| {
            pair.sidecars.borrow_mut()[source].take().unwrap().kill();
            let engine = &pair.engines[source];
            engine.drain(Duration::from_secs(2), Duration::from_millis(2_500), false);
            let mut row = engine.registration("writer", "draining");
            row["seq"] = json!(1);
            pair.fleet.store.put("servers", ["gpu-1", "gpu-2"][source], &row);
        })
        .await;
    assert_whole(&got);
    pair.assert_clean();
}

/// Streams in an evacuated zone went on there until their engines were stopped.
#[actix_rt::test]
async fn a_stream_moves_out_of_an_evacuated_zone() {
    let pair = Pair::start(true).await;
    let (got, source) = pair
        .request_with(async |source| {
            let zone = ["zone-a", "zone-b"][source];
            pair.fleet.store.put("op", &evacuation_key(zone), &json!({}));
        })
        .await;
    assert_whole(&got);
    assert_eq!(pair.engines[1 - source].runs().len(), 1);
    let line = "kingcupbay_transfers_total{outcome=\"moved\",why=\"evacuated\"} 1";
    assert!(pair.metric(line).await);
    pair.assert_clean();
}

/// Streams move although the configuration does not say that engines copy runs.
#[actix_rt::test]
async fn no_stream_moves_unless_the_operator_says_so() {
    assert_cut(Pair::start(false).await).await;
}

/// Streams move in a fleet whose settings do not switch that on.
#[actix_rt::test]
async fn no_stream_moves_unless_the_setting_is_on() {
    assert_cut(Pair::start_with(true, "").await).await;
}

/// Checks that a fleet is served as before: the stream is cut with its engine.
async fn assert_cut(pair: Pair) {
    let (got, source) = pair
        .request_with(async |source| {
            pair.engines[source].drain(Duration::from_millis(500), Duration::from_secs(1), true);
        })
        .await;
    // The client takes a cut stream for a whole one.
    let events = event_ids(got.body.as_deref().unwrap_or_default());
    assert!(events.len() < EVENTS as usize, "{got:?}");
    let copies = pair.engines[source].copies();
    assert_eq!((copies.made, pair.engines[1 - source].runs().len()), (0, 0));
}

/// No engine takes the copy. The stream must go on where it is.
#[actix_rt::test]
async fn a_stream_that_no_engine_takes_stays() {
    let pair = Pair::start(true).await;
    let (got, source) = pair
        .request_with(async |source| {
            pair.engines[1 - source].set_isolated(true);
            pair.engines[source].drain(LONG, LONG, false);
        })
        .await;
    assert_whole(&got);
    assert_eq!(pair.engines[1 - source].runs().len(), 0);
    assert!(pair.metric("outcome=\"stayed\",why=\"leaving\"").await);
    pair.assert_clean();
}

/// The target loses its room between the copy and the rest: the source has stopped the run
/// and must continue it.
#[actix_rt::test]
async fn a_stopped_stream_without_a_copy_goes_on_at_its_source() {
    let pair = Pair::start(true).await;
    let (got, source) = pair
        .request_with(async |source| {
            let fault = Fault::RefuseMoves { status: 503, not_last: false };
            let rule = Rule::new(fault).skip(1).times(1);
            pair.engines[source].server().add_rule(rule);
            pair.engines[source].drain(LONG, LONG, false);
        })
        .await;
    assert_whole(&got);
    assert!(pair.metric("outcome=\"source\",why=\"leaving\"").await);
    assert!(pair.engines[source].copies().used >= 1);
    pair.assert_clean();
}

/// Answers of the engine are lost, to the copy, to the call that stops the run, or to both.
/// The stream must be whole and run once.
#[actix_rt::test]
async fn lost_answers_of_the_source_lose_no_stream() {
    for (skip, times) in [(0, 1), (1, 1), (0, 2)] {
        let pair = Pair::start(true).await;
        let (got, _) = pair
            .request_with(async |source| {
                let rule = Rule::new(Fault::LoseAnswer).path(&copy_path()).skip(skip).times(times);
                pair.engines[source].server().add_rule(rule);
                pair.engines[source].drain(LONG, LONG, false);
            })
            .await;
        assert_whole(&got);
        for engine in &pair.engines {
            assert_eq!(engine.copies().overlaps, 0);
        }
    }
}

/// The target restarts once it holds the copy: it does not run the request, and the source
/// must continue the run.
#[actix_rt::test]
async fn a_target_that_lost_the_copy_leaves_the_stream_to_the_source() {
    let pair = Pair::start(true).await;
    let (got, source) = pair
        .request_with(async |source| {
            let late = Rule::new(Fault::LateAnswer { millis: 300 }).path(&copy_path()).times(2);
            let engine = &pair.engines[source];
            engine.server().add_rule(late);
            engine.drain(LONG, LONG, false);
            engine.wait_for_copies(|copies| copies.stopped >= 1).await;
            pair.engines[1 - source].server().apply(FaultOrder::Restart);
        })
        .await;
    assert_whole(&got);
    assert!(pair.engines[source].copies().used >= 1);
    assert!(pair.metric("outcome=\"source\",why=\"leaving\"").await);
    pair.assert_clean();
}

/// Makes `engine` silent for a while.
async fn silence(engine: &UpstreamServer) {
    let pause = engine.server().pause();
    tokio::time::sleep(SILENCE).await;
    drop(pause);
}

/// Guards against losing a stream because its engine is silent once it has copied the memory.
#[actix_rt::test]
async fn a_stream_that_moves_outlasts_a_silence_of_its_source() {
    let pair = Pair::start(true).await;
    let (got, _) = pair
        .request_with(async |source| {
            let engine = &pair.engines[source];
            engine.drain(LONG, LONG, false);
            engine.wait_for_copies(|copies| copies.made >= 1).await;
            silence(engine).await;
        })
        .await;
    assert_whole(&got);
    pair.assert_clean();
}

/// Guards against losing a stream, or running it twice, because the engine that is to continue it
/// is silent.
#[actix_rt::test]
async fn a_stream_that_moves_outlasts_a_silence_of_its_target() {
    let pair = Pair::start(true).await;
    let (got, _) = pair
        .request_with(async |source| {
            let engine = &pair.engines[source];
            let late = Rule::new(Fault::LateAnswer { millis: 300 }).path(&copy_path()).times(2);
            engine.server().add_rule(late);
            engine.drain(LONG, LONG, false);
            engine.wait_for_copies(|copies| copies.stopped >= 1).await;
            silence(&pair.engines[1 - source]).await;
        })
        .await;
    assert_whole(&got);
    pair.assert_clean();
}

/// A caller disconnects while its stream moves: no run goes on and no copy is kept.
#[actix_rt::test]
async fn a_caller_that_leaves_during_a_transfer_leaves_nothing() {
    let pair = Pair::start(true).await;
    let left = async {
        let source = pair.source().await;
        let late = Rule::new(Fault::LateAnswer { millis: 1_000 });
        pair.engines[source].server().add_rule(late.path(&copy_path()));
        pair.engines[source].drain(LONG, LONG, false);
        let target = &pair.engines[1 - source];
        pair.engines[source].wait_for_copies(|copies| copies.made >= 1).await;
        (source, target)
    };
    let (source, target) = tokio::select! {
        left = left => left,
        got = pair.request("a") => panic!("{got:?}"),
    };
    let source = &pair.engines[source];
    tokio::time::timeout(EVENT_TIMEOUT, source.wait_for_copies(|copies| copies.freed >= 1))
        .await
        .unwrap();
    assert_eq!((source.running_streams().len(), target.runs().len()), (0, 0));
}

/// A sidecar whose engine does not copy runs keeps every request, and does not remove those that
/// it kept while the engine did.
#[actix_rt::test]
async fn a_sidecar_keeps_requests_only_while_its_engine_copies_runs() {
    let pair = Pair::start_with(true, "").await;
    let (got, _) = pair.request_with(async |at| assert_eq!(pair.movable(at).await, 0)).await;
    assert_whole(&got);
    let pair = Pair::start(true).await;
    let (got, _) = pair
        .request_with(async |at| {
            assert_eq!(pair.movable(at).await, 1);
            let mut config = config_row(2, &[KEY]);
            config["routes"][2]["resumable"] = json!(false);
            pair.fleet.store.put("op", "config", &config);
            // A sidecar reads a configuration when a permit request names it.
            wait_until("no kept request", async || {
                let brief = async |attempt| {
                    let _ = tokio::time::timeout(Duration::from_millis(100), pair.request(attempt))
                        .await;
                };
                tokio::join!(brief("b"), brief("c"), brief("d"), brief("e"));
                (pair.movable(at).await == 0).then_some(())
            })
            .await;
            assert!(!pair.engines[at].running_streams().is_empty());
        })
        .await;
    assert_whole(&got);
}

/// Guards against a setting that is misread, so that streams move although an operator has not
/// switched that on.
#[test]
fn the_setting_is_true_or_false() {
    let read = |rest: &str| {
        let text = settings_text("entry", "entry-1", ANY_PORT, rest);
        let rest = "ready = 127.0.0.1:0\nsidecars = 1\n";
        Settings::parse("entry.ini", &format!("{text}{rest}"))
    };
    let transfers = |rest: &str| match read(rest).unwrap().config_source {
        ConfigSource::Registry(registry) => registry.transfers,
        ConfigSource::Patches(_) => panic!("no [registry]"),
    };
    assert!(transfers("transfers = true\n"));
    assert!(!transfers("") && !transfers("transfers = false\n"));
    let mistakes = read("transfers = no\n").unwrap_err();
    let text = mistakes[0].to_string();
    assert!(text.ends_with("found \"no\", allowed: true or false"), "{text}");
}
