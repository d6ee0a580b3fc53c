//! Calls to plain services: `POST /v1/call/ROUTE/PATH`.

use std::rc::Rc;

use actix_http::{Request, Response, ResponseBuilder, StatusCode, body::BoxBody, header};
use kingcupbay_core::wire::{
    error::{Code, Failure},
    run::Work,
};

use super::{
    Entry,
    admission::{self, Caller},
    answer::new_request_id,
    headers,
    outcome::{Ending, Refusal, RequestLog},
    relay::{Job, Relay, Step, Target},
};
use crate::{
    clock,
    http::{body, budget::HeldBytes, reply},
    server::socket::Peer,
};

/// Prefix of the paths of calls.
pub(crate) const PATH_PREFIX: &str = "/v1/call/";

/// Header of an answer that is the recorded outcome of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Answers one call.
pub(crate) async fn call(entry: Rc<Entry>, request: Request) -> Response<BoxBody> {
    let (mut relay, mut log) = match admit(entry.clone(), request).await {
        Ok(admitted) => admitted,
        Err(refusal) => return reply::failure(&refusal.close(&entry.metrics, &entry.log)),
    };
    loop {
        let step = relay.next().await;
        log.on_attempt(relay.upstream());
        match step {
            Step::Called { status, body, replayed } => {
                log.close(&Ending::Complete(Default::default()));
                return answer(status, body, replayed);
            }
            Step::Failed(failure) => {
                log.close(&Ending::Failed(failure.clone()));
                return reply::failure(&failure);
            }
            Step::Token(_) | Step::Done { .. } => {}
        }
    }
}

async fn admit(entry: Rc<Entry>, request: Request) -> Result<(Relay, RequestLog), Refusal> {
    let caller = admission::authenticate(&entry, &request)?;
    let refuse = |failure| Refusal::of(&caller, failure);
    prepare(entry, request, &caller).await.map_err(refuse)
}

/// Checks the call of a known caller.
async fn prepare(
    entry: Rc<Entry>,
    mut request: Request,
    caller: &Caller,
) -> Result<(Relay, RequestLog), Failure> {
    let callers = entry.settings.callers.as_ref().expect("an entry has [callers]");
    let deadline = headers::deadline(&request, callers, clock::now())?;
    let idempotency = headers::idempotency_key(&request)?;
    let path = request.path().strip_prefix(PATH_PREFIX).expect("the path was matched").to_owned();
    let (name, rest) = path.split_once('/').unwrap_or((&path, ""));
    let config = entry.fleet.config();
    let (route, row) = config.route(caller.organisation, name).ok_or_else(|| {
        Failure::not_run(Code::NotFound, format!("no route {name} for this access key"))
    })?;
    if row.once && idempotency.is_none() {
        let message = format!(
            "header {} is missing: this call runs at most once",
            headers::IDEMPOTENCY_HEADER
        );
        return Err(Failure::not_run(Code::BadRequest, message));
    }
    let target = Target::Service { name: row.service.clone(), once: row.once };
    let (limit, timeout) = (callers.body_limit, callers.body_timeout);
    let HeldBytes { bytes, held } =
        body::read(&mut request, Some(&caller.name), limit, timeout).await?;
    let id = new_request_id();
    let log = RequestLog::open(id, caller.clone(), name.to_owned(), &entry);
    let work = Work::Call { route, path: rest.to_owned(), idempotency, body: bytes.into() };
    let peer = Peer::of(&request);
    let job =
        Job { request: id, caller: caller.clone(), peer, deadline, target, work, _held: held };
    Ok((Relay::new(entry, job), log))
}

/// Builds the answer from what the service returned. A status that is not valid
/// in HTTP becomes 502.
fn answer(status: u16, body: Vec<u8>, replayed: bool) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = ResponseBuilder::new(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if replayed {
        builder.insert_header((REPLAYED_HEADER, "true"));
    }
    builder.body(body).map_into_boxed_body()
}
