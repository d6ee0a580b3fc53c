//! Evacuated availability zones: upstreams there get no new requests.
//!
//! The operator evacuates a zone with a row in the store, and restores it by removing
//! the row. Daemons learn of either from the store, from a list of all rows, or from each
//! other, in any order. The state with the greatest version of the store is the newest,
//! so a stale read or a lagging peer changes nothing.

use std::collections::BTreeMap;

use crate::{
    time::Instant,
    wire::{
        evacuation::{EvacuationReport, ZoneState},
        rows::era,
    },
};

use super::waits::REWRITE_MAX;

/// Number of reports that name a changed zone. One or two of them may be lost.
const REPORTS_PER_CHANGE: u32 = 3;

/// State of one availability zone.
#[derive(Clone, Copy, Debug)]
struct Zone {
    state: ZoneState,
    /// Number of reports that still have to name it.
    pending: u32,
    /// Set if the store came back from an older copy that lacks the evacuation: since when,
    /// and the version of the list that shows it.
    lacking: Option<(Instant, u64)>,
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
        self.zones
            .insert(zone.to_owned(), Zone { state, pending: REPORTS_PER_CHANGE, lacking: None });
        true
    }

    /// Applies the complete list of evacuated zones as of `version`, each with the version
    /// of its row. Returns the zones whose state has changed.
    ///
    /// A zone that it lacks is restored, unless its evacuation is known from before the store
    /// came back from an older copy. Then it stays evacuated until [`Evacuations::on_tick`],
    /// as the operator writes it again.
    pub fn on_list(
        &mut self,
        now: Instant,
        version: u64,
        evacuated: &BTreeMap<String, u64>,
    ) -> Vec<String> {
        let mut states: Vec<(String, ZoneState)> = Vec::new();
        for (name, zone) in &mut self.zones {
            if !zone.state.evacuated || evacuated.contains_key(name) {
                continue;
            }
            match era(zone.state.version) < era(version) {
                true => zone.lacking.get_or_insert((now, version)).1 = version,
                false => states.push((name.clone(), ZoneState::restored(version))),
            }
        }
        let rows = evacuated.iter().map(|(zone, &row)| (zone.clone(), ZoneState::evacuated(row)));
        states.extend(rows);
        let changed = states.into_iter().filter(|(zone, state)| self.on_state(zone, *state));
        let changed = changed.map(|(zone, _)| zone).collect();
        self.complete = self.complete.max(version);
        changed
    }

    /// Restores the zones whose evacuation the operator has not written again, and returns
    /// them.
    pub fn on_tick(&mut self, now: Instant) -> Vec<String> {
        let mut restored = Vec::new();
        for (name, zone) in &mut self.zones {
            let Some((since, version)) = zone.lacking else { continue };
            if now.since(since) >= REWRITE_MAX {
                let state = ZoneState::restored(version);
                *zone = Zone { state, pending: REPORTS_PER_CHANGE, lacking: None };
                restored.push(name.clone());
            }
        }
        restored
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
