//! Mean interval at which an engine starts requests while others wait.

use crate::time::{Instant, Span};

/// Weight of the previous mean relative to one new interval.
const PAST_WEIGHT: u64 = 7;

/// Moving mean of the time between two starts while requests wait.
#[derive(Debug, Default)]
pub(super) struct StartInterval {
    mean: Option<Span>,
    /// The last start, if requests were still waiting after it.
    last_start: Option<Instant>,
}

impl StartInterval {
    /// Records a start; `waiting` says whether requests still wait after it.
    pub(super) fn record_start(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last_start {
            let interval = now.since(last).as_micros();
            let mean = match self.mean {
                Some(mean) => (mean.as_micros() * PAST_WEIGHT + interval) / (PAST_WEIGHT + 1),
                None => interval,
            };
            self.mean = Some(Span::from_micros(mean));
        }
        self.last_start = waiting.then_some(now);
    }

    /// Returns the mean, zero while unknown.
    pub(super) fn mean(&self) -> Span {
        self.mean.unwrap_or(Span::ZERO)
    }
}
