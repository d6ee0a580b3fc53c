//! A daemon of a fleet whose configuration and upstreams the platform keeps.
//!
//! The operator writes the whole configuration to the store and upstreams
//! register themselves there. [`store`] calls it, [`follow`] keeps the
//! [`Catalogue`] up to date from its feeds, or from other daemons while it is
//! away ([`copies`]); [`listen`] says when an entry leaves reading to others; [`members`] lists the entries there and [`tallies`] tells
//! them what organisations have used; [`message`] reads what daemons tell each other. [`start`] sets up either role:
//! `gateway` in front of callers, `sidecar` beside an engine.

pub(crate) mod follow;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod read_positions;
pub(crate) mod rows;
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

use rows::Rows;
use store::Store;

/// What both roles share.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) registry: Registry,
    /// Where other daemons reach this one.
    pub(crate) peer_address: SocketAddr,
    /// Drawn at the start of this process.
    pub(crate) incarnation: u64,
    pub(crate) pool: Pool,
    pub(crate) store: Store,
    /// The store's version at the first read, under which orders are given.
    pub(crate) fencing: Cell<Option<u64>>,
    /// The store has taken this entry's registration.
    pub(crate) registered: Cell<bool>,
    pub(crate) catalogue: RefCell<Catalogue>,
    /// How far each table is known.
    pub(crate) read_positions: RefCell<ReadPositions>,
    /// The operator's rows as read, for daemons that cannot read them.
    pub(crate) rows: RefCell<Rows>,
    /// Told whenever the catalogue has changed.
    pub(crate) changed: Notify,
    /// Told whenever the store has failed a call of the first feed.
    pub(crate) store_failure: Notify,
    /// Told whenever another entry's reading shows that something is missing here.
    pub(crate) behind: Notify,
    pub(crate) drain: Drain,
    pub(crate) log: Logger,
}

impl Node {
    /// A daemon that knows nothing yet.
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
            catalogue: RefCell::default(),
            read_positions: RefCell::default(),
            rows: RefCell::default(),
            changed: Notify::new(),
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

    /// The configuration in force.
    pub(crate) fn deployment(&self) -> Option<Rc<Deployment>> {
        self.catalogue.borrow().deployment().cloned()
    }

    /// Its number, the lowest before one is known.
    pub(crate) fn number(&self) -> Number {
        self.deployment().map_or_else(Number::default, |deployment| deployment.number)
    }

    /// Where other daemons reach the one on `host`, if it is listed.
    pub(crate) fn address_of(&self, host: &str) -> Option<SocketAddr> {
        let catalogue = self.catalogue.borrow();
        let member = catalogue.members().find(|member| member.host == host);
        member.map(|member| member.address)
    }

    /// Name of this host.
    pub(crate) fn host(&self) -> &str {
        self.settings.daemon.host.as_str()
    }

    /// Lets what hangs on time happen.
    pub(crate) fn tick(&self, now: Instant) {
        for id in self.catalogue.borrow_mut().on_tick(now) {
            info!(self.log, ""; "event" => "upstream_gone", "id" => id, "why" => "stayed away");
        }
    }
}
