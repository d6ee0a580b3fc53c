//! Exponential backoff after failed loads.

use std::collections::BTreeMap;

use crate::{
    id::VersionId,
    time::{Instant, Span},
};

/// Wait after the first failure: the duration of one load.
const FIRST_WAIT: Span = Span::from_millis(250);

/// Doublings after which the wait stays the same, at 16 s.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct Entry {
    failures: u32,
    /// When the version may be loaded again.
    until: Instant,
}

/// Consecutive failed loads by version; a successful load removes the entry.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    entries: BTreeMap<VersionId, Entry>,
}

impl Backoff {
    /// Records a failed load and returns the wait until the next attempt.
    pub(super) fn record_failure(&mut self, now: Instant, version: VersionId) -> Span {
        let failures = self.entries.get(&version).map_or(0, |entry| entry.failures);
        let wait = Span::from_micros(FIRST_WAIT.as_micros() << failures.min(MAX_DOUBLINGS));
        let entry = Entry { failures: failures.saturating_add(1), until: now + wait };
        self.entries.insert(version, entry);
        wait
    }

    /// Removes the backoff of `version` after a successful load.
    pub(super) fn reset(&mut self, version: VersionId) {
        self.entries.remove(&version);
    }

    /// Returns the time until `version` may be loaded again, or `None` if it may be now.
    pub(super) fn remaining(&self, now: Instant, version: VersionId) -> Option<Span> {
        let remaining = self.entries.get(&version)?.until.since(now);
        (remaining > Span::ZERO).then_some(remaining)
    }
}
