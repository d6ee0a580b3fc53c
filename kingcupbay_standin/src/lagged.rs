//! A value that is shown as it was some time ago.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Longest lag for which history is kept.
const MAX_LAG: Duration = Duration::from_secs(600);

/// Most values kept; beyond it the oldest are dropped.
const MAX_HISTORY: usize = 4096;

/// The history of a value.
pub(crate) struct Lagged<T> {
    /// Invariant: never empty, in order of time.
    history: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    pub(crate) fn new(now: Instant, value: T) -> Lagged<T> {
        Lagged { history: VecDeque::from([(now, value)]) }
    }

    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.history.push_back((now, value));
        while self.history.len() > MAX_HISTORY || self.is_past(1, now, MAX_LAG) {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was `lag` ago, or the oldest known one if the
    /// history begins later.
    pub(crate) fn shown(&self, now: Instant, lag: Duration) -> &T {
        let mut index = self.history.len() - 1;
        while index > 0 && !self.is_past(index, now, lag) {
            index -= 1;
        }
        &self.history[index].1
    }

    fn is_past(&self, index: usize, now: Instant, lag: Duration) -> bool {
        self.history.get(index).is_some_and(|&(at, _)| at + lag <= now)
    }
}
