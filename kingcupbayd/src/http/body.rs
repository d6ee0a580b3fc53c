//! Reading of bodies within a size and time limit, and of complete answers.

use actix_http::{Payload, Request, header};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::StreamExt;
use kingcupbay_core::{
    time::Span,
    wire::error::{Code, Failure},
};
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::{clock, server::socket::Peer};

/// Why an answer's body is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum BodyError {
    /// The connection failed, or the body is too long.
    #[error("the answer broke off: {0}")]
    Failed(String),
    /// The connection ended before the body did.
    #[error("the answer ended early")]
    Ended,
}

/// Reads the whole body of an answer of at most `limit` bytes.
///
/// The client library takes the end of a connection for the end of the body. A
/// truncated answer must not pass for a complete one, so the body is checked
/// against the announced length, or, without one, a JSON body must be complete
/// JSON.
pub(crate) async fn read_whole<S>(
    response: &mut ClientResponse<S>,
    limit: usize,
) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let text = |name| response.headers().get(name)?.to_str().ok();
    let length = text(header::CONTENT_LENGTH).and_then(|text| text.parse::<usize>().ok());
    let json = text(header::CONTENT_TYPE).is_some_and(|kind| kind.starts_with("application/json"));
    let body = response.body().limit(limit).await;
    let body = body.map_err(|error| BodyError::Failed(error.to_string()))?;
    let complete = match length {
        Some(length) => body.len() == length,
        None => !json || serde_json::from_slice::<IgnoredAny>(&body).is_ok(),
    };
    if complete { Ok(body) } else { Err(BodyError::Ended) }
}

/// Time for a stream to end after its last message.
const END_TIMEOUT: Span = Span::from_secs(1);

/// Reads a stream to its end and discards it. A connection returns to its pool
/// only after the end of its body; without this, each request would open new
/// connections on both hops.
pub(crate) async fn drain<S: Stream + Unpin>(mut stream: S) {
    let end = async { while stream.next().await.is_some() {} };
    let _ = tokio::time::timeout(END_TIMEOUT.into(), end).await;
}

/// Reads the body of a request of at most `limit` bytes.
///
/// A stalled body would keep its connection and memory for ever. `timeout`
/// covers the whole body, so a slow trickle of bytes does not extend it.
pub(crate) async fn read(
    request: &mut Request,
    limit: usize,
    timeout: Span,
) -> Result<Bytes, Failure> {
    let peer = Peer::of(request);
    let payload = request.take_payload();
    match clock::timeout(timeout, collect(peer, payload, limit)).await {
        Some(result) => result,
        None => Err(Failure::not_run(Code::BodyTimeout, "the body did not arrive in time")),
    }
}

async fn collect(peer: Peer, mut payload: Payload, limit: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    while let Some(part) = peer.next_part(&mut payload).await {
        let part = part.map_err(|error| {
            Failure::not_run(Code::BadRequest, format!("the body is malformed: {error}"))
        })?;
        if body.len() + part.len() > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(Failure::not_run(Code::TooLarge, message));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
