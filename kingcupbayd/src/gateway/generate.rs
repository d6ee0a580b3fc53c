//! Forwards requests to model engines.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use kingcupbay_core::{
    deployment::model::{Instance, Repeat},
    health::Exchange,
    origin::Eligible,
    time::{Instant, Span},
    wire::error::Code,
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{
        RepeatTicket,
        admit::Hold,
        choice,
        job::Job,
        open_attempts::OpenAttempts,
        permits::Permit,
        reply::Refusal,
        send::{self, PendingAnswer, SendError, SendOptions},
        stream::Relay,
        tried::{SearchEnd, Tried, may_send},
    },
    http::link::LinkError,
    registered::{fatal, origins, parts},
};

/// Largest number of engines that are asked for a permit before a request is refused.
/// Engines with the shortest queues are asked first; a further one would refuse as well.
const PERMIT_REQUESTS_MAX: usize = 4;

/// Time spent waiting for permits in vain after which no further engine is tried. The
/// request has no time left to wait there, so the engine would load its adapter for
/// nothing.
const FAILED_WAIT_MAX: Span = Span::from_millis(500);

/// Time without the first event of a resumable stream, as a multiple of the latency target,
/// after which another engine is tried as well.
const FIRST_EVENT_FACTOR: u64 = 2;

/// Pause between two searches for another engine while one is silent. It doubles up to
/// [`SEARCH_PAUSE_MAX`].
pub(super) const SEARCH_PAUSE: Span = Span::from_millis(500);

/// Longest pause between two searches.
const SEARCH_PAUSE_MAX: Span = Span::from_secs(1);

/// Returns the pause after the next search, if it is `pause` before it.
pub(super) fn next_pause(pause: Span) -> Span {
    (pause + pause).min(SEARCH_PAUSE_MAX)
}

/// Time in which the body of a refusal must end for its connection to be used again.
const REFUSAL_TIME: Span = Span::from_millis(200);

/// Time after which to retry if no engine could be reached.
const NO_ENGINE_RETRY: Span = Span::from_millis(700);

/// From where on and at which engines a request runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartPoint {
    /// Event after which a stream that has begun goes on.
    pub(crate) last_event: Option<u64>,
    pub(crate) eligible: Eligible,
    /// From when on its wait for a permit counts.
    pub(crate) since: Instant,
    /// Whether a silent engine may still go on with the stream. Then only engines in good
    /// health are tried.
    pub(crate) is_speculative: bool,
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

impl Started {
    pub(super) fn is_success(&self) -> bool {
        self.answer.head.status.is_success()
    }
}

/// Runs a request on an engine of `service` and forwards its stream.
pub(crate) async fn serve(job: Rc<Job>, service: &str) -> Result<Response<BoxBody>, Refusal> {
    if let Some(refusal) = parts::refusal(&job.gateway, &job) {
        return Err(refusal);
    }
    if let Some(refusal) = fatal::refusal(&job) {
        return Err(refusal);
    }
    let tried = Rc::new(Tried::default());
    let point = StartPoint {
        last_event: job.metadata.last_event,
        eligible: origins::eligible(&job, service).await?,
        since: job.arrived,
        is_speculative: false,
    };
    let started = start(&job, service, &tried, point).await?;
    let waited = clock::now().since(job.arrived);
    job.gateway.metrics.on_first_event(&job.route.name, waited);
    info!(job.gateway.node.log, ""; "event" => "streaming", "request" => &job.metadata.attempt,
        "route" => &job.route.name, "upstream" => &started.instance.id,
        "status" => started.answer.head.status.as_u16(), "sends" => tried.sends.get(),
        "software" => &started.instance.software, "last_event" => job.metadata.last_event,
        "resumes" => &job.metadata.resumes, "ms" => waited.as_millis());
    Ok(Relay::response(job, service.to_owned(), started, tried))
}

/// An attempt that has ended.
struct Attempt {
    instance: Rc<Instance>,
    permit: Option<Permit>,
    version: Option<u32>,
    /// Present unless it is the first one.
    ticket: Option<RepeatTicket>,
    result: Result<PendingAnswer, SendError>,
}

/// What follows from an attempt.
enum Outcome {
    Started(Box<Started>),
    /// Another engine may run the request. The time until the engine may take it, if known.
    Next(Option<Span>),
    /// No other engine may run it.
    Last,
}

/// Why a search ended without an engine.
struct Unplaced {
    /// Time until an engine may have a permit.
    after: Option<Span>,
    /// Whether no other engine may run the request.
    is_final: bool,
}

/// Finds an engine that runs the request from `point` on. One that is silent may still answer
/// while another is looked for: whichever answers first runs it.
///
/// Searches alternate with pauses as long as attempts are open. Once no other engine may run the
/// request, only the open attempts are waited for.
pub(crate) async fn start(
    job: &Rc<Job>,
    service: &str,
    tried: &Tried,
    point: StartPoint,
) -> Result<Started, Refusal> {
    let open = OpenAttempts::new();
    let mut after: Option<Span> = None;
    let mut pause = SEARCH_PAUSE;
    let mut failure = None;
    loop {
        let mut is_final = {
            let mut search = std::pin::pin!(search(job, service, tried, point, &open));
            loop {
                let outcome = tokio::select! {
                    biased;
                    ended = open.next() => conclude_silent(job, tried, ended).await,
                    found = &mut search => match found {
                        Ok(started) => Outcome::Started(started),
                        Err(unplaced) => {
                            after = after.min(unplaced.after).or(unplaced.after).or(after);
                            break unplaced.is_final;
                        }
                    },
                };
                match outcome {
                    Outcome::Started(started) if started.is_success() || open.is_empty() => {
                        return Ok(*started);
                    }
                    Outcome::Started(started) => {
                        failure = Some(started);
                        break true;
                    }
                    Outcome::Next(_) => {}
                    Outcome::Last => break true,
                }
            }
        };
        let has_open = !open.is_empty();
        let until = clock::now() + pause;
        pause = next_pause(pause);
        while !open.is_empty() {
            let rest = match (&failure, is_final) {
                (Some(_), _) => patience(job).min(job.remaining()),
                (None, true) => job.remaining(),
                (None, false) => until.since(clock::now()),
            };
            let Some(ended) = clock::timeout(rest, open.next()).await else { break };
            match conclude_silent(job, tried, ended).await {
                Outcome::Started(started) if started.is_success() => return Ok(*started),
                Outcome::Started(started) => (failure, is_final) = (Some(started), true),
                Outcome::Next(_) if is_final => {}
                Outcome::Next(_) => break,
                Outcome::Last => is_final = true,
            }
        }
        if is_final || !has_open {
            tried.may_have_run.set(tried.may_have_run.get() || !open.is_empty());
            let refusal = || final_refusal(job, service, tried, after, point.eligible);
            return failure.map(|started| *started).ok_or_else(refusal);
        }
    }
}

/// Asks engines for permits and sends the request to the first that grants one. Attempts at
/// engines that are silent stay in `open`.
async fn search<'a>(
    job: &'a Rc<Job>,
    service: &str,
    tried: &Tried,
    point: StartPoint,
    open: &OpenAttempts<'a, Attempt>,
) -> Result<Box<Started>, Unplaced> {
    let name = job.metadata.model.clone().expect("only requests that name a model come here");
    let mut after: Option<Span> = None;
    let began = clock::now();
    let mut asked = tried.engines.borrow().clone();
    tried.end.set(SearchEnd::Refused);
    for attempt in 0..PERMIT_REQUESTS_MAX {
        let is_speculative = point.is_speculative || !open.is_empty();
        let point = StartPoint { is_speculative, ..point };
        let mut ticket = match may_send(job, service, tried, is_speculative) {
            Ok(ticket) => ticket,
            Err(end) => {
                tried.end.set(end);
                let is_final = matches!(end, SearchEnd::NoTime | SearchEnd::Attempts);
                return Err(Unplaced { after, is_final });
            }
        };
        let Some((instance, wait)) = choice::choose(job, service, &name, &asked, point) else {
            tried.end.set(SearchEnd::NoEngine);
            break;
        };
        asked.push(instance.address);
        let last =
            attempt + 1 == PERMIT_REQUESTS_MAX || !choice::has_others(job, service, &asked, point);
        let wait = wait.filter(|_| !last);
        let acquired = tokio::select! {
            biased;
            why = job.gateway.wait_until_withdrawn(job, &instance, point.eligible) => match why {
                Some(why) => {
                    choice::on_withdrawn(job, &instance, why);
                    if why == Hold::CallerLeft {
                        job.on_abandoned("permit");
                    }
                    if why.is_final() {
                        return Err(Unplaced { after, is_final: true });
                    }
                    // The wait was not in vain: another engine may have room.
                    continue;
                }
                None => choice::skip_permit(job, &instance, &name, point),
            },
            acquired = choice::acquire_permit(job, &instance, &name, point, last, wait) => {
                acquired
            }
        };
        let (version, permit) = match acquired {
            Ok(acquired) => acquired,
            Err(wait) => {
                after = after.min(wait).or(wait).or(after);
                if clock::now().since(began) >= FAILED_WAIT_MAX {
                    tried.end.set(SearchEnd::Waited);
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
        if let Some(ticket) = &mut ticket {
            ticket.on_send();
        }
        tried.on_send(instance.address);
        let row = instance.clone();
        let run = Box::pin(async move {
            let result = run(job, &row, options).await;
            Attempt { instance: row, permit, version, ticket, result }
        });
        let Some(ended) = open.try_finish(run, patience(job)).await else {
            on_silence(job, &instance);
            continue;
        };
        match conclude(job, tried, ended).await {
            Outcome::Started(started) => return Ok(started),
            Outcome::Next(wait) => after = after.min(wait).or(wait).or(after),
            Outcome::Last => return Err(Unplaced { after, is_final: true }),
        }
    }
    Err(Unplaced { after, is_final: false })
}

/// Records how an attempt has ended at an engine that was silent.
async fn conclude_silent(job: &Rc<Job>, tried: &Tried, ended: Attempt) -> Outcome {
    let outcome = conclude(job, tried, ended).await;
    if let Outcome::Started(started) = &outcome {
        let gateway = &job.gateway;
        let id = &started.instance.id;
        gateway.health.borrow_mut().on_exchange(clock::now(), id, Exchange::Succeeded);
        gateway.metrics.on_silence("went_on");
        info!(gateway.node.log, ""; "event" => "went_on", "request" => &job.metadata.attempt,
            "upstream" => id, "ms" => clock::now().since(job.arrived).as_millis());
    }
    outcome
}

/// Records how an attempt has ended.
async fn conclude(job: &Rc<Job>, tried: &Tried, ended: Attempt) -> Outcome {
    let Attempt { instance, permit, version, ticket, result } = ended;
    let result = result.and_then(|answer| match answer.is_unproved_success() {
        true => Err(LinkError::Unproved.into()),
        false => Ok(answer),
    });
    match result {
        Ok(answer) if !answer.metadata.not_run => {
            Outcome::Started(Box::new(Started { instance, answer, permit, version }))
        }
        Ok(answer) => {
            on_not_run(job, &instance, answer).await;
            Outcome::Next(None)
        }
        Err(SendError::Held(hold)) => {
            tried.on_unsent(ticket);
            match hold.is_final() {
                true => Outcome::Last,
                false => Outcome::Next(hold.after()),
            }
        }
        Err(SendError::Link(error)) => {
            on_error(job, &instance, &error);
            if error.is_unsent() {
                tried.on_unsent(ticket);
                return Outcome::Next(None);
            }
            tried.may_have_run.set(true);
            let again = parts::on_cut(job, &instance, &error, None).await;
            match again && job.route.repeat == Repeat::Resumable {
                true => Outcome::Next(None),
                false => Outcome::Last,
            }
        }
    }
}

/// Returns how long an engine may be silent before another one is tried as well.
fn patience(job: &Job) -> Span {
    match job.route.repeat {
        Repeat::Resumable => {
            Span::from_micros(job.route.latency_target.as_micros() * FIRST_EVENT_FACTOR)
        }
        _ => job.remaining(),
    }
}

/// Records that an engine has not begun to answer in time.
fn on_silence(job: &Job, instance: &Instance) {
    let now = clock::now();
    let gateway = &job.gateway;
    gateway.health.borrow_mut().on_silence(now, &instance.id);
    gateway.metrics.on_silence("no_head");
    warn!(gateway.node.log, ""; "event" => "silent", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "left_ms" => job.remaining().as_millis());
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
    match (tried.may_have_run.get(), job.remaining() == Span::ZERO, after) {
        (true, true, _) => Refusal::unknown(Code::Deadline, "no answer in time"),
        (true, false, _) => Refusal::unknown(Code::UpstreamFailed, "the engine failed"),
        (false, ..) if parts::is_quarantined(&job.gateway, job) => {
            Refusal::plain(Code::NoUpstream, parts::QUARANTINED)
        }
        (false, ..) if let Some(refusal) = fatal::refusal(job) => refusal,
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

/// Sends the request and waits for the head of the answer, which arrives with the first
/// event.
async fn run(
    job: &Rc<Job>,
    instance: &Rc<Instance>,
    options: SendOptions<'_>,
) -> Result<PendingAnswer, SendError> {
    let time = job.remaining();
    match clock::timeout(time, send::send(job, instance, options)).await {
        Some(answer) => answer,
        None => Err(LinkError::Silent.into()),
    }
}

/// Records that the engine refused the request without running it.
async fn on_not_run(job: &Job, instance: &Instance, answer: PendingAnswer) {
    let status = answer.head.status.as_u16();
    job.gateway.metrics.on_send("not_run");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => "not_run", "status" => status);
    let time = REFUSAL_TIME.min(job.remaining());
    let read = tokio::time::timeout(time.into(), send::read_body(job, instance, answer));
    let error = match read.await {
        Ok(read) => read.err(),
        Err(_) => Some(LinkError::Silent),
    };
    if let Some(error) = error {
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
    fatal::on_error(&job.gateway, instance, error);
    job.gateway.metrics.on_send("lost");
    warn!(job.gateway.node.log, ""; "event" => "attempt", "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "outcome" => "lost", "error" => %error,
        "ms" => now.since(job.arrived).as_millis());
}
