//! Origins of streams: the software that made the first event of each.
//!
//! Upstreams of different software may serve side by side, and a stream goes on only at the
//! software that began it. The caller who takes it up comes to any entry, also once the entry
//! that began it is gone. So while a service has engines of different software, an entry
//! reports the origin of each stream that it begins to [`KEEPERS`] others, which follow from the
//! stream's id. The entry that takes the stream up asks those. The sidecars of [`SIDECAR_KEEPERS`]
//! engines of its software, which follow from the id likewise, keep it for the case that all
//! entries are lost. While a service has one software only, origins are kept by the entry alone and
//! cost no message; they are reported once another software appears. That a service is mixed is
//! noted in the store, so that entries that start after the loss of all others do not take its
//! streams for those of the software left.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::{IpAddr, SocketAddr},
};

use crate::{
    deployment::{catalogue::Member, model::Instance},
    time::{Instant, Span},
    wire::origin::{Origin, OriginRecord, SoftwareId, StreamId},
};

/// How long an origin is kept, and how long a service counts as mixed once a software has
/// left. Longer than a stream and the retries of its caller last.
pub const KEPT_FOR: Span = Span::from_secs(60);

/// Number of other entries that keep the origin of a stream, so that one of them may fail.
pub const KEEPERS: usize = 2;

/// Number of engines of a stream's software whose sidecars keep its origin. Without one of these
/// engines the stream goes on nowhere.
pub const SIDECAR_KEEPERS: usize = 2;

/// Largest number of origins that a daemon keeps. The oldest are dropped first.
const STREAMS_MAX: usize = 200_000;

impl SoftwareId {
    /// Returns the id of the software with the version `text`.
    pub fn of(text: &str) -> SoftwareId {
        SoftwareId(hash(text))
    }
}

impl StreamId {
    /// Returns the id of the stream that `attempt` of a caller of `organisation` began.
    pub fn of(organisation: Option<&str>, attempt: &str) -> StreamId {
        StreamId(hash((organisation, attempt)))
    }
}

/// Which upstreams may run a request, by their software.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligible {
    /// All of them.
    Any,
    /// Those of the software that began the stream.
    Only(SoftwareId),
}

impl Eligible {
    /// Returns whether the upstream `row` may run the request.
    pub fn includes(self, row: &Instance) -> bool {
        match self {
            Eligible::Any => true,
            Eligible::Only(software) => software == row.software_id(),
        }
    }
}

/// A stream whose origin is known.
#[derive(Clone, Copy, Debug)]
struct Stream {
    origin: Origin,
    /// Whether this entry began it.
    own: bool,
    until: Instant,
}

/// Origins that an entry knows, and the software of each service.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// When each software of each service was last registered.
    seen: BTreeMap<String, BTreeMap<SoftwareId, Instant>>,
    /// Until when each service counts as mixed that was before this entry started.
    noted: BTreeMap<String, Instant>,
    streams: BTreeMap<StreamId, Stream>,
    /// Invariant: contains each stream once, at its `until`.
    expiry: BTreeSet<(Instant, StreamId)>,
}

impl Origins {
    /// Applies the registered upstreams. Returns the services that have become mixed.
    pub fn on_instances<'a>(
        &mut self,
        now: Instant,
        rows: impl Iterator<Item = &'a Instance>,
    ) -> Vec<String> {
        self.expire(now);
        let before: BTreeSet<String> = self.mixed(now).map(str::to_owned).collect();
        for row in rows {
            if !self.seen.contains_key(&row.service) {
                self.seen.insert(row.service.clone(), BTreeMap::new());
            }
            let service = self.seen.get_mut(&row.service).expect("inserted above");
            service.insert(row.software_id(), now);
        }
        self.mixed(now).filter(|name| !before.contains(*name)).map(str::to_owned).collect()
    }

    /// Returns the services that have had upstreams of different software within [`KEPT_FOR`].
    pub fn mixed(&self, now: Instant) -> impl Iterator<Item = &str> {
        let names: BTreeSet<&str> =
            self.seen.keys().chain(self.noted.keys()).map(String::as_str).collect();
        names.into_iter().filter(move |name| self.is_mixed(now, name))
    }

    /// Returns whether `service` has had upstreams of different software within [`KEPT_FOR`].
    pub fn is_mixed(&self, now: Instant, service: &str) -> bool {
        let seen = self.seen.get(service).into_iter().flatten();
        self.noted.get(service).is_some_and(|until| now < *until)
            || seen.filter(|(_, at)| now.since(**at) < KEPT_FOR).count() > 1
    }

    /// Records that `service` was mixed before this entry started. The entries that began its
    /// streams may all have ended since.
    pub fn on_note(&mut self, now: Instant, service: &str) {
        self.noted.insert(service.to_owned(), now + KEPT_FOR);
    }

    /// Records that this entry has forwarded the first event of `stream`, or taken it up.
    pub fn on_own(&mut self, now: Instant, stream: StreamId, software: SoftwareId) {
        self.insert(now, stream, software, true);
    }

    /// Applies what another entry reports.
    pub fn on_report(&mut self, now: Instant, record: OriginRecord) {
        self.insert(now, record.stream, record.software, false);
    }

    fn insert(&mut self, now: Instant, id: StreamId, software: SoftwareId, own: bool) {
        self.expire(now);
        let known = self.streams.get(&id).copied();
        if let Some(known) = known {
            self.expiry.remove(&(known.until, id));
        }
        let origin = known.map_or(Origin::Unknown, |known| known.origin);
        let until = now + KEPT_FOR;
        let stream = Stream {
            origin: origin.merge(Origin::Software(software)),
            own: own || known.is_some_and(|known| known.own),
            until,
        };
        self.streams.insert(id, stream);
        self.expiry.insert((until, id));
        if self.streams.len() > STREAMS_MAX
            && let Some((_, oldest)) = self.expiry.pop_first()
        {
            self.streams.remove(&oldest);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, id)) = self.expiry.first().filter(|(until, _)| *until <= now) {
            self.expiry.remove(&(until, id));
            self.streams.remove(&id);
        }
        for service in self.seen.values_mut() {
            service.retain(|_, at| now.since(*at) < KEPT_FOR);
        }
        self.seen.retain(|_, service| !service.is_empty());
        self.noted.retain(|_, until| now < *until);
    }

    /// Returns what this entry knows of the origin of `stream`.
    pub fn origin(&self, now: Instant, stream: StreamId) -> Origin {
        let known = self.streams.get(&stream).filter(|known| known.until > now);
        known.map_or(Origin::Unknown, |known| known.origin)
    }

    /// Returns the origins of this entry's own streams at the software of `service`.
    pub fn own_streams(&self, service: &str) -> Vec<OriginRecord> {
        let Some(seen) = self.seen.get(service) else { return Vec::new() };
        let own = self.streams.iter().filter(|(_, stream)| stream.own);
        let record = |(&stream, known): (&StreamId, &Stream)| match known.origin {
            Origin::Software(software) if seen.contains_key(&software) => {
                Some(OriginRecord { stream, software })
            }
            _ => None,
        };
        own.filter_map(record).collect()
    }

    /// Returns the number of known origins.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// Returns the entries, except the one on host `own`, that keep the origin of `stream` if `own`
/// begins it.
pub fn keepers<'a>(
    stream: StreamId,
    entries: impl Iterator<Item = &'a Member>,
    own: &str,
) -> Vec<SocketAddr> {
    let order = by_score(stream, entries);
    let others = order.into_iter().filter(|member| member.host != own);
    others.map(|member| member.address).take(KEEPERS).collect()
}

/// Returns the entries, except the one on host `own`, that may keep the origin of `stream`,
/// whichever entry began it.
pub fn possible_keepers<'a>(
    stream: StreamId,
    entries: impl Iterator<Item = &'a Member>,
    own: &str,
) -> Vec<SocketAddr> {
    // The entry that began it leaves itself out, so its last keeper may rank one lower.
    let order = by_score(stream, entries).into_iter().take(KEEPERS + 1);
    order.filter(|member| member.host != own).map(|member| member.address).collect()
}

/// Returns the hosts of the engines, of those in `rows`, whose sidecars keep the origin of `stream`
/// that `software` began.
pub fn sidecar_keepers<'a>(
    stream: StreamId,
    rows: impl Iterator<Item = &'a Instance>,
    software: SoftwareId,
) -> Vec<IpAddr> {
    let hosts = rows.filter(|row| row.software_id() == software).map(|row| row.address.ip());
    by_host_score(stream, hosts).take(SIDECAR_KEEPERS).collect()
}

/// Returns the hosts of the engines, of those in `rows`, whose sidecars may keep the origin of
/// `stream`, whichever software began it.
pub fn possible_sidecar_keepers<'a>(
    stream: StreamId,
    rows: impl Iterator<Item = &'a Instance>,
) -> BTreeSet<IpAddr> {
    let mut hosts = BTreeMap::<SoftwareId, Vec<IpAddr>>::new();
    for row in rows {
        hosts.entry(row.software_id()).or_default().push(row.address.ip());
    }
    // An engine that has joined since may rank first.
    let keepers = |hosts| by_host_score(stream, hosts).take(SIDECAR_KEEPERS + 1);
    hosts.into_values().map(Vec::into_iter).flat_map(keepers).collect()
}

fn by_host_score(
    stream: StreamId,
    hosts: impl Iterator<Item = IpAddr>,
) -> impl Iterator<Item = IpAddr> {
    let order: BTreeSet<(u64, IpAddr)> = hosts.map(|host| (hash((stream, host)), host)).collect();
    order.into_iter().map(|(_, host)| host)
}

fn by_score<'a>(stream: StreamId, entries: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut order: Vec<(u64, &Member)> =
        entries.map(|member| (hash((stream, &member.host)), member)).collect();
    order.sort_unstable_by_key(|(score, member)| (*score, &member.host));
    order.into_iter().map(|(_, member)| member).collect()
}

/// Returns the same value at all daemons of one build.
fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
