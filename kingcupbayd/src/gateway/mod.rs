//! The entry of a registered fleet: from a caller's request to an upstream's
//! answer.
//!
//! [`handle`] finds the route and whose key a request carries, reads its body
//! and takes its tokens off the organisation's limit. [`plain`] sends it to a
//! plain service, [`generate`] to an engine, after the daemon beside that
//! engine has given it a place ([`place`]). [`send`] makes one attempt, and
//! [`stream`] passes events on and goes on elsewhere when an engine breaks off.
//! [`reply`] makes the answers that are the entry's own.

pub(crate) mod generate;
pub(crate) mod job;
pub(crate) mod metrics;
pub(crate) mod place;
pub(crate) mod plain;
pub(crate) mod reply;
pub(crate) mod send;
pub(crate) mod stream;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use kingcupbay_core::{
    allowance::Allowance,
    backlog::Backlog,
    deployment::{
        catchup::CatchUp,
        lookup::Caller,
        model::{Deployment, Organisation, Route},
    },
    health::Health,
    placement::Placement,
    repeat::RepeatBudget,
    time::Span,
    wire::{error::Code, metadata::RequestMetadata, sidecar::EngineLoadReport},
};
use kingcupbay_platform::request;
use slog::{info, warn};

use crate::{clock, http, registered::Node, server::drain::Phase};

use job::Job;
use metrics::Metrics;
use reply::{Refusal, refuse};

/// Longest wait of a caller that names none.
const DEADLINE: Span = Span::from_secs(30);

/// Time for a body to arrive.
const BODY_TIME: Span = Span::from_secs(10);

/// When to come back to an entry that does not know its configuration yet.
const UNREADY: Span = Span::from_millis(500);

/// When to come back to an entry that has heard of a newer configuration than it
/// has: by then the store's feed has brought it, or another entry is asked.
const BEHIND: Span = Span::from_millis(400);

/// State of an entry.
pub(crate) struct Gateway {
    pub(crate) node: Rc<Node>,
    pub(crate) allowance: RefCell<Allowance>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) health: RefCell<Health>,
    pub(crate) backlog: RefCell<Backlog>,
    /// Sends of each service.
    pub(crate) repeats: RefCell<BTreeMap<String, RepeatBudget>>,
    /// Entries that did not take the last tally.
    pub(crate) deaf: RefCell<BTreeSet<SocketAddr>>,
    pub(crate) catch_up: RefCell<CatchUp>,
    pub(crate) dones: place::Dones,
    pub(crate) metrics: Metrics,
}

impl Gateway {
    /// An entry that has served nothing yet.
    pub(crate) fn new(node: Rc<Node>) -> Gateway {
        let allowance = Allowance::new(node.host(), node.incarnation, clock::now());
        Gateway {
            allowance: RefCell::new(allowance),
            placement: RefCell::default(),
            health: RefCell::default(),
            backlog: RefCell::default(),
            repeats: RefCell::default(),
            deaf: RefCell::default(),
            catch_up: RefCell::default(),
            dones: place::Dones::default(),
            metrics: Metrics::new(node.store.calls()),
            node,
        }
    }

    /// Whether callers may be sent here.
    pub(crate) fn ready(&self) -> bool {
        let catalogue = self.node.catalogue.borrow();
        let known = catalogue.deployment().is_some() && catalogue.instances().next().is_some();
        known && self.node.drain.phase() == Phase::Serving
    }

    /// Whether a request of `service` may be sent to one more upstream.
    pub(crate) fn may_repeat(&self, service: &str) -> bool {
        let entries = self.allowance.borrow().entries();
        let mut repeats = self.repeats.borrow_mut();
        let repeats = repeats.entry(service.to_owned()).or_default();
        repeats.try_repeat(clock::now(), &self.node.registry.repeats, entries)
    }

    /// Takes what the daemon beside an engine told. Whether it is known by now
    /// what the engine holds.
    pub(crate) fn on_pressure(&self, pressure: EngineLoadReport) -> bool {
        let Some(engine) = pressure.engine else { return true };
        self.placement.borrow_mut().on_load_report(clock::now(), engine, pressure)
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let arrived = clock::now();
    let ask = request::decode_headers(request.headers());
    let Some(deployment) = gateway.node.deployment() else {
        return refuse(
            &gateway,
            &ask,
            Refusal::retry(Code::NoStanding, "no configuration", UNREADY),
        );
    };
    let (route, who) = match admit(&deployment, &request, &ask) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = unless_behind(&gateway, &deployment, refusal);
            warn!(gateway.node.log, ""; "event" => "refused", "request" => &ask.attempt,
                "code" => refusal.code.as_str(), "configuration" => deployment.number.0,
                "newest" => gateway.catch_up.borrow().newest().0, "path" => request.path(),
                "why" => refusal.why);
            return refuse(&gateway, &ask, refusal);
        }
    };
    let limits = deployment.limits;
    let payload = request.take_payload();
    let body = match http::body::read(payload, limits.body, BODY_TIME).await {
        Ok(body) => body,
        Err(failure) => {
            let refusal = Refusal::plain(failure.code, "the body");
            warn!(gateway.node.log, ""; "event" => "refused", "request" => &ask.attempt,
                "code" => refusal.code.as_str(), "why" => refusal.why,
                "error" => failure.message);
            return refuse(&gateway, &ask, refusal);
        }
    };
    let wait = ask.deadline.unwrap_or(DEADLINE).min(route.timeout);
    let cost = who.as_ref().map_or(0, |who| cost(who, &ask));
    let job = Rc::new(Job {
        gateway: gateway.clone(),
        deployment,
        ask,
        cost,
        body,
        method: request.method().clone(),
        path: path(&request),
        headers: request.headers().clone(),
        until: arrived + wait,
        arrived,
        route,
        who,
    });
    if let Err(refusal) = take_tokens(&job) {
        return refuse(&gateway, &job.ask, refusal);
    }
    serve(job).await
}

/// Sends an admitted request on.
async fn serve(job: Rc<Job>) -> Response<BoxBody> {
    let draw = job.draw();
    let service = job.route.target(draw).to_owned();
    job.gateway.repeats.borrow_mut().entry(service.clone()).or_default().on_first(clock::now());
    let engine = job.deployment.services.get(&service).is_some_and(|row| row.engine.is_some());
    let answer = match engine && job.ask.model.is_some() {
        true => generate::serve(job.clone(), &service).await,
        false => plain::serve(job.clone(), &service).await,
    };
    match answer {
        Ok(response) => response,
        Err(refusal) => {
            if refusal.not_run {
                job.give_back();
            }
            let now = clock::now();
            warn!(job.gateway.node.log, ""; "event" => "failed", "request" => &job.ask.attempt,
                "route" => &job.route.name, "service" => &service,
                "code" => refusal.code.as_str(), "why" => refusal.why,
                "not_run" => refusal.not_run, "after_ms" => refusal.after.map(Span::as_millis),
                "configuration" => job.deployment.number.0,
                "ms" => now.since(job.arrived).as_millis());
            refuse(&job.gateway, &job.ask, refusal)
        }
    }
}

/// The route of a request and whose it is.
fn admit(
    deployment: &Deployment,
    request: &Request,
    ask: &RequestMetadata,
) -> Result<(Rc<Route>, Option<Rc<Organisation>>), Refusal> {
    let named = request.headers().get("host").and_then(|host| host.to_str().ok());
    let named = named.or_else(|| request.uri().host()).unwrap_or_default();
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    let Some(route) = deployment.route(host, request.path()) else {
        return Err(Refusal::plain(Code::NotFound, "no route"));
    };
    match deployment.caller(route, ask.key.as_ref()) {
        Caller::Organisation(who) => Ok((route.clone(), Some(who))),
        Caller::Anonymous => Ok((route.clone(), None)),
        Caller::Unknown => Err(Refusal::plain(Code::BadKey, "the key is unknown")),
    }
}

/// What a caller is told whose route or key is not in `deployment`. One that has just
/// been given either would be told that there is none, and never ask again, by an entry
/// that the newer configuration has not reached. While others are known to have a newer
/// one, this entry cannot know.
fn unless_behind(gateway: &Gateway, deployment: &Deployment, refusal: Refusal) -> Refusal {
    match gateway.catch_up.borrow().newest() > deployment.number {
        true => Refusal::retry(Code::NoStanding, "a newer configuration is on its way", BEHIND),
        false => refusal,
    }
}

fn cost(who: &Organisation, ask: &RequestMetadata) -> u64 {
    match (who.counts_tokens, ask.size) {
        (true, Some(size)) => size.total(),
        (true, None) => who.plain_cost,
        (false, _) => 1,
    }
}

/// Takes the request's tokens off its organisation's limit.
fn take_tokens(job: &Job) -> Result<(), Refusal> {
    let Some(who) = &job.who else { return Ok(()) };
    let now = clock::now();
    let asked = job.gateway.allowance.borrow_mut().try_acquire(now, who, job.cost);
    asked.map_err(|over| {
        info!(job.gateway.node.log, ""; "event" => "over_rate", "request" => &job.ask.attempt,
            "organisation" => &who.name, "cost" => job.cost, "rate" => who.rate,
            "after_ms" => over.retry_after.as_millis());
        Refusal::retry(Code::OverRate, "over the rate", over.retry_after)
    })
}

/// Path and query as the caller sent them.
fn path(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query().map_or_else(|| uri.path().to_owned(), |path| path.as_str().to_owned())
}
