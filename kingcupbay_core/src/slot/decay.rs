//! Counters of recent use that decay exponentially.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// Counts at or below this are removed; one use decays below it in ten half-lives.
const MIN_COUNT: f64 = 0.001;

/// A count that halves every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    /// The count as of `at`.
    count: f64,
    at: Instant,
}

impl DecayingCount {
    /// Adds one to the count.
    pub(crate) fn add(&mut self, now: Instant, half_life: Span) {
        self.count = self.value(now, half_life) + 1.0;
        self.at = now;
    }

    /// Returns the count as of `now`.
    pub(crate) fn value(&self, now: Instant, half_life: Span) -> f64 {
        let age = now.since(self.at).as_micros() as f64;
        self.count * (-age / half_life.as_micros().max(1) as f64).exp2()
    }
}

/// A decaying count for each version or organisation.
#[derive(Debug)]
pub(crate) struct DecayingCounts<K> {
    half_life: Span,
    counts: BTreeMap<K, DecayingCount>,
    swept_at: Instant,
}

impl<K: Copy + Ord> DecayingCounts<K> {
    pub(crate) fn new(half_life: Span) -> DecayingCounts<K> {
        DecayingCounts { half_life, counts: BTreeMap::new(), swept_at: Instant::default() }
    }

    /// Adds one to the count of `key`.
    pub(crate) fn add(&mut self, now: Instant, key: K) {
        self.sweep(now);
        self.counts.entry(key).or_default().add(now, self.half_life);
    }

    pub(crate) fn remove(&mut self, key: K) {
        self.counts.remove(&key);
    }

    /// Returns the count of `key` as of `now`, zero if there is none.
    pub(crate) fn value(&self, now: Instant, key: K) -> f64 {
        self.counts.get(&key).map_or(0.0, |count| count.value(now, self.half_life))
    }

    /// Iterates over the counts as of `now` in the order of their keys.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (K, f64)> {
        self.counts.iter().map(move |(&key, count)| (key, count.value(now, self.half_life)))
    }

    /// Removes negligible counts at most once per half-life, so that memory is
    /// bounded by the number of keys used in about the last ten half-lives.
    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept_at) < self.half_life {
            return;
        }
        self.swept_at = now;
        let half_life = self.half_life;
        self.counts.retain(|_, count| count.value(now, half_life) > MIN_COUNT);
    }
}
