//! Orders of entries: checked, run, and answered frame by frame.

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
    runner::Place,
};
use crate::{
    active::Entered,
    clock,
    http::{body, reply},
    server::drain::Phase,
};

/// Longest order: a caller's body and what the entry adds.
const ORDER_LIMIT: usize = 72 << 20;

/// Time for an order to arrive whole.
const ORDER_TIME: Span = Span::from_secs(10);

/// Outcome of an order whose entry closed the stream before its end.
const LEFT: &str = "entry_left";

/// Media type of a sequence of frames.
const FRAMES: &str = "application/vnd.kingcupbay.frames";

/// Answers `POST /run`.
pub(crate) async fn answer(upstream: Rc<Upstream>, mut request: Request) -> Response<BoxBody> {
    let bytes = match body::read(request.take_payload(), ORDER_LIMIT, ORDER_TIME).await {
        Ok(bytes) => bytes,
        Err(failure) => return reply::failure(&failure),
    };
    let Ok(run) = rmp_serde::from_slice::<Run>(&bytes) else {
        return reply::failure(&Failure::not_run(Code::BadRequest, "not an order"));
    };
    let serving = Serving::new(upstream, run);
    let frames = stream::unfold(Some(serving), |serving| async move {
        let mut serving = serving?;
        let event = serving.next().await;
        let last =
            matches!(event, RunEvent::Done { .. } | RunEvent::Called { .. } | RunEvent::Failed(_));
        if last {
            serving.close(&event);
        }
        let bytes = encode(serving.request, event);
        Some((Ok(bytes), (!last).then_some(serving)))
    });
    reply::stream(FRAMES, frames)
}

fn encode(request: RequestId, event: RunEvent) -> Bytes {
    let frame = rmp_serde::to_vec(&Frame { request, event }).expect("frames serialise");
    let mut bytes = BytesMut::with_capacity(4 + frame.len());
    bytes.put_u32(u32::try_from(frame.len()).expect("frames are short"));
    bytes.extend_from_slice(&frame);
    bytes.freeze()
}

/// Steps of one order.
enum Phases {
    /// Checks, and waits for a place on the engine.
    Waiting(LocalBoxFuture<'static, Result<(Place, Order), Failure>>),
    /// Waits for the engine to take the order.
    Starting(Place, LocalBoxFuture<'static, Result<Generation, EngineError>>),
    /// The engine generates; the place is held for as long.
    Generating { place: Place, generation: Generation },
    /// A plain service is called.
    Calling(LocalBoxFuture<'static, RunEvent>),
    /// Nothing follows.
    Over,
}

/// What goes to the engine.
struct Order {
    address: String,
    generate: kingcupbay_core::wire::engine::Generate,
}

/// One order being served. Its drop cancels what runs: the entry has gone, or
/// has ended the request.
struct Serving {
    upstream: Rc<Upstream>,
    request: RequestId,
    organisation: OrganisationId,
    phase: Phases,
    /// Where the engine runs the request, while it does.
    engine: Option<String>,
    /// When the last event came.
    heard: Instant,
    /// Whether the closing line is still to be written.
    open: bool,
    model: String,
    entered: Entered,
}

impl Serving {
    fn new(upstream: Rc<Upstream>, run: Run) -> Serving {
        let (request, organisation) = (run.request, run.organisation);
        let model = name_of(&upstream, &run);
        let name = upstream.organisation_name(organisation);
        let entered = upstream.active.enter(request, &name, &model, clock::now());
        entered.on_upstream(&upstream.upstream_name(run.upstream));
        let phase = match run.work {
            Work::Generate { .. } => Phases::Waiting(Box::pin(wait(upstream.clone(), run))),
            Work::Call { .. } => Phases::Calling(Box::pin(call::run(upstream.clone(), run))),
        };
        Serving {
            upstream,
            request,
            organisation,
            phase,
            engine: None,
            heard: clock::now(),
            open: true,
            model,
            entered,
        }
    }

    /// The next event; a heartbeat when there is none for a while.
    async fn next(&mut self) -> RunEvent {
        let heartbeat = self.upstream.settings.tuning.heartbeat.into();
        loop {
            match tokio::time::timeout(heartbeat, self.advance()).await {
                Ok(Some(event)) => return self.heard(event),
                Ok(None) => {}
                Err(_) => return self.quiet(),
            }
        }
    }

    fn heard(&mut self, event: RunEvent) -> RunEvent {
        self.heard = clock::now();
        event
    }

    /// Nothing for one heartbeat. An engine whose stream stays silent for too
    /// long has lost it, though its connection looks open; the entry resumes
    /// the answer on another engine.
    fn quiet(&mut self) -> RunEvent {
        let on_engine = matches!(self.phase, Phases::Starting(..) | Phases::Generating { .. });
        let silence = clock::now().since(self.heard);
        if !on_engine || silence < self.upstream.settings.tuning.engine_silence {
            return RunEvent::Heartbeat;
        }
        // Its pooled connections are as dead; the next attempt needs a new one.
        if let Some(address) = &self.engine {
            self.upstream.clients.forget(address);
        }
        let error = EngineError::Broken("it went silent".to_owned());
        self.phase = Phases::Over;
        RunEvent::Failed(upstream_failed(Ran::Unknown, &error))
    }

    /// Goes one step; safe to drop and call again.
    async fn advance(&mut self) -> Option<RunEvent> {
        match &mut self.phase {
            Phases::Waiting(place) => {
                let result = place.await;
                self.on_place(result)
            }
            Phases::Starting(place, started) => {
                let result = tokio::select! {
                    result = started => result,
                    () = place.lost() => Err(restarted()),
                };
                self.on_start(result)
            }
            Phases::Generating { place, generation } => {
                let result = tokio::select! {
                    result = generation.next() => result,
                    () = place.lost() => Err(restarted()),
                };
                if matches!(result, Ok(Some(_))) {
                    place.on_tokens(1);
                }
                self.on_chunk(result)
            }
            Phases::Calling(called) => {
                let event = called.await;
                self.phase = Phases::Over;
                Some(event)
            }
            Phases::Over => unreachable!("the last event ends the stream"),
        }
    }

    fn on_place(&mut self, result: Result<(Place, Order), Failure>) -> Option<RunEvent> {
        match result {
            Ok((place, order)) => {
                let clients = self.upstream.clients.clone();
                self.engine = Some(order.address.clone());
                let started = engine::generate(clients, order.address, order.generate);
                self.phase = Phases::Starting(place, Box::pin(started));
                Some(RunEvent::Started)
            }
            Err(failure) => self.fail(failure),
        }
    }

    fn on_start(&mut self, result: Result<Generation, EngineError>) -> Option<RunEvent> {
        match (std::mem::replace(&mut self.phase, Phases::Over), result) {
            (Phases::Starting(place, _), Ok(generation)) => {
                self.phase = Phases::Generating { place, generation };
                None
            }
            (_, Ok(_)) => unreachable!("only a starting order starts"),
            (phase, Err(error)) => {
                if let Phases::Starting(place, _) = phase {
                    place.runner().ask();
                }
                let ran = match error {
                    EngineError::Unreached(_) | EngineError::Refused(_) => Ran::NotRun,
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
                self.phase = Phases::Over;
                Some(RunEvent::Done { reason, usage: chunk.usage.unwrap_or_default() })
            }
        }
    }

    fn fail(&mut self, failure: Failure) -> Option<RunEvent> {
        self.phase = Phases::Over;
        Some(RunEvent::Failed(failure))
    }
}

impl Serving {
    /// Writes the closing line.
    fn close(&mut self, event: &RunEvent) {
        let outcome = match event {
            RunEvent::Failed(failure) => failure.code.as_str(),
            _ => "ok",
        };
        self.log_end(outcome);
    }

    fn log_end(&mut self, outcome: &str) {
        self.open = false;
        let name = self.upstream.organisation_name(self.organisation);
        if outcome == LEFT {
            self.upstream.metrics.undelivered.with_label_values(&[name.as_str()]).inc();
        }
        info!(self.upstream.log, ""; "event" => "run", "request" => %self.request,
            "organisation" => name, "model" => &self.model, "outcome" => outcome);
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        // The entry may have died: then nobody else knows that its caller
        // never got the whole answer.
        if self.open {
            self.log_end(LEFT);
        }
        let Some(address) = self.engine.take() else { return };
        actix_rt::spawn(engine::cancel(self.upstream.clients.clone(), address, self.request));
    }
}

/// What an order asks for, as dumps and logs name it.
fn name_of(upstream: &Upstream, run: &Run) -> String {
    let config = upstream.fleet.config();
    let name = match &run.work {
        Work::Generate { version, .. } => config.model_name(*version),
        Work::Call { route, .. } => config.routes.get(*route).map(|row| row.name.to_string()),
    };
    name.unwrap_or_else(|| "removed".to_owned())
}

fn restarted() -> EngineError {
    EngineError::Broken("it restarted".to_owned())
}

fn upstream_failed(ran: Ran, error: &EngineError) -> Failure {
    Failure { ran, ..Failure::not_run(Code::UpstreamFailed, error.to_string()) }
}

/// Checks an order as the entry did, under this daemon's own configuration,
/// and waits for a place.
async fn wait(upstream: Rc<Upstream>, run: Run) -> Result<(Place, Order), Failure> {
    let row = check(&upstream, &run).await?;
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
    let place = upstream.runner(run.upstream, &row).place(entry).await?;
    place.on_tokens(prompt.tokens());
    let generate = engine::order(run.request, model, prompt);
    let generate =
        kingcupbay_core::wire::engine::Generate { max_tokens, offset, sampling, ..generate };
    Ok((place, Order { address: row.address, generate }))
}

/// Whether this daemon may run the order, asked under a configuration at
/// least as new as the one that admitted it.
pub(super) async fn check(upstream: &Rc<Upstream>, run: &Run) -> Result<Row, Failure> {
    if upstream.drain.phase() == Phase::Closing {
        return Err(Failure::not_run(Code::Stopping, "this host is stopping"));
    }
    if !upstream.fleet.catch_up(run.number).await || !upstream.fleet.holds(clock::now()) {
        let message = "the upstream's daemon cannot confirm its configuration";
        return Err(Failure::not_run(Code::NoStanding, message));
    }
    upstream.own(run.upstream)
}
