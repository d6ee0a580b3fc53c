//! The entry: beside callers, behind the balancer.
//!
//! [`head`] reads what a request's headers say, [`prompt`] its body;
//! [`admission`] decides whether it may run; [`relay`] carries it through
//! upstream daemons, with retries and resumption; [`answer`] gives the relay's
//! steps the shape that the caller asked for. [`call`] is the same for plain
//! services, [`models`] lists what a key may name.

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::wire::error::{Code, Failure};
use slog::Logger;

use crate::{
    active::Active,
    clock,
    config::Settings,
    fleet::Fleet,
    http::{client::Clients, reply},
    metrics::Metrics,
    server::drain::{Drain, Phase},
    share::Shares,
};

mod admission;
mod answer;
mod call;
mod head;
mod models;
mod outcome;
mod prompt;
mod relay;
mod route;

pub(crate) use answer::new_request_id;

/// State of an entry.
pub(crate) struct Entry {
    settings: Rc<Settings>,
    fleet: Rc<Fleet>,
    shares: Rc<Shares>,
    routes: route::Routes,
    clients: Clients,
    active: Active,
    metrics: Rc<Metrics>,
    drain: Drain,
    log: Logger,
}

impl Entry {
    /// An entry that has seen no request.
    pub(crate) fn new(
        settings: Rc<Settings>,
        fleet: Rc<Fleet>,
        shares: Rc<Shares>,
        clients: Clients,
        metrics: Rc<Metrics>,
        drain: Drain,
        log: Logger,
    ) -> Entry {
        let routes = route::Routes::new(fleet.clone());
        Entry {
            settings,
            fleet,
            shares,
            routes,
            clients,
            active: Active::default(),
            metrics,
            drain,
            log,
        }
    }

    /// Whether the balancer may send requests here.
    pub(crate) fn ready(&self) -> bool {
        let now = clock::now();
        self.drain.phase() == Phase::Serving && self.fleet.may_act(now) && self.shares.ready(now)
    }

    /// This entry's shares of rates.
    pub(crate) fn shares(&self) -> &Rc<Shares> {
        &self.shares
    }

    /// One line for each upstream, for each share, and for each request.
    pub(crate) fn dump(&self) -> String {
        self.routes.dump() + &self.shares.dump() + &self.active.dump(clock::now())
    }
}

/// Keeps what an entry knows of the upstreams fresh until the daemon ends.
pub(crate) async fn refresh_periodically(entry: Rc<Entry>) {
    route::refresh_periodically(entry).await;
}

/// Answers one request of a caller.
pub(crate) async fn handle(entry: Rc<Entry>, request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            answer::generate(entry, request, prompt::Shape::Chat).await
        }
        (&Method::POST, "/v1/completions") => {
            answer::generate(entry, request, prompt::Shape::Text).await
        }
        (&Method::GET, "/v1/models") => models::list(&entry, &request),
        (&Method::POST, path) if path.starts_with(call::PREFIX) => call::call(entry, request).await,
        (&Method::GET, "/ready") => match entry.ready() {
            true => reply::text(StatusCode::OK, "ready\n"),
            false => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        _ => reply::failure(&Failure::not_run(Code::NotFound, "no such path")),
    }
}
