//! Pulls between daemons, as MessagePack over HTTP.

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
    http::{body, reply},
};

/// Time for a pull's answer. A connection that went silent for good shows by
/// this alone; it then leaves the pool and the next pull opens another.
const PULL_TIME: Span = Span::from_secs(1);

/// Time for a whole configuration.
const SNAPSHOT_TIME: Span = Span::from_secs(30);

/// Longest pull; the list of known records of 340 members has some 2 KB.
const PULL_LIMIT: usize = 1 << 20;

/// Longest answer: patches of declarations are large.
const ANSWER_LIMIT: usize = 64 << 20;

/// Why a peer gave no answer.
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

/// Sends a pull and hands its answer to gossip.
pub(super) async fn pull(fleet: Rc<Fleet>, id: PullId, to: MemberId, pull: Pull) {
    let body = rmp_serde::to_vec(&pull).expect("a pull serialises");
    match ask::<Answer>(&fleet, to, PULL_PATH, body, PULL_TIME).await {
        Ok(answer) => {
            let config = fleet.config();
            let mut gossip = fleet.gossip.borrow_mut();
            let actions = gossip.handle_answer(clock::now(), id, answer, &config);
            drop(gossip);
            fleet.act(actions);
        }
        Err(error) => {
            fleet.gossip.borrow_mut().forget_pull(id);
            debug!(fleet.log, ""; "event" => "pull_failed", "member" => %to, "error" => %error);
        }
    }
}

/// Fetches a peer's whole configuration.
pub(super) async fn fetch_snapshot(fleet: Rc<Fleet>, from: MemberId) {
    match ask::<Snapshot>(&fleet, from, SNAPSHOT_PATH, Vec::new(), SNAPSHOT_TIME).await {
        Ok(snapshot) => {
            let actions = fleet.gossip.borrow_mut().restore(snapshot);
            fleet.act(actions);
        }
        Err(error) => {
            warn!(fleet.log, ""; "event" => "snapshot_unfetched", "member" => %from,
                "error" => %error);
        }
    }
}

async fn ask<T: DeserializeOwned>(
    fleet: &Fleet,
    to: MemberId,
    path: &str,
    body: Vec<u8>,
    time: Span,
) -> Result<T, PeerError> {
    let config = fleet.config();
    let address = &config.members.get(to).ok_or(PeerError::Unknown)?.address;
    let answer = tokio::time::timeout(time.into(), exchange(fleet, address, path, body)).await;
    let answer = answer.unwrap_or(Err(PeerError::Timeout));
    if answer.is_err() {
        fleet.clients.forget(address);
    }
    rmp_serde::from_slice(&answer?).map_err(|error| PeerError::Failed(error.to_string()))
}

async fn exchange(
    fleet: &Fleet,
    address: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, PeerError> {
    let url = format!("http://{address}{path}");
    let sent = fleet.clients.get(address).post(url).send_body(body).await;
    let mut response = sent.map_err(|error| PeerError::Failed(error.to_string()))?;
    if !response.status().is_success() {
        return Err(PeerError::Failed(response.status().to_string()));
    }
    let body = response.body().limit(ANSWER_LIMIT).await;
    body.map_err(|error| PeerError::Failed(error.to_string()))
}

/// Answers a pull of another daemon.
pub(crate) async fn handle_pull(fleet: Rc<Fleet>, mut request: Request) -> Response<BoxBody> {
    let bytes = match body::read(request.take_payload(), PULL_LIMIT, PULL_TIME).await {
        Ok(bytes) => bytes,
        Err(failure) => return reply::failure(&failure),
    };
    let pull: Pull = match rmp_serde::from_slice(&bytes) {
        Ok(pull) => pull,
        Err(error) => {
            let message = format!("not a pull: {error}");
            return reply::failure(&Failure::not_run(Code::BadRequest, message));
        }
    };
    let (answer, actions) = fleet.gossip.borrow_mut().answer_pull(clock::now(), &pull);
    fleet.act(actions);
    packed(rmp_serde::to_vec(&answer).expect("an answer serialises"))
}

/// Answers with the whole configuration.
pub(crate) fn handle_snapshot(fleet: &Fleet) -> Response<BoxBody> {
    let snapshot = fleet.gossip.borrow().snapshot(&fleet.config());
    packed(rmp_serde::to_vec(&snapshot).expect("a configuration serialises"))
}

fn packed(body: Vec<u8>) -> Response<BoxBody> {
    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
}
