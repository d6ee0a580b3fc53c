//! The least cold starts possible: one cache of all slots that knows every
//! later arrival (Belady). It loads on demand, at once, and never restarts.

use std::collections::{BTreeMap, BTreeSet};

use kingcupbay_core::id::VersionId;

use super::trace::Arrival;

/// Loads that the arrivals cause with `slots` slots.
pub(crate) fn least_loads(arrivals: &[Arrival], slots: usize) -> u64 {
    let mut loads = 0;
    // Resident versions by their next use; `NEVER` for those without one.
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

const NEVER: usize = usize::MAX;

fn next_uses(arrivals: &[Arrival]) -> Vec<usize> {
    let mut later = BTreeMap::new();
    let mut next = vec![NEVER; arrivals.len()];
    for (index, arrival) in arrivals.iter().enumerate().rev() {
        next[index] = later.insert(arrival.version, index).unwrap_or(NEVER);
    }
    next
}
