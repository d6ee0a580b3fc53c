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

use actix_http::Method;
use serde_json::{Value, json};

use self::{
    copies::Copies,
    crash::Crashes,
    run::Phase,
    state::{Draining, State},
};
pub use self::{copies::CopyCounts, crash::CrashStyle};
use crate::{
    changes::{Changes, wait_until},
    fault::FaultOrder,
    server::{Behaviour, Server},
};

mod copies;
mod crash;
mod network;
mod run;
mod state;

/// The base model of every engine.
pub const BASE_MODEL: &str = "base";

/// Time until a crashed engine accepts connections again.
const CRASH_TIME: Duration = Duration::from_millis(120);

/// What is wrong with the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoiledHead {
    /// It lacks the upstream's signature.
    Unsigned,
    /// It names an encoding of the body.
    Encoded,
}

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Its id.
    pub id: String,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Version of its software, as its registration names it.
    pub software: String,
    /// Number of events of each stream.
    pub events: u64,
    /// Time before each event of a stream.
    pub event_interval: Duration,
    /// If set, one stream fails after this many events.
    pub cut_after: Option<u64>,
    /// Whether its streams have neither a length nor chunks and end with their connection. One
    /// that fails by `cut_after` then ends inside an event.
    pub unframed: bool,
    /// Number of adapter slots.
    pub adapter_slots: usize,
    /// Requests in a second that it tolerates while it is cold; `None` for any number.
    pub cold_requests_max: Option<usize>,
    /// How long it is cold after a restart.
    pub cold_time: Duration,
    /// Tokens of each prompt.
    pub prompt_tokens: u64,
    /// Time to prefill a prompt.
    pub prefill_time: Duration,
    /// Tokens that runs and copies may hold.
    pub memory_tokens: u64,
    /// Runs and copies that it may hold before it takes no more copies.
    pub slots: usize,
    /// Time to copy a run's whole memory; a part takes its share.
    pub copy_time: Duration,
    /// Time after which an unused copy is freed.
    pub handle_time: Duration,
    /// Whether events name the run that made them: its number when it was first started.
    pub name_runs: bool,
    /// Bytes by which each event is padded.
    pub event_padding: usize,
    /// Time after which a stream is cut off that could not be written; `None` to wait.
    pub patience: Option<Duration>,
    /// Bytes that the kernel keeps to be sent on a connection; `None` for its choice.
    pub send_buffer: Option<u32>,
}

impl UpstreamSettings {
    /// Returns the settings of a plain service.
    pub fn plain(id: &str) -> UpstreamSettings {
        UpstreamSettings {
            id: id.to_owned(),
            engine: false,
            software: "v1".to_owned(),
            events: 0,
            event_interval: Duration::ZERO,
            cut_after: None,
            unframed: false,
            adapter_slots: 0,
            cold_requests_max: None,
            cold_time: Duration::ZERO,
            prompt_tokens: 10,
            prefill_time: Duration::ZERO,
            memory_tokens: 100_000,
            slots: 64,
            copy_time: Duration::ZERO,
            handle_time: Duration::from_secs(20),
            name_runs: false,
            event_padding: 0,
            patience: None,
            send_buffer: None,
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
    /// Number of the run that it continues, or its own; unique in this thread.
    pub origin: u64,
    /// Tokens that it prefills: the prompt, or what a copy of its memory lacks.
    pub prefilled: u64,
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

    /// Returns whether it asks to go on with the memory of an earlier run.
    pub fn continues(&self) -> bool {
        self.headers.contains_key("kv-from")
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

impl Drop for UpstreamServer {
    fn drop(&mut self) {
        network::remove(&self.state);
    }
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
            addresses: RefCell::default(),
            faults: Rc::default(),
            running: RefCell::default(),
            copies: Copies::default(),
            restarts: Cell::new(0),
            isolated: Cell::new(false),
            cut_off: RefCell::default(),
            draining: Cell::new(None),
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
            endless: Cell::new(None),
            spoiled: Cell::new(None),
            crashes: Crashes::default(),
            changes: Changes::default(),
        });
        let restarted = Rc::clone(&state);
        let restart = Rc::new(move || restarted.restart());
        let behaviour = Behaviour {
            faults: Rc::clone(&state.faults),
            answer: state::handler(&state),
            restart,
            send_buffer: state.settings.send_buffer,
        };
        let server = Server::start(address, behaviour)?;
        let refuse = server.refusal();
        *state.crashes.end.borrow_mut() = Some(Box::new(move || {
            let accept = refuse();
            actix_rt::spawn(async move {
                tokio::time::sleep(CRASH_TIME).await;
                accept();
            });
        }));
        let upstream = UpstreamServer { server, state };
        upstream.add_address(upstream.server.address());
        Ok(upstream)
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the row with which the upstream registers.
    pub fn registration(&self, service: &str, state: &str) -> Value {
        json!({"service": service, "address": self.server.address().to_string(),
            "zone": "zone-a", "version": self.state.settings.software, "slots": 8, "state": state,
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
        self.state.running.borrow().values().map(|run| run.attempt.clone()).collect()
    }

    /// Returns the number of the last event that each running stream has made, by attempt.
    pub fn events_made(&self) -> BTreeMap<String, u64> {
        let running = self.state.running.borrow();
        running.values().map(|run| (run.attempt.clone(), run.events.get())).collect()
    }

    /// Sets after how many events the next stream is cut.
    pub fn set_cut(&self, after: Option<u64>) {
        self.state.cut.set(after);
    }

    /// Returns the attempt ids of the streams that it cut off because they could not be
    /// written.
    pub fn cut_off(&self) -> Vec<String> {
        self.state.cut_off.borrow().clone()
    }

    /// Adds an address, such as that of a proxy, at which other engines reach it.
    pub fn add_address(&self, address: SocketAddr) {
        self.state.addresses.borrow_mut().push(address);
        network::add(address, &self.state);
    }

    /// Returns the counts of copies.
    pub fn copies(&self) -> CopyCounts {
        self.state.copies.counts()
    }

    /// Waits until the counts of copies satisfy a condition.
    pub async fn wait_for_copies(&self, holds: impl Fn(CopyCounts) -> bool) {
        let state = &self.state;
        wait_until(state.changes.subscribe(), || holds(state.copies.counts())).await;
    }

    /// Sets whether other engines cannot reach it to copy memory.
    pub fn set_isolated(&self, isolated: bool) {
        self.state.isolated.set(isolated);
    }

    /// Starts to leave: reports say so from now on. After `serves` it refuses requests, and
    /// after `ends` it ends what still runs. Reports tell the time left if `announced`.
    pub fn drain(&self, serves: Duration, ends: Duration, announced: bool) {
        let now = Instant::now();
        let announced = announced.then_some(now + ends);
        let draining = Draining { serves_until: now + serves, announced };
        self.state.draining.set(Some(draining));
        let state = Rc::downgrade(&self.state);
        actix_rt::spawn(async move {
            tokio::time::sleep(ends).await;
            // It may have returned, and left again, in the meantime.
            if let Some(state) = state.upgrade()
                && state.draining.get() == Some(draining)
            {
                for run in state.running.borrow().values() {
                    run.phase.send_replace(Phase::Ended);
                }
                state.restart();
            }
        });
    }

    /// Returns after having left, as an engine started anew.
    pub fn end_drain(&self) {
        self.state.draining.set(None);
        self.server.apply(FaultOrder::Restart);
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

    /// Makes it crash whenever it begins to answer a request whose prompt holds `part`. It is
    /// back a little later, started anew.
    pub fn crash_on(&self, part: &str) {
        self.state.crashes.parts.borrow_mut().insert(part.to_owned());
    }

    /// Makes it crash whenever it runs a request whose body or path contains `text`, before or
    /// after it has begun to answer.
    pub fn crash_on_text(&self, text: &str) {
        *self.state.crashes.text.borrow_mut() = Some(text.to_owned());
    }

    /// Sets how crashes show.
    pub fn set_crash_style(&self, style: CrashStyle) {
        self.state.crashes.style.set(style);
    }

    /// Returns the times of its crashes on requests.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.state.crashes.times.borrow().clone()
    }

    /// Sets what is wrong with the heads of its answers.
    pub fn set_spoiled(&self, spoiled: Option<SpoiledHead>) {
        self.state.spoiled.set(spoiled);
    }

    /// Sets whether its answers have no end: a plain service's body, or the next event of a
    /// stream. `pause` is the time between two pieces of it.
    pub fn set_endless(&self, pause: Option<Duration>) {
        self.state.endless.set(pause);
    }

    /// Ends what [`UpstreamServer::crash_on`] and [`UpstreamServer::crash_on_text`] began.
    pub fn clear_fatal_parts(&self) {
        self.state.crashes.parts.borrow_mut().clear();
        *self.state.crashes.text.borrow_mut() = None;
    }

    /// Returns how often it has crashed on a request.
    pub fn crashes(&self) -> u32 {
        self.state.crashes.times.borrow().len() as u32
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
