//! How fast an engine reads prompts and finishes requests, learned from what
//! it does.

use crate::time::{Instant, Span};

/// Tokens of prompts read in a millisecond before anything was measured; low,
/// so that a first burst waits here and not in the engine.
const FIRST_PACE: f64 = 12.0;

/// Bounds on what is believed of a measurement, in tokens a millisecond.
const PACE_BOUNDS: (f64, f64) = (4.0, 40.0);

/// Least backlog, in tokens, that keeps an engine reading without a pause
/// between two reports. Less would measure how much was asked for, not how
/// fast it reads.
const BUSY: u64 = 3_000;

/// Weight of one measurement against all before it.
const WEIGHT: f64 = 0.1;

/// Time between two ends before any was measured.
const FIRST_INTERVAL: f64 = 50.0;

/// Longest time between two ends that is believed, in milliseconds; longer
/// ones are pauses without requests.
const INTERVAL_MAX: f64 = 1_000.0;

/// Learned pace of one engine.
#[derive(Debug)]
pub struct Pace {
    /// Prompt tokens a millisecond.
    tokens: f64,
    /// Milliseconds between two ends.
    interval: f64,
    ended: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { tokens: FIRST_PACE, interval: FIRST_INTERVAL, ended: None }
    }
}

impl Pace {
    /// Between two reports `span` apart `read` tokens were read, and `left`
    /// are left.
    pub fn on_read(&mut self, span: Span, read: u64, left: u64) {
        let millis = span.as_micros() as f64 / 1e3;
        if left < BUSY || read == 0 || millis < 1.0 {
            return;
        }
        let (low, high) = PACE_BOUNDS;
        let measured = (read as f64 / millis).clamp(low, high);
        self.tokens += WEIGHT * (measured - self.tokens);
    }

    /// A request ended, after which `running` still run.
    pub fn on_end(&mut self, now: Instant, running: usize) {
        if let Some(before) = self.ended {
            let millis = now.since(before).as_micros() as f64 / 1e3;
            self.interval += WEIGHT * (millis.min(INTERVAL_MAX) - self.interval);
        }
        self.ended = (running > 0).then_some(now);
    }

    /// Prompt tokens a millisecond.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time to read `tokens`.
    pub fn time(&self, tokens: u64) -> Span {
        Span::from_micros((tokens as f64 / self.tokens * 1e3) as u64)
    }

    /// Tokens read in `span`.
    pub fn tokens_in(&self, span: Span) -> u64 {
        (self.tokens * span.as_micros() as f64 / 1e3) as u64
    }

    /// Time until `count` more have ended.
    pub fn ends(&self, count: u64) -> Span {
        Span::from_micros((self.interval * count as f64 * 1e3) as u64)
    }
}
