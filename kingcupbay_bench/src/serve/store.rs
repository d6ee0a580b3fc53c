//! Model of the weight store: it limits the rate of loads, and each load is slower
//! when many are in flight.

use kingcupbay_core::time::{Instant, Span};

/// Most loads in flight in the fleet at which each still takes [`MIN_LOAD_TIME`].
pub(crate) const FULL_SPEED_LOADS: u32 = 8;

/// Shortest time of a load.
const MIN_LOAD_TIME: Span = Span::from_millis(250);

/// The weight store, shared by all runners.
#[derive(Debug)]
pub(crate) struct Store {
    /// Interval between two starts at the rate of the store.
    interval: Span,
    /// When the next load can start once the burst is used up.
    next: Instant,
    pub(crate) in_flight: u32,
}

impl Store {
    pub(crate) fn new(load_rate: f64) -> Store {
        let interval = Span::from_micros((1e6 / load_rate) as u64);
        Store { interval, next: Instant::default(), in_flight: 0 }
    }

    /// Starts a load and returns when it ends. [`FULL_SPEED_LOADS`] may start at
    /// once, further ones wait for the rate.
    pub(crate) fn start(&mut self, now: Instant) -> Instant {
        self.in_flight += 1;
        let burst = Span::from_micros(self.interval.as_micros() * u64::from(FULL_SPEED_LOADS));
        self.next = self.next.max(now - burst) + self.interval;
        let concurrent = self.in_flight.max(FULL_SPEED_LOADS);
        let duration =
            MIN_LOAD_TIME.as_micros() * u64::from(concurrent) / u64::from(FULL_SPEED_LOADS);
        self.next.max(now) + Span::from_micros(duration)
    }

    pub(crate) fn end(&mut self) {
        self.in_flight -= 1;
    }
}
