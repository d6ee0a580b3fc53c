//! The baseline: requests run first come first served, and the least recently used
//! adapter is evicted.

use std::collections::VecDeque;

use kingcupbay_core::{
    id::{RequestId, VersionId},
    queue::{Entry, GivenUp},
    slot::{Action, Order, Outcome},
    time::{Instant, Span},
    wire::error::Code,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    version: VersionId,
    state: State,
    order: u64,
    last_used: Instant,
}

/// Queue and slots of one runner under the baseline policy.
#[derive(Debug)]
pub(crate) struct Lru {
    count: usize,
    seq: u64,
    slots: Vec<Slot>,
    waiting: VecDeque<Entry>,
    running: Vec<(RequestId, VersionId)>,
}

impl Lru {
    pub(crate) fn new(count: u32) -> Lru {
        let (slots, waiting, running) = Default::default();
        Lru { count: count as usize, seq: 0, slots, waiting, running }
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.waiting.push_back(entry);
    }

    /// Orders a load for every version that requests wait for, in their order, within
    /// the same budget as the core: without a budget the store's queue grows beyond
    /// all deadlines and never recovers.
    pub(crate) fn plan(&mut self, now: Instant, budget: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        let requested: Vec<VersionId> = self.waiting.iter().map(|entry| entry.version).collect();
        let mut unloading = self.slots.iter().filter(|slot| slot.state == State::Unloading).count();
        let mut examined = Vec::new();
        for version in requested {
            let resident = self.slots.iter().any(|slot| slot.version == version);
            if resident || examined.contains(&version) {
                continue;
            }
            examined.push(version);
            if examined.len() > budget as usize {
                break;
            }
            if self.slots.len() < self.count {
                let order = self.order();
                self.slots.push(Slot {
                    version,
                    state: State::Loading,
                    order: order.seq,
                    last_used: now,
                });
                actions.push(Action::Load { version, order });
            } else if unloading > 0 {
                unloading -= 1;
            } else {
                actions.extend(self.evict());
            }
        }
        actions
    }

    pub(crate) fn start_next(&mut self, now: Instant) -> Option<Entry> {
        let at = self.waiting.iter().position(|entry| self.is_ready(entry.version))?;
        let entry = self.waiting.remove(at)?;
        let slot = self.slots.iter_mut().find(|slot| slot.version == entry.version)?;
        slot.last_used = now;
        self.running.push((entry.request, entry.version));
        Some(entry)
    }

    pub(crate) fn finish(&mut self, request: RequestId) {
        self.running.retain(|&(other, _)| other != request);
    }

    pub(crate) fn expire(&mut self, now: Instant) -> Vec<GivenUp> {
        self.give_up(Code::Deadline, |entry| entry.deadline < now)
    }

    pub(crate) fn on_load(&mut self, order: Order, outcome: Outcome) -> Vec<GivenUp> {
        let Some(at) = self.slots.iter().position(|slot| slot.order == order.seq) else {
            return Vec::new();
        };
        if outcome == Outcome::Done {
            self.slots[at].state = State::Loaded;
            return Vec::new();
        }
        let version = self.slots.remove(at).version;
        self.give_up(Code::LoadFailed, |entry| entry.version == version)
    }

    pub(crate) fn on_unload(&mut self, order: Order) {
        self.slots.retain(|slot| slot.order != order.seq);
    }

    /// Empties the slots and returns the requests that were running.
    pub(crate) fn restart(&mut self) -> Vec<RequestId> {
        self.slots.clear();
        self.running.drain(..).map(|(request, _)| request).collect()
    }

    pub(crate) fn is_ready(&self, version: VersionId) -> bool {
        let ready = |slot: &Slot| slot.version == version && slot.state == State::Loaded;
        self.slots.iter().any(ready)
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn evict(&mut self) -> Option<Action> {
        let order = self.order();
        let idle = |slot: &&mut Slot| {
            let pinned = self.running.iter().any(|&(_, version)| version == slot.version);
            let requested = self.waiting.iter().any(|entry| entry.version == slot.version);
            slot.state == State::Loaded && !pinned && !requested
        };
        let victim = self.slots.iter_mut().filter(idle).min_by_key(|slot| slot.last_used)?;
        victim.state = State::Unloading;
        victim.order = order.seq;
        Some(Action::Unload { version: victim.version, order })
    }

    fn order(&mut self) -> Order {
        self.seq += 1;
        Order { fencing: 0, seq: self.seq }
    }

    fn give_up(&mut self, code: Code, ends: impl Fn(&Entry) -> bool) -> Vec<GivenUp> {
        let (removed, kept): (VecDeque<Entry>, VecDeque<Entry>) =
            self.waiting.drain(..).partition(|entry| ends(entry));
        self.waiting = kept;
        let retry_after = Span::from_secs(1);
        removed.into_iter().map(|entry| GivenUp { entry, code, retry_after }).collect()
    }
}
