//! How fast an engine takes requests while some wait.

use crate::time::{Instant, Span};

/// Weight of the past in the mean, against one new interval.
const MEMORY: u64 = 7;

/// Mean time between two starts while requests wait.
#[derive(Debug, Default)]
pub(super) struct Pace {
    mean: Option<Span>,
    /// The last start, if requests have waited ever since.
    last: Option<Instant>,
}

impl Pace {
    /// Notes a start, after which requests wait or not.
    pub(super) fn started(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last {
            let interval = now.since(last).as_micros();
            let mean = match self.mean {
                Some(mean) => (mean.as_micros() * MEMORY + interval) / (MEMORY + 1),
                None => interval,
            };
            self.mean = Some(Span::from_micros(mean));
        }
        self.last = waiting.then_some(now);
    }

    /// The mean, zero while unknown.
    pub(super) fn interval(&self) -> Span {
        self.mean.unwrap_or(Span::ZERO)
    }
}
