//! Requests of tests to the server itself, which no fault touches.

use actix_http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{
    Shared,
    call::{self, Answer, Call},
    fault,
};
use crate::fault::{FaultOrder, RuleId};

/// Path that sets and shows faults.
pub(crate) const FAULT: &str = "/fault";
/// Path that answers when a rule has hit so often: `?ID=HITS`.
pub(crate) const HIT: &str = "/fault/hit";
/// Path that switches the recording of received bytes, and shows them.
pub(crate) const RECEIVED: &str = "/received";

/// Paths of the stand-ins that only show what they recorded.
const RECORDS: [&str; 2] = ["/state", "/executions"];
/// Path of the host list, which tests write and daemons read.
const HOSTS: &str = "/hosts";

/// Body of `PUT /received`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Recording {
    /// Whether to record from now on.
    pub(crate) on: bool,
}

/// Answers what concerns the server; the rest goes to the stand-in.
pub(super) async fn answer(shared: &Shared, call: Call) -> Answer {
    match (&call.method, call.path.as_str()) {
        (&Method::POST, FAULT) => order(shared, &call).unwrap_or_else(|refusal| refusal),
        (&Method::GET, FAULT) => call::json(shared.behaviour.faults.borrow().faults()),
        (&Method::GET, HIT) => hit(shared, &call).await,
        (&Method::PUT, RECEIVED) => record(shared, &call).unwrap_or_else(|refusal| refusal),
        (&Method::GET, RECEIVED) => call::bytes(shared.registry.received().concat().into()),
        _ if is_exempt(&call) => (shared.behaviour.answer)(call).await,
        _ => fault::answer(shared, call).await,
    }
}

fn is_exempt(call: &Call) -> bool {
    let record = call.method == Method::GET && RECORDS.contains(&call.path.as_str());
    let hosts = call.method == Method::PUT && call.path.starts_with(HOSTS);
    call.conn.is_control() || record || hosts
}

fn order(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let order: FaultOrder = call.json()?;
    match shared.order(order, Some(call.conn.id())) {
        Some(id) => Ok(call::json(&id)),
        None => Ok(call::json(&())),
    }
}

async fn hit(shared: &Shared, call: &Call) -> Answer {
    let parse = |query: &str| {
        let (id, hits) = query.split_once('=')?;
        Some((RuleId(id.parse().ok()?), hits.parse().ok()?))
    };
    let Some((id, hits)) = parse(&call.query) else {
        return call::text(StatusCode::BAD_REQUEST, "the query is ID=HITS");
    };
    shared.hit(id, hits).await;
    call::json(&())
}

fn record(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let recording: Recording = call.json()?;
    shared.registry.record(recording.on);
    Ok(call::empty(StatusCode::OK))
}
