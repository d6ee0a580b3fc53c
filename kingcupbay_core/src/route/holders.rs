//! Which upstreams hold a version: the inverse of their reports.

use std::collections::{BTreeMap, VecDeque};

use crate::{id::VersionId, time::Instant};

/// Position of an upstream in the router's table.
pub(super) type Place = u16;

/// One upstream that holds a version, or soon will.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) place: Place,
    /// Set while no report has shown it: it was sent a request for the
    /// version and is loading it. Until then all requests follow the first.
    pub(super) expected: Option<Instant>,
}

/// Holders by version. Invariant: no empty list, no place twice in a list.
#[derive(Debug, Default)]
pub(super) struct Holders {
    lists: BTreeMap<VersionId, Vec<Holder>>,
    /// Expectations in the order of their ends; met ones stay until then.
    expected: VecDeque<(Instant, VersionId, Place)>,
}

impl Holders {
    pub(super) fn of(&self, version: VersionId) -> &[Holder] {
        self.lists.get(&version).map_or(&[], Vec::as_slice)
    }

    /// Notes that `place` will load `version`, unless it holds it.
    pub(super) fn expect(&mut self, version: VersionId, place: Place, until: Instant) {
        let list = self.lists.entry(version).or_default();
        if !list.iter().any(|holder| holder.place == place) {
            list.push(Holder { place, expected: Some(until) });
            self.expected.push_back((until, version, place));
        }
    }

    /// Notes that a report shows `version` at `place`.
    pub(super) fn add(&mut self, version: VersionId, place: Place) {
        let list = self.lists.entry(version).or_default();
        match list.iter_mut().find(|holder| holder.place == place) {
            Some(holder) => holder.expected = None,
            None => list.push(Holder { place, expected: None }),
        }
    }

    pub(super) fn remove(&mut self, version: VersionId, place: Place) {
        let Some(list) = self.lists.get_mut(&version) else { return };
        list.retain(|holder| holder.place != place);
        if list.is_empty() {
            self.lists.remove(&version);
        }
    }

    /// Forgets an upstream that was removed, with what it was expected to load.
    pub(super) fn remove_place(&mut self, place: Place) {
        let held = |list: &Vec<Holder>| list.iter().any(|holder| holder.place == place);
        let versions = self.lists.iter().filter(|(_, list)| held(list));
        let versions: Vec<VersionId> = versions.map(|(&version, _)| version).collect();
        for version in versions {
            self.remove(version, place);
        }
    }

    /// Forgets that `place` would load `version`, unless a report shows it.
    pub(super) fn unexpect(&mut self, version: VersionId, place: Place) {
        let held = self.of(version).iter().find(|holder| holder.place == place);
        if held.is_some_and(|holder| holder.expected.is_some()) {
            self.remove(version, place);
        }
    }

    /// Forgets expectations that no report has met in time.
    pub(super) fn sweep(&mut self, now: Instant) {
        while let Some(&(until, version, place)) = self.expected.front() {
            if until >= now {
                return;
            }
            self.expected.pop_front();
            let held = self.of(version).iter().find(|holder| holder.place == place);
            // A later expectation of the same has its own end.
            if held.is_some_and(|holder| holder.expected == Some(until)) {
                self.remove(version, place);
            }
        }
    }
}
