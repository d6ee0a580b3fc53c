//! Memory for bodies and answers, shared by all connections of a process.
//!
//! Each body and each answer takes a hold for what it may need. A small one may take all that is
//! left, a large one leaves a part for small ones. What finds no room waits: small ones first, then
//! those of the organisations that hold the least, then in order of arrival. While something
//! waits, a hold whose client stalls is given up.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::time::{Instant, Span};

/// Largest hold that may use the room that large ones leave.
pub const SMALL_HOLD_BYTES: usize = 64 << 10;

/// Part of the memory that large holds leave, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 8;

/// Bytes that a client has to move within [`STALL_TIME`] to make progress.
const PROGRESS_BYTES: usize = 64 << 10;

/// Time without progress after which a hold is given up if others wait for room.
pub const STALL_TIME: Span = Span::from_secs(1);

/// Identifies a hold. Never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldId(u64);

/// Memory that is divided into holds.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    /// Invariant: the sum of `bytes` of all holds.
    used: usize,
    next: u64,
    holds: BTreeMap<HoldId, Hold>,
    /// Invariant: the sum of `bytes` by owner, without zeros.
    owners: BTreeMap<String, usize>,
}

#[derive(Debug)]
struct Hold {
    /// Organisation, empty for none.
    owner: String,
    /// Bytes granted.
    bytes: usize,
    /// Bytes asked for while it waits. Invariant: more than `bytes`.
    wanted: Option<usize>,
    /// What its client is expected to move; `None` if nothing depends on the client.
    pace: Option<Pace>,
}

/// Progress of a client that sends a body or reads an answer.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Bytes moved since `since`.
    moved: usize,
    since: Instant,
}

impl Memory {
    /// Creates memory of `limit` bytes.
    pub fn new(limit: usize) -> Memory {
        Memory { limit, used: 0, next: 0, holds: BTreeMap::new(), owners: BTreeMap::new() }
    }

    /// Returns the bytes held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of holds that wait for room.
    pub fn waiting(&self) -> usize {
        self.holds.values().filter(|hold| hold.wanted.is_some()).count()
    }

    /// Returns the bytes held by each organisation, the empty name standing for none.
    pub fn owners(&self) -> impl Iterator<Item = (&str, usize)> {
        self.owners.iter().map(|(owner, &bytes)| (owner.as_str(), bytes))
    }

    /// Opens a hold of no bytes for `owner`.
    pub fn open(&mut self, owner: &str) -> HoldId {
        let id = HoldId(self.next);
        self.next += 1;
        let hold = Hold { owner: owner.to_owned(), bytes: 0, wanted: None, pace: None };
        self.holds.insert(id, hold);
        id
    }

    /// Asks for a hold of `bytes` in all. It is granted by [`Memory::grant`]. Asking for no more
    /// than is held has no effect.
    pub fn ask(&mut self, id: HoldId, bytes: usize) {
        let Some(hold) = self.holds.get_mut(&id) else { return };
        hold.wanted = (bytes > hold.bytes).then_some(bytes);
        // A client cannot move anything meanwhile.
        hold.pace = None;
    }

    /// Returns whether a hold waits for room.
    pub fn is_waiting(&self, id: HoldId) -> bool {
        self.holds.get(&id).is_some_and(|hold| hold.wanted.is_some())
    }

    /// Grants what waits, as far as there is room. Returns the holds that were granted.
    pub fn grant(&mut self) -> Vec<HoldId> {
        let mut granted = Vec::new();
        while let Some(id) = self.first_waiting() {
            let hold = &self.holds[&id];
            let wanted = hold.wanted.expect("the hold waits");
            let others = self.used - hold.bytes;
            // A body of legal size is read even if it needs more than all of the room.
            if others + wanted > self.room_for(wanted) && others > 0 {
                break;
            }
            self.resize(id, wanted);
            granted.push(id);
        }
        granted
    }

    /// Gives back what a hold has beyond `bytes`.
    pub fn shrink(&mut self, id: HoldId, bytes: usize) {
        if self.holds.get(&id).is_some_and(|hold| hold.bytes > bytes) {
            self.resize(id, bytes);
        }
    }

    /// Ends a hold.
    pub fn close(&mut self, id: HoldId) {
        if self.holds.contains_key(&id) {
            self.resize(id, 0);
            self.holds.remove(&id);
        }
    }

    /// Records that the client of a hold has moved `bytes`, or is expected to from now on.
    pub fn on_moved(&mut self, now: Instant, id: HoldId, bytes: usize) {
        let Some(hold) = self.holds.get_mut(&id) else { return };
        let pace = hold.pace.get_or_insert(Pace { moved: 0, since: now });
        pace.moved += bytes;
        if pace.moved >= PROGRESS_BYTES {
            *pace = Pace { moved: 0, since: now };
        }
    }

    /// Records that a hold no longer depends on its client.
    pub fn on_complete(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.pace = None;
        }
    }

    /// Chooses holds to give up so that the next one that waits finds room: of those whose clients
    /// stall, first those of the organisations that hold the most, then those that have stalled
    /// for the longest. Each is chosen once; the caller closes it.
    pub fn give_up_stalled(&mut self, now: Instant) -> Vec<HoldId> {
        let Some(waiting) = self.first_waiting().and_then(|id| self.holds.get(&id)) else {
            return Vec::new();
        };
        let wanted = waiting.wanted.expect("the hold waits");
        let needed = self.used - waiting.bytes + wanted;
        let mut lacking = needed.saturating_sub(self.room_for(wanted));
        let mut stalled: Vec<_> = self
            .holds
            .iter()
            .filter_map(|(&id, hold)| {
                let since = hold.pace?.since;
                let stalls = hold.bytes > 0 && now.since(since) >= STALL_TIME;
                stalls.then(|| (Reverse(self.held_by(&hold.owner)), since, id))
            })
            .collect();
        stalled.sort_unstable();
        let mut given_up = Vec::new();
        for (.., id) in stalled {
            if lacking == 0 {
                break;
            }
            let hold = self.holds.get_mut(&id).expect("the hold was listed");
            hold.pace = None;
            lacking = lacking.saturating_sub(hold.bytes);
            given_up.push(id);
        }
        given_up
    }

    /// Returns the memory that a hold of `bytes` may use beside others.
    fn room_for(&self, bytes: usize) -> usize {
        match bytes > SMALL_HOLD_BYTES {
            true => self.limit - self.limit / SMALL_SHARE_DIVISOR,
            false => self.limit,
        }
    }

    fn held_by(&self, owner: &str) -> usize {
        self.owners.get(owner).copied().unwrap_or_default()
    }

    fn first_waiting(&self) -> Option<HoldId> {
        let waiting = self.holds.iter().filter_map(|(&id, hold)| {
            let is_large = hold.wanted? > SMALL_HOLD_BYTES;
            let held = self.held_by(&hold.owner);
            Some((is_large, if is_large { held } else { 0 }, id))
        });
        waiting.min().map(|(.., id)| id)
    }

    fn resize(&mut self, id: HoldId, bytes: usize) {
        let Some(hold) = self.holds.get_mut(&id) else { return };
        let before = std::mem::replace(&mut hold.bytes, bytes);
        hold.wanted = None;
        self.used = self.used - before + bytes;
        let held = self.owners.entry(hold.owner.clone()).or_default();
        *held = *held - before + bytes;
        if *held == 0 {
            self.owners.remove(&hold.owner);
        }
    }
}
