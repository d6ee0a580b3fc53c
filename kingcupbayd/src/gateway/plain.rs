//! Forwards requests to plain services.

use std::rc::Rc;

use actix_http::{Response, ResponseHead, body::BoxBody, header};
use kingcupbay_core::{
    deployment::model::{Instance, Repeat},
    health::Exchange,
    origin::Eligible,
    time::Span,
    wire::error::Code,
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{
        Gateway, RepeatTicket,
        admit::Hold,
        job::Job,
        open_attempts::OpenAttempts,
        reply::{self, Refusal},
        send::{self, SendError, SendOptions},
    },
    http::{budget::HeldBytes, link::LinkError},
    registered::{fatal, origins, parts},
};

/// Time without an answer, as a multiple of the route's latency target, after which a request
/// that may be repeated is sent to another upstream as well. Services answer within half of their
/// target; their slowest hundredth takes five times as long.
const ANSWER_TIME_FACTOR: u64 = 3;

/// Pause before a repeat is tried again that the budget did not allow.
const REPEAT_PAUSE: Span = Span::from_millis(100);

/// Time after which to retry if every upstream was full.
const FULL_RETRY: Span = Span::from_millis(300);

/// Time after which to retry if no upstream could be reached.
const NO_UPSTREAM_RETRY: Span = Span::from_millis(700);

/// Outcome of one attempt.
enum Outcome {
    /// The upstream sent a complete answer. Whether it shows that the upstream has outlived the
    /// request.
    Answer(ResponseHead, HeldBytes, bool),
    /// The upstream says that the request did not run.
    NotRun,
    /// The request was held back.
    Held(Hold),
    /// The request was not sent.
    Unsent(LinkError),
    /// The request may have run.
    Unknown(LinkError),
}

/// Counts a request as open at an upstream until it is dropped.
struct OpenRequest<'a> {
    gateway: &'a Gateway,
    id: &'a str,
}

impl<'a> OpenRequest<'a> {
    fn new(gateway: &'a Gateway, id: &'a str) -> OpenRequest<'a> {
        gateway.health.borrow_mut().on_send(id);
        OpenRequest { gateway, id }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.gateway.health.borrow_mut().on_end(self.id);
    }
}

/// The attempts at a request so far.
#[derive(Default)]
struct Tried {
    /// Ids of the upstreams that were chosen.
    upstreams: Vec<String>,
    /// Number of upstreams that the request was sent to.
    sends: u32,
    may_have_run: bool,
    /// The last answer that reports a failure.
    failure: Option<(Rc<Instance>, ResponseHead, HeldBytes)>,
    held: Option<Hold>,
}

impl Tried {
    /// Records that the request was not sent after all.
    fn on_unsent(&mut self, ticket: Option<RepeatTicket>) {
        self.sends -= 1;
        if let Some(ticket) = ticket {
            ticket.on_unsent();
        }
    }
}

/// What may be done next for a request.
enum Next {
    Send(Rc<Instance>, Option<RepeatTicket>),
    /// No further upstream may be tried now, but later.
    Pause,
    /// No further upstream may be tried.
    Nothing,
}

/// Sends a request to upstreams of `service` until one answers. An upstream that is silent may
/// still answer while another is tried.
pub(crate) async fn serve(job: Rc<Job>, service: &str) -> Result<Response<BoxBody>, Refusal> {
    if let Some(refusal) = fatal::refusal(&job) {
        return Err(refusal);
    }
    let eligible = match job.route.repeat.streams() {
        true => origins::eligible(&job, service).await?,
        false => Eligible::Any,
    };
    let mut tried = Tried::default();
    let open = OpenAttempts::new();
    while job.remaining() > Span::ZERO {
        let next = choose_next(&job, service, eligible, &tried, !open.is_empty());
        let newest = match &next {
            Next::Send(instance, _) => Some(instance.clone()),
            Next::Pause | Next::Nothing if open.is_empty() => break,
            Next::Pause | Next::Nothing => None,
        };
        let patience = match next {
            Next::Send(instance, ticket) => {
                let first = tried.upstreams.is_empty();
                if let Some(after) = first.then(|| check_backlog(&job, &instance)).flatten() {
                    return Err(Refusal::retry(Code::Overloaded, "upstreams are behind", after));
                }
                tried.upstreams.push(instance.id.clone());
                tried.sends += 1;
                open.push(Box::pin(attempt(&job, instance, eligible, ticket)));
                patience(&job, tried.sends)
            }
            Next::Pause | Next::Nothing if tried.failure.is_some() => answer_time(&job),
            Next::Pause => REPEAT_PAUSE.min(job.remaining()),
            Next::Nothing => job.remaining(),
        };
        let ended = match clock::timeout(patience, open.next()).await {
            Some(ended) => ended,
            None => match newest {
                Some(instance) => {
                    on_silence(&job, &instance);
                    continue;
                }
                None if tried.failure.is_some() => break,
                None => continue,
            },
        };
        let (instance, ticket, outcome) = ended;
        record(&job, &instance, &outcome);
        match outcome {
            Outcome::Answer(head, body, is_sound)
                if !head.status.is_server_error() || !job.route.repeat.repeatable() =>
            {
                if is_sound && !head.status.is_server_error() {
                    fatal::on_complete(&job);
                }
                return Ok(deliver(&job, &instance, &head, body));
            }
            Outcome::Answer(head, body, _) => tried.failure = Some((instance, head, body)),
            Outcome::NotRun => {}
            Outcome::Held(hold) => {
                tried.on_unsent(ticket);
                if hold.is_final() {
                    tried.held = Some(hold);
                    break;
                }
                tried.held = Some(hold.earlier(tried.held));
            }
            Outcome::Unsent(_) => tried.on_unsent(ticket),
            // Another answer would not find memory either.
            Outcome::Unknown(LinkError::NoRoom) => {
                tried.may_have_run = true;
                break;
            }
            Outcome::Unknown(error) => {
                tried.may_have_run = true;
                let again = parts::on_cut(&job, &instance, &error, None).await;
                if !again || !job.route.repeat.repeatable() {
                    break;
                }
            }
        }
    }
    // The attempts that are still open have used up the time of the request.
    tried.may_have_run |= !open.is_empty();
    if let Some((instance, head, body)) = tried.failure {
        return Ok(deliver(&job, &instance, &head, body));
    }
    Err(final_refusal(&job, service, eligible, &tried))
}

/// Returns what to do next for a request that has been tried as `tried` says. `has_open` says
/// whether a silent upstream may still answer it.
fn choose_next(
    job: &Job,
    service: &str,
    eligible: Eligible,
    tried: &Tried,
    has_open: bool,
) -> Next {
    let Some(instance) = choose(job, service, eligible, &tried.upstreams) else {
        return Next::Nothing;
    };
    match tried.sends {
        _ if has_open && !job.route.repeat.repeatable() => Next::Nothing,
        0 => Next::Send(instance, None),
        sends if sends >= job.route.attempts => Next::Nothing,
        _ => match job.gateway.try_repeat(service, has_open) {
            Some(ticket) => Next::Send(instance, Some(ticket)),
            None => Next::Pause,
        },
    }
}

/// Returns how long an upstream may be silent before another one is tried as well.
fn patience(job: &Job, sends: u32) -> Span {
    match job.route.repeat == Repeat::Idempotent && sends < job.route.attempts {
        true => answer_time(job),
        false => job.remaining(),
    }
}

/// Returns the time in which an upstream usually answers, at most what is left.
fn answer_time(job: &Job) -> Span {
    let target = job.route.latency_target.as_micros();
    Span::from_micros(target * ANSWER_TIME_FACTOR).min(job.remaining())
}

/// Records that an upstream has not answered in time.
fn on_silence(job: &Job, instance: &Instance) {
    let gateway = &job.gateway;
    let now = clock::now();
    gateway.health.borrow_mut().on_silence(now, &instance.id);
    gateway.node.pool.forget(instance.address);
    gateway.metrics.on_silence("no_answer");
    warn!(gateway.node.log, ""; "event" => "silent", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "left_ms" => job.remaining().as_millis());
}

/// Returns the refusal of a request that no upstream answers.
fn final_refusal(job: &Job, service: &str, eligible: Eligible, tried: &Tried) -> Refusal {
    let has_upstream = || {
        let catalogue = job.gateway.node.catalogue.borrow();
        catalogue.serving(service).any(|row| eligible.includes(row))
    };
    match (tried.may_have_run, job.remaining() == Span::ZERO) {
        (true, true) => Refusal::unknown(Code::Deadline, "no answer in time"),
        (true, false) => Refusal::unknown(Code::UpstreamFailed, "the upstream failed"),
        (false, _) if let Some(held) = tried.held.filter(|held| held.is_final()) => {
            Refusal::plain(Code::NoUpstream, held.as_str())
        }
        (false, _) if let Some(rest) = job.gateway.shortest_rest(service) => {
            Refusal::retry(Code::Overloaded, "upstreams asked for rest", job.spread(rest))
        }
        (false, _) if tried.sends > 0 => {
            Refusal::retry(Code::Overloaded, "upstreams are full", job.retry_after(FULL_RETRY))
        }
        (false, _) if let Some(held) = tried.held => {
            let after = held.after().map_or(NO_UPSTREAM_RETRY, |after| job.spread(after));
            Refusal::retry(Code::Overloaded, held.as_str(), after)
        }
        (false, _) if eligible != Eligible::Any && !has_upstream() => {
            Refusal::plain(Code::NoUpstream, "no upstream of the stream's software")
        }
        (false, _) => {
            let refusal = Refusal::retry(Code::NoUpstream, "no upstream", NO_UPSTREAM_RETRY);
            job.gateway.evacuated_refusal(service).unwrap_or(refusal)
        }
    }
}

/// Returns the upstream to try next.
fn choose(job: &Job, service: &str, eligible: Eligible, tried: &[String]) -> Option<Rc<Instance>> {
    let catalogue = job.gateway.node.catalogue.borrow();
    let is_open = |row: &&Rc<Instance>| eligible.includes(row) && !tried.contains(&row.id);
    let untried: Vec<&Rc<Instance>> =
        catalogue.listed(service).into_iter().filter(is_open).collect();
    let health = job.gateway.health.borrow();
    let ids = untried.iter().map(|row| row.id.as_str());
    let id = health.choose(clock::now(), ids, job.draw())?;
    untried.iter().find(|row| row.id == id).map(|row| Rc::clone(row))
}

/// Returns the time after which to retry if `instance`, the least busy upstream, would
/// answer too late.
fn check_backlog(job: &Job, instance: &Instance) -> Option<Span> {
    let now = clock::now();
    let target = job.route.latency_target.saturating_sub(now.since(job.arrived));
    let mut backlog = job.gateway.backlog.borrow_mut();
    backlog.on_request(now, &instance.id, job.priority());
    let refused = backlog.refuse_by_priority(now, &instance.id, target, job.priority(), job.draw());
    refused.map(|after| job.retry_after(after))
}

/// Makes one attempt at `instance`. `ticket` is present unless it is the first one.
async fn attempt(
    job: &Rc<Job>,
    instance: Rc<Instance>,
    eligible: Eligible,
    mut ticket: Option<RepeatTicket>,
) -> (Rc<Instance>, Option<RepeatTicket>, Outcome) {
    if let Some(ticket) = &mut ticket {
        ticket.on_send();
    }
    let outcome = {
        let _open = OpenRequest::new(&job.gateway, &instance.id);
        let exchange = exchange(job, &instance, eligible);
        let ended = clock::timeout(job.remaining(), exchange).await;
        ended.unwrap_or(Outcome::Unknown(LinkError::Silent))
    };
    (instance, ticket, outcome)
}

/// Sends the request to `instance` and reads the whole answer.
async fn exchange(job: &Rc<Job>, instance: &Rc<Instance>, eligible: Eligible) -> Outcome {
    let began = clock::now();
    let last_event = job.metadata.last_event;
    let options = SendOptions { eligible, last_event, ..SendOptions::plain() };
    let answer = match send::send(job, instance, options).await {
        Ok(answer) => answer,
        Err(SendError::Held(hold)) => return Outcome::Held(hold),
        Err(SendError::Link(error)) if error.is_unsent() => return Outcome::Unsent(error),
        Err(SendError::Link(error)) => return Outcome::Unknown(error),
    };
    let is_unframed = answer.link.is_unframed();
    match send::read_body(job, instance, answer).await {
        Ok((_, metadata, _)) if metadata.not_run => {
            if let Some(load) = metadata.load {
                let mut backlog = job.gateway.backlog.borrow_mut();
                backlog.on_refusal(clock::now(), &instance.id, load);
            }
            Outcome::NotRun
        }
        Ok((head, metadata, body)) => {
            if let Some(load) = metadata.load {
                let now = clock::now();
                let mut backlog = job.gateway.backlog.borrow_mut();
                backlog.on_answer(now, &instance.id, load, now.since(began));
            }
            if head.status.is_success() && !metadata.is_proved() {
                return Outcome::Unknown(LinkError::Unproved);
            }
            if !is_unframed {
                fatal::on_answer(&job.gateway, instance, began);
                return Outcome::Answer(head, body, true);
            }
            match fatal::is_unframed_end(job, instance, began, body.bytes.is_empty()).await {
                true => Outcome::Unknown(LinkError::Early),
                false => {
                    let is_sound = !body.bytes.is_empty();
                    Outcome::Answer(head, body, is_sound)
                }
            }
        }
        Err(error) => Outcome::Unknown(error),
    }
}

/// Records and logs the outcome of an attempt.
fn record(job: &Job, instance: &Instance, outcome: &Outcome) {
    let gateway = &job.gateway;
    let (ending, text) = match outcome {
        Outcome::Answer(head, ..) if head.status.is_server_error() => (Exchange::Failed, "failure"),
        Outcome::Answer(..) => (Exchange::Succeeded, "answer"),
        Outcome::NotRun => (Exchange::Failed, "not_run"),
        Outcome::Held(_) => return,
        Outcome::Unknown(LinkError::NoRoom) => return on_no_room(job, instance),
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
    if let Outcome::Unsent(error) = outcome {
        fatal::on_error(gateway, instance, error);
    }
    warn!(gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => text, "error" => error,
        "ms" => now.since(job.arrived).as_millis());
}

/// Records that an answer was not read as there was no memory for it, which says nothing about
/// its upstream.
fn on_no_room(job: &Job, instance: &Instance) {
    job.gateway.metrics.on_send("no_room");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => "no_room",
        "ms" => clock::now().since(job.arrived).as_millis());
}

/// Records which software made a stream that the caller may take up.
fn record_origin(job: &Job, instance: &Instance, head: &ResponseHead) {
    let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let is_stream =
        head.status.is_success() && kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let software = job.gateway.software(instance);
    if let (Some(stream), Some(software)) = (job.stream(), software)
        && is_stream
        && job.route.repeat == Repeat::Resumable
    {
        origins::on_own(&job.gateway, &instance.service, stream, software);
    }
}

/// Returns the upstream's answer, and counts and logs it.
fn deliver(
    job: &Job,
    instance: &Instance,
    head: &ResponseHead,
    body: HeldBytes,
) -> Response<BoxBody> {
    let ms = clock::now().since(job.arrived);
    job.gateway.metrics.on_answer(&job.route.name, head.status.as_u16(), ms);
    record_origin(job, instance, head);
    info!(job.gateway.node.log, ""; "event" => "answered", "request" => &job.metadata.attempt,
        "route" => &job.route.name, "upstream" => &instance.id,
        "status" => head.status.as_u16(), "ms" => ms.as_millis());
    reply::complete(job, head, body)
}
