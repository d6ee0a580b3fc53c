//! The weight store: a rate of loads, each slower when many are in flight.

use kingcupbay_core::time::{Instant, Span};

/// Loads in flight over the fleet at which each still takes its least time.
pub(crate) const FULL_SPEED: u32 = 8;

/// Least time of a load.
const LOAD: Span = Span::from_millis(250);

/// The store as all runners share it.
#[derive(Debug)]
pub(crate) struct Store {
    /// Time between two starts at its rate.
    gap: Span,
    /// When the next load could start if the burst were used up.
    next: Instant,
    pub(crate) in_flight: u32,
}

impl Store {
    pub(crate) fn new(loads: f64) -> Store {
        let gap = Span::from_micros((1e6 / loads) as u64);
        Store { gap, next: Instant::default(), in_flight: 0 }
    }

    /// Takes a load order and tells when the load ends. As many loads as run
    /// at full speed may start at once, the others wait for the rate.
    pub(crate) fn start(&mut self, now: Instant) -> Instant {
        self.in_flight += 1;
        let burst = Span::from_micros(self.gap.as_micros() * u64::from(FULL_SPEED));
        self.next = self.next.max(now - burst) + self.gap;
        let slowness = self.in_flight.max(FULL_SPEED);
        let took = LOAD.as_micros() * u64::from(slowness) / u64::from(FULL_SPEED);
        self.next.max(now) + Span::from_micros(took)
    }

    pub(crate) fn end(&mut self) {
        self.in_flight -= 1;
    }
}
