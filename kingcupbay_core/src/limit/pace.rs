//! Pace of the requests to a limited upstream.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

/// Window over which the platform counts the requests to a limited upstream.
const RATE_WINDOW: Span = Span::from_secs(4);

/// Requests in [`RATE_WINDOW`] that the platform tolerates beyond the rate, less one for the
/// burst and one in reserve.
const TOLERATED_REQUESTS: f64 = 3.0;

/// Requests that the platform tolerates in [`RATE_WINDOW`], as a multiple of the rate.
const TOLERATED_FACTOR: f64 = 1.5;

/// Longest delay of a request that the next one makes up for.
const CATCH_UP_MAX: Span = Span::from_millis(100);

/// Keeps a rate, one request at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Requests sent before the limit was known, in the last [`RATE_WINDOW`].
    before: VecDeque<Instant>,
    /// When the next request may be sent, as far as those since the limit go.
    due: Instant,
}

impl Pace {
    /// Applies a changed `rate`. A lower one may have set a later time for the next request.
    pub(super) fn on_limit(&mut self, now: Instant, rate: f64) {
        self.due = self.due.min(now + interval(rate));
    }

    /// Delays the first request at a new limit until `due`.
    pub(super) fn start(&mut self, due: Instant) {
        self.due = self.due.max(due);
    }

    /// Returns the time until a request may be sent behind `ahead` others. This daemon sends
    /// the fraction `share` of the upstream's `limit`.
    pub(super) fn wait(&self, now: Instant, limit: f64, share: f64, ahead: usize) -> Span {
        let interval = interval(limit * share);
        let due = self.due(now).max(self.earlier_until(now, limit, share));
        (due + Span::from_micros(interval.as_micros().saturating_mul(ahead as u64))).since(now)
    }

    /// Returns when the next request is due. One that is sent late leaves less time until the
    /// next, unless nothing was waiting.
    fn due(&self, now: Instant) -> Instant {
        if now.since(self.due) <= CATCH_UP_MAX { self.due } else { now }
    }

    /// Returns until when too many requests count that were sent before the limit: the
    /// upstream counts them with those that follow.
    fn earlier_until(&self, now: Instant, limit: f64, share: f64) -> Instant {
        let spare =
            (TOLERATED_FACTOR - 1.0) * limit * RATE_WINDOW.as_secs_f64() + TOLERATED_REQUESTS;
        let spare = (spare * share) as usize;
        let recent = self.before.iter().filter(|at| now.since(**at) < RATE_WINDOW);
        recent.rev().nth(spare).map_or(Instant::default(), |&at| at + RATE_WINDOW)
    }

    /// Records a request that is sent at `rate`, or without a limit.
    pub(super) fn on_send(&mut self, now: Instant, rate: Option<f64>) {
        match rate {
            Some(rate) => self.due = self.due(now) + interval(rate),
            None => {
                self.before.retain(|at| now.since(*at) < RATE_WINDOW);
                self.before.push_back(now);
            }
        }
    }
}

/// Returns the time from one request to the next at `rate`.
fn interval(rate: f64) -> Span {
    Span::from_millis_f64(1e3 / rate)
}
