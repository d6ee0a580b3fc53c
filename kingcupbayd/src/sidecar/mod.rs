//! Sidecar: the daemon beside a model engine of a registered fleet.
//!
//! Only the sidecar orders the engine to load and unload adapters, and only it grants
//! permits; streams go straight from the engine to the entries. [`permits`] answers
//! permit requests of entries, [`engine`] fetches the engine's reports and sends it
//! orders, [`load_reports`] reports its load to entries, and [`transfers`] asks them to move
//! streams while the engine leaves; [`metrics`] counts. All decisions are made by
//! `kingcupbay_core::admission`.

pub(crate) mod engine;
pub(crate) mod load_reports;
pub(crate) mod metrics;
pub(crate) mod permits;
pub(crate) mod transfers;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use kingcupbay_core::{
    admission::{Action, Admission, Ticket, load_report::LoadReporter},
    origin::Origins,
    time::Instant,
    wire::sidecar::Verdict,
};
use slog::info;
use tokio::sync::{Notify, oneshot};

use crate::{clock, registered::Node};

use metrics::Metrics;

/// State of a sidecar.
pub(crate) struct Sidecar {
    pub(crate) node: Rc<Node>,
    /// Address of the engine.
    pub(crate) engine: SocketAddr,
    pub(crate) admission: RefCell<Admission>,
    /// Permit requests that wait for a verdict.
    pub(crate) answers: RefCell<BTreeMap<Ticket, oneshot::Sender<Verdict>>>,
    /// Last ticket issued.
    pub(crate) tickets: Cell<u64>,
    /// Number of orders in the last report. `u64::MAX` before the first report.
    pub(crate) orders: Cell<u64>,
    /// Wakes the loop that fetches reports.
    pub(crate) wake: Notify,
    /// Entries that have recently requested permits, by address.
    pub(crate) entries: RefCell<BTreeMap<SocketAddr, EntryState>>,
    /// Origins of streams, kept for the case that all entries are lost.
    pub(crate) origins: RefCell<Origins>,
    /// Running requests, to be moved when the engine leaves.
    pub(crate) transfers: transfers::Transfers,
    pub(crate) metrics: Metrics,
}

/// State kept for an entry that requests permits.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    /// Time of its last permit request.
    pub(crate) last_request: Instant,
    /// State of the load reports sent to it.
    pub(crate) reporter: LoadReporter,
}

impl Sidecar {
    /// Creates the state of the sidecar of the engine at `engine`.
    pub(crate) fn new(node: Rc<Node>, engine: SocketAddr) -> Sidecar {
        let mut admission = Admission::new(node.host());
        admission.on_start(clock::now(), clock::unix_millis());
        Sidecar {
            admission: RefCell::new(admission),
            engine,
            answers: RefCell::default(),
            tickets: Cell::default(),
            orders: Cell::new(u64::MAX),
            wake: Notify::new(),
            entries: RefCell::default(),
            origins: RefCell::default(),
            transfers: transfers::Transfers::default(),
            metrics: Metrics::new(&node.store, &node.control),
            node,
        }
    }

    /// Carries out the core's decisions.
    pub(crate) fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(ticket, verdict) => {
                    if let Some(answer) = self.answers.borrow_mut().remove(&ticket) {
                        // If the entry has stopped waiting, it releases the permit, or
                        // the engine's next reports show that nothing runs under it.
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
