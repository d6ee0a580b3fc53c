//! How often something was used lately: a count that halves with time.

use std::collections::BTreeMap;

use crate::{
    id::VersionId,
    time::{Instant, Span},
};

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

/// The heat of many versions.
#[derive(Debug)]
pub(crate) struct Heats {
    half_life: Span,
    heats: BTreeMap<VersionId, Heat>,
    swept: Instant,
}

impl Heats {
    pub(crate) fn new(half_life: Span) -> Heats {
        Heats { half_life, heats: BTreeMap::new(), swept: Instant::default() }
    }

    /// Adds one use of `version`.
    pub(crate) fn touch(&mut self, now: Instant, version: VersionId) {
        self.sweep(now);
        self.heats.entry(version).or_default().touch(now, self.half_life);
    }

    pub(crate) fn remove(&mut self, version: VersionId) {
        self.heats.remove(&version);
    }

    pub(crate) fn value(&self, now: Instant, version: VersionId) -> f64 {
        self.heats.get(&version).map_or(0.0, |heat| heat.value(now, self.half_life))
    }

    /// Versions with their heat, in the order of their keys.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (VersionId, f64)> {
        self.heats.iter().map(move |(&version, heat)| (version, heat.value(now, self.half_life)))
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
