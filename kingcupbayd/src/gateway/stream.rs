//! Passes a stream of events on, and goes on elsewhere if an engine breaks off.

use std::{io, rc::Rc};

use actix_http::{
    Response,
    body::{BodyStream, BoxBody, SizedStream},
    header,
};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use kingcupbay_core::{
    deployment::model::{Instance, Repeat},
    health::Exchange,
    time::{Instant, Span},
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{
        generate::{self, Started, Tried},
        job::Job,
        permits::Permit,
        reply,
    },
    http::link::{Link, LinkError},
};

/// Silence in the middle of a stream after which an engine counts as stuck.
/// Engines make an event each 30 ms; a request that was put back when memory
/// ran out is read anew within a second.
const EVENT_TIMEOUT: Span = Span::from_millis(1_500);

/// A stream on its way to its caller.
pub(crate) struct Relay {
    job: Rc<Job>,
    service: String,
    tried: Tried,
    instance: Rc<Instance>,
    /// Invariant: there until the stream has ended.
    link: Option<Link>,
    /// Given back with the relay, also when the caller leaves.
    permit: Option<Permit>,
    idle: Option<Span>,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Id of the last event that the caller was given, and when.
    last_event: Option<u64>,
    forwarded: Instant,
    /// Longest time between two events.
    pause: Span,
    /// Whether the body is a series of events.
    events: bool,
    ended: bool,
}

impl Relay {
    /// The answer whose body is the stream of `started`.
    pub(crate) fn response(
        job: Rc<Job>,
        service: String,
        started: Started,
        tried: Tried,
    ) -> Response<BoxBody> {
        let Started { instance, answer, permit } = started;
        let head = answer.head;
        let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let events = head.status.is_success()
            && kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
        let mut builder = reply::head(&job.gateway, head.status, &head.headers);
        let relay = Relay {
            last_event: job.metadata.last_event,
            forwarded: clock::now(),
            pause: Span::ZERO,
            idle: answer.metadata.idle,
            partial: BytesMut::new(),
            ended: false,
            link: Some(answer.link),
            job,
            service,
            tried,
            instance,
            permit,
            events,
        };
        let stream = stream::unfold(relay, |mut relay| async {
            let bytes = relay.next().await?;
            Some((bytes, relay))
        });
        let stream = Box::pin(stream);
        match length {
            Some(length) => builder.body(SizedStream::new(length, stream)).map_into_boxed_body(),
            None => builder.body(BodyStream::new(stream)).map_into_boxed_body(),
        }
    }

    /// The next bytes for the caller; an error cuts its connection, so that
    /// what is not whole does not look it.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        loop {
            let error = match self.read().await {
                Ok(Some(chunk)) => match self.take_whole_events(chunk) {
                    Some(bytes) => return Some(Ok(bytes)),
                    None => continue,
                },
                Ok(None) if self.partial.is_empty() => {
                    self.finish();
                    return None;
                }
                // The end came in the middle of an event.
                Ok(None) => LinkError::Early,
                Err(error) => error,
            };
            if let Err(error) = self.resume(error).await {
                self.ended = true;
                self.permit = None;
                return Some(Err(io::Error::other(error)));
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, LinkError> {
        let remaining = self.job.remaining();
        if remaining == Span::ZERO {
            return Err(LinkError::Silent);
        }
        let time = if self.may_resume() { remaining.min(EVENT_TIMEOUT) } else { remaining };
        let link = self.link.as_mut().expect("there until the stream has ended");
        match tokio::time::timeout(time.into(), link.chunk()).await {
            Ok(chunk) => chunk,
            Err(_) => Err(LinkError::Silent),
        }
    }

    /// What of `chunk` may be given to the caller: whole events only, as an
    /// engine may break off in the middle of one, and another goes on after
    /// the last whole one.
    fn take_whole_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        if !self.events {
            return Some(chunk);
        }
        let whole = match (self.partial.is_empty(), events_end(&chunk)) {
            (true, Some(end)) if end == chunk.len() => chunk,
            _ => {
                self.partial.extend_from_slice(&chunk);
                let end = events_end(&self.partial)?;
                self.partial.split_to(end).freeze()
            }
        };
        if let Some(id) = last_id(&whole) {
            self.last_event = Some(id);
        }
        let now = clock::now();
        self.pause = self.pause.max(now.since(self.forwarded));
        self.forwarded = now;
        Some(whole)
    }

    fn may_resume(&self) -> bool {
        self.events
            && self.job.route.repeat == Repeat::Resumable
            && self.tried.sends < self.job.route.attempts
    }

    /// The engine broke off: another one goes on after the last whole event.
    async fn resume(&mut self, error: LinkError) -> Result<(), LinkError> {
        let now = clock::now();
        let gateway = self.job.gateway.clone();
        let remaining = self.job.remaining();
        let exchange = match error {
            LinkError::Silent if remaining > Span::ZERO => Exchange::Unreachable,
            _ => Exchange::Failed,
        };
        gateway.health.borrow_mut().on_exchange(now, &self.instance.id, exchange);
        warn!(gateway.node.log, ""; "event" => "broke_off", "request" => &self.job.metadata.attempt,
            "upstream" => &self.instance.id, "last_event" => self.last_event,
            "error" => %error, "left_ms" => remaining.as_millis());
        if !self.may_resume() || remaining == Span::ZERO {
            gateway.metrics.on_broken(&self.job.route.name);
            return Err(error);
        }
        self.permit = None;
        self.partial.clear();
        let started =
            generate::start(&self.job, &self.service, &mut self.tried, self.last_event).await;
        match started {
            Ok(Started { instance, answer, permit }) if answer.head.status.is_success() => {
                gateway.metrics.on_resumed();
                info!(gateway.node.log, ""; "event" => "resumed",
                    "request" => &self.job.metadata.attempt, "upstream" => &instance.id,
                    "last_event" => self.last_event);
                self.instance = instance;
                self.link = Some(answer.link);
                self.idle = answer.metadata.idle;
                self.permit = permit;
                Ok(())
            }
            _ => {
                gateway.metrics.on_broken(&self.job.route.name);
                Err(error)
            }
        }
    }

    /// The stream is whole.
    fn finish(&mut self) {
        self.ended = true;
        let gateway = &self.job.gateway;
        let now = clock::now();
        gateway.health.borrow_mut().on_exchange(now, &self.instance.id, Exchange::Succeeded);
        gateway.metrics.on_stream(&self.job.route.name, self.pause);
        info!(gateway.node.log, ""; "event" => "streamed", "request" => &self.job.metadata.attempt,
            "upstream" => &self.instance.id, "last_event" => self.last_event,
            "pause_ms" => self.pause.as_millis(),
            "ms" => now.since(self.job.arrived).as_millis());
        // The pause in which another engine took over says nothing of this one.
        let alone = self.tried.sends <= 1;
        if let Some(permit) = self.permit.as_mut().filter(|_| alone) {
            permit.on_complete(self.pause);
        }
        self.permit = None;
        if let Some(link) = self.link.take() {
            gateway.node.pool.put(self.instance.address, link, self.idle);
        }
    }
}

impl Drop for Relay {
    /// A relay that is dropped before its end has lost its caller. With it goes
    /// the connection to the engine, which stops work at once.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let ms = clock::now().since(self.job.arrived).as_millis();
        info!(self.job.gateway.node.log, ""; "event" => "left",
            "request" => &self.job.metadata.attempt, "upstream" => &self.instance.id,
            "last_event" => self.last_event, "ms" => ms);
    }
}

/// Where the last whole event of `bytes` ends.
fn events_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(at + 2)
}

/// Id of the last event in `bytes` that has one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
