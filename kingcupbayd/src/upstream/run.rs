//! Run requests of entries: checked, run, and answered by a stream of frames.

use std::rc::Rc;

use actix_http::{Request, Response, body::BoxBody};
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{future::LocalBoxFuture, stream};
use kingcupbay_core::{
    config::model::Upstream as Row,
    id::{OrganisationId, RequestId},
    queue::Entry,
    time::{Instant, Span},
    wire::{
        engine::Chunk,
        error::{Code, Failure, Ran},
        run::{Frame, Run, RunEvent, Work},
    },
};

use slog::info;

use super::{
    Upstream, call,
    engine::{self, EngineError, Generation},
    runner::Permit,
};
use crate::{
    active::ActiveGuard,
    clock,
    http::{body, reply},
    server::{drain::Phase, socket::Peer},
};

/// Longest run request in bytes: a caller's body and what the entry adds to it.
const MAX_RUN_BYTES: usize = 72 << 20;

/// Longest time to receive a run request.
const RUN_TIMEOUT: Span = Span::from_secs(10);

/// Outcome logged when the entry closed the stream before its end.
const ENTRY_LEFT: &str = "entry_left";

/// Media type of a sequence of frames.
const FRAMES_MEDIA_TYPE: &str = "application/vnd.kingcupbay.frames";

/// Answers `POST /run`.
pub(crate) async fn answer(upstream: Rc<Upstream>, mut request: Request) -> Response<BoxBody> {
    let body = match body::read(&mut request, None, MAX_RUN_BYTES, RUN_TIMEOUT).await {
        Ok(body) => body,
        Err(failure) => return reply::failure(&failure),
    };
    let Ok(run) = rmp_serde::from_slice::<Run>(&body.bytes) else {
        return reply::failure(&Failure::not_run(Code::BadRequest, "not an order"));
    };
    let state = RunStream::new(upstream, run, Peer::of(&request));
    let frames = stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        let event = state.next().await;
        let last =
            matches!(event, RunEvent::Done { .. } | RunEvent::Called { .. } | RunEvent::Failed(_));
        if last {
            state.close(&event);
        }
        let bytes = encode(state.request, event);
        Some((Ok(bytes), (!last).then_some(state)))
    });
    reply::stream(FRAMES_MEDIA_TYPE, frames)
}

/// Returns the failure of a request whose entry has left before it was run.
fn entry_left() -> Failure {
    Failure::not_run(Code::NoUpstream, "the entry has left")
}

/// Encodes a frame with its length, four bytes in big-endian order, in front.
fn encode(request: RequestId, event: RunEvent) -> Bytes {
    let frame = rmp_serde::to_vec(&Frame { request, event }).expect("frames serialise");
    let mut bytes = BytesMut::with_capacity(4 + frame.len());
    bytes.put_u32(u32::try_from(frame.len()).expect("frames are short"));
    bytes.extend_from_slice(&frame);
    bytes.freeze()
}

/// Stage of one run request.
enum Stage {
    /// The request is checked and waits for a permit of the engine.
    Waiting(LocalBoxFuture<'static, Result<(Permit, EngineOrder), Failure>>),
    /// The request was sent to the engine, which has not answered yet.
    Starting(Permit, LocalBoxFuture<'static, Result<Generation, EngineError>>),
    /// The engine generates. The permit is held until it ends.
    Generating { permit: Permit, generation: Generation },
    /// A plain service is being called.
    Calling(LocalBoxFuture<'static, RunEvent>),
    /// The last event was returned.
    Ended,
}

/// A generation request and the address of its engine.
struct EngineOrder {
    address: String,
    generate: kingcupbay_core::wire::engine::Generate,
}

/// Event stream that answers one run request. Dropping it cancels the request on
/// the engine: the entry has disconnected or has ended the request.
struct RunStream {
    upstream: Rc<Upstream>,
    request: RequestId,
    organisation: OrganisationId,
    /// Connection of the entry.
    peer: Peer,
    stage: Stage,
    /// Address of the engine while it runs the request.
    engine: Option<String>,
    /// When the last event other than a heartbeat was returned.
    last_event: Instant,
    /// Whether the final log line has not been written yet.
    unlogged: bool,
    model: String,
    entered: ActiveGuard,
}

impl RunStream {
    fn new(upstream: Rc<Upstream>, run: Run, peer: Peer) -> RunStream {
        let (request, organisation) = (run.request, run.organisation);
        let model = work_name(&upstream, &run);
        let name = upstream.organisation_name(organisation);
        let entered = upstream.active.enter(request, &name, &model, clock::now());
        entered.on_upstream(&upstream.upstream_name(run.upstream));
        let stage = match run.work {
            Work::Generate { .. } => {
                Stage::Waiting(Box::pin(acquire_permit(upstream.clone(), run)))
            }
            Work::Call { .. } if peer.has_left() => {
                Stage::Calling(Box::pin(async { RunEvent::Failed(entry_left()) }))
            }
            Work::Call { .. } => Stage::Calling(Box::pin(call::run(upstream.clone(), run))),
        };
        RunStream {
            upstream,
            request,
            organisation,
            peer,
            stage,
            engine: None,
            last_event: clock::now(),
            unlogged: true,
            model,
            entered,
        }
    }

    /// Returns the next event, or a heartbeat if there is none for the heartbeat
    /// period.
    async fn next(&mut self) -> RunEvent {
        let heartbeat = self.upstream.settings.tuning.heartbeat.into();
        loop {
            match tokio::time::timeout(heartbeat, self.advance()).await {
                Ok(Some(event)) => return self.on_event(event),
                Ok(None) => {}
                Err(_) => return self.on_silence(),
            }
        }
    }

    fn on_event(&mut self, event: RunEvent) -> RunEvent {
        self.last_event = clock::now();
        event
    }

    /// Handles a heartbeat period without an event. If the engine's stream has
    /// been silent for too long, it is lost even though its connection looks
    /// open, and the request fails so that the entry resumes it on another
    /// engine.
    fn on_silence(&mut self) -> RunEvent {
        let on_engine = matches!(self.stage, Stage::Starting(..) | Stage::Generating { .. });
        let silence = clock::now().since(self.last_event);
        if !on_engine || silence < self.upstream.settings.tuning.engine_silence {
            return RunEvent::Heartbeat;
        }
        // Its pooled connections are likely dead too, so the next attempt must
        // open a new one.
        if let Some(address) = &self.engine {
            self.upstream.clients.forget(address);
        }
        let error = EngineError::Broken("it went silent".to_owned());
        self.stage = Stage::Ended;
        RunEvent::Failed(upstream_failed(Ran::Unknown, &error))
    }

    /// Advances by one step; `None` if the step has no event. Cancel safe.
    async fn advance(&mut self) -> Option<RunEvent> {
        match &mut self.stage {
            Stage::Waiting(permit) => {
                let result = permit.await;
                self.on_permit(result)
            }
            Stage::Starting(permit, started) => {
                let result = tokio::select! {
                    result = started => result,
                    () = permit.adapter_lost() => Err(restarted_error()),
                };
                self.on_start(result)
            }
            Stage::Generating { permit, generation } => {
                let result = tokio::select! {
                    result = generation.next() => result,
                    () = permit.adapter_lost() => Err(restarted_error()),
                };
                if matches!(result, Ok(Some(_))) {
                    permit.on_tokens(1);
                }
                self.on_chunk(result)
            }
            Stage::Calling(called) => {
                let event = called.await;
                self.stage = Stage::Ended;
                Some(event)
            }
            Stage::Ended => unreachable!("the last event ends the stream"),
        }
    }

    fn on_permit(&mut self, result: Result<(Permit, EngineOrder), Failure>) -> Option<RunEvent> {
        match result {
            Ok(_) if self.peer.has_left() => self.fail(entry_left()),
            Ok((permit, order)) => {
                let clients = self.upstream.clients.clone();
                self.engine = Some(order.address.clone());
                let started = engine::generate(clients, order.address, order.generate);
                self.stage = Stage::Starting(permit, Box::pin(started));
                Some(RunEvent::Started)
            }
            Err(failure) => self.fail(failure),
        }
    }

    fn on_start(&mut self, result: Result<Generation, EngineError>) -> Option<RunEvent> {
        match (std::mem::replace(&mut self.stage, Stage::Ended), result) {
            (Stage::Starting(permit, _), Ok(generation)) => {
                self.stage = Stage::Generating { permit, generation };
                None
            }
            (_, Ok(_)) => unreachable!("only a starting request starts"),
            (stage, Err(error)) => {
                if let Stage::Starting(permit, _) = stage {
                    permit.runner().request_report();
                }
                let ran = match error {
                    EngineError::Unreachable(_) | EngineError::Refused(_) => Ran::NotRun,
                    EngineError::Broken(_) => Ran::Unknown,
                };
                self.fail(upstream_failed(ran, &error))
            }
        }
    }

    fn on_chunk(&mut self, result: Result<Option<Chunk>, EngineError>) -> Option<RunEvent> {
        match result {
            Ok(Some(chunk)) => self.on_choice(chunk),
            Ok(None) => {
                let error = EngineError::Broken("it named no reason for its end".to_owned());
                self.fail(upstream_failed(Ran::Ran, &error))
            }
            Err(error) => self.fail(upstream_failed(Ran::Ran, &error)),
        }
    }

    fn on_choice(&mut self, chunk: Chunk) -> Option<RunEvent> {
        let choice = chunk.choices.into_iter().next()?;
        match choice.finish_reason {
            None => {
                self.entered.on_tokens(choice.offset + 1);
                Some(RunEvent::Token { offset: choice.offset, text: choice.text })
            }
            Some(reason) => {
                self.engine = None;
                self.stage = Stage::Ended;
                Some(RunEvent::Done { reason, usage: chunk.usage.unwrap_or_default() })
            }
        }
    }

    fn fail(&mut self, failure: Failure) -> Option<RunEvent> {
        self.stage = Stage::Ended;
        Some(RunEvent::Failed(failure))
    }
}

impl RunStream {
    /// Writes the final log line for the last event.
    fn close(&mut self, event: &RunEvent) {
        let outcome = match event {
            RunEvent::Failed(failure) => failure.code.as_str(),
            _ => "ok",
        };
        self.log_end(outcome);
    }

    /// Writes the final log line, and counts an answer that was not delivered.
    fn log_end(&mut self, outcome: &str) {
        self.unlogged = false;
        let name = self.upstream.organisation_name(self.organisation);
        if outcome == ENTRY_LEFT {
            self.upstream.metrics.undelivered.with_label_values(&[name.as_str()]).inc();
        }
        info!(self.upstream.log, ""; "event" => "run", "request" => %self.request,
            "organisation" => name, "model" => &self.model, "outcome" => outcome);
    }
}

impl Drop for RunStream {
    fn drop(&mut self) {
        // The entry may have died. Then no other process knows that its caller
        // did not receive the whole answer.
        if self.unlogged {
            self.log_end(ENTRY_LEFT);
        }
        let Some(address) = self.engine.take() else { return };
        actix_rt::spawn(engine::cancel(self.upstream.clients.clone(), address, self.request));
    }
}

/// Returns the name of the model or route that a run request asks for, as used
/// in dumps and logs.
fn work_name(upstream: &Upstream, run: &Run) -> String {
    let config = upstream.fleet.config();
    let name = match &run.work {
        Work::Generate { version, .. } => config.model_name(*version),
        Work::Call { route, .. } => config.routes.get(*route).map(|row| row.name.to_string()),
    };
    name.unwrap_or_else(|| "removed".to_owned())
}

/// Returns the error of an engine that lost its adapters by a restart.
fn restarted_error() -> EngineError {
    EngineError::Broken("it restarted".to_owned())
}

fn upstream_failed(ran: Ran, error: &EngineError) -> Failure {
    Failure { ran, ..Failure::not_run(Code::UpstreamFailed, error.to_string()) }
}

/// Checks a run request as the entry did, but under this daemon's own
/// configuration, and waits for a permit.
async fn acquire_permit(
    upstream: Rc<Upstream>,
    run: Run,
) -> Result<(Permit, EngineOrder), Failure> {
    let row = check_run(&upstream, &run).await?;
    let Work::Generate { version, prompt, max_tokens, offset, sampling } = run.work else {
        unreachable!("the order was matched")
    };
    let config = upstream.fleet.config();
    let adapter = config.versions.get(version).and_then(|row| config.adapters.get(row.adapter));
    if adapter.is_none_or(|adapter| adapter.organisation != run.organisation) {
        return Err(Failure::not_run(Code::NotFound, "the version does not exist any more"));
    }
    let model = config.model_name(version).expect("a known version has an adapter");
    let now = clock::now();
    let entry = Entry {
        request: run.request,
        organisation: run.organisation,
        version,
        tokens: prompt.tokens() + u64::from(max_tokens.saturating_sub(offset)),
        deadline: now + run.left,
        enqueued: now,
    };
    let permit = upstream.runner(run.upstream, &row).acquire_permit(entry).await?;
    permit.on_tokens(prompt.tokens());
    let generate = engine::generate_request(run.request, model, prompt);
    let generate =
        kingcupbay_core::wire::engine::Generate { max_tokens, offset, sampling, ..generate };
    Ok((permit, EngineOrder { address: row.address, generate }))
}

/// Checks that this daemon may run the request and returns the upstream's row.
/// The check uses a configuration at least as new as the one that admitted the
/// request.
pub(super) async fn check_run(upstream: &Rc<Upstream>, run: &Run) -> Result<Row, Failure> {
    if upstream.drain.phase() >= Phase::Closing {
        return Err(Failure::not_run(Code::Stopping, "this host is stopping"));
    }
    if !upstream.fleet.catch_up(run.number).await || !upstream.fleet.may_act(clock::now()) {
        let message = "the upstream's daemon cannot confirm its configuration";
        return Err(Failure::not_run(Code::NoStanding, message));
    }
    upstream.owned_row(run.upstream)
}
