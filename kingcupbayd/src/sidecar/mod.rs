//! The daemon beside a model engine of a registered fleet.
//!
//! It alone orders the engine about and gives out its places; streams go
//! straight from the engine to the entries. [`desk`] answers entries that want
//! a place, [`engine`] asks the engine for reports and gives it orders, and
//! [`tell`] lets entries know how busy it is; [`metrics`] counts. All decisions
//! are `kingcupbay_core::admission`'s.

pub(crate) mod engine;
pub(crate) mod load_reports;
pub(crate) mod metrics;
pub(crate) mod permits;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use kingcupbay_core::{
    admission::{Action, Admission, Ticket, load_report::LoadReporter},
    time::Instant,
    wire::sidecar::Verdict,
};
use slog::info;
use tokio::sync::{Notify, oneshot};

use crate::registered::Node;

use metrics::Metrics;

/// State of the daemon beside an engine.
pub(crate) struct Sidecar {
    pub(crate) node: Rc<Node>,
    /// The engine's address.
    pub(crate) engine: SocketAddr,
    pub(crate) admission: RefCell<Admission>,
    /// Who waits for a verdict.
    pub(crate) answers: RefCell<BTreeMap<Ticket, oneshot::Sender<Verdict>>>,
    pub(crate) tickets: Cell<u64>,
    /// Orders that the last report counted; before the first, more than any.
    pub(crate) orders: Cell<u64>,
    /// Wakes the loop that asks for reports.
    pub(crate) wake: Notify,
    /// Entries that asked for places lately.
    pub(crate) entries: RefCell<BTreeMap<SocketAddr, EntryState>>,
    pub(crate) metrics: Metrics,
}

/// An entry that asks for places.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    /// When it last did.
    pub(crate) last_request: Instant,
    pub(crate) reporter: LoadReporter,
}

impl Sidecar {
    /// A daemon beside the engine at `engine`.
    pub(crate) fn new(node: Rc<Node>, engine: SocketAddr) -> Sidecar {
        Sidecar {
            admission: RefCell::new(Admission::new(node.host())),
            engine,
            answers: RefCell::default(),
            tickets: Cell::default(),
            orders: Cell::new(u64::MAX),
            wake: Notify::new(),
            entries: RefCell::default(),
            metrics: Metrics::new(node.store.calls()),
            node,
        }
    }

    /// Carries out what the core decided.
    pub(crate) fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(ticket, verdict) => {
                    if let Some(answer) = self.answers.borrow_mut().remove(&ticket) {
                        // The entry may have left; its place comes back by
                        // its own word or the engine's next reports.
                        let _ = answer.send(verdict);
                    }
                }
                Action::Order(order) => {
                    info!(self.node.log, ""; "event" => "order", "model" => &order.name.model,
                        "adapter" => &order.name.adapter, "target" => ?order.target,
                        "after" => order.after, "fencing" => order.fencing);
                    drop(actix_rt::spawn(engine::send_order(self.clone(), order)));
                }
            }
        }
    }
}
