//! Requests of plain services.

use std::rc::Rc;

use actix_http::{Response, ResponseHead, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    deployment::model::{Instance, Repeat},
    health::Exchange,
    time::Span,
    wire::error::Code,
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{
        Gateway,
        job::Job,
        reply::{self, Refusal},
        send::{self, Extra},
    },
    http::link::LinkError,
};

/// An upstream that has not answered within this multiple of the route's aim
/// is taken for stuck, where the request may go to another. Services answer
/// within half of their aim; their slowest hundredth takes five times as long.
const STUCK: u64 = 3;

/// When to come back if every upstream was full.
const FULL: Span = Span::from_millis(300);

/// When to come back if no upstream could be reached.
const NONE: Span = Span::from_millis(700);

/// How one attempt ended.
enum Outcome {
    /// A whole answer.
    Answer(ResponseHead, Bytes),
    /// The upstream says that it did not run.
    NotRun,
    /// The request never left.
    Unsent(LinkError),
    /// It may have run.
    Unknown(LinkError),
}

/// Counts a request at an upstream until it is dropped.
struct Open<'a> {
    gateway: &'a Gateway,
    id: &'a str,
}

impl<'a> Open<'a> {
    fn new(gateway: &'a Gateway, id: &'a str) -> Open<'a> {
        gateway.health.borrow_mut().on_send(id);
        Open { gateway, id }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.gateway.health.borrow_mut().on_end(self.id);
    }
}

/// Sends a request to upstreams of `service` until one answers.
pub(crate) async fn serve(job: Rc<Job>, service: &str) -> Result<Response<BoxBody>, Refusal> {
    let mut tried: Vec<String> = Vec::new();
    let mut sends = 0;
    let mut may_have_run = false;
    let mut failure = None;
    while job.left() > Span::ZERO {
        let Some(instance) = pick(&job, service, &tried) else { break };
        let again = sends > 0;
        if again && (sends >= job.route.attempts || !job.gateway.may_repeat(service)) {
            break;
        }
        if let Some(after) = behind(&job, &instance).filter(|_| tried.is_empty()) {
            return Err(Refusal::retry(Code::Overloaded, "upstreams are behind", after));
        }
        tried.push(instance.id.clone());
        let last = sends + 1 >= job.route.attempts;
        let outcome = attempt(&job, &instance, last).await;
        note(&job, &instance, &outcome);
        sends += u32::from(!matches!(outcome, Outcome::Unsent(_)));
        match outcome {
            Outcome::Answer(head, body) if !head.status.is_server_error() => {
                return Ok(deliver(&job, &instance, &head, body));
            }
            Outcome::Answer(head, body) if !job.route.repeat.repeatable() => {
                return Ok(deliver(&job, &instance, &head, body));
            }
            Outcome::Answer(head, body) => failure = Some((instance, head, body)),
            Outcome::NotRun | Outcome::Unsent(_) => {}
            Outcome::Unknown(_) => {
                may_have_run = true;
                if !job.route.repeat.repeatable() {
                    break;
                }
            }
        }
    }
    if let Some((instance, head, body)) = failure {
        return Ok(deliver(&job, &instance, &head, body));
    }
    Err(give_up(&job, sends, may_have_run))
}

/// What the caller is told when no upstream answers.
fn give_up(job: &Job, sends: u32, may_have_run: bool) -> Refusal {
    match (may_have_run, job.left() == Span::ZERO) {
        (true, true) => Refusal::unknown(Code::Deadline, "no answer in time"),
        (true, false) => Refusal::unknown(Code::UpstreamFailed, "the upstream failed"),
        (false, _) if sends > 0 => Refusal::retry(Code::Overloaded, "upstreams are full", FULL),
        (false, _) => Refusal::retry(Code::NoUpstream, "no upstream", NONE),
    }
}

fn pick(job: &Job, service: &str, tried: &[String]) -> Option<Rc<Instance>> {
    let catalogue = job.gateway.node.catalogue.borrow();
    let free: Vec<&Rc<Instance>> =
        catalogue.listed(service).into_iter().filter(|row| !tried.contains(&row.id)).collect();
    let health = job.gateway.health.borrow();
    let ids = free.iter().map(|row| row.id.as_str());
    let id = health.choose(clock::now(), ids, job.draw())?;
    free.iter().find(|row| row.id == id).map(|row| Rc::clone(row))
}

/// When to come back, if the answer of `instance`, the least busy one, would
/// come late.
fn behind(job: &Job, instance: &Instance) -> Option<Span> {
    let now = clock::now();
    let aim = job.route.latency_target.saturating_sub(now.since(job.arrived));
    job.gateway.backlog.borrow().refuse(now, &instance.id, aim, job.draw())
}

async fn attempt(job: &Job, instance: &Instance, last: bool) -> Outcome {
    let _open = Open::new(&job.gateway, &instance.id);
    let mut time = job.left();
    if job.route.repeat == Repeat::Idempotent && !last {
        time = time.min(Span::from_micros(job.route.latency_target.as_micros() * STUCK));
    }
    match tokio::time::timeout(time.into(), exchange(job, instance)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(LinkError::Silent),
    }
}

async fn exchange(job: &Job, instance: &Instance) -> Outcome {
    let began = clock::now();
    let sent = match send::send(job, instance, Extra::default()).await {
        Ok(sent) => sent,
        Err(error) if error.is_unsent() => return Outcome::Unsent(error),
        Err(error) => return Outcome::Unknown(error),
    };
    match send::whole_body(job, instance, sent).await {
        Ok((_, said, _)) if said.not_run => {
            if let Some(load) = said.load {
                let mut backlog = job.gateway.backlog.borrow_mut();
                backlog.on_refusal(clock::now(), &instance.id, load);
            }
            Outcome::NotRun
        }
        Ok((head, said, body)) => {
            if let Some(load) = said.load {
                let now = clock::now();
                let mut backlog = job.gateway.backlog.borrow_mut();
                backlog.on_answer(now, &instance.id, load, now.since(began));
            }
            let proper = said.signed && !said.encoded;
            match proper || !head.status.is_success() {
                true => Outcome::Answer(head, body),
                false => Outcome::Unknown(LinkError::Malformed("no proof".to_owned())),
            }
        }
        Err(error) => Outcome::Unknown(error),
    }
}

/// Remembers and logs how an attempt ended.
fn note(job: &Job, instance: &Instance, outcome: &Outcome) {
    let gateway = &job.gateway;
    let (ending, text) = match outcome {
        Outcome::Answer(head, _) if head.status.is_server_error() => (Exchange::Failed, "failure"),
        Outcome::Answer(..) => (Exchange::Succeeded, "answer"),
        Outcome::NotRun => (Exchange::Failed, "not_run"),
        Outcome::Unsent(_) => (Exchange::Unreachable, "unsent"),
        Outcome::Unknown(LinkError::Silent) => (Exchange::Unreachable, "silent"),
        Outcome::Unknown(_) => (Exchange::Failed, "lost"),
    };
    let now = clock::now();
    gateway.health.borrow_mut().on_exchange(now, &instance.id, ending);
    gateway.metrics.on_send(text);
    let error = match outcome {
        Outcome::Unsent(error) | Outcome::Unknown(error) => error.to_string(),
        _ => return,
    };
    if matches!(ending, Exchange::Unreachable) {
        gateway.node.pool.forget(instance.address);
    }
    warn!(gateway.node.log, ""; "event" => "attempt", "request" => &job.ask.attempt,
        "upstream" => &instance.id, "outcome" => text, "error" => error,
        "ms" => now.since(job.arrived).as_millis());
}

fn deliver(job: &Job, instance: &Instance, head: &ResponseHead, body: Bytes) -> Response<BoxBody> {
    let ms = clock::now().since(job.arrived);
    job.gateway.metrics.on_answer(&job.route.name, head.status.as_u16(), ms);
    info!(job.gateway.node.log, ""; "event" => "answered", "request" => &job.ask.attempt,
        "route" => &job.route.name, "upstream" => &instance.id,
        "status" => head.status.as_u16(), "ms" => ms.as_millis());
    reply::whole(&job.gateway, head.status, &head.headers, body)
}
