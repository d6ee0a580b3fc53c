//! A runner drains some seconds after the open channels to the daemons beside the runners have gone
//! silent.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::{net::SocketAddr, process::exit, thread, time::Duration};

use standin::{
    client::Attempt,
    daemon::{Daemon, free_port, ip, wait_ready},
    proxy::Proxy,
    record::Record,
    runner::{Runner, Settings},
    store::Store,
};

const STORE: u8 = 1;
const ENTRIES: [u8; 2] = [11, 12];
const ENGINES: [u8; 3] = [21, 22, 23];
/// Where the daemons beside the engines listen; a proxy stands between them and the entries.
const SIDECARS: [u8; 3] = [31, 32, 33];
const KEY: &str = "key-of-the-winery";

/// Bounds of the small deployments.
const DRAIN_MS: f64 = 2_000.0;
/// How much longer than `drainMs` the runner serves.
const LINGER_S: f64 = 2.0;
const STABILITY_S: f64 = 3.0;

/// Times in seconds of the load: the first requests, the silence, the next ones, the draining.
const FIRST_AT: f64 = 0.0;
const SILENCE_AT: f64 = 0.5;
const NEXT_AT: f64 = SILENCE_AT + STABILITY_S + 0.2;
const DRAIN_AT: f64 = NEXT_AT + 0.05;

/// Requests for each runner, and their events.
const PROMPT: u64 = 200;
const FIRST_REQUESTS: u64 = 10;
const FIRST_EVENTS: u64 = 150;
const NEXT_REQUESTS: u64 = 10;
const NEXT_EVENTS: u64 = 57;

/// Adapters, which all engines hold.
const ADAPTERS: u64 = 12;
const SLOTS: usize = 32;
const GAP: Duration = Duration::from_millis(45);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"pairing\",\"host\":\"ficu.example\",\
         \"pathPrefix\":\"/pairing/\",\"kind\":\"stream\",\"timeoutMs\":25000,\
         \"targetLatencyMs\":1000,\"priority\":1,\"service\":\"writer\",\"maxAttempts\":1,\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":false,\
         \"targetGapMs\":300}}],\"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\
         \"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kvCacheTokens\":118381,\"kvBytes\":163840,\"linkMbps\":130000.0,\"models\":[{{\
         \"name\":\"base\",\"weightsMb\":42700.0,\"loadS\":2.5,\"adapters\":3000,\
         \"adapterMb\":66.0}}],\"weightsMb\":44800.0,\"adapterSlots\":19,\"loadsPerS\":4.5}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"winery\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\
         \"ratePerS\":900000,\"burst\":900000}}]}}"
    )
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::var("CASE_DIR").expect("CASE_DIR names a temporary folder");
    let record = Record::new(&std::env::var("RECORD").expect("RECORD names the record"));
    let hosts: Vec<u8> = [STORE].into_iter().chain(ENTRIES).chain(ENGINES).chain(SIDECARS).collect();
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
    let mut engines = Vec::new();
    let (mut sidecars, mut proxies) = (Vec::new(), Vec::new());
    for (at, host) in ENGINES.into_iter().enumerate() {
        let settings = Settings {
            id: format!("i-engine-{}", at + 1),
            service: "writer".to_owned(),
            zone: "zone-a".to_owned(),
            address: SocketAddr::new(ip(host), engine_port),
            slots: SLOTS,
            model: Some("base".to_owned()),
            adapter_slots: 19,
            kv_tokens: 118_381,
            first: Duration::from_millis(150),
            gap: GAP,
            work: Duration::ZERO,
            streams: false,
            software: "v1",
        };
        let fields = [
            ("node", format!("side-a-{}", at + 1)),
            ("zone", "zone-a".to_owned()),
            ("ip", ip(SIDECARS[at]).to_string()),
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
        let (own, behind) = (ip(host), ip(SIDECARS[at]));
        proxies.push(Proxy::start(SocketAddr::new(own, side), SocketAddr::new(behind, side)));
        let held: Vec<String> = (1..=ADAPTERS).map(|number| format!("a{number}")).collect();
        let held: Vec<&str> = held.iter().map(String::as_str).collect();
        engines.push(Runner::start(settings, &store, &record, &held));
        sidecars.push(Daemon::start(&dir, &format!("side-{}", at + 1), "deploy/upstream.ini", &fields));
    }
    for host in ENTRIES {
        if !wait_ready(SocketAddr::new(ip(host), ready), Duration::from_secs(10)) {
            eprintln!("an entry is not ready");
            exit(2);
        }
    }
    thread::sleep(Duration::from_secs(3));

    // Two groups of requests, some seconds apart.
    let mut clients = Vec::new();
    let begin = record.now();
    let mut number = 0_u64;
    let mut send = |requests: u64, events: u64| {
        for at in 0..requests * ENGINES.len() as u64 {
            number += 1;
            let attempt = Attempt {
                method: "POST",
                path: "/pairing/notes".to_owned(),
                headers: vec![
                    ("Host".to_owned(), "ficu.example".to_owned()),
                    ("X-Model".to_owned(), format!("base/a{}", 1 + at % ADAPTERS)),
                    ("X-Token-Usage".to_owned(), format!("{PROMPT},{}", 3 * events)),
                    ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:50,{number:x}:150")),
                    ("X-Deadline-Ms".to_owned(), "25000".to_owned()),
                    ("Authorization".to_owned(), format!("Bearer {KEY}")),
                ],
                body: format!("notes {number}"),
                timeout: Duration::from_secs(26),
            };
            let entry = SocketAddr::new(ip(ENTRIES[(at / 3) as usize % ENTRIES.len()]), front);
            clients.push(attempt.send(entry, format!("{number:016x}"), record.clone()));
        }
    };
    let until = |at: f64| thread::sleep(Duration::from_secs_f64((begin + at - record.now()).max(0.0)));
    until(FIRST_AT);
    send(FIRST_REQUESTS, FIRST_EVENTS);
    until(SILENCE_AT);
    if trouble {
        proxies.iter().for_each(Proxy::silence);
        record.line("the open channels to the daemons beside the engines go silent");
    }
    // The runner with the fewest requests leaves; it is the one that gets the next ones.
    let leaving = engines.iter().min_by_key(|engine| engine.runs().len()).expect("there are some");
    until(NEXT_AT);
    send(NEXT_REQUESTS, NEXT_EVENTS);
    until(DRAIN_AT);
    leaving.register("draining");
    let draining = record.line(format!("{}: draining is acknowledged", leaving.settings.id));
    until(DRAIN_AT + DRAIN_MS / 1e3 + LINGER_S);
    leaving.unregister();
    leaving.end();
    let outcomes: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let count = |status| outcomes.iter().filter(|outcome| outcome.status == status).count();
    record.line(format!("answers: 200 {}, 503 {}, 502 {}, 429 {}, closed {}", count(200), count(503),
        count(502), count(429), count(0)));
    let mut late = 0;
    let mut lost = 0;
    for run in leaving.runs() {
        let after = (run.arrived - draining) * 1e3;
        if after > DRAIN_MS {
            late += 1;
            let outcome = outcomes.iter().find(|outcome| outcome.attempt == run.attempt);
            let whole = outcome.is_some_and(|outcome| outcome.whole && outcome.status == 200);
            lost += usize::from(!whole);
            record.line(format!(
                "DRAIN: {} reached {} {after:.0} ms after the acknowledgement; answered whole: {whole}",
                run.attempt, run.runner
            ));
        }
    }
    let alive = daemons.iter_mut().chain(&mut sidecars).all(Daemon::is_running);
    drop((daemons, sidecars));
    record.line(format!("requests later than drainMs: {late}, of these lost: {lost}; daemons alive: {alive}"));
    println!("requests later than drainMs: {late}, of these lost: {lost}");
    exit(i32::from(late > 0));
}
