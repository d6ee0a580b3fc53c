//! Start and planned stop of a daemon.

use std::{cell::RefCell, rc::Rc};

use kingcupbay_core::{
    config::{
        model::Role,
        patch::{Patch, PatchError},
    },
    time::Span,
};
use slog::{Logger, info, warn};

use crate::{
    Addresses, Daemon, RoleState, admin,
    config::{ConfigSource, Platform, Settings},
    entry::{self, Entry},
    fleet::{self, Fleet, PatchOutcome},
    handle_peer,
    http::{budget::ConnectionMemory, client::Clients},
    metrics::Metrics,
    server::{
        self, ServerLimits,
        crowd::ConnectionLimits,
        drain::{Drain, Phase},
    },
    share::{self, Shares},
    store::{object::Objects, table::Table},
    upstream::Upstream,
};

/// Time for the head of a request of an operator or another daemon.
const HEAD_TIMEOUT: Span = Span::from_secs(5);

/// Pause between two attempts to join.
const JOIN_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Time for the answers to requests that have not ended when the time for them is over.
const LAST_ANSWERS_TIME: std::time::Duration = std::time::Duration::from_millis(100);

/// A running daemon.
pub struct Running {
    /// Addresses at which it listens.
    pub addresses: Addresses,
    daemon: Rc<Daemon>,
    servers: Vec<actix_rt::task::JoinHandle<()>>,
}

/// Starts a daemon whose configuration is kept as patches in the table, on the
/// current thread's runtime. Fails if the settings name a registry or an address
/// cannot be bound.
pub fn start(settings: Settings, log: Logger) -> std::io::Result<Running> {
    let ConfigSource::Patches(platform) = settings.config_source.clone() else {
        let message = "these settings name a registry, not a table of patches";
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, message));
    };
    let settings = Rc::new(settings);
    let (peers, peers_at) = server::bind(settings.peers.listen)?;
    let (operators, operators_at) = server::bind(settings.operators.listen)?;
    let callers = settings.callers.as_ref().map(|callers| server::bind(callers.listen));
    let callers = callers.transpose()?;
    let addresses = Addresses {
        callers: callers.as_ref().map(|(_, at)| *at),
        peers: peers_at,
        operators: operators_at,
    };
    let daemon = build_daemon(settings.clone(), &platform, log);
    actix_rt::spawn(fleet::run(daemon.fleet.clone(), settings.clone()));
    actix_rt::spawn(join(daemon.clone(), peers_at.to_string()));
    match &daemon.role {
        RoleState::Entry(entry) => {
            actix_rt::spawn(share::keep(entry.shares().clone()));
            drop(actix_rt::spawn(entry::refresh_periodically(entry.clone())));
        }
        RoleState::Upstream(upstream) => {
            drop(actix_rt::spawn(upstream.clone().maintain_runners()));
        }
    }
    let mut servers = Vec::new();
    if let (Some((listener, _)), RoleState::Entry(entry)) = (callers, &daemon.role) {
        let entry = entry.clone();
        let mut limits = ServerLimits::new(HEAD_TIMEOUT, daemon.metrics.memory.clone());
        if let Some(callers) = &settings.callers {
            limits.head_timeout = callers.head_timeout;
            limits.connections = ConnectionLimits::new(callers.descriptors);
        }
        let handle = move |request| entry::handle(entry.clone(), request);
        let serving = server::serve(listener, limits, daemon.drain.clone(), handle);
        servers.push(actix_rt::spawn(serving));
    }
    let state = daemon.clone();
    let handle = move |request| handle_peer(state.clone(), request);
    let memory = ConnectionMemory::of_daemons(settings.daemon.memory, &daemon.log);
    let limits = ServerLimits::new(HEAD_TIMEOUT, memory.clone());
    let serving = server::serve(peers, limits, daemon.drain.clone(), handle);
    servers.push(actix_rt::spawn(serving));
    // The operators' port stays open until the stop is complete, so it has a
    // drain of its own, which nothing waits for.
    let state = daemon.clone();
    let handle = move |request| admin::handle(state.clone(), request);
    let limits = ServerLimits::new(HEAD_TIMEOUT, memory);
    actix_rt::spawn(server::serve(operators, limits, Drain::new(), handle));
    info!(daemon.log, ""; "event" => "listening", "role" => ?daemon.settings.daemon.role,
        "callers" => addresses.callers.map(|at| at.to_string()),
        "peers" => %addresses.peers, "operators" => %addresses.operators);
    Ok(Running { addresses, daemon, servers })
}

fn build_daemon(settings: Rc<Settings>, platform: &Platform, log: Logger) -> Rc<Daemon> {
    let tuning = &settings.tuning;
    let clients = Clients::new(tuning.connect_timeout);
    let table = Table::new(clients.clone(), platform.table, tuning.platform_timeout);
    let objects = Objects::new(clients.clone(), platform.objects, Span::from_secs(30));
    let metrics = Rc::new(Metrics::new(ConnectionMemory::of_callers(settings.daemon.memory, &log)));
    let drain = Drain::new();
    let mut incarnation = [0; 8];
    getrandom::fill(&mut incarnation).expect("the system's random source works");
    let incarnation = u64::from_le_bytes(incarnation);
    let fleet = Rc::new(Fleet::new(
        &settings,
        incarnation,
        table.clone(),
        objects,
        clients.clone(),
        metrics.clone(),
        log.clone(),
    ));
    let role = match settings.daemon.role {
        Role::Entry => RoleState::Entry(Rc::new(Entry::new(
            settings.clone(),
            fleet.clone(),
            Rc::new(Shares::new(incarnation, fleet.clone(), table, clients.clone(), log.clone())),
            clients.clone(),
            metrics.clone(),
            drain.clone(),
            log.clone(),
        ))),
        Role::Upstream => RoleState::Upstream(Rc::new(Upstream::new(
            settings.clone(),
            fleet.clone(),
            table,
            clients.clone(),
            metrics.clone(),
            drain.clone(),
            log.clone(),
        ))),
    };
    let joined = RefCell::new(false);
    Rc::new(Daemon { settings, incarnation, fleet, clients, metrics, drain, role, log, joined })
}

/// Adds this daemon to the configuration, repeating the patch until a read of
/// the table shows it there: a patch whose answer was lost may have been applied.
async fn join(daemon: Rc<Daemon>, address: String) {
    let change = admin::join_change(&daemon, address);
    loop {
        let read = daemon.fleet.refresh().await;
        if read.is_ok() && daemon.fleet.is_member() {
            *daemon.joined.borrow_mut() = true;
            let number = daemon.fleet.config().number;
            info!(daemon.log, ""; "event" => "joined", "number" => number.0);
            return;
        }
        if read.is_ok() {
            let patch = Patch {
                id: entry::new_request_id(),
                against: daemon.fleet.config().number,
                author: daemon.settings.daemon.host.to_string(),
                changes: vec![change.clone()],
            };
            match daemon.fleet.patch(&patch).await {
                PatchOutcome::Taken { .. } | PatchOutcome::Refused(PatchError::Stale { .. }) => {
                    continue;
                }
                other => warn!(daemon.log, ""; "event" => "join_failed", "outcome" => ?other),
            }
        }
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
}

impl Running {
    /// Stops as planned: readiness fails first, then running requests finish.
    /// Requests that still run after `drain_limit` are cut.
    pub async fn stop(self) {
        let tuning = &self.daemon.settings.tuning;
        let log = &self.daemon.log;
        info!(log, ""; "event" => "stopping", "connections" => self.daemon.drain.open_connections());
        self.daemon.drain.advance(Phase::Leaving);
        tokio::time::sleep(tuning.drain_delay.into()).await;
        self.daemon.drain.advance(Phase::Closing);
        let servers = async {
            for server in self.servers {
                let _ = server.await;
            }
        };
        let whole = match tuning.drain_limit {
            Span::ZERO => {
                servers.await;
                true
            }
            limit => tokio::time::timeout(limit.into(), servers).await.is_ok(),
        };
        if !whole {
            self.daemon.drain.advance(Phase::Ending);
            tokio::time::sleep(LAST_ANSWERS_TIME).await;
        }
        if let RoleState::Entry(entry) = &self.daemon.role {
            share::hand_over(entry.shares().clone()).await;
        }
        let cut = self.daemon.drain.open_connections();
        info!(log, ""; "event" => "stopped", "whole" => whole, "cut" => cut,
            "refused" => self.daemon.drain.refused());
    }
}
