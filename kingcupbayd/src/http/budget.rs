//! Memory for what callers make the process hold: bodies and answers that are not read.
//!
//! Each body and answer has a bound, and so have all of them together. The first bytes of each
//! are not counted, as the number of connections bounds them.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use kingcupbay_core::{
    memory::{HoldId, Memory},
    time::{Instant, Span},
};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use slog::{Logger, warn};
use tokio::sync::oneshot;

use crate::clock;

/// Bytes of one body or answer that are held whatever the others hold.
pub(crate) const FREE_BYTES: usize = 8 << 10;

/// Parts of a process's memory that bodies and answers may hold, as divisors. The rest is for the
/// process itself and for what each connection needs.
const BODIES_DIVISOR: usize = 4;
const ANSWERS_DIVISOR: usize = 8;
const MESSAGES_DIVISOR: usize = 8;

/// Longest wait for room.
const ROOM_TIMEOUT: Span = Span::from_secs(2);

/// Pause between two looks for a client that stalls.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most bodies and answers that wait for room; more of them are refused at once.
const WAITING_MAX: usize = 256;

/// Shortest time between two log lines about clients that were given up.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Memory that all connections share for one purpose.
#[derive(Clone)]
pub(crate) struct Budget(Rc<Shared>);

/// Memory of the connections of a listener. Bodies and answers have parts of their own: a request
/// holds its body until it has its answer.
#[derive(Clone)]
pub(crate) struct ConnectionMemory {
    pub(crate) bodies: Budget,
    pub(crate) answers: Budget,
}

impl ConnectionMemory {
    /// Creates the memory for callers of a process that may use `memory` bytes.
    pub(crate) fn of_callers(memory: usize, log: &Logger) -> ConnectionMemory {
        ConnectionMemory {
            bodies: Budget::new("bodies", memory / BODIES_DIVISOR, Some(log.clone())),
            answers: Budget::new("answers", memory / ANSWERS_DIVISOR, Some(log.clone())),
        }
    }

    /// Creates the memory for other daemons and operators of a process that may use `memory`
    /// bytes. Callers cannot use it up.
    pub(crate) fn of_daemons(memory: usize, log: &Logger) -> ConnectionMemory {
        let messages = Budget::new("messages", memory / MESSAGES_DIVISOR, Some(log.clone()));
        ConnectionMemory { bodies: messages.clone(), answers: messages }
    }

    /// Exports the metrics of both parts.
    pub(crate) fn register(&self, registry: &Registry) {
        self.bodies.register(registry);
        self.answers.register(registry);
    }
}

struct Shared {
    memory: RefCell<Memory>,
    /// Notified once the hold is granted.
    waiting: RefCell<BTreeMap<HoldId, oneshot::Sender<()>>>,
    /// Called if the hold is given up because its client stalls.
    given_up: RefCell<BTreeMap<HoldId, Box<dyn FnOnce()>>>,
    purpose: &'static str,
    metrics: BudgetMetrics,
    unlogged: RefCell<Unlogged>,
    log: Option<Logger>,
}

/// Metrics of a budget.
struct BudgetMetrics {
    held: IntGauge,
    waiting: IntGauge,
    /// Bodies and answers without room, by what became of them.
    shortages: IntCounterVec,
}

/// Clients that were given up since the last line of the log, and its time.
#[derive(Default)]
struct Unlogged {
    clients: u64,
    logged: Option<Instant>,
}

/// Bytes held by one body or answer, released on drop.
pub(crate) struct Held {
    budget: Budget,
    owner: String,
    /// Set once more than the free bytes are held.
    id: Option<HoldId>,
}

/// Bytes with the memory that is counted for them.
pub(crate) struct HeldBytes {
    pub(crate) bytes: Bytes,
    pub(crate) held: Held,
}

impl Budget {
    /// Creates a budget of `limit` bytes for `purpose`.
    fn new(purpose: &'static str, limit: usize, log: Option<Logger>) -> Budget {
        Budget(Rc::new(Shared {
            memory: RefCell::new(Memory::new(limit)),
            waiting: RefCell::default(),
            given_up: RefCell::default(),
            purpose,
            metrics: BudgetMetrics::new(purpose),
            unlogged: RefCell::default(),
            log,
        }))
    }

    /// Creates a budget without a limit.
    pub(crate) fn unlimited() -> Budget {
        Budget::new("unlimited", usize::MAX, None)
    }

    /// Exports the budget's metrics.
    fn register(&self, registry: &Registry) {
        let BudgetMetrics { held, waiting, shortages } = &self.0.metrics;
        let unique = "no other metric has its name";
        registry.register(Box::new(held.clone())).expect(unique);
        registry.register(Box::new(waiting.clone())).expect(unique);
        registry.register(Box::new(shortages.clone())).expect(unique);
    }

    /// Begins to count a body or an answer of the organisation `owner`.
    pub(crate) fn begin(&self, owner: Option<&str>) -> Held {
        Held { budget: self.clone(), owner: owner.unwrap_or_default().to_owned(), id: None }
    }

    /// Grants what there is room for, and wakes it.
    fn grant(&self) {
        let mut memory = self.0.memory.borrow_mut();
        let granted = memory.grant();
        self.0.metrics.held.set(memory.used() as i64);
        self.0.metrics.waiting.set(memory.waiting() as i64);
        drop(memory);
        let mut waiting = self.0.waiting.borrow_mut();
        for id in granted {
            if let Some(sender) = waiting.remove(&id) {
                // A waiter that is gone releases its hold.
                let _ = sender.send(());
            }
        }
    }

    /// Gives up clients that stall, as far as the next one that waits needs their memory.
    fn give_up_stalled(&self) {
        let now = clock::now();
        let stalled = self.0.memory.borrow_mut().give_up_stalled(now);
        for id in stalled {
            let Some(give_up) = self.0.given_up.borrow_mut().remove(&id) else { continue };
            give_up();
            self.0.metrics.shortages.with_label_values(&["stalled"]).inc();
            self.log_stalled(now);
        }
    }

    /// Logs that a client was given up, at most one line in a while.
    fn log_stalled(&self, now: Instant) {
        let Some(log) = &self.0.log else { return };
        let mut unlogged = self.0.unlogged.borrow_mut();
        unlogged.clients += 1;
        if unlogged.logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        let memory = self.0.memory.borrow();
        let most = memory.owners().max_by_key(|&(_, bytes)| bytes).map_or("", |(name, _)| name);
        warn!(log, ""; "event" => "stalled_clients", "what" => self.0.purpose, "given_up" => unlogged.clients,
            "held" => memory.used(), "waiting" => memory.waiting(), "most" => most);
        *unlogged = Unlogged { clients: 0, logged: Some(now) };
    }
}

impl BudgetMetrics {
    fn new(purpose: &str) -> BudgetMetrics {
        let valid = "the name and the labels are valid";
        let options = |name: &str, help: &str| Opts::new(name, help).const_label("what", purpose);
        let gauge = |name: &str, help: &str| IntGauge::with_opts(options(name, help)).expect(valid);
        let shortages = options(
            "kingcupbay_no_room_total",
            "Bodies and answers of callers without memory, by what became of them",
        );
        BudgetMetrics {
            held: gauge("kingcupbay_held_bytes", "Memory held by bodies and answers of callers"),
            waiting: gauge("kingcupbay_waiting_for_memory", "Bodies and answers without memory"),
            shortages: IntCounterVec::new(shortages, &["outcome"]).expect(valid),
        }
    }
}

impl Held {
    /// Counts that up to `length` bytes are held. Waits for room; fails if none comes in time.
    pub(crate) async fn hold(&mut self, length: usize) -> Result<(), NoRoom> {
        if length <= FREE_BYTES {
            return Ok(());
        }
        let shared = self.budget.0.clone();
        let id = *self.id.get_or_insert_with(|| shared.memory.borrow_mut().open(&self.owner));
        shared.memory.borrow_mut().ask(id, length);
        self.budget.grant();
        if !shared.memory.borrow().is_waiting(id) {
            return Ok(());
        }
        let waiting = shared.memory.borrow().waiting();
        let granted =
            waiting <= WAITING_MAX && clock::timeout(ROOM_TIMEOUT, self.wait(id)).await.is_some();
        if granted {
            return Ok(());
        }
        // The next one may fit.
        self.release();
        shared.metrics.shortages.with_label_values(&["refused"]).inc();
        Err(NoRoom)
    }

    async fn wait(&self, id: HoldId) {
        let (sender, mut receiver) = oneshot::channel();
        self.budget.0.waiting.borrow_mut().insert(id, sender);
        loop {
            self.budget.give_up_stalled();
            tokio::select! {
                _ = &mut receiver => return,
                () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Sets what is called if the client stalls while others wait for room.
    pub(crate) fn on_stall(&self, give_up: impl FnOnce() + 'static) {
        let Some(id) = self.id else { return };
        self.budget.0.given_up.borrow_mut().insert(id, Box::new(give_up));
        self.on_moved(0);
    }

    /// Records that the client has moved `bytes`.
    pub(crate) fn on_moved(&self, bytes: usize) {
        if let Some(id) = self.id {
            self.budget.0.memory.borrow_mut().on_moved(clock::now(), id, bytes);
        }
    }

    /// Records that nothing depends on the client any more, and that `length` bytes are held.
    pub(crate) fn on_complete(&self, length: usize) {
        let Some(id) = self.id else { return };
        self.budget.0.given_up.borrow_mut().remove(&id);
        let mut memory = self.budget.0.memory.borrow_mut();
        memory.on_complete(id);
        memory.shrink(id, length);
        drop(memory);
        self.budget.grant();
    }

    fn release(&mut self) {
        let Some(id) = self.id.take() else { return };
        self.budget.0.given_up.borrow_mut().remove(&id);
        self.budget.0.waiting.borrow_mut().remove(&id);
        self.budget.0.memory.borrow_mut().close(id);
        self.budget.grant();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}
