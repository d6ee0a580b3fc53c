//! Admission control and adapter placement for one model engine.
//!
//! The sidecar, the daemon beside an engine, is the only one that sends it orders,
//! and every request asks the sidecar for a permit first. Permits, memory and
//! adapters therefore need no agreement between hosts.
//!
//! [`estimate`] decides whether a request is accepted and predicts how long it
//! waits. [`schedule`] grants permits and refuses. [`queue`] holds the waiting requests
//! and [`running`] those with a permit. [`orders`] decides what the engine loads and unloads, and
//! [`late_loads`] how many adapter slots stay free meanwhile. [`order`] and [`report`]
//! define the messages to and from the engine, [`load_report`] the updates to
//! entries. [`speed`], [`pace`], [`prefill`] and [`loads`] learn how fast the engine is.
//!
//! An engine prefills prompts between the tokens of running requests. Prompts
//! sent beyond what it can prefill within the event gap of the running streams
//! ([`prefill`]) delay those streams, and once sent they can be neither overtaken
//! by a more urgent request nor refused. They wait here instead. The most urgent goes
//! first, while less urgent ones get a guaranteed share ([`shares`]). Within a priority,
//! requests that can still meet their latency target go before those that cannot.

mod estimate;
mod late_loads;
pub mod load_report;
pub mod loads;
pub mod order;
mod orders;
pub mod pace;
pub mod prefill;
pub mod queue;
pub mod report;
mod retry;
mod running;
mod schedule;
mod shares;
pub mod speed;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    cold::{ColdGate, ColdLimits},
    deployment::model::{AdapterName, Engine},
    limit::{LimitGate, LimitSource},
    rest::REST_MAX,
    time::{Instant, Span},
    wire::{
        metadata::AnnouncedLimit,
        sidecar::{EngineLoadReport, PermitRequest, Refusal, Verdict},
    },
};

use self::{
    loads::LoadLimiter,
    order::{Order, Reply},
    prefill::{PrefillScale, RecentGrants},
    queue::{Queue, Waiter},
    report::Report,
    retry::PromisedRetries,
    running::Running,
    speed::Speed,
};

/// Retry delay of a request refused because the base model is not loaded. It covers
/// a load of the model from the engine's own disk and then of an adapter from the
/// weight store.
const BASE_MODEL_RETRY: Span = Span::from_millis(1_800);

/// Shortest retry delay: the longest interval between two reports.
const MIN_RETRY: Span = Span::from_millis(200);

/// Identifies a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A side effect for the caller of [`Admission`] to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the verdict on a permit request to the entry.
    Answer(Ticket, Verdict),
    /// Send an order to the engine and pass its reply to [`Admission::on_reply`].
    Order(Order),
}

/// Admission state of one engine: permits, memory, adapters and queue.
#[derive(Debug)]
pub struct Admission {
    holder: String,
    spec: Engine,
    /// Known once the store was read; no order is sent without it.
    fencing: Option<u64>,
    /// Newest announced versions.
    newest_versions: BTreeMap<AdapterName, u32>,
    /// The latest report; `None` while the engine does not answer.
    report: Option<Report>,
    reported_at: Instant,
    /// Order count of the latest report, kept while the engine does not answer.
    order_count: u64,
    /// When the engine started, as its latest report says.
    born: Option<u64>,
    queue: Queue,
    running: Running,
    recent_grants: RecentGrants,
    prefill_scale: PrefillScale,
    speed: Speed,
    loads: LoadLimiter,
    pace: pace::Pace,
    orders: orders::OrderPlanner,
    /// Whether the engine's availability zone is evacuated.
    evacuated: bool,
    cold: ColdGate,
    limit: LimitGate,
    /// The engine wants no order until then.
    rest_until: Instant,
    /// Priorities of requests so far. Decisions by priority are made only if they differ.
    seen_priorities: BTreeSet<u8>,
    retries: PromisedRetries,
}

impl Admission {
    /// Creates the state of an engine that gets its orders from the host `holder`.
    pub fn new(holder: &str) -> Admission {
        Admission {
            holder: holder.to_owned(),
            spec: Engine::default(),
            fencing: None,
            newest_versions: BTreeMap::new(),
            report: None,
            reported_at: Instant::default(),
            order_count: 0,
            born: None,
            queue: Queue::default(),
            running: Running::default(),
            recent_grants: RecentGrants::default(),
            prefill_scale: PrefillScale::default(),
            speed: Speed::default(),
            loads: LoadLimiter::default(),
            pace: pace::Pace::default(),
            orders: orders::OrderPlanner::default(),
            evacuated: false,
            cold: ColdGate::default(),
            limit: LimitGate::default(),
            rest_until: Instant::default(),
            seen_priorities: BTreeSet::new(),
            retries: PromisedRetries::default(),
        }
    }

    /// Records that the sidecar's process has started, at `unix` milliseconds of Unix time. The
    /// engine may still carry out loads of an earlier process.
    pub fn on_start(&mut self, now: Instant, unix: u64) {
        self.orders.on_start(now, unix);
    }

    /// Applies the operator's specification of the engine.
    pub fn on_spec(&mut self, spec: Engine) {
        self.spec = spec;
    }

    /// Applies what the engine tolerates while it is cold.
    pub fn on_cold_limits(&mut self, now: Instant, limits: Option<ColdLimits>) {
        self.cold.on_limits(now, limits);
    }

    /// Records whether the engine limits its requests, as its answer to a call of this daemon
    /// says that was sent at `sent`.
    pub fn on_announced_limit(
        &mut self,
        now: Instant,
        sent: Instant,
        source: LimitSource,
        limit: AnnouncedLimit,
    ) {
        self.limit.on_answer(now, sent, source, limit);
    }

    /// Records that the engine has turned away a call of this daemon and wants no other for
    /// `time`.
    pub fn on_rest(&mut self, now: Instant, time: Span) {
        self.rest_until = self.rest_until.max(now + time.min(REST_MAX));
    }

    /// Returns how much longer the engine wants no call of this daemon.
    pub fn rest(&self, now: Instant) -> Span {
        self.rest_until.since(now)
    }

    /// Returns the requests and orders per second that the engine takes; `None` for any
    /// number.
    pub fn limit(&self, now: Instant) -> Option<f64> {
        self.limit.rate(now)
    }

    /// Applies whether the engine's availability zone is evacuated. Waiting requests are
    /// refused by the next call that schedules.
    pub fn on_evacuation(&mut self, now: Instant, evacuated: bool) {
        if self.evacuated && !evacuated {
            // The engine may have turned cold while it got no requests.
            self.cold.on_cold(now);
        }
        self.evacuated = evacuated;
    }

    /// Raises the fencing number to `number`; a lower one is ignored.
    pub fn on_fencing(&mut self, number: u64) {
        self.fencing = Some(self.fencing.unwrap_or_default().max(number));
    }

    /// Records an announced version of an adapter.
    pub fn on_version(&mut self, name: AdapterName, version: u32) {
        let known = self.newest_versions.entry(name).or_default();
        *known = version.max(*known);
    }

    /// Queues a permit request, or refuses it at once.
    pub fn on_permit_request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: PermitRequest,
    ) -> Vec<Action> {
        self.cold.on_cold_for(now, request.cold);
        if let Some(limit) = request.limit {
            self.limit.on_report(now, limit);
        }
        if let Some(newest) = request.newest {
            self.on_version(request.name.clone(), newest);
        }
        self.seen_priorities.insert(request.priority);
        if let Some(refusal) = self.refusal_reason(&request) {
            let after = match refusal {
                Refusal::Unready => self.promise_retry(now, &request),
                _ => MIN_RETRY,
            };
            return vec![refuse(ticket, refusal, after)];
        }
        let estimate = self.estimate_wait(now, &request);
        if estimate > request.max_wait {
            // The delay is the time to serve the whole current queue. A shorter
            // one would bring all refused callers back together, and most
            // callers retry only once.
            let after = estimate.max(MIN_RETRY);
            return vec![refuse(ticket, Refusal::Busy, after)];
        }
        self.orders.on_use(now, &request.name);
        let priority = request.priority;
        self.queue.push(Waiter::new(now, ticket, request));
        let mut actions = self.schedule(now);
        if self.queue.get(ticket).is_some() {
            actions.extend(self.refuse_hopeless(now, priority));
        }
        actions
    }

    /// Requests a replica of an adapter whose other engines are busy.
    pub fn on_replica_request(&mut self, now: Instant, name: AdapterName) -> Vec<Action> {
        // A limited engine has no orders to spare for what nobody waits for.
        if self.limit.rate(now).is_none() {
            self.orders.on_replica_request(now, name);
        }
        self.schedule(now)
    }

    /// Removes a request whose entry has stopped waiting for a permit.
    pub fn on_cancel(&mut self, now: Instant, ticket: Ticket) -> Vec<Action> {
        self.queue.remove(ticket);
        self.schedule(now)
    }

    /// Records the longest pause between two events of a stream that ended normally.
    pub fn on_stream_complete(&mut self, attempt: &str, pause: Span) {
        let varying = self.pace.is_varying(self.reported_at);
        let prefill_gap = self.running.prefill_gap(attempt).filter(|_| varying);
        if let Some(event_gap) = self.running.delayed_gap(attempt).or(prefill_gap) {
            self.prefill_scale.on_pace(varying);
            self.prefill_scale
                .on_stream_complete(pause, event_gap.unwrap_or(estimate::DEFAULT_EVENT_GAP));
        }
    }

    /// Releases the permit of a request that has ended or will not be sent.
    pub fn on_request_end(&mut self, now: Instant, attempt: &str) -> Vec<Action> {
        if let Some(name) = self.running.on_request_end(attempt) {
            self.orders.on_use(now, &name);
            self.speed.on_request_end(now, self.running.len());
        }
        self.schedule(now)
    }

    /// Applies a report of the engine.
    pub fn on_report(&mut self, now: Instant, report: Report) -> Vec<Action> {
        // The order count restarts with the engine. It is kept separately because
        // a crashing engine stops answering first, so there may be no previous
        // report. A missed restart would leave adapters marked as still cached, and
        // late orders would fill the engine beyond its adapter slots.
        let is_other = self.born.is_some_and(|born| report.born.is_some_and(|new| new != born));
        if report.orders < self.order_count || is_other {
            // The engine restarted and lost its running requests.
            self.running.clear();
            self.orders.on_restart(now);
            self.loads.on_restart();
            self.cold.on_cold(now);
            self.limit.on_restart(now);
            self.rest_until = now;
        }
        self.order_count = report.orders;
        self.born = report.born;
        let elapsed = now.since(self.reported_at);
        self.running.on_report(now, elapsed, &report, &mut self.speed, &mut self.pace);
        self.orders.on_report();
        let resident = |name: &AdapterName| report.version(name).is_some();
        self.loads.on_report(now, resident, |name| report.is_pending(name));
        self.report = Some(report);
        self.reported_at = now;
        self.schedule(now)
    }

    /// Handles an engine that did not answer a report request.
    pub fn on_report_failure(&mut self, now: Instant) -> Vec<Action> {
        self.report = None;
        self.schedule(now)
    }

    /// Applies the engine's reply to the order in flight.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) {
        if let Some(started) = self.orders.on_reply(now, reply) {
            self.loads.on_load_start(now, started);
        }
    }

    /// Handles timeouts; called periodically.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        self.schedule(now)
    }

    /// Returns the time from one report request to the next.
    pub fn report_interval(&self) -> Span {
        /// An order was answered, and the next one depends on its effect.
        const AFTER_ORDER: Span = Span::from_micros(500);
        /// A request waits for a load, which takes at least 25 ms.
        const LOADING: Span = Span::from_millis(10);
        /// A request waits for prefill, which takes one 10 ms step per prompt.
        const WAITING: Span = Span::from_millis(20);
        /// Requests run, and their first events free prefill capacity.
        const RUNNING: Span = Span::from_millis(60);
        /// Nothing runs, but the engine may have restarted or be leaving.
        const IDLE: Span = Span::from_millis(200);
        let pending = self.report.as_ref().is_some_and(|report| !report.pending.is_empty());
        if self.orders.needs_report() {
            AFTER_ORDER
        } else if pending && !self.queue.is_empty() {
            LOADING
        } else if !self.queue.is_empty() {
            WAITING
        } else if !self.running.is_empty() {
            RUNNING
        } else {
            IDLE
        }
    }

    /// Returns the load report for entries, with the resident adapters.
    pub fn load_report(&self, now: Instant) -> EngineLoadReport {
        EngineLoadReport {
            engine: None,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.spec.slots,
            delay: self
                .prefill_wait(self.running.unread_tokens() + self.queue.prompt_tokens())
                .max(self.cold.wait(now, self.queue.len()))
                .max(self.limit.wait(now, self.queue.len())),
            open: !self.evacuated && self.report.as_ref().is_some_and(|report| !report.leaving),
            resident: Some(
                self.report.as_ref().map_or_else(Vec::new, |report| report.resident.clone()),
            ),
            delays: self.priority_delays(now),
            // Learned rates of engines that are alike differ by a quarter at times, so they
            // count only where the pace of the host shows that engines differ.
            capacity: self.capacity(now).filter(|_| self.pace.is_varying(now)),
        }
    }

    /// Formats the state as one line of a dump.
    pub fn dump(&self, now: Instant) -> String {
        format!(
            "running={} waiting={} unread={} pace={:.1} event_ms={} learned={:.2} report={} \
             fencing={:?} evacuated={} cold={} limit={:?} work={:.2} varying={}\n",
            self.running.len(),
            self.queue.len(),
            self.running.unread_tokens(),
            self.speed.prefill_rate(),
            self.speed.event_interval().as_millis(),
            self.prefill_scale.factor(),
            self.report.is_some(),
            self.fencing,
            self.evacuated,
            self.cold.is_cold(now),
            self.limit.rate(now),
            self.pace.work(now),
            self.pace.is_varying(now),
        )
    }

    fn is_outdated(&self, name: &AdapterName, version: u32) -> bool {
        self.newest_versions.get(name).is_some_and(|&newest| version < newest)
    }

    fn is_used(&self, name: &AdapterName) -> bool {
        self.running.adapters().any(|used| used == name)
    }
}

fn refuse(ticket: Ticket, why: Refusal, after: Span) -> Action {
    Action::Answer(ticket, Verdict::Refused { why, after })
}
