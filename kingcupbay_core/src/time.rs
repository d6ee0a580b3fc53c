//! Points in time and time spans, in microseconds of a host's monotonic clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time on the local monotonic clock, which includes time in
/// suspend.
///
/// Invariant: only values read on the same host are compared. Messages never
/// contain an instant; they contain a [`Span`].
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
    /// Creates an instant `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of length zero.
    pub const ZERO: Span = Span(0);

    /// Creates a span of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    /// Creates a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1_000)
    }

    /// Creates a span of `millis` milliseconds, rounded down to microseconds.
    /// A negative value gives zero.
    pub fn from_millis_f64(millis: f64) -> Span {
        Span((millis * 1e3) as u64)
    }

    /// Creates a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs * 1_000_000)
    }

    /// Returns the span in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in milliseconds with fractions.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Returns the span in seconds with fractions.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span in whole seconds, rounded up, as used in `Retry-After`.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    /// Returns the absolute difference between this span and `other`.
    pub const fn abs_diff(self, other: Span) -> Span {
        Span(self.0.abs_diff(other.0))
    }

    /// Returns the span multiplied by `factor`, rounded down to microseconds.
    pub fn scaled(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
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
