//! Daemons of a registered fleet, whose configuration and upstreams are kept in the
//! platform's store.
//!
//! The operator writes the whole configuration to the store, and upstreams register
//! themselves there. [`store`] is the client of the store. [`follow`] keeps the
//! [`Catalogue`] up to date from the store's feeds, or from other daemons while the
//! store is not available ([`rows`]). [`read_positions`] decides when an entry relies on
//! what other entries have read, and [`confirm`] whether the configuration may deny a request.
//! [`members`] maintains the list of entries in the store,
//! [`usage`] sends them usage reports, [`limiters`] asks the entries that keep limits,
//! [`evacuations`] reports evacuated zones, [`origins`] which software began each stream
//! and [`mixed_services`] where that matters, [`parts`] on which
//! parts of prompts engines crash, [`fatal`] under which requests upstreams end, [`message`] reads messages of other daemons, and
//! [`control`] calls them and counts that. [`specs`] spares sidecars reads of the operator's
//! rows.
//! [`start`] sets up either role: `gateway` for entries, `sidecar` beside an engine.

pub(crate) mod confirm;
pub(crate) mod control;
pub(crate) mod evacuations;
pub(crate) mod fatal;
pub(crate) mod follow;
pub(crate) mod limiters;
pub(crate) mod limits;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod mixed_services;
pub(crate) mod origins;
pub(crate) mod parts;
pub(crate) mod read_positions;
pub(crate) mod rows;
pub(crate) mod specs;
pub(crate) mod start;
pub(crate) mod store;
pub(crate) mod usage;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use kingcupbay_core::{
    deployment::{catalogue::Catalogue, model::Deployment, read_positions::ReadPositions},
    id::Number,
    time::Instant,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    config::{Registry, Settings},
    http::pool::Pool,
    server::drain::Drain,
};

use confirm::Confirmation;
use control::ControlMetrics;
use rows::Rows;
use store::Store;

/// State that both roles share.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) registry: Registry,
    /// Address at which other daemons reach this one.
    pub(crate) peer_address: SocketAddr,
    /// Random number drawn when this process starts.
    pub(crate) incarnation: u64,
    pub(crate) pool: Pool,
    pub(crate) store: Store,
    /// Version of the store at the first read, which is the fencing number of orders.
    pub(crate) fencing: Cell<Option<u64>>,
    /// Whether the store has accepted this entry's registration.
    pub(crate) registered: Cell<bool>,
    /// Number of listed entries.
    pub(crate) entries: Cell<usize>,
    /// Whether this daemon reads the store itself at all times.
    pub(crate) reader: Cell<bool>,
    /// Whether this entry learns of changes from limiters.
    pub(crate) follower: Cell<bool>,
    /// When this sidecar last read the operator's rows, or an entry last confirmed the
    /// specification of its engine.
    pub(crate) spec_confirmed: Cell<Option<Instant>>,
    /// Messages to other daemons.
    pub(crate) control: ControlMetrics,
    pub(crate) catalogue: RefCell<Catalogue>,
    /// Versions up to which the tables are known.
    pub(crate) read_positions: RefCell<ReadPositions>,
    /// Whether the store confirms the configuration.
    pub(crate) confirmation: Confirmation,
    /// The same for the registrations of upstreams.
    pub(crate) upstream_confirmation: Confirmation,
    /// The operator's rows as read, for daemons that cannot reach the store.
    pub(crate) rows: RefCell<Rows>,
    /// Notified when the catalogue has changed.
    pub(crate) changed: Notify,
    /// Notified when an availability zone was evacuated or restored.
    pub(crate) evacuated: Notify,
    /// Notified when a call of the operator table's feed has failed.
    pub(crate) store_failure: Notify,
    /// Notified when another entry's read position shows that changes are missing here.
    pub(crate) behind: Notify,
    pub(crate) drain: Drain,
    pub(crate) log: Logger,
}

impl Node {
    /// Creates the state of a daemon that knows no configuration yet.
    pub(crate) fn new(
        settings: Settings,
        registry: Registry,
        peer_address: SocketAddr,
        log: Logger,
    ) -> Node {
        let mut incarnation = [0; 8];
        getrandom::fill(&mut incarnation).expect("the system's random source works");
        let pool = Pool::default();
        Node {
            incarnation: u64::from_le_bytes(incarnation),
            store: Store::new(pool.clone(), registry.store, log.clone()),
            fencing: Cell::default(),
            registered: Cell::default(),
            entries: Cell::default(),
            reader: Cell::new(true),
            follower: Cell::default(),
            spec_confirmed: Cell::default(),
            control: ControlMetrics::new(),
            catalogue: RefCell::default(),
            read_positions: RefCell::default(),
            confirmation: Confirmation::default(),
            upstream_confirmation: Confirmation::default(),
            rows: RefCell::default(),
            changed: Notify::new(),
            evacuated: Notify::new(),
            store_failure: Notify::new(),
            behind: Notify::new(),
            drain: Drain::new(),
            settings,
            registry,
            peer_address,
            pool,
            log,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn deployment(&self) -> Option<Rc<Deployment>> {
        self.catalogue.borrow().deployment().cloned()
    }

    /// Returns the configuration number, the lowest before a configuration is known.
    pub(crate) fn number(&self) -> Number {
        self.deployment().map_or_else(Number::default, |deployment| deployment.number)
    }

    /// Returns the address of the daemon on `host`, if it is listed.
    pub(crate) fn address_of(&self, host: &str) -> Option<SocketAddr> {
        let catalogue = self.catalogue.borrow();
        let member = catalogue.members().find(|member| member.host == host);
        member.map(|member| member.address)
    }

    /// Returns the name of this host.
    pub(crate) fn host(&self) -> &str {
        self.settings.daemon.host.as_str()
    }

    /// Drops upstreams that did not register again after an outage of the store.
    pub(crate) fn tick(&self, now: Instant) {
        evacuations::on_tick(self);
        for id in self.catalogue.borrow_mut().on_tick(now) {
            info!(self.log, ""; "event" => "upstream_gone", "id" => id, "why" => "stayed away");
        }
    }
}
