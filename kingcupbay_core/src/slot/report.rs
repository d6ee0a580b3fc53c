//! What the engine says about itself: late, with gaps, or after a restart.

use super::{
    Action,
    pin::Residency,
    table::{Slots, State},
};
use crate::{id::VersionId, time::Instant};

/// An engine's report, its names resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// The latest point it can speak of: when it was asked for, less the lag.
    pub as_of: Instant,
    /// Loaded versions.
    pub loaded: Vec<VersionId>,
}

impl Slots {
    /// Takes a report. A slot with an order since [`EngineReport::as_of`]
    /// stays as the order made it.
    pub fn on_report(&mut self, now: Instant, report: &EngineReport) -> Vec<Action> {
        if report.as_of < self.reported {
            return Vec::new();
        }
        self.reported = report.as_of;
        let mut actions = self.on_incarnation(now, report.incarnation);
        self.gone.retain(|_, &mut at| at > report.as_of);
        for at in 0..self.slots.len() {
            if self.slots[at].changed <= report.as_of {
                self.settle(now, at, report, &mut actions);
            }
        }
        for &version in &report.loaded {
            if !self.places.contains_key(&version) && !self.gone.contains_key(&version) {
                self.adopt(now, version, &mut actions);
            }
        }
        actions
    }

    /// Takes a cache event. It may be late and others may be missing, so it
    /// changes nothing; one that does not fit what is known, or leaves a gap
    /// behind, makes the daemon ask for a report.
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
        if seq <= self.event {
            return None;
        }
        let gap = seq != self.event + 1;
        self.event = seq;
        let fits = self.places.contains_key(&version) == loaded;
        (gap || !fits).then_some(Action::RequestReport)
    }

    /// Takes the engine's incarnation from any answer of it. A new one means
    /// that it restarted empty: orders in flight are void and every request
    /// that ran on it is told, rather than left to wait for tokens.
    pub fn on_incarnation(&mut self, now: Instant, incarnation: u64) -> Vec<Action> {
        let before = self.incarnation.replace(incarnation);
        if before.is_none() || before == Some(incarnation) {
            return Vec::new();
        }
        self.event = 0;
        self.gone.clear();
        let mut actions = Vec::new();
        for at in 0..self.slots.len() {
            self.lose(now, at, &mut actions);
        }
        self.gone.clear();
        actions
    }

    fn settle(
        &mut self,
        now: Instant,
        at: usize,
        report: &EngineReport,
        actions: &mut Vec<Action>,
    ) {
        let slot = &self.slots[at];
        let Some(version) = slot.version() else { return };
        let there = report.loaded.contains(&version);
        match (&slot.state, slot.unsure, there) {
            (State::Loaded(_), _, false) => self.lose(now, at, actions),
            (State::Loading(_), true, true) => self.loaded(now, at, version),
            (State::Loading(_), true, false) => {
                actions.extend(self.load_failed(now, at, version));
            }
            (State::Unloading(_), true, true) => {
                self.slots[at].set(now, State::Loaded(Residency::new(version)));
            }
            (State::Unloading(_), true, false) => self.clear(now, at),
            _ => {}
        }
    }

    /// Empties a slot whose version the engine no longer has.
    fn lose(&mut self, now: Instant, at: usize, actions: &mut Vec<Action>) {
        if let State::Loaded(residency) = &self.slots[at].state {
            let lost = residency.requests().into_iter().map(|request| Action::Lost { request });
            actions.extend(lost);
        }
        self.clear(now, at);
    }

    /// Takes over a version that a predecessor loaded, or has it unloaded
    /// when there is no slot for it: it would take the place of a load.
    fn adopt(&mut self, now: Instant, version: VersionId, actions: &mut Vec<Action>) {
        if let Some(at) = self.empty_slot() {
            self.places.insert(version, at);
            self.loaded(now, at, version);
        } else {
            let order = self.next_order();
            actions.push(Action::Unload { version, order });
        }
    }
}
