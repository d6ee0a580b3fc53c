//! Requests of model engines.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Response, body::BoxBody};
use kingcupbay_core::{
    deployment::model::{AdapterName, Instance, Repeat},
    health::Exchange,
    time::Span,
    wire::{
        error::Code,
        sidecar::{Refusal as Closed, Verdict},
    },
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{
        job::Job,
        place::{self, Place},
        reply::Refusal,
        send::{self, Extra, Sent},
        stream::Relay,
    },
    http::link::LinkError,
};

/// Engines that are asked for a place before a request is refused. Those that
/// come first have the shortest queues; the fourth would refuse as well.
const ASKED_MAX: usize = 4;

/// How long a request waits for its place, as a multiple of its aim. A caller
/// leaves after four times the aim without an event; reading its prompt and
/// making the first event take part of the rest.
const PATIENCE: u64 = 2;

/// A request that has waited this long for a place in vain has no time left
/// to wait at another engine, which would only load its adapter for nobody.
const WAITED: Span = Span::from_millis(500);

/// Least wait for a place that is worth asking for.
const PATIENCE_MIN: Span = Span::from_millis(60);

/// An engine with a place for a request makes its first event within this
/// multiple of the aim, or is taken for stuck where the stream may go on
/// elsewhere.
const STUCK: u64 = 2;

/// When to come back if no engine could be reached.
const NONE: Span = Span::from_millis(700);

/// An engine that runs a request.
pub(crate) struct Started {
    pub(crate) instance: Rc<Instance>,
    pub(crate) sent: Sent,
    /// Given back when the stream ends; none where the daemon beside the
    /// engine could not be asked.
    pub(crate) place: Option<Place>,
}

/// What was tried for a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    /// Engines that have it no more.
    pub(crate) engines: Vec<SocketAddr>,
    /// Engines that it was sent to.
    pub(crate) sends: u32,
    /// Engines that may have run it.
    pub(crate) may_have_run: bool,
}

/// Has an engine of `service` run a request, and passes its stream on.
pub(crate) async fn serve(job: Rc<Job>, service: &str) -> Result<Response<BoxBody>, Refusal> {
    let mut tried = Tried::default();
    let started = start(&job, service, &mut tried, job.ask.last_event).await?;
    let waited = clock::now().since(job.arrived);
    job.gateway.metrics.on_first_event(&job.route.name, waited);
    info!(job.gateway.node.log, ""; "event" => "streaming", "request" => &job.ask.attempt,
        "route" => &job.route.name, "upstream" => &started.instance.id,
        "status" => started.sent.head.status.as_u16(), "sends" => tried.sends,
        "ms" => waited.as_millis());
    Ok(Relay::response(job, service.to_owned(), started, tried))
}

/// Finds an engine that runs the request, after event `last_event` of its
/// stream if it has begun.
pub(crate) async fn start(
    job: &Job,
    service: &str,
    tried: &mut Tried,
    last_event: Option<u64>,
) -> Result<Started, Refusal> {
    let name = job.ask.model.clone().expect("only requests that name a model come here");
    let mut after: Option<Span> = None;
    let began = clock::now();
    for _ in 0..ASKED_MAX {
        if job.left() <= PATIENCE_MIN || !may_send(job, service, tried) {
            break;
        }
        let Some(instance) = choose(job, service, &name, &tried.engines) else { break };
        tried.engines.push(instance.address);
        let (version, place) = match enter(job, &instance, &name).await {
            Ok(entered) => entered,
            Err(wait) => {
                after = after.min(wait).or(wait).or(after);
                if clock::now().since(began) >= WAITED {
                    break;
                }
                continue;
            }
        };
        let extra = Extra { version, priority: Some(job.rank().min(9)), last_event };
        tried.sends += 1;
        match run(job, &instance, extra).await {
            Ok(sent) if !sent.said.not_run => return Ok(Started { instance, sent, place }),
            Ok(sent) => on_not_run(job, &instance, sent).await,
            Err(error) => {
                on_error(job, &instance, &error);
                if error.is_unsent() {
                    tried.sends -= 1;
                    continue;
                }
                tried.may_have_run = true;
                if job.route.repeat != Repeat::Resumable {
                    break;
                }
            }
        }
    }
    Err(give_up(job, tried, after))
}

/// Whether the request may be sent to one more engine.
fn may_send(job: &Job, service: &str, tried: &Tried) -> bool {
    let again = tried.sends > 0;
    !again || (tried.sends < job.route.attempts && job.gateway.may_repeat(service))
}

/// What the caller is told when no engine runs the request; `after` is when one
/// may have a place.
fn give_up(job: &Job, tried: &Tried, after: Option<Span>) -> Refusal {
    match (tried.may_have_run, job.left() == Span::ZERO, after) {
        (true, true, _) => Refusal::unknown(Code::Deadline, "no answer in time"),
        (true, false, _) => Refusal::unknown(Code::UpstreamFailed, "the engine failed"),
        (false, _, Some(after)) => Refusal::retry(Code::Overloaded, "engines are full", after),
        (false, _, None) => Refusal::retry(Code::NoUpstream, "no engine", NONE),
    }
}

/// The engine to try next.
fn choose(
    job: &Job,
    service: &str,
    name: &AdapterName,
    tried: &[SocketAddr],
) -> Option<Rc<Instance>> {
    let now = clock::now();
    let gateway = &job.gateway;
    let catalogue = gateway.node.catalogue.borrow();
    let health = gateway.health.borrow();
    let placement = gateway.placement.borrow();
    let free: Vec<&Rc<Instance>> =
        catalogue.serving(service).filter(|row| !tried.contains(&row.address)).collect();
    let sound = |row: &&&Rc<Instance>| {
        !health.is_suspect(now, &row.id)
            && !health.is_suspect(now, &place::sidecar_id(row.address))
            && !placement.is_silent(now, row.address)
    };
    let best: Vec<SocketAddr> = free.iter().filter(sound).map(|row| row.address).collect();
    let all = || free.iter().map(|row| row.address).collect::<Vec<_>>();
    let engine =
        placement.choose(now, name, &best).or_else(|| placement.choose(now, name, &all()))?;
    drop(placement);
    if let Some(at) = gateway.placement.borrow_mut().choose_replica(now, name, &best) {
        drop(actix_rt::spawn(place::copy(gateway.clone(), at, name.clone())));
    }
    free.into_iter().find(|row| row.address == engine).cloned()
}

/// Gets a place at an engine. Where the daemon beside it does not answer, the
/// engine may be used without one if it is known to hold the adapter. An error
/// says when there may be a place, if that is known.
async fn enter(
    job: &Job,
    instance: &Instance,
    name: &AdapterName,
) -> Result<(Option<u32>, Option<Place>), Option<Span>> {
    let engine = instance.address;
    let gateway = &job.gateway;
    let now = clock::now();
    let lost = gateway.health.borrow().is_suspect(now, &place::sidecar_id(engine));
    let waited = now.since(job.arrived);
    let aim = Span::from_micros(job.route.latency_target.as_micros() * PATIENCE);
    let patience = aim.saturating_sub(waited).max(PATIENCE_MIN).min(job.left());
    let asked = match lost {
        true => None,
        false => place::ask(job, engine, name, patience).await,
    };
    match asked {
        Some((Verdict::Granted { version }, place)) => {
            debug!(gateway.node.log, ""; "event" => "placed", "request" => &job.ask.attempt,
                "upstream" => &instance.id, "version" => version);
            Ok((version, Some(place)))
        }
        Some((Verdict::Refused { why, after }, _)) => {
            gateway.placement.borrow_mut().on_refusal(engine);
            info!(gateway.node.log, ""; "event" => "no_place", "request" => &job.ask.attempt,
                "upstream" => &instance.id, "why" => why.as_str(),
                "after_ms" => after.as_millis());
            Err(matches!(why, Closed::Busy | Closed::Unready).then_some(after))
        }
        None => {
            let held = gateway.placement.borrow().resident_version(engine, name);
            let newest = gateway.node.catalogue.borrow().version(name);
            match held {
                Some(held) => Ok((Some(newest.unwrap_or(held)), None)),
                None => Err(None),
            }
        }
    }
}

/// Sends the request and waits for the head of the answer, which comes with
/// the first event.
async fn run(job: &Job, instance: &Instance, extra: Extra) -> Result<Sent, LinkError> {
    let mut time = job.left();
    if job.route.repeat == Repeat::Resumable {
        time = time.min(Span::from_micros(job.route.latency_target.as_micros() * STUCK));
    }
    match tokio::time::timeout(time.into(), send::send(job, instance, extra)).await {
        Ok(sent) => sent,
        Err(_) => Err(LinkError::Silent),
    }
}

/// The engine refused the request as not run.
async fn on_not_run(job: &Job, instance: &Instance, sent: Sent) {
    let status = sent.head.status.as_u16();
    job.gateway.metrics.on_send("not_run");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.ask.attempt,
        "upstream" => &instance.id, "outcome" => "not_run", "status" => status);
    if let Err(error) = send::whole_body(job, instance, sent).await {
        debug!(job.gateway.node.log, ""; "event" => "refusal_cut", "error" => %error);
    }
}

/// An attempt failed.
fn on_error(job: &Job, instance: &Instance, error: &LinkError) {
    let now = clock::now();
    let away = matches!(error, LinkError::Unsent(_) | LinkError::Silent);
    let ending = if away { Exchange::Unreachable } else { Exchange::Failed };
    job.gateway.health.borrow_mut().on_exchange(now, &instance.id, ending);
    if away {
        job.gateway.node.pool.forget(instance.address);
    }
    job.gateway.metrics.on_send("lost");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.ask.attempt,
        "upstream" => &instance.id, "outcome" => "lost", "error" => %error,
        "ms" => now.since(job.arrived).as_millis());
}
