//! Client and server of pulls between daemons, as MessagePack over HTTP.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    gossip::{
        PullId,
        message::{Answer, PULL_PATH, Pull, SNAPSHOT_PATH, Snapshot},
    },
    id::MemberId,
    time::Span,
    wire::error::{Code, Failure},
};
use serde::de::DeserializeOwned;
use slog::{debug, warn};
use thiserror::Error;

use super::Fleet;
use crate::{
    clock,
    http::{body, client::Call, reply},
};

/// Longest time to receive a pull or its answer. Only this timeout detects a
/// connection that has gone silent for good. It is then removed from the pool,
/// and the next pull opens another.
const PULL_TIMEOUT: Span = Span::from_secs(1);

/// Longest time to receive a whole configuration.
const SNAPSHOT_TIMEOUT: Span = Span::from_secs(30);

/// Longest pull; the list of known records of 340 members takes about 2 KB.
const MAX_PULL_BYTES: usize = 1 << 20;

/// Longest answer; patches of declarations are large.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Error of a request to a peer.
#[derive(Debug)]
#[derive(Error)]
enum PeerError {
    #[error("no such member")]
    Unknown,
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Failed(String),
}

/// Sends a pull and passes its answer to the gossip.
pub(super) async fn pull(fleet: Rc<Fleet>, id: PullId, to: MemberId, pull: Pull) {
    let body = rmp_serde::to_vec(&pull).expect("a pull serialises");
    match request_from::<Answer>(&fleet, to, PULL_PATH, body, PULL_TIMEOUT).await {
        Ok(answer) => {
            let config = fleet.config();
            let mut gossip = fleet.gossip.borrow_mut();
            let actions = gossip.handle_answer(clock::now(), id, answer, &config);
            drop(gossip);
            fleet.execute(actions);
        }
        Err(error) => {
            fleet.gossip.borrow_mut().forget_pull(id);
            debug!(fleet.log, ""; "event" => "pull_failed", "member" => %to, "error" => %error);
        }
    }
}

/// Fetches the whole configuration of a peer and passes it to the gossip.
pub(super) async fn fetch_snapshot(fleet: Rc<Fleet>, from: MemberId) {
    match request_from::<Snapshot>(&fleet, from, SNAPSHOT_PATH, Vec::new(), SNAPSHOT_TIMEOUT).await
    {
        Ok(snapshot) => {
            let actions = fleet.gossip.borrow_mut().restore(snapshot);
            fleet.execute(actions);
        }
        Err(error) => {
            warn!(fleet.log, ""; "event" => "snapshot_unfetched", "member" => %from,
                "error" => %error);
        }
    }
}

/// Sends a request to a member and decodes its answer. If no answer arrives, the
/// pooled connections to the member are dropped.
async fn request_from<T: DeserializeOwned>(
    fleet: &Fleet,
    to: MemberId,
    path: &str,
    body: Vec<u8>,
    limit: Span,
) -> Result<T, PeerError> {
    let config = fleet.config();
    let address = &config.members.get(to).ok_or(PeerError::Unknown)?.address;
    let answer = tokio::time::timeout(limit.into(), post(fleet, address, path, body)).await;
    let answer = answer.unwrap_or(Err(PeerError::Timeout));
    if answer.is_err() {
        fleet.clients.forget(address);
    }
    rmp_serde::from_slice(&answer?).map_err(|error| PeerError::Failed(error.to_string()))
}

async fn post(fleet: &Fleet, address: &str, path: &str, body: Vec<u8>) -> Result<Bytes, PeerError> {
    let sent = fleet.clients.send(address, Call::post(path, body)).await;
    let mut answer = sent.map_err(|error| PeerError::Failed(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(PeerError::Failed(answer.status().to_string()));
    }
    let body = answer.read_large(MAX_ANSWER_BYTES).await;
    body.map_err(|error| PeerError::Failed(error.to_string()))
}

/// Answers a pull of another daemon.
pub(crate) async fn handle_pull(fleet: Rc<Fleet>, mut request: Request) -> Response<BoxBody> {
    let body = match body::read(&mut request, None, MAX_PULL_BYTES, PULL_TIMEOUT).await {
        Ok(body) => body,
        Err(failure) => return reply::failure(&failure),
    };
    let pull: Pull = match rmp_serde::from_slice(&body.bytes) {
        Ok(pull) => pull,
        Err(error) => {
            let message = format!("not a pull: {error}");
            return reply::failure(&Failure::not_run(Code::BadRequest, message));
        }
    };
    let (answer, actions) = fleet.gossip.borrow_mut().answer_pull(clock::now(), &pull);
    fleet.execute(actions);
    ok_response(rmp_serde::to_vec(&answer).expect("an answer serialises"))
}

/// Answers a request for the whole configuration.
pub(crate) fn handle_snapshot(fleet: &Fleet) -> Response<BoxBody> {
    let snapshot = fleet.gossip.borrow().snapshot(&fleet.config());
    ok_response(rmp_serde::to_vec(&snapshot).expect("a configuration serialises"))
}

fn ok_response(body: Vec<u8>) -> Response<BoxBody> {
    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
}
