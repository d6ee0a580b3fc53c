//! The configuration as this daemon knows it, and whether it may act on it.
//!
//! [`Fleet`] holds the configuration and the core's gossip, which decides when to
//! pull from which peer. [`table`] reads and writes the platform's table and
//! object store, [`peer`] exchanges messages with other daemons, [`accept`]
//! accepts patches.

mod accept;
mod peer;
mod table;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use kingcupbay_core::{
    config::model::Config,
    gossip::{self, Action, Gossip, record::Topic},
    id::{MemberId, Name, Number},
    standing::{self, FRESHNESS_BOUND, Standing},
    time::{Instant, Span},
};
use slog::{Logger, info};

use crate::{
    clock,
    config::Settings,
    http::client::Clients,
    metrics::Metrics,
    store::{object::Objects, table::Table},
};

pub(crate) use accept::PatchOutcome;
pub(crate) use peer::{handle_pull, handle_snapshot};
pub(crate) use table::{decode, encode};

/// Age of the newest proof of freshness after which a daemon starts nothing new.
pub(crate) const FRESHNESS: Span = FRESHNESS_BOUND;

/// Period of gossip ticks: a fifth of the pull period.
const TICK_PERIOD: Span = Span::from_millis(50);

/// The configuration as this daemon knows it.
///
/// Invariant: the numbers of `config` and of the standing in `gossip` are equal.
pub(crate) struct Fleet {
    config: RefCell<Rc<Config>>,
    gossip: RefCell<Gossip>,
    /// Whether a background read of the table is in progress.
    refreshing: Cell<bool>,
    table: Table,
    objects: Objects,
    clients: Clients,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl Fleet {
    /// Creates the state of a daemon that has no configuration yet and may not
    /// act. `incarnation` is drawn at random at each start.
    pub(crate) fn new(
        settings: &Settings,
        incarnation: u64,
        table: Table,
        objects: Objects,
        clients: Clients,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Fleet {
        let read_period = settings.tuning.read_period;
        let settings = gossip::Settings { read_period, ..Default::default() };
        let standing = Standing::new(standing::Settings::default());
        let gossip = RefCell::new(Gossip::new(settings, standing, incarnation, incarnation));
        let config = RefCell::new(Rc::new(Config::default()));
        Fleet {
            config,
            gossip,
            refreshing: Cell::new(false),
            table,
            objects,
            clients,
            metrics,
            log,
        }
    }

    /// Returns the configuration in use.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Returns the newest number that no daemon with standing lacks for longer
    /// than the freshness bound. That is the number held here once it is stable.
    /// Before that, peers that confirm each other may still act under the
    /// previous number, even if this daemon has read the new one from the table.
    pub(crate) fn in_force(&self) -> Number {
        let gossip = self.gossip.borrow();
        let number = gossip.standing().number();
        match gossip.standing().is_stable(number) {
            true => number,
            false => Number(number.0.saturating_sub(1)),
        }
    }

    /// Publishes this daemon's record of a topic to the other daemons.
    pub(crate) fn publish(&self, topic: Topic, body: Bytes) {
        self.gossip.borrow_mut().records_mut().publish(topic, body);
    }

    /// Returns the records of a topic, each with its member and version.
    pub(crate) fn records(&self, topic: Topic) -> Vec<(MemberId, u32, Bytes)> {
        let gossip = self.gossip.borrow();
        let records = gossip.records().by_topic(topic).iter();
        records.map(|(&id, record)| (id, record.sequence, record.body.clone())).collect()
    }

    /// Returns whether this daemon may act on its configuration. Must be called
    /// at each use, because the process may have been suspended since the last
    /// call.
    pub(crate) fn may_act(&self, now: Instant) -> bool {
        self.gossip.borrow().standing().may_act(now)
    }

    /// Returns whether a read of the table has shown this daemon's own join.
    pub(crate) fn is_member(&self) -> bool {
        self.gossip.borrow().standing().own_confirmation().is_some()
    }

    /// Returns whether this daemon's own join is in force. Then the membership of
    /// its predecessor has ended for every daemon with standing.
    pub(crate) fn is_joined(&self) -> bool {
        self.is_member() && self.in_force() == self.number()
    }

    /// Reads the table if this daemon does not know `number` yet. Returns whether
    /// it now knows `number` or a newer one.
    pub(crate) async fn catch_up(self: &Rc<Fleet>, number: Number) -> bool {
        if self.number() < number {
            let _ = self.refresh().await;
        }
        self.number() >= number
    }

    fn number(&self) -> Number {
        self.config.borrow().number
    }

    /// Replaces the configuration by a newer one. An older one is ignored.
    fn adopt(&self, config: Config) {
        if config.number <= self.number() {
            return;
        }
        info!(self.log, ""; "event" => "config", "number" => config.number.0);
        self.metrics.config_number.set(config.number.0 as i64);
        let names = config.organisation_names.keys();
        self.metrics.on_organisations(names.map(Name::as_str));
        *self.config.borrow_mut() = Rc::new(config);
    }

    /// Executes actions of the gossip.
    fn execute(self: &Rc<Fleet>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => {
                    actix_rt::spawn(peer::pull(self.clone(), id, to, pull));
                }
                Action::FetchSnapshot { from } => {
                    actix_rt::spawn(peer::fetch_snapshot(self.clone(), from));
                }
                Action::ReadHead => self.spawn_refresh(),
                Action::Adopt(config) => self.adopt(*config),
            }
        }
    }
}

/// Refreshes the configuration until the daemon ends.
pub(crate) async fn run(fleet: Rc<Fleet>, settings: Rc<Settings>) {
    let pause = TICK_PERIOD.min(settings.tuning.read_period);
    loop {
        let actions = fleet.gossip.borrow_mut().tick(clock::now());
        fleet.execute(actions);
        fleet.metrics.standing.set(i64::from(fleet.may_act(clock::now())));
        tokio::time::sleep(pause.into()).await;
    }
}
