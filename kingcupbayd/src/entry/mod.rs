//! The entry, which serves callers behind the balancer.
//!
//! [`headers`] reads the headers of a request and [`prompt`] its body.
//! [`admission`] authenticates the caller, [`relay`] sends the request to
//! upstream daemons, with retries and resumption, and [`answer`] converts the
//! steps of the relay into the caller's format. [`call`] does the same for plain
//! services, [`models`] lists the models that a key may use.

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::wire::error::{Code, Failure, Ran};
use slog::Logger;

use crate::{
    active::ActiveRequests,
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
mod headers;
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
    active: ActiveRequests,
    metrics: Rc<Metrics>,
    drain: Drain,
    log: Logger,
}

impl Entry {
    /// Creates the state of an entry that has received no request yet.
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
            active: ActiveRequests::default(),
            metrics,
            drain,
            log,
        }
    }

    /// Returns whether the balancer may send requests to this entry.
    pub(crate) fn ready(&self) -> bool {
        let now = clock::now();
        self.drain.phase() == Phase::Serving && self.fleet.may_act(now) && self.shares.ready(now)
    }

    /// Returns this entry's shares of the organisations' rates.
    pub(crate) fn shares(&self) -> &Rc<Shares> {
        &self.shares
    }

    /// Returns one line for each upstream, each share and each request.
    pub(crate) fn dump(&self) -> String {
        self.routes.dump() + &self.shares.dump() + &self.active.dump(clock::now())
    }
}

/// Refreshes the state of the upstreams until the daemon ends.
pub(crate) async fn refresh_periodically(entry: Rc<Entry>) {
    route::refresh_periodically(entry).await;
}

/// Answers one request of a caller or of the balancer.
pub(crate) async fn handle(entry: Rc<Entry>, request: Request) -> Response<BoxBody> {
    let drain = entry.drain.clone();
    tokio::select! {
        biased;
        answer = dispatch(entry, request) => answer,
        () = drain.wait_until(Phase::Ending) => {
            let failure = Failure::not_run(Code::UpstreamFailed, "this host is stopping");
            reply::failure(&Failure { ran: Ran::Unknown, ..failure })
        }
    }
}

async fn dispatch(entry: Rc<Entry>, request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            answer::generate(entry, request, prompt::Shape::Chat).await
        }
        (&Method::POST, "/v1/completions") => {
            answer::generate(entry, request, prompt::Shape::Text).await
        }
        (&Method::GET, "/v1/models") => models::list(&entry, &request),
        (&Method::POST, path) if path.starts_with(call::PATH_PREFIX) => {
            call::call(entry, request).await
        }
        (&Method::GET, "/ready") => match entry.ready() {
            true => reply::text(StatusCode::OK, "ready\n"),
            false => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        _ => reply::failure(&Failure::not_run(Code::NotFound, "no such path")),
    }
}
