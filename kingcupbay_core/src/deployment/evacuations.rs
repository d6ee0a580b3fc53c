//! Evacuated availability zones: upstreams there get no new requests.
//!
//! The operator evacuates a zone with a row in the store, and restores it by removing
//! the row. Daemons learn of either from the store, from a list of all rows, or from each
//! other, in any order. The state with the greatest version of the store is the newest,
//! so a stale read or a lagging peer changes nothing.

use std::collections::BTreeMap;

use crate::wire::evacuation::{EvacuationReport, ZoneState};

/// Number of reports that name a changed zone. One or two of them may be lost.
const REPORTS_PER_CHANGE: u32 = 3;

/// State of one availability zone.
#[derive(Clone, Copy, Debug)]
struct Zone {
    state: ZoneState,
    /// Number of reports that still have to name it.
    pending: u32,
}

/// Availability zones that are or were evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Newest known state of each zone. Restored zones are kept, or a stale read would
    /// evacuate them again.
    zones: BTreeMap<String, Zone>,
    /// Invariant: all states up to this version are in `zones` or were replaced by those. A
    /// zone that a list did not name is not kept, and a lagging peer may still name it.
    complete: u64,
}

impl Evacuations {
    /// Returns whether `zone` is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.state.evacuated)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().filter(|(_, zone)| zone.state.evacuated).map(|(name, _)| &**name)
    }

    /// Applies the state of `zone`, and returns whether it is newer than the known one.
    pub fn on_state(&mut self, zone: &str, state: ZoneState) -> bool {
        let known = self.state(zone).map_or(0, |known| known.version);
        if state.version <= known.max(self.complete) {
            return false;
        }
        self.zones.insert(zone.to_owned(), Zone { state, pending: REPORTS_PER_CHANGE });
        true
    }

    /// Applies the complete list of evacuated zones as of `version`, each with the version
    /// of its row. Returns the zones whose state has changed.
    pub fn on_list(&mut self, version: u64, evacuated: &BTreeMap<String, u64>) -> Vec<String> {
        let restored = self.evacuated().filter(|zone| !evacuated.contains_key(*zone));
        let restored: Vec<String> = restored.map(str::to_owned).collect();
        let rows = evacuated.iter().map(|(zone, &row)| (zone, ZoneState::evacuated(row)));
        let gone = restored.iter().map(|zone| (zone, ZoneState::restored(version)));
        let states: Vec<_> = rows.chain(gone).map(|(zone, state)| (zone.clone(), state)).collect();
        let changed = states.into_iter().filter(|(zone, state)| self.on_state(zone, *state));
        let changed = changed.map(|(zone, _)| zone).collect();
        self.complete = self.complete.max(version);
        changed
    }

    /// Returns the newest known state of `zone`.
    pub fn state(&self, zone: &str) -> Option<ZoneState> {
        self.zones.get(zone).map(|zone| zone.state)
    }

    /// Returns the zones to name in the next report: those that have changed, or all if
    /// it is `whole`.
    pub fn report(&mut self, whole: bool) -> EvacuationReport {
        let due = |zone: &&mut Zone| whole || zone.pending > 0;
        let named = self.zones.iter_mut().filter(|(_, zone)| due(zone));
        let zones = named.map(|(name, zone)| {
            zone.pending = zone.pending.saturating_sub(1);
            (name.clone(), zone.state)
        });
        EvacuationReport { zones: zones.collect() }
    }
}
