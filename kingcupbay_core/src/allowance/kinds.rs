//! Division of an organisation's rate between kinds of requests.
//!
//! Addresses load L (docs/HARD-LOAD.md): one organisation asks for several times its rate.
//! Without a division, cheap requests pass and expensive ones starve, whatever their
//! priorities. The rate is divided by the demand of the whole fleet, so each entry grants the
//! same fraction of the demand of a kind. A sub-bucket for each kind holds an entry to that
//! fraction. It only refuses more than the limit does, which thus stays exact.

use std::collections::BTreeMap;

use crate::{
    time::{Instant, Span},
    wire::usage::{OrganisationUsage, RequestKind},
};

use super::{DEMAND_WINDOW_SECS, RETRY_AFTER_MAX, RETRY_AFTER_MIN_SECS};

/// A kind of requests. `None` if none is named, which counts as a service of its own.
pub(super) type KindKey = Option<RequestKind>;

/// Demand in tokens per second by kind.
pub(super) type Demand = BTreeMap<KindKey, f64>;

/// Kinds kept for one organisation. Further ones count as unnamed, which bounds the memory that
/// a peer with a faulty hash can take.
const KINDS_MAX: usize = 64;

/// Demand in tokens per second below which a kind is forgotten.
const DEMAND_MIN: f64 = 0.01;

/// Smallest part assumed for a retry delay, in tokens per second. It bounds the division.
const PART_MIN: f64 = 1e-3;

/// Time of its part of the rate that a kind can save up, in seconds. It is that of a usual
/// burst.
const SAVED_SECS: f64 = 1.0;

/// Fill level of this entry's share of the bucket from which a kind gets more than its part.
/// The other kinds do not use theirs.
const SURPLUS_LEVEL: f64 = 0.6;

/// Fill level from which a kind that has no part gets tokens: the bucket is full, so that
/// tokens would be lost.
const UNNEEDED_LEVEL: f64 = 0.98;

/// Part of the time left that a caller waits for a retry at most.
const WAIT_FRACTION: u64 = 3;

/// Part of a retry delay over which the retries are spread.
const SPREAD_FRACTION: u64 = 4;

/// A request for tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenRequest {
    /// Tokens of the request.
    pub cost: u64,
    /// Kind of the request, if it is named.
    pub kind: Option<RequestKind>,
    /// Time that the caller has left. Zero if it is not known.
    pub remaining: Span,
    /// Random number that spreads retries.
    pub draw: u64,
}

/// Error for a request that exceeds its organisation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit {
    /// Time until the limit is expected to allow the request.
    pub retry_after: Span,
    /// Whether the caller would not wait that long, so that a retry is in vain.
    pub hopeless: bool,
    /// Reason, as written to logs.
    pub why: &'static str,
}

/// One kind of requests of an organisation at this entry.
#[derive(Clone, Debug)]
struct Kind {
    /// Average of the tokens requested per second, as of `updated`.
    demand: f64,
    /// Tokens per second that it gets here while the rate is divided.
    part: f64,
    /// Tokens left of its part. A negative value is debt. Infinite until the rate is divided,
    /// so that a kind begins with all that it can save up.
    level: f64,
    updated: Instant,
    /// Time until which the tokens of the kind are promised to refused callers.
    promised_until: Instant,
}

/// What a request may take of its organisation's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// Any tokens.
    Entitled,
    /// Tokens that other kinds have left, as its kind has used its part of the rate.
    Surplus,
    /// Tokens that no kind has asked for, as its kind has no part of the rate.
    Unneeded,
}

impl Claim {
    /// Returns the fill level of this entry's share of the bucket, as a fraction of it, from
    /// which tokens are granted. Tokens that are left over go to the more urgent kinds first.
    pub(super) fn level_min(self) -> f64 {
        match self {
            Claim::Entitled => 0.0,
            Claim::Surplus => SURPLUS_LEVEL,
            Claim::Unneeded => UNNEEDED_LEVEL,
        }
    }

    /// Returns why a request is refused, as written to logs.
    pub(super) fn why(self) -> &'static str {
        match self {
            Claim::Entitled => "no tokens left",
            Claim::Surplus => "its kind has used its part",
            Claim::Unneeded => "the rate goes to other kinds",
        }
    }
}

/// The kinds of requests of an organisation at this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    kinds: BTreeMap<KindKey, Kind>,
}

impl Kinds {
    /// Counts the demand of a request. Returns the kind under which it is kept.
    pub(super) fn on_request(&mut self, now: Instant, request: &TokenRequest) -> KindKey {
        for kind in self.kinds.values_mut() {
            let passed = now.since(kind.updated).as_secs_f64();
            kind.demand *= (-passed / DEMAND_WINDOW_SECS).exp();
            kind.updated = now;
        }
        self.kinds.retain(|_, kind| kind.demand >= DEMAND_MIN);
        let key = self.key(request);
        let new = Kind {
            demand: 0.0,
            part: 0.0,
            level: f64::INFINITY,
            updated: now,
            promised_until: now,
        };
        let kind = self.kinds.entry(key).or_insert(new);
        kind.demand += request.cost as f64 / DEMAND_WINDOW_SECS;
        key
    }

    /// Returns the kind under which a request is kept.
    fn key(&self, request: &TokenRequest) -> KindKey {
        let known = self.kinds.len() < KINDS_MAX || self.kinds.contains_key(&request.kind);
        request.kind.filter(|_| known)
    }

    /// Returns the demand of each kind at `now`. Without requests, nothing else drops the kinds
    /// whose demand has ceased.
    pub(super) fn demand(&self, now: Instant) -> Demand {
        let decayed = |kind: &Kind| {
            let passed = now.since(kind.updated).as_secs_f64();
            kind.demand * (-passed / DEMAND_WINDOW_SECS).exp()
        };
        let demand = self.kinds.iter().map(|(key, kind)| (*key, decayed(kind)));
        demand.filter(|(_, tokens)| *tokens >= DEMAND_MIN).collect()
    }

    /// Refills the sub-buckets for `passed` seconds, each by its `fractions` of its demand.
    pub(super) fn refill(&mut self, fractions: &BTreeMap<KindKey, f64>, passed: f64) {
        for (key, kind) in &mut self.kinds {
            let part = kind.demand * fractions.get(key).copied().unwrap_or(0.0);
            kind.level = (kind.level + part * passed).min(part * SAVED_SECS);
            kind.part = part;
        }
    }

    /// Returns what a request of kind `key`, which is granted `fraction` of its demand, may
    /// take of the bucket.
    pub(super) fn claim(&self, key: KindKey, fraction: f64) -> Claim {
        let has_tokens = self.kinds.get(&key).is_some_and(|kind| kind.level >= 0.0);
        match fraction {
            // The whole demand fits. The sub-bucket only follows its average.
            1.0.. => Claim::Entitled,
            _ if fraction <= 0.0 => Claim::Unneeded,
            _ if has_tokens => Claim::Entitled,
            _ => Claim::Surplus,
        }
    }

    /// Takes tokens from the sub-bucket of a kind. The debt is bounded, as a part that has
    /// become small since would repay it for longer than callers wait.
    pub(super) fn spend(&mut self, key: KindKey, cost: f64) {
        if let Some(kind) = self.kinds.get_mut(&key) {
            kind.level = (kind.level - cost).max(-(kind.part * SAVED_SECS + cost));
        }
    }

    /// Returns the tokens of a `request` that did not run to the sub-bucket of its kind.
    pub(super) fn refund(&mut self, request: &TokenRequest) {
        let key = self.key(request);
        // It is infinite, and nothing was taken from it, while the rate is not divided.
        if let Some(kind) = self.kinds.get_mut(&key).filter(|kind| kind.level.is_finite()) {
            kind.level = (kind.level + request.cost as f64).min(kind.part * SAVED_SECS);
        }
    }

    /// Fills all sub-buckets and forgets what is promised, as the rate is no longer divided.
    pub(super) fn reset(&mut self, now: Instant) {
        for kind in self.kinds.values_mut() {
            (kind.level, kind.promised_until) = (f64::INFINITY, now);
        }
    }

    /// Returns when tokens for a refused request are expected, after those that are promised,
    /// and promises them. `None` if the caller would not wait so long.
    pub(super) fn promise(
        &mut self,
        now: Instant,
        key: KindKey,
        request: &TokenRequest,
    ) -> Option<Span> {
        let kind = self.kinds.get_mut(&key)?;
        let part = kind.part.max(PART_MIN);
        let secs = |tokens: f64| Span::from_micros((tokens / part * 1e6) as u64);
        let debt_cleared = now + secs((-kind.level).max(0.0));
        let due = kind.promised_until.max(debt_cleared) + secs(request.cost as f64);
        let earliest = Span::from_micros((RETRY_AFTER_MIN_SECS * 1e6) as u64);
        let after = due.since(now).max(earliest);
        let width = (after.as_micros() / SPREAD_FRACTION).max(1);
        let after = after + Span::from_micros(request.draw % width);
        if request.remaining == Span::ZERO {
            kind.promised_until = due.min(now + RETRY_AFTER_MAX);
            return Some(after.min(RETRY_AFTER_MAX));
        }
        if after.as_micros() > request.remaining.as_micros() / WAIT_FRACTION {
            return None;
        }
        kind.promised_until = due;
        Some(after)
    }
}

/// Adds the demand by kind that another entry reports to `demand`. What it does not attribute
/// to a kind, as an entry of an earlier build, counts as unnamed.
pub(super) fn add_reported(demand: &mut Demand, used: &OrganisationUsage) {
    // A faulty number must not take the rate from all other kinds.
    let valid = |tokens: f64| if tokens.is_finite() { tokens.max(0.0) } else { 0.0 };
    let mut named = 0.0;
    for (key, &tokens) in &used.kinds {
        named += valid(tokens);
        if valid(tokens) >= DEMAND_MIN {
            *demand.entry(Some(*key)).or_default() += valid(tokens);
        }
    }
    let unnamed = valid(used.demand) - named;
    if unnamed > DEMAND_MIN {
        *demand.entry(None).or_default() += unnamed;
    }
}

/// Returns the demand that is attributed to kinds, as reported to other entries.
pub(super) fn named(demand: &Demand) -> BTreeMap<RequestKind, f64> {
    demand.iter().filter_map(|(key, &tokens)| key.map(|key| (key, tokens))).collect()
}

/// Returns whether requests to one service differ in priority.
pub(super) fn differ(demand: &Demand) -> bool {
    let services = || demand.keys().flatten().map(|key| key.service);
    services().zip(services().skip(1)).any(|(service, next)| service == next)
}

/// Returns the tokens per second requested by kinds that may come before `kind`: those of other
/// services, and the more urgent ones of its own.
pub(super) fn demand_ahead(demand: &Demand, kind: KindKey) -> f64 {
    let first = |key: &KindKey| service(*key) != service(kind) || *key < kind;
    demand.iter().filter(|(key, _)| first(key)).map(|(_, tokens)| tokens).sum()
}

fn service(key: KindKey) -> Option<u32> {
    key.map(|key| key.service)
}

/// Divides `rate` between the kinds in `demand`. Each service gets the smaller of its demand
/// and its fair share, and within it the most urgent kind is served first. Returns the
/// granted fraction of the demand of each kind, or `None` if the rate is not divided.
pub(super) fn divide(demand: &Demand, rate: f64) -> Option<BTreeMap<KindKey, f64>> {
    if !differ(demand) || demand.values().sum::<f64>() <= rate {
        return None;
    }
    let mut services: BTreeMap<Option<u32>, f64> = BTreeMap::new();
    for (key, tokens) in demand {
        *services.entry(service(*key)).or_default() += tokens;
    }
    let mut ascending: Vec<(Option<u32>, f64)> = services.into_iter().collect();
    ascending.sort_by(|one, other| one.1.total_cmp(&other.1));
    let mut left = rate;
    let mut parts = BTreeMap::new();
    for (index, (of, tokens)) in ascending.iter().enumerate() {
        let part = tokens.min(left / (ascending.len() - index) as f64);
        left -= part;
        parts.insert(*of, part);
    }
    // Keys are in order of service, then of priority.
    let fraction = |(key, tokens): (&KindKey, &f64)| {
        let left = parts.get_mut(&service(*key)).expect("every service has a part");
        let granted = tokens.min(*left);
        *left -= granted;
        (*key, if *tokens > 0.0 { granted / tokens } else { 0.0 })
    };
    Some(demand.iter().map(fraction).collect())
}
