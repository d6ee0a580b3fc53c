//! Bucket and demand of one organisation at one entry.

use crate::time::Instant;

use super::{
    DEMAND_WINDOW_SECS,
    kinds::{self, Claim, Demand, KindKey, Kinds},
};

/// Bucket and demand of one organisation, as this entry knows them.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// Tokens left in the fleet's bucket. A negative value is debt.
    pub(super) level: f64,
    /// Tokens left in this entry's share of the bucket.
    pub(super) own_level: f64,
    /// When both levels were last refilled.
    pub(super) refilled: Instant,
    /// Rate and burst at which they were.
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// Tokens admitted since the start, less refunds.
    pub(super) spent: i64,
    /// Average of the tokens requested per second, as of `demand_at`.
    pub(super) demand: f64,
    pub(super) demand_at: Instant,
    /// Demand last reported while no other entry was silent.
    pub(super) reported_demand: f64,
    /// Its kinds of requests.
    pub(super) kinds: Kinds,
    /// When the sub-buckets of kinds were last refilled; `None` while the rate is not divided.
    pub(super) divided: Option<Instant>,
}

impl Account {
    /// Returns the tokens left in the fleet's bucket now.
    pub(super) fn refilled_level(&self, now: Instant) -> f64 {
        let passed = now.since(self.refilled).as_secs_f64();
        (self.level + self.rate * passed).min(self.burst)
    }

    /// Divides the rate between kinds if `demand`, that of all entries, calls for it. Returns
    /// what a request of `kind` may take, or `None` if the rate is not divided.
    pub(super) fn divide(&mut self, now: Instant, demand: &Demand, kind: KindKey) -> Option<Claim> {
        let Some(fractions) = kinds::divide(demand, self.rate) else {
            if self.divided.take().is_some() {
                self.kinds.reset(now);
            }
            return None;
        };
        let since = self.divided.replace(now).unwrap_or(now);
        self.kinds.refill(&fractions, now.since(since).as_secs_f64());
        Some(self.kinds.claim(kind, fractions.get(&kind).copied().unwrap_or(0.0)))
    }

    /// Decays the average of the demand up to `now`.
    pub(super) fn decay(&mut self, now: Instant) {
        let passed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-passed / DEMAND_WINDOW_SECS).exp();
        self.demand_at = now;
    }
}
