//! The local monotonic clock, which includes suspended time.

use kingcupbay_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock.
///
/// A process that was suspended must notice at its next check that its standing
/// has lapsed. The ordinary monotonic clock stops during a suspension.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    Instant::from_micros(micros)
}
