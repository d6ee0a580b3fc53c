//! When a caller that was refused for lack of capacity may retry.
//!
//! Callers that are refused together retry together unless their times differ (load L of
//! docs/HARD-LOAD.md: twice the callers, one retry each). Where priorities differ, the more
//! urgent callers retry first.

use std::collections::BTreeSet;

use crate::time::Span;

/// Longest time over which retries are spread. Callers wait up to a third of the time that
/// they have left, so later ones would be lost.
const SPREAD_MAX: Span = Span::from_secs(2);

/// Returns the time after which a request of `priority` may retry, if capacity is expected
/// `after` now. Each of the `priorities` in use has its part of the spread, the most urgent
/// the first one. With a single priority the time is `after`. `draw` is a random number.
pub fn retry_after(after: Span, priority: u8, priorities: &BTreeSet<u8>, draw: u64) -> Span {
    let parts = priorities.len() as u64;
    if parts < 2 {
        return after;
    }
    let width = after.min(SPREAD_MAX).as_micros() / parts;
    let rank = priorities.range(..priority).count() as u64;
    after + Span::from_micros(width * rank + draw % width.max(1))
}
