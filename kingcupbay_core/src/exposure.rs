//! Runs of requests that nobody waits for any longer, and whose end was not seen.
//!
//! A caller leaves, or an upstream is silent for too long, and the connection is given up. If the
//! upstream's process ends under the request all the same, that shows later: its port refuses
//! connections, or it registers as started anew. Such an end counts unless the process has
//! answered a later request.

use std::collections::BTreeMap;

use crate::{
    fatal::Run,
    time::{Instant, Span},
};

/// How long the end of a process counts as one under a request that was given up before.
pub const EXPOSED_FOR: Span = Span::from_secs(5);

/// Time in which an upstream has stopped a request that was given up. An answer to a request sent
/// later shows that its process has outlived it.
const STOP_TIME: Span = Span::from_millis(500);

/// Largest number of runs that are remembered.
const RUNS_MAX: usize = 10_000;

/// Times of a run that was given up.
#[derive(Clone, Copy, Debug)]
struct Exposed {
    sent: Instant,
    given_up: Instant,
}

/// Runs that were given up, by process.
#[derive(Clone, Debug, Default)]
pub struct Exposures {
    /// By hashes of upstreams' ids, then by their starts. Invariant: no inner map is empty.
    processes: BTreeMap<(u64, u64), BTreeMap<Run, Exposed>>,
    /// Number of runs in `processes`.
    count: usize,
}

impl Exposures {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Records that `run`, sent at `sent`, is given up.
    pub fn on_given_up(&mut self, now: Instant, sent: Instant, run: Run) {
        if self.count >= RUNS_MAX {
            self.expire(now);
        }
        if self.count >= RUNS_MAX {
            return;
        }
        let runs = self.processes.entry((run.upstream, run.born)).or_default();
        let before = runs.insert(run, Exposed { sent, given_up: now });
        self.count += usize::from(before.is_none());
    }

    /// Records an answer of the process that started at `born` to a request sent at `sent`.
    pub fn on_answer(&mut self, sent: Instant, upstream: u64, born: u64) {
        self.retain(|process, exposed| {
            process != (upstream, born) || exposed.given_up + STOP_TIME >= sent
        });
    }

    /// Records that the process that started at `born` has ended. Returns the runs under which it
    /// has, with the times at which they were sent.
    pub fn on_end(&mut self, now: Instant, upstream: u64, born: u64) -> Vec<(Run, Instant)> {
        self.expire(now);
        self.take(|process| process == (upstream, born))
    }

    /// Records that the upstream runs as a process that started at `born`: all others have ended.
    pub fn on_start(&mut self, now: Instant, upstream: u64, born: u64) -> Vec<(Run, Instant)> {
        self.expire(now);
        self.take(|process| process.0 == upstream && process.1 != born)
    }

    /// Drops what does not count any more.
    pub fn expire(&mut self, now: Instant) {
        self.retain(|_, exposed| now.since(exposed.given_up) < EXPOSED_FOR);
    }

    fn take(&mut self, ended: impl Fn((u64, u64)) -> bool) -> Vec<(Run, Instant)> {
        let keys: Vec<(u64, u64)> =
            self.processes.keys().copied().filter(|&key| ended(key)).collect();
        let runs = keys.iter().filter_map(|key| self.processes.remove(key)).flatten();
        let taken: Vec<(Run, Instant)> = runs.map(|(run, exposed)| (run, exposed.sent)).collect();
        self.count -= taken.len();
        taken
    }

    fn retain(&mut self, mut keep: impl FnMut((u64, u64), &Exposed) -> bool) {
        if self.is_empty() {
            return;
        }
        self.processes.retain(|&process, runs| {
            runs.retain(|_, exposed| keep(process, exposed));
            !runs.is_empty()
        });
        self.count = self.processes.values().map(BTreeMap::len).sum();
    }
}
