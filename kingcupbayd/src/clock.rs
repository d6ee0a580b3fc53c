//! The local clock, which counts suspended time too.

use kingcupbay_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock.
///
/// A process that was suspended must see at its next look that its standing
/// has lapsed; the ordinary monotonic clock would stand still meanwhile.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    Instant::from_micros(micros)
}
