//! Points in time and spans, in microseconds of one host's monotonic clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on the local clock, which counts suspended time too.
///
/// Invariant: two values are compared only when the same host read them; no
/// message carries one, messages carry a [`Span`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant(u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(u64);

impl Instant {
    /// The point `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, zero when `earlier` lies ahead.
    pub const fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    /// A span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1_000)
    }

    /// A span of `millis` milliseconds and parts of one, at least none.
    pub fn from_millis_f64(millis: f64) -> Span {
        Span((millis * 1e3) as u64)
    }

    /// A span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs * 1_000_000)
    }

    /// The span in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in milliseconds and parts of one.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span in whole seconds, rounded up: the unit of `Retry-After`.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    /// How far this span and `other` are apart.
    pub const fn abs_diff(self, other: Span) -> Span {
        Span(self.0.abs_diff(other.0))
    }

    /// This span less `other`, zero when `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;

    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> std::time::Duration {
        std::time::Duration::from_micros(span.0)
    }
}
