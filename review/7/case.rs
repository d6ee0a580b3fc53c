//! An entry is killed, and its clients go on with their streams at another one.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::{net::SocketAddr, process::exit, thread, time::Duration};

use standin::{
    client::Attempt,
    daemon::{Daemon, free_port, ip, wait_ready},
    record::Record,
    runner::{Runner, Settings},
    store::Store,
};

const STORE: u8 = 1;
const ENTRIES: [u8; 2] = [11, 12];
const ENGINES: [u8; 2] = [21, 22];
const DESKS: [u8; 2] = [23, 24];
const KEY: &str = "key-of-the-winery";

const RATE: f64 = 30.0;
const STREAMS: u64 = 150;
const EVENTS: u64 = 57;
const GAP: Duration = Duration::from_millis(40);
/// When the entry is killed, in seconds of the load, and how long it is away.
const KILL_AT: f64 = 4.0;
const AWAY_S: f64 = 0.5;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"itinerary\",\"host\":\"ficu.example\",\
         \"pathPrefix\":\"/itinerary/\",\"kind\":\"stream\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":800,\"priority\":1,\"trafficSplit\":[{{\"service\":\"writer\",\
         \"weight\":90}},{{\"service\":\"desk\",\"weight\":10}}],\"maxAttempts\":2,\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":true,\
         \"targetGapMs\":300}}],\"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\
         \"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\
         \"kvCacheTokens\":118381,\"kvBytes\":163840,\"linkMbps\":130000.0,\"models\":[{{\
         \"name\":\"base\",\"weightsMb\":42700.0,\"loadS\":2.5,\"adapters\":3000,\
         \"adapterMb\":66.0}}],\"weightsMb\":44800.0,\"adapterSlots\":19,\"loadsPerS\":4.5}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"winery\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\
         \"ratePerS\":900000,\"burst\":900000}}]}}"
    )
}

/// What one client has seen of its stream.
struct Stream {
    ids: Vec<u64>,
    attempts: Vec<String>,
}

/// Reads a stream at `entries[0]`. If the channel breaks, goes on at `entries[1]` as PROTOCOL.md
/// has it, with the id of the last event.
fn read_stream(number: u64, entries: [SocketAddr; 2], record: &Record) -> Stream {
    let mut stream = Stream { ids: Vec::new(), attempts: Vec::new() };
    for (at, entry) in entries.into_iter().enumerate() {
        let mut headers = vec![
            ("Host".to_owned(), "ficu.example".to_owned()),
            ("X-Model".to_owned(), format!("base/a{}", 1 + number % 4)),
            ("X-Token-Usage".to_owned(), format!("300,{}", 3 * EVENTS)),
            ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:50,{number:x}:250")),
            ("X-Deadline-Ms".to_owned(), "15000".to_owned()),
            ("Authorization".to_owned(), format!("Bearer {KEY}")),
        ];
        if let Some(last) = stream.ids.last() {
            headers.push(("Last-Event-Id".to_owned(), last.to_string()));
        }
        let attempt = Attempt {
            method: "POST",
            path: "/itinerary/plan".to_owned(),
            headers,
            body: format!("plan {number}"),
            timeout: Duration::from_secs(16),
        };
        let id = format!("{:016x}", (number * 16 + at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        stream.attempts.push(id.clone());
        let last = stream.ids.last().copied();
        let outcome = attempt.send(entry, id.clone(), record.clone()).join().expect("it ends");
        if last.is_some() || outcome.ids.first().is_some_and(|first| *first != 1) {
            let (first, end) = (outcome.ids.first(), outcome.ids.last());
            record.line(format!("client: {id} went on after {last:?}, got {first:?} to {end:?}"));
        }
        stream.ids.extend(&outcome.ids);
        if outcome.whole && outcome.status == 200 {
            break;
        }
    }
    stream
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::var("CASE_DIR").expect("CASE_DIR names a temporary folder");
    let record = Record::new(&std::env::var("RECORD").expect("RECORD names the record"));
    let hosts: Vec<u8> = [STORE].into_iter().chain(ENTRIES).chain(ENGINES).chain(DESKS).collect();
    let ports: Vec<u16> = (0..5).map(|_| free_port(&hosts)).collect();
    let [front, ready, control, side, operators] = ports[..] else { exit(2) };
    let engine_port = free_port(&hosts);
    let store = Store::start(SocketAddr::new(ip(STORE), free_port(&hosts)));
    store.put("op", "config", &config());
    let seeds = ENTRIES.iter().map(|host| format!("{}:{control}", ip(*host))).collect::<Vec<_>>().join(",");
    let mut daemons = Vec::new();
    for (at, host) in ENTRIES.into_iter().enumerate() {
        let at_port = |port| format!("{}:{port}", ip(host));
        let fields = [
            ("node", format!("front-a-{}", at + 1)),
            ("zone", "zone-a".to_owned()),
            ("ip", ip(host).to_string()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4200".to_owned()),
            ("listen.front", at_port(front)),
            ("listen.ready", at_port(ready)),
            ("listen.control", at_port(control)),
            ("internalPorts.0", side.to_string()),
            ("internalPorts.1", operators.to_string()),
            ("platform.address", store.address.to_string()),
            ("seeds", seeds.clone()),
            ("bounds.budgetSlack", "54".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        daemons.push(Daemon::start(&dir, &format!("front-{}", at + 1), "deploy/entry.ini", &fields));
    }
    let mut runners = Vec::new();
    let hosts = ENGINES.into_iter().chain(DESKS);
    for (at, host) in hosts.enumerate() {
        let is_engine = ENGINES.contains(&host);
        let settings = Settings {
            id: format!("i-{}-{}", if is_engine { "engine" } else { "desk" }, at + 1),
            service: if is_engine { "writer" } else { "desk" }.to_owned(),
            zone: "zone-a".to_owned(),
            address: SocketAddr::new(ip(host), engine_port),
            slots: 48,
            model: is_engine.then(|| "base".to_owned()),
            adapter_slots: 19,
            kv_tokens: 118_381,
            first: Duration::from_millis(100),
            gap: GAP,
            work: Duration::ZERO,
            streams: true,
            software: "v1",
        };
        if is_engine {
            let fields = [
                ("node", format!("side-a-{}", at + 1)),
                ("zone", "zone-a".to_owned()),
                ("ip", ip(host).to_string()),
                ("limits.memoryMb", "192".to_owned()),
                ("internalPorts.0", side.to_string()),
                ("internalPorts.1", operators.to_string()),
                ("platform.address", store.address.to_string()),
                ("app", settings.address.to_string()),
                ("service", "writer".to_owned()),
                ("seeds", seeds.clone()),
                ("bounds.budgetSlack", "54".to_owned()),
                ("bounds.graceS", "8".to_owned()),
            ];
            let name = format!("side-{}", at + 1);
            daemons.push(Daemon::start(&dir, &name, "deploy/upstream.ini", &fields));
        }
        runners.push(Runner::start(settings, &store, &record, &["a1", "a2", "a3", "a4"]));
    }
    for host in ENTRIES {
        if !wait_ready(SocketAddr::new(ip(host), ready), Duration::from_secs(10)) {
            eprintln!("an entry is not ready");
            exit(2);
        }
    }
    thread::sleep(Duration::from_secs(3));

    let mut clients = Vec::new();
    let begin = record.now();
    let (mut killed, mut restarted) = (false, false);
    for number in 1..=STREAMS {
        while (record.now() - begin) * RATE < number as f64 {
            let now = record.now() - begin;
            if trouble && !killed && now >= KILL_AT {
                daemons[0].kill();
                record.line("the process of entry 1 is killed");
                killed = true;
            }
            if killed && !restarted && now >= KILL_AT + AWAY_S {
                daemons[0].restart();
                record.line("entry 1 starts again");
                restarted = true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let mut entries = ENTRIES.map(|host| SocketAddr::new(ip(host), front));
        if number % 2 == 1 {
            entries.reverse();
        }
        // New channels go to the entry that is ready.
        if killed {
            entries = [entries[0].max(entries[1]); 2];
        }
        let record = record.clone();
        clients.push(thread::spawn(move || read_stream(number, entries, &record)));
    }
    let streams: Vec<Stream> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let (mut resumed, mut repeated, mut missing) = (0, 0, 0);
    for stream in &streams {
        resumed += usize::from(stream.attempts.len() > 1);
        let pairs = || stream.ids.windows(2).map(|pair| (pair[0], pair[1]));
        let repeats = pairs().filter(|(one, next)| next <= one).count();
        missing += pairs().filter(|(one, next)| *next > one + 1).count();
        if repeats > 0 {
            repeated += 1;
            let (from, to) = pairs().find(|(one, next)| next <= one).expect("one repeats");
            let attempts = stream.attempts.join(" and ");
            record.line(format!("ORDER: the stream of {attempts}: event {from} is followed by {to}"));
        }
    }
    let alive = daemons.iter_mut().all(Daemon::is_running);
    drop(daemons);
    let summary = format!(
        "streams {}, taken up {resumed}, with events twice {repeated}, with events missing {missing}",
        streams.len()
    );
    record.line(format!("{summary}; daemons alive: {alive}"));
    println!("{summary}");
    exit(i32::from(repeated + missing > 0));
}
