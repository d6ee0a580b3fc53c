//! The entry's own answers, and upstreams' answers that are passed on as they are.

use actix_http::{Response, ResponseBuilder, ResponseHead, StatusCode, body::BoxBody, header};
use kingcupbay_core::{
    time::Span,
    wire::{error::Code, metadata::RequestMetadata},
};
use kingcupbay_platform::{answer, request};

use crate::{
    gateway::{Gateway, job::Job},
    http::{budget::HeldBytes, reply::HeldBody},
    server::drain::Phase,
};

/// Refusal of a request that gets no answer from an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    /// Reason, as sent to the caller.
    pub(crate) why: &'static str,
    /// Time after which to retry, if that may help.
    pub(crate) after: Option<Span>,
    /// Whether the request provably did not run and never will.
    pub(crate) not_run: bool,
}

impl Refusal {
    /// Creates the refusal of a request that did not run and should not be retried.
    pub(crate) fn plain(code: Code, why: &'static str) -> Refusal {
        Refusal { code, why, after: None, not_run: true }
    }

    /// Creates the refusal of a request that did not run and may be retried after
    /// `after`.
    pub(crate) fn retry(code: Code, why: &'static str, after: Span) -> Refusal {
        Refusal { code, why, after: Some(after), not_run: true }
    }

    /// Creates the refusal of a request that may have run.
    pub(crate) fn unknown(code: Code, why: &'static str) -> Refusal {
        Refusal { code, why, after: None, not_run: false }
    }

    /// Returns the status. 502 and 504 mean that the request may have run, any other
    /// status that it did not.
    fn status(&self) -> StatusCode {
        let status = match self.code {
            Code::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Code::NotFound => StatusCode::NOT_FOUND,
            Code::BadKey => StatusCode::UNAUTHORIZED,
            Code::BadRequest => StatusCode::BAD_REQUEST,
            Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Code::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Code::Deadline if !self.not_run => StatusCode::GATEWAY_TIMEOUT,
            _ if !self.not_run => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        debug_assert!(self.not_run || status.as_u16() == 502 || status.as_u16() == 504);
        status
    }
}

/// Builds the answer for a refusal and counts it.
pub(crate) fn refuse(
    gateway: &Gateway,
    metadata: &RequestMetadata,
    refusal: Refusal,
) -> Response<BoxBody> {
    gateway.metrics.on_refusal(refusal.code);
    let mut builder = ResponseBuilder::new(refusal.status());
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if let Some(attempt) = &metadata.attempt {
        builder.insert_header((request::ATTEMPT_ID, attempt.as_str()));
    }
    if let Some(after) = refusal.after {
        builder.insert_header((header::RETRY_AFTER, format!("{:.3}", after.as_secs_f64())));
    }
    close_if_leaving(gateway, &mut builder);
    let body = format!("{{\"error\":\"{}\",\"code\":\"{}\"}}", refusal.why, refusal.code.as_str());
    builder.body(body).map_into_boxed_body()
}

/// Builds an answer from an upstream's complete answer, unchanged.
pub(crate) fn complete(job: &Job, answer: &ResponseHead, body: HeldBytes) -> Response<BoxBody> {
    let mut builder = head(&job.gateway, answer.status, &answer.headers);
    builder.body(HeldBody::new(body, job.caller.clone())).map_into_boxed_body()
}

/// Builds the head of an answer from an upstream's, without the headers of the
/// upstream's connection.
pub(crate) fn head(
    gateway: &Gateway,
    status: StatusCode,
    headers: &header::HeaderMap,
) -> ResponseBuilder {
    let mut builder = ResponseBuilder::new(status);
    for (name, value) in answer::filter_headers(headers) {
        builder.append_header((name, value));
    }
    close_if_leaving(gateway, &mut builder);
    builder
}

/// Closes the caller's connection after this answer while the entry is stopping, so that
/// the next request goes to another entry.
fn close_if_leaving(gateway: &Gateway, builder: &mut ResponseBuilder) {
    if gateway.node.drain.phase() != Phase::Serving {
        builder.force_close();
    }
}
