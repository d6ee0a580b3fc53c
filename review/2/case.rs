//! A runner leaves a load unanswered and carries it out late, after it has crashed and started
//! again. It then gets one adapter more than it has places for, and crashes.

#[path = "../standin/desk.rs"]
mod desk;
#[path = "../standin/engine.rs"]
mod engine;
#[path = "../standin/fleet.rs"]
mod fleet;
#[path = "../standin/http.rs"]
mod http;
#[path = "../standin/json.rs"]
mod json;
#[path = "../standin/store.rs"]
mod store;

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use engine::{ADAPTER_SLOTS, Engine, MODEL};
use fleet::{BROKEN, Case, HELD, NOT_RUN};
use http::Conn;
use store::Store;

/// Four runners, of which one is disrupted: the share of 0.25 that the pages allow.
const RUNNERS: u8 = 4;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time without a check-in after which a row is removed.
const SILENCE_MAX: Duration = Duration::from_millis(3_600);

/// Time from the request whose order stays unanswered to the next request for another adapter. By
/// then the daemon has given up waiting.
const NEXT_DELAY: Duration = Duration::from_millis(1_000);

/// Time from that request to the crash, and how long the runner is down.
const CRASH_DELAY: Duration = Duration::from_millis(1_600);
const DOWN: Duration = Duration::from_millis(500);

/// Time from that order until clients ask for other adapters.
const SHIFT_DELAY: Duration = Duration::from_millis(3_500);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-pairing\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/pairing/\",\"kind\":\"stream\",\"timeoutMs\":25000,\
         \"targetLatencyMs\":1000,\"priority\":1,\"service\":\"sommelier\",\"maxAttempts\":1,\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":false,\
         \"targetGapMs\":300}}],\"services\":[{{\"name\":\"sommelier\",\"healthPath\":\"/healthz\",\
         \"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\
         \"kvCacheTokens\":118381,\"kvBytes\":163840,\"linkMbps\":130000.0,\"moves\":true,\
         \"backups\":true,\"models\":[{{\"name\":\"{MODEL}\",\"weightsMb\":42700.0,\"loadS\":2.5,\
         \"adapters\":3000,\"adapterMb\":66.0,\"warmS\":0.89,\"diskS\":1.2}}],\
         \"weightsMb\":44800.0,\"adapterSlots\":{ADAPTER_SLOTS},\"loadsPerS\":4.5}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"winery\",\
         \"apiKeys\":[\"key-of-the-winery\"],\"ratePerS\":0,\"burst\":0}}]}}"
    )
}

/// Returns the adapters whose requests an entry sends to `engine` first, to have traffic for it.
fn adapters_of(engine: SocketAddr, engines: &[SocketAddr]) -> Vec<String> {
    let score = |name: &String, at: &SocketAddr| {
        let mut hasher = DefaultHasher::new();
        MODEL.to_owned().hash(&mut hasher);
        Some(name.clone()).hash(&mut hasher);
        at.hash(&mut hasher);
        hasher.finish()
    };
    let first = |name: &String| engines.iter().min_by_key(|at| score(name, at)) == Some(&engine);
    (1..=3_000).map(|number| format!("a{number}")).filter(first).collect()
}

/// Clients of one entry.
#[derive(Clone)]
struct Clients {
    case: Case,
    entry: SocketAddr,
    count: Arc<AtomicU64>,
    ends: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Clients {
    /// Sends one request for `adapter` that makes `events` events.
    fn request(&self, adapter: &str, events: u64) -> bool {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("c{number}");
        let (model, tokens) = (format!("{MODEL}/{adapter}"), format!("200,{events}"));
        let headers = [
            ("Host", "desk.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Model", &model),
            ("X-Token-Usage", &tokens),
            ("X-Deadline-Ms", "25000"),
            ("Authorization", "Bearer key-of-the-winery"),
        ];
        let conn = Conn::open(self.entry, Duration::from_secs(25));
        let answer = conn.and_then(|mut conn| conn.call("POST", "/pairing/one", &headers, b"wine"));
        let end = match &answer {
            Ok(answer) if answer.is_whole => answer.status.to_string(),
            Ok(answer) => format!("{}, cut", answer.status),
            Err(error) => error.to_string(),
        };
        self.case.note(&format!("request {id} for {adapter}: {end}"));
        *self.ends.lock().unwrap().entry(end.clone()).or_default() += 1;
        end == "200"
    }
}

fn main() {
    let case = Case::start();
    let (store, store_at) = Store::start(SocketAddr::new(case.ip(1), 0));
    store.put("op", "config", &config());
    let hosts: Vec<u8> = (1..=RUNNERS).map(|number| 20 + number).collect();
    let (app, peers, operators) =
        (case.free_port(&hosts), case.free_port(&hosts), case.free_port(&hosts));
    let at = |host: u8, port| SocketAddr::new(case.ip(host), port);
    let (entry, ready) = {
        let ports: Vec<u16> = (0..4).map(|_| case.free_port(&[11])).collect();
        let fields = [
            ("node", "front-a-1".to_owned()),
            ("zone", "zone-a".to_owned()),
            ("listen.front", at(11, ports[0]).to_string()),
            ("listen.ready", at(11, ports[1]).to_string()),
            ("listen.control", at(11, ports[2]).to_string()),
            ("limits.maxFds", "4200".to_owned()),
            ("ip", case.ip(11).to_string()),
            ("internalPorts.0", peers.to_string()),
            ("internalPorts.1", ports[3].to_string()),
            ("platform.address", store_at.to_string()),
            ("seeds", at(11, ports[2]).to_string()),
            ("bounds.budgetSlack", "54".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        case.start_daemon("front-a-1", "deploy/entry.ini", &fields);
        (at(11, ports[0]), at(11, ports[1]))
    };
    let mut engines = Vec::new();
    for &host in &hosts {
        engines.push(Engine::start(&case, &format!("r{host}"), at(host, app)));
        let fields = [
            ("node", format!("side-a-{host}")),
            ("zone", "zone-a".to_owned()),
            ("ip", case.ip(host).to_string()),
            ("internalPorts.0", peers.to_string()),
            ("internalPorts.1", operators.to_string()),
            ("platform.address", store_at.to_string()),
            ("app", at(host, app).to_string()),
            ("service", "sommelier".to_owned()),
            ("seeds", at(11, ready.port()).to_string()),
            ("bounds.budgetSlack", "54".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        case.start_daemon(&format!("side-a-{host}"), "deploy/upstream.ini", &fields);
    }
    {
        let (store, engines) = (store.clone(), engines.clone());
        thread::spawn(move || {
            let mut seen: BTreeMap<String, (Instant, Instant)> = BTreeMap::new();
            for seq in 1.. {
                for engine in &engines {
                    let Some((id, row)) = engine.check_in("sommelier", seq) else { continue };
                    let now = Instant::now();
                    let (last, written) = seen.entry(id.clone()).or_insert((now, now - HEARTBEAT));
                    *last = now;
                    if written.elapsed() >= HEARTBEAT {
                        *written = now;
                        store.put("servers", &id, &row);
                    }
                }
                seen.retain(|id, (last, _)| {
                    let alive = last.elapsed() < SILENCE_MAX;
                    if !alive {
                        store.remove("servers", id);
                    }
                    alive
                });
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    case.wait_until_ready(ready);
    thread::sleep(Duration::from_secs(1));
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let target = engines[0].clone();
    let adapters = adapters_of(target.address, &addresses);
    let clients =
        Clients { case: case.clone(), entry, count: Arc::default(), ends: Arc::default() };
    case.note(&format!("{} gets the requests for {} adapters first", target.name, adapters.len()));

    // Clients ask for adapters of the first runner until all of its places are taken.
    let mut rest = adapters.iter();
    while target.loaded() < ADAPTER_SLOTS && case.now() < 40_000 {
        let Some(adapter) = rest.next() else { break };
        clients.request(adapter, 3);
    }
    case.note(&format!(
        "{} holds {} adapters after {} orders",
        target.name,
        target.loaded(),
        target.orders()
    ));
    if target.loaded() < ADAPTER_SLOTS {
        case.end(NOT_RUN);
    }
    if case.trouble {
        target.leave_unanswered(target.orders());
    }
    // One client asks for another one, for which an adapter has to make way.
    let rare = rest.next().expect("thousands of adapters").clone();
    let began = Instant::now();
    {
        let (clients, rare) = (clients.clone(), rare.clone());
        thread::spawn(move || clients.request(&rare, 3));
    }
    if case.trouble {
        while target.unanswered().is_none() && began.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(5));
        }
        if target.unanswered().is_none() {
            case.note("no order came");
            case.end(NOT_RUN);
        }
    }
    // A second client asks for one more a little later.
    thread::sleep(NEXT_DELAY.saturating_sub(began.elapsed()));
    clients.request(rest.next().expect("thousands of adapters"), 3);
    if case.trouble {
        thread::sleep(CRASH_DELAY.saturating_sub(began.elapsed()));
        target.crash(DOWN);
    }
    thread::sleep(SHIFT_DELAY.saturating_sub(began.elapsed()));

    // Then clients ask for others of its adapters, each a few times.
    let end = began + Duration::from_secs(14);
    let mut asked: Vec<String> = Vec::new();
    while Instant::now() < end && (asked.len() < ADAPTER_SLOTS || target.loaded() < ADAPTER_SLOTS) {
        let Some(adapter) = rest.next() else { break };
        if clients.request(adapter, 1) {
            asked.push(adapter.clone());
        }
    }
    case.note(&format!(
        "{} holds {} adapters after {} orders",
        target.name,
        target.loaded(),
        target.orders()
    ));
    let held: Vec<String> = asked.into_iter().filter(|name| target.holds(name)).collect();
    let streams = held.iter().map(|name| {
        let (clients, name) = (clients.clone(), name.clone());
        thread::spawn(move || drop(clients.request(&name, 100)))
    });
    let streams: Vec<_> = streams.collect();
    streams.into_iter().for_each(|stream| drop(stream.join()));
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let (mut overfilled, mut cut) = (0, 0);
    for engine in &engines {
        let losses = engine.losses();
        (overfilled, cut) = (overfilled + losses.0, cut + losses.1);
    }
    let ends = clients.ends.lock().unwrap();
    let summary = format!(
        "ends of requests {ends:?}; LIMIT broken by {overfilled}, {cut} streams cut by crashes"
    );
    case.note(&summary);
    println!("{summary}");
    case.end(match overfilled {
        0 => HELD,
        _ => BROKEN,
    });
}
