//! Moves a stream away from an engine that leaves while it is forwarded.

use std::{net::SocketAddr, pin::Pin};

use bytes::{Bytes, BytesMut};
use kingcupbay_core::{
    origin::Eligible,
    time::Span,
    transfer::{
        ContinueOutcome, CopyOutcome, End, EventPlace, Step, StreamEnd, StreamLoad, event_place,
    },
};
use slog::warn;

use crate::{
    clock,
    gateway::{
        generate::Started,
        reply::Refusal,
        send::{self, PendingAnswer, SendError, SendOptions},
        stream::{EVENT_TIMEOUT, Relay, last_id},
        transfer::{self, Movable, Move, Notice, Prepared},
    },
    http::link::LinkError,
};

/// Silence of a stream whose run has stopped after which its end is no longer waited for.
const DRAIN_SILENCE: Span = Span::from_millis(200);

/// Longest wait for the first event of a run that continues at another engine, if others may
/// resume the stream.
const CONTINUE_TIMEOUT: Span = Span::from_millis(2_000);

/// How far a stream has moved to another engine.
pub(super) enum Moving {
    No,
    /// A target is looked for.
    Preparing(Pin<Box<dyn Future<Output = Option<Prepared>>>>),
    Yes(Box<Move>),
}

/// What happens to a stream next.
pub(super) enum Event {
    Read(Result<Option<Bytes>, LinkError>),
    /// The engine is silent, so another one should be looked for.
    Silent,
    /// The search for another engine has ended.
    Found(Result<Box<Started>, Refusal>),
    /// It has to move.
    Start(Notice),
    /// A target was found, or none.
    Prepared(Option<Prepared>),
    /// The source has answered a copy, after this time.
    Copied(CopyOutcome, Span),
}

impl Moving {
    /// Waits for the next event of the transfer.
    async fn next(&mut self, movable: Option<&Movable>) -> Event {
        match (self, movable) {
            (Moving::No, Some(movable)) => Event::Start(movable.started().await),
            (Moving::No, None) => std::future::pending().await,
            (Moving::Preparing(preparing), _) => Event::Prepared(preparing.await),
            (Moving::Yes(work), _) => {
                let (outcome, took) = work.answered().await;
                Event::Copied(outcome, took)
            }
        }
    }
}

impl Relay {
    /// Registers the stream to be moved if its engine leaves.
    pub(super) fn watch(&mut self) {
        self.movable = None;
        if self.events {
            self.movable = Movable::new(&self.job, &self.instance, self.load());
        }
    }

    pub(super) fn watched(mut self) -> Relay {
        self.watch();
        self
    }

    /// Returns what is known of the stream. An event counts as one token.
    pub(super) fn load(&self) -> StreamLoad {
        let output = self.job.metadata.size.map_or(u64::MAX, |size| size.output);
        let events = self.last_event.unwrap_or_default();
        let running = clock::now().since(self.began).as_micros();
        let first = self.job.metadata.last_event.unwrap_or_default();
        let shown = events.saturating_sub(first);
        StreamLoad {
            priority: self.job.priority(),
            tokens_left: output.saturating_sub(events),
            token_time: (shown > 1).then(|| Span::from_micros(running / (shown - 1))),
        }
    }

    /// Waits for the next chunk from the engine, or for the next event of a transfer.
    pub(super) async fn next_event(&mut self) -> Event {
        let remaining = self.job.remaining();
        if remaining == Span::ZERO {
            return Event::Read(Err(LinkError::Silent));
        }
        let draining = matches!(&self.moving, Moving::Yes(work) if work.transfer.is_draining());
        let rest = self.search_at.since(clock::now());
        let may_search = self.search.is_none() && self.may_resume();
        let (time, is_end) = match &self.moving {
            _ if draining => (remaining.min(DRAIN_SILENCE), true),
            Moving::Yes(_) if self.may_resume() => (remaining.min(EVENT_TIMEOUT), true),
            Moving::No if may_search => (remaining.min(rest), remaining <= rest),
            Moving::Yes(_) | Moving::Preparing(_) | Moving::No => (remaining, true),
        };
        let is_moving = !matches!(self.moving, Moving::No);
        let Relay { link, moving, movable, search, .. } = self;
        let read = async {
            let chunk = match link {
                Some(link) => clock::timeout(time, link.chunk()).await,
                // A transfer has time limits of its own.
                None if is_moving => std::future::pending().await,
                None => {
                    tokio::time::sleep(time.into()).await;
                    None
                }
            };
            match chunk {
                Some(chunk) => Event::Read(chunk),
                None if is_end => Event::Read(Err(LinkError::Silent)),
                None => Event::Silent,
            }
        };
        let found = async {
            match search {
                Some(search) => Event::Found(search.await.map(Box::new)),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = moving.next(movable.as_ref()) => event,
            event = read => event,
            event = found => event,
        }
    }

    /// Looks for a target, except those in `tried`.
    pub(super) fn prepare(&mut self, notice: Notice, tried: Vec<SocketAddr>) {
        let (job, source) = (self.job.clone(), self.instance.clone());
        let preparing = transfer::prepare(job, source, self.version, notice, tried);
        self.moving = Moving::Preparing(Box::pin(preparing));
    }

    /// Lets the stream go on where it is, as no target takes it now.
    pub(super) fn stay(&mut self) {
        self.moving = Moving::No;
        if let Some(movable) = &self.movable {
            movable.postpone();
        }
    }

    /// Handles the end of a whole stream.
    pub(super) fn on_whole(&mut self) {
        if let Moving::Yes(work) = &mut self.moving {
            work.transfer.on_stream_end(StreamEnd::Whole);
            self.end_move("ended");
        }
        self.finish();
    }

    /// Handles a stream that `error` has cut.
    pub(super) async fn on_cut(&mut self, error: LinkError) -> Result<(), LinkError> {
        let step = match &mut self.moving {
            Moving::Yes(work) if self.job.remaining() > Span::ZERO && self.cut.is_none() => {
                work.transfer.on_stream_end(StreamEnd::Cut)
            }
            Moving::Yes(_) => Step::Lost,
            Moving::Preparing(_) | Moving::No => {
                self.moving = Moving::No;
                return self.resume(error).await;
            }
        };
        self.link = None;
        self.partial.clear();
        self.cut = Some(error);
        self.take(step).await
    }

    /// Applies the source's answer to a copy.
    pub(super) async fn on_copied(
        &mut self,
        outcome: CopyOutcome,
        took: Span,
    ) -> Result<(), LinkError> {
        let gap = self.job.route.event_gap.unwrap_or(DRAIN_SILENCE);
        let resumable = self.cut.is_some() && self.may_resume();
        let Moving::Yes(work) = &mut self.moving else { return Ok(()) };
        work.recovers |= work.transfer.may_have_stopped() && outcome == CopyOutcome::NoRun;
        let silent = outcome == CopyOutcome::Unknown;
        let step = work.transfer.on_copy(outcome, took, gap);
        // A resumable stream need not wait for an engine that does not answer.
        self.take(if resumable && silent { Step::Lost } else { step }).await
    }

    /// Carries out the steps of a transfer. Fails if the stream is lost.
    pub(super) async fn take(&mut self, mut step: Step) -> Result<(), LinkError> {
        loop {
            let Moving::Yes(work) = &mut self.moving else { return Ok(()) };
            step = match step {
                Step::Wait | Step::Drain | Step::Finished => return Ok(()),
                Step::Copy { last } => {
                    work.call(last);
                    return Ok(());
                }
                Step::Stay if work.transfer.may_have_stopped() => return Ok(()),
                Step::Stay => {
                    let (notice, tried) = (work.prepared.notice, work.prepared.tried.clone());
                    self.end_move("stayed");
                    self.prepare(notice, tried);
                    return Ok(());
                }
                Step::Continue { at } => {
                    let (outcome, answer) = self.continue_at(at).await;
                    let Moving::Yes(work) = &mut self.moving else { return Ok(()) };
                    let step = work.transfer.on_continue(outcome);
                    if let Some(answer) = answer {
                        self.on_moved(at, answer);
                        return Ok(());
                    }
                    step
                }
                Step::Lost => {
                    self.end_move("lost");
                    let error = self.cut.take().unwrap_or(LinkError::Early);
                    return self.resume(error).await;
                }
            };
        }
    }

    /// Sends the request that continues the run. The answer is present if it runs.
    pub(super) async fn continue_at(&self, at: End) -> (ContinueOutcome, Option<PendingAnswer>) {
        let Moving::Yes(work) = &self.moving else { return (ContinueOutcome::NotRun, None) };
        let instance = match at {
            End::Target => &work.prepared.instance,
            End::Source => &work.source,
        };
        let options = SendOptions {
            // A run continues with the memory of its source.
            eligible: Eligible::Only(work.source.software_id()),
            version: self.version,
            priority: Some(self.job.priority().min(9)),
            last_event: self.last_event,
            permitted: true,
            copy: work.transfer.handle().map(|handle| (work.source.address, handle)),
        };
        let remaining = self.job.remaining();
        // Nobody else can go on with a stream that may not be resumed.
        let time = if self.may_resume() { remaining.min(CONTINUE_TIMEOUT) } else { remaining };
        let sent = clock::timeout(time, send::send(&self.job, instance, options));
        let (outcome, error) = match sent.await {
            Some(Ok(answer)) if answer.is_unproved_success() => {
                (ContinueOutcome::Unknown, LinkError::Unproved.to_string())
            }
            Some(Ok(answer)) if answer.head.status.is_success() && !answer.metadata.not_run => {
                return (ContinueOutcome::Runs, Some(answer));
            }
            Some(Ok(answer)) => {
                let status = answer.head.status.as_u16();
                let not_run = answer.metadata.not_run || status == 503;
                let outcome =
                    if not_run { ContinueOutcome::NotRun } else { ContinueOutcome::Unknown };
                (outcome, format!("status {status}"))
            }
            Some(Err(SendError::Held(hold))) => (ContinueOutcome::NotRun, hold.as_str().to_owned()),
            Some(Err(SendError::Link(error))) if error.is_unsent() => {
                (ContinueOutcome::NotRun, error.to_string())
            }
            Some(Err(error)) => (ContinueOutcome::Unknown, error.to_string()),
            None => (ContinueOutcome::Unknown, "no answer in time".to_owned()),
        };
        warn!(self.job.gateway.node.log, ""; "event" => "transfer_failed",
            "request" => &self.job.metadata.attempt, "upstream" => &instance.id,
            "outcome" => ?outcome, "error" => error);
        (outcome, None)
    }

    /// Forwards the stream of the engine that continues the run.
    pub(super) fn on_moved(&mut self, at: End, answer: PendingAnswer) {
        let Moving::Yes(work) = &self.moving else { return };
        let outcome = match at {
            End::Source => "source",
            End::Target if work.recovers => "recovered",
            End::Target => "moved",
        };
        let why = work.prepared.notice.why;
        let pause = clock::now().since(self.forwarded);
        self.job.gateway.metrics.on_transfer_pause(why, pause);
        self.set_answer(answer);
        self.cut = None;
        self.moved = true;
        let work = self.end_move(outcome);
        match (at, work) {
            (End::Target, Some(work)) => {
                let (instance, permit) = work.into_target();
                self.tried.engines.borrow_mut().push(instance.address);
                self.instance = instance;
                self.permit = permit;
                self.watch();
            }
            _ => self.stay(),
        }
    }

    /// Logs the end of a transfer and returns it.
    pub(super) fn end_move(&mut self, outcome: &'static str) -> Option<Box<Move>> {
        let Moving::Yes(work) = std::mem::replace(&mut self.moving, Moving::No) else {
            return None;
        };
        let prompt = self.job.metadata.size.map_or(0, |size| size.prompt);
        let tokens = prompt + self.last_event.unwrap_or_default();
        transfer::log_end(&self.job, &work, outcome, tokens);
        Some(work)
    }

    /// Returns the events that the caller does not have yet. Fails if one is missing.
    pub(super) fn skip_repeated(&self, events: &Bytes) -> Result<Bytes, LinkError> {
        let mut last = self.last_event;
        let mut from = 0;
        let mut kept = BytesMut::new();
        while let Some(end) = events[from..].windows(2).position(|pair| pair == b"\n\n") {
            let event = &events[from..from + end + 2];
            from += end + 2;
            let Some(id) = last_id(event) else {
                kept.extend_from_slice(event);
                continue;
            };
            match event_place(last, id) {
                EventPlace::Next => kept.extend_from_slice(event),
                EventPlace::Repeated => continue,
                EventPlace::Gap => {
                    return Err(LinkError::Malformed(format!("event {id} after {last:?}")));
                }
            }
            last = Some(id);
        }
        Ok(kept.freeze())
    }
}
