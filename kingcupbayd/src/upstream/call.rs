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
use crate::{
    clock,
    http::{body, client::is_unsent},
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
    let client = upstream.clients.get(&row.address);
    let sent = request(&client, row, path, idempotency).send_body(body).await;
    let mut response = sent.map_err(|error| send_failure(&error))?;
    let status = response.status().as_u16();
    let body = body::read_whole(&mut response, MAX_ANSWER_BYTES).await.map_err(|error| {
        Failure { ran: Ran::Ran, ..Failure::not_run(Code::UpstreamFailed, error.to_string()) }
    })?;
    Ok(RunEvent::Called { status, body: body.to_vec(), replayed: false })
}

/// Builds a call to the service, without the body.
pub(super) fn request(
    client: &awc::Client,
    row: &Row,
    path: &str,
    idempotency: Option<&str>,
) -> awc::ClientRequest {
    let url = format!("http://{}/call/{path}", row.address);
    let request = client.post(url).insert_header(("content-type", "application/json"));
    match idempotency {
        Some(key) => request.insert_header(("idempotency-key", key)),
        None => request,
    }
}

/// Converts an error of sending into a failure; the call may have run unless it
/// never left.
fn send_failure(error: &awc::error::SendRequestError) -> Failure {
    let ran = if is_unsent(error) { Ran::NotRun } else { Ran::Unknown };
    Failure { ran, ..Failure::not_run(Code::UpstreamFailed, error.to_string()) }
}
