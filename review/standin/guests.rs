//! A fleet of one entry and several runners with adapters, and its clients.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{ADAPTER_SLOTS, Engine, MODEL},
    fleet::Case,
    http::{Answer, Conn},
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time without a check-in after which a row is removed.
const SILENCE_MAX: Duration = Duration::from_millis(3_600);

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

/// Clients of one entry.
#[derive(Clone)]
pub struct Clients {
    pub case: Case,
    pub entry: SocketAddr,
    pub count: Arc<AtomicU64>,
    pub ends: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Clients {
    pub fn new(case: &Case, entry: SocketAddr) -> Clients {
        Clients { case: case.clone(), entry, count: Arc::default(), ends: Arc::default() }
    }

    /// Sends one request for `adapter` that makes `events` events. Returns the whole answer if its
    /// status is 200.
    pub fn request(&self, adapter: &str, events: u64) -> Option<Answer> {
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
        answer.ok().filter(|answer| answer.is_whole && answer.status == 200)
    }
}

/// Starts a store, an entry, `runners` runners and the daemons beside them. Returns the runners
/// and where clients connect.
pub fn start(case: &Case, runners: u8) -> (Vec<Arc<Engine>>, SocketAddr) {
    let (store, store_at) = Store::start(SocketAddr::new(case.ip(1), 0));
    store.put("op", "config", &config());
    let hosts: Vec<u8> = (1..=runners).map(|number| 20 + number).collect();
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
    (engines, entry)
}
