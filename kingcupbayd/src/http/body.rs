//! Reading of requests' bodies within a size and time limit.

use actix_http::{Payload, Request};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use kingcupbay_core::{
    memory::SMALL_HOLD_BYTES,
    time::Span,
    wire::error::{Code, Failure},
};
use tokio::sync::oneshot;

use super::budget::{FREE_BYTES, Held, HeldBytes, NoRoom};
use crate::{
    clock,
    server::{flow::content_length, socket::Peer},
};

/// Time for a stream to end after its last message.
const END_TIMEOUT: Span = Span::from_secs(1);

/// Reads a stream to its end and discards it. A connection returns to its pool
/// only after the end of its body; without this, each request would open new
/// connections on both hops.
pub(crate) async fn drain<S: Stream + Unpin>(mut stream: S) {
    let end = async { while stream.next().await.is_some() {} };
    let _ = tokio::time::timeout(END_TIMEOUT.into(), end).await;
}

/// Time after which to retry if there was no memory for a body.
const ROOM_RETRY: Span = Span::from_secs(1);

/// Reads the body of a request of the organisation `owner`, of at most `limit` bytes.
///
/// A stalled body would keep its connection and memory for ever. `timeout` covers the whole body,
/// so a slow trickle of bytes does not extend it. One that takes up memory for which others wait
/// must make progress meanwhile.
pub(crate) async fn read(
    request: &mut Request,
    owner: Option<&str>,
    limit: usize,
    timeout: Span,
) -> Result<HeldBytes, Failure> {
    let length = content_length(request);
    if length.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let peer = Peer::of(request);
    let held = peer.begin_body(owner);
    let body = Incoming { payload: request.take_payload(), length, limit, peer };
    match clock::timeout(timeout, body.collect(held)).await {
        Some(result) => result,
        None => Err(Failure::not_run(Code::BodyTimeout, "the body did not arrive in time")),
    }
}

/// A body that is being received.
struct Incoming {
    payload: Payload,
    /// Length, if it is announced.
    length: Option<usize>,
    limit: usize,
    peer: Peer,
}

impl Incoming {
    async fn collect(mut self, mut held: Held) -> Result<HeldBytes, Failure> {
        let (give_up, given_up) = oneshot::channel();
        let (mut give_up, mut given_up) = (Some(give_up), std::pin::pin!(given_up));
        let mut body = BytesMut::with_capacity(self.length.unwrap_or_default().min(FREE_BYTES));
        let mut room = FREE_BYTES;
        loop {
            let part = tokio::select! {
                biased;
                part = self.peer.next_part(&mut self.payload) => part,
                Ok(()) = &mut given_up => return Err(stalled()),
            };
            let Some(part) = part else { break };
            let part = part.map_err(|error| {
                Failure::not_run(Code::BadRequest, format!("the body is malformed: {error}"))
            })?;
            let length = body.len() + part.len();
            if length > self.limit {
                return Err(too_large(self.limit));
            }
            if length > room {
                room = self.needed(length);
                held.hold(room).await.map_err(|NoRoom| no_room())?;
                body.reserve(room - body.len());
                if let Some(give_up) = give_up.take() {
                    held.on_stall(move || {
                        // The body may have ended by then.
                        let _ = give_up.send(());
                    });
                }
            }
            body.extend_from_slice(&part);
            held.on_moved(part.len());
        }
        held.on_complete(body.len());
        let bytes = match body.capacity() > 2 * body.len() + FREE_BYTES {
            true => Bytes::copy_from_slice(&body),
            false => body.freeze(),
        };
        Ok(HeldBytes { bytes, held })
    }

    /// Returns the room for a body of which `length` bytes have arrived. One in chunks may take
    /// what is allowed; if it had to ask again and again, many could wait for each other.
    fn needed(&self, length: usize) -> usize {
        match self.length {
            Some(announced) => announced.max(length),
            None if length <= SMALL_HOLD_BYTES => SMALL_HOLD_BYTES.min(self.limit),
            None => self.limit,
        }
    }
}

fn too_large(limit: usize) -> Failure {
    Failure::not_run(Code::TooLarge, format!("the body is longer than {limit} bytes"))
}

fn stalled() -> Failure {
    Failure::not_run(Code::BodyTimeout, "the body stalled while others waited for its memory")
}

fn no_room() -> Failure {
    let mut failure = Failure::not_run(Code::Overloaded, "there is no memory for the body");
    failure.retry_after = Some(ROOM_RETRY);
    failure
}
