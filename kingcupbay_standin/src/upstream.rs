//! Stand-in for an upstream of a registered fleet.
//!
//! It is a plain service, or a model engine that loads adapters by order.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, Response, StatusCode, body::BodyStream, header};
use bytes::Bytes;
use futures_util::{FutureExt, stream};
use serde_json::{Value, json};

use crate::{
    changes::{Changes, wait_until},
    server::{
        Behaviour, Handler, Server,
        call::{self, Answer, Call},
    },
};

/// Header with the requests per second that an upstream takes.
const LIMIT_HEADER: header::HeaderName = header::HeaderName::from_static("server-limit");

/// Header that says that an upstream is leaving.
const LEAVING_HEADER: header::HeaderName = header::HeaderName::from_static("server-leaving");

/// The base model of every engine.
pub const BASE_MODEL: &str = "base";

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Its id.
    pub id: String,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Number of events of each stream.
    pub events: u64,
    /// Time before each event of a stream.
    pub event_interval: Duration,
    /// If set, one stream fails after this many events.
    pub cut_after: Option<u64>,
    /// Number of adapter slots.
    pub adapter_slots: usize,
    /// Requests in a second that it tolerates while it is cold; `None` for any number.
    pub cold_requests_max: Option<usize>,
    /// How long it is cold after a restart.
    pub cold_time: Duration,
}

impl UpstreamSettings {
    /// Returns the settings of a plain service.
    pub fn plain(id: &str) -> UpstreamSettings {
        UpstreamSettings {
            id: id.to_owned(),
            engine: false,
            events: 0,
            event_interval: Duration::ZERO,
            cut_after: None,
            adapter_slots: 0,
            cold_requests_max: None,
            cold_time: Duration::ZERO,
        }
    }

    /// Returns the settings of an engine whose streams have `events` events.
    pub fn engine(id: &str, events: u64) -> UpstreamSettings {
        let event_interval = Duration::from_millis(5);
        UpstreamSettings {
            engine: true,
            events,
            event_interval,
            adapter_slots: 2,
            ..UpstreamSettings::plain(id)
        }
    }
}

/// A request that an upstream started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRun {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Start time.
    pub started: Instant,
    /// HTTP method.
    pub method: Method,
    /// Received headers, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Path and query.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
}

impl UpstreamRun {
    /// Returns the organisation for which the request runs.
    pub fn organisation(&self) -> Option<&str> {
        self.headers.get("x-tenant").map(String::as_str)
    }

    /// Returns the requested adapter.
    pub fn adapter(&self) -> Option<&str> {
        Some(self.headers.get("x-model")?.split_once('/')?.1)
    }

    /// Returns the only version of the adapter that may run the request.
    pub fn version(&self) -> Option<u32> {
        self.headers.get("x-expect-version")?.parse().ok()
    }

    /// Returns whether the caller's API key was forwarded.
    pub fn has_key(&self) -> bool {
        self.headers.contains_key("authorization")
    }
}

/// Issuer of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderIssuer {
    /// Host that issued the order.
    pub holder: String,
    /// Its fencing number.
    pub fencing: u64,
}

/// A running upstream.
pub struct UpstreamServer {
    server: Server,
    state: Rc<State>,
}

struct State {
    settings: UpstreamSettings,
    cut: Cell<Option<u64>>,
    runs: RefCell<Vec<UpstreamRun>>,
    /// Number of streams whose caller disconnected before their end.
    disconnects: Cell<u32>,
    running: RefCell<BTreeMap<String, u64>>,
    adapters: RefCell<BTreeMap<String, u32>>,
    newest_versions: RefCell<BTreeMap<String, u32>>,
    order_count: Cell<u64>,
    order_log: RefCell<Vec<Value>>,
    refused_loads: Cell<u32>,
    /// When it last turned cold.
    cold_since: Cell<Option<Instant>>,
    /// Seconds in which it got more requests than it tolerates while cold.
    overheated: Cell<u32>,
    /// Value of the header `Server-Limit` in all its answers.
    limit: RefCell<Option<String>>,
    /// Whether all its answers say that it is leaving.
    leaving: Cell<bool>,
    /// If set, it turns all requests away with this time after which to retry.
    rest: RefCell<Option<String>>,
    /// Times of the requests and orders that it got.
    arrivals: RefCell<Vec<Instant>>,
    changes: Changes,
}

impl UpstreamServer {
    /// Starts an upstream on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr, settings: UpstreamSettings) -> io::Result<UpstreamServer> {
        let state = Rc::new(State {
            cut: Cell::new(settings.cut_after),
            settings,
            runs: RefCell::default(),
            disconnects: Cell::new(0),
            running: RefCell::default(),
            adapters: RefCell::default(),
            newest_versions: RefCell::default(),
            order_count: Cell::new(0),
            order_log: RefCell::default(),
            refused_loads: Cell::new(0),
            cold_since: Cell::new(None),
            overheated: Cell::new(0),
            limit: RefCell::default(),
            leaving: Cell::new(false),
            rest: RefCell::default(),
            arrivals: RefCell::default(),
            changes: Changes::default(),
        });
        let restarted = Rc::clone(&state);
        let restart = Rc::new(move || restarted.restart());
        let behaviour = Behaviour { restart, ..Behaviour::new(handler(&state)) };
        let server = Server::start(address, behaviour)?;
        Ok(UpstreamServer { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the row with which the upstream registers.
    pub fn registration(&self, service: &str, state: &str) -> Value {
        json!({"service": service, "address": self.server.address().to_string(),
            "zone": "zone-a", "version": "v1", "slots": 8, "state": state,
            "coldRemainingMs": 0, "seq": 0, "born": 1})
    }

    /// Returns the requests that it started to run.
    pub fn runs(&self) -> Vec<UpstreamRun> {
        self.state.runs.borrow().clone()
    }

    /// Waits until it has started to run at least this many requests.
    pub async fn wait_for_runs(&self, count: usize) {
        let state = &self.state;
        wait_until(state.changes.subscribe(), || state.runs.borrow().len() >= count).await;
    }

    /// Waits until at least this many callers have disconnected during a stream.
    pub async fn wait_for_disconnects(&self, count: u32) {
        let state = &self.state;
        wait_until(state.changes.subscribe(), || state.disconnects.get() >= count).await;
    }

    /// Returns the attempt ids of the running streams.
    pub fn running_streams(&self) -> Vec<String> {
        self.state.running.borrow().keys().cloned().collect()
    }

    /// Returns the number of load orders refused because all adapter slots
    /// were in use. A real engine would have crashed at each of them.
    pub fn refused_loads(&self) -> u32 {
        self.state.refused_loads.get()
    }

    /// Returns how often it got more requests in a second than it tolerates while cold. It
    /// crashes each time.
    pub fn overheated(&self) -> u32 {
        self.state.overheated.get()
    }

    /// Sets the requests per second that all its answers name, as text; `None` for no limit.
    pub fn set_limit(&self, limit: Option<&str>) {
        *self.state.limit.borrow_mut() = limit.map(str::to_owned);
    }

    /// Sets whether all its answers say that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.set(leaving);
    }

    /// Turns all requests away with this time after which to retry, as text; `None` runs
    /// them again.
    pub fn set_rest(&self, rest: Option<&str>) {
        *self.state.rest.borrow_mut() = rest.map(str::to_owned);
    }

    /// Returns the times of the requests and orders that it got.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.borrow().clone()
    }

    /// Returns the largest number of requests and orders that it got within `span`, of those
    /// since `from`.
    pub fn busiest(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.state.arrivals.borrow();
        let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |start: &Instant| arrivals.iter().filter(|at| **at - *start < span).count();
        let count = |index| within(&arrivals[index]) - index;
        (0..arrivals.len()).map(count).max().unwrap_or_default()
    }

    /// Turns cold now, without a restart.
    pub fn turn_cold(&self) {
        self.state.cold_since.set(Some(Instant::now()));
    }

    /// Returns the orders that were not refused as stale, in order of arrival.
    pub fn orders(&self) -> Vec<Value> {
        self.state.order_log.borrow().clone()
    }

    /// Returns the issuers of the orders that were not refused as stale, in
    /// order of arrival.
    pub fn order_issuers(&self) -> Vec<OrderIssuer> {
        let order = |order: &Value| OrderIssuer {
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            fencing: order["fenceToken"].as_u64().unwrap_or_default(),
        };
        self.state.order_log.borrow().iter().map(order).collect()
    }

    /// Returns the registration row for another address, leaving or not.
    pub fn registration_at(&self, address: SocketAddr, service: &str, leaving: bool) -> Value {
        let state = if leaving { "draining" } else { "ready" };
        let mut row = self.registration(service, state);
        row["address"] = json!(address.to_string());
        row
    }

    /// Sets the version of an adapter that later loads fetch.
    pub fn set_newest_version(&self, adapter: &str, version: u32) {
        self.state.newest_versions.borrow_mut().insert(adapter.to_owned(), version);
    }
}

impl State {
    /// Restarts without adapters and with a new order count; keeps the record of runs.
    fn restart(&self) {
        self.adapters.borrow_mut().clear();
        self.order_count.set(0);
        self.cold_since.set(Some(Instant::now()));
        self.changes.notify();
    }

    /// Crashes if it is cold and got too many requests in the last second.
    fn overheat(&self) {
        let Some(max) = self.settings.cold_requests_max else { return };
        let now = Instant::now();
        let Some(since) = self.cold_since.get() else { return };
        if now.duration_since(since) >= self.settings.cold_time {
            return;
        }
        let second = Duration::from_secs(1);
        let counts =
            |run: &&UpstreamRun| run.started >= since && now.duration_since(run.started) < second;
        if self.runs.borrow().iter().rev().filter(counts).count() > max {
            self.overheated.set(self.overheated.get() + 1);
            self.restart();
        }
    }

    /// Adds what every answer says of the upstream itself.
    fn add_signals(&self, headers: &mut header::HeaderMap) {
        if let Some(limit) = self.limit.borrow().as_deref() {
            let value = header::HeaderValue::from_str(limit).expect("tests set visible ASCII");
            headers.insert(LIMIT_HEADER, value);
        }
        if self.leaving.get() {
            headers.insert(LEAVING_HEADER, header::HeaderValue::from_static("1"));
        }
    }

    fn order(&self, call: &Call) -> Answer {
        let order: Value = match call.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        if order["expectRevision"].as_u64().is_some_and(|seq| seq != self.order_count.get()) {
            return call::empty(StatusCode::CONFLICT);
        }
        self.order_count.set(self.order_count.get() + 1);
        self.order_log.borrow_mut().push(order.clone());
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let mut adapters = self.adapters.borrow_mut();
        match order["operation"].as_str() {
            Some("unload") => drop(adapters.remove(&adapter)),
            _ if adapters.len() >= self.settings.adapter_slots
                && !adapters.contains_key(&adapter) =>
            {
                self.refused_loads.set(self.refused_loads.get() + 1);
                return call::empty(StatusCode::BAD_REQUEST);
            }
            _ => {
                let newest = self.newest_versions.borrow().get(&adapter).copied().unwrap_or(1);
                adapters.insert(adapter, newest);
            }
        }
        self.changes.notify();
        call::empty(StatusCode::ACCEPTED)
    }

    fn report(&self) -> Answer {
        let adapters: Vec<String> =
            self.adapters.borrow().iter().map(|(name, ver)| format!("{name}@{ver}")).collect();
        let running = self.running.borrow();
        let runs: Vec<Value> =
            running.iter().map(|(id, events)| json!([id, 10, events, 5])).collect();
        call::json(&json!({"stage": "colocated", "busy": false, "seq": self.order_count.get(),
            "models": [{"name": BASE_MODEL, "version": 1, "adapters": adapters}],
            "queued": 0, "inFlight": runs.len(), "kvUsed": 0, "kvTotal": 100_000,
            "handles": 0, "pending": [], "runs": runs, "state": "ready", "born": 1}))
    }

    fn run(self: &Rc<Self>, call: &Call) -> Answer {
        let text = |name: &str| {
            let value = call.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        if let Some(rest) = self.rest.borrow().as_deref() {
            let mut answer = refusal(StatusCode::SERVICE_UNAVAILABLE);
            let value = header::HeaderValue::from_str(rest).expect("tests set visible ASCII");
            answer.headers_mut().insert(header::RETRY_AFTER, value);
            return answer;
        }
        if text("x-expect-instance").is_some_and(|id| id != self.settings.id) {
            return refusal(StatusCode::MISDIRECTED_REQUEST);
        }
        let adapter = text("x-model").and_then(|model| Some(model.split_once('/')?.1.to_owned()));
        if let Some(adapter) = adapter {
            let resident = self.adapters.borrow().get(&adapter).copied();
            let expected = text("x-expect-version").and_then(|text| text.parse().ok());
            if resident.is_none() || expected.is_some_and(|version| resident != Some(version)) {
                return refusal(StatusCode::MISDIRECTED_REQUEST);
            }
        }
        let attempt = text("x-attempt-id").unwrap_or_default();
        let header = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
            (name.as_str().to_owned(), value.to_str().unwrap_or_default().to_owned())
        };
        let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
        self.runs.borrow_mut().push(UpstreamRun {
            attempt: attempt.clone(),
            started: Instant::now(),
            method: call.method.clone(),
            headers: call.headers.iter().map(header).collect(),
            path: format!("{}{query}", call.path),
            body: call.body.to_vec(),
        });
        self.overheat();
        self.changes.notify();
        if !self.settings.engine {
            return answer(&attempt)
                .body(format!("done by {}", self.settings.id))
                .map_into_boxed_body();
        }
        let first = text("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.running.borrow_mut().insert(attempt.clone(), 0);
        let events = EventStream {
            state: Rc::clone(self),
            attempt: attempt.clone(),
            next: first + 1,
            sent: 0,
            ended: false,
        };
        let events = stream::unfold(events, |mut events| async {
            let item = events.next().await?;
            Some((item, events))
        });
        answer(&attempt)
            .insert_header((header::CONTENT_TYPE, "text/event-stream"))
            .body(BodyStream::new(Box::pin(events)))
            .map_into_boxed_body()
    }
}

/// A running stream. Dropping it before its end counts as a disconnect of the caller.
struct EventStream {
    state: Rc<State>,
    attempt: String,
    next: u64,
    /// Events sent on this stream.
    sent: u64,
    ended: bool,
}

impl EventStream {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended || self.next > self.state.settings.events {
            self.ended = true;
            return None;
        }
        tokio::time::sleep(self.state.settings.event_interval).await;
        if self.state.cut.get().is_some_and(|cut| self.sent >= cut) {
            self.state.cut.set(None);
            self.ended = true;
            return Some(Err(io::Error::other("cut")));
        }
        let event = format!("id: {}\ndata: event {} of {}\n\n", self.next, self.next, self.attempt);
        self.state.running.borrow_mut().insert(self.attempt.clone(), self.next);
        self.next += 1;
        self.sent += 1;
        Some(Ok(event.into()))
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.state.running.borrow_mut().remove(&self.attempt);
        if !self.ended {
            self.state.disconnects.set(self.state.disconnects.get() + 1);
        }
        self.state.changes.notify();
    }
}

fn answer(attempt: &str) -> actix_http::ResponseBuilder {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("x-attempt-id", attempt.to_owned()));
    builder.insert_header(("x-response-stamp", format!("stamp-of-{attempt}")));
    builder
}

fn refusal(status: StatusCode) -> Answer {
    Response::build(status).insert_header(("x-not-executed", "1")).finish().map_into_boxed_body()
}

fn handler(state: &Rc<State>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let is_report = call.method == Method::GET && call.path == "/v1/report";
        if !is_report {
            state.arrivals.borrow_mut().push(Instant::now());
        }
        let mut answer = match (&call.method, call.path.as_str()) {
            (&Method::GET, "/v1/report") if state.settings.engine => state.report(),
            (&Method::POST, "/v1/order") if state.settings.engine => state.order(&call),
            _ => state.run(&call),
        };
        state.add_signals(answer.headers_mut());
        async { answer }.boxed_local()
    })
}
