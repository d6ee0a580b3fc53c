//! Handles entries' permit requests, releases and replica requests.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    admission::Ticket,
    deployment::model::AdapterName,
    limit::LimitSource,
    time::Span,
    wire::sidecar::{PermitRelease, PermitRequest, Refusal, Verdict},
};
use slog::{debug, info};
use tokio::sync::oneshot;

use crate::{
    clock, http,
    registered::{message, specs},
    server::{drain::Phase, socket::Peer},
    sidecar::{Sidecar, engine, transfers},
};

/// Time after which to retry at a sidecar that is stopping. Its successor starts soon.
const STOPPING_RETRY: Span = Span::from_secs(1);

/// A queued permit request, removed from the queue on drop.
struct QueuedRequest {
    sidecar: Rc<Sidecar>,
    ticket: Ticket,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        // An answered ticket is no longer in the map, and needs no cancellation.
        if self.sidecar.answers.borrow_mut().remove(&self.ticket).is_some() {
            let actions = self.sidecar.admission.borrow_mut().on_cancel(clock::now(), self.ticket);
            self.sidecar.perform(actions);
        }
    }
}

/// Answers a permit request once it is granted or refused.
pub(crate) async fn handle_permit_request(
    sidecar: Rc<Sidecar>,
    mut request: Request,
) -> Response<BoxBody> {
    let permit = match message::read::<PermitRequest>(&sidecar.node.log, &mut request).await {
        Ok(permit) => permit,
        Err(answer) => return answer,
    };
    let now = clock::now();
    if Peer::of(&request).has_left() {
        // Its adapter would be loaded for nobody.
        debug!(sidecar.node.log, ""; "event" => "entry_left", "request" => &permit.attempt);
        return answer(&Verdict::Refused { why: Refusal::Unready, after: Span::ZERO });
    }
    sidecar.entries.borrow_mut().entry(permit.entry).or_default().last_request = now;
    if let Some(digest) = permit.spec {
        specs::on_digest(&sidecar.node, now, digest);
    }
    if sidecar.node.drain.phase() != Phase::Serving {
        let verdict = Verdict::Refused { why: Refusal::Unready, after: STOPPING_RETRY };
        return answer(&verdict);
    }
    let ticket = Ticket(sidecar.tickets.get() + 1);
    sidecar.tickets.set(ticket.0);
    let (sender, receiver) = oneshot::channel();
    sidecar.answers.borrow_mut().insert(ticket, sender);
    let queued = QueuedRequest { sidecar: sidecar.clone(), ticket };
    let (attempt, name) = (permit.attempt.clone(), permit.name.adapter.clone());
    let granted = permit.clone();
    let priority = permit.priority;
    let limit = sidecar.admission.borrow().limit(now);
    let actions = sidecar.admission.borrow_mut().on_permit_request(now, ticket, permit);
    engine::log_limit(&sidecar, now, limit, LimitSource::Request);
    sidecar.perform(actions);
    sidecar.wake.notify_one();
    let verdict =
        receiver.await.unwrap_or(Verdict::Refused { why: Refusal::Unready, after: STOPPING_RETRY });
    drop(queued);
    if matches!(verdict, Verdict::Granted { .. }) {
        transfers::on_grant(&sidecar, &granted);
    }
    let waited = clock::now().since(now);
    sidecar.metrics.on_verdict(&verdict, priority, waited);
    let waited = waited.as_millis();
    match &verdict {
        Verdict::Granted { version } => debug!(sidecar.node.log, ""; "event" => "granted",
            "request" => attempt, "adapter" => name, "priority" => priority, "version" => version,
            "waited_ms" => waited),
        Verdict::Refused { why, after } => info!(sidecar.node.log, ""; "event" => "no_place",
            "request" => attempt, "adapter" => name, "priority" => priority, "why" => why.as_str(),
            "after_ms" => after.as_millis(), "waited_ms" => waited),
    }
    answer(&verdict)
}

/// Releases permits.
pub(crate) async fn handle_releases(
    sidecar: Rc<Sidecar>,
    mut request: Request,
) -> Response<BoxBody> {
    let releases = match message::read::<Vec<PermitRelease>>(&sidecar.node.log, &mut request).await
    {
        Ok(releases) => releases,
        Err(answer) => return answer,
    };
    let now = clock::now();
    for PermitRelease { attempt, pause } in releases {
        if let Some(pause) = pause {
            sidecar.admission.borrow_mut().on_stream_complete(&attempt, pause);
        }
        sidecar.transfers.on_release(&attempt);
        let actions = sidecar.admission.borrow_mut().on_request_end(now, &attempt);
        sidecar.perform(actions);
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// Requests a replica of an adapter whose other engines are busy.
pub(crate) async fn handle_replica_request(
    sidecar: Rc<Sidecar>,
    mut request: Request,
) -> Response<BoxBody> {
    let name = match message::read::<AdapterName>(&sidecar.node.log, &mut request).await {
        Ok(name) => name,
        Err(answer) => return answer,
    };
    let actions = sidecar.admission.borrow_mut().on_replica_request(clock::now(), name);
    sidecar.perform(actions);
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// Encodes a verdict as an answer.
fn answer(verdict: &Verdict) -> Response<BoxBody> {
    let body = rmp_serde::to_vec_named(verdict).expect("a verdict has only plain fields");
    http::reply::bytes("application/msgpack", body.into())
}
