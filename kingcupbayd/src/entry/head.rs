//! What the headers of a request say.

use actix_http::{HttpMessage, Request, header::HeaderMap};
use kingcupbay_core::{
    config::model::KeyHash,
    time::{Instant, Span},
    wire::error::{Code, Failure},
};

use crate::config::Callers;

/// Milliseconds that the caller is willing to wait, counted from arrival.
pub(crate) const DEADLINE: &str = "x-deadline-ms";

/// Names a call, so that a repeat of it does not run again.
pub(crate) const IDEMPOTENCY: &str = "idempotency-key";

/// Longest deadline in milliseconds: an hour.
const DEADLINE_MAX: u64 = 3_600_000;

/// Longest idempotency key in bytes.
const IDEMPOTENCY_MAX: usize = 128;

/// The access key a request carries, hashed; the secret goes no further.
pub(crate) fn key(request: &Request) -> Option<KeyHash> {
    let value = text(request.headers(), "authorization")?;
    let secret = value.strip_prefix("Bearer ")?;
    Some(KeyHash::of(secret.trim()))
}

/// When the caller stops waiting.
pub(crate) fn deadline(
    request: &Request,
    callers: &Callers,
    now: Instant,
) -> Result<Instant, Failure> {
    let bad = |message: String| Failure::not_run(Code::BadRequest, message);
    let Some(value) = request.headers().get(DEADLINE) else {
        if callers.deadline == Span::ZERO {
            return Err(bad(format!("header {DEADLINE} is missing: milliseconds to wait")));
        }
        return Ok(now + callers.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis @ 1..=DEADLINE_MAX) => Ok(now + Span::from_millis(millis)),
        _ => Err(bad(format!("header {DEADLINE}: a whole number from 1 to {DEADLINE_MAX}"))),
    }
}

/// The idempotency key, if the request carries one.
pub(crate) fn idempotency(request: &Request) -> Result<Option<String>, Failure> {
    if !request.headers().contains_key(IDEMPOTENCY) {
        return Ok(None);
    }
    let allowed = |text: &&str| {
        (1..=IDEMPOTENCY_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
    };
    match text(request.headers(), IDEMPOTENCY).filter(allowed) {
        Some(text) => Ok(Some(text.to_owned())),
        None => {
            let message =
                format!("header {IDEMPOTENCY}: 1 to {IDEMPOTENCY_MAX} visible ASCII characters");
            Err(Failure::not_run(Code::BadRequest, message))
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
