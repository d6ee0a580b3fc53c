//! Shares of granted prompt tokens: the guaranteed share of less urgent requests, and turns
//! of organisations within a priority.
//!
//! Addresses load L (docs/HARD-LOAD.md) with twice the callers: the most urgent requests have the
//! tightest latency target, and must not wait behind less urgent ones that can still meet theirs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::time::{Instant, Span};

use super::Ticket;

/// The waiting requests below a priority together get one in this many of the granted
/// prompt tokens, and the same again among themselves.
const SHARE_DIVISOR: i64 = 4;

/// Longest prompt that a share is saved up for. Without a bound, less urgent requests
/// whose adapters take long to load would save up a share that stalls the urgent ones.
const SAVED_TOKENS_MAX: i64 = 8_192;

/// Half-life of the tokens that an organisation was granted. It is the time in which a
/// rate limit grants its burst again.
const USAGE_HALF_LIFE: Span = Span::from_secs(1);

/// Returns the largest number of tokens that less urgent requests are granted beside
/// `tokens` of more urgent ones.
pub(super) fn share_beside(tokens: u64) -> u64 {
    tokens / (SHARE_DIVISOR as u64 - 1)
}

/// Returns the largest number of more urgent tokens that are granted before `tokens` of less
/// urgent ones.
pub(super) fn tokens_before_share(tokens: u64) -> u64 {
    tokens.saturating_mul(SHARE_DIVISOR as u64 - 1)
}

/// What less urgent requests are owed.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// By priority, tokens times [`SHARE_DIVISOR`] that requests of this priority and less
    /// urgent ones may be granted before the next more urgent one. Invariant: within
    /// [`SAVED_TOKENS_MAX`] times the divisor of zero.
    owed: BTreeMap<u8, i64>,
}

impl Shares {
    /// Drops what priorities outside `waiting` are owed. A share is not saved up while
    /// nobody waits for it.
    pub(super) fn retain(&mut self, waiting: &BTreeSet<u8>) {
        self.owed.retain(|priority, _| waiting.contains(priority));
    }

    /// Counts `tokens` granted to a request of `priority` while `waiting` priorities
    /// waited, its own included.
    pub(super) fn on_grant(&mut self, waiting: &BTreeSet<u8>, priority: u8, tokens: u64) {
        self.retain(waiting);
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX / SHARE_DIVISOR);
        let bound = SAVED_TOKENS_MAX * SHARE_DIVISOR;
        let mut above = None;
        for &level in waiting {
            if let Some(above) = above.replace(level).filter(|above| *above <= priority) {
                let owed = self.owed.entry(level).or_default();
                let change = if above == priority { 1 } else { 1 - SHARE_DIVISOR };
                *owed = owed.saturating_add(tokens.saturating_mul(change)).clamp(-bound, bound);
            }
        }
    }

    /// Whether requests from `level` on are owed enough for a prompt of `tokens`.
    fn is_due(&self, level: u8, tokens: u64) -> bool {
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX).min(SAVED_TOKENS_MAX);
        self.owed.get(&level).is_some_and(|&owed| owed >= tokens * (SHARE_DIVISOR - 1))
    }

    /// Merges the requests of each priority, with their prompt tokens, into the order of
    /// permits.
    pub(super) fn merge(&self, mut lanes: BTreeMap<u8, VecDeque<(Ticket, u64)>>) -> Vec<Ticket> {
        let mut shares = self.clone();
        let mut order = Vec::new();
        loop {
            lanes.retain(|_, lane| !lane.is_empty());
            let levels: BTreeSet<u8> = lanes.keys().copied().collect();
            let heads = lanes.iter().filter_map(|(&level, lane)| Some((level, lane.front()?.1)));
            let mut heads = heads.peekable();
            let Some((mut chosen, _)) = heads.next() else { return order };
            for (level, tokens) in heads {
                if !shares.is_due(level, tokens) {
                    break;
                }
                chosen = level;
            }
            let Some((ticket, tokens)) = lanes.get_mut(&chosen).and_then(VecDeque::pop_front)
            else {
                return order;
            };
            shares.on_grant(&levels, chosen, tokens);
            order.push(ticket);
        }
    }
}

/// Recently granted prompt tokens by organisation.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// Tokens as of the time of the last grant. Organisations below one token are dropped.
    granted: BTreeMap<String, (Instant, f64)>,
}

/// Prefill time of the tokens by which organisations' usage must differ for one to go
/// first. With a finer step, organisations that differ by a request or two would no
/// longer be served in order of arrival, and more requests would miss their target.
pub(super) const TURN_TIME: Span = Span::from_millis(400);

impl Usage {
    /// Counts `tokens` granted to `organisation`.
    pub(super) fn on_grant(&mut self, now: Instant, organisation: &str, tokens: u64) {
        self.granted.retain(|_, (at, granted)| decayed(now, *at, *granted) >= 1.0);
        let (at, granted) = self.granted.entry(organisation.to_owned()).or_insert((now, 0.0));
        *granted = decayed(now, *at, *granted) + tokens as f64;
        *at = now;
    }

    /// Returns the recently granted tokens of each organisation.
    pub(super) fn current(&self, now: Instant) -> BTreeMap<String, u64> {
        let current = |(name, (at, granted)): (&String, &(Instant, f64))| {
            (name.clone(), decayed(now, *at, *granted) as u64)
        };
        self.granted.iter().map(current).collect()
    }
}

fn decayed(now: Instant, at: Instant, granted: f64) -> f64 {
    let age = now.since(at).as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64();
    granted * (-age).exp2()
}
