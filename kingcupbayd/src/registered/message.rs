//! Reads messages of other daemons of a registered fleet, which are MessagePack.

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::time::Span;
use serde::de::DeserializeOwned;
use slog::{Logger, warn};

use crate::http;

/// Longest message: a few thousand attempt ids, or a usage report of a thousand
/// organisations with names of 100 bytes.
const MESSAGE_MAX_BYTES: usize = 256 << 10;

/// Timeout of reading a message.
const MESSAGE_TIMEOUT: Span = Span::from_millis(500);

/// Reads a message. If it does not arrive or cannot be decoded, logs that and returns
/// the answer to it as the error.
pub(crate) async fn read<T: DeserializeOwned>(
    log: &Logger,
    request: &mut Request,
) -> Result<T, Response<BoxBody>> {
    let body = http::body::read(request, None, MESSAGE_MAX_BYTES, MESSAGE_TIMEOUT).await;
    let body = body.map_err(|failure| failure.message);
    let message = body.and_then(|body| {
        rmp_serde::from_slice(&body.bytes)
            .map_err(|error: rmp_serde::decode::Error| error.to_string())
    });
    message.map_err(|error| {
        warn!(log, ""; "event" => "message_unreadable", "path" => request.path(),
            "error" => error);
        http::reply::text(StatusCode::BAD_REQUEST, "not a message\n")
    })
}
