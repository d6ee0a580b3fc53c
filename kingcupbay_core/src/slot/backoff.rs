//! When a version whose load failed may be tried again.

use std::collections::BTreeMap;

use crate::{
    id::VersionId,
    time::{Instant, Span},
};

/// Wait after the first failure: one load's time.
const FIRST: Span = Span::from_millis(250);

/// Doublings after which the wait stays the same: 16 s.
const DOUBLINGS: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct Entry {
    failures: u32,
    until: Instant,
}

/// Failed loads by version; a success forgets.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    entries: BTreeMap<VersionId, Entry>,
}

impl Backoff {
    /// Notes a failure and gives the wait until the next try.
    pub(super) fn failed(&mut self, now: Instant, version: VersionId) -> Span {
        let failures = self.entries.get(&version).map_or(0, |entry| entry.failures);
        let wait = Span::from_micros(FIRST.as_micros() << failures.min(DOUBLINGS));
        let entry = Entry { failures: failures.saturating_add(1), until: now + wait };
        self.entries.insert(version, entry);
        wait
    }

    pub(super) fn succeeded(&mut self, version: VersionId) {
        self.entries.remove(&version);
    }

    /// Time left until `version` may be tried, if it may not be now.
    pub(super) fn left(&self, now: Instant, version: VersionId) -> Option<Span> {
        let left = self.entries.get(&version)?.until.since(now);
        (left > Span::ZERO).then_some(left)
    }
}
