//! Start and planned stop of a daemon of a registered fleet.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use actix_rt::net::TcpListener;
use kingcupbay_core::{
    config::model::Role,
    time::Span,
    wire::{
        evacuation::EVACUATIONS_PATH,
        fatal::{KNOWN_ENDS_PATH, REQUEST_ENDS_PATH},
        limit::LIMITS_PATH,
        origin::{ORIGIN_PATH, ORIGINS_PATH},
        part::PARTS_PATH,
        read_position::Table,
        sidecar::{
            EngineLoadReport, LOAD_REPORT_PATH, PERMIT_PATH, RELEASE_PATH, REPLICA_PATH,
            TRANSFER_PATH, VERSION_PATH,
        },
        usage::{ACQUIRE_PATH, REFUND_PATH, ROWS_PATH, USAGE_PATH},
    },
};
use slog::{Logger, info};

use crate::{
    clock,
    config::{Registry, Settings},
    gateway::{self, Gateway, permits, transfer},
    http::{self, budget::ConnectionMemory},
    registered::{
        Node, evacuations, fatal, follow::follow, limiters, limits, members, message,
        mixed_services, origins, parts, specs, usage,
    },
    server::{
        self, KEEP_ALIVE, ServerLimits,
        crowd::ConnectionLimits,
        drain::{Drain, Phase},
    },
    sidecar::{self, Sidecar, engine, load_reports},
};

/// Timeout of reading the head of another daemon's message.
const HEAD_TIMEOUT: Span = Span::from_secs(5);

/// Time during which readiness fails before connections are closed. The load balancer
/// probes every second and stops sending callers after two failures, so new callers may
/// arrive until then.
const LEAVING_TIME: Span = Span::from_millis(2_200);

/// Longest wait of a new entry for the list of entries, before it takes callers.
const ENTRIES_WAIT: Span = Span::from_secs(1);

/// How often a new entry asks others again for what they know, and the pause before each.
const RECOVERY_ROUNDS: u32 = 12;
const RECOVERY_PAUSE: Span = Span::from_millis(250);

/// Time for the answers to requests whose upstreams have not answered in the grace period.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Part of the grace period that is kept for the last bytes.
const GRACE_MARGIN: Span = Span::from_millis(250);

/// Listeners of a daemon, all bound before the addresses are announced.
struct Listeners {
    callers: Option<(TcpListener, SocketAddr)>,
    ready: Option<(TcpListener, SocketAddr)>,
    peers: (TcpListener, SocketAddr),
    operators: (TcpListener, SocketAddr),
}

/// Runs a daemon until `stop` completes, then until its running requests have ended.
/// Fails if an address cannot be bound.
pub async fn run(
    settings: Settings,
    registry: Registry,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let callers = settings.callers.as_ref().map(|callers| server::bind(callers.listen));
    let listeners = Listeners {
        callers: callers.transpose()?,
        ready: registry.ready.map(server::bind).transpose()?,
        peers: server::bind(settings.peers.listen)?,
        operators: server::bind(settings.operators.listen)?,
    };
    let peers = registry.advertise.unwrap_or(listeners.peers.1);
    let node = Rc::new(Node::new(settings, registry, peers, log));
    let text =
        |bound: &Option<(TcpListener, SocketAddr)>| bound.as_ref().map(|(_, at)| at.to_string());
    info!(node.log, ""; "event" => "listening", "role" => ?node.settings.daemon.role,
        "callers" => text(&listeners.callers), "ready" => text(&listeners.ready),
        "peers" => %listeners.peers.1, "operators" => %listeners.operators.1,
        "store" => %node.registry.store, "incarnation" => node.incarnation);
    match node.settings.daemon.role {
        Role::Entry => start_entry(&node, listeners),
        Role::Upstream => start_sidecar(&node, listeners),
    }
    stop.await;
    shut_down(&node).await;
    Ok(())
}

/// Starts the tasks and servers of an entry.
fn start_entry(node: &Rc<Node>, listeners: Listeners) {
    let gateway = Rc::new(Gateway::new(node.clone()));
    for table in [Table::Operator, Table::Upstreams, Table::Entries] {
        actix_rt::spawn(follow(node.clone(), table));
    }
    actix_rt::spawn(members::register(node.clone()));
    actix_rt::spawn(usage::send_reports(gateway.clone()));
    actix_rt::spawn(update_entries(gateway.clone()));
    actix_rt::spawn(mixed_services::maintain(gateway.clone()));
    actix_rt::spawn(recover_ends(gateway.clone()));
    if node.registry.transfers {
        actix_rt::spawn(transfer::watch(gateway.clone()));
    }
    if let (Some((listener, _)), Some(callers)) = (listeners.callers, &node.settings.callers) {
        let state = gateway.clone();
        let handle = move |request| gateway::handle(state.clone(), request);
        let deployed = node.clone();
        let idle_timeout = move || {
            let configured = deployed.deployment().and_then(|now| now.limits.idle_timeout);
            configured.unwrap_or(KEEP_ALIVE)
        };
        let deployed = node.clone();
        let head_max = move || {
            let limits = deployed.deployment().map(|now| now.limits);
            limits.unwrap_or_default().head
        };
        let limits = ServerLimits {
            head_timeout: callers.head_timeout,
            idle_timeout: Box::new(idle_timeout),
            connections: ConnectionLimits::new(callers.descriptors),
            head_max: Box::new(head_max),
            memory: gateway.memory.clone(),
        };
        drop(actix_rt::spawn(server::serve(listener, limits, node.drain.clone(), handle)));
    }
    let memory = ConnectionMemory::of_daemons(node.settings.daemon.memory, &node.log);
    if let Some((listener, _)) = listeners.ready {
        let state = gateway.clone();
        let handle = move |request| answer_ready(state.clone(), request);
        listen(listener, &memory, handle);
    }
    let state = gateway.clone();
    let handle = move |request| handle_entry_peer(state.clone(), request);
    listen(listeners.peers.0, &memory, handle);
    let handle = move |request| answer_operator(gateway.clone(), request);
    listen(listeners.operators.0, &memory, handle);
}

/// Starts the tasks and servers of a sidecar.
fn start_sidecar(node: &Rc<Node>, listeners: Listeners) {
    let engine = node.registry.engine.expect("settings of an upstream daemon name its engine");
    let sidecar = Rc::new(Sidecar::new(node.clone(), engine));
    actix_rt::spawn(follow(node.clone(), Table::Operator));
    actix_rt::spawn(engine::watch(sidecar.clone()));
    actix_rt::spawn(load_reports::send_reports(sidecar.clone()));
    actix_rt::spawn(load_reports::follow_catalogue(sidecar.clone()));
    let state = sidecar.clone();
    let handle = move |request| handle_sidecar_peer(state.clone(), request);
    let memory = ConnectionMemory::of_daemons(node.settings.daemon.memory, &node.log);
    listen(listeners.peers.0, &memory, handle);
    let handle = move |request| answer_sidecar_operator(sidecar.clone(), request);
    listen(listeners.operators.0, &memory, handle);
}

/// Starts a server for other daemons or operators on `listener`.
fn listen<F, Fut>(listener: TcpListener, memory: &ConnectionMemory, handle: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let limits = ServerLimits::new(HEAD_TIMEOUT, memory.clone());
    drop(actix_rt::spawn(server::serve(listener, limits, Drain::new(), handle)));
}

/// Stops as planned: readiness fails first, then running requests finish.
async fn shut_down(node: &Rc<Node>) {
    let log = &node.log;
    info!(log, ""; "event" => "stopping", "connections" => node.drain.open_connections());
    node.drain.advance(Phase::Leaving);
    if node.settings.daemon.role == Role::Entry {
        tokio::time::sleep(LEAVING_TIME.into()).await;
        node.drain.advance(Phase::Closing);
        let limit = node.registry.grace.saturating_sub(LEAVING_TIME).saturating_sub(GRACE_MARGIN);
        let whole = tokio::time::timeout(limit.into(), node.drain.wait_until_idle()).await.is_ok();
        let cut = node.drain.open_connections();
        if !whole {
            node.drain.advance(Phase::Ending);
            // Streams do not end by themselves.
            let _ = tokio::time::timeout(LAST_ANSWERS_TIME, node.drain.wait_until_idle()).await;
        }
        info!(log, ""; "event" => "stopped", "whole" => whole, "cut" => cut,
            "refused" => node.drain.refused());
    } else {
        info!(log, ""; "event" => "stopped");
    }
}

/// Updates the list of entries that share the limits whenever the catalogue changes.
async fn update_entries(gateway: Rc<Gateway>) {
    let mut applied = None;
    loop {
        let changed = gateway.node.changed.notified();
        let changes = gateway.node.catalogue.borrow().member_changes();
        if applied.replace(changes) != Some(changes) {
            apply_entries(&gateway);
            fatal::on_entries(&gateway);
        }
        fatal::on_instances(&gateway);
        drop_unregistered(&gateway);
        origins::on_instances(&gateway);
        changed.await;
    }
}

/// Learns what other entries know before this one takes callers.
async fn recover_ends(gateway: Rc<Gateway>) {
    let listed = async {
        loop {
            let changed = gateway.node.changed.notified();
            if gateway.node.catalogue.borrow().entries().next().is_some() {
                break;
            }
            changed.await;
        }
    };
    // Without a list, there is nobody to ask.
    if clock::timeout(ENTRIES_WAIT, listed).await.is_some() {
        fatal::recover(&gateway).await;
    }
    gateway.knows_ends.set(true);
    // Until others know of this entry, they tell it nothing.
    for _ in 0..RECOVERY_ROUNDS {
        tokio::time::sleep(RECOVERY_PAUSE.into()).await;
        fatal::recover(&gateway).await;
    }
}

/// Applies the list of entries.
fn apply_entries(gateway: &Gateway) {
    let node = &gateway.node;
    node.entries.set(node.catalogue.borrow().entries().count());
    node.update_reader();
    limiters::on_entries(gateway);
    members::ensure_listed(node);
}

/// Drops the state of unregistered upstreams.
fn drop_unregistered(gateway: &Gateway) {
    let catalogue = gateway.node.catalogue.borrow();
    gateway.metrics.set_evacuated(catalogue.evacuations().evacuated().count());
    let known = |id: &str| catalogue.instance(id).is_some() || permits::is_sidecar(id);
    gateway.health.borrow_mut().retain(known);
    gateway.backlog.borrow_mut().retain(known);
    gateway.cold.borrow_mut().retain(known);
    gateway.limits.borrow_mut().retain(known);
    gateway.rests.borrow_mut().retain(known);
}

/// Answers readiness probes.
async fn answer_ready(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match (request.path(), gateway.ready()) {
        ("/ready", true) => http::reply::text(StatusCode::OK, "ready\n"),
        ("/ready", false) => http::reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => http::reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Handles messages of other daemons to an entry.
async fn handle_entry_peer(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match request.path() {
        USAGE_PATH => usage::handle(gateway, request).await,
        LOAD_REPORT_PATH => handle_load_report(gateway, request).await,
        EVACUATIONS_PATH => evacuations::handle(gateway.node.clone(), request).await,
        TRANSFER_PATH => transfer::handle(gateway, request).await,
        LIMITS_PATH => limits::handle(gateway, request).await,
        ORIGINS_PATH => origins::handle_records(&gateway.node.log, &gateway.origins, request).await,
        ORIGIN_PATH => origins::handle_query(&gateway.node.log, &gateway.origins, request).await,
        PARTS_PATH => parts::handle(gateway, request).await,
        REQUEST_ENDS_PATH => fatal::handle(gateway, request).await,
        KNOWN_ENDS_PATH => fatal::handle_known(&gateway),
        ACQUIRE_PATH => limiters::handle_acquire(gateway, request).await,
        REFUND_PATH => limiters::handle_refund(gateway, request).await,
        ROWS_PATH => {
            let rows = gateway.node.rows.borrow().stored_rows();
            let body = rmp_serde::to_vec_named(&rows).expect("stored rows have only plain fields");
            http::reply::bytes("application/msgpack", body.into())
        }
        _ => http::reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Applies a sidecar's load report.
async fn handle_load_report(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let report = match message::read::<EngineLoadReport>(&gateway.node.log, &mut request).await {
        Ok(report) => report,
        Err(answer) => return answer,
    };
    let known = gateway.on_load_report(report);
    let status = if known { StatusCode::NO_CONTENT } else { StatusCode::ACCEPTED };
    Response::with_body(status, BoxBody::new(()))
}

/// Handles messages of entries to a sidecar.
async fn handle_sidecar_peer(sidecar: Rc<Sidecar>, request: Request) -> Response<BoxBody> {
    match request.path() {
        PERMIT_PATH => sidecar::permits::handle_permit_request(sidecar, request).await,
        RELEASE_PATH => sidecar::permits::handle_releases(sidecar, request).await,
        REPLICA_PATH => sidecar::permits::handle_replica_request(sidecar, request).await,
        EVACUATIONS_PATH => evacuations::handle(sidecar.node.clone(), request).await,
        VERSION_PATH => specs::handle_version(sidecar.node.clone(), request).await,
        ORIGINS_PATH => origins::handle_records(&sidecar.node.log, &sidecar.origins, request).await,
        ORIGIN_PATH => origins::handle_query(&sidecar.node.log, &sidecar.origins, request).await,
        _ => http::reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Answers operators at an entry.
async fn answer_operator(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => http::reply::text(StatusCode::OK, gateway.metrics.text()),
        path if path.starts_with("/quarantine") => parts::answer_operator(&gateway, &request),
        _ => http::reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Answers operators at a sidecar.
async fn answer_sidecar_operator(sidecar: Rc<Sidecar>, request: Request) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => {
            let (now, admission) = (clock::now(), sidecar.admission.borrow());
            let text = sidecar.metrics.text(
                &admission.load_report(now),
                admission.limit(now),
                sidecar.transfers.count(),
                sidecar.origins.borrow().len(),
            );
            http::reply::text(StatusCode::OK, text)
        }
        "/dump" => http::reply::text(StatusCode::OK, sidecar.admission.borrow().dump(clock::now())),
        _ => http::reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
