//! The slots themselves: what is loaded, and the orders that change it.

use std::{collections::BTreeMap, rc::Rc};

use super::{
    Action, Order, Outcome,
    backoff::Backoff,
    heat::Heats,
    pin::{Pin, Residency},
};
use crate::{
    id::{OrganisationId, RequestId, VersionId},
    queue::Wait,
    time::{Instant, Span},
};

/// Time in which a load counts half against the organisation that caused it.
const LOADERS_HALF_LIFE: Span = Span::from_secs(10);

/// Time of a load at full speed. It is added to each wait, so that many new
/// requests count as well as few old ones.
const LOAD: Span = Span::from_millis(250);

/// Parameters of [`Slots`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time in which a use counts half for the choice of a victim.
    pub half_life: Span,
    /// Longest wait for a load while every slot is pinned. After it one slot
    /// takes no new requests, so that its pins run out.
    pub max_wait: Span,
    /// Loads of the budget that are left alone by loads nobody waits for; they
    /// make the weight store slower for those somebody waits for.
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

/// What a slot holds.
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
    /// The order in flight, or the last one.
    pub(super) order: u64,
    /// When an order was last given or answered; older reports are ignored.
    pub(super) changed: Instant,
    /// The order's answer was lost: the next report decides.
    pub(super) unsure: bool,
    /// Takes no new requests, so that it can be emptied.
    pub(super) draining: bool,
}

impl Slot {
    fn empty() -> Slot {
        Slot {
            state: State::Empty,
            order: 0,
            changed: Instant::default(),
            unsure: false,
            draining: false,
        }
    }

    pub(super) fn set(&mut self, now: Instant, state: State) {
        self.state = state;
        self.changed = now;
        self.unsure = false;
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

/// State of a slot, for dumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Nothing in it.
    Empty,
    /// A load is ordered.
    Loading,
    /// Requests may run.
    Loaded,
    /// An unload is ordered.
    Unloading,
}

/// A slot as dumps show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView {
    /// Its state.
    pub state: SlotState,
    /// The version in it.
    pub version: Option<VersionId>,
    /// Requests that run on it.
    pub pins: u32,
}

/// The adapter slots of one engine.
#[derive(Debug)]
pub struct Slots {
    pub(super) limits: Limits,
    /// Number under which this daemon orders.
    fencing: u64,
    /// Orders given so far.
    seq: u64,
    pub(super) slots: Vec<Slot>,
    /// Invariant: names exactly the slots that are not empty.
    pub(super) places: BTreeMap<VersionId, usize>,
    /// Versions unloaded and when, until a report is younger.
    pub(super) gone: BTreeMap<VersionId, Instant>,
    heats: Heats<VersionId>,
    /// Loads that each organisation's requests caused lately.
    loaders: Heats<OrganisationId>,
    backoff: Backoff,
    /// The engine's incarnation, once a report has told it.
    pub(super) incarnation: Option<u64>,
    /// The youngest report taken.
    pub(super) reported: Instant,
    /// The last cache event taken.
    pub(super) event: u64,
    /// Another daemon owns the engine: no order is given any more.
    fenced: bool,
}

impl Slots {
    /// `count` empty slots of an engine, ordered about under `fencing`.
    pub fn new(limits: Limits, count: u32, fencing: u64) -> Slots {
        Slots {
            limits,
            fencing,
            seq: 0,
            slots: (0..count).map(|_| Slot::empty()).collect(),
            places: BTreeMap::new(),
            gone: BTreeMap::new(),
            heats: Heats::new(limits.half_life),
            loaders: Heats::new(LOADERS_HALF_LIFE),
            backoff: Backoff::default(),
            incarnation: None,
            reported: Instant::default(),
            event: 0,
            fenced: false,
        }
    }

    /// Notes that a request asks for `version`.
    pub fn touch(&mut self, now: Instant, version: VersionId) {
        self.heats.touch(now, version);
    }

    /// Keeps `version` loaded for `request`; `None` unless it is loaded.
    pub fn pin(&mut self, version: VersionId, request: RequestId) -> Option<Pin> {
        let &at = self.places.get(&version)?;
        match &self.slots[at].state {
            State::Loaded(residency) => Pin::new(residency, request),
            _ => None,
        }
    }

    /// Orders what the waiting requests need, the most urgent first. At most
    /// `budget` loads are started or made room for.
    pub fn plan(&mut self, now: Instant, waits: &[Wait], budget: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.fenced {
            return actions;
        }
        self.empty_drained(now, &mut actions);
        let mut freeing = self.count(|state| matches!(state, State::Unloading(_)));
        let mut left = budget;
        for want in self.wants(now, waits) {
            if left == 0 {
                break;
            }
            left -= 1;
            if let Some(at) = self.empty_slot() {
                self.loaders.touch(now, want.organisation);
                actions.push(self.load(now, at, want.version));
            } else if freeing > 0 {
                freeing -= 1;
            } else if let Some(action) = self.evict(now, waits) {
                actions.push(action);
            } else if now.since(want.oldest) > self.limits.max_wait {
                self.drain_one(now);
            }
        }
        self.prefetch(now, left, &mut actions);
        actions
    }

    /// Takes the answer to a load order. One that is not awaited any more,
    /// because the engine restarted or a report decided, changes nothing.
    pub fn on_load(&mut self, now: Instant, order: Order, outcome: Outcome) -> Vec<Action> {
        let Some((at, version)) = self.awaited(order) else { return Vec::new() };
        if !matches!(self.slots[at].state, State::Loading(_)) {
            return Vec::new();
        }
        match outcome {
            Outcome::Done => self.loaded(now, at, version),
            Outcome::Failed => return self.load_failed(now, at, version),
            Outcome::Unknown => return self.unknown(now, at),
            Outcome::Fenced => {
                self.fenced = true;
                return self.load_failed(now, at, version);
            }
        }
        Vec::new()
    }

    /// Takes the answer to an unload order.
    pub fn on_unload(&mut self, now: Instant, order: Order, outcome: Outcome) -> Vec<Action> {
        let Some((at, version)) = self.awaited(order) else { return Vec::new() };
        if !matches!(self.slots[at].state, State::Unloading(_)) {
            return Vec::new();
        }
        match outcome {
            Outcome::Done => self.clear(now, at),
            // Ordering again at once would only be refused again.
            Outcome::Failed | Outcome::Unknown => return self.unknown(now, at),
            Outcome::Fenced => {
                self.fenced = true;
                self.slots[at].set(now, State::Loaded(Residency::new(version)));
            }
        }
        Vec::new()
    }

    /// Empties the slot of a version that the configuration dropped, as soon
    /// as its last request ends.
    pub fn retire(&mut self, version: VersionId) {
        self.heats.remove(version);
        if let Some(&at) = self.places.get(&version) {
            self.slots[at].draining = true;
        }
    }

    /// Whether a request for `version` may start now.
    pub fn is_ready(&self, version: VersionId) -> bool {
        self.places.get(&version).is_some_and(|&at| {
            let slot = &self.slots[at];
            matches!(slot.state, State::Loaded(_)) && !slot.draining
        })
    }

    /// Time until `version`, whose load failed, may be tried again.
    pub fn backoff(&self, now: Instant, version: VersionId) -> Option<Span> {
        self.backoff.left(now, version)
    }

    /// Loads in flight, which the budget counts.
    pub fn loading(&self) -> u32 {
        self.count(|state| matches!(state, State::Loading(_))) as u32
    }

    /// The number under which this daemon orders.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Whether another daemon owns the engine.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Loaded versions in the order of their keys: the content of a report.
    pub fn loaded_versions(&self) -> Vec<VersionId> {
        self.places.keys().copied().filter(|&version| self.is_ready(version)).collect()
    }

    /// Every slot, for dumps.
    pub fn view(&self) -> Vec<SlotView> {
        let view = |slot: &Slot| {
            let (state, pins) = match &slot.state {
                State::Empty => (SlotState::Empty, 0),
                State::Loading(_) => (SlotState::Loading, 0),
                State::Loaded(kept) => (SlotState::Loaded, Rc::strong_count(kept) as u32 - 1),
                State::Unloading(_) => (SlotState::Unloading, 0),
            };
            SlotView { state, version: slot.version(), pins }
        };
        self.slots.iter().map(view).collect()
    }

    /// Versions to load. The organisation that has caused the fewest loads
    /// lately goes first, or one that sends far more than others would fill
    /// the budget; then the version with the longest total wait.
    fn wants(&self, now: Instant, waits: &[Wait]) -> Vec<Wait> {
        let absent = |wait: &&Wait| {
            !self.places.contains_key(&wait.version)
                && self.backoff.left(now, wait.version).is_none()
        };
        let mut wants: Vec<(f64, u64, Wait)> = waits
            .iter()
            .filter(absent)
            .map(|wait| {
                let age = now.since(wait.oldest) + LOAD;
                let total = age.as_micros() * u64::from(wait.count);
                (self.loaders.value(now, wait.organisation), total, *wait)
            })
            .collect();
        wants.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        wants.into_iter().map(|(_, _, wait)| wait).collect()
    }

    fn load(&mut self, now: Instant, at: usize, version: VersionId) -> Action {
        let order = self.next_order();
        let slot = &mut self.slots[at];
        slot.set(now, State::Loading(version));
        slot.order = order.seq;
        self.places.insert(version, at);
        self.gone.remove(&version);
        Action::Load { version, order }
    }

    /// Orders out the coldest version that nobody uses or waits for.
    fn evict(&mut self, now: Instant, waits: &[Wait]) -> Option<Action> {
        let awaited =
            |version| waits.binary_search_by_key(&version, |wait: &Wait| wait.version).is_ok();
        let candidates = self.slots.iter().enumerate().filter_map(|(at, slot)| {
            let version = slot.version()?;
            let heat = self.heats.value(now, version);
            (slot.is_unpinned() && !awaited(version)).then_some((heat, at))
        });
        let (_, at) = candidates.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.unload(now, at)
    }

    /// Orders the version in slot `at` out, unless a request runs on it:
    /// then its residency is shared and there is none to give away.
    fn unload(&mut self, now: Instant, at: usize) -> Option<Action> {
        let slot = &mut self.slots[at];
        let State::Loaded(shared) = std::mem::replace(&mut slot.state, State::Empty) else {
            unreachable!("only loaded slots are unloaded");
        };
        match Rc::try_unwrap(shared) {
            Ok(residency) => Some(self.unload_residency(now, at, residency)),
            Err(shared) => {
                slot.state = State::Loaded(shared);
                None
            }
        }
    }

    fn unload_residency(&mut self, now: Instant, at: usize, residency: Residency) -> Action {
        let version = residency.version();
        let order = self.next_order();
        let slot = &mut self.slots[at];
        slot.set(now, State::Unloading(version));
        slot.order = order.seq;
        Action::Unload { version, order }
    }

    fn empty_drained(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for at in 0..self.slots.len() {
            if self.slots[at].draining && self.slots[at].is_unpinned() {
                actions.extend(self.unload(now, at));
            }
        }
    }

    /// Without this, adapters that always serve somebody hold every slot and
    /// a request for another one waits to its deadline. One slot at a time
    /// is closed to newcomers, so it empties when its last request ends.
    fn drain_one(&mut self, now: Instant) {
        if self.slots.iter().any(|slot| slot.draining) {
            return;
        }
        let loaded = self.slots.iter().enumerate().filter_map(|(at, slot)| match &slot.state {
            State::Loaded(residency) => Some((self.heats.value(now, residency.version()), at)),
            _ => None,
        });
        if let Some((_, at)) = loaded.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.slots[at].draining = true;
        }
    }

    /// Fills empty slots with the versions asked for most, as after a restart.
    fn prefetch(&mut self, now: Instant, left: u32, actions: &mut Vec<Action>) {
        let spare = left.saturating_sub(self.limits.prefetch_reserve);
        for _ in 0..spare {
            let Some(at) = self.empty_slot() else { return };
            let absent = |&(version, _): &(VersionId, f64)| {
                !self.places.contains_key(&version) && self.backoff.left(now, version).is_none()
            };
            let hottest = self.heats.iter(now).filter(absent).max_by(|a, b| a.1.total_cmp(&b.1));
            let Some((version, _)) = hottest else { return };
            actions.push(self.load(now, at, version));
        }
    }

    pub(super) fn loaded(&mut self, now: Instant, at: usize, version: VersionId) {
        self.backoff.succeeded(version);
        let slot = &mut self.slots[at];
        let draining = slot.draining;
        slot.set(now, State::Loaded(Residency::new(version)));
        // A version retired while it loaded is still to go.
        slot.draining = draining;
    }

    pub(super) fn load_failed(
        &mut self,
        now: Instant,
        at: usize,
        version: VersionId,
    ) -> Vec<Action> {
        self.clear(now, at);
        let retry_after = self.backoff.failed(now, version);
        vec![Action::Failed { version, retry_after }]
    }

    pub(super) fn clear(&mut self, now: Instant, at: usize) {
        if let Some(version) = self.slots[at].version() {
            self.places.remove(&version);
            self.gone.insert(version, now);
        }
        self.slots[at].set(now, State::Empty);
    }

    fn unknown(&mut self, now: Instant, at: usize) -> Vec<Action> {
        self.slots[at].unsure = true;
        self.slots[at].changed = now;
        vec![Action::RequestReport]
    }

    pub(super) fn next_order(&mut self) -> Order {
        self.seq += 1;
        Order { fencing: self.fencing, seq: self.seq }
    }

    fn awaited(&self, order: Order) -> Option<(usize, VersionId)> {
        let at = self.slots.iter().position(|slot| slot.order == order.seq)?;
        let awaited = order.fencing == self.fencing && !self.slots[at].unsure;
        awaited.then_some((at, self.slots[at].version()?))
    }

    pub(super) fn empty_slot(&self) -> Option<usize> {
        self.slots.iter().position(|slot| matches!(slot.state, State::Empty))
    }

    fn count(&self, test: impl Fn(&State) -> bool) -> usize {
        self.slots.iter().filter(|slot| test(&slot.state)).count()
    }
}
