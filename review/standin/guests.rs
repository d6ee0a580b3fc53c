//! A fleet of one entry and several runners with adapters, and its clients.

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

use crate::{
    engine::{ADAPTER_SLOTS, Engine, MODEL},
    fleet::Case,
    http::{Answer, Conn},
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time without a check-in after which a row is removed.
const SILENCE_MAX: Duration = Duration::from_millis(3_600);

fn config(is_resumable: bool) -> String {
    let attempts = if is_resumable { 2 } else { 1 };
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-pairing\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/pairing/\",\"kind\":\"stream\",\"timeoutMs\":25000,\
         \"targetLatencyMs\":1000,\"priority\":1,\"service\":\"sommelier\",\"maxAttempts\":{attempts},\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":{is_resumable},\
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
pub fn adapters_of(engine: SocketAddr, engines: &[SocketAddr]) -> Vec<String> {
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

/// A store, entries, runners and the daemons beside them.
pub struct Fleet {
    case: Case,
    pub engines: Vec<Arc<Engine>>,
    /// Where clients connect to each entry.
    pub entries: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    /// Host and settings of each entry.
    settings: Vec<(String, Vec<(&'static str, String)>)>,
}

/// What a fleet is to consist of.
pub struct Plan<'a> {
    pub entries: u8,
    /// Version of the software of each runner, and whether it starts empty and is listed later.
    pub runners: &'a [(&'static str, bool)],
    /// Whether streams may be resumed.
    pub is_resumable: bool,
}

impl Fleet {
    pub fn start(case: &Case, plan: &Plan) -> Fleet {
        let (store, store_at) = Store::start(SocketAddr::new(case.ip(1), 0));
        store.put("op", "config", &config(plan.is_resumable));
        let at = |host: u8, port| SocketAddr::new(case.ip(host), port);
        let sides: Vec<u8> = (0..plan.runners.len()).map(|number| 21 + number as u8).collect();
        let fronts: Vec<u8> = (0..plan.entries).map(|number| 11 + number).collect();
        let ports = |hosts: &[u8], count: usize| {
            let mut ports: Vec<u16> = Vec::new();
            while ports.len() < count {
                let port = case.free_port(hosts);
                if !ports.contains(&port) {
                    ports.push(port);
                }
            }
            ports
        };
        let (side, front) = (ports(&sides, 3), ports(&fronts, 4));
        let (app, peers, operators) = (side[0], side[1], side[2]);
        let seeds: Vec<String> =
            fronts.iter().map(|&host| at(host, front[2]).to_string()).collect();
        let common = [
            ("zone", "zone-a".to_owned()),
            ("platform.address", store_at.to_string()),
            ("seeds", seeds.join(",")),
            ("internalPorts.0", peers.to_string()),
            ("bounds.budgetSlack", "54".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        let mut fleet = Fleet {
            case: case.clone(),
            engines: Vec::new(),
            entries: fronts.iter().map(|&host| at(host, front[0])).collect(),
            ready: fronts.iter().map(|&host| at(host, front[1])).collect(),
            settings: Vec::new(),
        };
        for (&host, &(version, is_later)) in sides.iter().zip(plan.runners) {
            let engine = Engine::start(case, &format!("r{host}"), at(host, app), version, is_later);
            engine.is_listed.store(!is_later, Ordering::Relaxed);
            fleet.engines.push(engine);
            let mut fields = common.to_vec();
            fields.extend([
                ("node", format!("side-a-{host}")),
                ("ip", case.ip(host).to_string()),
                ("internalPorts.1", operators.to_string()),
                ("app", at(host, app).to_string()),
                ("service", "sommelier".to_owned()),
            ]);
            case.start_daemon(&format!("side-a-{host}"), "deploy/upstream.ini", &fields);
        }
        for &host in &fronts {
            let mut fields = common.to_vec();
            fields.extend([
                ("node", format!("front-a-{host}")),
                ("ip", case.ip(host).to_string()),
                ("listen.front", at(host, front[0]).to_string()),
                ("listen.ready", at(host, front[1]).to_string()),
                ("listen.control", at(host, front[2]).to_string()),
                ("limits.maxFds", "4200".to_owned()),
                ("internalPorts.1", front[3].to_string()),
            ]);
            fleet.settings.push((format!("front-a-{host}"), fields));
        }
        fleet.start_entries();
        fleet.keep_rows(store);
        fleet.wait_until_ready();
        thread::sleep(Duration::from_secs(1));
        fleet
    }

    pub fn start_entries(&self) {
        for (host, fields) in &self.settings {
            self.case.start_daemon(host, "deploy/entry.ini", fields);
        }
    }

    pub fn kill_entries(&self) {
        self.settings.iter().for_each(|(host, _)| self.case.processes.kill(host));
    }

    pub fn wait_until_ready(&self) {
        self.ready.iter().for_each(|&ready| self.case.wait_until_ready(ready));
    }

    /// Writes the rows of the runners. A row is removed when its runner is no longer listed, or has
    /// been silent.
    fn keep_rows(&self, store: Arc<Store>) {
        let engines = self.engines.clone();
        thread::spawn(move || {
            let mut rows: BTreeMap<String, (Arc<Engine>, Instant, Instant)> = BTreeMap::new();
            for seq in 1.. {
                for engine in &engines {
                    let Some((id, row)) = engine.check_in("sommelier", seq) else { continue };
                    let now = Instant::now();
                    let known = rows.entry(id.clone());
                    let known = known.or_insert((engine.clone(), now, now - HEARTBEAT));
                    known.1 = now;
                    if known.2.elapsed() >= HEARTBEAT {
                        known.2 = now;
                        store.put("servers", &id, &row);
                    }
                }
                rows.retain(|id, (engine, last, _)| {
                    let is_listed = engine.is_listed.load(Ordering::Relaxed);
                    let stays = is_listed && last.elapsed() < SILENCE_MAX;
                    if !stays {
                        store.remove("servers", id);
                    }
                    stays
                });
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
}
