//! Asks limiters for tokens of organisations' limits, and answers those who ask.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    allowance::{Allowance, OverLimit, TokenRequest},
    deployment::model::Organisation,
    random::mix,
    time::Span,
    wire::{
        error::Code,
        usage::{ACQUIRE_PATH, AcquireRequest, AcquireVerdict, REFUND_PATH, RequestKind},
    },
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job, reply::Refusal},
    http,
    registered::message,
};

/// Timeout of a limiter's answer. A round trip within a region takes 2 ms.
const ANSWER_TIMEOUT: Span = Span::from_millis(100);

/// Number of limiters that are asked for one request.
const LIMITERS_ASKED_MAX: usize = 3;

/// Time after which to retry if no limiter answers.
const UNREACHABLE_RETRY: Span = Span::from_millis(700);

/// Applies the list of entries to the limiters, and to the limits if this entry is one.
pub(crate) fn on_entries(gateway: &Gateway) {
    let now = clock::now();
    let node = &gateway.node;
    let promoted = {
        let catalogue = node.catalogue.borrow();
        gateway.limiters.borrow_mut().on_entries(now, catalogue.entries())
    };
    let limiters = gateway.limiters.borrow();
    if promoted {
        // What was used since it last was a limiter is unknown here, as after a start.
        let incarnation = mix(node.incarnation ^ now.as_micros());
        info!(node.log, ""; "event" => "limiter", "incarnation" => incarnation);
        gateway.allowance.replace(Allowance::new(node.host(), incarnation, now));
    }
    gateway.allowance.borrow_mut().on_entries(limiters.hosts());
    node.follower.set(!limiters.is_limiter());
}

/// Takes the tokens of `job` off its organisation's limit, or asks a limiter to.
///
/// # Errors
///
/// Fails if the limit does not allow the request, or no limiter answers.
pub(crate) async fn acquire(job: &Job) -> Result<(), Refusal> {
    let Some(organisation) = &job.organisation else { return Ok(()) };
    let gateway = &job.gateway;
    let now = clock::now();
    if gateway.limiters.borrow().is_limiter() || organisation.rate == 0 {
        let request = token_request(job);
        let acquired = gateway.allowance.borrow_mut().acquire(now, organisation, &request);
        return match acquired {
            Ok(()) => {
                gateway.metrics.on_acquired(job.route.priority, job.cost);
                Ok(())
            }
            Err(over) => Err(over_rate(job, organisation, over)),
        };
    }
    let mut asked = Vec::new();
    while asked.len() < LIMITERS_ASKED_MAX && job.remaining() > ANSWER_TIMEOUT {
        let limiter = gateway.limiters.borrow().choose(clock::now(), &organisation.name, &asked);
        let Some(limiter) = limiter else { break };
        asked.push(limiter);
        match ask(gateway, limiter, &acquire_request(job, organisation)).await {
            Some(AcquireVerdict::Acquired) => {
                gateway.metrics.on_limiter_asked("acquired");
                gateway.metrics.on_acquired(job.route.priority, job.cost);
                job.limiter.set(Some(limiter));
                return Ok(());
            }
            Some(AcquireVerdict::OverLimit { retry_after, hopeless }) => {
                gateway.metrics.on_limiter_asked("over_limit");
                let over = OverLimit { retry_after, hopeless, why: "the limiter refused" };
                return Err(over_rate(job, organisation, over));
            }
            Some(AcquireVerdict::NotLimiter) => gateway.metrics.on_limiter_asked("not_limiter"),
            None => gateway.metrics.on_limiter_asked("failed"),
        }
    }
    warn!(gateway.node.log, ""; "event" => "no_limiter", "request" => &job.metadata.attempt,
        "organisation" => &organisation.name, "asked" => asked.len());
    let after = job.spread(UNREACHABLE_RETRY);
    Err(Refusal::retry(Code::NoStanding, "the limit cannot be checked", after))
}

/// Logs that the limit of `organisation` does not allow a request, and returns its refusal.
fn over_rate(job: &Job, organisation: &Organisation, over: OverLimit) -> Refusal {
    let after = (!over.hopeless).then_some(over.retry_after);
    info!(job.gateway.node.log, ""; "event" => "over_rate", "request" => &job.metadata.attempt,
        "organisation" => &organisation.name, "route" => &job.route.name,
        "priority" => job.route.priority, "why" => over.why, "hopeless" => over.hopeless,
        "level" => job.gateway.allowance.borrow().level(&organisation.name).map(|level| level as i64),
        "cost" => job.cost, "rate" => organisation.rate, "after_ms" => after.map(Span::as_millis));
    job.gateway.metrics.on_over_rate(job.route.priority, job.cost, over.hopeless);
    match after {
        Some(after) => Refusal::retry(Code::OverRate, "over the rate", after),
        None => Refusal::plain(Code::OverRate, "over the rate"),
    }
}

/// Returns the kind of a request. The hash is the same at all daemons of one build.
fn kind(job: &Job) -> RequestKind {
    let mut hasher = DefaultHasher::new();
    job.route.target(job.service_draw()).hash(&mut hasher);
    // The organisation is the same for all kinds, so its priority does not tell them apart.
    RequestKind { service: hasher.finish() as u32, priority: job.route.priority }
}

fn token_request(job: &Job) -> TokenRequest {
    TokenRequest {
        cost: job.cost,
        kind: Some(kind(job)),
        remaining: job.remaining(),
        draw: job.draw(),
    }
}

fn acquire_request(job: &Job, organisation: &Organisation) -> AcquireRequest {
    AcquireRequest {
        organisation: organisation.name.clone(),
        rate: organisation.rate,
        burst: organisation.burst,
        cost: job.cost,
        kind: Some(kind(job)),
        remaining: job.remaining(),
    }
}

/// Asks the limiter at `address`. Returns `None` if it does not answer.
async fn ask(
    gateway: &Gateway,
    address: SocketAddr,
    request: &AcquireRequest,
) -> Option<AcquireVerdict> {
    let body = rmp_serde::to_vec_named(request).expect("a request has only plain fields");
    let called = gateway.node.call(address, Method::POST, ACQUIRE_PATH, &body, ANSWER_TIMEOUT);
    let error = match called.await {
        Ok(answer) if answer.status == 200 => match rmp_serde::from_slice(&answer.body) {
            Ok(verdict) => return Some(verdict),
            Err(error) => error.to_string(),
        },
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    gateway.limiters.borrow_mut().on_failure(clock::now(), address);
    warn!(gateway.node.log, ""; "event" => "limiter_lost", "limiter" => %address,
        "error" => error);
    None
}

/// Returns the tokens of `job`, which did not run, to the limit that they were taken off.
pub(crate) fn refund(job: &Job) {
    let Some(organisation) = &job.organisation else { return };
    let gateway = job.gateway.clone();
    let Some(limiter) = job.limiter.take() else {
        let request = token_request(job);
        gateway.allowance.borrow_mut().refund_request(clock::now(), organisation, &request);
        return;
    };
    let request = acquire_request(job, organisation);
    drop(actix_rt::spawn(async move {
        let body = rmp_serde::to_vec_named(&request).expect("a request has only plain fields");
        let node = &gateway.node;
        let called = node.call(limiter, Method::POST, REFUND_PATH, &body, ANSWER_TIMEOUT).await;
        if let Err(error) = called {
            // The organisation has these tokens less until its bucket is full again.
            info!(node.log, ""; "event" => "refund_lost", "limiter" => %limiter,
                "organisation" => &request.organisation, "cost" => request.cost,
                "error" => %error);
        }
    }));
}

/// Answers another entry that asks for tokens.
pub(crate) async fn handle_acquire(
    gateway: Rc<Gateway>,
    mut request: Request,
) -> Response<BoxBody> {
    let asked = match message::read::<AcquireRequest>(&gateway.node.log, &mut request).await {
        Ok(asked) => asked,
        Err(answer) => return answer,
    };
    let verdict = match gateway.limiters.borrow().is_limiter() {
        true => {
            let organisation = organisation(&gateway, &asked);
            let mut allowance = gateway.allowance.borrow_mut();
            let now = clock::now();
            let request = TokenRequest {
                cost: asked.cost,
                kind: asked.kind,
                remaining: asked.remaining,
                draw: mix(gateway.node.incarnation ^ now.as_micros()),
            };
            match allowance.acquire(now, &organisation, &request) {
                Ok(()) => AcquireVerdict::Acquired,
                Err(over) => {
                    info!(gateway.node.log, ""; "event" => "over_limit",
                        "organisation" => &organisation.name,
                        "priority" => asked.kind.map(|kind| kind.priority),
                        "service" => asked.kind.map(|kind| kind.service), "why" => over.why,
                        "level" => allowance.level(&organisation.name).map(|level| level as i64),
                        "cost" => asked.cost, "hopeless" => over.hopeless);
                    let OverLimit { retry_after, hopeless, .. } = over;
                    AcquireVerdict::OverLimit { retry_after, hopeless }
                }
            }
        }
        false => AcquireVerdict::NotLimiter,
    };
    let body = rmp_serde::to_vec_named(&verdict).expect("a verdict has only plain fields");
    http::reply::bytes("application/msgpack", body.into())
}

/// Takes back tokens of another entry.
pub(crate) async fn handle_refund(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let asked = match message::read::<AcquireRequest>(&gateway.node.log, &mut request).await {
        Ok(asked) => asked,
        Err(answer) => return answer,
    };
    if gateway.limiters.borrow().is_limiter() {
        let organisation = organisation(&gateway, &asked);
        let request =
            TokenRequest { cost: asked.cost, kind: asked.kind, ..TokenRequest::default() };
        gateway.allowance.borrow_mut().refund_request(clock::now(), &organisation, &request);
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// Returns the organisation of a request as this entry's configuration has it, or as the
/// asking entry knows it if it is new here.
fn organisation(gateway: &Gateway, asked: &AcquireRequest) -> Rc<Organisation> {
    let deployment = gateway.node.deployment();
    let known = deployment.iter().flat_map(|deployment| &deployment.organisations);
    let known = known.into_iter().find(|row| row.name == asked.organisation).cloned();
    known.unwrap_or_else(|| {
        Rc::new(Organisation {
            name: asked.organisation.clone(),
            priority: None,
            rate: asked.rate,
            burst: asked.burst,
            plain_cost: 0,
            counts_tokens: true,
        })
    })
}
