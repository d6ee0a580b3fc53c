//! Streams that callers take up after their entries were killed, beside new streams.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use common::{
    Process, client, get_text,
    registered::{
        ANY_PORT, KEY, STREAM_HEADERS, config_row, event_ids, settings_text, start_entry,
        wait_until_ready,
    },
    wait_until,
};
use futures_util::{StreamExt, future::join_all};
use kingcupbay_core::random::{Random, mix};
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};

/// Fleets that are played, unless `KINGCUPBAY_SEEDS` names others, as `10..30`.
const SEEDS: std::ops::Range<u64> = 0..3;

/// Fewest broken streams of a fleet that give a share.
const COUNTED_MIN: usize = 12;

/// Times that a caller returns if it is asked to.
const RETRIES: usize = 1;

/// Events of each stream.
const EVENTS: u64 = 100;

/// Events after which callers leave who come once entries are killed.
const READ: u64 = 25;

/// Time within which these callers come.
const ARRIVALS_MS: u64 = 500;

/// Software of the engines.
const SOFTWARE: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// What one fleet is like.
#[derive(Debug)]
struct Plan {
    entries: usize,
    killed: usize,
    /// Streams that run at the entries that are killed.
    streams: usize,
    /// New streams for each that is taken up.
    pressure: usize,
    adapters: u64,
}

impl Plan {
    fn draw(random: &mut Random) -> Plan {
        let entries = 2 + random.below(5) as usize;
        let killed = 1 + random.below(entries as u64 / 2) as usize;
        let streams = 16 + random.below(32) as usize;
        let pressure = 1 + random.below(10) as usize;
        Plan { entries, killed, streams, pressure, adapters: 2 + random.below(5) }
    }
}

/// Address of the host of engine `number`, different for each test process.
fn engine_host(number: usize) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (high & 0x7f), low, 2 + number as u8).into()
}

/// Starts the sidecar of `engine`, which listens at `port`; 0 lets the kernel choose.
fn start_sidecar(number: usize, store: &Registry, engine: &UpstreamServer, port: u16) -> Process {
    let (at, host) = (store.server().address(), format!("upstream-{number}"));
    let rest = format!("engine = {}\nservice = writer\n", engine.server().address());
    let peers = format!("[peers]\nlisten = {}:{port}", engine_host(number));
    let text = settings_text("upstream", &host, at, &rest).replacen(
        "[peers]\nlisten = 127.0.0.1:0",
        &peers,
        1,
    );
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("resumptions-{}-{number}.ini", at.port()));
    std::fs::write(&file, text).unwrap();
    let process =
        Process::start("kingcupbayd", &["--config".to_owned(), file.display().to_string()]);
    std::fs::remove_file(&file).unwrap();
    process
}

/// Entries before engines of two software versions.
struct MixedFleet {
    _store: Registry,
    engines: Vec<UpstreamServer>,
    entries: Vec<Process>,
    _sidecars: Vec<Process>,
}

impl MixedFleet {
    async fn start(entries: usize) -> MixedFleet {
        let store = Registry::start(ANY_PORT).unwrap();
        store.put("op", "config", &config_row(1, &[KEY]));
        let engines: Vec<UpstreamServer> = (0..SOFTWARE.len())
            .map(|number| {
                let settings = UpstreamSettings {
                    software: SOFTWARE[number].to_owned(),
                    event_interval: Duration::from_millis(40),
                    ..UpstreamSettings::engine(&format!("gpu-{number}"), EVENTS)
                };
                UpstreamServer::start(SocketAddr::new(engine_host(number), 0), settings).unwrap()
            })
            .collect();
        let mut sidecars = vec![start_sidecar(0, &store, &engines[0], 0)];
        let port = sidecars[0].address("peers").port();
        for (number, engine) in engines.iter().enumerate().skip(1) {
            sidecars.push(start_sidecar(number, &store, engine, port));
        }
        for (number, engine) in engines.iter().enumerate() {
            let row = engine.registration("writer", "ready");
            store.put("servers", &format!("gpu-{number}"), &row);
        }
        let mut processes = Vec::new();
        for number in 0..entries {
            let entry = start_entry(&format!("entry-{number}"), &store, port);
            wait_until_ready(&entry).await;
            processes.push(entry);
        }
        let fleet = MixedFleet { _store: store, engines, entries: processes, _sidecars: sidecars };
        fleet.wait_until_connected().await;
        fleet
    }

    /// Waits until each entry reaches the others and has begun a stream.
    async fn wait_until_connected(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            wait_until("usage reports", async || {
                let text = get_text(entry, "/metrics").await;
                let name = "kingcupbay_control_messages_total{kind=\"tally\"} ";
                let sent = text.lines().find_map(|line| line.strip_prefix(name)?.parse().ok());
                (sent.unwrap_or(0) > 4 * self.entries.len()).then_some(())
            })
            .await;
            let mut tries = 0;
            wait_until("a stream", async || {
                tries += 1;
                let attempt = format!("first-{number}-{tries}");
                let headers = [("x-model", "base/a0")];
                let got = request(entry.address("callers"), &attempt, &headers, 1).await;
                matches!(got, Got::Events(..)).then_some(())
            })
            .await;
        }
    }

    /// Returns the software of the engine that ran `attempt`.
    fn ran(&self, attempt: &str) -> Option<&'static str> {
        let ran = |engine: &UpstreamServer| engine.runs().iter().any(|run| run.attempt == attempt);
        self.engines.iter().position(ran).map(|number| SOFTWARE[number])
    }
}

/// What a caller gets.
#[derive(Clone, Copy, Debug)]
enum Got {
    /// Events from the first of these numbers to the second.
    Events(u64, u64),
    /// A refusal, with the time after which to retry if there is one.
    Refused(Option<Duration>),
    Failed,
}

/// Requests a stream and reads it until it ends, or has had event `enough`.
async fn request(entry: SocketAddr, attempt: &str, headers: &[(&str, &str)], enough: u64) -> Got {
    let mut request = client()
        .post(format!("http://{entry}/tour/day"))
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", attempt.to_owned()))
        .insert_header(("x-deadline-ms", "10000"))
        .insert_header(STREAM_HEADERS[1])
        .bearer_auth(KEY);
    for &(name, value) in headers {
        request = request.insert_header((name, value));
    }
    let Ok(mut response) = request.send().await else { return Got::Failed };
    match response.status().as_u16() {
        200 => {}
        429 | 503 => {
            let after = response.headers().get("retry-after");
            let after = after.and_then(|value| value.to_str().ok()?.parse().ok());
            return Got::Refused(after.map(Duration::from_secs_f64));
        }
        _ => return Got::Failed,
    }
    let (mut text, mut ids) = (String::new(), Vec::new());
    while ids.last().is_none_or(|&last| last < enough)
        && let Some(Ok(chunk)) = response.next().await
    {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
        ids = event_ids(text.rsplit_once("\n\n").map_or("", |(whole, _)| whole));
    }
    match (ids.first(), ids.last()) {
        (Some(&first), Some(&last)) => Got::Events(first, last),
        _ => Got::Failed,
    }
}

/// A caller who may return once.
struct Caller<'a> {
    name: String,
    model: String,
    /// The stream that it takes up, and the last event that it has.
    broken: Option<(String, u64)>,
    entries: Vec<&'a Process>,
    /// When it comes.
    delay: Duration,
}

impl Caller<'_> {
    /// Requests its stream at the entries in turn. Returns the attempt of which events came, and
    /// the number of the first one.
    async fn call(&self) -> Option<(String, u64)> {
        tokio::time::sleep(self.delay).await;
        for (try_number, entry) in self.entries.iter().enumerate().take(RETRIES + 1) {
            let attempt = format!("{}-{try_number}", self.name);
            let last = self.broken.as_ref().map(|(_, last)| last.to_string());
            let mut headers = vec![("x-model", &*self.model)];
            if let (Some((first, _)), Some(last)) = (&self.broken, &last) {
                headers.extend([("resumes", &**first), ("last-event-id", &**last)]);
            }
            let enough = self.broken.as_ref().map_or(READ, |(_, last)| last + READ);
            match request(entry.address("callers"), &attempt, &headers, enough).await {
                Got::Events(first, _) => return Some((attempt, first)),
                Got::Refused(after) => {
                    tokio::time::sleep(after.unwrap_or(Duration::from_millis(100))).await;
                }
                Got::Failed => {}
            }
        }
        None
    }
}

/// Shares of one fleet.
#[derive(Debug)]
struct Shares {
    broken: usize,
    went_on: usize,
    new: usize,
    began: usize,
}

/// Plays one fleet: entries are killed while they relay streams, and the callers take these up at
/// the other entries while as many others begin new ones.
async fn play(seed: u64) -> Shares {
    let mut random = Random::new(mix(seed));
    let plan = Plan::draw(&mut random);
    let fleet = MixedFleet::start(plan.entries).await;
    let (killed, left) = fleet.entries.split_at(plan.killed);
    let model = |number: usize| format!("base/a{}", number as u64 % plan.adapters);
    let streams = (0..plan.streams).map(|number| {
        let entry = killed[number % plan.killed].address("callers");
        let (attempt, model) = (format!("s{number}"), model(number));
        async move {
            match request(entry, &attempt, &[("x-model", &model)], u64::MAX).await {
                Got::Events(_, last) => Some((number, attempt, last)),
                Got::Refused(_) | Got::Failed => None,
            }
        }
    });
    let delays: Vec<Duration> =
        killed.iter().map(|_| Duration::from_millis(1_200 + random.below(400))).collect();
    let kills = join_all(killed.iter().zip(delays).map(async |(entry, delay)| {
        tokio::time::sleep(delay).await;
        entry.signal("-KILL");
    }));
    let (ended, _) = tokio::join!(join_all(streams), kills);
    let broken: Vec<_> = ended.into_iter().flatten().filter(|(.., last)| *last < EVENTS).collect();
    let mut caller = |name: String, number: usize, broken: Option<(String, u64)>| {
        let first = random.below(left.len() as u64) as usize;
        let entries = (0..=RETRIES).map(|at| &left[(first + at) % left.len()]).collect();
        let delay = Duration::from_millis(random.below(ARRIVALS_MS));
        Caller { name, model: model(number), broken, entries, delay }
    };
    let returning: Vec<_> = broken
        .iter()
        .map(|(number, first, last)| {
            caller(format!("r{number}"), *number, Some((first.clone(), *last)))
        })
        .collect();
    let new: Vec<_> = (0..plan.pressure * broken.len())
        .map(|number| caller(format!("n{number}"), number, None))
        .collect();
    let (returned, begun) = tokio::join!(
        join_all(returning.iter().map(Caller::call)),
        join_all(new.iter().map(Caller::call))
    );
    for (caller, got) in returning.iter().zip(&returned) {
        let (Some((first, last)), Some((attempt, event))) = (&caller.broken, got) else { continue };
        assert_eq!(*event, last + 1, "seed {seed}: {attempt}");
        assert_eq!(fleet.ran(attempt), fleet.ran(first), "seed {seed}: {attempt}");
    }
    let shares = Shares {
        broken: broken.len(),
        went_on: returned.iter().flatten().count(),
        new: new.len(),
        began: begun.iter().flatten().count(),
    };
    println!("seed {seed}: {plan:?}: {shares:?}");
    shares
}

/// Two engines of each software serve, and entries are killed with the streams that they relay.
/// These must go on elsewhere at least half as often as new streams begin.
#[actix_rt::test]
async fn broken_streams_go_on_half_as_often_as_new_ones_begin() {
    let seeds = std::env::var("KINGCUPBAY_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    for seed in seeds.unwrap_or(SEEDS) {
        let shares = play(seed).await;
        let resumed = shares.went_on as f64 / shares.broken.max(1) as f64;
        let begun = shares.began as f64 / shares.new.max(1) as f64;
        assert!(shares.broken >= COUNTED_MIN, "seed {seed}: {shares:?}");
        assert!(resumed >= 0.5 * begun, "seed {seed}: {shares:?}");
    }
}
