//! Transfer of running streams to other engines.
//!
//! An engine that leaves copies the memory of its runs to other engines, where the entries
//! that relay the streams continue them. This module addresses the streams of loads L and C
//! that are lost at engines which leave, are replaced or are evacuated. [`Transfer`] decides
//! what the relay does after each answer, [`StreamLoad`] which streams move and in which order,
//! and [`StartQueue`] how many move at once.
//!
//! A run continues elsewhere only after the source has answered that it has stopped the run, or
//! that it does not have it, or after its process is known to be gone. One request at a time
//! continues it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{time::Span, wire::sidecar::TransferReason};

/// Calls that copy memory while the run continues, after which the rest is copied in any case.
const COPY_ROUNDS_MAX: u32 = 3;

/// Calls of either kind that are sent again after no answer, or after the answer that another
/// call is in progress.
const REPEATS_MAX: u32 = 4;

/// Time for which an engine that leaves without saying how long continues to serve. Engines end
/// what still runs 2 to 3 s after they begin to leave.
pub const USUAL_NOTICE: Span = Span::from_millis(2_000);

/// Part of the notice that is kept for the transfer itself, in percent.
const NOTICE_MARGIN_PERCENT: u64 = 25;

/// Time for one token of a stream that has not shown it yet.
const USUAL_TOKEN_TIME: Span = Span::from_millis(15);

/// Streams that one entry moves away from one engine at once. Copies share the engine's link, so
/// more would delay the most urgent ones.
const CONCURRENT_MAX: usize = 4;

/// What a source answers to a call that copies the memory of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Copied {
        /// Identifies the copy at both ends.
        handle: String,
    },
    /// The source has no such run, or its process is gone.
    NoRun,
    /// Another call for the run is in progress.
    InProgress,
    /// The target has no room or cannot be reached.
    NoRoom {
        /// Identifies the memory that a stopped run has left at the source.
        handle: Option<String>,
    },
    /// There is no answer, or one that says nothing about the run.
    Unknown,
}

/// How the stream of the source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The run is complete.
    Whole,
    /// The stream was closed before its end.
    Cut,
}

/// What became of a request that continues a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContinueOutcome {
    /// The run continues.
    Runs,
    /// The engine has certainly not run it.
    NotRun,
    /// The engine may run it.
    Unknown,
}

/// An engine that may continue a stopped run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The engine that the memory was copied to.
    Target,
    /// The engine that has stopped the run.
    Source,
}

/// What the relay does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until the next event.
    Wait,
    /// Call the source to copy the memory; `last` also stops the run.
    Copy {
        /// Whether the source stops the run first.
        last: bool,
    },
    /// Relay the stream of the source, which goes on. Another target may be tried if the
    /// source was not asked to stop.
    Stay,
    /// Forward what the source has sent until its stream ends.
    Drain,
    /// Send the request that continues the run.
    Continue {
        /// The engine that gets it.
        at: End,
    },
    /// The stream is complete.
    Finished,
    /// The stream cannot be continued by this transfer.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The source copies while the run continues.
    Copying { rounds: u32, repeats: u32 },
    /// The source was asked to stop the run and has not answered.
    Stopping { repeats: u32 },
    /// The source did not say whether it has stopped the run, and its stream goes on.
    Doubt,
    /// The run does not run; its stream has not been read to its end.
    Draining,
    /// The request that continues the run was sent to this engine.
    Continuing(End),
    /// The stream goes on where it is and the source was never asked to stop.
    Stayed,
    /// The run continues, is complete or is lost.
    Ended,
}

/// The transfer of one stream to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    phase: Phase,
    /// Whether the source's stream has been read to its end. It was then cut.
    cut: bool,
    /// The copy that was announced last.
    handle: Option<String>,
    /// Engines that may still continue the run. Empty until it has stopped.
    ends: BTreeSet<End>,
    /// Whether the copy was used, or may have been.
    used: bool,
}

impl Transfer {
    /// Creates a transfer whose first step is to copy the memory.
    pub fn new() -> Transfer {
        Transfer {
            phase: Phase::Copying { rounds: 0, repeats: 0 },
            cut: false,
            handle: None,
            ends: BTreeSet::new(),
            used: false,
        }
    }

    /// Returns the handle with which the run continues.
    pub fn handle(&self) -> Option<&str> {
        self.handle.as_deref()
    }

    /// Returns the handle of a copy that is to be freed once the transfer is over.
    pub fn unused_copy(&self) -> Option<&str> {
        self.handle.as_deref().filter(|_| !self.used)
    }

    /// Returns whether the source may have been asked to stop the run. No other transfer of the
    /// stream may begin then.
    pub fn may_have_stopped(&self) -> bool {
        !matches!(self.phase, Phase::Copying { .. } | Phase::Stayed)
    }

    /// Returns whether the run has stopped and its stream has not been read to its end.
    pub fn is_draining(&self) -> bool {
        self.phase == Phase::Draining
    }

    /// Applies the source's answer to a copy, which took `took`. A copy that took longer than
    /// `gap` leaves a rest that would pause the stream for too long, so it is repeated.
    pub fn on_copy(&mut self, outcome: CopyOutcome, took: Span, gap: Span) -> Step {
        match self.phase {
            Phase::Copying { rounds, repeats } => {
                self.on_running_copy(outcome, rounds + 1, repeats, took > gap)
            }
            Phase::Stopping { repeats } => self.on_stop(outcome, repeats),
            _ => {
                // A late answer still says which copy is to be freed.
                if let CopyOutcome::Copied { handle } = outcome {
                    self.handle.get_or_insert(handle);
                }
                Step::Wait
            }
        }
    }

    fn on_running_copy(
        &mut self,
        outcome: CopyOutcome,
        rounds: u32,
        repeats: u32,
        is_slow: bool,
    ) -> Step {
        match outcome {
            CopyOutcome::Copied { handle } => {
                self.handle = Some(handle);
                if is_slow && !self.cut && rounds < COPY_ROUNDS_MAX {
                    self.phase = Phase::Copying { rounds, repeats };
                    return Step::Copy { last: false };
                }
                self.stop()
            }
            CopyOutcome::InProgress if repeats < REPEATS_MAX && !self.cut => {
                self.phase = Phase::Copying { rounds, repeats: repeats + 1 };
                Step::Copy { last: false }
            }
            // The copy of an earlier round suffices to go on.
            _ if self.handle.is_some() => self.stop(),
            _ if self.cut => self.end(Step::Lost),
            _ => {
                self.phase = Phase::Stayed;
                Step::Stay
            }
        }
    }

    fn stop(&mut self) -> Step {
        self.phase = Phase::Stopping { repeats: 0 };
        Step::Copy { last: true }
    }

    fn on_stop(&mut self, outcome: CopyOutcome, repeats: u32) -> Step {
        match outcome {
            CopyOutcome::Copied { handle } => {
                self.handle = Some(handle);
                self.ends = BTreeSet::from([End::Target, End::Source]);
                self.drain()
            }
            CopyOutcome::NoRoom { handle: Some(handle) } => {
                self.handle = Some(handle);
                self.ends = BTreeSet::from([End::Source]);
                self.drain()
            }
            // An answer to an earlier call to stop was lost, the run has ended, or the source
            // has restarted.
            CopyOutcome::NoRun => {
                self.ends = BTreeSet::from([End::Target, End::Source]);
                self.drain()
            }
            _ if repeats < REPEATS_MAX => {
                self.phase = Phase::Stopping { repeats: repeats + 1 };
                Step::Copy { last: true }
            }
            _ if self.cut => self.end(Step::Lost),
            _ => {
                self.phase = Phase::Doubt;
                Step::Stay
            }
        }
    }

    fn drain(&mut self) -> Step {
        if self.cut {
            return self.continue_at_next();
        }
        self.phase = Phase::Draining;
        Step::Drain
    }

    /// Applies the end of the source's stream.
    pub fn on_stream_end(&mut self, end: StreamEnd) -> Step {
        if end == StreamEnd::Whole {
            return self.end(Step::Finished);
        }
        self.cut = true;
        match self.phase {
            Phase::Copying { .. } | Phase::Stopping { .. } => Step::Wait,
            Phase::Doubt => self.stop(),
            Phase::Draining => self.continue_at_next(),
            Phase::Stayed | Phase::Continuing(_) | Phase::Ended => self.end(Step::Lost),
        }
    }

    /// Applies the outcome of the request that continues the run.
    pub fn on_continue(&mut self, outcome: ContinueOutcome) -> Step {
        match outcome {
            ContinueOutcome::Runs => {
                self.used = true;
                self.end(Step::Wait)
            }
            ContinueOutcome::NotRun => self.continue_at_next(),
            // The run may go on there, so no other engine may be asked.
            ContinueOutcome::Unknown => {
                self.used = true;
                self.end(Step::Lost)
            }
        }
    }

    fn continue_at_next(&mut self) -> Step {
        match self.ends.pop_first().filter(|_| self.handle.is_some()) {
            Some(at) => {
                self.phase = Phase::Continuing(at);
                Step::Continue { at }
            }
            None => self.end(Step::Lost),
        }
    }

    fn end(&mut self, step: Step) -> Step {
        self.phase = Phase::Ended;
        step
    }
}

impl Default for Transfer {
    fn default() -> Transfer {
        Transfer::new()
    }
}

/// Place of an event of a continued stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It follows the last event that was forwarded.
    Next,
    /// The caller has it already.
    Repeated,
    /// Events before it are missing.
    Gap,
}

/// Returns the place of the event `id` after `last`, the last one that was forwarded.
pub fn event_place(last: Option<u64>, id: u64) -> EventPlace {
    match last {
        Some(last) if id <= last => EventPlace::Repeated,
        Some(last) if id > last + 1 => EventPlace::Gap,
        _ => EventPlace::Next,
    }
}

/// What is known of a running stream when its engine leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamLoad {
    /// Priority of its request; 0 is the most urgent.
    pub priority: u8,
    /// Most tokens that it may still make.
    pub tokens_left: u64,
    /// Measured time for one token. If only events are known, an event counts as one token,
    /// which takes the stream to be longer than it is.
    pub token_time: Option<Span>,
}

impl StreamLoad {
    /// Returns the time that the stream takes to its end.
    pub fn time_left(&self) -> Span {
        let time = self.token_time.unwrap_or(USUAL_TOKEN_TIME);
        Span::from_micros(self.tokens_left.saturating_mul(time.as_micros()))
    }

    /// Returns whether the stream has to move, as it would not end within the notice that its
    /// engine gives.
    pub fn must_move(&self, why: TransferReason, within: Option<Span>) -> bool {
        let notice = within.unwrap_or(USUAL_NOTICE).as_micros();
        let usable = notice / 100 * (100 - NOTICE_MARGIN_PERCENT);
        why == TransferReason::Slow || self.time_left().as_micros() > usable
    }

    /// Returns the key by which streams that move are sorted: the most urgent first, and of
    /// these the one that is farthest from its end.
    pub fn order(&self) -> (u8, Reverse<Span>) {
        (self.priority, Reverse(self.time_left()))
    }
}

/// Streams that move away from engines, which begin a few at a time.
#[derive(Debug, Default)]
pub struct StartQueue {
    engines: BTreeMap<SocketAddr, Starts>,
}

#[derive(Debug, Default)]
struct Starts {
    waiting: BTreeMap<u64, StreamLoad>,
    /// Invariant: at most [`CONCURRENT_MAX`].
    moving: BTreeSet<u64>,
}

impl StartQueue {
    /// Adds the stream `id` at `engine`. Streams that wait or move already are not added again.
    pub fn push(&mut self, engine: SocketAddr, id: u64, load: StreamLoad) {
        let starts = self.engines.entry(engine).or_default();
        if !starts.moving.contains(&id) {
            starts.waiting.insert(id, load);
        }
    }

    /// Returns the streams at `engine` that begin to move now, in order.
    pub fn start(&mut self, engine: SocketAddr) -> Vec<u64> {
        let Some(starts) = self.engines.get_mut(&engine) else { return Vec::new() };
        let mut order: Vec<(u64, StreamLoad)> = starts.waiting.clone().into_iter().collect();
        order.sort_by_key(|&(id, load)| (load.order(), id));
        order.truncate(CONCURRENT_MAX - starts.moving.len().min(CONCURRENT_MAX));
        for (id, _) in &order {
            starts.waiting.remove(id);
            starts.moving.insert(*id);
        }
        order.into_iter().map(|(id, _)| id).collect()
    }

    /// Removes a stream that has moved, stays or has ended.
    pub fn remove(&mut self, engine: SocketAddr, id: u64) {
        let Some(starts) = self.engines.get_mut(&engine) else { return };
        starts.waiting.remove(&id);
        starts.moving.remove(&id);
        if starts.waiting.is_empty() && starts.moving.is_empty() {
            self.engines.remove(&engine);
        }
    }
}
