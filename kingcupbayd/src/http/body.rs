//! Reading of request bodies within a size and a time.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use kingcupbay_core::{
    time::Span,
    wire::error::{Code, Failure},
};

/// Reads a whole body.
///
/// A body that stalls would hold its connection and memory for ever; the time
/// limit covers the whole body, so a byte now and then does not extend it.
pub(crate) async fn read(payload: Payload, limit: usize, time: Span) -> Result<Bytes, Failure> {
    match tokio::time::timeout(time.into(), collect(payload, limit)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::not_run(Code::BodyTimeout, "the body did not arrive in time")),
    }
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            Failure::not_run(Code::BadRequest, format!("the body is malformed: {error}"))
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(Failure::not_run(Code::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
