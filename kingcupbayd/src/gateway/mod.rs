//! Entry of a registered fleet: forwards callers' requests to upstreams.
//!
//! [`handle`] finds the route and the organisation of a request, reads its body and
//! takes its tokens off the organisation's limit. [`plain`] sends the request to a plain
//! service; [`generate`] sends it to an engine, once the engine's sidecar has granted a
//! permit ([`choice`], [`permits`]). [`send`] makes one attempt, and [`open_attempts`] keeps those
//! at silent upstreams while another is tried. [`stream`] forwards events, and [`resuming`] goes
//! on at another engine if one is silent or fails; [`transfer`] tells streams to move away from
//! engines that leave, and [`moving`] carries that out. [`admit`] decides which requests an
//! upstream gets, by what it says of itself in its answers. [`reply`] builds the entry's own
//! answers.

pub(crate) mod admit;
pub(crate) mod choice;
pub(crate) mod generate;
pub(crate) mod job;
pub(crate) mod metrics;
pub(crate) mod moving;
pub(crate) mod open_attempts;
pub(crate) mod permits;
pub(crate) mod plain;
pub(crate) mod reply;
pub(crate) mod resuming;
pub(crate) mod send;
pub(crate) mod stream;
pub(crate) mod transfer;
pub(crate) mod tried;

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use kingcupbay_core::{
    allowance::Allowance,
    backlog::Backlog,
    cold::ColdShares,
    deployment::{
        catchup::CatchUp,
        limiters::Limiters,
        lookup::Caller,
        model::{Deployment, Organisation, Route},
    },
    exposure::Exposures,
    fatal::FatalRequests,
    health::Health,
    limit::LimitShares,
    origin::Origins,
    placement::Placement,
    quarantine::Quarantine,
    repeat::RepeatBudget,
    rest::Rests,
    time::{Instant, Span},
    wire::{error::Code, metadata::RequestMetadata, sidecar::EngineLoadReport},
};
use kingcupbay_platform::request;
use slog::warn;
use tokio::sync::Notify;

use crate::{
    clock,
    http::{self, budget::ConnectionMemory},
    registered::{
        Node,
        confirm::{self, ConfirmedBy},
        limiters,
        origins::PendingOrigins,
    },
    server::{drain::Phase, flow::head_length, socket::Peer},
};

use job::Job;
use metrics::Metrics;
use reply::{Refusal, refuse};

/// Longest wait for an answer if the caller sets no deadline.
const DEFAULT_DEADLINE: Span = Span::from_secs(30);

/// Timeout of reading a request's body.
const BODY_TIMEOUT: Span = Span::from_secs(10);

/// Time after which to retry at an entry that has no configuration yet.
const UNREADY_RETRY: Span = Span::from_millis(500);

/// Time after which to retry at another entry, as this one stops.
const STOPPING_RETRY: Span = Span::from_millis(50);

/// Time after which to retry at an entry that knows of a newer configuration than its
/// own. By then the store's feed has delivered it, or the caller reaches another entry.
const BEHIND_RETRY: Span = Span::from_millis(400);

/// Time after which to retry if all zones of a service are evacuated. The operator decides
/// when one is restored, so this only keeps callers from retrying in vain.
const EVACUATED_RETRY: Span = Span::from_secs(2);

/// State of an entry.
pub(crate) struct Gateway {
    pub(crate) node: Rc<Node>,
    /// Limits of organisations, if this entry keeps them.
    pub(crate) allowance: RefCell<Allowance>,
    /// The entries that keep limits.
    pub(crate) limiters: RefCell<Limiters>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) health: RefCell<Health>,
    pub(crate) backlog: RefCell<Backlog>,
    /// Budget for resending requests, by service.
    pub(crate) repeats: RefCell<BTreeMap<String, RepeatBudget>>,
    /// Entries that did not accept the last usage report.
    pub(crate) unreachable: RefCell<BTreeSet<SocketAddr>>,
    pub(crate) catch_up: RefCell<CatchUp>,
    /// Shares of the rates of cold upstreams that no sidecar limits.
    pub(crate) cold: RefCell<ColdShares>,
    /// Upstreams that have asked this entry for rest.
    pub(crate) rests: RefCell<Rests>,
    /// Parts of the request rates that upstreams announce.
    pub(crate) limits: RefCell<LimitShares>,
    pub(crate) releases: permits::Releases,
    /// The software that began each stream.
    pub(crate) origins: RefCell<Origins>,
    pub(crate) pending_origins: PendingOrigins,
    /// Whether this entry knows which services were mixed before it started.
    pub(crate) has_read_notes: Cell<bool>,
    /// Parts of prompts that engines crash on.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Requests under which upstreams end.
    pub(crate) fatal: RefCell<FatalRequests>,
    /// Requests that were given up, whose upstreams may end under them.
    pub(crate) exposures: RefCell<Exposures>,
    /// Upstreams that are asked whether they have ended.
    pub(crate) probed: RefCell<BTreeSet<SocketAddr>>,
    /// Whether this entry knows, as far as others do, under which requests upstreams ended before
    /// it started.
    pub(crate) knows_ends: Cell<bool>,
    /// Streams that may move to other engines.
    pub(crate) transfers: transfer::Transfers,
    /// Notified when an upstream has said that it leaves or has asked for rest.
    pub(crate) withdrawn: Notify,
    /// Memory for what callers send, and for answers that they do not read.
    pub(crate) memory: ConnectionMemory,
    pub(crate) metrics: Metrics,
}

/// A repeat that counts against the budget of its service. One that was not sent is taken back
/// on drop.
pub(crate) struct RepeatTicket {
    gateway: Rc<Gateway>,
    service: String,
    at: Instant,
    is_sent: bool,
}

impl RepeatTicket {
    /// Records that the request is sent now.
    pub(crate) fn on_send(&mut self) {
        let now = clock::now();
        self.with_budget(|budget, at| budget.on_send(now, at));
        (self.at, self.is_sent) = (now, true);
    }

    /// Takes the repeat back: the request was not sent after all.
    pub(crate) fn on_unsent(mut self) {
        self.is_sent = false;
    }

    fn with_budget(&self, change: impl FnOnce(&mut RepeatBudget, Instant)) {
        if let Some(budget) = self.gateway.repeats.borrow_mut().get_mut(&self.service) {
            change(budget, self.at);
        }
    }
}

impl Drop for RepeatTicket {
    fn drop(&mut self) {
        if !self.is_sent {
            self.with_budget(RepeatBudget::on_unused);
        }
    }
}

impl Gateway {
    /// Creates the state of an entry that has served nothing yet.
    pub(crate) fn new(node: Rc<Node>) -> Gateway {
        let allowance = Allowance::new(node.host(), node.incarnation, clock::now());
        let memory = ConnectionMemory::of_callers(node.settings.daemon.memory, &node.log);
        Gateway {
            allowance: RefCell::new(allowance),
            limiters: RefCell::new(Limiters::new(node.host())),
            placement: RefCell::default(),
            health: RefCell::default(),
            backlog: RefCell::default(),
            repeats: RefCell::default(),
            unreachable: RefCell::default(),
            catch_up: RefCell::default(),
            cold: RefCell::new(ColdShares::new(node.incarnation)),
            rests: RefCell::default(),
            limits: RefCell::default(),
            releases: permits::Releases::default(),
            origins: RefCell::default(),
            pending_origins: PendingOrigins::default(),
            has_read_notes: Cell::default(),
            quarantine: RefCell::default(),
            fatal: RefCell::default(),
            exposures: RefCell::default(),
            probed: RefCell::default(),
            knows_ends: Cell::default(),
            transfers: transfer::Transfers::default(),
            withdrawn: Notify::new(),
            metrics: Metrics::new(&node.store, &node.control, &memory),
            memory,
            node,
        }
    }

    /// Returns whether callers may send requests to this entry.
    pub(crate) fn ready(&self) -> bool {
        let catalogue = self.node.catalogue.borrow();
        let known = catalogue.deployment().is_some() && catalogue.instances().next().is_some();
        known && self.knows_ends.get() && self.node.drain.phase() == Phase::Serving
    }

    /// Returns the number of entries, including this one.
    pub(crate) fn entries(&self) -> usize {
        self.node.entries.get().max(1)
    }

    /// Counts a repeat of a request of `service`, if it may be sent to one more upstream.
    /// `is_speculative` says whether a silent upstream may still answer it.
    pub(crate) fn try_repeat(
        self: &Rc<Self>,
        service: &str,
        is_speculative: bool,
    ) -> Option<RepeatTicket> {
        let (now, entries) = (clock::now(), self.entries());
        let mut repeats = self.repeats.borrow_mut();
        let budget = repeats.entry(service.to_owned()).or_default();
        let limits = &self.node.registry.repeats;
        budget.try_repeat(now, limits, entries, is_speculative).then(|| RepeatTicket {
            gateway: self.clone(),
            service: service.to_owned(),
            at: now,
            is_sent: false,
        })
    }

    /// Returns the refusal of a request if all upstreams of `service` are in evacuated
    /// zones.
    pub(crate) fn evacuated_refusal(&self, service: &str) -> Option<Refusal> {
        let evacuated = self.node.catalogue.borrow().is_evacuated(service);
        let refusal = Refusal::retry(Code::NoUpstream, "all zones are evacuated", EVACUATED_RETRY);
        evacuated.then_some(refusal)
    }

    /// Applies a load report from an engine's sidecar. Returns whether the engine's
    /// resident adapters are known by now.
    pub(crate) fn on_load_report(&self, report: EngineLoadReport) -> bool {
        let Some(engine) = report.engine else { return true };
        self.placement.borrow_mut().on_load_report(clock::now(), engine, report)
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let arrived = clock::now();
    let metadata = request::decode_headers(request.headers());
    let (deployment, (route, organisation)) = match admit(&gateway, &request, &metadata).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&gateway, &metadata, refusal),
    };
    let limits = deployment.limits;
    if head_length(&request) > limits.head {
        return refuse(&gateway, &metadata, Refusal::plain(Code::HeadTooLarge, "the head"));
    }
    let owner = organisation.as_ref().map(|organisation| organisation.name.as_str());
    let body = match http::body::read(&mut request, owner, limits.body, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(failure) => {
            let after = failure.retry_after.map(|after| job::spread(after, &metadata));
            let refusal = Refusal { after, ..Refusal::plain(failure.code, "the body") };
            warn!(gateway.node.log, ""; "event" => "refused", "request" => &metadata.attempt,
                "code" => refusal.code.as_str(), "why" => refusal.why,
                "error" => failure.message);
            return refuse(&gateway, &metadata, refusal);
        }
    };
    let wait = metadata.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let cost = organisation.as_ref().map_or(0, |organisation| cost(organisation, &metadata));
    let job = Rc::new(Job {
        gateway: gateway.clone(),
        caller: Peer::of(&request),
        deployment,
        metadata,
        cost,
        limiter: Cell::default(),
        is_sent: Cell::default(),
        is_trial: Cell::default(),
        key: OnceCell::new(),
        body,
        method: request.method().clone(),
        path: path(&request),
        headers: request.headers().clone(),
        deadline: arrived + wait,
        arrived,
        route,
        organisation,
    });
    if job.caller.has_left() {
        job.on_abandoned("limit");
        let refusal = Refusal::plain(Code::NoUpstream, admit::CALLER_LEFT);
        return refuse(&gateway, &job.metadata, refusal);
    }
    if gateway.node.drain.phase() >= Phase::Closing {
        let refusal = stopping_refusal(&job);
        warn!(gateway.node.log, ""; "event" => "refused", "request" => &job.metadata.attempt,
            "code" => refusal.code.as_str(), "why" => refusal.why);
        return refuse(&gateway, &job.metadata, refusal);
    }
    if let Err(refusal) = limiters::acquire(&job).await {
        return refuse(&gateway, &job.metadata, refusal);
    }
    serve(job).await
}

/// Forwards an admitted request and answers it.
async fn serve(job: Rc<Job>) -> Response<BoxBody> {
    let service = job.route.target(job.service_draw()).to_owned();
    job.gateway.repeats.borrow_mut().entry(service.clone()).or_default().on_first(clock::now());
    let engine = job.deployment.services.get(&service).is_some_and(|row| row.engine.is_some());
    let served = async {
        match engine && job.metadata.model.is_some() {
            true => generate::serve(job.clone(), &service).await,
            false => plain::serve(job.clone(), &service).await,
        }
    };
    let answer = tokio::select! {
        biased;
        answer = served => answer,
        () = job.gateway.node.drain.wait_until(Phase::Ending) => Err(stopping_refusal(&job)),
    };
    match answer {
        Ok(response) => response,
        Err(refusal) => {
            if refusal.not_run {
                limiters::refund(&job);
            }
            let now = clock::now();
            warn!(job.gateway.node.log, ""; "event" => "failed", "request" => &job.metadata.attempt,
                "route" => &job.route.name, "service" => &service, "priority" => job.priority(),
                "code" => refusal.code.as_str(), "why" => refusal.why,
                "not_run" => refusal.not_run, "after_ms" => refusal.after.map(Span::as_millis),
                "configuration" => job.deployment.number.0,
                "ms" => now.since(job.arrived).as_millis());
            job.gateway.metrics.on_refusal_at(job.priority(), refusal.code);
            refuse(&job.gateway, &job.metadata, refusal)
        }
    }
}

/// Returns the refusal of a request that the entry, which stops, has no time for.
fn stopping_refusal(job: &Job) -> Refusal {
    let why = "the entry is stopping";
    match job.is_sent.get() {
        true => Refusal::unknown(Code::Stopping, why),
        false => Refusal::retry(Code::Stopping, why, job.spread(STOPPING_RETRY)),
    }
}

/// The route of a request, and its organisation unless it is anonymous.
type Admitted = (Rc<Route>, Option<Rc<Organisation>>);

/// Finds the route and the organisation of a request in the configuration in force. It is denied
/// only by a configuration that is confirmed.
async fn admit(
    gateway: &Gateway,
    request: &Request,
    metadata: &RequestMetadata,
) -> Result<(Rc<Deployment>, Admitted), Refusal> {
    let node = &gateway.node;
    let unready = || Refusal::retry(Code::NoStanding, "no configuration", UNREADY_RETRY);
    let deployment = node.deployment().ok_or_else(unready)?;
    if let Ok(admitted) = find_route(&deployment, request, metadata) {
        return Ok((deployment, admitted));
    }
    let newest = || gateway.catch_up.borrow().newest();
    let confirmed = confirm::confirm(node, newest() > deployment.number).await;
    // The store may have answered with a newer one.
    let deployment = node.deployment().ok_or_else(unready)?;
    let denial = match find_route(&deployment, request, metadata) {
        Ok(admitted) => return Ok((deployment, admitted)),
        Err(denial) => denial,
    };
    gateway.metrics.on_denial(confirmed.as_str());
    // A caller that is denied would not retry.
    let refusal = if newest() > deployment.number {
        Refusal::retry(Code::NoStanding, "a newer configuration is on its way", BEHIND_RETRY)
    } else if confirmed == ConfirmedBy::Nobody {
        Refusal::retry(Code::NoStanding, "the configuration is not confirmed now", BEHIND_RETRY)
    } else {
        denial
    };
    warn!(node.log, ""; "event" => "refused", "request" => &metadata.attempt,
        "code" => refusal.code.as_str(), "configuration" => deployment.number.0,
        "newest" => newest().0, "confirmed" => confirmed.as_str(),
        "age_ms" => confirm::age(node).map(Span::as_millis), "path" => request.path(),
        "why" => refusal.why);
    Err(refusal)
}

/// Returns the route of a request, and its organisation unless it is anonymous.
fn find_route(
    deployment: &Deployment,
    request: &Request,
    metadata: &RequestMetadata,
) -> Result<Admitted, Refusal> {
    let named = request.headers().get("host").and_then(|host| host.to_str().ok());
    let named = named.or_else(|| request.uri().host()).unwrap_or_default();
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    let Some(route) = deployment.route(host, request.path()) else {
        return Err(Refusal::plain(Code::NotFound, "no route"));
    };
    match deployment.caller(route, metadata.key.as_ref()) {
        Caller::Organisation(organisation) => Ok((route.clone(), Some(organisation))),
        Caller::Anonymous => Ok((route.clone(), None)),
        Caller::Unknown => Err(Refusal::plain(Code::BadKey, "the key is unknown")),
    }
}

/// Returns the number of tokens, or requests, that a request counts as.
fn cost(organisation: &Organisation, metadata: &RequestMetadata) -> u64 {
    match (organisation.counts_tokens, metadata.size) {
        (true, Some(size)) => size.total(),
        (true, None) => organisation.plain_cost,
        (false, _) => 1,
    }
}

/// Returns the path and query as sent by the caller.
fn path(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query().map_or_else(|| uri.path().to_owned(), |path| path.as_str().to_owned())
}
