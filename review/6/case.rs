//! All entries are killed while the runners of a service have two software versions, and clients
//! take their streams up again.

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
/// Two runners of each software version.
const ENGINES: [u8; 4] = [21, 22, 23, 24];
const KEY: &str = "key-of-the-winery";

const RATE: f64 = 15.0;
const EVENTS: u64 = 100;
const GAP: Duration = Duration::from_millis(45);

/// When all entries are killed, in seconds of the load, and how long they are away.
const KILL_AT: f64 = 6.0;
const AWAY_S: f64 = 1.0;
const STABILITY_S: f64 = 3.0;
/// How often a client tries again, and after how many seconds.
const RETRIES: u64 = 3;
const RETRY_S: f64 = 1.4;
/// A client's time limit.
const LIMIT_S: f64 = 15.0;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"itinerary\",\"host\":\"ficu.example\",\
         \"pathPrefix\":\"/itinerary/\",\"kind\":\"stream\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":800,\"priority\":1,\"service\":\"writer\",\
         \"maxAttempts\":2,\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":true,\
         \"targetGapMs\":300}}],\"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\
         \"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\
         \"kvCacheTokens\":118381,\"kvBytes\":163840,\"linkMbps\":130000.0,\"models\":[{{\
         \"name\":\"base\",\"weightsMb\":42700.0,\"loadS\":2.5,\"adapters\":3000,\
         \"adapterMb\":66.0}}],\"weightsMb\":44800.0,\"adapterSlots\":19,\"loadsPerS\":4.5}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"winery\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\
         \"ratePerS\":900000,\"burst\":900000}}]}}"
    )
}

/// One attempt of a client, as the rule counts it.
struct Tried {
    sent: f64,
    is_take_up: bool,
    /// Whether the stream began or went on.
    goes_on: bool,
}

/// Reads a stream. If the channel breaks, takes it up again at an entry, some times within the time
/// limit. Returns the attempts, and whether the client got the whole stream in its order.
fn read_stream(number: u64, entries: [SocketAddr; 2], record: &Record) -> (Vec<Tried>, bool) {
    let (mut tried, mut ids, mut first) = (Vec::new(), Vec::<u64>::new(), None);
    let began = record.now();
    for at in 0..=RETRIES {
        let left = LIMIT_S - (record.now() - began);
        if left <= 0.0 {
            break;
        }
        let mut headers = vec![
            ("Host".to_owned(), "ficu.example".to_owned()),
            ("X-Model".to_owned(), format!("base/a{}", 1 + number % 4)),
            ("X-Token-Usage".to_owned(), format!("300,{}", 3 * EVENTS)),
            ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:50,{number:x}:250")),
            ("X-Deadline-Ms".to_owned(), format!("{:.0}", left * 1e3)),
            ("Authorization".to_owned(), format!("Bearer {KEY}")),
        ];
        if let (Some(last), Some(first)) = (ids.last(), &first) {
            headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            headers.push(("Resumes".to_owned(), String::clone(first)));
        }
        let attempt = Attempt {
            method: "POST",
            path: "/itinerary/plan".to_owned(),
            headers,
            body: format!("plan {number}"),
            timeout: Duration::from_secs_f64(left),
        };
        let id = format!("{:016x}", (number * 16 + at).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let entry = entries[((number + at) % 2) as usize];
        let outcome = attempt.send(entry, id.clone(), record.clone()).join().expect("it ends");
        let is_take_up = !ids.is_empty();
        // Without an answer, nobody has taken the request.
        if outcome.status != 0 {
            tried.push(Tried { sent: outcome.sent, is_take_up, goes_on: !outcome.ids.is_empty() });
        }
        if !outcome.ids.is_empty() && first.is_none() {
            first = Some(id);
        }
        ids.extend(&outcome.ids);
        if outcome.whole && outcome.status == 200 {
            break;
        }
        thread::sleep(Duration::from_secs_f64(RETRY_S));
    }
    (tried, ids == (1..=EVENTS).collect::<Vec<u64>>())
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::var("CASE_DIR").expect("CASE_DIR names a temporary folder");
    let record = Record::new(&std::env::var("RECORD").expect("RECORD names the record"));
    let hosts: Vec<u8> = [STORE].into_iter().chain(ENTRIES).chain(ENGINES).collect();
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
    let mut sidecars = Vec::new();
    for (at, host) in ENGINES.into_iter().enumerate() {
        let settings = Settings {
            id: format!("i-engine-{}", at + 1),
            service: "writer".to_owned(),
            zone: "zone-a".to_owned(),
            address: SocketAddr::new(ip(host), engine_port),
            slots: 48,
            model: Some("base".to_owned()),
            adapter_slots: 19,
            kv_tokens: 118_381,
            first: Duration::from_millis(100),
            gap: GAP,
            work: Duration::ZERO,
            streams: true,
            software: if at < 2 { "v1" } else { "v2" },
        };
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
        sidecars.push(Daemon::start(&dir, &name, "deploy/upstream.ini", &fields));
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
    let (mut number, mut killed, mut back) = (0_u64, false, None);
    while record.now() - begin < KILL_AT + AWAY_S + STABILITY_S + 6.0 {
        let now = record.now() - begin;
        if trouble && !killed && now >= KILL_AT {
            daemons.iter_mut().for_each(Daemon::kill);
            record.line("the processes of all entries are killed");
            killed = true;
        }
        if killed && back.is_none() && now >= KILL_AT + AWAY_S {
            daemons.iter_mut().for_each(Daemon::restart);
            back = Some(record.line("the entries start again"));
        }
        if now * RATE > number as f64 {
            number += 1;
            let entries = ENTRIES.map(|host| SocketAddr::new(ip(host), front));
            let (number, record) = (number, record.clone());
            clients.push(thread::spawn(move || read_stream(number, entries, &record)));
        }
        thread::sleep(Duration::from_millis(2));
    }
    let streams: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let broken = streams.iter().filter(|(_, is_whole)| !is_whole).count();
    // The entries are in touch again `stabilityMs` after their start.
    let in_touch = back.unwrap_or(f64::INFINITY) + STABILITY_S;
    // A stream counts once, whatever the number of its attempts.
    let share = |is_take_up: bool| {
        let counts = |one: &&Tried| one.is_take_up == is_take_up && one.sent >= in_touch;
        let counted = streams.iter().filter_map(|(tried, _)| {
            let mut attempts = tried.iter().filter(counts).peekable();
            attempts.peek().is_some().then(|| attempts.any(|one| one.goes_on))
        });
        let counted: Vec<bool> = counted.collect();
        (counted.iter().filter(|goes_on| **goes_on).count(), counted.len())
    };
    let ((go_on, taken_up), (begun, new)) = (share(true), share(false));
    let is_broken = taken_up >= 12
        && (go_on as f64 / taken_up as f64) < 0.5 * begun as f64 / new.max(1) as f64;
    let alive = daemons.iter_mut().chain(&mut sidecars).all(Daemon::is_running);
    drop((daemons, sidecars));
    let summary = format!(
        "streams {}, not whole {broken}; in touch again: {go_on} of {taken_up} taken up go on, \
         {begun} of {new} new ones begin",
        streams.len()
    );
    record.line(format!("{summary}; daemons alive: {alive}"));
    println!("{summary}");
    exit(i32::from(is_broken));
}
