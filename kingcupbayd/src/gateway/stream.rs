//! Forwards a stream of events, moves it away from an engine that leaves, and resumes it at
//! another engine if one fails.

use std::{io, rc::Rc};

use actix_http::{
    Response,
    body::{BodyStream, BoxBody, SizedStream},
    header,
};
use bytes::{Bytes, BytesMut};
use futures_util::{future::LocalBoxFuture, stream};
use kingcupbay_core::{
    deployment::model::{Instance, Repeat},
    health::Exchange,
    origin::Eligible,
    quarantine::BEGIN_TIME,
    time::{Instant, Span},
    wire::origin::Origin,
};
use slog::info;

use crate::{
    clock,
    gateway::{
        generate::{self, Started},
        job::Job,
        moving::{Event, Moving},
        permits::Permit,
        reply::{self, Refusal},
        send::{BODY_MAX_BYTES, PendingAnswer},
        transfer::{Movable, Move},
        tried::Tried,
    },
    http::link::{Link, LinkError},
    registered::{fatal, origins, parts},
};

/// Time without an event in the middle of a resumable stream after which another engine is
/// looked for. Engines send an event every 30 ms; a request that was preempted for
/// lack of memory repeats its prefill within a second.
pub(super) const EVENT_TIMEOUT: Span = Span::from_millis(1_500);

/// Longest event of a stream.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// A stream that is forwarded to its caller.
pub(crate) struct Relay {
    pub(super) job: Rc<Job>,
    pub(super) service: String,
    pub(super) tried: Rc<Tried>,
    pub(super) instance: Rc<Instance>,
    /// Invariant: present until the stream has ended, except while it moves, or while another
    /// engine is looked for once this one has failed.
    pub(super) link: Option<Link>,
    /// The search for another engine, while this one is silent or has failed.
    pub(super) search: Option<LocalBoxFuture<'static, Result<Started, Refusal>>>,
    /// When another engine is looked for unless this one goes on.
    pub(super) search_at: Instant,
    /// Pause before the next search if one finds no engine.
    pub(super) search_pause: Span,
    /// Since when the stream waits for another engine, as this one is silent or has failed.
    pub(super) waiting: Option<Instant>,
    /// Version of the adapter that runs it.
    pub(super) version: Option<u32>,
    /// Present if the stream may move.
    pub(super) movable: Option<Movable>,
    pub(super) moving: Moving,
    /// Whether the run was continued at another engine.
    pub(super) moved: bool,
    /// How the stream was cut, until it goes on at another engine.
    pub(super) cut: Option<LinkError>,
    /// Time of the first event.
    pub(super) began: Instant,
    /// When the engine of now began to answer.
    pub(super) answered: Instant,
    /// Whether its answer has gone on since.
    went_on: bool,
    /// Released with the relay, also if the caller disconnects.
    pub(super) permit: Option<Permit>,
    pub(super) idle: Option<Span>,
    /// Bytes of an incomplete event.
    pub(super) partial: BytesMut,
    /// Id of the last event forwarded to the caller.
    pub(super) last_event: Option<u64>,
    /// The software that made the events which the caller has. Unknown while it has none.
    pub(super) origin: Origin,
    /// Time at which the last events were forwarded.
    pub(super) forwarded: Instant,
    /// Longest time between two events.
    pub(super) pause: Span,
    /// Whether the body is a series of events.
    pub(super) events: bool,
    /// Bytes forwarded of a body that is not.
    other_bytes: usize,
    /// Whether the engine of now marks the end of the body other than by that of its connection.
    framed: bool,
    pub(super) ended: bool,
}

impl Relay {
    /// Returns the answer whose body is the stream of `started`.
    pub(crate) fn response(
        job: Rc<Job>,
        service: String,
        started: Started,
        tried: Rc<Tried>,
    ) -> Response<BoxBody> {
        let Started { instance, answer, permit, version } = started;
        let head = answer.head;
        let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let events = head.status.is_success()
            && kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
        let framed = is_framed(&head.headers);
        let mut builder = reply::head(&job.gateway, head.status, &head.headers);
        let relay = Relay {
            last_event: job.metadata.last_event,
            origin: Origin::Unknown,
            forwarded: clock::now(),
            pause: Span::ZERO,
            idle: answer.metadata.idle,
            partial: BytesMut::new(),
            ended: false,
            link: Some(answer.link),
            search: None,
            search_at: clock::now(),
            search_pause: generate::SEARCH_PAUSE,
            waiting: None,
            version,
            movable: None,
            moving: Moving::No,
            moved: false,
            cut: None,
            began: clock::now(),
            answered: clock::now(),
            went_on: false,
            job,
            service,
            tried,
            instance,
            permit,
            events,
            other_bytes: 0,
            framed,
        };
        let mut relay = relay.watched();
        if relay.last_event.is_some() {
            relay.set_origin();
        }
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

    /// Returns the next bytes for the caller. An error closes the caller's connection,
    /// so that an incomplete answer cannot be mistaken for a complete one.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        self.search_at = clock::now() + EVENT_TIMEOUT;
        loop {
            let result = match self.next_event().await {
                Event::Read(Ok(Some(chunk))) => {
                    let before = self.forwarded;
                    match self.take_whole_events(chunk) {
                        Ok(Some(bytes)) => {
                            self.on_events(before);
                            return Some(Ok(bytes));
                        }
                        Ok(None) => continue,
                        Err(error) => self.on_cut(error).await,
                    }
                }
                Event::Read(Ok(None)) if self.is_whole() => {
                    let is_unframed = self.events && !self.framed;
                    if !is_unframed || !parts::has_ended(&self.instance).await {
                        self.on_whole();
                        return None;
                    }
                    self.on_cut(LinkError::Early).await
                }
                // The stream ended in the middle of an event, or before the first one.
                Event::Read(Ok(None)) => self.on_cut(LinkError::Early).await,
                Event::Read(Err(error)) => self.on_cut(error).await,
                Event::Silent => {
                    self.on_silence();
                    continue;
                }
                Event::Found(found) => self.on_found(found),
                Event::Start(notice) => {
                    self.prepare(notice, Vec::new());
                    continue;
                }
                Event::Prepared(Some(prepared)) => {
                    let mut work = Move::new(&self.job, self.instance.clone(), prepared);
                    work.call(false);
                    self.moving = Moving::Yes(Box::new(work));
                    continue;
                }
                Event::Prepared(None) => {
                    self.stay();
                    continue;
                }
                Event::Copied(outcome, took) => self.on_copied(outcome, took).await,
            };
            if let Err(error) = result {
                self.ended = true;
                self.movable = None;
                self.permit = None;
                self.search = None;
                return Some(Err(io::Error::other(error)));
            }
        }
    }

    /// Returns the part of the received bytes that may be forwarded: whole events only,
    /// as an engine may fail in the middle of one, and another resumes after the last
    /// whole one.
    fn take_whole_events(&mut self, chunk: Bytes) -> Result<Option<Bytes>, LinkError> {
        if !self.events {
            self.other_bytes += chunk.len();
            return match self.other_bytes > BODY_MAX_BYTES {
                true => Err(LinkError::Malformed("the answer is too long".to_owned())),
                false => Ok(Some(chunk)),
            };
        }
        let whole = match (self.partial.is_empty(), events_end(&chunk)) {
            (true, Some(end)) if end == chunk.len() => chunk,
            _ => {
                self.partial.extend_from_slice(&chunk);
                let Some(end) = events_end(&self.partial) else {
                    return match self.partial.len() > EVENT_MAX_BYTES {
                        true => Err(LinkError::Malformed("an event is too long".to_owned())),
                        false => Ok(None),
                    };
                };
                self.partial.split_to(end).freeze()
            }
        };
        let whole = if self.moved { self.skip_repeated(&whole)? } else { whole };
        if whole.is_empty() {
            return Ok(None);
        }
        if self.origin == Origin::Unknown {
            self.set_origin();
        }
        if let Some(id) = last_id(&whole) {
            self.last_event = Some(id);
        }
        let now = clock::now();
        self.pause = self.pause.max(now.since(self.forwarded));
        self.forwarded = now;
        if now.since(self.answered) >= BEGIN_TIME {
            self.set_went_on();
        }
        if let Some(movable) = &self.movable {
            movable.set_load(self.load());
        }
        Ok(Some(whole))
    }

    /// Records that the engine of now made the events which the caller has.
    fn set_origin(&mut self) {
        let gateway = &self.job.gateway;
        let software = gateway.software(&self.instance);
        // Its engine has restarted: nobody knows which process made the event.
        self.origin = software.map_or(Origin::Contradictory, Origin::Software);
        if let (Some(software), Some(stream)) = (software, self.job.stream())
            && self.may_be_taken_up()
        {
            origins::on_own(gateway, &self.instance.service, stream, software);
        }
    }

    /// Goes on with the answer of another engine.
    pub(super) fn set_answer(&mut self, answer: PendingAnswer) {
        self.framed = is_framed(&answer.head.headers);
        (self.answered, self.went_on) = (clock::now(), false);
        self.search_at = self.answered + EVENT_TIMEOUT;
        self.link = Some(answer.link);
        self.idle = answer.metadata.idle;
    }

    /// Returns whether the body, which has ended, is whole as far as it shows. An engine that
    /// fails may end an unframed one, too.
    fn is_whole(&self) -> bool {
        let has_begun = self.origin != Origin::Unknown;
        self.partial.is_empty() && (self.framed || !self.events || has_begun)
    }

    /// Records that the engine has gone on with its answer.
    fn set_went_on(&mut self) {
        // An answer that is a failure does not show that the engine can write one.
        if self.events && !std::mem::replace(&mut self.went_on, true) {
            parts::on_answer(&self.job.gateway, &self.job, self.answered);
        }
    }

    /// Returns whether the caller may take the stream up at another entry.
    fn may_be_taken_up(&self) -> bool {
        self.events && self.job.route.repeat == Repeat::Resumable
    }

    /// Returns at which engines the stream may go on, if at any.
    pub(super) fn eligible(&self) -> Option<Eligible> {
        match self.origin {
            Origin::Unknown => Some(Eligible::Any),
            Origin::Software(software) => Some(Eligible::Only(software)),
            Origin::Contradictory => None,
        }
    }

    /// Returns whether another engine may resume the stream.
    pub(super) fn may_resume(&self) -> bool {
        self.may_be_taken_up()
            && self.origin != Origin::Contradictory
            && self.tried.sends.get() < self.job.route.attempts
    }

    /// Records that the stream is complete, and releases the permit and the connection.
    pub(super) fn finish(&mut self) {
        self.ended = true;
        self.movable = None;
        self.set_went_on();
        if self.events {
            fatal::on_complete(&self.job);
            fatal::on_answer(&self.job.gateway, &self.instance, self.answered);
        }
        let gateway = &self.job.gateway;
        let now = clock::now();
        gateway.health.borrow_mut().on_exchange(now, &self.instance.id, Exchange::Succeeded);
        gateway.metrics.on_stream(&self.job.route.name, self.pause);
        info!(gateway.node.log, ""; "event" => "streamed", "request" => &self.job.metadata.attempt,
            "upstream" => &self.instance.id, "last_event" => self.last_event,
            "pause_ms" => self.pause.as_millis(),
            "ms" => now.since(self.job.arrived).as_millis());
        // A pause during which another engine took over is not this engine's.
        let alone = self.tried.sends.get() <= 1 && !self.moved;
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
    /// Logs that the caller disconnected if the stream has not ended. The connection to
    /// the engine closes with the relay, and the engine stops the request.
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

/// Returns whether an answer marks its end other than by that of its connection.
fn is_framed(headers: &header::HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the end of the last whole event in `bytes`.
fn events_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(at + 2)
}

/// Returns the id of the last event in `bytes` that has one.
pub(super) fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
