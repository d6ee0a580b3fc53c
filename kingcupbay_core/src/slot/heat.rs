//! How often something was used lately: a count that halves with time.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// A count below this is forgotten; it is one use ten half-lives ago.
const FORGOTTEN: f64 = 0.001;

/// A use count that halves every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Heat {
    count: f64,
    at: Instant,
}

impl Heat {
    /// Adds one use.
    pub(crate) fn touch(&mut self, now: Instant, half_life: Span) {
        self.count = self.value(now, half_life) + 1.0;
        self.at = now;
    }

    /// The count as of `now`.
    pub(crate) fn value(&self, now: Instant, half_life: Span) -> f64 {
        let age = now.since(self.at).as_micros() as f64;
        self.count * (-age / half_life.as_micros().max(1) as f64).exp2()
    }
}

/// The heat of many versions or organisations.
#[derive(Debug)]
pub(crate) struct Heats<K> {
    half_life: Span,
    heats: BTreeMap<K, Heat>,
    swept: Instant,
}

impl<K: Copy + Ord> Heats<K> {
    pub(crate) fn new(half_life: Span) -> Heats<K> {
        Heats { half_life, heats: BTreeMap::new(), swept: Instant::default() }
    }

    /// Adds one use of `key`.
    pub(crate) fn touch(&mut self, now: Instant, key: K) {
        self.sweep(now);
        self.heats.entry(key).or_default().touch(now, self.half_life);
    }

    pub(crate) fn remove(&mut self, key: K) {
        self.heats.remove(&key);
    }

    pub(crate) fn value(&self, now: Instant, key: K) -> f64 {
        self.heats.get(&key).map_or(0.0, |heat| heat.value(now, self.half_life))
    }

    /// Keys with their heat, in order.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (K, f64)> {
        self.heats.iter().map(move |(&key, heat)| (key, heat.value(now, self.half_life)))
    }

    /// Keeps the memory bounded by what was used in the last ten half-lives.
    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < self.half_life {
            return;
        }
        self.swept = now;
        let half_life = self.half_life;
        self.heats.retain(|_, heat| heat.value(now, half_life) > FORGOTTEN);
    }
}
