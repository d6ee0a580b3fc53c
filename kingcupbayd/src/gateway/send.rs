//! Sends a request to one upstream.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{ResponseHead, StatusCode, header};
use kingcupbay_core::{
    deployment::model::Instance,
    origin::Eligible,
    time::Span,
    wire::metadata::{AnswerMetadata, UpstreamRequestMetadata},
};
use kingcupbay_platform::{answer, request};
use slog::warn;
use thiserror::Error;

use crate::{
    clock,
    gateway::{admit::Hold, job::Job},
    http::{
        budget::HeldBytes,
        link::{Link, LinkError},
        pool,
    },
    registered::fatal,
};

/// Answers to other requests after which a connection is closed.
const MISROUTED_MAX: u32 = 3;

/// Longest answer of a plain service.
pub(super) const BODY_MAX_BYTES: usize = 8 << 20;

/// Longest body of an answer that says that the request did not run.
const REFUSAL_MAX_BYTES: usize = 64 << 10;

/// Time by which the deadline sent to an upstream is earlier than the entry's own, so
/// that the upstream's answer still arrives in time.
const DEADLINE_MARGIN: Span = Span::from_millis(5);

/// An upstream's answer whose body has not been read yet.
pub(crate) struct PendingAnswer {
    pub(crate) link: Link,
    pub(crate) head: ResponseHead,
    pub(crate) metadata: AnswerMetadata,
}

impl PendingAnswer {
    /// Returns whether it is a success without a proof that an upstream made it.
    pub(super) fn is_unproved_success(&self) -> bool {
        self.head.status.is_success() && !self.metadata.not_run && !self.metadata.is_proved()
    }
}

/// What an upstream is sent in addition to the caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions<'a> {
    /// Which upstreams may run the request.
    pub(crate) eligible: Eligible,
    /// The only version of the adapter that may run the request.
    pub(crate) version: Option<u32>,
    pub(crate) priority: Option<u8>,
    /// Event after which the stream resumes.
    pub(crate) last_event: Option<u64>,
    /// Whether the sidecar beside the upstream has granted the request.
    pub(crate) permitted: bool,
    /// Engine that has copied the memory of the run, and the handle of the copy with which the
    /// run continues.
    pub(crate) copy: Option<(SocketAddr, &'a str)>,
}

impl SendOptions<'_> {
    /// Returns the options of a request that any upstream may run.
    pub(crate) fn plain() -> SendOptions<'static> {
        SendOptions {
            eligible: Eligible::Any,
            version: None,
            priority: None,
            last_event: None,
            permitted: false,
            copy: None,
        }
    }
}

/// Why a request has no answer.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum SendError {
    /// It was not sent.
    #[error("held back: {}", .0.as_str())]
    Held(Hold),
    /// The exchange failed.
    #[error(transparent)]
    Link(#[from] LinkError),
}

/// Sends the request of `job` to `instance` and reads the head of the answer. Fails if
/// only answers to other requests arrive.
pub(crate) async fn send(
    job: &Rc<Job>,
    instance: &Rc<Instance>,
    options: SendOptions<'_>,
) -> Result<PendingAnswer, SendError> {
    let held = |hold| {
        if hold == Hold::CallerLeft {
            job.on_abandoned("send");
        }
        SendError::Held(hold)
    };
    job.gateway.admit(job, instance, &options).map_err(held)?;
    let pool = &job.gateway.node.pool;
    let mut link = pool.get(instance.address).await?;
    // Much may have changed while the connection was opened.
    if !link.used
        && let Some(hold) = job.gateway.hold(job, instance, &options)
    {
        return Err(held(hold));
    }
    let request_metadata = UpstreamRequestMetadata {
        remaining: job.remaining().saturating_sub(DEADLINE_MARGIN).max(Span::from_millis(1)),
        instance: &instance.id,
        organisation: job.organisation_name(),
        version: options.version,
        priority: options.priority,
        last_event: options.last_event,
        copy: options.copy,
    };
    let headers = request::encode_headers(&job.headers, &request_metadata);
    let sent = clock::now();
    let (given_up, row) = (job.clone(), instance.clone());
    link.on_given_up =
        Some(Box::new(move |is_closed| fatal::on_given_up(&given_up, &row, sent, is_closed)));
    job.is_sent.set(true);
    let mut head = link.exchange(job.method.clone(), &job.path, headers, &job.body.bytes).await?;
    for _ in 0..MISROUTED_MAX {
        let metadata = answer::decode_headers(head.status.as_u16(), &head.headers);
        if is_own(job, &metadata) {
            if metadata.attempt.is_none() {
                // A late copy of it would look like the answer to any other request.
                link.forbid_reuse();
            }
            if metadata.not_run {
                link.on_given_up = None;
            }
            // Another upstream at the address answers so.
            if head.status != StatusCode::MISDIRECTED_REQUEST {
                job.gateway.on_announcements(instance, sent, &metadata);
            }
            return Ok(PendingAnswer { link, head, metadata });
        }
        warn!(job.gateway.node.log, ""; "event" => "crossed_answer",
            "request" => &job.metadata.attempt, "theirs" => &metadata.attempt,
            "upstream" => &instance.id, "status" => head.status.as_u16());
        pool.forget(instance.address);
        head = link.next_head().await?;
    }
    Err(LinkError::Malformed("only answers of other requests came".to_owned()).into())
}

/// Returns whether an answer belongs to the request of `job`: it names the same attempt.
/// An answer without an attempt is accepted if the request has none either, or if the
/// answer says that nothing ran.
fn is_own(job: &Job, metadata: &AnswerMetadata) -> bool {
    match &metadata.attempt {
        Some(attempt) => Some(attempt) == job.metadata.attempt.as_ref(),
        None => metadata.not_run || job.metadata.attempt.is_none(),
    }
}

/// Reads the whole body and returns the connection to the pool if it can be used again.
pub(crate) async fn read_body(
    job: &Job,
    instance: &Instance,
    mut answer: PendingAnswer,
) -> Result<(ResponseHead, AnswerMetadata, HeldBytes), LinkError> {
    let limit = if answer.metadata.not_run { REFUSAL_MAX_BYTES } else { BODY_MAX_BYTES };
    let length = answer.head.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let held = job.caller.begin_answer(job.organisation_name());
    let body = pool::read_held(&mut answer.link, limit, length, held).await?;
    job.gateway.node.pool.put(instance.address, answer.link, answer.metadata.idle);
    let id = &instance.id;
    if let Some(load) = answer.metadata.load {
        job.gateway.health.borrow_mut().on_load(clock::now(), id, load);
    }
    Ok((answer.head, answer.metadata, body))
}
