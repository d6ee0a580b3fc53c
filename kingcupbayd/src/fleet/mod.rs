//! What this daemon knows of the configuration, and whether it may act on it.
//!
//! [`Fleet`] holds the configuration and the core's gossip, which decides whom
//! to ask and when. [`table`] reads the platform's table and object store,
//! [`peer`] speaks with other daemons, [`accept`] takes patches.

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

/// Age of the newest proof after which this daemon starts nothing new.
pub(crate) const FRESHNESS: Span = FRESHNESS_BOUND;

/// Pause between two looks at what is due; a fifth of the pull period.
const LOOK: Span = Span::from_millis(50);

/// The configuration as this daemon knows it.
///
/// Invariant: `config` has the number that `gossip` stands on.
pub(crate) struct Fleet {
    config: RefCell<Rc<Config>>,
    gossip: RefCell<Gossip>,
    /// Whether a read of the table is on its way that nobody waits for.
    reading: Cell<bool>,
    table: Table,
    objects: Objects,
    clients: Clients,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl Fleet {
    /// A daemon that knows nothing yet and may not act. `incarnation` is drawn
    /// at random at each start.
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
        Fleet { config, gossip, reading: Cell::new(false), table, objects, clients, metrics, log }
    }

    /// The configuration in use.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// The newest number that no daemon with standing misses for longer than
    /// the freshness bound: the one held here once it is settled. What was
    /// merely read from the table is not, because peers that vouch for each
    /// other may act under the number before.
    pub(crate) fn in_force(&self) -> Number {
        let gossip = self.gossip.borrow();
        let number = gossip.standing().number();
        match gossip.standing().is_stable(number) {
            true => number,
            false => Number(number.0.saturating_sub(1)),
        }
    }

    /// Tells the other daemons this one's record of a topic.
    pub(crate) fn publish(&self, topic: Topic, body: Bytes) {
        self.gossip.borrow_mut().records_mut().publish(topic, body);
    }

    /// The records of a topic, each with its member and version.
    pub(crate) fn records(&self, topic: Topic) -> Vec<(MemberId, u32, Bytes)> {
        let gossip = self.gossip.borrow();
        let records = gossip.records().by_topic(topic).iter();
        records.map(|(&id, record)| (id, record.sequence, record.body.clone())).collect()
    }

    /// Whether this daemon may act on what it knows. Asked at each use, since
    /// the process may have been suspended since the last answer.
    pub(crate) fn may_act(&self, now: Instant) -> bool {
        self.gossip.borrow().standing().may_act(now)
    }

    /// Whether a read of the table has shown this daemon's own join.
    pub(crate) fn is_member(&self) -> bool {
        self.gossip.borrow().standing().own_confirmation().is_some()
    }

    /// Whether this daemon's own join is in force, and its predecessor's
    /// membership so over for everybody with standing.
    pub(crate) fn is_joined(&self) -> bool {
        self.is_member() && self.in_force() == self.number()
    }

    /// Reads until this daemon knows `number` or newer.
    pub(crate) async fn catch_up(self: &Rc<Fleet>, number: Number) -> bool {
        if self.number() < number {
            let _ = self.refresh().await;
        }
        self.number() >= number
    }

    fn number(&self) -> Number {
        self.config.borrow().number
    }

    /// Takes a newer configuration into use; numbers never go back.
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

    /// Carries out what gossip decided.
    fn act(self: &Rc<Fleet>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => {
                    actix_rt::spawn(peer::pull(self.clone(), id, to, pull));
                }
                Action::FetchSnapshot { from } => {
                    actix_rt::spawn(peer::fetch_snapshot(self.clone(), from));
                }
                Action::ReadHead => self.read_head(),
                Action::Adopt(config) => self.adopt(*config),
            }
        }
    }
}

/// Keeps the configuration fresh until the daemon ends.
pub(crate) async fn run(fleet: Rc<Fleet>, settings: Rc<Settings>) {
    let pause = LOOK.min(settings.tuning.read_period);
    loop {
        let actions = fleet.gossip.borrow_mut().tick(clock::now());
        fleet.act(actions);
        fleet.metrics.standing.set(i64::from(fleet.may_act(clock::now())));
        tokio::time::sleep(pause.into()).await;
    }
}
