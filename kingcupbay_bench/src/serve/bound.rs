//! Lower bound of the cold starts: one cache of all slots that knows every later
//! arrival (Belady's algorithm). It loads on demand, in no time, and never restarts.

use std::collections::{BTreeMap, BTreeSet};

use kingcupbay_core::id::VersionId;

use super::trace::Arrival;

/// Returns the least number of loads that the arrivals need with `slots` slots.
pub(crate) fn min_loads(arrivals: &[Arrival], slots: usize) -> u64 {
    let mut loads = 0;
    // Resident versions by the index of their next use, `NEVER_USED` without one.
    let mut residents: BTreeSet<(usize, VersionId)> = BTreeSet::new();
    let next = next_uses(arrivals);
    for (index, arrival) in arrivals.iter().enumerate() {
        if !residents.remove(&(index, arrival.version)) {
            loads += 1;
            if residents.len() == slots {
                residents.pop_last();
            }
        }
        residents.insert((next[index], arrival.version));
    }
    loads
}

/// Index of the next use of a version that is not used again.
const NEVER_USED: usize = usize::MAX;

/// Returns for each arrival the index of the next one of the same version.
fn next_uses(arrivals: &[Arrival]) -> Vec<usize> {
    let mut later = BTreeMap::new();
    let mut next = vec![NEVER_USED; arrivals.len()];
    for (index, arrival) in arrivals.iter().enumerate().rev() {
        next[index] = later.insert(arrival.version, index).unwrap_or(NEVER_USED);
    }
    next
}
