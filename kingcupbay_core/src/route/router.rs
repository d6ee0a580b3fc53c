//! The router of an entry.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    group::{Group, rendezvous_score},
    holders::{Holders, UpstreamIndex},
    upstream::{InFlight, Report, UpstreamState},
};
use crate::{
    config::model::{Config, Serves, Upstream},
    id::{Name, UpstreamId, VersionId},
    random::mix,
    time::{Instant, Span},
};

/// Maximum age of a cached load bound; computing it reads every upstream of the
/// base model.
const LOAD_BOUND_MAX_AGE: Span = Span::from_millis(20);

/// Parameters of a [`Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Ratio to the mean load above which an upstream is skipped, unless it has
    /// free capacity.
    pub load_ratio: f64,
    /// Number of requests allowed in addition to `load_ratio`, as a ratio alone is
    /// too strict at low load.
    pub load_slack: u32,
    /// Maximum time from a request that causes a load until a report shows the
    /// loaded version.
    pub load_timeout: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { load_ratio: 1.25, load_slack: 1, load_timeout: Span::from_secs(3) }
    }
}

/// Chooses upstreams for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    limits: Limits,
    /// State of the random generator that picks the two holders to compare.
    random_state: u64,
    /// Upstreams by index; an index is reused only after its upstream was removed.
    upstreams: Vec<Option<UpstreamState>>,
    /// Index by identifier. Invariant: lists exactly the occupied positions of
    /// `upstreams`.
    indices: BTreeMap<UpstreamId, UpstreamIndex>,
    holders: Holders,
    bases: BTreeMap<Name, Group>,
    services: BTreeMap<Name, Group>,
}

impl Router {
    /// Creates a router without upstreams. `seed` must differ between entries.
    pub fn new(limits: Limits, seed: u64) -> Router {
        Router {
            limits,
            random_state: seed,
            upstreams: Vec::new(),
            indices: BTreeMap::new(),
            holders: Holders::default(),
            bases: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Applies the upstreams of a configuration.
    pub fn on_config(&mut self, config: &Config) {
        let known: Vec<_> = self.indices.keys().copied().collect();
        for id in known.into_iter().filter(|&id| config.upstreams.get(id).is_none()) {
            self.remove_upstream(id);
        }
        let zones: BTreeSet<&Name> = config.upstreams.iter().map(|(_, row)| &row.zone).collect();
        let zones: BTreeMap<&Name, u16> = zones.into_iter().zip(0..).collect();
        self.bases.values_mut().for_each(|group| group.members.clear());
        self.services.values_mut().for_each(|group| group.members.clear());
        for (id, row) in config.upstreams.iter() {
            self.set_upstream(id, row, zones[&row.zone]);
        }
        self.bases.retain(|_, group| !group.members.is_empty());
        self.services.retain(|_, group| !group.members.is_empty());
    }

    /// Applies a report; one that is not newer than the last is ignored.
    pub fn on_report(&mut self, upstream: UpstreamId, report: &Report) {
        let Some(&index) = self.indices.get(&upstream) else { return };
        let state =
            self.upstreams[usize::from(index)].as_mut().expect("indices lists occupied positions");
        if !state.update_load(report) {
            return;
        }
        let mut loaded = report.loaded.clone();
        loaded.sort_unstable();
        loaded.dedup();
        let before = std::mem::replace(&mut state.loaded, loaded);
        let after = &state.loaded;
        for version in &before {
            if after.binary_search(version).is_err() {
                self.holders.remove(*version, index);
            }
        }
        for version in after {
            if before.binary_search(version).is_err() {
                self.holders.add_reported(*version, index);
            }
        }
    }

    /// Records that an upstream failed to load `version`. The upstream no longer
    /// counts as a holder unless a report has shown the version there.
    pub fn on_load_failed(&mut self, upstream: UpstreamId, version: VersionId) {
        if let Some(&index) = self.indices.get(&upstream) {
            self.holders.remove_expected(version, index);
        }
    }

    /// Records whether connections to an upstream's daemon succeed.
    pub fn set_reachable(&mut self, upstream: UpstreamId, reachable: bool) {
        if let Some(&index) = self.indices.get(&upstream) {
            let state = self.upstreams[usize::from(index)].as_mut();
            state.expect("indices lists occupied positions").reachable = reachable;
        }
    }

    /// Chooses the upstream for a request, or returns `None` if every upstream of
    /// `base` is leaving, unreachable or in `tried`.
    pub fn choose(
        &mut self,
        now: Instant,
        version: VersionId,
        base: &Name,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        self.holders.expire(now);
        let bound = self.load_bound(now, base);
        let holding = self.usable_holders(version, base, tried);
        let index = match self.pick_less_loaded(&holding) {
            Some(index) if self.is_acceptable(index, bound) => index,
            picked => match self.choose_replica(version, base, &holding, tried) {
                Some(replica) if self.is_acceptable(replica, bound) => replica,
                best => picked.or(best)?,
            },
        };
        self.holders.add_expected(version, index, now + self.limits.load_timeout);
        Some(self.upstream(index)?.id)
    }

    /// Chooses the less loaded of two random upstreams of a plain service.
    pub fn choose_service(&mut self, service: &Name, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let group = self.services.get(service)?;
        let usable: Vec<UpstreamIndex> =
            group.members.iter().copied().filter(|&index| self.is_usable(index, tried)).collect();
        let index = self.pick_less_loaded(&usable)?;
        Some(self.upstream(index)?.id)
    }

    /// Counts a request as in flight at `upstream` until the guard is dropped.
    pub fn begin(&self, upstream: UpstreamId) -> Option<InFlight> {
        Some(self.upstream(*self.indices.get(&upstream)?)?.begin())
    }

    /// Returns the number of this entry's requests in flight at `upstream`.
    pub fn in_flight(&self, upstream: UpstreamId) -> u32 {
        let index = self.indices.get(&upstream);
        index.and_then(|&index| self.upstream(index)).map_or(0, UpstreamState::in_flight)
    }

    /// Returns the upstreams that hold `version` or are expected to load it.
    pub fn holders(&self, version: VersionId) -> Vec<UpstreamId> {
        let upstreams =
            self.holders.get(version).iter().filter_map(|holder| self.upstream(holder.index));
        upstreams.map(|state| state.id).collect()
    }

    /// Returns whether a request would start immediately at the upstream, or wait
    /// about as long as at any other.
    fn is_acceptable(&self, index: UpstreamIndex, bound: u32) -> bool {
        self.upstream(index).is_some_and(|state| state.load() <= bound || state.has_free_capacity())
    }

    fn upstream(&self, index: UpstreamIndex) -> Option<&UpstreamState> {
        self.upstreams[usize::from(index)].as_ref()
    }

    fn load(&self, index: UpstreamIndex) -> u32 {
        self.upstream(index).map_or(u32::MAX, UpstreamState::load)
    }

    fn is_usable(&self, index: UpstreamIndex, tried: &[UpstreamId]) -> bool {
        self.upstream(index).is_some_and(|state| state.is_usable() && !tried.contains(&state.id))
    }

    /// Returns the usable upstreams of `base` that hold `version`.
    fn usable_holders(
        &self,
        version: VersionId,
        base: &Name,
        tried: &[UpstreamId],
    ) -> Vec<UpstreamIndex> {
        let Some(group) = self.bases.get(base) else { return Vec::new() };
        let indices = self.holders.get(version).iter().map(|holder| holder.index);
        indices
            .filter(|index| self.is_usable(*index, tried))
            .filter(|index| group.members.binary_search(index).is_ok())
            .collect()
    }

    /// Returns the number of requests up to which a load is not much above the
    /// mean of `base`. The value is cached for [`LOAD_BOUND_MAX_AGE`].
    fn load_bound(&mut self, now: Instant, base: &Name) -> u32 {
        let Some(group) = self.bases.get(base) else { return 0 };
        if group.bound_at.is_some_and(|at| now.since(at) < LOAD_BOUND_MAX_AGE) {
            return group.load_bound;
        }
        let upstreams = group.members.iter().filter_map(|&index| self.upstream(index));
        let loads =
            upstreams.filter(|state| state.is_usable()).map(|state| u64::from(state.load()));
        let (count, sum) = loads.fold((0u64, 0u64), |(count, sum), load| (count + 1, sum + load));
        let mean = sum as f64 / count.max(1) as f64;
        let bound = (mean * self.limits.load_ratio) as u32 + self.limits.load_slack;
        let group = self.bases.get_mut(base).expect("the group was found above");
        group.load_bound = bound;
        group.bound_at = Some(now);
        bound
    }

    /// Picks two random candidates and returns the less loaded one.
    fn pick_less_loaded(&mut self, candidates: &[UpstreamIndex]) -> Option<UpstreamIndex> {
        let (one, other) = match candidates {
            [] => return None,
            [only] => return Some(*only),
            [one, other] => (*one, *other),
            _ => {
                let first = self.random_below(candidates.len());
                let second =
                    (first + 1 + self.random_below(candidates.len() - 1)) % candidates.len();
                (candidates[first], candidates[second])
            }
        };
        Some(if self.load(other) < self.load(one) { other } else { one })
    }

    /// Returns a pseudo-random number below `bound`.
    fn random_below(&mut self, bound: usize) -> usize {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random_state) % bound as u64) as usize
    }

    /// Chooses the upstream for another replica of `version`: the one with the
    /// highest rendezvous score, preferring acceptable upstreams and then zones
    /// without a replica.
    fn choose_replica(
        &self,
        version: VersionId,
        base: &Name,
        holding: &[UpstreamIndex],
        tried: &[UpstreamId],
    ) -> Option<UpstreamIndex> {
        let group = self.bases.get(base)?;
        let zones: Vec<u16> = holding
            .iter()
            .filter_map(|&index| self.upstream(index))
            .map(|state| state.zone)
            .collect();
        let key = |&index: &UpstreamIndex| {
            let state = self.upstream(index)?;
            if !state.is_usable() || tried.contains(&state.id) || holding.contains(&index) {
                return None;
            }
            let new_zone = !zones.contains(&state.zone);
            Some((
                self.is_acceptable(index, group.load_bound),
                new_zone,
                rendezvous_score(version, state.id),
                index,
            ))
        };
        let (.., index) = group.members.iter().filter_map(key).max()?;
        Some(index)
    }

    /// Adds or updates an upstream and adds it to its group.
    fn set_upstream(&mut self, id: UpstreamId, row: &Upstream, zone: u16) {
        let index = match self.indices.get(&id) {
            Some(&index) => index,
            None => self.assign_index(id),
        };
        let state = self.upstreams[usize::from(index)]
            .get_or_insert_with(|| UpstreamState::new(id, zone, false));
        state.zone = zone;
        state.leaving = row.leaving;
        let group = match &row.serves {
            Serves::Model { base, .. } => self.bases.entry(base.clone()).or_default(),
            Serves::Service { service } => self.services.entry(service.clone()).or_default(),
        };
        let at = group.members.partition_point(|&other| other < index);
        group.members.insert(at, index);
    }

    /// Assigns the first free index to a new upstream.
    fn assign_index(&mut self, id: UpstreamId) -> UpstreamIndex {
        let at = self.upstreams.iter().position(Option::is_none).unwrap_or_else(|| {
            self.upstreams.push(None);
            self.upstreams.len() - 1
        });
        let index = UpstreamIndex::try_from(at).expect("a fleet has fewer than 65,536 upstreams");
        self.indices.insert(id, index);
        index
    }

    fn remove_upstream(&mut self, id: UpstreamId) {
        let Some(index) = self.indices.remove(&id) else { return };
        self.holders.remove_upstream(index);
        self.upstreams[usize::from(index)] = None;
    }
}
