//! How many requests one entry may send to a second upstream.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

/// What the fleet may repeat of one service's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats beyond that, over all entries.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Span,
}

/// Part of what is allowed that is used: entries do not know each other's
/// repeats, and what they count ends at different moments.
const PART: f64 = 0.7;

/// Sends of one service in the last window.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// A request goes to its first upstream.
    pub fn on_first(&mut self, now: Instant) {
        self.firsts.push_back(now);
    }

    /// Whether one of `entries` entries may send a request once more; counts
    /// it if so.
    pub fn try_repeat(&mut self, now: Instant, limits: &RepeatLimits, entries: usize) -> bool {
        for sends in [&mut self.firsts, &mut self.repeats] {
            while sends.front().is_some_and(|&at| now.since(at) > limits.window) {
                sends.pop_front();
            }
        }
        let own = limits.ratio * self.firsts.len() as f64;
        let allowed = PART * (own + limits.slack / entries.max(1) as f64);
        let may = (self.repeats.len() as f64) + 1.0 <= allowed;
        if may {
            self.repeats.push_back(now);
        }
        may
    }
}
