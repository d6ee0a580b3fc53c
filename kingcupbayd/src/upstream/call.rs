//! Client of plain services.

use std::rc::Rc;

use kingcupbay_core::{
    config::model::Upstream as Row,
    wire::{
        error::{Code, Failure, Ran},
        run::{Run, RunEvent, Work},
    },
};

use super::{Upstream, once, run::check_run};
use actix_http::header::{HeaderName, HeaderValue};

use crate::{
    clock,
    http::{client::Call, link::LinkError},
};

/// Longest answer body of a service.
pub(super) const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Runs a call and returns its final event.
pub(super) async fn run(upstream: Rc<Upstream>, run: Run) -> RunEvent {
    match attempt(upstream, run).await {
        Ok(event) => event,
        Err(failure) => RunEvent::Failed(failure),
    }
}

async fn attempt(upstream: Rc<Upstream>, run: Run) -> Result<RunEvent, Failure> {
    let deadline = clock::now() + run.left;
    let row = check_run(&upstream, &run).await?;
    let Work::Call { route, path, idempotency, body } = run.work else {
        unreachable!("the order was matched")
    };
    let config = upstream.fleet.config();
    let known = config.routes.get(route).filter(|known| known.organisation == run.organisation);
    let Some(known) = known else {
        return Err(Failure::not_run(Code::NotFound, "the route does not exist any more"));
    };
    if known.once {
        let Some(idempotency) = idempotency else {
            let message = "a call that runs at most once needs an idempotency key";
            return Err(Failure::not_run(Code::BadRequest, message));
        };
        let call = once::Call {
            request: run.request,
            organisation: run.organisation,
            upstream: run.upstream,
            row,
            route,
            path,
            idempotency,
            body,
            deadline,
        };
        return once::run(upstream.clone(), call).await;
    }
    let sent = send(&upstream, &row, &path, idempotency.as_deref(), body);
    let left = deadline.since(clock::now());
    match tokio::time::timeout(left.into(), sent).await {
        Ok(result) => result,
        Err(_) => {
            let message = "the service did not answer in time";
            Err(Failure { ran: Ran::Unknown, ..Failure::not_run(Code::Deadline, message) })
        }
    }
}

async fn send(
    upstream: &Upstream,
    row: &Row,
    path: &str,
    idempotency: Option<&str>,
    body: Vec<u8>,
) -> Result<RunEvent, Failure> {
    let path = call_path(path);
    let call = request(&path, idempotency, body).ok_or_else(|| {
        Failure::not_run(Code::BadRequest, "the idempotency key is no value of a header")
    })?;
    let sent = upstream.clients.send(&row.address, call).await;
    let mut answer = sent.map_err(|error| send_failure(&error))?;
    let status = answer.status().as_u16();
    let body = answer.read(MAX_ANSWER_BYTES).await.map_err(|error| Failure {
        ran: Ran::Ran,
        ..Failure::not_run(Code::UpstreamFailed, error.to_string())
    })?;
    Ok(RunEvent::Called { status, body: body.to_vec(), replayed: false })
}

/// Returns the path at which a service is called.
pub(super) fn call_path(path: &str) -> String {
    format!("/call/{path}")
}

/// Builds a call to the service at [`call_path`]; `None` if the key is no value of a header.
pub(super) fn request<'a>(
    path: &'a str,
    idempotency: Option<&str>,
    body: Vec<u8>,
) -> Option<Call<'a>> {
    let call = Call::post(path, body).with_json();
    let Some(key) = idempotency else { return Some(call) };
    let key = HeaderValue::from_str(key).ok()?;
    Some(call.with(HeaderName::from_static("idempotency-key"), key))
}

/// Converts an error of sending into a failure; the call may have run unless it
/// never left.
fn send_failure(error: &LinkError) -> Failure {
    let ran = if error.is_unsent() { Ran::NotRun } else { Ran::Unknown };
    Failure { ran, ..Failure::not_run(Code::UpstreamFailed, error.to_string()) }
}
