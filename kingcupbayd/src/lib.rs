//! The kingcupbay daemon, with the entry and upstream roles in one program.
//!
//! The daemon passes requests, timers and answers of the platform to
//! `kingcupbay_core` and executes its decisions. Everything runs on one thread.

mod active;
mod admin;
mod clock;
pub mod config;
mod entry;
mod fleet;
mod gateway;
mod http;
mod logging;
mod metrics;
mod registered;
mod server;
mod share;
mod sidecar;
mod start;
mod store;
mod upstream;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use actix_http::{Request, Response, body::BoxBody};
use kingcupbay_core::gossip::message::{PULL_PATH, SNAPSHOT_PATH};
use slog::Logger;

pub use http::link::{Link, LinkError};
pub use logging::logger;
pub use registered::start::run as run_registered;
pub use start::{Running, start};

use config::Settings;
use entry::Entry;
use fleet::Fleet;
use http::client::Clients;
use metrics::Metrics;
use server::drain::{Drain, Phase};
use upstream::Upstream;

/// Addresses at which a running daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers; entries only.
    pub callers: Option<SocketAddr>,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and probes.
    pub operators: SocketAddr,
}

/// State of one daemon, shared by its servers.
pub(crate) struct Daemon {
    settings: Rc<Settings>,
    incarnation: u64,
    fleet: Rc<Fleet>,
    clients: Clients,
    metrics: Rc<Metrics>,
    drain: Drain,
    role: RoleState,
    log: Logger,
    joined: RefCell<bool>,
}

/// State of the daemon's role.
enum RoleState {
    Entry(Rc<Entry>),
    Upstream(Rc<Upstream>),
}

impl Daemon {
    /// Whether this daemon should receive requests.
    fn ready(&self) -> bool {
        let serving = self.drain.phase() == Phase::Serving;
        let role = match &self.role {
            RoleState::Entry(entry) => entry.ready(),
            RoleState::Upstream(_) => true,
        };
        serving && role && *self.joined.borrow() && self.fleet.may_act(clock::now())
    }

    /// Returns the role's part of the state dump.
    fn dump(&self) -> String {
        match &self.role {
            RoleState::Entry(entry) => entry.dump(),
            RoleState::Upstream(upstream) => upstream.dump(),
        }
    }
}

/// Answers a request of another daemon.
async fn handle_peer(daemon: Rc<Daemon>, request: Request) -> Response<BoxBody> {
    match (&daemon.role, request.path()) {
        (RoleState::Upstream(upstream), "/run") => {
            upstream::handle(upstream.clone(), request).await
        }
        (_, PULL_PATH) => fleet::handle_pull(daemon.fleet.clone(), request).await,
        (_, SNAPSHOT_PATH) => fleet::handle_snapshot(&daemon.fleet),
        (RoleState::Entry(entry), share::PEER_PATH) => {
            share::handle(entry.shares().clone(), request).await
        }
        (_, admin::dump::PEER_PATH) => {
            http::reply::text(actix_http::StatusCode::OK, admin::dump::own_dump(&daemon))
        }
        _ => http::reply::text(actix_http::StatusCode::NOT_FOUND, "no such path\n"),
    }
}
