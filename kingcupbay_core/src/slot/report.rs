//! Reports and cache events of the engine, which may be late, incomplete or
//! from before a restart.

use super::{
    Action,
    pin::Residency,
    table::{Slots, State},
};
use crate::{id::VersionId, time::Instant};

/// An engine's report with the adapter names resolved to versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Latest time whose state the report is certain to reflect: when it was
    /// requested, minus the allowed lag.
    pub as_of: Instant,
    /// Loaded versions.
    pub loaded: Vec<VersionId>,
}

impl Slots {
    /// Applies a report and returns the resulting actions. Slots with an order
    /// sent or answered after [`EngineReport::as_of`] are left unchanged unless
    /// the engine restarted. A report older than the previous one is ignored.
    pub fn on_report(&mut self, now: Instant, report: &EngineReport) -> Vec<Action> {
        if report.as_of < self.reported {
            return Vec::new();
        }
        self.reported = report.as_of;
        let mut actions = self.on_incarnation(now, report.incarnation);
        self.unloaded.retain(|_, &mut at| at > report.as_of);
        for at in 0..self.slots.len() {
            if self.slots[at].changed <= report.as_of {
                self.reconcile(now, at, report, &mut actions);
            }
        }
        for &version in &report.loaded {
            if !self.positions.contains_key(&version) && !self.unloaded.contains_key(&version) {
                self.adopt(now, version, &mut actions);
            }
        }
        actions
    }

    /// Compares a cache event with the known state. Events may arrive late or be
    /// missing, so they never change a slot; an event that contradicts the known
    /// state or skips a sequence number results in a report request.
    pub fn on_event(
        &mut self,
        incarnation: u64,
        seq: u64,
        version: VersionId,
        loaded: bool,
    ) -> Option<Action> {
        if self.incarnation != Some(incarnation) {
            return Some(Action::RequestReport);
        }
        if seq <= self.last_event {
            return None;
        }
        let gap = seq != self.last_event + 1;
        self.last_event = seq;
        let consistent = self.positions.contains_key(&version) == loaded;
        (gap || !consistent).then_some(Action::RequestReport)
    }

    /// Applies the engine's incarnation, which every answer of it carries. A new
    /// incarnation means that the engine restarted empty: orders in flight are
    /// void, and every request that ran on it is notified because it would
    /// otherwise wait for tokens that never come.
    pub fn on_incarnation(&mut self, now: Instant, incarnation: u64) -> Vec<Action> {
        let before = self.incarnation.replace(incarnation);
        if before.is_none() || before == Some(incarnation) {
            return Vec::new();
        }
        self.last_event = 0;
        self.unloaded.clear();
        let mut actions = Vec::new();
        for at in 0..self.slots.len() {
            self.clear_lost(now, at, &mut actions);
        }
        self.unloaded.clear();
        actions
    }

    /// Brings the slot in line with a report that is newer than its last order.
    fn reconcile(
        &mut self,
        now: Instant,
        at: usize,
        report: &EngineReport,
        actions: &mut Vec<Action>,
    ) {
        let slot = &self.slots[at];
        let Some(version) = slot.version() else { return };
        let is_loaded = report.loaded.contains(&version);
        match (&slot.state, slot.unconfirmed, is_loaded) {
            (State::Loaded(_), _, false) => self.clear_lost(now, at, actions),
            (State::Loading(_), true, true) => self.finish_load(now, at, version),
            (State::Loading(_), true, false) => {
                actions.extend(self.fail_load(now, at, version));
            }
            (State::Unloading(_), true, true) => {
                self.slots[at].set(now, State::Loaded(Residency::new(version)));
            }
            (State::Unloading(_), true, false) => self.clear_slot(now, at),
            _ => {}
        }
    }

    /// Empties a slot whose version the engine no longer holds, and notifies the
    /// requests that ran on it.
    fn clear_lost(&mut self, now: Instant, at: usize, actions: &mut Vec<Action>) {
        if let State::Loaded(residency) = &self.slots[at].state {
            let lost = residency.requests().into_iter().map(|request| Action::Lost { request });
            actions.extend(lost);
        }
        self.clear_slot(now, at);
    }

    /// Takes over a version that a previous daemon loaded. Without an empty slot
    /// the version is unloaded, as it would occupy the capacity of a later load.
    fn adopt(&mut self, now: Instant, version: VersionId, actions: &mut Vec<Action>) {
        if let Some(at) = self.find_empty_slot() {
            self.positions.insert(version, at);
            self.finish_load(now, at, version);
        } else {
            let order = self.next_order();
            actions.push(Action::Unload { version, order });
        }
    }
}
