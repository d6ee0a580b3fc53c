//! Exchange of the requests that end one upstream after the other between entries.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, body::BoxBody};
use futures_util::future::join_all;
use kingcupbay_core::{
    deployment::model::Instance,
    fatal::{Applied, Run, upstream_hash},
    origin::keepers,
    time::{Instant, Span},
    wire::{
        error::Code,
        fatal::{KNOWN_ENDS_PATH, REQUEST_ENDS_PATH, RequestEnds, RequestKey},
        origin::StreamId,
        part::PartReports,
    },
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job, reply::Refusal},
    http::{self, link::LinkError},
    registered::{
        message,
        parts::{self, ProcessEnded},
    },
};

/// Timeout of a message, for which a broken answer waits. A round trip within a region takes 2 ms.
const MESSAGE_TIMEOUT: Span = Span::from_millis(100);

/// Timeout of the answers to an entry that has just started. It is not ready before.
const RECOVERY_TIMEOUT: Span = Span::from_millis(300);

/// Time in which other entries see upstreams end that ended at the same moment.
const SETTLE_TIME: Span = Span::from_millis(10);

/// Time in which an upstream ends that ends as a request is given up.
const PROBE_DELAY: Span = Span::from_millis(20);

/// Largest number of requests that entries tell each other of as one starts.
const REPORTS_MAX: usize = 64;

/// Why a request is refused under which upstreams have ended.
pub(crate) const REFUSED: &str = "upstreams end under the request";

/// Returns whether no upstream may get the request of `job` any more.
pub(crate) fn is_refused(job: &Job) -> bool {
    let known = job.gateway.fatal.borrow();
    !known.is_empty() && known.is_refused(clock::now(), job.request_key())
}

/// Returns the refusal of the request of `job` if no upstream may get it any more.
pub(crate) fn refusal(job: &Job) -> Option<Refusal> {
    is_refused(job).then(|| {
        job.gateway.metrics.on_fatal_refusal();
        Refusal::plain(Code::NoUpstream, REFUSED)
    })
}

/// Returns the run of the request of `job` at `row`.
fn run_of(job: &Job, row: &Instance) -> Run {
    let arrived;
    let attempt = match &job.metadata.attempt {
        Some(attempt) => attempt,
        None => {
            arrived = job.arrived.as_micros().to_string();
            &arrived
        }
    };
    Run::new(job.request_key(), &row.id, row.born, attempt)
}

/// Records that `row` broke off its answer to the request of `job` at `at`.
///
/// Whether its process has ended cannot always be proved, as something else may accept connections
/// in its place. A sound request loses as many answers in a row only by rare chance.
pub(crate) fn record_end(job: &Job, row: &Instance, at: Instant) {
    job.gateway.fatal.borrow_mut().on_end(clock::now(), at, run_of(job, row));
}

/// Records that `row` broke off its answer to the request of `job` at `at`. Returns whether another
/// upstream may get the request, by what the entries that keep its count know.
pub(crate) async fn on_end(job: &Job, row: &Instance, at: Instant) -> bool {
    record_end(job, row, at);
    settle(&job.gateway, run_of(job, row), &row.id).await
}

/// Exchanges an end under the request of `run` with the entries that keep its count, and refuses
/// the request if it was the last one allowed. Returns whether another upstream may get it.
async fn settle(gateway: &Rc<Gateway>, run: Run, upstream: &str) -> bool {
    let request = run.request;
    let is_refused = || gateway.fatal.borrow().is_refused(clock::now(), request);
    share(gateway, request).await;
    if !is_refused() {
        // Other tries may have ended their upstreams at the same moment.
        tokio::time::sleep(SETTLE_TIME.into()).await;
        share(gateway, request).await;
    }
    let is_refused = is_refused();
    gateway.metrics.on_request_end();
    info!(gateway.node.log, ""; "event" => "request_end",
        "key" => format!("{:x}", request.0), "upstream" => upstream, "born" => run.born,
        "ends" => gateway.fatal.borrow().ends(clock::now(), request), "refused" => is_refused);
    if is_refused {
        gateway.withdrawn.notify_waiters();
        announce(gateway, request).await;
    }
    !is_refused
}

/// Records that the connection to `row`, which runs the request of `job` sent at `sent`, is given
/// up. `is_closed` says whether the upstream has closed it by then. Otherwise it may end under the
/// request all the same, as shows later.
pub(crate) fn on_given_up(job: &Rc<Job>, row: &Rc<Instance>, sent: Instant, is_closed: bool) {
    let gateway = &job.gateway;
    if gateway.node.catalogue.borrow().has_announced_leaving(row) {
        return;
    }
    let now = clock::now();
    let run = run_of(job, row);
    if is_closed {
        on_late_ends(gateway, &row.id, "closed", vec![(run, now)]);
        return;
    }
    gateway.exposures.borrow_mut().on_given_up(now, sent, run);
    if gateway.probed.borrow_mut().insert(row.address) {
        drop(actix_rt::spawn(probe(gateway.clone(), row.clone())));
    }
}

/// Finds out whether `row` has ended under a request that was given up.
async fn probe(gateway: Rc<Gateway>, row: Rc<Instance>) {
    tokio::time::sleep(PROBE_DELAY.into()).await;
    gateway.probed.borrow_mut().remove(&row.address);
    // Its process would have closed an idle connection.
    let is_open = gateway.node.pool.has_open(row.address);
    if !is_open && parts::probe(&row, parts::PROBE_PAUSE).await.is_err() {
        on_process_end(&gateway, &row);
    }
}

/// Records an error of an exchange with `row`, which may show that its process has ended.
pub(crate) fn on_error(gateway: &Rc<Gateway>, row: &Instance, error: &LinkError) {
    if parts::is_refusal(error) {
        on_process_end(gateway, row);
    }
}

fn on_process_end(gateway: &Rc<Gateway>, row: &Instance) {
    let now = clock::now();
    let upstream = upstream_hash(&row.id);
    let ended = gateway.exposures.borrow_mut().on_end(now, upstream, row.born);
    on_late_ends(gateway, &row.id, "refused", ended);
}

/// Records the ends of processes that the registrations of upstreams show: another one has started.
pub(crate) fn on_instances(gateway: &Rc<Gateway>) {
    if gateway.exposures.borrow().is_empty() {
        return;
    }
    let rows: Vec<Rc<Instance>> = gateway.node.catalogue.borrow().instances().cloned().collect();
    for row in rows {
        let upstream = upstream_hash(&row.id);
        let ended = gateway.exposures.borrow_mut().on_start(clock::now(), upstream, row.born);
        on_late_ends(gateway, &row.id, "started_anew", ended);
    }
}

/// Records that the upstream has ended under requests that were given up before, each with the
/// time of its end or, where that is not known, of its begin.
fn on_late_ends(
    gateway: &Rc<Gateway>,
    upstream: &str,
    why: &'static str,
    ended: Vec<(Run, Instant)>,
) {
    for (run, at) in ended {
        if !gateway.fatal.borrow_mut().on_end(clock::now(), at, run) {
            continue;
        }
        info!(gateway.node.log, ""; "event" => "late_end",
            "key" => format!("{:x}", run.request.0), "upstream" => upstream, "why" => why);
        gateway.metrics.on_late_end(why);
        let (gateway, upstream) = (gateway.clone(), upstream.to_owned());
        drop(actix_rt::spawn(async move { settle(&gateway, run, &upstream).await }));
    }
}

/// Records that `row` has answered a request sent at `sent`: it has outlived earlier ones.
pub(crate) fn on_answer(gateway: &Gateway, row: &Instance, sent: Instant) {
    let mut exposures = gateway.exposures.borrow_mut();
    if !exposures.is_empty() {
        exposures.on_answer(sent, upstream_hash(&row.id), row.born);
    }
}

/// Returns whether the answer of `row` to the request of `job`, sent at `sent`, has ended with the
/// upstream's process and not only with its connection. An empty one is only the head of an answer.
pub(crate) async fn is_unframed_end(
    job: &Rc<Job>,
    row: &Rc<Instance>,
    sent: Instant,
    is_empty: bool,
) -> bool {
    let pause = if is_empty { parts::PROBE_PAUSE } else { Span::ZERO };
    match parts::probe(row, pause).await {
        // It takes the place of the one that ended with the answer.
        Ok(Some(link)) => job.gateway.node.pool.put_unused(row.address, link),
        Ok(None) => {}
        Err(ProcessEnded) => return true,
    }
    if is_empty {
        on_given_up(job, row, sent, false);
    }
    false
}

/// Records that the request of `job` got a whole answer.
pub(crate) fn on_complete(job: &Job) {
    let gateway = &job.gateway;
    let request = job.request_key();
    if gateway.fatal.borrow_mut().on_complete(clock::now(), request) {
        let gateway = gateway.clone();
        drop(actix_rt::spawn(async move { share(&gateway, request).await }));
    }
}

/// Learns under which requests upstreams have ended from entries that have run for longer. Returns
/// once some of them have answered.
pub(crate) async fn recover(gateway: &Rc<Gateway>) {
    let others: Vec<SocketAddr> = {
        let catalogue = gateway.node.catalogue.borrow();
        let own = gateway.node.host();
        let others = catalogue.entries().filter(|member| member.host != own);
        let start = StreamId(gateway.node.incarnation);
        keepers(start, others, own)
    };
    let body = rmp_serde::to_vec_named(&()).expect("nothing is plain");
    let asked = others.iter().map(async |&other| {
        let node = &gateway.node;
        let called = node.call(other, Method::POST, KNOWN_ENDS_PATH, &body, RECOVERY_TIMEOUT).await;
        let known = match called {
            Ok(answer) if answer.status == 200 => {
                rmp_serde::from_slice::<Vec<RequestEnds>>(&answer.body)
                    .map_err(|error| error.to_string())
            }
            Ok(answer) => Err(format!("status {}", answer.status)),
            Err(error) => Err(error.to_string()),
        };
        match known {
            Ok(known) => known.into_iter().for_each(|report| on_report(gateway, report, false)),
            Err(error) => {
                debug!(node.log, ""; "event" => "request_ends_lost", "peer" => %other,
                    "error" => error);
            }
        }
    });
    join_all(asked).await;
    debug!(gateway.node.log, ""; "event" => "ends_recovered", "asked" => others.len(),
        "known" => gateway.fatal.borrow().reports(clock::now(), REPORTS_MAX).len());
}

/// Tells the entries that keep the counts of requests since the list of entries has changed.
pub(crate) fn on_entries(gateway: &Rc<Gateway>) {
    let reports = gateway.fatal.borrow().reports(clock::now(), REPORTS_MAX);
    for report in reports {
        let gateway = gateway.clone();
        drop(actix_rt::spawn(async move { share(&gateway, report.request).await }));
    }
}

/// Answers an entry that has just started with what is known here.
pub(crate) fn handle_known(gateway: &Gateway) -> Response<BoxBody> {
    let reports = gateway.fatal.borrow().reports(clock::now(), REPORTS_MAX);
    let body = rmp_serde::to_vec_named(&reports).expect("a report has only plain fields");
    http::reply::bytes("application/msgpack", body.into())
}

/// Exchanges what is known of `request` with the entries that keep its count.
async fn share(gateway: &Rc<Gateway>, request: RequestKey) {
    let keepers = {
        let catalogue = gateway.node.catalogue.borrow();
        keepers(StreamId(request.0), catalogue.entries(), gateway.node.host())
    };
    let report = gateway.fatal.borrow().report(clock::now(), request);
    let body = rmp_serde::to_vec_named(&report).expect("a report has only plain fields");
    let answers = join_all(keepers.iter().map(|&keeper| exchange(gateway, keeper, &body))).await;
    for known in answers.into_iter().flatten() {
        on_report(gateway, known, false);
    }
}

/// Reports to one entry. Returns what it knows if it answers.
async fn exchange(gateway: &Gateway, keeper: SocketAddr, body: &[u8]) -> Option<RequestEnds> {
    let node = &gateway.node;
    let called = node.call(keeper, Method::POST, REQUEST_ENDS_PATH, body, MESSAGE_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 200 => match rmp_serde::from_slice(&answer.body) {
            Ok(known) => return Some(known),
            Err(error) => error.to_string(),
        },
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    debug!(node.log, ""; "event" => "request_ends_lost", "peer" => %keeper, "error" => error);
    None
}

/// Names `request` to all entries, as its caller may try again at any of them.
async fn announce(gateway: &Rc<Gateway>, request: RequestKey) {
    let report = gateway.fatal.borrow().report(clock::now(), request);
    let requests = vec![report];
    parts::announce(gateway, PartReports { requests, ..PartReports::default() }).await;
}

/// Applies what another entry knows of a request, or has announced of it to all.
pub(crate) fn on_report(gateway: &Rc<Gateway>, report: RequestEnds, is_announced: bool) {
    let request = report.request;
    let applied = gateway.fatal.borrow_mut().on_report(clock::now(), report);
    match applied {
        Applied::Refused => {
            warn!(gateway.node.log, ""; "event" => "request_refused",
                "key" => format!("{:x}", request.0));
            gateway.withdrawn.notify_waiters();
        }
        Applied::Cleared if is_announced => {
            info!(gateway.node.log, ""; "event" => "request_cleared",
                "key" => format!("{:x}", request.0));
            let gateway = gateway.clone();
            drop(actix_rt::spawn(async move { announce(&gateway, request).await }));
        }
        Applied::Cleared | Applied::Known => {}
    }
}

/// Applies another entry's report, and answers with what is known here.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let report = match message::read::<RequestEnds>(&gateway.node.log, &mut request).await {
        Ok(report) => report,
        Err(answer) => return answer,
    };
    let key = report.request;
    on_report(&gateway, report, false);
    let known = gateway.fatal.borrow().report(clock::now(), key);
    let body = rmp_serde::to_vec_named(&known).expect("a report has only plain fields");
    http::reply::bytes("application/msgpack", body.into())
}
