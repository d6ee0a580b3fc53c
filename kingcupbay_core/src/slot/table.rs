//! The slot table: which versions are loaded, and the orders that change it.

use std::{collections::BTreeMap, rc::Rc};

use super::{
    Action, Order, Outcome,
    backoff::Backoff,
    decay::DecayingCounts,
    pin::{Pin, Residency},
};
use crate::{
    id::{OrganisationId, RequestId, VersionId},
    queue::Wait,
    time::{Instant, Span},
};

/// Half-life of the count of loads that an organisation caused.
const LOAD_COUNT_HALF_LIFE: Span = Span::from_secs(10);

/// Duration of a load at full speed. Added to each wait so that a version with
/// many new requests also gets priority over one with few older ones.
const LOAD_TIME: Span = Span::from_millis(250);

/// Parameters of [`Slots`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Half-life of the use counts by which the version to evict is chosen.
    pub half_life: Span,
    /// Maximum wait for a load while no slot can be evicted. After that one slot
    /// accepts no new requests, so that it becomes unpinned.
    pub max_wait: Span,
    /// Number of loads in the budget that prefetching leaves unused, because
    /// each load slows down the weight store for loads that requests wait for.
    pub prefetch_reserve: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            half_life: Span::from_secs(60),
            max_wait: Span::from_millis(1_000),
            prefetch_reserve: 6,
        }
    }
}

/// The content of a slot.
#[derive(Debug)]
pub(super) enum State {
    Empty,
    Loading(VersionId),
    Loaded(Rc<Residency>),
    Unloading(VersionId),
}

/// One adapter slot.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) state: State,
    /// Sequence number of the order in flight, or of the last one.
    pub(super) order: u64,
    /// When the slot last changed, by an order, its answer or a report; older
    /// reports are ignored.
    pub(super) changed: Instant,
    /// The outcome of the order is unknown; the next report decides it.
    pub(super) unconfirmed: bool,
    /// Accepts no new requests, so that the slot can be emptied.
    pub(super) draining: bool,
}

impl Slot {
    fn empty() -> Slot {
        Slot {
            state: State::Empty,
            order: 0,
            changed: Instant::default(),
            unconfirmed: false,
            draining: false,
        }
    }

    /// Sets the state and clears the flags.
    pub(super) fn set(&mut self, now: Instant, state: State) {
        self.state = state;
        self.changed = now;
        self.unconfirmed = false;
        self.draining = false;
    }

    pub(super) fn version(&self) -> Option<VersionId> {
        match &self.state {
            State::Empty => None,
            State::Loading(version) | State::Unloading(version) => Some(*version),
            State::Loaded(residency) => Some(residency.version()),
        }
    }

    fn is_unpinned(&self) -> bool {
        matches!(&self.state, State::Loaded(residency) if Rc::strong_count(residency) == 1)
    }
}

/// The state of a slot, for dumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// No version.
    Empty,
    /// A load has been ordered.
    Loading,
    /// The version is loaded and requests may run on it.
    Loaded,
    /// An unload has been ordered.
    Unloading,
}

/// A snapshot of a slot, for dumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView {
    /// State of the slot.
    pub state: SlotState,
    /// The version loaded, loading or unloading.
    pub version: Option<VersionId>,
    /// Number of requests that run on it.
    pub pins: u32,
}

/// The adapter slots of one engine.
#[derive(Debug)]
pub struct Slots {
    pub(super) limits: Limits,
    /// Fencing number that this daemon sends with its orders.
    fencing: u64,
    /// Number of orders sent so far.
    seq: u64,
    pub(super) slots: Vec<Slot>,
    /// Slot position by version. Invariant: lists exactly the slots that are not
    /// empty.
    pub(super) positions: BTreeMap<VersionId, usize>,
    /// Versions removed from a slot and when, until a newer report arrives.
    pub(super) unloaded: BTreeMap<VersionId, Instant>,
    use_counts: DecayingCounts<VersionId>,
    /// Recent loads caused by each organisation's requests.
    load_counts: DecayingCounts<OrganisationId>,
    backoff: Backoff,
    /// The engine's incarnation, once known.
    pub(super) incarnation: Option<u64>,
    /// [`EngineReport::as_of`](super::EngineReport::as_of) of the last report applied.
    pub(super) reported: Instant,
    /// Sequence number of the last cache event.
    pub(super) last_event: u64,
    /// Another daemon owns the engine; [`Slots::plan`] returns no more orders.
    fenced: bool,
}

impl Slots {
    /// Creates `count` empty slots of an engine; `fencing` is the fencing number
    /// of the orders.
    pub fn new(limits: Limits, count: u32, fencing: u64) -> Slots {
        Slots {
            limits,
            fencing,
            seq: 0,
            slots: (0..count).map(|_| Slot::empty()).collect(),
            positions: BTreeMap::new(),
            unloaded: BTreeMap::new(),
            use_counts: DecayingCounts::new(limits.half_life),
            load_counts: DecayingCounts::new(LOAD_COUNT_HALF_LIFE),
            backoff: Backoff::default(),
            incarnation: None,
            reported: Instant::default(),
            last_event: 0,
            fenced: false,
        }
    }

    /// Records that a request uses `version`.
    pub fn touch(&mut self, now: Instant, version: VersionId) {
        self.use_counts.add(now, version);
    }

    /// Keeps `version` loaded for `request`. Returns `None` if the version is not
    /// loaded or `request` already holds a pin on it.
    pub fn pin(&mut self, version: VersionId, request: RequestId) -> Option<Pin> {
        let &at = self.positions.get(&version)?;
        match &self.slots[at].state {
            State::Loaded(residency) => Pin::new(residency, request),
            _ => None,
        }
    }

    /// Orders the loads and unloads that the waiting requests need, the most
    /// urgent first. At most `budget` loads are started or have a slot freed for
    /// them. `waits` must be sorted by version.
    pub fn plan(&mut self, now: Instant, waits: &[Wait], budget: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.fenced {
            return actions;
        }
        self.unload_drained(now, &mut actions);
        let mut freeing = self.count_slots(|state| matches!(state, State::Unloading(_)));
        let mut left = budget;
        for wait in self.load_candidates(now, waits) {
            if left == 0 {
                break;
            }
            left -= 1;
            if let Some(at) = self.find_empty_slot() {
                self.load_counts.add(now, wait.organisation);
                actions.push(self.order_load(now, at, wait.version));
            } else if freeing > 0 {
                freeing -= 1;
            } else if let Some(action) = self.evict(now, waits) {
                actions.push(action);
            } else if now.since(wait.oldest) > self.limits.max_wait {
                self.drain_least_used(now);
            }
        }
        self.prefetch(now, left, &mut actions);
        actions
    }

    /// Applies the answer to a load order. An answer that is no longer expected,
    /// because the engine restarted or a report decided the outcome, is ignored.
    pub fn on_load(&mut self, now: Instant, order: Order, outcome: Outcome) -> Vec<Action> {
        let Some((at, version)) = self.pending_order(order) else { return Vec::new() };
        if !matches!(self.slots[at].state, State::Loading(_)) {
            return Vec::new();
        }
        match outcome {
            Outcome::Done => self.finish_load(now, at, version),
            Outcome::Failed => return self.fail_load(now, at, version),
            Outcome::Unknown => return self.mark_unconfirmed(now, at),
            Outcome::Fenced => {
                self.fenced = true;
                return self.fail_load(now, at, version);
            }
        }
        Vec::new()
    }

    /// Applies the answer to an unload order.
    pub fn on_unload(&mut self, now: Instant, order: Order, outcome: Outcome) -> Vec<Action> {
        let Some((at, version)) = self.pending_order(order) else { return Vec::new() };
        if !matches!(self.slots[at].state, State::Unloading(_)) {
            return Vec::new();
        }
        match outcome {
            Outcome::Done => self.clear_slot(now, at),
            // A new order sent immediately would be refused again.
            Outcome::Failed | Outcome::Unknown => return self.mark_unconfirmed(now, at),
            Outcome::Fenced => {
                self.fenced = true;
                self.slots[at].set(now, State::Loaded(Residency::new(version)));
            }
        }
        Vec::new()
    }

    /// Drains the slot of a version that was removed from the configuration; the
    /// slot is emptied as soon as its last request ends.
    pub fn retire(&mut self, version: VersionId) {
        self.use_counts.remove(version);
        if let Some(&at) = self.positions.get(&version) {
            self.slots[at].draining = true;
        }
    }

    /// Returns whether a request for `version` may start now.
    pub fn is_ready(&self, version: VersionId) -> bool {
        self.positions.get(&version).is_some_and(|&at| {
            let slot = &self.slots[at];
            matches!(slot.state, State::Loaded(_)) && !slot.draining
        })
    }

    /// Returns the time until `version`, whose load failed, may be loaded again,
    /// or `None` if it may be now.
    pub fn backoff(&self, now: Instant, version: VersionId) -> Option<Span> {
        self.backoff.remaining(now, version)
    }

    /// Returns the number of loads in flight, which count against the budget.
    pub fn loading(&self) -> u32 {
        self.count_slots(|state| matches!(state, State::Loading(_))) as u32
    }

    /// Returns the fencing number that this daemon sends with its orders.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Returns whether another daemon owns the engine.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the versions that are ready, in the order of their keys, as sent in
    /// reports.
    pub fn loaded_versions(&self) -> Vec<VersionId> {
        self.positions.keys().copied().filter(|&version| self.is_ready(version)).collect()
    }

    /// Returns a snapshot of every slot, for dumps.
    pub fn view(&self) -> Vec<SlotView> {
        let view = |slot: &Slot| {
            let (state, pins) = match &slot.state {
                State::Empty => (SlotState::Empty, 0),
                State::Loading(_) => (SlotState::Loading, 0),
                State::Loaded(residency) => {
                    (SlotState::Loaded, Rc::strong_count(residency) as u32 - 1)
                }
                State::Unloading(_) => (SlotState::Unloading, 0),
            };
            SlotView { state, version: slot.version(), pins }
        };
        self.slots.iter().map(view).collect()
    }

    /// Returns the versions to load, in order. The organisation with the fewest
    /// recent loads goes first, as otherwise one that sends far more requests
    /// than the others would use up the budget; then the version with the
    /// longest total wait.
    fn load_candidates(&self, now: Instant, waits: &[Wait]) -> Vec<Wait> {
        let absent = |wait: &&Wait| {
            !self.positions.contains_key(&wait.version)
                && self.backoff.remaining(now, wait.version).is_none()
        };
        let mut candidates: Vec<(f64, u64, Wait)> = waits
            .iter()
            .filter(absent)
            .map(|wait| {
                let age = now.since(wait.oldest) + LOAD_TIME;
                let total = age.as_micros() * u64::from(wait.count);
                (self.load_counts.value(now, wait.organisation), total, *wait)
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        candidates.into_iter().map(|(_, _, wait)| wait).collect()
    }

    fn order_load(&mut self, now: Instant, at: usize, version: VersionId) -> Action {
        let order = self.next_order();
        let slot = &mut self.slots[at];
        slot.set(now, State::Loading(version));
        slot.order = order.seq;
        self.positions.insert(version, at);
        self.unloaded.remove(&version);
        Action::Load { version, order }
    }

    /// Orders the unload of the least used version that no request uses or waits
    /// for.
    fn evict(&mut self, now: Instant, waits: &[Wait]) -> Option<Action> {
        let awaited =
            |version| waits.binary_search_by_key(&version, |wait: &Wait| wait.version).is_ok();
        let candidates = self.slots.iter().enumerate().filter_map(|(at, slot)| {
            let version = slot.version()?;
            let uses = self.use_counts.value(now, version);
            (slot.is_unpinned() && !awaited(version)).then_some((uses, at))
        });
        let (_, at) = candidates.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.order_unload(now, at)
    }

    /// Orders the unload of the version in slot `at`, unless a request runs on
    /// it and therefore shares its residency.
    fn order_unload(&mut self, now: Instant, at: usize) -> Option<Action> {
        let slot = &mut self.slots[at];
        let State::Loaded(shared) = std::mem::replace(&mut slot.state, State::Empty) else {
            unreachable!("only loaded slots are unloaded");
        };
        match Rc::try_unwrap(shared) {
            Ok(residency) => Some(self.order_residency_unload(now, at, residency)),
            Err(shared) => {
                slot.state = State::Loaded(shared);
                None
            }
        }
    }

    fn order_residency_unload(&mut self, now: Instant, at: usize, residency: Residency) -> Action {
        let version = residency.version();
        let order = self.next_order();
        let slot = &mut self.slots[at];
        slot.set(now, State::Unloading(version));
        slot.order = order.seq;
        Action::Unload { version, order }
    }

    /// Orders the unload of every draining slot that is no longer pinned.
    fn unload_drained(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for at in 0..self.slots.len() {
            if self.slots[at].draining && self.slots[at].is_unpinned() {
                actions.extend(self.order_unload(now, at));
            }
        }
    }

    /// Starts draining the slot with the least used version, one slot at a time.
    /// Without this, adapters in constant use occupy every slot and a request
    /// for another adapter waits until its deadline. A draining slot accepts no
    /// new requests and is emptied when its last request ends.
    fn drain_least_used(&mut self, now: Instant) {
        if self.slots.iter().any(|slot| slot.draining) {
            return;
        }
        let loaded = self.slots.iter().enumerate().filter_map(|(at, slot)| match &slot.state {
            State::Loaded(residency) => Some((self.use_counts.value(now, residency.version()), at)),
            _ => None,
        });
        if let Some((_, at)) = loaded.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.slots[at].draining = true;
        }
    }

    /// Loads the most used versions into empty slots, for example after a
    /// restart of the engine.
    fn prefetch(&mut self, now: Instant, left: u32, actions: &mut Vec<Action>) {
        let spare = left.saturating_sub(self.limits.prefetch_reserve);
        for _ in 0..spare {
            let Some(at) = self.find_empty_slot() else { return };
            let absent = |&(version, _): &(VersionId, f64)| {
                !self.positions.contains_key(&version)
                    && self.backoff.remaining(now, version).is_none()
            };
            let most_used =
                self.use_counts.iter(now).filter(absent).max_by(|a, b| a.1.total_cmp(&b.1));
            let Some((version, _)) = most_used else { return };
            actions.push(self.order_load(now, at, version));
        }
    }

    pub(super) fn finish_load(&mut self, now: Instant, at: usize, version: VersionId) {
        self.backoff.reset(version);
        let slot = &mut self.slots[at];
        let draining = slot.draining;
        slot.set(now, State::Loaded(Residency::new(version)));
        // A version retired during its load must still be unloaded.
        slot.draining = draining;
    }

    pub(super) fn fail_load(&mut self, now: Instant, at: usize, version: VersionId) -> Vec<Action> {
        self.clear_slot(now, at);
        let retry_after = self.backoff.record_failure(now, version);
        vec![Action::Failed { version, retry_after }]
    }

    /// Empties a slot and records when its version was removed.
    pub(super) fn clear_slot(&mut self, now: Instant, at: usize) {
        if let Some(version) = self.slots[at].version() {
            self.positions.remove(&version);
            self.unloaded.insert(version, now);
        }
        self.slots[at].set(now, State::Empty);
    }

    /// Marks the order's outcome as unknown and requests a report.
    fn mark_unconfirmed(&mut self, now: Instant, at: usize) -> Vec<Action> {
        self.slots[at].unconfirmed = true;
        self.slots[at].changed = now;
        vec![Action::RequestReport]
    }

    pub(super) fn next_order(&mut self) -> Order {
        self.seq += 1;
        Order { fencing: self.fencing, seq: self.seq }
    }

    /// Returns the slot and version of `order` if its answer is still expected.
    fn pending_order(&self, order: Order) -> Option<(usize, VersionId)> {
        let at = self.slots.iter().position(|slot| slot.order == order.seq)?;
        let pending = order.fencing == self.fencing && !self.slots[at].unconfirmed;
        pending.then_some((at, self.slots[at].version()?))
    }

    pub(super) fn find_empty_slot(&self) -> Option<usize> {
        self.slots.iter().position(|slot| matches!(slot.state, State::Empty))
    }

    fn count_slots(&self, test: impl Fn(&State) -> bool) -> usize {
        self.slots.iter().filter(|slot| test(&slot.state)).count()
    }
}
