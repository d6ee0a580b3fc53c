//! Runners: model engines that stream events, and plain services.
//!
//! A runner registers in the store, answers reports and orders, and runs requests. It drops a
//! request when its channel closes. [`Runner::end`] ends it as the end of its process would.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::standin::{
    http::{self, Conn, Request},
    json::Json,
    record::Record,
    store::Store,
};

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Requests that run at once.
    pub slots: usize,
    /// Base model of an engine; `None` for a plain service.
    pub model: Option<String>,
    pub adapter_slots: usize,
    pub kv_tokens: u64,
    /// Time to the first event, and between events.
    pub first: Duration,
    pub gap: Duration,
    /// Work of a plain request.
    pub work: Duration,
    /// Whether a plain service streams its answers.
    pub streams: bool,
    /// Version of the runner's software.
    pub software: &'static str,
}

/// A run, as the runner has seen it.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub runner: String,
    /// When the request arrived, in seconds since the start.
    pub arrived: f64,
    pub events: u64,
    pub prompt: u64,
    pub whole: bool,
    pub ended: bool,
}

#[derive(Default)]
struct State {
    seq: u64,
    beats: u64,
    adapters: BTreeMap<String, u32>,
    pending: BTreeMap<String, u32>,
    newest: BTreeMap<String, u32>,
    runs: Vec<Run>,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Runner {
    pub settings: Settings,
    state: Arc<Mutex<State>>,
    ended: Arc<AtomicBool>,
    registered: Arc<AtomicBool>,
    born: u64,
    store: Store,
    record: Record,
}

impl Runner {
    /// Starts a runner that has registered once this returns.
    pub fn start(settings: Settings, store: &Store, record: &Record, adapters: &[&str]) -> Runner {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let runner = Runner {
            settings,
            state: Arc::default(),
            ended: Arc::default(),
            registered: Arc::new(AtomicBool::new(true)),
            born: born as u64,
            store: store.clone(),
            record: record.clone(),
        };
        for name in adapters {
            runner.state.lock().unwrap().adapters.insert((*name).to_owned(), 1);
        }
        let listener = TcpListener::bind(runner.settings.address).expect("the address is free");
        listener.set_nonblocking(true).expect("sockets can be set");
        let own = runner.clone();
        thread::spawn(move || own.accept(listener));
        runner.register("ready");
        runner
    }

    fn accept(&self, listener: TcpListener) {
        while !self.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.state.lock().unwrap().open.extend(stream.try_clone());
                    let own = self.clone();
                    thread::spawn(move || {
                        let mut conn = Conn::new(stream);
                        while let Ok(Some(request)) = conn.request() {
                            if !own.handle(&request, &mut conn).unwrap_or(false) {
                                break;
                            }
                        }
                        let _ = conn.stream.shutdown(Shutdown::Both);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Writes the runner's entry in the store.
    pub fn register(&self, state: &str) {
        let Settings { id, service, zone, address, slots, software, .. } = &self.settings;
        let (beats, models) = {
            let mut state = self.state.lock().unwrap();
            state.beats += 1;
            (state.beats, self.models(&state))
        };
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{software}\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"stage\":\"colocated\",\"models\":{models},\"seq\":{beats},\"born\":{}}}",
            self.born
        );
        self.store.put("servers", id, &row);
        self.record.line(format!("runner {id} registered as {state}"));
    }

    /// Removes the runner's entry; the runner goes on serving.
    pub fn unregister(&self) -> f64 {
        self.registered.store(false, Ordering::SeqCst);
        self.store.remove("servers", &self.settings.id);
        self.record.line(format!("runner {}: its entry is removed, acknowledged", self.settings.id))
    }

    /// Ends the runner: its port refuses, and all channels close.
    pub fn end(&self) -> f64 {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.state.lock().unwrap().open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!("runner {} has ended", self.settings.id))
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Names a new version of an adapter to the runner.
    pub fn name_version(&self, adapter: &str, version: u32) {
        self.state.lock().unwrap().newest.insert(adapter.to_owned(), version);
    }

    fn models(&self, state: &State) -> String {
        let Some(model) = &self.settings.model else { return "[]".to_owned() };
        let adapters = state.adapters.iter().map(|(name, version)| format!("\"{name}@{version}\""));
        let adapters: Vec<String> = adapters.collect();
        format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}]", adapters.join(","))
    }

    fn handle(&self, request: &Request, conn: &mut Conn) -> io::Result<bool> {
        let json = [("Content-Type", "application/json")];
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/report") => {
                let body = self.report();
                conn.answer(200, &json, &body)?;
                Ok(true)
            }
            ("POST", "/v1/order") => {
                let status = self.order(&Json::parse(&request.body).unwrap_or(Json::Null));
                conn.answer(status, &json, "{}")?;
                Ok(true)
            }
            ("GET", "/healthz") => {
                conn.answer(200, &[("X-Instance-Id", &self.settings.id)], "")?;
                Ok(true)
            }
            _ => self.run(request, conn),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let running: Vec<&Run> = state.runs.iter().filter(|run| !run.ended).collect();
        let model = self.settings.model.as_deref().unwrap_or_default();
        let pending = state.pending.iter().map(|(name, at)| format!("\"{model}/{name}@{at}\""));
        let pending: Vec<String> = pending.collect();
        let runs = running.iter().map(|run| {
            format!("[\"{}\",{},{},5]", run.attempt, run.prompt + 3 * run.events, run.events)
        });
        let runs: Vec<String> = runs.collect();
        let used: u64 = running.iter().map(|run| run.prompt + 3 * run.events).sum();
        format!(
            "{{\"stage\":\"colocated\",\"state\":\"ready\",\"models\":{},\"busy\":false,\
             \"seq\":{},\"queued\":0,\"inFlight\":{},\"kvUsed\":{used},\"kvTotal\":{},\
             \"handles\":0,\"pending\":[{}],\"runs\":[{}],\"born\":{}}}",
            self.models(&state),
            state.seq,
            running.len(),
            self.settings.kv_tokens,
            pending.join(","),
            runs.join(","),
            self.born,
        )
    }

    fn order(&self, order: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        let Some(adapter) = order.get("adapter").text().map(str::to_owned) else { return 200 };
        if order.get("expectRevision").number().is_some_and(|expected| expected != state.seq) {
            return 409;
        }
        let newest = state.newest.get(&adapter).copied().unwrap_or(1);
        self.record.line(format!(
            "runner {}: order {} {adapter}",
            self.settings.id,
            order.get("operation").text().unwrap_or_default()
        ));
        state.seq += 1;
        if order.get("operation").text() == Some("unload") {
            state.adapters.remove(&adapter);
            return 200;
        }
        state.pending.insert(adapter.clone(), newest);
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(250));
            let mut state = own.state.lock().unwrap();
            state.pending.remove(&adapter);
            state.adapters.insert(adapter, newest);
            drop(state);
            if own.registered.load(Ordering::SeqCst) {
                own.register("ready");
            }
        });
        202
    }

    fn refuse(&self, conn: &mut Conn, status: u16, attempt: &str) -> io::Result<bool> {
        let headers = [
            ("X-Not-Executed", "1"),
            ("X-Attempt-Id", attempt),
            ("X-Instance-Id", &self.settings.id),
        ];
        conn.answer(status, &headers, "")?;
        Ok(true)
    }

    fn run(&self, request: &Request, conn: &mut Conn) -> io::Result<bool> {
        let header = |name| request.header(name);
        let attempt = header("x-attempt-id").unwrap_or_default().to_owned();
        let id = &self.settings.id;
        if header("x-expect-instance").is_some_and(|expected| expected != id) {
            return self.refuse(conn, 421, &attempt);
        }
        let size = header("x-token-usage").unwrap_or("0,0").split_once(',');
        let (prompt, output) = size.unwrap_or(("0", "0"));
        let (prompt, output): (u64, u64) = (prompt.parse().unwrap_or(0), output.parse().unwrap_or(0));
        let run = {
            let mut state = self.state.lock().unwrap();
            let adapter = header("x-model").and_then(|name| name.split_once('/'));
            if let Some((_, adapter)) = adapter {
                let held = state.adapters.get(adapter).copied();
                let wanted = header("x-expect-version").and_then(|version| version.parse().ok());
                if held.is_none() || wanted.is_some_and(|wanted| Some(wanted) != held) {
                    drop(state);
                    return self.refuse(conn, 421, &attempt);
                }
            }
            let running = state.runs.iter().filter(|run| !run.ended).count();
            if running >= self.settings.slots {
                drop(state);
                return self.refuse(conn, 503, &attempt);
            }
            let arrived = self.record.line(format!("runner {id} runs {attempt}"));
            state.runs.push(Run {
                attempt: attempt.clone(),
                runner: id.clone(),
                arrived,
                events: 0,
                prompt,
                whole: false,
                ended: false,
            });
            state.runs.len() - 1
        };
        let ran = match self.settings.model.is_some() || self.settings.streams {
            true => self.stream(request, conn, run, &attempt, output.div_ceil(3).max(1)),
            false => self.plain(conn, &attempt),
        };
        let is_whole = matches!(ran, Ok(true));
        let mut state = self.state.lock().unwrap();
        (state.runs[run].ended, state.runs[run].whole) = (true, is_whole);
        let events = state.runs[run].events;
        drop(state);
        self.record.line(format!("runner {id} ends {attempt}: whole={is_whole} events={events}"));
        ran
    }

    fn plain(&self, conn: &mut Conn, attempt: &str) -> io::Result<bool> {
        thread::sleep(self.settings.work);
        if self.ended.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let stamp = format!("{}.{attempt}", self.settings.id);
        let headers = [("X-Attempt-Id", attempt), ("X-Response-Stamp", &stamp)];
        conn.answer(200, &headers, &format!("done {attempt}"))?;
        Ok(true)
    }

    fn stream(
        &self,
        request: &Request,
        conn: &mut Conn,
        run: usize,
        attempt: &str,
        events: u64,
    ) -> io::Result<bool> {
        let first = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let began = Instant::now();
        let mut due = began + self.settings.first;
        for event in first + 1..=events {
            while Instant::now() < due {
                thread::sleep(due.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
                if self.ended.load(Ordering::SeqCst) || http::has_left(&conn.stream) {
                    return Ok(false);
                }
            }
            if event == first + 1 {
                conn.send(&format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Response-Stamp: {}.{attempt}\r\nX-Weight-Versions: 1\r\n\r\n",
                    self.settings.id
                ))?;
            }
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            conn.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            self.state.lock().unwrap().runs[run].events = event;
            due += self.settings.gap;
        }
        conn.send("0\r\n\r\n")?;
        Ok(true)
    }
}
