//! Exchange of the parts of prompts that engines crash on between entries.
//!
//! A limiter reports to the other limiters and to its followers, a follower to one limiter, which
//! passes the report on.

use std::{io, net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use futures_util::future::join_all;
use kingcupbay_core::{
    deployment::model::Instance,
    quarantine::BEGIN_TIME,
    time::{Instant, Span},
    wire::{
        error::Code,
        part::{CrashId, PARTS_PATH, PartId, PartReports},
    },
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job, reply::Refusal},
    http::{
        self,
        link::{Link, LinkError},
    },
    registered::{fatal, message},
};

/// Timeout of an answer to a report.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Limiters that a follower asks to pass a report on, one after the other if one does not answer.
const LIMITERS_TRIED: usize = 3;

/// Why requests with a quarantined part are refused.
pub(crate) const QUARANTINED: &str = "engines crash on a part of the prompt";

/// Time in which an engine whose connection has ended must refuse a new one to count as crashed.
const PROBE_TIMEOUT: Span = Span::from_millis(150);

/// Pause before a second attempt to find out.
pub(super) const PROBE_PAUSE: Span = Span::from_millis(20);

/// Decides on what is known by now, and reports what has changed to other entries.
pub(crate) fn send_reports(gateway: &Rc<Gateway>) {
    let now = clock::now();
    gateway.fatal.borrow_mut().expire(now);
    gateway.exposures.borrow_mut().expire(now);
    let found = gateway.quarantine.borrow_mut().on_tick(now);
    on_found(gateway, &found, "own");
    let parts = gateway.quarantine.borrow_mut().reports(now);
    gateway.metrics.set_parts(
        gateway.quarantine.borrow().suspects(),
        gateway.quarantine.borrow().quarantined(now).count(),
    );
    if parts.is_empty() {
        return;
    }
    let gateway = gateway.clone();
    let reports = PartReports { parts, ..PartReports::default() };
    drop(actix_rt::spawn(async move { announce(&gateway, reports).await }));
}

/// Sends `reports` to all entries. Returns once the limiters have answered, or one of them if
/// this entry is none.
pub(crate) async fn announce(gateway: &Rc<Gateway>, reports: PartReports) {
    let is_limiter = gateway.limiters.borrow().is_limiter();
    let body = encode(&PartReports { relay: !is_limiter, ..reports });
    if !is_limiter {
        send_to_limiter(gateway.clone(), body).await;
        return;
    }
    let (peers, followers) = {
        let limiters = gateway.limiters.borrow();
        (limiters.peers().to_vec(), limiters.followers().collect())
    };
    send_to_all(gateway, followers, &body);
    join_all(peers.into_iter().map(|peer| send(gateway, peer, &body))).await;
}

fn encode(reports: &PartReports) -> Bytes {
    rmp_serde::to_vec_named(reports).expect("a report has only plain fields").into()
}

fn send_to_all(gateway: &Rc<Gateway>, targets: Vec<SocketAddr>, body: &Bytes) {
    for peer in targets {
        let (gateway, body) = (gateway.clone(), body.clone());
        drop(actix_rt::spawn(async move { send(&gateway, peer, &body).await }));
    }
}

/// Sends a report to the first limiter that answers.
async fn send_to_limiter(gateway: Rc<Gateway>, body: Bytes) {
    let mut tried = Vec::new();
    while tried.len() < LIMITERS_TRIED {
        let host = gateway.node.host();
        let Some(limiter) = gateway.limiters.borrow().choose(clock::now(), host, &tried) else {
            return;
        };
        if send(&gateway, limiter, &body).await {
            return;
        }
        tried.push(limiter);
    }
}

/// Sends a report to one entry. Returns whether it has arrived.
async fn send(gateway: &Gateway, peer: SocketAddr, body: &Bytes) -> bool {
    let node = &gateway.node;
    let called = node.call(peer, Method::POST, PARTS_PATH, body, ANSWER_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => return true,
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    debug!(node.log, ""; "event" => "parts_lost", "peer" => %peer, "error" => error);
    false
}

/// Applies another entry's report, and passes it on as a limiter.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let reports = match message::read::<PartReports>(&gateway.node.log, &mut request).await {
        Ok(reports) => reports,
        Err(answer) => return answer,
    };
    let is_limiter = gateway.limiters.borrow().is_limiter();
    if is_limiter {
        let targets = {
            let limiters = gateway.limiters.borrow();
            let peers = limiters.peers().iter().copied().filter(|_| reports.relay);
            peers.chain(limiters.followers()).collect()
        };
        let body = encode(&PartReports { relay: false, ..reports.clone() });
        send_to_all(&gateway, targets, &body);
    }
    for report in reports.requests {
        fatal::on_report(&gateway, report, true);
    }
    let now = clock::now();
    let found = gateway.quarantine.borrow_mut().on_reports(now, reports.parts, is_limiter);
    on_found(&gateway, &found, "report");
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// Ends what waits to be sent with a part that is quarantined from now on.
fn on_found(gateway: &Gateway, found: &[PartId], why: &str) {
    for part in found {
        warn!(gateway.node.log, ""; "event" => "part_quarantined",
            "part" => format!("{:x}", part.0), "why" => why);
    }
    if !found.is_empty() {
        gateway.withdrawn.notify_waiters();
    }
}

/// Returns the refusal of the request of `job` if its prompt holds a quarantined part. Now and
/// then one such request is let through at the entry of the first rank, to see whether engines
/// still crash on the part.
pub(crate) fn refusal(gateway: &Gateway, job: &Job) -> Option<Refusal> {
    let now = clock::now();
    let part = gateway.quarantine.borrow().find(now, &job.metadata.parts)?;
    if job.is_trial.get() {
        return None;
    }
    let is_first = gateway.limiters.borrow().hosts().next() == Some(gateway.node.host());
    if is_first && gateway.quarantine.borrow_mut().try_trial(now, part) {
        job.is_trial.set(true);
        info!(gateway.node.log, ""; "event" => "part_trial", "request" => &job.metadata.attempt,
            "part" => format!("{:x}", part.0));
        return None;
    }
    gateway.metrics.on_part_refusal();
    Some(Refusal::plain(Code::NoUpstream, QUARANTINED))
}

/// Returns whether the request of `job` may not be sent, as its prompt holds a quarantined part.
pub(crate) fn is_quarantined(gateway: &Gateway, job: &Job) -> bool {
    let found = gateway.quarantine.borrow().find(clock::now(), &job.metadata.parts);
    found.is_some() && !job.is_trial.get()
}

/// Records that an answer to the request of `job`, begun at `began`, has gone on.
pub(crate) fn on_answer(gateway: &Gateway, job: &Job, began: Instant) {
    let now = clock::now();
    let released = gateway.quarantine.borrow_mut().on_answer(now, began, &job.metadata.parts);
    for part in released {
        info!(gateway.node.log, ""; "event" => "part_released",
            "part" => format!("{:x}", part.0), "why" => "answer",
            "request" => &job.metadata.attempt);
    }
}

/// Records that the connection to `row`, which ran the request of `job`, has failed with `error`;
/// `began` is the time of the first byte of the answer. Returns whether the request may be sent
/// to another upstream. What is found out counts also if the caller leaves meanwhile.
pub(crate) async fn on_cut(
    job: &Rc<Job>,
    row: &Rc<Instance>,
    error: &LinkError,
    began: Option<Instant>,
) -> bool {
    let at = clock::now();
    let is_timeout = match error {
        LinkError::Early => false,
        LinkError::Lost(error) => error.kind() == io::ErrorKind::TimedOut,
        LinkError::Malformed(_) => false,
        LinkError::Unsent(_) | LinkError::Unproved | LinkError::Silent | LinkError::NoRoom => {
            return true;
        }
    };
    let is_malformed = matches!(error, LinkError::Malformed(_));
    if is_malformed {
        job.gateway.metrics.on_malformed();
    }
    if is_timeout {
        // The way there was cut. Whether the upstream has ended, too, shows later.
        fatal::on_given_up(job, row, at, false);
    } else if !is_malformed {
        fatal::record_end(job, row, at);
    }
    let is_beginning = began.is_none_or(|began| at.since(began) < BEGIN_TIME);
    let is_suspect = is_beginning && !job.metadata.parts.is_empty();
    let (job, row) = (job.clone(), row.clone());
    let decision = actix_rt::spawn(async move {
        let has_ended = (is_suspect || is_malformed) && has_ended(&row).await;
        let again = !(is_suspect && has_ended) || on_crash(&job.gateway, &job, &row, began);
        let counts = if is_malformed { has_ended } else { !is_timeout };
        (!counts || fatal::on_end(&job, &row, at).await) && again
    });
    decision.await.unwrap_or(false)
}

/// Records that `row` has crashed while it was about to answer the request of `job`. Returns
/// whether the request may be sent to another engine.
fn on_crash(gateway: &Gateway, job: &Job, row: &Instance, began: Option<Instant>) -> bool {
    let now = clock::now();
    let parts = &job.metadata.parts;
    let crash = CrashId::of(&row.id, row.born);
    let found = gateway.quarantine.borrow_mut().on_crash(now, crash, parts);
    on_found(gateway, &found, "own");
    let quarantine = gateway.quarantine.borrow();
    let again = !quarantine.is_repeated(now, parts) && quarantine.find(now, parts).is_none();
    let named: Vec<String> = parts.iter().map(|part| format!("{:x}", part.0)).collect();
    info!(gateway.node.log, ""; "event" => "part_suspects", "request" => &job.metadata.attempt,
        "upstream" => &row.id, "born" => row.born, "parts" => named.join(","),
        "began_ms" => began.map(|began| now.since(began).as_millis()), "again" => again);
    gateway.metrics.on_part_crash();
    again
}

/// The process of an upstream has ended.
pub(super) struct ProcessEnded;

/// Returns whether the process of `row` has ended. An engine that breaks off one answer, or a way
/// that is cut, does not count.
pub(crate) async fn has_ended(row: &Instance) -> bool {
    // Its connections may end a little before its port does.
    probe(row, PROBE_PAUSE).await.is_err() || probe(row, Span::ZERO).await.is_err()
}

/// Opens a connection to `row`, and returns it if it stays open for `pause`. Fails if the process
/// of `row` refuses it, or a proxy before it closes it at once.
pub(super) async fn probe(row: &Instance, pause: Span) -> Result<Option<Link>, ProcessEnded> {
    let opened = tokio::time::timeout(PROBE_TIMEOUT.into(), Link::open(row.address)).await;
    let link = match opened {
        Ok(Ok(link)) => link,
        Ok(Err(error)) if is_refusal(&error) => return Err(ProcessEnded),
        Ok(Err(_)) | Err(_) => return Ok(None),
    };
    if pause > Span::ZERO {
        tokio::time::sleep(pause.into()).await;
    }
    if link.is_clean() { Ok(Some(link)) } else { Err(ProcessEnded) }
}

pub(super) fn is_refusal(error: &LinkError) -> bool {
    matches!(error, LinkError::Unsent(error)
        if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Lists the quarantined parts for operators, or releases one.
pub(crate) fn answer_operator(gateway: &Gateway, request: &Request) -> Response<BoxBody> {
    let now = clock::now();
    let named = request.path().trim_start_matches("/quarantine").trim_start_matches('/');
    if request.method() == Method::DELETE {
        let Ok(part) = u64::from_str_radix(named, 16).map(PartId) else {
            return http::reply::text(StatusCode::BAD_REQUEST, "a part is a hexadecimal number\n");
        };
        if !gateway.quarantine.borrow_mut().release(now, part) {
            return http::reply::text(StatusCode::NOT_FOUND, "not quarantined\n");
        }
        info!(gateway.node.log, ""; "event" => "part_released", "part" => named,
            "why" => "operator");
        return http::reply::text(StatusCode::OK, "released\n");
    }
    let quarantine = gateway.quarantine.borrow();
    let lines = quarantine.quarantined(now).map(|part| format!("{:x}\n", part.0));
    http::reply::text(StatusCode::OK, lines.collect::<String>())
}
