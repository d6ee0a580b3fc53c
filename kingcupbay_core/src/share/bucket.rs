//! One entry's part of an organisation's token bucket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::amount::{Amount, scale};
use crate::{
    config::model::Total,
    time::{Instant, Span},
};

/// A part of an organisation's rate and burst. Over all entries and all
/// messages on their way, each of the three fields sums to at most the
/// organisation's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Tokens a second.
    pub rate: u64,
    /// Most the level may be.
    pub capacity: Amount,
    /// What may be used at once. Invariant: at most `capacity`, also on its
    /// way. If a level travelled without its capacity, the giver would fill
    /// up again beside it and the organisation would hold more than its burst.
    pub level: Amount,
}

impl Share {
    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        *self == Share::default()
    }
}

/// Key of a reservation of one bucket, unique among those not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationId(u64);

/// Not enough tokens here and now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// What is missing.
    pub missing: Amount,
    /// When this bucket alone would have it; `None` when it never will.
    pub retry_after: Option<Span>,
}

/// A share that fills with time, and the reservations made from it.
///
/// Settling must not break the bound on any interval. Tokens given back late
/// may have been filled up again in the meantime, so adding them, even capped
/// by the capacity, would let burst be used twice. The bucket therefore
/// answers as if only the used tokens had been reserved in the first place:
/// the surplus would have stayed in the level since, cut wherever the bucket
/// came closer to its capacity than that. What comes back is the least of the
/// surplus and the smallest headroom (capacity less level) since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    share: Share,
    /// When `share.level` was last brought up to date.
    at: Instant,
    /// Reservations not settled yet.
    open: BTreeMap<ReservationId, Amount>,
    /// Number of the next reservation, above all in `open`; zero without any.
    next: u64,
    /// Smallest headroom since each reservation: the first row at or after a
    /// reservation's number holds it. Invariant: headroom grows with the key,
    /// a row that a later one undercuts is dropped.
    least_headroom: BTreeMap<u64, Amount>,
}

impl Bucket {
    /// A bucket that holds `share` at `now`.
    pub fn new(now: Instant, share: Share) -> Bucket {
        Bucket { share, at: now, ..Bucket::default() }
    }

    /// The share as it was when last brought up to date.
    pub fn share(&self) -> Share {
        self.share
    }

    /// The share as it is at `now`.
    pub fn share_at(&self, now: Instant) -> Share {
        let refill = Amount::refill(self.share.rate, now.since(self.at));
        let level = (self.share.level + refill).min(self.share.capacity);
        Share { level, ..self.share }
    }

    /// Reservations that are not settled.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Brings the level up to `now`. A clock that went back refills nothing.
    pub fn advance(&mut self, now: Instant) {
        self.share = self.share_at(now);
        self.at = self.at.max(now);
        self.record_headroom();
    }

    /// Takes `amount` out for a request.
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

    /// Ends a reservation of which `used` was used, and returns what came
    /// back into the level. Use beyond the reservation is the caller's to
    /// prevent and is not charged.
    pub fn settle(&mut self, now: Instant, id: ReservationId, used: Amount) -> Amount {
        self.advance(now);
        let Some(reserved) = self.open.remove(&id) else {
            return Amount::ZERO;
        };
        let floor =
            self.least_headroom.range(id.0..).next().map_or(Amount::ZERO, |(_, &floor)| floor);
        let back = reserved.saturating_sub(used).min(floor);
        // The headroom since is now smaller by what came back, for every
        // reservation that may be settled later. Without this two surpluses
        // would both claim the same headroom.
        for (_, floor) in self.least_headroom.range_mut(id.0..) {
            *floor -= back;
        }
        self.share.level += back;
        self.drop_undercut_rows();
        self.drop_unused_rows();
        back
    }

    /// Adds a share that came from elsewhere.
    pub fn add(&mut self, now: Instant, share: Share) {
        self.advance(now);
        self.share.rate += share.rate;
        self.share.capacity += share.capacity;
        self.share.level = (self.share.level + share.level).min(self.share.capacity);
        self.record_headroom();
    }

    /// Takes up to `wanted` out, and says how much it was. A level brings at
    /// least as much capacity along, and what is left fits the capacity left.
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

    /// Follows a change of the organisation's rate and burst in proportion.
    /// Rounded down at every entry, the sum fits the new total.
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

    /// Notes the headroom for all reservations made so far.
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

    /// Drops rows that a later one undercuts after a settlement.
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

    /// Drops rows that no open reservation can ask for.
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
