//! An entry that is out of step while engines of another software join.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    Process, get_text,
    raw::Gate,
    registered::{
        ANY_PORT, CallerAnswer, KEY, STREAM_HEADERS, adapter, config_row, event_ids,
        read_until_cut, second_host, second_sidecar, send_to, settings_text, start_entry,
        start_sidecar, start_with, wait_until_ready,
    },
    wait_until,
};
use futures_util::future::join_all;
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};

/// Streams that are begun and cut.
const STREAMS: usize = 6;

/// Time in which a stream shows whether it has begun.
const STREAM_TIME: Duration = Duration::from_millis(500);

/// Two entries and an engine. What others send to the first entry passes gates.
struct Pair {
    store: Registry,
    engine: UpstreamServer,
    sidecar: Process,
    entry: Process,
    other: Process,
    store_gate: Gate,
    peer_gate: Gate,
}

fn settings(id: &str, software: &str) -> UpstreamSettings {
    UpstreamSettings {
        software: software.to_owned(),
        event_interval: Duration::from_millis(40),
        ..UpstreamSettings::engine(id, 100)
    }
}

impl Pair {
    async fn start() -> Pair {
        let store = Registry::start(ANY_PORT).unwrap();
        store.put("op", "config", &config_row(1, &[KEY]));
        let engine = UpstreamServer::start(ANY_PORT, settings("gpu-1", "v1")).unwrap();
        let sidecar = start_sidecar("upstream-1", &store, &engine);
        let port = sidecar.address("peers").port();
        let store_gate = Gate::start(Some(store.server().address()));
        let peer_gate = Gate::start(None);
        let rest =
            format!("ready = 127.0.0.1:0\nsidecars = {port}\nadvertise = {}\n", peer_gate.address);
        let entry = start_with(
            &format!("gated-{}", store_gate.address.port()),
            &settings_text("entry", "entry-1", store_gate.address, &rest),
        );
        peer_gate.set_target(entry.address("peers"));
        let other = start_entry("entry-2", &store, port);
        store.put("servers", "gpu-1", &engine.registration("writer", "ready"));
        wait_until_ready(&entry).await;
        wait_until_ready(&other).await;
        for process in [&entry, &other] {
            wait_until("the entries to know each other", async || {
                let counts = get_text(process, "/metrics").await;
                counts.contains("kingcupbay_control_messages_total{kind=\"tally\"}").then_some(())
            })
            .await;
        }
        let pair = Pair { store, engine, sidecar, entry, other, store_gate, peer_gate };
        wait_until_streamed(&pair.entry).await;
        wait_until_streamed(&pair.other).await;
        pair
    }

    /// Lets nothing of others reach the first entry.
    fn cut_off(&self) {
        self.store_gate.set_open(false);
        self.peer_gate.set_open(false);
    }

    /// Starts an engine of another software with its sidecar, which takes the place of the first
    /// one; returns once the other entry knows both.
    async fn release(&mut self) -> (UpstreamServer, Process) {
        let at = SocketAddr::new(second_host(), 0);
        let engine = UpstreamServer::start(at, settings("gpu-2", "v2")).unwrap();
        let port = self.sidecar.address("peers").port();
        let mut sidecar = second_sidecar(&self.store, &engine, port);
        self.store.put("servers", "gpu-2", &engine.registration("writer", "ready"));
        wait_until("the new engine", async || {
            let known = self.other.has_line("id=gpu-2");
            (known && sidecar.has_line("event=report")).then_some(())
        })
        .await;
        self.store.put("servers", "gpu-1", &self.engine.registration("writer", "draining"));
        wait_until("the old engine to leave", async || {
            let lines = self.other.lines_with("id=gpu-1");
            lines.iter().any(|line| line.contains("leaving=true")).then_some(())
        })
        .await;
        wait_until_streamed(&self.other).await;
        (engine, sidecar)
    }

    /// Begins streams at the other entry, which run on `engine`, until it is killed. Returns the
    /// number of each and of its last event.
    async fn begin_and_cut(&self, engine: &UpstreamServer) -> Vec<(usize, u64)> {
        let before = engine.runs().len();
        let callers = self.other.address("callers");
        let numbers: Vec<usize> = (0..STREAMS).map(|number| 4 * number).collect();
        // They share an adapter.
        let streams = numbers.iter().map(|&number| read_until_cut(callers, number));
        let kill = async {
            wait_until("streams", async || {
                (engine.runs().len() >= before + STREAMS / 2).then_some(())
            })
            .await;
            tokio::time::sleep(Duration::from_millis(800)).await;
            self.other.signal("-KILL");
        };
        let (lasts, ()) = tokio::join!(join_all(streams), kill);
        numbers.into_iter().zip(lasts).filter_map(|(number, last)| Some((number, last?))).collect()
    }

    /// Takes streams up at the first entry.
    async fn take_up(&self, cut: &[(usize, u64)]) -> Vec<CallerAnswer> {
        join_all(cut.iter().map(|&(number, last)| take_up(&self.entry, number, last))).await
    }
}

/// Waits until `entry` has begun a stream, and leaves it.
async fn wait_until_streamed(entry: &Process) {
    wait_until("a stream", async || {
        let reading = read_until_cut(entry.address("callers"), 400);
        match tokio::time::timeout(STREAM_TIME, reading).await {
            Ok(last) => last.map(drop),
            Err(_) => Some(()),
        }
    })
    .await;
}

async fn take_up(entry: &Process, number: usize, last: u64) -> CallerAnswer {
    let (model, first, last) = (adapter(number), format!("s{number}"), last.to_string());
    let headers =
        [("x-model", &*model), STREAM_HEADERS[1], ("last-event-id", &*last), ("resumes", &*first)];
    send_to(entry, "POST", "/tour/day", &format!("{first}-again"), KEY, &headers).await
}

fn ran(engine: &UpstreamServer, attempt: &str) -> bool {
    engine.runs().iter().any(|run| run.attempt == attempt)
}

/// Asserts that no stream of `cut` that the newer engine began went on at the older one.
fn assert_not_mixed(older: &UpstreamServer, newer: &UpstreamServer, cut: &[(usize, u64)]) {
    let begun: Vec<usize> =
        cut.iter().map(|&(number, _)| number).filter(|n| ran(newer, &format!("s{n}"))).collect();
    assert!(!begun.is_empty(), "the newer engine has begun no stream: {cut:?}");
    let mixed: Vec<usize> =
        begun.iter().copied().filter(|n| ran(older, &format!("s{n}-again"))).collect();
    assert!(mixed.is_empty(), "{mixed:?} of {begun:?} went on at another software");
}

/// An entry is paused and cut off while engines of another software join, and the entry that began
/// streams there is lost. Guards against an entry that takes what it knew of the software before
/// for what is registered now.
#[actix_rt::test]
async fn an_entry_that_was_cut_off_takes_up_no_stream_of_another_software() {
    let mut pair = Pair::start().await;
    pair.entry.signal("-STOP");
    pair.cut_off();
    let (newer, _sidecar) = pair.release().await;
    let cut = pair.begin_and_cut(&newer).await;
    pair.entry.signal("-CONT");
    let answers = pair.take_up(&cut).await;
    assert_not_mixed(&pair.engine, &newer, &cut);
    for answer in answers {
        assert!(answer.status == 503 && answer.retry_after.is_some(), "{answer:?}");
    }
}

/// The same entry reaches the store again at once. Guards against an entry that decides before it
/// has read what has changed.
#[actix_rt::test]
async fn an_entry_that_stood_behind_reads_the_registrations_first() {
    let mut pair = Pair::start().await;
    pair.entry.signal("-STOP");
    pair.cut_off();
    let (newer, _sidecar) = pair.release().await;
    let cut = pair.begin_and_cut(&newer).await;
    pair.store_gate.set_open(true);
    pair.entry.signal("-CONT");
    let answers = pair.take_up(&cut).await;
    assert_not_mixed(&pair.engine, &newer, &cut);
    for (answer, (number, last)) in answers.iter().zip(&cut) {
        let events = answer.body.as_deref().map(event_ids).unwrap_or_default();
        let rest: Vec<u64> = (last + 1..=100).collect();
        let went_on = answer.status == 200 && events == rest;
        let at_newer = ran(&newer, &format!("s{number}-again"));
        assert!(answer.status == 503 || (went_on && at_newer), "s{number}: {answer:?}");
    }
}

/// Guards against refusing streams of a single software after the loss of the entry that began
/// them.
#[actix_rt::test]
async fn streams_of_one_software_go_on_after_the_loss_of_their_entry() {
    let pair = Pair::start().await;
    let cut = pair.begin_and_cut(&pair.engine).await;
    assert!(cut.len() * 2 >= STREAMS, "{cut:?}");
    let answers = pair.take_up(&cut).await;
    let went_on = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(went_on * 2 >= cut.len(), "{went_on} of {}", cut.len());
    for (answer, (_, last)) in answers.iter().zip(&cut).filter(|(answer, _)| answer.status == 200) {
        let events = event_ids(answer.body.as_deref().unwrap_or_default());
        assert_eq!(events.first(), Some(&(last + 1)), "{answer:?}");
    }
}
