//! Exchange of the requests that end one upstream after the other between entries.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, body::BoxBody};
use futures_util::future::join_all;
use kingcupbay_core::{
    deployment::model::Instance,
    fatal::Applied,
    origin::keepers,
    time::{Instant, Span},
    wire::{
        error::Code,
        fatal::{REQUEST_ENDS_PATH, RequestEnds, RequestKey},
        origin::StreamId,
        part::PartReports,
    },
};
use slog::{debug, info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job, reply::Refusal},
    http,
    registered::{message, parts},
};

/// Timeout of a message, for which a broken answer waits. A round trip within a region takes 2 ms.
const MESSAGE_TIMEOUT: Span = Span::from_millis(100);

/// Why a request is refused under which upstreams have ended.
pub(crate) const REFUSED: &str = "upstreams end under the request";

/// Returns whether no upstream may get the request of `job` any more.
pub(crate) fn is_refused(job: &Job) -> bool {
    let known = job.gateway.fatal.borrow();
    !known.is_empty()
        && job.request_key().is_some_and(|request| known.is_refused(clock::now(), request))
}

/// Returns the refusal of the request of `job` if no upstream may get it any more.
pub(crate) fn refusal(job: &Job) -> Option<Refusal> {
    is_refused(job).then(|| {
        job.gateway.metrics.on_fatal_refusal();
        Refusal::plain(Code::NoUpstream, REFUSED)
    })
}

/// Records that `row` broke off its answer to the request of `job` at `at`. Returns whether another
/// upstream may get the request, by what the entries that keep its count know.
///
/// Whether its process has ended cannot always be proved, as something else may accept connections
/// in its place. A sound request loses as many answers in a row only by rare chance.
pub(crate) async fn on_end(job: &Job, row: &Instance, at: Instant) -> bool {
    let Some(request) = job.request_key() else { return true };
    let gateway = &job.gateway;
    let now = clock::now();
    gateway.fatal.borrow_mut().on_end(now, at, request, &row.id, job.attempt());
    share(gateway, request).await;
    let now = clock::now();
    let ends = gateway.fatal.borrow().ends(now, request);
    let is_refused = gateway.fatal.borrow().is_refused(now, request);
    gateway.metrics.on_request_end();
    info!(gateway.node.log, ""; "event" => "request_end", "request" => &job.metadata.attempt,
        "key" => format!("{:x}", request.0), "upstream" => &row.id, "born" => row.born,
        "ends" => ends, "refused" => is_refused);
    if is_refused {
        announce(gateway, request).await;
    }
    !is_refused
}

/// Records that the request of `job` got a whole answer.
pub(crate) fn on_complete(job: &Job) {
    let gateway = &job.gateway;
    let Some(request) = job.request_key() else { return };
    if gateway.fatal.borrow_mut().on_complete(clock::now(), request) {
        let gateway = gateway.clone();
        drop(actix_rt::spawn(async move { share(&gateway, request).await }));
    }
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
