//! Requests of tests to the server itself, which faults do not affect.

use actix_http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{
    Shared,
    call::{self, Answer, Call},
    fault,
};
use crate::fault::{FaultOrder, RuleId};

/// Path that sets and lists fault rules.
pub(crate) const FAULT: &str = "/fault";
/// Path that answers once a rule has hit that often: `?ID=HITS`.
pub(crate) const HIT: &str = "/fault/hit";
/// Path that switches the recording of received bytes, and returns them.
pub(crate) const RECEIVED: &str = "/received";

/// Paths that only return the records of a stand-in.
const RECORDS: [&str; 2] = ["/state", "/executions"];
/// Path of the host list, which tests write and daemons read.
const HOSTS: &str = "/hosts";

/// Body of `PUT /received`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Recording {
    /// Whether received bytes are recorded from now on.
    pub(crate) on: bool,
}

/// Answers requests to the server itself and passes the others to the stand-in.
pub(super) async fn answer(shared: &Shared, call: Call) -> Answer {
    match (&call.method, call.path.as_str()) {
        (&Method::POST, FAULT) => {
            apply_order(shared, &call).await.unwrap_or_else(|refusal| refusal)
        }
        (&Method::GET, FAULT) => call::json(shared.behaviour.faults.borrow().faults()),
        (&Method::GET, HIT) => wait_for_hits(shared, &call).await,
        (&Method::PUT, RECEIVED) => set_recording(shared, &call).unwrap_or_else(|refusal| refusal),
        (&Method::GET, RECEIVED) => call::bytes(shared.connections.received().concat().into()),
        _ if is_exempt(&call) => (shared.behaviour.answer)(call).await,
        _ => fault::answer(shared, call).await,
    }
}

/// Returns whether faults do not apply to a call.
fn is_exempt(call: &Call) -> bool {
    let record = call.method == Method::GET && RECORDS.contains(&call.path.as_str());
    let hosts = call.method == Method::PUT && call.path.starts_with(HOSTS);
    call.conn.is_control() || record || hosts
}

/// Carries out an order. The answer arrives once the port is open or closed as ordered.
async fn apply_order(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let order: FaultOrder = call.json()?;
    let rule = shared.apply(order, Some(call.conn.id()));
    shared.wait_for_port().await;
    match rule {
        Some(id) => Ok(call::json(&id)),
        None => Ok(call::json(&())),
    }
}

async fn wait_for_hits(shared: &Shared, call: &Call) -> Answer {
    let parse = |query: &str| {
        let (id, hits) = query.split_once('=')?;
        Some((RuleId(id.parse().ok()?), hits.parse().ok()?))
    };
    let Some((id, hits)) = parse(&call.query) else {
        return call::text(StatusCode::BAD_REQUEST, "the query is ID=HITS");
    };
    shared.wait_for_hits(id, hits).await;
    call::json(&())
}

fn set_recording(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let recording: Recording = call.json()?;
    shared.connections.set_recording(recording.on);
    Ok(call::empty(StatusCode::OK))
}
