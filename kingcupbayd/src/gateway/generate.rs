//! Forwards requests to model engines.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Response, body::BoxBody};
use kingcupbay_core::{
    deployment::model::{AdapterName, Instance, Repeat},
    health::Exchange,
    origin::Eligible,
    placement::RequestNeeds,
    time::Span,
    wire::{
        error::Code,
        sidecar::{Refusal as PermitRefusal, Verdict},
    },
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{
        admit::Withdrawal,
        job::Job,
        permits::{self, Permit},
        reply::Refusal,
        send::{self, PendingAnswer, SendError, SendOptions},
        stream::Relay,
    },
    http::link::LinkError,
    registered::{origins, parts},
};

/// Largest number of engines that are asked for a permit before a request is refused.
/// Engines with the shortest queues are asked first; a further one would refuse as well.
const PERMIT_REQUESTS_MAX: usize = 4;

/// Maximum wait for a permit, as a multiple of the latency target. A caller leaves after
/// four times the target without an event, and prefill and the first event take part of
/// the rest.
const PERMIT_WAIT_FACTOR: u64 = 2;

/// Time spent waiting for permits in vain after which no further engine is tried. The
/// request has no time left to wait there, so the engine would load its adapter for
/// nothing.
const FAILED_WAIT_MAX: Span = Span::from_millis(500);

/// Maximum wait for a permit while the fleet is mostly idle and further engines can be asked.
/// Another engine loads the adapter in this time.
const IDLE_FLEET_WAIT_MAX: Span = Span::from_millis(350);

/// Shortest maximum wait for which a permit is requested.
const PERMIT_WAIT_MIN: Span = Span::from_millis(60);

/// Time within which an engine that has granted a permit must send the first event of a
/// resumable stream, as a multiple of the latency target. After that, the engine is
/// considered stuck.
const FIRST_EVENT_FACTOR: u64 = 2;

/// Time after which to retry if no engine could be reached.
const NO_ENGINE_RETRY: Span = Span::from_millis(700);

/// From where on and at which engines a request runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartPoint {
    /// Event after which a stream that has begun goes on.
    pub(crate) last_event: Option<u64>,
    pub(crate) eligible: Eligible,
}

/// An engine that runs a request.
pub(crate) struct Started {
    pub(crate) instance: Rc<Instance>,
    pub(crate) answer: PendingAnswer,
    /// Permit, released when the stream ends. `None` if the engine's sidecar could not
    /// be reached.
    pub(crate) permit: Option<Permit>,
    /// Version of the adapter that runs it.
    pub(crate) version: Option<u32>,
}

/// The attempts at running a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    /// Engines that are not tried again.
    pub(crate) engines: Vec<SocketAddr>,
    /// Number of engines that the request was sent to.
    pub(crate) sends: u32,
    /// Whether an engine may have run the request.
    pub(crate) may_have_run: bool,
    /// Why no further engine was asked.
    pub(crate) end: SearchEnd,
}

/// Why a search for an engine ended without one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SearchEnd {
    /// As many engines as may be asked refused, or failed.
    #[default]
    Refused,
    /// No engine is left.
    NoEngine,
    /// The time for permits is over.
    Waited,
    /// The time of the request is over.
    NoTime,
    /// The route allows no further attempt.
    Attempts,
    /// The service has no repeat left.
    Budget,
}

impl SearchEnd {
    /// Returns the reason as written to logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SearchEnd::Refused => "refused",
            SearchEnd::NoEngine => "no_engine",
            SearchEnd::Waited => "waited",
            SearchEnd::NoTime => "no_time",
            SearchEnd::Attempts => "attempts",
            SearchEnd::Budget => "budget",
        }
    }
}

/// Runs a request on an engine of `service` and forwards its stream.
pub(crate) async fn serve(job: Rc<Job>, service: &str) -> Result<Response<BoxBody>, Refusal> {
    if let Some(refusal) = parts::refusal(&job.gateway, &job) {
        return Err(refusal);
    }
    let mut tried = Tried::default();
    let point = StartPoint {
        last_event: job.metadata.last_event,
        eligible: origins::eligible(&job, service).await?,
    };
    let started = start(&job, service, &mut tried, point).await?;
    let waited = clock::now().since(job.arrived);
    job.gateway.metrics.on_first_event(&job.route.name, waited);
    info!(job.gateway.node.log, ""; "event" => "streaming", "request" => &job.metadata.attempt,
        "route" => &job.route.name, "upstream" => &started.instance.id,
        "status" => started.answer.head.status.as_u16(), "sends" => tried.sends,
        "software" => &started.instance.software, "last_event" => job.metadata.last_event,
        "resumes" => &job.metadata.resumes, "ms" => waited.as_millis());
    Ok(Relay::response(job, service.to_owned(), started, tried))
}

/// Finds an engine that runs the request from `point` on.
pub(crate) async fn start(
    job: &Job,
    service: &str,
    tried: &mut Tried,
    point: StartPoint,
) -> Result<Started, Refusal> {
    let name = job.metadata.model.clone().expect("only requests that name a model come here");
    let mut after: Option<Span> = None;
    let began = clock::now();
    tried.end = SearchEnd::Refused;
    for attempt in 0..PERMIT_REQUESTS_MAX {
        if let Err(end) = may_send(job, service, tried) {
            tried.end = end;
            break;
        }
        let Some((instance, wait)) = choose(job, service, &name, &tried.engines, point.eligible)
        else {
            tried.end = SearchEnd::NoEngine;
            break;
        };
        tried.engines.push(instance.address);
        let last = attempt + 1 == PERMIT_REQUESTS_MAX || !has_others(job, service, tried, point);
        let wait = wait.filter(|_| !last);
        let acquired = tokio::select! {
            biased;
            why = job.gateway.wait_until_withdrawn(job, &instance) => {
                on_withdrawn(job, &instance, why);
                Err(None)
            }
            acquired = acquire_permit(job, &instance, &name, last, wait) => acquired,
        };
        let (version, permit) = match acquired {
            Ok(acquired) => acquired,
            Err(wait) => {
                after = after.min(wait).or(wait).or(after);
                if clock::now().since(began) >= FAILED_WAIT_MAX {
                    tried.end = SearchEnd::Waited;
                    break;
                }
                continue;
            }
        };
        let options = SendOptions {
            eligible: point.eligible,
            version,
            priority: Some(job.priority().min(9)),
            last_event: point.last_event,
            permitted: permit.is_some(),
            copy: None,
        };
        tried.sends += 1;
        match run(job, &instance, options).await {
            Ok(answer) if !answer.metadata.not_run => {
                return Ok(Started { instance, answer, permit, version });
            }
            Ok(answer) => on_not_run(job, &instance, answer).await,
            Err(SendError::Held(hold)) => {
                tried.sends -= 1;
                after = after.min(hold.after()).or(hold.after()).or(after);
            }
            Err(SendError::Link(error)) => {
                on_error(job, &instance, &error);
                if error.is_unsent() {
                    tried.sends -= 1;
                    continue;
                }
                tried.may_have_run = true;
                let again = parts::on_cut(&job.gateway, job, &instance, &error, None).await;
                if !again || job.route.repeat != Repeat::Resumable {
                    break;
                }
            }
        }
    }
    Err(final_refusal(job, service, tried, after, point.eligible))
}

/// Returns whether engines are left that a request may ask for a permit. Those of one software
/// may be few.
fn has_others(job: &Job, service: &str, tried: &Tried, point: StartPoint) -> bool {
    let catalogue = job.gateway.node.catalogue.borrow();
    let mut serving = catalogue.serving(service);
    point.eligible == Eligible::Any
        || serving.any(|row| point.eligible.includes(row) && !tried.engines.contains(&row.address))
}

/// Returns why the request may not be sent to one more engine, if so.
fn may_send(job: &Job, service: &str, tried: &Tried) -> Result<(), SearchEnd> {
    let again = tried.sends > 0;
    if job.remaining() <= PERMIT_WAIT_MIN {
        Err(SearchEnd::NoTime)
    } else if again && tried.sends >= job.route.attempts {
        Err(SearchEnd::Attempts)
    } else if again && !job.gateway.may_repeat(service) {
        Err(SearchEnd::Budget)
    } else {
        Ok(())
    }
}

/// Returns the refusal of a request that no engine runs. `after` is the time until an
/// engine may have a permit.
fn final_refusal(
    job: &Job,
    service: &str,
    tried: &Tried,
    after: Option<Span>,
    eligible: Eligible,
) -> Refusal {
    let has_engine = || {
        let catalogue = job.gateway.node.catalogue.borrow();
        catalogue.serving(service).any(|row| eligible.includes(row))
    };
    match (tried.may_have_run, job.remaining() == Span::ZERO, after) {
        (true, true, _) => Refusal::unknown(Code::Deadline, "no answer in time"),
        (true, false, _) => Refusal::unknown(Code::UpstreamFailed, "the engine failed"),
        (false, ..) if parts::is_quarantined(&job.gateway, job) => {
            Refusal::plain(Code::NoUpstream, parts::QUARANTINED)
        }
        (false, ..) if let Some(rest) = job.gateway.shortest_rest(service) => {
            Refusal::retry(Code::Overloaded, "engines asked for rest", job.spread(rest))
        }
        (false, _, Some(after)) => {
            Refusal::retry(Code::Overloaded, "engines are full", job.retry_after(after))
        }
        (false, _, None) if eligible != Eligible::Any && !has_engine() => {
            Refusal::plain(Code::NoUpstream, "no engine of the stream's software")
        }
        (false, _, None) => {
            let refusal = Refusal::retry(Code::NoUpstream, "no engine", NO_ENGINE_RETRY);
            job.gateway.evacuated_refusal(service).unwrap_or(refusal)
        }
    }
}

/// Returns the engine to try next, and how long to wait there until another one would start
/// the request sooner, where the speeds of engines differ.
fn choose(
    job: &Job,
    service: &str,
    name: &AdapterName,
    tried: &[SocketAddr],
    eligible: Eligible,
) -> Option<(Rc<Instance>, Option<Span>)> {
    let now = clock::now();
    let gateway = &job.gateway;
    let catalogue = gateway.node.catalogue.borrow();
    let health = gateway.health.borrow();
    let placement = gateway.placement.borrow();
    let rests = gateway.rests.borrow();
    let is_open = |row: &&Rc<Instance>| {
        eligible.includes(row)
            && !tried.contains(&row.address)
            && rests.remaining(now, &row.id, row.born).is_none()
    };
    let untried: Vec<&Rc<Instance>> = catalogue.serving(service).filter(is_open).collect();
    let is_healthy = |row: &&&Rc<Instance>| {
        !health.is_suspect(now, &row.id)
            && !health.is_suspect(now, &permits::sidecar_id(row.address))
            && !placement.is_silent(now, row.address)
    };
    let healthy: Vec<SocketAddr> =
        untried.iter().filter(is_healthy).map(|row| row.address).collect();
    let all = || untried.iter().map(|row| row.address).collect::<Vec<_>>();
    let zone = gateway.node.settings.daemon.zone.to_string();
    let near = untried.iter().filter(|row| row.zone == zone).map(|row| row.address).collect();
    let want =
        RequestNeeds { size: job.size(), priority: job.priority(), remaining: job.remaining() };
    let (engine, wait) = match placement.choose_at_pace(now, name, &want, &healthy, &near) {
        Some(chosen) => chosen,
        None => {
            let engine = placement
                .choose_spread(now, name, &healthy, job.draw())
                .or_else(|| placement.choose(now, name, &healthy))
                .or_else(|| placement.choose(now, name, &all()))?;
            (engine, None)
        }
    };
    drop(placement);
    if let Some(at) = gateway.placement.borrow_mut().choose_replica(now, name, &healthy) {
        drop(actix_rt::spawn(permits::request_replica(gateway.clone(), at, name.clone())));
    }
    untried.into_iter().find(|row| row.address == engine).cloned().map(|row| (row, wait))
}

/// Acquires a permit for an engine. Returns it with the version of the adapter that may
/// run the request. If the sidecar does not answer, the engine is used without a permit,
/// provided that the adapter is known to be resident. An error is the time until a
/// permit may be available, if known. `last` says whether no other engine is asked after this
/// one, `wait` how long to wait at most, if another one would start the request sooner.
async fn acquire_permit(
    job: &Job,
    instance: &Instance,
    name: &AdapterName,
    last: bool,
    wait: Option<Span>,
) -> Result<(Option<u32>, Option<Permit>), Option<Span>> {
    let engine = instance.address;
    let gateway = &job.gateway;
    let now = clock::now();
    let suspect = gateway.health.borrow().is_suspect(now, &permits::sidecar_id(engine));
    let waited = now.since(job.arrived);
    let target = Span::from_micros(job.route.latency_target.as_micros() * PERMIT_WAIT_FACTOR);
    let mut max_wait = target.saturating_sub(waited).max(PERMIT_WAIT_MIN).min(job.remaining());
    if let Some(wait) = wait {
        max_wait = max_wait.min(wait).max(PERMIT_WAIT_MIN);
    } else if !last && gateway.placement.borrow().is_fleet_idle(now) {
        max_wait = max_wait.min(IDLE_FLEET_WAIT_MAX);
    }
    let verdict = match suspect {
        true => None,
        false => {
            gateway.placement.borrow_mut().on_send_prompt(engine, job.size().prompt);
            permits::request_permit(job, instance, name, max_wait, false).await
        }
    };
    match verdict {
        Some((Verdict::Granted { version }, permit)) => {
            debug!(gateway.node.log, ""; "event" => "placed", "request" => &job.metadata.attempt,
                "upstream" => &instance.id, "version" => version);
            Ok((version, Some(permit)))
        }
        Some((Verdict::Refused { why, after }, _)) => {
            let mut placement = gateway.placement.borrow_mut();
            placement.on_refusal(engine);
            if why == PermitRefusal::Busy {
                let engines = gateway.node.catalogue.borrow().serving(&instance.service).count();
                placement.on_busy(now, name, engines);
            }
            info!(gateway.node.log, ""; "event" => "no_place", "request" => &job.metadata.attempt,
                "upstream" => &instance.id, "why" => why.as_str(),
                "after_ms" => after.as_millis());
            Err(matches!(why, PermitRefusal::Busy | PermitRefusal::Unready).then_some(after))
        }
        None => {
            let resident = gateway.placement.borrow().resident_version(engine, name);
            let newest = gateway.node.catalogue.borrow().version(name);
            match resident {
                Some(resident) => Ok((Some(newest.unwrap_or(resident)), None)),
                None => Err(None),
            }
        }
    }
}

/// Records that a request no longer waits for a permit, as `why` says.
fn on_withdrawn(job: &Job, instance: &Instance, why: Withdrawal) {
    job.gateway.metrics.on_withdrawal(why);
    let event = match why {
        Withdrawal::Evacuated => "zone_left",
        Withdrawal::Leaving | Withdrawal::Resting | Withdrawal::Quarantined => "wait_left",
    };
    info!(job.gateway.node.log, ""; "event" => event, "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "zone" => &instance.zone, "why" => why.as_str());
}

/// Sends the request and waits for the head of the answer, which arrives with the first
/// event.
async fn run(
    job: &Job,
    instance: &Instance,
    options: SendOptions<'_>,
) -> Result<PendingAnswer, SendError> {
    let mut time = job.remaining();
    if job.route.repeat == Repeat::Resumable {
        time =
            time.min(Span::from_micros(job.route.latency_target.as_micros() * FIRST_EVENT_FACTOR));
    }
    match tokio::time::timeout(time.into(), send::send(job, instance, options)).await {
        Ok(answer) => answer,
        Err(_) => Err(LinkError::Silent.into()),
    }
}

/// Records that the engine refused the request without running it.
async fn on_not_run(job: &Job, instance: &Instance, answer: PendingAnswer) {
    let status = answer.head.status.as_u16();
    job.gateway.metrics.on_send("not_run");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => "not_run", "status" => status);
    if let Err(error) = send::read_body(job, instance, answer).await {
        debug!(job.gateway.node.log, ""; "event" => "refusal_cut", "error" => %error);
    }
}

/// Records a failed attempt.
fn on_error(job: &Job, instance: &Instance, error: &LinkError) {
    let now = clock::now();
    let unreachable = matches!(error, LinkError::Unsent(_) | LinkError::Silent);
    let exchange = if unreachable { Exchange::Unreachable } else { Exchange::Failed };
    job.gateway.health.borrow_mut().on_exchange(now, &instance.id, exchange);
    if unreachable {
        job.gateway.node.pool.forget(instance.address);
    }
    job.gateway.metrics.on_send("lost");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => "lost", "error" => %error,
        "ms" => now.since(job.arrived).as_millis());
}
