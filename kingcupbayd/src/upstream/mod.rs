//! The upstream daemon: in the slot beside one upstream host.
//!
//! It alone speaks to the engines and plain services there, so each engine
//! has one orderer and each adapter slot one owner. [`run`] answers orders of
//! entries, [`runner`] keeps one engine's queue and slots, [`engine`] and
//! [`call`] speak to engines and services, [`once`] claims calls that run at
//! most once.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _, rc::Rc};

use actix_http::{Request, Response, body::BoxBody};
use kingcupbay_core::{
    config::model::{Serves, Upstream as Row},
    id::{Name, OrganisationId, UpstreamId},
    wire::error::{Code, Failure},
};
use slog::Logger;

use crate::{
    active::Active, clock, config::Settings, fleet::Fleet, http::client::Clients, metrics::Metrics,
    server::drain::Drain, store::table::Table,
};

mod call;
mod engine;
mod fence;
mod once;
mod report;
mod run;
mod runner;

use runner::Runner;

/// State of an upstream daemon.
pub(crate) struct Upstream {
    settings: Rc<Settings>,
    fleet: Rc<Fleet>,
    table: Table,
    clients: Clients,
    active: Active,
    metrics: Rc<Metrics>,
    drain: Drain,
    log: Logger,
    runners: RefCell<BTreeMap<UpstreamId, Rc<Runner>>>,
    numbers: RefCell<once::Numbers>,
}

impl Upstream {
    /// An upstream daemon that has run nothing.
    pub(crate) fn new(
        settings: Rc<Settings>,
        fleet: Rc<Fleet>,
        table: Table,
        clients: Clients,
        metrics: Rc<Metrics>,
        drain: Drain,
        log: Logger,
    ) -> Upstream {
        let (active, runners, numbers) = Default::default();
        Upstream { settings, fleet, table, clients, active, metrics, drain, log, runners, numbers }
    }

    /// The row of an upstream that this daemon owns.
    fn own(&self, id: UpstreamId) -> Result<Row, Failure> {
        let config = self.fleet.config();
        match config.upstreams.get(id) {
            Some(row) if self.owns(&row.host) && !row.leaving => Ok(row.clone()),
            // Also where an entry missed the news that it leaves or moved.
            _ => Err(Failure::not_run(Code::NoUpstream, "this upstream takes no new work here")),
        }
    }

    fn organisation_name(&self, id: OrganisationId) -> String {
        let config = self.fleet.config();
        config.organisations.get(id).map_or("removed".to_owned(), |row| row.name.to_string())
    }

    fn upstream_name(&self, id: UpstreamId) -> String {
        let config = self.fleet.config();
        config.upstreams.get(id).map_or("removed".to_owned(), |row| row.name.to_string())
    }

    fn owns(&self, host: &Name) -> bool {
        *host == self.settings.daemon.host
    }

    fn runner(self: &Rc<Upstream>, id: UpstreamId, row: &Row) -> Rc<Runner> {
        let mut runners = self.runners.borrow_mut();
        if let Some(runner) = runners.get(&id).filter(|runner| runner.serves(row)) {
            return runner.clone();
        }
        let runner = Runner::start(self.clone(), row.clone());
        runners.insert(id, runner.clone());
        runner
    }

    /// Starts the runners of the engines that the configuration gives to this
    /// host, before the first request for one comes.
    pub(crate) async fn maintain_runners(self: Rc<Upstream>) {
        actix_rt::spawn(report::keep(self.clone()));
        loop {
            let config = self.fleet.config();
            for (id, row) in config.upstreams.iter() {
                if self.owns(&row.host) && matches!(row.serves, Serves::Model { .. }) {
                    self.runner(id, row);
                }
            }
            self.runners.borrow_mut().retain(|id, _| config.upstreams.get(*id).is_some());
            tokio::time::sleep(self.settings.tuning.read_period.into()).await;
        }
    }

    /// A line for each upstream, followed by its slots; then one for each
    /// request.
    pub(crate) fn dump(&self) -> String {
        let mut out = String::new();
        let config = self.fleet.config();
        for (id, runner) in self.runners.borrow().iter() {
            let name = config.upstreams.get(*id).map_or("removed", |row| row.name.as_str());
            let _ = write!(out, "{}", runner.dump(name));
        }
        for (id, number) in self.numbers.borrow().iter() {
            let name = config.upstreams.get(*id).map_or("removed", |row| row.name.as_str());
            let _ = writeln!(out, "upstream={name} fencing={}", number.get().unwrap_or(&0));
        }
        out + &self.active.dump(clock::now())
    }
}

/// `POST /run`.
pub(crate) async fn handle(upstream: Rc<Upstream>, request: Request) -> Response<BoxBody> {
    run::answer(upstream, request).await
}
