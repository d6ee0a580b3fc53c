//! State of an upstream, and its answers.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, Method, Response, StatusCode, body::BodyStream, header};
use futures_util::{FutureExt, StreamExt, stream};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{
    BASE_MODEL, SpoiledHead, UpstreamRun, UpstreamSettings,
    copies::{Copies, HANDLE, MOVE, Memory},
    crash::Crashes,
    network,
    run::{EVENT_TOKENS, EventStream, Phase, Run},
};
use crate::{
    changes::Changes,
    fault::FaultRules,
    server::{
        Handler,
        call::{self, Answer, Call},
    },
};

/// Bytes of each piece of an answer without an end, at full speed.
pub(super) const ENDLESS_BYTES: usize = 16 << 10;

/// Header with the signature of an answer.
const SIGNATURE_HEADER: header::HeaderName = header::HeaderName::from_static("x-response-stamp");

/// Header with the requests per second that an upstream takes.
const LIMIT_HEADER: header::HeaderName = header::HeaderName::from_static("server-limit");

/// Header that says that an upstream is leaving.
const LEAVING_HEADER: header::HeaderName = header::HeaderName::from_static("server-leaving");

pub(super) struct State {
    pub(super) settings: UpstreamSettings,
    pub(super) cut: Cell<Option<u64>>,
    pub(super) runs: RefCell<Vec<UpstreamRun>>,
    /// Number of streams whose caller disconnected before their end.
    pub(super) disconnects: Cell<u32>,
    /// Addresses at which other engines and callers reach it.
    pub(super) addresses: RefCell<Vec<SocketAddr>>,
    pub(super) faults: Rc<RefCell<FaultRules>>,
    /// Runs under way, by number.
    pub(super) running: RefCell<BTreeMap<u64, Rc<Run>>>,
    pub(super) copies: Copies,
    pub(super) restarts: Cell<u64>,
    /// Whether other engines cannot reach it.
    pub(super) isolated: Cell<bool>,
    /// Attempts of the streams that it cut off because they could not be written.
    pub(super) cut_off: RefCell<Vec<String>>,
    pub(super) draining: Cell<Option<Draining>>,
    pub(super) adapters: RefCell<BTreeMap<String, u32>>,
    pub(super) newest_versions: RefCell<BTreeMap<String, u32>>,
    pub(super) order_count: Cell<u64>,
    pub(super) order_log: RefCell<Vec<Value>>,
    pub(super) refused_loads: Cell<u32>,
    /// When it last turned cold.
    pub(super) cold_since: Cell<Option<Instant>>,
    /// Seconds in which it got more requests than it tolerates while cold.
    pub(super) overheated: Cell<u32>,
    /// Value of the header `Server-Limit` in all its answers.
    pub(super) limit: RefCell<Option<String>>,
    /// Whether all its answers say that it is leaving.
    pub(super) leaving: Cell<bool>,
    /// If set, it turns all requests away with this time after which to retry.
    pub(super) rest: RefCell<Option<String>>,
    /// Times of the requests and orders that it got.
    pub(super) arrivals: RefCell<Vec<Instant>>,
    pub(super) crashes: Crashes,
    /// If set, its answers have no end, and this is the time between two pieces.
    pub(super) endless: Cell<Option<Duration>>,
    /// What is wrong with the heads of its answers.
    pub(super) spoiled: Cell<Option<SpoiledHead>>,
    pub(super) changes: Changes,
}

/// How an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Draining {
    /// Until when it runs further requests.
    pub(super) serves_until: Instant,
    /// When it ends, if reports say so.
    pub(super) announced: Option<Instant>,
}

impl State {
    /// Restarts without adapters and memory and with a new order count; keeps the record of
    /// runs.
    pub(super) fn restart(&self) {
        self.copies.clear();
        self.restarts.set(self.restarts.get() + 1);
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
        match self.spoiled.get() {
            Some(SpoiledHead::Unsigned) => drop(headers.remove(SIGNATURE_HEADER)),
            Some(SpoiledHead::Encoded) => {
                let value = header::HeaderValue::from_static("gzip");
                headers.insert(header::CONTENT_ENCODING, value);
            }
            None => {}
        }
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
        self.copies.expire(self.settings.handle_time);
        let (count, used) = self.memory_used();
        let running = self.running.borrow();
        let row =
            |run: &Rc<Run>| json!([run.attempt, run.tokens(), run.events.get(), run.priority]);
        let runs: Vec<Value> = running.values().map(row).collect();
        let draining = self.draining.get();
        let mut report = json!({"stage": "colocated", "busy": false,
            "seq": self.order_count.get(),
            "models": [{"name": BASE_MODEL, "version": 1, "adapters": adapters}],
            "queued": 0, "inFlight": runs.len(), "kvUsed": used,
            "kvTotal": self.settings.memory_tokens, "handles": count - runs.len(),
            "pending": [], "runs": runs, "born": 1 + self.restarts.get(),
            "state": if draining.is_some() { "draining" } else { "ready" }});
        if let Some(end) = draining.and_then(|draining| draining.announced) {
            let left = end.saturating_duration_since(Instant::now());
            report["remainingMs"] = json!(left.as_millis() as u64);
        }
        call::json(&report)
    }

    /// Returns the slots and the tokens of memory in use by runs and copies.
    pub(super) fn memory_used(&self) -> (usize, u64) {
        let (held, held_tokens) = self.copies.usage();
        let running = self.running.borrow();
        let tokens: u64 = running.values().map(|run| run.tokens()).sum();
        (held + running.len(), held_tokens + tokens)
    }

    fn run(self: &Rc<Self>, call: &Call) -> Answer {
        let text = |name: &str| {
            let value = call.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        if self.draining.get().is_some_and(|draining| draining.serves_until <= Instant::now()) {
            return refusal(StatusCode::SERVICE_UNAVAILABLE);
        }
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
        let from = text("kv-from").filter(|_| self.settings.engine);
        let memory = from.as_deref().map(|from| self.take_memory(from, &attempt));
        if memory.as_ref().is_some_and(Option::is_none) {
            self.copies.count(|counts| &mut counts.refused);
            return refusal(StatusCode::SERVICE_UNAVAILABLE);
        }
        let memory = memory.flatten();
        let number = network::next_number();
        let origin = memory.as_ref().map_or(number, |memory| memory.origin);
        let prompt = memory.as_ref().map_or(self.settings.prompt_tokens, |m| m.prompt_tokens);
        let last = text("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let prefilled = prefilled(memory.as_ref(), prompt, last);
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
            origin,
            prefilled,
        });
        self.overheat();
        self.changes.notify();
        let is_fatal = self.on_run(call);
        if let Some(pause) = self.endless.get().filter(|_| !self.settings.engine) {
            return answer(&attempt).body(BodyStream::new(endless(pause))).map_into_boxed_body();
        }
        if !self.settings.engine && is_fatal {
            return self.broken_answer(answer(&attempt));
        }
        if !self.settings.engine {
            return answer(&attempt)
                .body(format!("done by {}", self.settings.id))
                .map_into_boxed_body();
        }
        let run = Rc::new(Run {
            number,
            origin,
            attempt: attempt.clone(),
            priority: text("x-request-priority").and_then(|text| text.parse().ok()).unwrap_or(5),
            prompt_tokens: prompt,
            events: Cell::new(last),
            phase: watch::Sender::new(Phase::Running),
            backup: text("x-kv-backup").and_then(|text| text.parse().ok()),
            backed_up: Cell::new(None),
        });
        self.running.borrow_mut().insert(number, Rc::clone(&run));
        let share = prefilled as f64 / prompt.max(1) as f64;
        let prefill = self.settings.prefill_time.mul_f64(share);
        let events = EventStream::new(self, run, prefill, last);
        let events = stream::unfold(events, |mut events| async {
            let item = events.next().await?;
            Some((item, events))
        });
        let mut answer = answer(&attempt)
            .insert_header((header::CONTENT_TYPE, "text/event-stream"))
            .body(BodyStream::new(Box::pin(events)))
            .map_into_boxed_body();
        if self.settings.unframed {
            answer.head_mut().no_chunking(true);
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        answer
    }
}

/// Returns a body of text that has neither an end nor the end of an event.
fn endless(
    pause: Duration,
) -> impl futures_util::Stream<Item = Result<bytes::Bytes, std::io::Error>> + Unpin {
    let length = if pause.is_zero() { ENDLESS_BYTES } else { 1 };
    let piece = bytes::Bytes::from(vec![b'x'; length]);
    Box::pin(stream::repeat(piece).then(move |piece| async move {
        tokio::time::sleep(pause).await;
        Ok(piece)
    }))
}

/// Returns the tokens that a request prefills which goes on after event `last`.
fn prefilled(memory: Option<&Memory>, prompt: u64, last: u64) -> u64 {
    memory.map_or(prompt, |memory| EVENT_TOKENS * last.saturating_sub(memory.events))
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

pub(super) fn handler(state: &Rc<State>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let engine = state.settings.engine;
        let is_report = call.method == Method::GET && call.path == "/v1/report";
        let handle = call.path.strip_prefix(HANDLE).map(str::to_owned);
        let is_copy = engine && (call.path == MOVE || handle.is_some());
        if !is_report && !is_copy {
            state.arrivals.borrow_mut().push(Instant::now());
        }
        let state = Rc::clone(&state);
        async move {
            let mut answer = match (&call.method, call.path.as_str()) {
                (&Method::GET, "/v1/report") if engine => state.report(),
                (&Method::POST, "/v1/order") if engine => state.order(&call),
                (&Method::POST, MOVE) if engine => state.move_run(&call).await,
                (&Method::DELETE, _) if is_copy => {
                    state.free_handle(handle.as_deref().unwrap_or_default())
                }
                _ => state.run(&call),
            };
            if answer.status() == StatusCode::OK && state.is_silent_on(&call) {
                return std::future::pending().await;
            }
            state.add_signals(answer.headers_mut());
            answer
        }
        .boxed_local()
    })
}
