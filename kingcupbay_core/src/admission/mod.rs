//! Which requests one model engine takes and when, and which adapters it holds.
//!
//! The daemon beside an engine is the only one that orders it about, and every
//! request asks it for a place first. So places, memory and adapters need no
//! agreement between hosts. [`estimate`] says who is taken in and how long that
//! one will wait; [`queue`] keeps what waits and [`running`] what was let through;
//! [`orders`] decides what the engine loads. [`order`] and [`report`] are what the
//! engine is told and tells, [`told`] what entries are; [`pace`], [`pauses`] and
//! [`loads`] learn how fast it is.
//!
//! An engine reads prompts between the tokens of running requests. What is
//! sent to it beyond what it reads within a pause of their streams ([`pauses`])
//! makes those streams late, and can be neither overtaken by something more
//! urgent nor refused any more. So it waits here: the most urgent first, those
//! that would be late anyway behind those that can still be on time.

mod estimate;
pub mod loads;
pub mod order;
mod orders;
pub mod pace;
pub mod pauses;
pub mod queue;
pub mod report;
mod running;
pub mod told;

use std::collections::BTreeMap;

use crate::{
    deployment::model::{AdapterName, Engine},
    time::{Instant, Span},
    wire::sidecar::{EngineLoadReport, PermitRequest, Refusal, Verdict},
};

use self::{
    loads::Loads,
    order::{Order, Reply},
    pace::Pace,
    pauses::{Learned, Recent},
    queue::{Queue, Waiter},
    report::Report,
    running::Running,
};

/// When to come back to an engine without its base model: it is loaded from the
/// engine's own disk, and then an adapter from the store.
const BASE: Span = Span::from_millis(1_800);

/// Shortest time to come back: one report later.
const RETRY_MIN: Span = Span::from_millis(200);

/// Part of the engine's memory that is given out, in percent: the engine
/// rounds each request up to whole blocks.
const MEMORY_PART: u64 = 95;

/// Key of a request that asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the entry.
    Answer(Ticket, Verdict),
    /// Give the engine an order and say what it replied.
    Order(Order),
}

/// One engine's places, memory, adapters and queue.
#[derive(Debug)]
pub struct Admission {
    holder: String,
    spec: Engine,
    /// Known once the store was read; no order is given without it.
    fencing: Option<u64>,
    /// Newest announced versions.
    newest: BTreeMap<AdapterName, u32>,
    /// The youngest report; `None` while the engine does not answer.
    report: Option<Report>,
    reported: Instant,
    /// Orders that the last report counted, also while the engine does not answer.
    counted: u64,
    queue: Queue,
    running: Running,
    recent: Recent,
    learned: Learned,
    pace: Pace,
    loads: Loads,
    orders: orders::Orders,
}

impl Admission {
    /// Places of an engine that `holder` orders about.
    pub fn new(holder: &str) -> Admission {
        Admission {
            holder: holder.to_owned(),
            spec: Engine::default(),
            fencing: None,
            newest: BTreeMap::new(),
            report: None,
            reported: Instant::default(),
            counted: 0,
            queue: Queue::default(),
            running: Running::default(),
            recent: Recent::default(),
            learned: Learned::default(),
            pace: Pace::default(),
            loads: Loads::default(),
            orders: orders::Orders::default(),
        }
    }

    /// Takes what the operator declares of the engine.
    pub fn on_spec(&mut self, spec: Engine) {
        self.spec = spec;
    }

    /// Takes the fencing number; it never goes back.
    pub fn on_fencing(&mut self, number: u64) {
        self.fencing = Some(self.fencing.unwrap_or_default().max(number));
    }

    /// Takes an announced version.
    pub fn on_version(&mut self, name: AdapterName, version: u32) {
        let known = self.newest.entry(name).or_default();
        *known = version.max(*known);
    }

    /// Takes a request in.
    pub fn on_want(&mut self, now: Instant, ticket: Ticket, want: PermitRequest) -> Vec<Action> {
        if let Some(newest) = want.newest {
            self.on_version(want.name.clone(), newest);
        }
        if let Some(refusal) = self.closed(&want) {
            let after = if refusal == Refusal::Unready { BASE } else { RETRY_MIN };
            return vec![refuse(ticket, refusal, after)];
        }
        let estimate = self.estimate(now, &want);
        if estimate > want.max_wait {
            // When the queue of now is served, not when it would be short enough to
            // take this one in: all who are refused come back by then, and most
            // callers come back once only.
            let after = estimate.max(RETRY_MIN);
            return vec![refuse(ticket, Refusal::Busy, after)];
        }
        self.orders.on_use(now, &want.name);
        self.queue.push(Waiter::new(now, ticket, want));
        self.pump(now)
    }

    /// Loads an adapter whose other engines are busy.
    pub fn on_copy(&mut self, now: Instant, name: AdapterName) -> Vec<Action> {
        self.orders.on_copy(now, name);
        self.pump(now)
    }

    /// Takes back a request whose entry does not wait any more.
    pub fn on_cancel(&mut self, now: Instant, ticket: Ticket) -> Vec<Action> {
        self.queue.remove(ticket);
        self.pump(now)
    }

    /// A request's stream has come whole, with `pause` as its longest.
    pub fn on_stream(&mut self, attempt: &str, pause: Span) {
        if let Some(gap) = self.running.held_gap(attempt) {
            self.learned.on_stream(pause, gap.unwrap_or(estimate::GAP));
        }
    }

    /// A request has ended, or its place will not be used.
    pub fn on_done(&mut self, now: Instant, attempt: &str) -> Vec<Action> {
        if let Some(name) = self.running.on_end(attempt) {
            self.orders.on_use(now, &name);
            self.pace.on_end(now, self.running.len());
        }
        self.pump(now)
    }

    /// Takes a report.
    pub fn on_report(&mut self, now: Instant, report: Report) -> Vec<Action> {
        // An engine that crashes is silent first, so there may be no report to
        // compare with. Taken for the one from before, it was thought to keep
        // copies of what it had held, and late orders filled it beyond its places.
        if report.orders < self.counted {
            // It restarted: nothing of what ran is there any more.
            self.running.clear();
            self.orders.on_restart(now);
            self.loads.on_restart();
        }
        self.counted = report.orders;
        let passed = now.since(self.reported);
        self.running.on_report(now, passed, &report, &mut self.pace);
        self.orders.on_report();
        let held = |name: &AdapterName| report.version(name).is_some();
        self.loads.on_report(now, held, |name| report.is_pending(name));
        self.report = Some(report);
        self.reported = now;
        self.pump(now)
    }

    /// The engine did not answer when asked for a report.
    pub fn on_silence(&mut self, now: Instant) -> Vec<Action> {
        self.report = None;
        self.pump(now)
    }

    /// Takes the engine's reply to the order in flight.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) {
        if let Some(begun) = self.orders.on_reply(now, reply) {
            self.loads.on_begin(now, begun);
        }
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        self.pump(now)
    }

    /// Time until the next report is of use.
    pub fn next_report(&self) -> Span {
        /// An order was answered: what it did decides about the next.
        const AFTER_ORDER: Span = Span::from_micros(500);
        /// Somebody waits for a load, which takes 25 ms at best.
        const LOADING: Span = Span::from_millis(10);
        /// Somebody waits for prompts to be read, one to each step of 10 ms.
        const WAITING: Span = Span::from_millis(20);
        /// Requests run; their first events free the window.
        const RUNNING: Span = Span::from_millis(60);
        /// Nothing runs; the engine may have restarted or be leaving.
        const IDLE: Span = Span::from_millis(200);
        let pending = self.report.as_ref().is_some_and(|report| !report.pending.is_empty());
        if self.orders.unsettled() {
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

    /// What entries are told.
    pub fn pressure(&self) -> EngineLoadReport {
        EngineLoadReport {
            engine: None,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.spec.slots,
            delay: self.reading(self.running.unread() + self.queue.tokens()),
            open: self.report.as_ref().is_some_and(|report| !report.leaving),
            resident: Some(
                self.report.as_ref().map_or_else(Vec::new, |report| report.held.clone()),
            ),
        }
    }

    /// One line for a dump.
    pub fn dump(&self) -> String {
        format!(
            "running={} waiting={} unread={} pace={:.1} event_ms={} learned={:.2} report={} \
             fencing={:?}\n",
            self.running.len(),
            self.queue.len(),
            self.running.unread(),
            self.pace.tokens(),
            self.pace.event().as_millis(),
            self.learned.part(),
            self.report.is_some(),
            self.fencing,
        )
    }

    /// Starts what may start, refuses what has no prospect, and orders what
    /// is missing.
    fn pump(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for waiter in self.queue.expire(now) {
            let after = self.estimate(now, &waiter.want).max(RETRY_MIN);
            actions.push(refuse(waiter.ticket, Refusal::Busy, after));
        }
        self.refuse_hopeless(&mut actions);
        let order = self.order(now);
        self.start(now, &order, &mut actions);
        let Some(report) = &self.report else { return actions };
        let Some(fencing) = self.fencing else { return actions };
        let used: Vec<&AdapterName> = self.running.names().collect();
        let view = orders::View {
            spec: &self.spec,
            report,
            newest: &self.newest,
            used: &used,
            wanted: &self.queue.names(&order),
            loads: &self.loads,
        };
        if let Some((name, target)) = self.orders.plan(now, &view) {
            let (holder, after) = (self.holder.clone(), Some(report.orders));
            actions.push(Action::Order(Order { name, target, after, holder, fencing }));
        }
        actions
    }

    /// Refuses those that wait for an engine that went away or is leaving:
    /// another may still serve them in time.
    fn refuse_hopeless(&mut self, actions: &mut Vec<Action>) {
        let why = match &self.report {
            None => Refusal::Unready,
            Some(report) if report.leaving => Refusal::Leaving,
            Some(_) => return,
        };
        for waiter in self.queue.clear() {
            actions.push(refuse(waiter.ticket, why, RETRY_MIN));
        }
    }

    /// Waiting requests in their turns. One whose adapter is missing has a load
    /// before it.
    fn order(&self, now: Instant) -> Vec<Ticket> {
        self.queue.order(now, |name| {
            let held = self.report.as_ref().is_some_and(|report| report.version(name).is_some());
            if held { Span::ZERO } else { self.loads.wait(now, name, 0) }
        })
    }

    fn start(&mut self, now: Instant, order: &[Ticket], actions: &mut Vec<Action>) {
        let Some(report) = &self.report else { return };
        let memory = self.memory(report);
        let limit = self.limit();
        self.recent.forget(now, self.gap());
        let mut kept = self.running.kept();
        let mut places = (self.spec.slots as usize).saturating_sub(self.running.len());
        for &ticket in order {
            if places == 0 {
                return;
            }
            let Some(waiter) = self.queue.get(ticket) else { continue };
            let want = &waiter.want;
            let Some(held) = report.version(&want.name) else { continue };
            if self.newest.get(&want.name).is_some_and(|&newest| held < newest) {
                continue;
            }
            // Smaller ones behind do not pass, or a large one would never run.
            let unread = self.running.unread();
            if kept + want.size.total() > memory {
                return;
            }
            if !self.recent.fits(limit, unread, want.size.prompt) {
                self.running.on_held();
                return;
            }
            let version = want.name.adapter.is_some().then_some(held);
            places -= 1;
            kept += want.size.total();
            self.recent.on_grant(now, want.size.prompt);
            self.running.on_grant(now, want);
            self.queue.remove(ticket);
            actions.push(Action::Answer(ticket, Verdict::Granted { version }));
        }
    }

    fn memory(&self, report: &Report) -> u64 {
        let memory = if report.memory > 0 { report.memory } else { self.spec.memory };
        memory * MEMORY_PART / 100
    }

    fn is_old(&self, name: &AdapterName, held: u32) -> bool {
        self.newest.get(name).is_some_and(|&newest| held < newest)
    }

    fn is_used(&self, name: &AdapterName) -> bool {
        self.running.names().any(|used| used == name)
    }
}

fn refuse(ticket: Ticket, why: Refusal, after: Span) -> Action {
    Action::Answer(ticket, Verdict::Refused { why, after })
}
