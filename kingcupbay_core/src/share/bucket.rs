//! Token bucket with one entry's share of an organisation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::amount::{Amount, scale};
use crate::{
    config::model::Total,
    time::{Instant, Span},
};

/// Part of an organisation's rate and burst.
///
/// Summed over all entries and all messages in flight, `rate` is at most the
/// organisation's rate, and `capacity` and `level` are at most its burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Refill rate, in tokens a second.
    pub rate: u64,
    /// Upper bound of the level.
    pub capacity: Amount,
    /// Tokens that may be used at once. Invariant: at most `capacity`, also in
    /// flight. If a level were sent without its capacity, the sender would
    /// refill meanwhile and the organisation would hold more than its burst.
    pub level: Amount,
}

impl Share {
    /// Returns whether all fields are zero.
    pub fn is_empty(&self) -> bool {
        *self == Share::default()
    }
}

/// Identifier of a reservation, unique among the open ones of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationId(u64);

/// Error of [`Bucket::reserve`]: the level is too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Amount that is missing.
    pub missing: Amount,
    /// Time until this bucket alone would have it; `None` when it never will.
    pub retry_after: Option<Span>,
}

/// Share that refills with time, and the reservations made from it.
///
/// Settling a reservation must keep the bound of `burst + rate * t` on every
/// interval. The bucket may have been refilled before unused tokens are given
/// back, so adding them, even capped by the capacity, would let the burst be
/// used twice. After a settlement the bucket therefore equals one that reserved
/// only the used tokens in the first place: the surplus would have stayed in
/// the level, cut off wherever the headroom (capacity less level) was smaller.
/// So the amount given back is the lesser of the surplus and the least headroom
/// since the reservation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    share: Share,
    /// Time at which `share.level` was last updated.
    updated_at: Instant,
    /// Amounts of the reservations that are not settled.
    open: BTreeMap<ReservationId, Amount>,
    /// Number of the next reservation, above all in `open`; zero when `open` is
    /// empty.
    next: u64,
    /// Least headroom since each reservation, in the first row at or after the
    /// reservation's number. Invariant: headroom grows with the key, as a row is
    /// dropped when a later one has less.
    least_headroom: BTreeMap<u64, Amount>,
}

impl Bucket {
    /// A bucket that holds `share` at `now`.
    pub fn new(now: Instant, share: Share) -> Bucket {
        Bucket { share, updated_at: now, ..Bucket::default() }
    }

    /// Returns the share at the last update.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the share at `now`.
    pub fn share_at(&self, now: Instant) -> Share {
        let refill = Amount::refill(self.share.rate, now.since(self.updated_at));
        let level = (self.share.level + refill).min(self.share.capacity);
        Share { level, ..self.share }
    }

    /// Returns the number of reservations that are not settled.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Updates the level to `now`. A clock that went back refills nothing.
    pub fn advance(&mut self, now: Instant) {
        self.share = self.share_at(now);
        self.updated_at = self.updated_at.max(now);
        self.record_headroom();
    }

    /// Reserves `amount` for a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if the level at `now` is less than `amount`.
    pub fn reserve(&mut self, now: Instant, amount: Amount) -> Result<ReservationId, Shortage> {
        self.advance(now);
        if amount > self.share.level {
            return Err(self.shortage(amount));
        }
        self.share.level -= amount;
        let id = ReservationId(self.next);
        self.next += 1;
        self.open.insert(id, amount);
        Ok(id)
    }

    /// Ends a reservation of which `used` was used, and returns the amount given
    /// back to the level. Use beyond the reservation is not charged; the caller
    /// prevents it.
    pub fn settle(&mut self, now: Instant, id: ReservationId, used: Amount) -> Amount {
        self.advance(now);
        let Some(reserved) = self.open.remove(&id) else {
            return Amount::ZERO;
        };
        let floor =
            self.least_headroom.range(id.0..).next().map_or(Amount::ZERO, |(_, &floor)| floor);
        let back = reserved.saturating_sub(used).min(floor);
        // Reduces the headroom since this reservation by the amount given back.
        // Otherwise the surpluses of two reservations would both use the same
        // headroom.
        for (_, floor) in self.least_headroom.range_mut(id.0..) {
            *floor -= back;
        }
        self.share.level += back;
        self.drop_undercut_rows();
        self.drop_unused_rows();
        back
    }

    /// Adds a share received from a peer or a grant.
    pub fn add(&mut self, now: Instant, share: Share) {
        self.advance(now);
        self.share.rate += share.rate;
        self.share.capacity += share.capacity;
        self.share.level = (self.share.level + share.level).min(self.share.capacity);
        self.record_headroom();
    }

    /// Removes and returns a share of up to `wanted`. At least as much capacity
    /// as level is removed, and the remaining level is capped by the remaining
    /// capacity.
    pub fn take(&mut self, now: Instant, wanted: Share) -> Share {
        self.advance(now);
        let level = wanted.level.min(self.share.level);
        let capacity = wanted.capacity.max(level).min(self.share.capacity);
        let rate = wanted.rate.min(self.share.rate);
        self.share.level -= level;
        self.share.capacity -= capacity;
        self.share.rate -= rate;
        self.share.level = self.share.level.min(self.share.capacity);
        self.record_headroom();
        Share { rate, capacity, level }
    }

    /// Scales the share in proportion to a change of the organisation's rate and
    /// burst. Every entry rounds down, so the sum does not exceed the new total.
    pub fn rescale(&mut self, now: Instant, from: Total, to: Total) {
        self.advance(now);
        self.share.rate = scale(self.share.rate, to.rate, from.rate);
        self.share.capacity = self.share.capacity.scale(to.burst, from.burst);
        self.share.level = self.share.level.min(self.share.capacity);
        self.record_headroom();
    }

    fn shortage(&self, amount: Amount) -> Shortage {
        let missing = amount - self.share.level;
        let reachable = amount <= self.share.capacity;
        let wait = missing.refill_time(self.share.rate);
        Shortage { missing, retry_after: wait.filter(|_| reachable) }
    }

    /// Records the current headroom for all reservations made so far.
    fn record_headroom(&mut self) {
        let Some(last) = self.next.checked_sub(1).filter(|_| !self.open.is_empty()) else {
            return;
        };
        let headroom = self.share.capacity - self.share.level;
        while let Some(row) = self.least_headroom.last_entry()
            && *row.get() >= headroom
        {
            row.remove();
        }
        self.least_headroom.entry(last).or_insert(headroom);
    }

    /// Drops rows whose headroom is not less than a later row's, which a
    /// settlement can cause.
    fn drop_undercut_rows(&mut self) {
        let mut least = None;
        let rows: Vec<_> =
            self.least_headroom.iter().rev().map(|(&key, &floor)| (key, floor)).collect();
        for (key, floor) in rows {
            match least {
                Some(least) if floor >= least => {
                    self.least_headroom.remove(&key);
                }
                _ => least = Some(floor),
            }
        }
    }

    /// Drops rows before the first open reservation, which are never read.
    fn drop_unused_rows(&mut self) {
        match self.open.first_key_value() {
            Some((first, _)) => self.least_headroom = self.least_headroom.split_off(&first.0),
            None => {
                self.least_headroom.clear();
                self.next = 0;
            }
        }
    }
}
