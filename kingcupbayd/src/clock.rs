//! The local monotonic clock, which includes suspended time.

use std::pin::pin;

use kingcupbay_core::time::{Instant, Span};
use rustix::time::{ClockId, clock_gettime};

/// Lateness of a timer from which this process counts as having been paused.
const LATE_MIN: Span = Span::from_millis(50);

/// Time to read what arrived while this process was paused, and what follows at once.
const CATCH_UP_TIME: Span = Span::from_millis(100);

/// The same if the timer is hardly late: it may have passed just before the process went on.
const LAST_READ_TIME: Span = Span::from_millis(1);

/// Reads the clock.
///
/// A process that was suspended must notice at its next check that its standing
/// has lapsed. The ordinary monotonic clock stops during a suspension.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    Instant::from_micros(micros)
}

/// Returns the Unix time in milliseconds, which may be set back or forward.
pub(crate) fn unix_millis() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Runs `future` for `time`. Returns `None` if it does not complete.
///
/// After a pause of this process its timers fire before it has read what arrived meanwhile, and
/// every other side would seem to be silent. That is therefore read first.
pub(crate) async fn timeout<T>(time: Span, future: impl Future<Output = T>) -> Option<T> {
    let due = now() + time;
    let mut future = pin!(future);
    if let Ok(output) = tokio::time::timeout(time.into(), &mut future).await {
        return Some(output);
    }
    let late = now().since(due) >= LATE_MIN;
    let rest = if late { CATCH_UP_TIME } else { LAST_READ_TIME };
    tokio::time::timeout(rest.into(), future).await.ok()
}
