//! Index of the upstreams that hold a version, built from their reports.

use std::collections::{BTreeMap, VecDeque};

use crate::{id::VersionId, time::Instant};

/// Index of an upstream in the router's table.
pub(super) type UpstreamIndex = u16;

/// An upstream that holds a version or is expected to load it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) index: UpstreamIndex,
    /// When the expectation expires, if no report has shown the version there yet.
    /// The upstream was sent a request for the version and is loading it;
    /// meanwhile further requests follow the first one.
    pub(super) expires: Option<Instant>,
}

/// Holders by version. Invariant: no list is empty or has the same index twice.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_version: BTreeMap<VersionId, Vec<Holder>>,
    /// Expectations in the order of expiry. Those met by a report also stay until
    /// they expire.
    expected: VecDeque<(Instant, VersionId, UpstreamIndex)>,
}

impl Holders {
    /// Returns the holders of `version`.
    pub(super) fn get(&self, version: VersionId) -> &[Holder] {
        self.by_version.get(&version).map_or(&[], Vec::as_slice)
    }

    /// Records that the upstream is expected to load `version` before `until`,
    /// unless it is already a holder.
    pub(super) fn add_expected(
        &mut self,
        version: VersionId,
        index: UpstreamIndex,
        until: Instant,
    ) {
        let list = self.by_version.entry(version).or_default();
        if !list.iter().any(|holder| holder.index == index) {
            list.push(Holder { index, expires: Some(until) });
            self.expected.push_back((until, version, index));
        }
    }

    /// Records that a report shows `version` at the upstream.
    pub(super) fn add_reported(&mut self, version: VersionId, index: UpstreamIndex) {
        let list = self.by_version.entry(version).or_default();
        match list.iter_mut().find(|holder| holder.index == index) {
            Some(holder) => holder.expires = None,
            None => list.push(Holder { index, expires: None }),
        }
    }

    pub(super) fn remove(&mut self, version: VersionId, index: UpstreamIndex) {
        let Some(list) = self.by_version.get_mut(&version) else { return };
        list.retain(|holder| holder.index != index);
        if list.is_empty() {
            self.by_version.remove(&version);
        }
    }

    /// Removes a deleted upstream from the holders of every version.
    pub(super) fn remove_upstream(&mut self, index: UpstreamIndex) {
        let is_holder = |list: &Vec<Holder>| list.iter().any(|holder| holder.index == index);
        let versions = self.by_version.iter().filter(|(_, list)| is_holder(list));
        let versions: Vec<VersionId> = versions.map(|(&version, _)| version).collect();
        for version in versions {
            self.remove(version, index);
        }
    }

    /// Removes the expectation that the upstream loads `version`, unless a report
    /// has shown the version there.
    pub(super) fn remove_expected(&mut self, version: VersionId, index: UpstreamIndex) {
        let holder = self.get(version).iter().find(|holder| holder.index == index);
        if holder.is_some_and(|holder| holder.expires.is_some()) {
            self.remove(version, index);
        }
    }

    /// Removes expectations that no report has met in time.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(&(until, version, index)) = self.expected.front() {
            if until >= now {
                return;
            }
            self.expected.pop_front();
            let holder = self.get(version).iter().find(|holder| holder.index == index);
            // A later expectation for the same pair expires on its own.
            if holder.is_some_and(|holder| holder.expires == Some(until)) {
                self.remove(version, index);
            }
        }
    }
}
