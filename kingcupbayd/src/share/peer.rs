//! Messages between entries about shares.
//!
//! `POST /peer/share` carries a MessagePack list of envelopes each way. The
//! answer holds the receiver's envelopes for the sender, so that a request for a
//! share and its transfer take one round trip.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    share::{message::Envelope, plan::Holder, shares::Action},
    time::Span,
};
use slog::debug;

use super::Shares;
use crate::{
    clock,
    http::{body, client::Call, reply},
};

/// Path to which peers send messages about shares.
pub(crate) const PEER_PATH: &str = "/peer/share";

/// Longest list of envelopes, in bytes: records of some thousand organisations
/// fit.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Time for one exchange. A dead connection would delay requests for shares
/// until the kernel detects it; after this time its pool is dropped, and the
/// next exchange connects anew.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Answers the messages of another entry.
pub(crate) async fn handle(shares: Rc<Shares>, mut request: Request) -> Response<BoxBody> {
    let body = match body::read(&mut request, None, MAX_LIST_BYTES, Span::from_secs(1)).await {
        Ok(body) => body,
        Err(failure) => return reply::failure(&failure),
    };
    let Ok(envelopes) = rmp_serde::from_slice::<Vec<Envelope>>(&body.bytes) else {
        return reply::text(StatusCode::BAD_REQUEST, "not a list of envelopes\n");
    };
    let sender = envelopes.first().map(|envelope| envelope.from);
    let mut answers = Vec::new();
    let mut remaining = Vec::new();
    for action in shares.receive(&envelopes) {
        match action {
            Action::Send(envelope) if Some(envelope.to) == sender => answers.push(envelope),
            other => remaining.push(other),
        }
    }
    shares.execute(remaining);
    reply::bytes("application/msgpack", encode(&answers))
}

fn encode(envelopes: &[Envelope]) -> Bytes {
    Bytes::from(rmp_serde::to_vec(envelopes).expect("envelopes serialise"))
}

impl Shares {
    /// Sends each peer its envelopes. The core handles lost ones.
    pub(super) fn send(self: &Rc<Shares>, envelopes: Vec<Envelope>) {
        let mut by_peer: BTreeMap<Holder, Vec<Envelope>> = BTreeMap::new();
        for envelope in envelopes {
            by_peer.entry(envelope.to).or_default().push(envelope);
        }
        for (peer, envelopes) in by_peer {
            if let Some(address) = self.address(peer) {
                actix_rt::spawn(exchange(self.clone(), address, envelopes));
            }
        }
    }

    fn address(&self, peer: Holder) -> Option<String> {
        let config = self.fleet.config();
        let mut members = config.members.iter();
        let found = members.find(|(_, member)| member.incarnation == peer.0);
        found.map(|(_, member)| member.address.clone())
    }

    /// Passes received envelopes to the core and returns its actions.
    fn receive(self: &Rc<Shares>, envelopes: &[Envelope]) -> Vec<Action> {
        let now = clock::now();
        self.sync_config(now);
        let mut core = self.core.borrow_mut();
        envelopes.iter().flat_map(|envelope| core.on_message(now, envelope)).collect()
    }
}

async fn exchange(shares: Rc<Shares>, address: String, envelopes: Vec<Envelope>) {
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, post(&shares, &address, &envelopes)).await;
    match answer {
        Ok(Some(answers)) => {
            let actions = shares.receive(&answers);
            shares.execute(actions);
        }
        _ => {
            shares.clients.forget(&address);
            debug!(shares.log, ""; "event" => "share_message_lost", "peer" => address);
        }
    }
}

async fn post(shares: &Shares, address: &str, envelopes: &[Envelope]) -> Option<Vec<Envelope>> {
    let call = Call::post(PEER_PATH, encode(envelopes));
    let mut answer = shares.clients.send(address, call).await.ok()?;
    let bytes = answer.read(MAX_LIST_BYTES).await.ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
