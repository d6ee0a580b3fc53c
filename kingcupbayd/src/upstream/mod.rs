//! The upstream daemon, which runs beside the engines and services of one host.
//!
//! It is the only client of the engines and plain services of its host, so
//! each engine receives orders from one daemon only and each adapter slot has
//! one owner. [`run`] answers the run requests of entries, [`runner`] holds the
//! queue and the slots of one engine, [`engine`] and [`call`] are the clients
//! of engines and services, [`once`] handles calls that run at most once.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _, rc::Rc};

use actix_http::{Request, Response, body::BoxBody};
use kingcupbay_core::{
    config::model::{Serves, Upstream as Row},
    id::{Name, OrganisationId, UpstreamId},
    wire::error::{Code, Failure},
};
use slog::Logger;

use crate::{
    active::ActiveRequests, clock, config::Settings, fleet::Fleet, http::client::Clients,
    metrics::Metrics, server::drain::Drain, store::table::Table,
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
    active: ActiveRequests,
    metrics: Rc<Metrics>,
    drain: Drain,
    log: Logger,
    runners: RefCell<BTreeMap<UpstreamId, Rc<Runner>>>,
    /// Fencing numbers of plain services; the runners hold those of engines.
    fencing_numbers: RefCell<once::FencingNumbers>,
}

impl Upstream {
    /// Creates the state of a daemon that has run nothing yet.
    pub(crate) fn new(
        settings: Rc<Settings>,
        fleet: Rc<Fleet>,
        table: Table,
        clients: Clients,
        metrics: Rc<Metrics>,
        drain: Drain,
        log: Logger,
    ) -> Upstream {
        let (active, runners, fencing_numbers) = Default::default();
        Upstream {
            settings,
            fleet,
            table,
            clients,
            active,
            metrics,
            drain,
            log,
            runners,
            fencing_numbers,
        }
    }

    /// Returns the row of an upstream that this daemon owns.
    ///
    /// Fails if another host owns it, or if it is leaving.
    fn owned_row(&self, id: UpstreamId) -> Result<Row, Failure> {
        let config = self.fleet.config();
        match config.upstreams.get(id) {
            Some(row) if self.owns(&row.host) && !row.leaving => Ok(row.clone()),
            // An entry with an older configuration may still send requests to
            // an upstream that is leaving or has moved to another host.
            _ => Err(Failure::not_run(Code::NoUpstream, "this upstream takes no new work here")),
        }
    }

    /// Returns the name of an organisation, or `removed`.
    fn organisation_name(&self, id: OrganisationId) -> String {
        let config = self.fleet.config();
        config.organisations.get(id).map_or("removed".to_owned(), |row| row.name.to_string())
    }

    /// Returns the name of an upstream, or `removed`.
    fn upstream_name(&self, id: UpstreamId) -> String {
        let config = self.fleet.config();
        config.upstreams.get(id).map_or("removed".to_owned(), |row| row.name.to_string())
    }

    /// Returns whether `host` is the host of this daemon.
    fn owns(&self, host: &Name) -> bool {
        *host == self.settings.daemon.host
    }

    /// Returns the runner of an engine; starts one if there is none for `row`.
    fn runner(self: &Rc<Upstream>, id: UpstreamId, row: &Row) -> Rc<Runner> {
        let mut runners = self.runners.borrow_mut();
        if let Some(runner) = runners.get(&id).filter(|runner| runner.can_serve(row)) {
            return runner.clone();
        }
        let runner = Runner::start(self.clone(), row.clone());
        runners.insert(id, runner.clone());
        runner
    }

    /// Starts a runner for each engine that the configuration assigns to this
    /// host, before its first request arrives, and drops the runners of removed
    /// upstreams. Also starts the task that publishes load reports.
    pub(crate) async fn maintain_runners(self: Rc<Upstream>) {
        actix_rt::spawn(report::publish_periodically(self.clone()));
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

    /// Returns one line for each upstream, followed by its slots, then one line
    /// for each request.
    pub(crate) fn dump(&self) -> String {
        let mut out = String::new();
        let config = self.fleet.config();
        for (id, runner) in self.runners.borrow().iter() {
            let name = config.upstreams.get(*id).map_or("removed", |row| row.name.as_str());
            let _ = write!(out, "{}", runner.dump(name));
        }
        for (id, number) in self.fencing_numbers.borrow().iter() {
            let name = config.upstreams.get(*id).map_or("removed", |row| row.name.as_str());
            let _ = writeln!(out, "upstream={name} fencing={}", number.get().unwrap_or(&0));
        }
        out + &self.active.dump(clock::now())
    }
}

/// Answers `POST /run`.
pub(crate) async fn handle(upstream: Rc<Upstream>, request: Request) -> Response<BoxBody> {
    run::answer(upstream, request).await
}
