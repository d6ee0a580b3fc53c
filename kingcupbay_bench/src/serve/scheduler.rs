//! Queue and slots of one runner, managed by the core or by the baseline.

use std::collections::BTreeMap;

use kingcupbay_core::{
    id::{RequestId, VersionId},
    queue::{self, Entry, GivenUp, Queue},
    route::Report,
    slot::{self, Action, EngineReport, Order, Outcome, Pin, Slots},
    time::{Instant, Span},
};

use super::lru::Lru;

/// Parameters of the core's policies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tuning {
    pub(crate) queue: queue::Limits,
    pub(crate) slot: slot::Limits,
    pub(crate) route: kingcupbay_core::route::Limits,
}

/// Decides for one runner which adapters are loaded and which requests start.
#[derive(Debug)]
pub(crate) enum Scheduler {
    Core { queue: Box<Queue>, slots: Box<Slots>, pins: BTreeMap<RequestId, Pin> },
    Lru(Lru),
}

/// Decisions that a change at a runner leads to.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) orders: Vec<Action>,
    pub(crate) started: Vec<Entry>,
    pub(crate) given_up: Vec<GivenUp>,
}

impl Scheduler {
    pub(crate) fn core(tuning: &Tuning, slots: u32) -> Scheduler {
        let mut slots = Slots::new(tuning.slot, slots, 1);
        slots.on_incarnation(Instant::default(), 0);
        let queue = Box::new(Queue::new(tuning.queue));
        Scheduler::Core { queue, slots: Box::new(slots), pins: BTreeMap::new() }
    }

    pub(crate) fn lru(slots: u32) -> Scheduler {
        Scheduler::Lru(Lru::new(slots))
    }

    pub(crate) fn push(&mut self, now: Instant, entry: Entry) -> Option<GivenUp> {
        match self {
            Scheduler::Core { queue, slots, .. } => {
                slots.touch(now, entry.version);
                queue.push(now, entry)
            }
            Scheduler::Lru(lru) => {
                lru.push(entry);
                None
            }
        }
    }

    /// Expires requests, orders loads within `budget` and starts at most `free`
    /// requests.
    pub(crate) fn step(&mut self, now: Instant, budget: u32, free: usize) -> Step {
        match self {
            Scheduler::Core { queue, slots, pins } => {
                let given_up = queue.expire(now);
                let orders = slots.plan(now, &queue.waits(), budget);
                let next = std::iter::from_fn(|| {
                    let entry = queue.start_next(now, |version| slots.is_ready(version))?;
                    let pin = slots.pin(entry.version, entry.request);
                    pins.insert(entry.request, pin.expect("a ready version is loaded"));
                    Some(entry)
                });
                let started = next.take(free).collect();
                Step { orders, started, given_up }
            }
            Scheduler::Lru(lru) => {
                let given_up = lru.expire(now);
                let orders = lru.plan(now, budget);
                let started = std::iter::from_fn(|| lru.start_next(now)).take(free).collect();
                Step { orders, started, given_up }
            }
        }
    }

    pub(crate) fn on_load(&mut self, now: Instant, order: Order, outcome: Outcome) -> Vec<GivenUp> {
        match self {
            Scheduler::Core { queue, slots, .. } => {
                let actions = slots.on_load(now, order, outcome).into_iter();
                actions
                    .flat_map(|action| match action {
                        Action::Failed { version, retry_after } => queue.fail(version, retry_after),
                        _ => Vec::new(),
                    })
                    .collect()
            }
            Scheduler::Lru(lru) => lru.on_load(order, outcome),
        }
    }

    pub(crate) fn on_unload(&mut self, now: Instant, order: Order) {
        match self {
            Scheduler::Core { slots, .. } => {
                slots.on_unload(now, order, Outcome::Done);
            }
            Scheduler::Lru(lru) => lru.on_unload(order),
        }
    }

    /// Applies a restart of the engine; returns the requests that it lost.
    pub(crate) fn restart(&mut self, now: Instant, incarnation: u64) -> Vec<RequestId> {
        match self {
            Scheduler::Core { queue, slots, pins } => {
                let report = EngineReport { incarnation, as_of: now, loaded: Vec::new() };
                let actions = slots.on_report(now, &report).into_iter();
                let lost = actions.filter_map(|action| match action {
                    Action::Lost { request } => Some(request),
                    _ => None,
                });
                let lost: Vec<RequestId> = lost.collect();
                for request in &lost {
                    pins.remove(request);
                    queue.finish(*request, 0);
                }
                lost
            }
            Scheduler::Lru(lru) => lru.restart(),
        }
    }

    pub(crate) fn finish(&mut self, request: RequestId, tokens: u64) {
        match self {
            Scheduler::Core { queue, pins, .. } => {
                pins.remove(&request);
                queue.finish(request, tokens);
            }
            Scheduler::Lru(lru) => lru.finish(request),
        }
    }

    pub(crate) fn is_ready(&self, version: VersionId) -> bool {
        match self {
            Scheduler::Core { slots, .. } => slots.is_ready(version),
            Scheduler::Lru(lru) => lru.is_ready(version),
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        match self {
            Scheduler::Core { queue, .. } => queue.len(),
            Scheduler::Lru(lru) => lru.waiting(),
        }
    }

    /// Returns the load report for the entries; none for the baseline, whose entries
    /// route at random.
    pub(crate) fn report(&self, running: usize, places: usize, seq: u64) -> Option<Report> {
        let Scheduler::Core { queue, slots, .. } = self else { return None };
        Some(Report {
            loaded: slots.loaded_versions(),
            running: running as u32,
            waiting: queue.len() as u32,
            places: places as u32,
            seq,
        })
    }

    /// Returns when to decide again if no event occurs before.
    pub(crate) fn next_due(&self, now: Instant) -> Option<Instant> {
        (self.waiting() > 0).then_some(now + Span::from_millis(100))
    }
}
