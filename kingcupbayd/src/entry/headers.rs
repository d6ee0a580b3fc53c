//! Reads the headers of a request.

use actix_http::{HttpMessage, Request, header::HeaderMap};
use kingcupbay_core::{
    config::model::KeyHash,
    time::{Instant, Span},
    wire::error::{Code, Failure},
};

use crate::config::Callers;

/// Header with the milliseconds that the caller waits, counted from arrival.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header that identifies a call, so that a repeat of it does not run again.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest deadline that a caller may set: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Longest idempotency key that a caller may set.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Returns the hash of the access key that a request carries. The secret itself
/// is not passed on.
pub(crate) fn access_key(request: &Request) -> Option<KeyHash> {
    let value = header_text(request.headers(), "authorization")?;
    let secret = value.strip_prefix("Bearer ")?;
    Some(KeyHash::of(secret.trim()))
}

/// Returns when the caller stops waiting. Fails if the header is malformed, or
/// missing while `callers` has no default deadline.
pub(crate) fn deadline(
    request: &Request,
    callers: &Callers,
    now: Instant,
) -> Result<Instant, Failure> {
    let bad_request = |message: String| Failure::not_run(Code::BadRequest, message);
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        if callers.deadline == Span::ZERO {
            return Err(bad_request(format!(
                "header {DEADLINE_HEADER} is missing: milliseconds to wait"
            )));
        }
        return Ok(now + callers.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis @ 1..=MAX_DEADLINE_MS) => Ok(now + Span::from_millis(millis)),
        _ => Err(bad_request(format!(
            "header {DEADLINE_HEADER}: a whole number from 1 to {MAX_DEADLINE_MS}"
        ))),
    }
}

/// Returns the idempotency key, if the request carries one. Fails if the key is
/// malformed.
pub(crate) fn idempotency_key(request: &Request) -> Result<Option<String>, Failure> {
    if !request.headers().contains_key(IDEMPOTENCY_HEADER) {
        return Ok(None);
    }
    let allowed = |text: &&str| {
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_graphic())
    };
    match header_text(request.headers(), IDEMPOTENCY_HEADER).filter(allowed) {
        Some(text) => Ok(Some(text.to_owned())),
        None => {
            let message = format!(
                "header {IDEMPOTENCY_HEADER}: 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
            );
            Err(Failure::not_run(Code::BadRequest, message))
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
