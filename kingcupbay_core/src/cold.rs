//! Request rate of cold upstreams.
//!
//! An upstream that has just started is cold for some seconds: it tolerates a small
//! rate of requests, over all entries, and fails well above it. It may also turn cold
//! later, for example while its availability zone is evacuated, and is known to be cold
//! only after that.
//!
//! Where one daemon grants all requests to an upstream, [`ColdGate`] keeps the exact
//! rate. Otherwise [`ColdShares`] divides it among the entries, without messages between
//! them.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    random::Random,
    time::{Instant, Span},
};

/// Interval over which requests are counted.
const RATE_WINDOW: Span = Span::from_secs(1);

/// Requests in [`RATE_WINDOW`] to an upstream that is not known to be cold, as a multiple of
/// its cold rate. It may have turned cold unnoticed, and fails only well above the rate.
const UNNOTICED_FACTOR: f64 = 1.5;

/// Fraction of the rate that the entries share. Their turns are not coordinated, so in
/// some seconds more of them fall together.
const SHARED_FRACTION: f64 = 0.7;

/// What an upstream tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests per second. Invariant: positive.
    pub rate: f64,
    /// How long it is cold after it has started.
    pub time: Span,
}

/// Grants the requests to one upstream.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    /// `None` if the upstream tolerates any rate at all times.
    limits: Option<ColdLimits>,
    /// The upstream may be cold until then.
    cold_until: Instant,
    /// Times of the grants in the last [`RATE_WINDOW`], in ascending order.
    grants: VecDeque<Instant>,
}

impl ColdGate {
    /// Applies the limits. The upstream counts as cold from `now` on if it had none
    /// before: a daemon that has just started does not know when the upstream started,
    /// nor what was granted before.
    pub fn on_limits(&mut self, now: Instant, limits: Option<ColdLimits>) {
        let first = self.limits.is_none();
        self.limits = limits;
        if let Some(limits) = limits.filter(|_| first) {
            self.on_cold(now);
            let count = self.limit(now).unwrap_or_default() as u64;
            let interval = Span::from_millis_f64(1e3 / limits.rate).as_micros();
            self.grants = (0..count).rev().map(|n| now - Span::from_micros(n * interval)).collect();
        }
    }

    /// Records that the upstream has started, or may have turned cold.
    pub fn on_cold(&mut self, now: Instant) {
        let time = self.limits.map_or(Span::ZERO, |limits| limits.time);
        self.on_cold_for(now, time);
    }

    /// Records that the upstream is cold for another `time`.
    pub fn on_cold_for(&mut self, now: Instant, time: Span) {
        self.cold_until = self.cold_until.max(now + time);
    }

    /// Returns whether the upstream may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.limits.is_some() && now < self.cold_until
    }

    /// Returns whether a request may be granted now.
    pub fn may_grant(&mut self, now: Instant) -> bool {
        while self.grants.front().is_some_and(|&at| now.since(at) >= RATE_WINDOW) {
            self.grants.pop_front();
        }
        self.limit(now).is_none_or(|limit| self.grants.len() < limit)
    }

    /// Records a granted request.
    pub fn on_grant(&mut self, now: Instant) {
        if self.limits.is_some() {
            self.grants.push_back(now);
        }
    }

    /// Returns the expected time until a request is granted that waits behind `ahead`
    /// others.
    pub fn wait(&self, now: Instant, ahead: usize) -> Span {
        let Some(limit) = self.limit(now) else { return Span::ZERO };
        let current = self.grants.iter().skip_while(|at| now.since(**at) >= RATE_WINDOW);
        let current: Vec<Instant> = current.copied().collect();
        // Each grant makes room for another one after a window.
        let excess = (current.len() + ahead + 1).saturating_sub(limit);
        if excess == 0 {
            return Span::ZERO;
        }
        let windows = (excess - 1) / limit;
        let freed = current.get((excess - 1) % limit).map_or(now, |&at| at + RATE_WINDOW);
        freed.since(now) + Span::from_micros(RATE_WINDOW.as_micros() * windows as u64)
    }

    /// Returns how many requests may be granted in [`RATE_WINDOW`]; `None` for any number.
    fn limit(&self, now: Instant) -> Option<usize> {
        let factor = if self.is_cold(now) { 1.0 } else { UNNOTICED_FACTOR };
        self.limits.map(|limits| ((limits.rate * factor) as usize).max(1))
    }
}

/// One entry's shares of the rates of cold upstreams. Each entry sends at its own even
/// pace, and the entries' turns are spread by their seeds.
#[derive(Clone, Debug)]
pub struct ColdShares {
    seed: u64,
    /// When the next request may be sent, by upstream.
    next: BTreeMap<String, Instant>,
}

impl ColdShares {
    /// Creates shares whose first turns depend on `seed`, which differs between entries.
    pub fn new(seed: u64) -> ColdShares {
        ColdShares { seed, next: BTreeMap::new() }
    }

    /// Counts a request to the cold upstream `id` that this entry, one of `entries`, may
    /// send now.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next request if the share is used up.
    pub fn try_send(
        &mut self,
        now: Instant,
        id: &str,
        limits: ColdLimits,
        entries: usize,
    ) -> Result<(), Span> {
        let rate = limits.rate * SHARED_FRACTION / entries.max(1) as f64;
        let interval = Span::from_millis_f64(1e3 / rate);
        // The first request waits as well: other entries may begin at the same time.
        let next = self.next.entry(id.to_owned()).or_insert_with(|| {
            let offset = Random::new(self.seed).below(interval.as_micros().max(1));
            now + Span::from_micros(offset)
        });
        if now < *next {
            return Err(next.since(now));
        }
        *next = now + interval;
        Ok(())
    }

    /// Drops the upstreams that are no longer registered.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.next.retain(|id, _| known(id));
    }
}
