//! One attempt to have an upstream run a request.

use actix_http::ResponseHead;
use bytes::{Bytes, BytesMut};
use kingcupbay_core::{
    deployment::model::Instance,
    time::Span,
    wire::metadata::{AnswerMetadata, UpstreamRequestMetadata},
};
use kingcupbay_platform::{answer, request};
use slog::warn;

use crate::{
    clock,
    gateway::job::Job,
    http::link::{Link, LinkError},
};

/// Answers on one connection that belong to other requests before it is
/// given up.
const CROSSED_MAX: u32 = 3;

/// Longest answer of a plain service.
const BODY_MAX: usize = 8 << 20;

/// Time by which an upstream hears of the deadline sooner than the entry acts
/// on it: it then still has its own answer on the way.
const MARGIN: Span = Span::from_millis(5);

/// The head of an upstream's answer, and the connection with its body.
pub(crate) struct Sent {
    pub(crate) link: Link,
    pub(crate) head: ResponseHead,
    pub(crate) said: AnswerMetadata,
}

/// What an attempt is given besides the caller's request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Extra {
    /// The only version of the adapter that may run it.
    pub(crate) version: Option<u32>,
    pub(crate) priority: Option<u8>,
    /// The event after which its stream goes on.
    pub(crate) last_event: Option<u64>,
}

/// Sends the request of `job` to `instance` and reads the head of the answer.
pub(crate) async fn send(job: &Job, instance: &Instance, extra: Extra) -> Result<Sent, LinkError> {
    let pool = &job.gateway.node.pool;
    let mut link = pool.get(instance.address).await?;
    let given = UpstreamRequestMetadata {
        remaining: job.left().saturating_sub(MARGIN).max(Span::from_millis(1)),
        instance: &instance.id,
        organisation: job.who.as_ref().map(|who| who.name.as_str()),
        version: extra.version,
        priority: extra.priority,
        last_event: extra.last_event,
    };
    let headers = request::encode_headers(&job.headers, &given);
    let mut head = link.exchange(job.method.clone(), &job.path, headers, &job.body).await?;
    for _ in 0..CROSSED_MAX {
        let said = answer::decode_headers(head.status.as_u16(), &head.headers);
        if is_own(job, &said) {
            return Ok(Sent { link, head, said });
        }
        warn!(job.gateway.node.log, ""; "event" => "crossed_answer",
            "request" => &job.ask.attempt, "theirs" => &said.attempt,
            "upstream" => &instance.id, "status" => head.status.as_u16());
        pool.forget(instance.address);
        head = link.next_head().await?;
    }
    Err(LinkError::Malformed("only answers of other requests came".to_owned()))
}

/// An answer is the request's own only if it names it. What never ran may
/// come without a name.
fn is_own(job: &Job, said: &AnswerMetadata) -> bool {
    match &said.attempt {
        Some(attempt) => Some(attempt) == job.ask.attempt.as_ref(),
        None => said.not_run || job.ask.attempt.is_none(),
    }
}

/// Reads a whole body and keeps the connection if it can be used again.
pub(crate) async fn whole_body(
    job: &Job,
    instance: &Instance,
    mut sent: Sent,
) -> Result<(ResponseHead, AnswerMetadata, Bytes), LinkError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = sent.link.chunk().await? {
        if body.len() + chunk.len() > BODY_MAX {
            return Err(LinkError::Malformed("the answer is too long".to_owned()));
        }
        body.extend_from_slice(&chunk);
    }
    let pool = &job.gateway.node.pool;
    pool.put(instance.address, sent.link, sent.said.idle);
    let id = &instance.id;
    if let Some(load) = sent.said.load {
        let now = clock::now();
        let busy = load.running + load.waiting;
        job.gateway.health.borrow_mut().on_load(now, id, busy);
    }
    Ok((sent.head, sent.said, body.freeze()))
}
