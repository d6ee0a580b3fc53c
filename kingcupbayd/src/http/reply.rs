//! Builders of HTTP answers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::{BodySize, BodyStream, BoxBody, MessageBody},
    header,
};
use bytes::Bytes;
use futures_util::Stream;
use kingcupbay_core::wire::error::{Failure, Ran};
use serde::Serialize;

use super::budget::HeldBytes;
use crate::server::socket::Peer;

/// Bytes of a complete answer that are passed on at a time, so that the rest is not copied before
/// the caller reads.
const PART_BYTES: usize = 16 << 10;

/// The error body that callers of model servers know, with two further fields,
/// `code` and `ran`.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    ran: Ran,
}

/// Returns the JSON text of a failure.
pub(crate) fn failure_json(failure: &Failure) -> String {
    let kind = match failure.code.status() {
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let (message, code, ran) = (failure.message.as_str(), failure.code.as_str(), failure.ran);
    let body = ErrorBody { error: ErrorDetail { message, kind, code, ran } };
    serde_json::to_string(&body).expect("a failure has only strings")
}

/// Builds the answer to a request that failed before the first byte of its
/// answer was sent.
pub(crate) fn failure(failure: &Failure) -> Response<BoxBody> {
    let status = StatusCode::from_u16(failure.code.status()).expect("codes have valid statuses");
    let mut builder = ResponseBuilder::new(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if let Some(span) = failure.retry_after {
        builder.insert_header((header::RETRY_AFTER, span.as_secs_ceil().max(1).to_string()));
    }
    builder.body(failure_json(failure)).map_into_boxed_body()
}

/// Builds a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    json_text(status, serde_json::to_string(body).expect("answers serialise"))
}

/// Builds an answer of text that is already JSON.
pub(crate) fn json_text(status: StatusCode, text: String) -> Response<BoxBody> {
    ResponseBuilder::new(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Builds a plain text answer.
pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    ResponseBuilder::new(status)
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(body.into())
        .map_into_boxed_body()
}

/// Builds an answer of status 200 that streams its body.
pub(crate) fn stream<S>(kind: &'static str, stream: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    ResponseBuilder::new(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, kind))
        .insert_header((header::CACHE_CONTROL, "no-store"))
        .body(BodyStream::new(stream))
        .map_into_boxed_body()
}

/// Builds an answer of status 200 with a body of bytes.
pub(crate) fn bytes(kind: &'static str, bytes: Bytes) -> Response<BoxBody> {
    ResponseBuilder::new(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, kind))
        .body(bytes)
        .map_into_boxed_body()
}

/// The body of a complete answer, which keeps its memory until the caller has read it. A caller
/// that does not read is given up if others wait for memory.
pub(crate) struct HeldBody {
    body: HeldBytes,
    caller: Peer,
    /// Whether the caller is expected to read.
    is_begun: bool,
}

impl HeldBody {
    pub(crate) fn new(body: HeldBytes, caller: Peer) -> HeldBody {
        HeldBody { body, caller, is_begun: false }
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.body.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let HeldBody { body, caller, is_begun } = &mut *self;
        if !std::mem::replace(is_begun, true) {
            let caller = caller.clone();
            body.held.on_stall(move || caller.give_up());
        }
        let length = body.bytes.len().min(PART_BYTES);
        let part = body.bytes.split_to(length);
        body.held.on_moved(length);
        Poll::Ready((length > 0).then_some(Ok(part)))
    }
}
