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
    head,
    outcome::{Account, Ending, Refusal},
    relay::{Job, Relay, Step, Target},
};
use crate::{
    clock,
    http::{body, reply},
};

/// Paths of calls begin with this.
pub(crate) const PREFIX: &str = "/v1/call/";

/// Tells that the answer is the recorded outcome of an earlier attempt.
const REPLAYED: &str = "idempotent-replayed";

/// Answers one call.
pub(crate) async fn call(entry: Rc<Entry>, request: Request) -> Response<BoxBody> {
    let (mut relay, mut account) = match admit(entry.clone(), request).await {
        Ok(admitted) => admitted,
        Err(refusal) => return reply::failure(&refusal.close(&entry.metrics, &entry.log)),
    };
    loop {
        let step = relay.next().await;
        account.on_attempt(relay.upstream());
        match step {
            Step::Called { status, body, replayed } => {
                account.close(&Ending::Whole(Default::default()));
                return answer(status, body, replayed);
            }
            Step::Failed(failure) => {
                account.close(&Ending::Failed(failure.clone()));
                return reply::failure(&failure);
            }
            Step::Token(_) | Step::Done { .. } => {}
        }
    }
}

async fn admit(entry: Rc<Entry>, request: Request) -> Result<(Relay, Account), Refusal> {
    let caller = admission::caller(&entry, &request)?;
    let refuse = |failure| Refusal::of(&caller, failure);
    prepare(entry, request, &caller).await.map_err(refuse)
}

async fn prepare(
    entry: Rc<Entry>,
    mut request: Request,
    caller: &Caller,
) -> Result<(Relay, Account), Failure> {
    let callers = entry.settings.callers.as_ref().expect("an entry has [callers]");
    let deadline = head::deadline(&request, callers, clock::now())?;
    let idempotency = head::idempotency(&request)?;
    let path = request.path().strip_prefix(PREFIX).expect("the path was matched").to_owned();
    let (name, rest) = path.split_once('/').unwrap_or((&path, ""));
    let config = entry.fleet.config();
    let (route, row) = config.route(caller.organisation, name).ok_or_else(|| {
        Failure::not_run(Code::NotFound, format!("no route {name} for this access key"))
    })?;
    if row.once && idempotency.is_none() {
        let message =
            format!("header {} is missing: this call runs at most once", head::IDEMPOTENCY);
        return Err(Failure::not_run(Code::BadRequest, message));
    }
    let target = Target::Service { name: row.service.clone(), once: row.once };
    let payload = request.take_payload();
    let body = body::read(payload, callers.body_limit, callers.body_timeout).await?.to_vec();
    let id = new_request_id();
    let account = Account::open(id, caller.clone(), name.to_owned(), &entry);
    let work = Work::Call { route, path: rest.to_owned(), idempotency, body };
    let job = Job { request: id, caller: caller.clone(), deadline, target, work };
    Ok((Relay::new(entry, job), account))
}

fn answer(status: u16, body: Vec<u8>, replayed: bool) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = ResponseBuilder::new(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if replayed {
        builder.insert_header((REPLAYED, "true"));
    }
    builder.body(body).map_into_boxed_body()
}
