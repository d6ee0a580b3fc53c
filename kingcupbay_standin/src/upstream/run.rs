//! A run of an engine with its memory, and the stream of its events.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{
    network,
    state::{ENDLESS_BYTES, State},
};

/// Tokens of each event.
pub(super) const EVENT_TOKENS: u64 = 4;

/// Pause between two copies of a run's memory to its backup.
const BACKUP_INTERVAL: Duration = Duration::from_millis(200);

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Running,
    /// Stopped by a move; its memory is kept.
    Stopped,
    /// Ended with its memory: complete, its caller gone, or lost with its engine.
    Ended,
}

/// A run, which is under way while its [`EventStream`] exists.
pub(super) struct Run {
    pub(super) number: u64,
    /// Number of the run that it continues, or its own.
    pub(super) origin: u64,
    pub(super) attempt: String,
    pub(super) priority: u64,
    pub(super) prompt_tokens: u64,
    /// Number of the last event made, by this run or those that it continues.
    pub(super) events: Cell<u64>,
    pub(super) phase: watch::Sender<Phase>,
    /// Engine that gets copies of the memory while the run is under way.
    pub(super) backup: Option<SocketAddr>,
    pub(super) backed_up: Cell<Option<Instant>>,
}

impl Run {
    pub(super) fn tokens(&self) -> u64 {
        tokens(self.prompt_tokens, self.events.get())
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the backup lacks the events of an interval.
    fn needs_backup(&self) -> bool {
        self.backed_up.get().is_none_or(|at| at.elapsed() >= BACKUP_INTERVAL)
    }
}

/// Returns the tokens of a memory with this many events.
pub(super) fn tokens(prompt: u64, events: u64) -> u64 {
    prompt + EVENT_TOKENS * events
}

/// The stream of a run. Dropping it before its end counts as a disconnect of the caller
/// while the run is under way.
pub(super) struct EventStream {
    state: Rc<State>,
    run: Rc<Run>,
    /// Time before the first event.
    prefill: Duration,
    /// Number of the next event.
    next: u64,
    /// Events sent on this stream.
    sent: u64,
    ended: bool,
    /// Set once it has begun an event that has no end.
    endless: Option<Duration>,
    /// Restarts of the engine when the run began.
    restarts: u64,
    /// When the last event was handed over to be written.
    handed_over: Instant,
}

impl EventStream {
    pub(super) fn new(state: &Rc<State>, run: Rc<Run>, prefill: Duration, last: u64) -> Self {
        network::begin(run.origin, run.number);
        let restarts = state.restarts.get();
        let state = Rc::clone(state);
        let handed_over = Instant::now();
        let next = last + 1;
        EventStream {
            state,
            run,
            prefill,
            next,
            sent: 0,
            ended: false,
            endless: None,
            restarts,
            handed_over,
        }
    }

    pub(super) async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended || self.next > self.state.settings.events {
            self.ended = true;
            return None;
        }
        // The connection asks for an event once it could write the one before.
        let patience = self.state.settings.patience;
        if patience.is_some_and(|patience| self.handed_over.elapsed() > patience) {
            self.state.cut_off.borrow_mut().push(self.run.attempt.clone());
            self.ended = true;
            return Some(Err(io::Error::other("cut off")));
        }
        let wait = std::mem::take(&mut self.prefill) + self.state.settings.event_interval;
        let mut phase = self.run.phase.subscribe();
        tokio::select! {
            biased;
            // Never an error: the run owns the sender.
            _ = phase.wait_for(|phase| *phase != Phase::Running) => {
                // Lets the connection write the events sent so far before it closes.
                actix_rt::task::yield_now().await;
                self.ended = true;
                if self.state.settings.unframed {
                    return None;
                }
                return Some(Err(io::Error::other("stopped")));
            }
            () = tokio::time::sleep(wait) => {}
        }
        if self.state.cut.get().is_some_and(|cut| self.sent >= cut) {
            self.state.cut.set(None);
            self.ended = true;
            if self.state.settings.unframed {
                return Some(Ok(format!("id: {}\ndata: ev", self.next).into()));
            }
            return Some(Err(io::Error::other("cut")));
        }
        self.endless = self.endless.or(self.state.endless.get());
        if let Some(pause) = self.endless {
            tokio::time::sleep(pause).await;
            let length = if pause.is_zero() { ENDLESS_BYTES } else { 1 };
            return Some(Ok(vec![b'x'; length].into()));
        }
        self.run.events.set(self.run.events.get().max(self.next));
        let text = format!("id: {}\ndata: {}\n\n", self.next, self.text());
        if network::overlaps(self.run.origin, self.run.number) {
            self.state.copies.count(|counts| &mut counts.overlaps);
        }
        if self.run.needs_backup() {
            self.state.back_up(&self.run);
        }
        self.next += 1;
        self.sent += 1;
        self.handed_over = Instant::now();
        Some(Ok(text.into()))
    }

    fn text(&self) -> String {
        let (event, attempt) = (self.next, &self.run.attempt);
        let padding = self.state.settings.event_padding;
        if padding > 0 {
            return format!("event {event} of {attempt} {}", "x".repeat(padding));
        }
        if self.state.settings.name_runs {
            return format!("event {event} of {attempt} run {}", self.run.origin);
        }
        format!("event {event} of {attempt}")
    }

    /// Whether the engine has crashed, or cannot be reached, since the run began.
    fn is_lost(&self) -> bool {
        self.restarts != self.state.restarts.get() || self.state.faults.borrow().refuses()
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        network::end(self.run.origin, self.run.number);
        self.state.running.borrow_mut().remove(&self.run.number);
        if !self.ended {
            self.state.disconnects.set(self.state.disconnects.get() + 1);
        }
        if self.run.phase() == Phase::Running {
            if !self.is_lost() {
                self.state.drop_backup(&self.run);
            }
            self.run.phase.send_replace(Phase::Ended);
        }
        self.state.changes.notify();
    }
}
