//! The router of one entry.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    group::{Group, rank},
    holders::{Holders, Place},
    peer::{InFlight, Peer, Report},
};
use crate::{
    config::model::{Config, Serves, Upstream},
    id::{Name, UpstreamId, VersionId},
    random::mix,
    time::{Instant, Span},
};

/// Age up to which the bound on load is used again; working it out reads
/// every upstream.
const BOUND_AGE: Span = Span::from_millis(20);

/// Parameters of a [`Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Load above the mean, as a factor, from which an upstream is passed over
    /// unless it has places free.
    pub load_ratio: f64,
    /// Requests on top of `bound`; with little load a factor says nothing.
    pub load_slack: u32,
    /// How long a load that was caused may go without being reported.
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
    /// State of the generator that picks the two holders to compare.
    seed: u64,
    /// Upstreams; a place is used again only after its upstream was removed.
    peers: Vec<Option<Peer>>,
    /// Invariant: names exactly the occupied places of `peers`.
    places: BTreeMap<UpstreamId, Place>,
    holders: Holders,
    bases: BTreeMap<Name, Group>,
    services: BTreeMap<Name, Group>,
}

impl Router {
    /// A router that knows no upstream. `seed` differs between entries.
    pub fn new(limits: Limits, seed: u64) -> Router {
        Router {
            limits,
            seed,
            peers: Vec::new(),
            places: BTreeMap::new(),
            holders: Holders::default(),
            bases: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Takes the upstreams of a configuration.
    pub fn on_config(&mut self, config: &Config) {
        let gone: Vec<_> = self.places.keys().copied().collect();
        for id in gone.into_iter().filter(|&id| config.upstreams.get(id).is_none()) {
            self.remove(id);
        }
        let zones: BTreeSet<&Name> = config.upstreams.iter().map(|(_, row)| &row.zone).collect();
        let zones: BTreeMap<&Name, u16> = zones.into_iter().zip(0..).collect();
        self.bases.values_mut().for_each(|group| group.places.clear());
        self.services.values_mut().for_each(|group| group.places.clear());
        for (id, row) in config.upstreams.iter() {
            self.set(id, row, zones[&row.zone]);
        }
        self.bases.retain(|_, group| !group.places.is_empty());
        self.services.retain(|_, group| !group.places.is_empty());
    }

    /// Takes a report; one older than the last is ignored.
    pub fn on_report(&mut self, upstream: UpstreamId, report: &Report) {
        let Some(&place) = self.places.get(&upstream) else { return };
        let peer = self.peers[usize::from(place)].as_mut().expect("places names occupied ones");
        if !peer.take(report) {
            return;
        }
        let mut loaded = report.loaded.clone();
        loaded.sort_unstable();
        loaded.dedup();
        let before = std::mem::replace(&mut peer.loaded, loaded);
        let after = &peer.loaded;
        for version in &before {
            if after.binary_search(version).is_err() {
                self.holders.remove(*version, place);
            }
        }
        for version in after {
            if before.binary_search(version).is_err() {
                self.holders.add(*version, place);
            }
        }
    }

    /// Notes that an upstream could not load `version`: requests for it go
    /// elsewhere until a report shows it there.
    pub fn on_load_failed(&mut self, upstream: UpstreamId, version: VersionId) {
        if let Some(&place) = self.places.get(&upstream) {
            self.holders.unexpect(version, place);
        }
    }

    /// Notes whether connections to an upstream's daemon succeed.
    pub fn set_reachable(&mut self, upstream: UpstreamId, reachable: bool) {
        if let Some(&place) = self.places.get(&upstream) {
            let peer = self.peers[usize::from(place)].as_mut();
            peer.expect("places names occupied ones").reachable = reachable;
        }
    }

    /// The upstream for a request, or `None` when every upstream of `base` is
    /// leaving, out of reach or in `tried`.
    pub fn choose(
        &mut self,
        now: Instant,
        version: VersionId,
        base: &Name,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        self.holders.sweep(now);
        let bound = self.bound(now, base);
        let holding = self.holding(version, base, tried);
        let place = match self.pick(&holding) {
            Some(place) if self.fits(place, bound) => place,
            picked => match self.rendezvous(version, base, &holding, tried) {
                Some(copy) if self.fits(copy, bound) => copy,
                best => picked.or(best)?,
            },
        };
        self.holders.expect(version, place, now + self.limits.load_timeout);
        Some(self.peer(place)?.id)
    }

    /// The less loaded of two upstreams of a plain service.
    pub fn choose_service(&mut self, service: &Name, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let group = self.services.get(service)?;
        let usable: Vec<Place> =
            group.places.iter().copied().filter(|&place| self.is_usable(place, tried)).collect();
        let place = self.pick(&usable)?;
        Some(self.peer(place)?.id)
    }

    /// Counts a request as in flight at `upstream` until the guard is dropped.
    pub fn begin(&self, upstream: UpstreamId) -> Option<InFlight> {
        Some(self.peer(*self.places.get(&upstream)?)?.begin())
    }

    /// Own requests in flight at `upstream`.
    pub fn in_flight(&self, upstream: UpstreamId) -> u32 {
        let place = self.places.get(&upstream);
        place.and_then(|&place| self.peer(place)).map_or(0, Peer::in_flight)
    }

    /// Upstreams that hold `version` or are expected to load it.
    pub fn holders(&self, version: VersionId) -> Vec<UpstreamId> {
        let peers = self.holders.of(version).iter().filter_map(|held| self.peer(held.place));
        peers.map(|peer| peer.id).collect()
    }

    /// Whether a request at `place` starts at once, or waits about as long as
    /// anywhere.
    fn fits(&self, place: Place, bound: u32) -> bool {
        self.peer(place).is_some_and(|peer| peer.load() <= bound || peer.has_room())
    }

    fn peer(&self, place: Place) -> Option<&Peer> {
        self.peers[usize::from(place)].as_ref()
    }

    fn load(&self, place: Place) -> u32 {
        self.peer(place).map_or(u32::MAX, Peer::load)
    }

    fn is_usable(&self, place: Place, tried: &[UpstreamId]) -> bool {
        self.peer(place).is_some_and(|peer| peer.is_usable() && !tried.contains(&peer.id))
    }

    /// Usable upstreams of `base` that hold `version`.
    fn holding(&self, version: VersionId, base: &Name, tried: &[UpstreamId]) -> Vec<Place> {
        let Some(group) = self.bases.get(base) else { return Vec::new() };
        let places = self.holders.of(version).iter().map(|holder| holder.place);
        places
            .filter(|place| self.is_usable(*place, tried))
            .filter(|place| group.places.binary_search(place).is_ok())
            .collect()
    }

    /// Load that is not much above the mean of `base`, worked out anew after a
    /// while.
    fn bound(&mut self, now: Instant, base: &Name) -> u32 {
        let Some(group) = self.bases.get(base) else { return 0 };
        if group.bounded.is_some_and(|at| now.since(at) < BOUND_AGE) {
            return group.bound;
        }
        let peers = group.places.iter().filter_map(|&place| self.peer(place));
        let loads = peers.filter(|peer| peer.is_usable()).map(|peer| u64::from(peer.load()));
        let (count, sum) = loads.fold((0u64, 0u64), |(count, sum), load| (count + 1, sum + load));
        let mean = sum as f64 / count.max(1) as f64;
        let bound = (mean * self.limits.load_ratio) as u32 + self.limits.load_slack;
        let group = self.bases.get_mut(base).expect("the group was found above");
        group.bound = bound;
        group.bounded = Some(now);
        bound
    }

    /// The less loaded of two places drawn from `places`.
    fn pick(&mut self, places: &[Place]) -> Option<Place> {
        let (one, other) = match places {
            [] => return None,
            [only] => return Some(*only),
            [one, other] => (*one, *other),
            _ => {
                let first = self.draw(places.len());
                let second = (first + 1 + self.draw(places.len() - 1)) % places.len();
                (places[first], places[second])
            }
        };
        Some(if self.load(other) < self.load(one) { other } else { one })
    }

    fn draw(&mut self, below: usize) -> usize {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.seed) % below as u64) as usize
    }

    /// The place for one more copy of `version`: of those a request fits, else
    /// of all, the one of highest rank, in a zone without a copy if there is.
    fn rendezvous(
        &self,
        version: VersionId,
        base: &Name,
        holding: &[Place],
        tried: &[UpstreamId],
    ) -> Option<Place> {
        let group = self.bases.get(base)?;
        let taken: Vec<u16> =
            holding.iter().filter_map(|&place| self.peer(place)).map(|peer| peer.zone).collect();
        let key = |&place: &Place| {
            let peer = self.peer(place)?;
            if !peer.is_usable() || tried.contains(&peer.id) || holding.contains(&place) {
                return None;
            }
            let fresh = !taken.contains(&peer.zone);
            Some((self.fits(place, group.bound), fresh, rank(version, peer.id), place))
        };
        let (.., place) = group.places.iter().filter_map(key).max()?;
        Some(place)
    }

    fn set(&mut self, id: UpstreamId, row: &Upstream, zone: u16) {
        let place = match self.places.get(&id) {
            Some(&place) => place,
            None => self.insert(id),
        };
        let peer = self.peers[usize::from(place)].get_or_insert_with(|| Peer::new(id, zone, false));
        peer.zone = zone;
        peer.leaving = row.leaving;
        let group = match &row.serves {
            Serves::Model { base, .. } => self.bases.entry(base.clone()).or_default(),
            Serves::Service { service } => self.services.entry(service.clone()).or_default(),
        };
        let at = group.places.partition_point(|&other| other < place);
        group.places.insert(at, place);
    }

    fn insert(&mut self, id: UpstreamId) -> Place {
        let at = self.peers.iter().position(Option::is_none).unwrap_or_else(|| {
            self.peers.push(None);
            self.peers.len() - 1
        });
        let place = Place::try_from(at).expect("a fleet has fewer than 65,536 upstreams");
        self.places.insert(id, place);
        place
    }

    fn remove(&mut self, id: UpstreamId) {
        let Some(place) = self.places.remove(&id) else { return };
        self.holders.remove_place(place);
        self.peers[usize::from(place)] = None;
    }
}
