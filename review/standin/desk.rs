//! Runners of a plain service, and clients that book.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::Case,
    http::{Conn, encode_answer, header, serve},
};

/// Requests that a runner works on at once.
const SLOTS: u32 = 6;

/// Requests that wait at a runner beyond that.
const QUEUE: u32 = 2;

/// What has become of each attempt of a client.
#[derive(Clone, Default)]
pub struct Attempts {
    pub known: Arc<Mutex<BTreeMap<String, Attempt>>>,
}

#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// Runners that ran it, with the time.
    pub runs: Vec<(String, u64)>,
    /// Status of the answer, with the time.
    pub answer: Option<(u16, u64)>,
}

/// A runner that tells its load and sheds what exceeds its slots and its queue.
pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    /// One in this many answers is sent a second time, late; 0 for none.
    extra: u64,
    /// From when to when that happens, in milliseconds since the start of the run.
    disrupted: Mutex<(u64, u64)>,
    /// Shortest and longest work in milliseconds.
    work: (u64, u64),
    load: Mutex<Load>,
    freed: Condvar,
    /// Open connections; `None` once the runner has exited.
    connections: Mutex<Option<Vec<TcpStream>>>,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
    answers: u64,
    extras: u64,
    random: u64,
}

impl Desk {
    pub fn start(
        case: &Case,
        attempts: &Attempts,
        id: &str,
        host: u8,
        extra: u64,
        work: (u64, u64),
    ) -> Arc<Desk> {
        let listener = TcpListener::bind((case.ip(host), 0)).expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let load = Load { random: u64::from(host) * 7919 + 1, ..Load::default() };
        let id = id.to_owned();
        let (load, freed, disrupted) = (Mutex::new(load), Condvar::new(), Mutex::default());
        let connections = Mutex::new(Some(Vec::new()));
        let desk = Arc::new(Desk { id, address, extra, disrupted, work, load, freed, connections });
        let (served, case, attempts) = (desk.clone(), case.clone(), attempts.clone());
        serve(listener, move |conn| served.handle(conn, &case, &attempts));
        desk
    }

    /// Exits: all connections end, and new ones end at once.
    pub fn exit(&self) {
        for connection in self.connections.lock().unwrap().take().unwrap_or_default() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn handle(&self, mut conn: Conn, case: &Case, attempts: &Attempts) {
        let copy = conn.stream.try_clone().expect("a second handle");
        match self.connections.lock().unwrap().as_mut() {
            Some(open) => open.push(copy),
            None => return,
        }
        // The answer that is sent a second time where the next one is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = conn.read_request() {
            let id = header(&request.headers, "x-attempt-id").unwrap_or_default().to_owned();
            if let Some(bytes) = late.take() {
                let status = String::from_utf8_lossy(&bytes[9..12]).into_owned();
                case.note(&format!(
                    "{} sends an answer {status} once more, before it runs {id}",
                    self.id
                ));
                if std::io::Write::write_all(&mut conn.stream, &bytes).is_err() {
                    return;
                }
            }
            let named = header(&request.headers, "x-expect-instance");
            let answer = if named.is_some_and(|named| named != self.id) {
                encode_answer(421, &[("X-Instance-Id", &self.id)], b"")
            } else if let Some(load) = self.work(case, attempts, &id) {
                let headers = [
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Response-Stamp", "3e1b.07"),
                    ("X-Server-Load", &load),
                    ("Keep-Alive", "timeout=10"),
                ];
                encode_answer(200, &headers, format!("done {id}").as_bytes())
            } else {
                encode_answer(503, &[("X-Not-Executed", "1")], b"")
            };
            if std::io::Write::write_all(&mut conn.stream, &answer).is_err() {
                return;
            }
            late = self.is_repeated(case.now()).then_some(answer);
        }
    }

    /// Runs a request and returns the load, or `None` if the runner is full.
    fn work(&self, case: &Case, attempts: &Attempts, id: &str) -> Option<String> {
        let mut load = self.load.lock().unwrap();
        if load.running == SLOTS {
            if load.waiting == QUEUE {
                return None;
            }
            load.waiting += 1;
            while load.running == SLOTS {
                load = self.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        load.random = load.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let (least, most) = self.work;
        let time = least + (load.random >> 33) % (most - least + 1);
        drop(load);
        let mut known = attempts.known.lock().unwrap();
        known.entry(id.to_owned()).or_default().runs.push((self.id.clone(), case.now()));
        drop(known);
        thread::sleep(Duration::from_millis(time));
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        self.freed.notify_one();
        Some(format!("{},{},{SLOTS}", load.running, load.waiting))
    }

    /// Begins to send answers a second time now, for `millis`.
    pub fn disrupt(&self, now: u64, millis: u64) {
        *self.disrupted.lock().unwrap() = (now, now + millis);
    }

    /// Counts an answer and returns whether it is sent a second time.
    fn is_repeated(&self, now: u64) -> bool {
        let (from, until) = *self.disrupted.lock().unwrap();
        if now < from || now >= until {
            return false;
        }
        let mut load = self.load.lock().unwrap();
        load.answers += 1;
        let repeated = self.extra > 0 && load.answers % self.extra == 0;
        load.extras += u64::from(repeated);
        repeated
    }

    /// Returns the numbers of answers during the disruption and of those that were sent a second
    /// time.
    pub fn counts(&self) -> (u64, u64) {
        let load = self.load.lock().unwrap();
        (load.answers, load.extras)
    }

    /// Returns what the runner writes to the store about itself.
    pub fn check_in(&self, service: &str, seq: u64, born: u64, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":{born}}}",
            self.address
        )
    }
}

/// When and where a client sends bookings.
#[derive(Clone, Copy)]
pub struct Schedule {
    pub entry: SocketAddr,
    pub until: Instant,
    /// Clients send at the same moments, this far apart.
    pub period: Duration,
}

/// Sends bookings one after the other on a kept channel, as client `number`.
pub fn book(case: Case, attempts: Attempts, schedule: Schedule, number: usize) {
    let mut conn: Option<Conn> = None;
    let mut count = 0;
    let period = schedule.period.as_millis() as u64;
    let mut next = case.now() / period * period + period;
    while Instant::now() < schedule.until {
        thread::sleep(Duration::from_millis(next.saturating_sub(case.now())));
        count += 1;
        let id = format!("c{number}-{count}");
        if conn.is_none() {
            conn = Conn::open(schedule.entry, Duration::from_secs(3)).ok();
        }
        let Some(open) = &mut conn else { continue };
        let headers = [
            ("Host", "desk.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "1500"),
            ("Authorization", "Bearer key-of-the-winery"),
        ];
        let called = open.call("POST", "/book/one", &headers, b"a table for two");
        let (status, after) = match &called {
            Ok(answer) if answer.is_whole => {
                let after = header(&answer.headers, "retry-after");
                (answer.status, after.and_then(|text| text.parse().ok()).unwrap_or(0.0_f64))
            }
            _ => (0, 0.0),
        };
        let closes = called.as_ref().map_or(true, |answer| {
            !answer.is_whole || header(&answer.headers, "connection") == Some("close")
        });
        if closes {
            conn = None;
        }
        let now = case.now();
        attempts.known.lock().unwrap().entry(id).or_default().answer = Some((status, now));
        let after = now + (after.min(0.5) * 1e3) as u64;
        next = after / period * period + period;
    }
}

/// The configuration: one route that may run at most once, to `service`.
pub fn config(service: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-book\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\
         \"targetLatencyMs\":100,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1,\
         \"allowAnonymous\":false}}],\"services\":[{{\"name\":\"{service}\",\
         \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"winery\",\
         \"apiKeys\":[\"key-of-the-winery\"],\"ratePerS\":0,\"burst\":0}}]}}"
    )
}

/// Starts an entry and returns where clients connect and where it says that it is ready.
pub fn start_entry(case: &Case, host: u8, store: SocketAddr) -> (SocketAddr, SocketAddr) {
    let at = |port: u16| SocketAddr::new(case.ip(host), port).to_string();
    let mut ports: Vec<u16> = Vec::new();
    while ports.len() < 5 {
        let port = case.free_port(&[host]);
        if !ports.contains(&port) {
            ports.push(port);
        }
    }
    let fields = [
        ("node", "front-a-1".to_owned()),
        ("zone", "zone-a".to_owned()),
        ("listen.front", at(ports[0])),
        ("listen.ready", at(ports[1])),
        ("listen.control", at(ports[2])),
        ("limits.maxFds", "4200".to_owned()),
        ("ip", case.ip(host).to_string()),
        ("internalPorts.0", ports[3].to_string()),
        ("internalPorts.1", ports[4].to_string()),
        ("platform.address", store.to_string()),
        ("seeds", at(ports[2])),
        ("bounds.budgetSlack", "54".to_owned()),
        ("bounds.graceS", "8".to_owned()),
    ];
    case.start_daemon("front-a-1", "deploy/entry.ini", &fields);
    let address = |port| SocketAddr::new(case.ip(host), port);
    (address(ports[0]), address(ports[1]))
}
