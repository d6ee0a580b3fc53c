//! A runner that serves adapters of one model: orders, reports and streams.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::Case,
    http::{Conn, Request, header},
    json::Json,
};

pub const MODEL: &str = "m0";

/// Places for adapters, as on the site's sheet.
pub const ADAPTER_SLOTS: usize = 19;

/// Time to load the model from the runner's own disk, and an adapter from the store.
const MODEL_LOAD: Duration = Duration::from_millis(1_200);
const ADAPTER_LOAD: Duration = Duration::from_millis(250);

/// Adapters that may be on their way to a runner at once.
const PENDING_MAX: usize = 4;

const EVENT_PERIOD: Duration = Duration::from_millis(20);

/// How long an order that is carried out late takes at least and at most.
const LATE_MIN: Duration = Duration::from_secs(2);
const LATE_MAX: Duration = Duration::from_secs(12);

#[derive(Default)]
struct State {
    up: bool,
    boot: u64,
    born: u64,
    orders: u64,
    /// When the model is loaded; `None` if nobody has ordered it.
    model: Option<Instant>,
    /// When each adapter is loaded.
    adapters: BTreeMap<String, Instant>,
    /// Attempts that run, with their adapter and the events made so far.
    runs: BTreeMap<String, (String, u64)>,
    connections: Vec<TcpStream>,
    /// The next load from this count of orders on stays unanswered.
    unanswered_from: Option<u64>,
    /// When an order was left unanswered.
    unanswered: Option<Instant>,
    overfilled: u64,
    cut: u64,
    /// One in this many answers lacks its proof, until then.
    spoiled: Option<(u64, Instant)>,
    /// Answers during that time, and those that lacked their proof.
    answers: u64,
    unproven: u64,
}

pub struct Engine {
    pub name: String,
    /// Version of its software.
    pub version: &'static str,
    /// Whether its row is in the store.
    pub is_listed: AtomicBool,
    pub address: SocketAddr,
    case: Case,
    state: Mutex<State>,
}

enum Outcome {
    Status(u16),
    /// The order fills the runner beyond its places.
    Overfilled,
}

impl Engine {
    /// Starts a runner, which is listed once that is said. Busy models are on the runners at the
    /// start of traffic; one that starts later is empty.
    pub fn start(
        case: &Case,
        name: &str,
        address: SocketAddr,
        version: &'static str,
        is_empty: bool,
    ) -> Arc<Engine> {
        let model = (!is_empty).then(Instant::now);
        let state = State { up: true, boot: 1, born: 1_000, model, ..State::default() };
        let is_listed = AtomicBool::new(false);
        let (name, case, state) = (name.to_owned(), case.clone(), Mutex::new(state));
        let engine = Arc::new(Engine { name, version, is_listed, address, case, state });
        let served = engine.clone();
        thread::spawn(move || {
            loop {
                served.listen();
                while !served.state.lock().unwrap().up {
                    thread::sleep(Duration::from_millis(2));
                }
            }
        });
        engine
    }

    /// Accepts connections until the runner crashes.
    fn listen(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        listener.set_nonblocking(true).expect("a listener can be polled");
        while self.state.lock().unwrap().up {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let copy = stream.try_clone().expect("a second handle");
                    self.state.lock().unwrap().connections.push(copy);
                    let served = self.clone();
                    thread::spawn(move || served.handle(Conn::new(stream)));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Crashes, and starts again empty after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        state.cut += state.runs.len() as u64;
        self.case.note(&format!("{} crashes, {} streams run there", self.name, state.runs.len()));
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let mut state = engine.state.lock().unwrap();
            (state.boot, state.born) = (state.boot + 1, state.born + 10_000);
            (state.orders, state.model) = (0, None);
            state.adapters.clear();
            state.runs.clear();
            state.up = true;
            engine.case.note(&format!("{} starts again, empty", engine.name));
        });
    }

    /// Leaves the proof out of one in `every` answers, for `time`.
    pub fn spoil(&self, every: u64, time: Duration) {
        self.state.lock().unwrap().spoiled = Some((every, Instant::now() + time));
    }

    /// Returns the numbers of answers while they are spoiled, and of those without a proof.
    pub fn answers(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.answers, state.unproven)
    }

    /// Leaves the first load unanswered that comes at `orders` orders or later.
    pub fn leave_unanswered(&self, orders: u64) {
        self.state.lock().unwrap().unanswered_from = Some(orders);
    }

    /// Returns since when an order is unanswered.
    pub fn unanswered(&self) -> Option<Instant> {
        self.state.lock().unwrap().unanswered
    }

    pub fn orders(&self) -> u64 {
        self.state.lock().unwrap().orders
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().up
    }

    /// Returns the number of adapters that are loaded.
    pub fn loaded(&self) -> usize {
        let now = Instant::now();
        self.state.lock().unwrap().adapters.values().filter(|at| **at <= now).count()
    }

    pub fn holds(&self, adapter: &str) -> bool {
        self.state.lock().unwrap().adapters.contains_key(adapter)
    }

    /// Returns the numbers of orders beyond the places and of streams that crashes have cut.
    pub fn losses(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.overfilled, state.cut)
    }

    fn id(&self, state: &State) -> String {
        format!("i-{}-{}", self.name, state.boot)
    }

    /// Returns id and content of the row that the runner writes to the store, if it is up.
    pub fn check_in(&self, service: &str, seq: u64) -> Option<(String, String)> {
        let state = self.state.lock().unwrap();
        let (id, at, born) = (self.id(&state), self.address, state.born);
        let version = self.version;
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{at}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\
             \"slots\":48,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":{born},\
             \"models\":[]}}"
        );
        (state.up && self.is_listed.load(Ordering::Relaxed)).then_some((id, row))
    }

    fn handle(self: &Arc<Self>, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_request() {
            let done = match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/v1/report") => {
                    let body = self.report();
                    conn.reply(200, &[("Content-Type", "application/json")], body.as_bytes())
                }
                ("POST", "/v1/order") => self.take_order(&mut conn, &request),
                _ => self.stream(&mut conn, &request),
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let adapters = |loaded: bool| {
            let rows = state.adapters.iter().filter(move |(_, at)| (**at <= now) == loaded);
            rows.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let resident: Vec<String> =
            adapters(true).iter().map(|name| format!("\"{name}@1\"")).collect();
        let pending: Vec<String> =
            adapters(false).iter().map(|name| format!("\"{MODEL}/{name}@1\"")).collect();
        let models = match state.model {
            Some(at) if at <= now => {
                let adapters = resident.join(",");
                format!("{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{adapters}]}}")
            }
            _ => String::new(),
        };
        let busy = state.model.is_some_and(|at| at > now);
        let runs = state.runs.iter();
        let runs: Vec<String> =
            runs.map(|(id, (_, events))| format!("[\"{id}\",100,{events},5]")).collect();
        format!(
            "{{\"stage\":\"colocated\",\"state\":\"ready\",\"models\":[{models}],\"busy\":{busy},\
             \"seq\":{},\"queued\":0,\"inFlight\":{},\"kvUsed\":0,\"kvTotal\":118381,\"handles\":0,\
             \"pending\":[{}],\"runs\":[{}]}}",
            state.orders,
            state.runs.len(),
            pending.join(","),
            runs.join(",")
        )
    }

    fn take_order(self: &Arc<Self>, conn: &mut Conn, request: &Request) -> std::io::Result<()> {
        let Some(order) = Json::parse(&request.body) else { return conn.reply(400, &[], b"") };
        let is_load = order.text("operation") == Some("load") && order.text("adapter").is_some();
        let mut state = self.state.lock().unwrap();
        let from = state.unanswered_from.filter(|_| is_load && state.unanswered.is_none());
        if from.is_some_and(|from| state.orders >= from) {
            state.unanswered = Some(Instant::now());
            drop(state);
            let text = String::from_utf8_lossy(&request.body).into_owned();
            self.case.note(&format!("{} leaves an order unanswered: {text}", self.name));
            let engine = self.clone();
            thread::spawn(move || engine.carry_out_late(order));
            // The caller gives up.
            let _ = conn.read_request();
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        drop(state);
        match self.carry_out(&order) {
            Outcome::Status(status) => conn.reply(status, &[], b""),
            Outcome::Overfilled => Err(std::io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// Carries out an unanswered order between 2 and 12 s later: once the runner has been full for
    /// a while, or at the end.
    fn carry_out_late(self: &Arc<Self>, order: Json) {
        let sent = Instant::now();
        thread::sleep(LATE_MIN);
        let mut full_for = 0;
        while sent.elapsed() < LATE_MAX && full_for < 30 {
            thread::sleep(Duration::from_millis(10));
            let is_full = self.is_up() && self.loaded() == ADAPTER_SLOTS;
            full_for =
                if is_full && self.state.lock().unwrap().boot > 1 { full_for + 1 } else { 0 };
        }
        let late = sent.elapsed().as_millis();
        if !self.is_up() {
            return self.case.note("the late order finds no runner");
        }
        let status = match self.carry_out(&order) {
            Outcome::Status(status) => status.to_string(),
            Outcome::Overfilled => "crash".to_owned(),
        };
        self.case.note(&format!("{} carries the order out {late} ms late: {status}", self.name));
    }

    fn carry_out(self: &Arc<Self>, order: &Json) -> Outcome {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if order.text("holder").is_none() || order.number("fenceToken").is_none() {
            return Outcome::Status(400);
        }
        if order.number("expectRevision").is_some_and(|count| count != state.orders) {
            return Outcome::Status(409);
        }
        if state.model.is_some_and(|at| at > now) {
            return Outcome::Status(409);
        }
        let adapter = order.text("adapter");
        match (order.text("operation"), adapter) {
            (Some("load"), None) if state.model.is_some() => return Outcome::Status(200),
            (Some("load"), None) => state.model = Some(now + MODEL_LOAD),
            (Some("load"), Some(_)) if state.model.is_none() => return Outcome::Status(400),
            (Some("load"), Some(name)) if state.adapters.contains_key(name) => {
                return Outcome::Status(200);
            }
            (Some("load"), Some(name)) => {
                if state.adapters.len() == ADAPTER_SLOTS {
                    state.overfilled += 1;
                    let count = state.orders;
                    drop(state);
                    self.case.note(&format!(
                        "LIMIT broken: {} holds {ADAPTER_SLOTS} adapters and is ordered to load {name}, \
                         as order {count}",
                        self.name
                    ));
                    self.crash(Duration::from_secs(1));
                    return Outcome::Overfilled;
                }
                if state.adapters.values().filter(|at| **at > now).count() == PENDING_MAX {
                    return Outcome::Status(409);
                }
                state.adapters.insert(name.to_owned(), now + ADAPTER_LOAD);
            }
            (Some("unload"), Some(name)) => {
                if state.runs.values().any(|(used, _)| used == name) {
                    return Outcome::Status(409);
                }
                state.adapters.remove(name);
                state.orders += 1;
                return Outcome::Status(200);
            }
            _ => return Outcome::Status(400),
        }
        state.orders += 1;
        Outcome::Status(202)
    }

    fn stream(&self, conn: &mut Conn, request: &Request) -> std::io::Result<()> {
        let text = |name| header(&request.headers, name).unwrap_or_default().to_owned();
        let (id, model) = (text("x-attempt-id"), text("x-model"));
        let adapter = model.split_once('/').map_or(String::new(), |(_, name)| name.to_owned());
        let mut state = self.state.lock().unwrap();
        let own = self.id(&state);
        if text("x-expect-instance") != own {
            drop(state);
            return conn.reply(421, &[("X-Instance-Id", &own)], b"");
        }
        let now = Instant::now();
        if !state.adapters.get(&adapter).is_some_and(|at| *at <= now) {
            drop(state);
            return conn.reply(421, &[("X-Instance-Id", &own)], b"");
        }
        state.runs.insert(id.clone(), (adapter, 0));
        let boot = state.boot;
        let mut proof = format!("X-Response-Stamp: 3e1b.{boot}\r\n");
        if let Some((every, _)) = state.spoiled.filter(|(_, until)| now < *until) {
            state.answers += 1;
            if state.answers % every == 0 {
                state.unproven += 1;
                proof = proof.replacen("Stamp", "Svamp", 1);
                self.case
                    .note(&format!("{} answers {id} with a wrong byte in its head", self.name));
            }
        }
        drop(state);
        let count = text("x-token-usage").split_once(',').and_then(|(_, out)| out.parse().ok());
        let last: u64 = text("last-event-id").parse().unwrap_or(0);
        let numbers = last + 1..=count.unwrap_or(4);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n{proof}\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let result = self.write_events(conn, &id, boot, head, numbers);
        let mut state = self.state.lock().unwrap();
        if state.boot == boot {
            state.runs.remove(&id);
        }
        result
    }

    fn write_events(
        &self,
        conn: &mut Conn,
        id: &str,
        boot: u64,
        head: String,
        numbers: std::ops::RangeInclusive<u64>,
    ) -> std::io::Result<()> {
        use std::io::Write;
        let mut bytes = head.into_bytes();
        for number in numbers {
            thread::sleep(EVENT_PERIOD);
            let mut state = self.state.lock().unwrap();
            if !state.up || state.boot != boot {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            if let Some((_, events)) = state.runs.get_mut(id) {
                *events = number;
            }
            drop(state);
            let event = format!("id: {number}\ndata: {} word {number}\n\n", self.version);
            bytes.extend(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
            conn.stream.write_all(&std::mem::take(&mut bytes))?;
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}
