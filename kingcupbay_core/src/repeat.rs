//! Budget for requests that one entry sends again to another upstream.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

/// Limits on repeated requests of one service, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Repeats allowed for each first request.
    pub ratio: f64,
    /// Further repeats allowed per window, over all entries.
    pub slack: f64,
    /// Sliding window over which both are counted.
    pub window: Span,
}

/// Fraction of the allowed repeats that an entry uses. Entries do not know each
/// other's repeats, and their windows end at different times.
const USED_FRACTION: f64 = 0.7;

/// First and repeated requests of one service in the last window.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Records that a request is sent to its first upstream.
    pub fn on_first(&mut self, now: Instant) {
        self.firsts.push_back(now);
    }

    /// Returns whether this entry, one of `entries`, may send a request once more, and
    /// counts the repeat if so.
    pub fn try_repeat(&mut self, now: Instant, limits: &RepeatLimits, entries: usize) -> bool {
        for sends in [&mut self.firsts, &mut self.repeats] {
            while sends.front().is_some_and(|&at| now.since(at) > limits.window) {
                sends.pop_front();
            }
        }
        let own = limits.ratio * self.firsts.len() as f64;
        let allowed = USED_FRACTION * (own + limits.slack / entries.max(1) as f64);
        let fits = (self.repeats.len() as f64) + 1.0 <= allowed;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    /// Records that the repeat counted at `at` is sent only now.
    pub fn on_send(&mut self, now: Instant, at: Instant) {
        self.on_unused(at);
        self.repeats.push_back(now);
    }

    /// Takes back the repeat counted at `at`: nothing was sent.
    pub fn on_unused(&mut self, at: Instant) {
        if let Some(index) = self.repeats.iter().rposition(|&counted| counted == at) {
            self.repeats.remove(index);
        }
    }
}
