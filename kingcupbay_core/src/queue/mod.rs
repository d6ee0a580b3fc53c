//! Fair queue of the requests for one engine.
//!
//! Each organisation has its own lane and a counter of the tokens it has used.
//! The lane with the smallest counter is served first, so requests beyond an
//! organisation's fair share only lengthen its own lane. Within a lane the
//! oldest request whose adapter is loaded goes first.
//!
//! A request that cannot be served is returned immediately as a [`GivenUp`]:
//! when its deadline cannot be met, the queue is full, a load failed or the
//! daemon stops.

mod entry;
mod interval;
mod lane;

use std::collections::{BTreeMap, BTreeSet};

pub use self::entry::{Entry, GivenUp, Wait};
use self::{interval::StartInterval, lane::Lane};
use crate::{
    id::{OrganisationId, RequestId, VersionId},
    time::{Instant, Span},
    wire::error::Code,
};

/// Minimum retry delay; the state of the queue hardly changes in less time.
const MIN_RETRY_AFTER: Span = Span::from_secs(1);

/// Divisor applied to an estimated wait before a request is refused because of
/// it. Refusing a request wrongly costs more than giving it up a little later,
/// so the estimate is halved.
const WAIT_ESTIMATE_DIVISOR: u64 = 2;

/// Limits of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Minimum time between a start and a useful answer.
    pub min_runtime: Span,
    /// Maximum number of tokens by which a lane's counter may lag behind the
    /// virtual time. Without this limit, a lane that was delayed by loads would
    /// afterwards be the only one served for as long.
    pub max_lag: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_waiting: 1024, min_runtime: Span::from_millis(50), max_lag: 20_000 }
    }
}

/// A request that was started and has not ended.
#[derive(Clone, Copy, Debug)]
struct Running {
    organisation: OrganisationId,
    /// Tokens charged to its lane so far.
    charged: u64,
    /// Tokens used so far. Invariant: at most `charged`.
    used: u64,
}

/// The requests that wait for one version.
#[derive(Debug)]
struct VersionWaiters {
    organisation: OrganisationId,
    /// Oldest first.
    requests: BTreeSet<(Instant, RequestId)>,
}

/// The requests waiting for one engine, and the token charges of running ones.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    /// Lanes by organisation. A lane is kept while it has waiting or running
    /// requests or its counter exceeds `virtual_time`; any other lane is
    /// equivalent to a new one.
    lanes: BTreeMap<OrganisationId, Lane>,
    /// Waiting requests by version. Invariant: holds exactly the entries of all
    /// lanes, and no empty set.
    versions: BTreeMap<VersionId, VersionWaiters>,
    running: BTreeMap<RequestId, Running>,
    /// Highest counter of a lane at its turn; it never decreases. The counter of
    /// a lane that becomes non-empty is raised to it, so that an organisation
    /// gains no credit while it sends no requests.
    virtual_time: u64,
    start_interval: StartInterval,
    /// Number of waiting requests. Invariant: equals the number of entries in all
    /// lanes.
    len: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Queue {
        Queue {
            limits,
            lanes: BTreeMap::new(),
            versions: BTreeMap::new(),
            running: BTreeMap::new(),
            virtual_time: 0,
            start_interval: StartInterval::default(),
            len: 0,
        }
    }

    /// Enqueues `entry` and returns the request that was refused or evicted, if
    /// any: the entry itself, or, when the queue is full, the newest request of
    /// the longest lane if another organisation's lane is longer.
    ///
    /// A request that already waits or runs here is refused. This happens when an
    /// entry daemon lost the connection of the first attempt. Both attempts would
    /// share one charge and one pin, and the end of one would release the other's.
    pub fn push(&mut self, now: Instant, entry: Entry) -> Option<GivenUp> {
        if self.contains(&entry) {
            return Some(GivenUp::new(entry, Code::OutcomeUnknown, MIN_RETRY_AFTER));
        }
        let estimate = self.estimate(entry.organisation);
        let earliest = now + Span::from_micros(estimate.as_micros() / WAIT_ESTIMATE_DIVISOR);
        if earliest + self.limits.min_runtime > entry.deadline {
            return Some(GivenUp::new(entry, Code::Deadline, estimate.max(MIN_RETRY_AFTER)));
        }
        let evicted = match self.len >= self.limits.max_waiting {
            true => match self.longest_other_lane(entry.organisation) {
                Some(longest) => self.remove_newest(longest),
                None => return Some(self.reject_overloaded(entry)),
            },
            false => None,
        };
        self.insert(entry);
        evicted.map(|other| self.reject_overloaded(other))
    }

    /// Removes and returns the next request to start, among those whose version
    /// is `ready` and whose deadline can still be met, and charges its expected
    /// tokens.
    pub fn start_next(
        &mut self,
        now: Instant,
        mut ready: impl FnMut(VersionId) -> bool,
    ) -> Option<Entry> {
        let min_deadline = now + self.limits.min_runtime;
        let found = self.fair_order().into_iter().find_map(|organisation| {
            let lane = self.lanes.get(&organisation)?;
            let fits = |entry: &Entry| entry.deadline >= min_deadline && ready(entry.version);
            lane.waiting.iter().position(fits).map(|at| (organisation, at))
        });
        let (organisation, at) = found?;
        let entry = self.remove(organisation, at)?;
        let lane = self.lanes.get_mut(&organisation).expect("remove keeps the lane");
        lane.counter = lane.counter.max(self.virtual_time.saturating_sub(self.limits.max_lag));
        self.virtual_time = self.virtual_time.max(lane.counter);
        lane.counter += entry.tokens;
        lane.running += 1;
        let running = Running { organisation, charged: entry.tokens, used: 0 };
        self.running.insert(entry.request, running);
        self.start_interval.record_start(now, self.len > 0);
        Some(entry)
    }

    /// Adds `count` used tokens to a running request. Tokens beyond the expected
    /// number are charged immediately instead of at the end.
    pub fn add_tokens(&mut self, request: RequestId, count: u64) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.used += count;
        let excess = running.used.saturating_sub(running.charged);
        running.charged += excess;
        if let Some(lane) = self.lanes.get_mut(&running.organisation) {
            lane.counter += excess;
        }
    }

    /// Ends a running request and corrects its charge to `actual` tokens.
    pub fn finish(&mut self, request: RequestId, actual: u64) {
        let Some(running) = self.running.remove(&request) else { return };
        let lane = self.lanes.get_mut(&running.organisation).expect("a running lane stays");
        lane.counter = (lane.counter + actual).saturating_sub(running.charged);
        lane.running -= 1;
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, request: RequestId) -> Option<Entry> {
        let found = self.lanes.iter().find_map(|(&organisation, lane)| {
            let at = lane.waiting.iter().position(|entry| entry.request == request)?;
            Some((organisation, at))
        });
        let (organisation, at) = found?;
        self.remove(organisation, at)
    }

    /// Removes and returns every request that can no longer meet its deadline,
    /// given the current time, its position in its lane and the mean start
    /// interval. If it were kept until the deadline, its caller would be notified
    /// too late to retry elsewhere.
    pub fn expire(&mut self, now: Instant) -> Vec<GivenUp> {
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.is_idle() || lane.counter > virtual_time);
        let expired: BTreeSet<RequestId> = self.find_expired(now).collect();
        if expired.is_empty() {
            return Vec::new();
        }
        self.give_up(Code::Deadline, |entry| expired.contains(&entry.request))
    }

    /// Removes and returns every waiting request for `version`, whose load failed.
    pub fn fail(&mut self, version: VersionId, retry_after: Span) -> Vec<GivenUp> {
        let mut failed = self.give_up(Code::LoadFailed, |entry| entry.version == version);
        for given_up in &mut failed {
            given_up.retry_after = retry_after;
        }
        failed
    }

    /// Removes and returns every waiting request because the daemon stops.
    pub fn close(&mut self) -> Vec<GivenUp> {
        self.give_up(Code::Stopping, |_| true)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the versions that requests wait for, loaded or not, in the order of
    /// their keys.
    pub fn waits(&self) -> Vec<Wait> {
        let wait = |(&version, waiting): (&VersionId, &VersionWaiters)| {
            let &(oldest, _) = waiting.requests.first()?;
            let (organisation, count) = (waiting.organisation, waiting.requests.len() as u32);
            Some(Wait { version, organisation, count, oldest })
        };
        self.versions.iter().filter_map(wait).collect()
    }

    /// Returns the earliest time at which a waiting request can no longer meet its
    /// deadline, even if it were started immediately.
    pub fn next_expiry(&self) -> Option<Instant> {
        let entries = self.lanes.values().flat_map(|lane| &lane.waiting);
        let first = entries.map(|entry| entry.deadline).min()?;
        Some(first - self.limits.min_runtime + Span::from_micros(1))
    }

    /// Returns the token counter of an organisation, which is the virtual time if
    /// it has no lane.
    pub fn counter(&self, organisation: OrganisationId) -> u64 {
        self.lanes.get(&organisation).map_or(self.virtual_time, |lane| lane.counter)
    }

    /// Estimates the wait of a new request of `organisation`, assuming that
    /// waiting lanes are served in turn.
    pub fn estimate(&self, organisation: OrganisationId) -> Span {
        let own = self.lanes.get(&organisation).map_or(0, |lane| lane.waiting.len());
        self.mean_wait(own, self.waiting_lanes())
    }

    fn contains(&self, entry: &Entry) -> bool {
        let lane = self.lanes.get(&entry.organisation);
        let mut waiting = lane.into_iter().flat_map(|lane| &lane.waiting);
        self.running.contains_key(&entry.request)
            || waiting.any(|other| other.request == entry.request)
    }

    /// Finds the requests that can no longer meet their deadlines.
    fn find_expired(&self, now: Instant) -> impl Iterator<Item = RequestId> {
        let lanes = self.waiting_lanes();
        self.lanes.values().flat_map(move |lane| {
            lane.waiting.iter().enumerate().filter_map(move |(at, entry)| {
                let earliest = now + self.min_wait(at, lanes);
                (earliest + self.limits.min_runtime > entry.deadline).then_some(entry.request)
            })
        })
    }

    /// Returns the minimum time until the entry at position `at` of its lane may
    /// start.
    fn min_wait(&self, at: usize, lanes: usize) -> Span {
        Span::from_micros(self.mean_wait(at, lanes).as_micros() / WAIT_ESTIMATE_DIVISOR)
    }

    /// Returns the mean time until the entry at position `at` of its lane starts.
    fn mean_wait(&self, at: usize, lanes: usize) -> Span {
        let ahead = (at * lanes).min(self.len) as u64;
        Span::from_micros(self.start_interval.mean().as_micros() * ahead)
    }

    /// Returns the number of lanes with waiting requests.
    fn waiting_lanes(&self) -> usize {
        self.lanes.values().filter(|lane| !lane.waiting.is_empty()).count()
    }

    fn reject_overloaded(&self, entry: Entry) -> GivenUp {
        let retry_after = self.estimate(entry.organisation).max(MIN_RETRY_AFTER);
        GivenUp::new(entry, Code::Overloaded, retry_after)
    }

    /// Returns the organisations with waiting requests in the order of service.
    /// Between equal counters the older request goes first, not the smaller key.
    fn fair_order(&self) -> Vec<OrganisationId> {
        let mut order: Vec<_> = self
            .lanes
            .iter()
            .filter_map(|(&organisation, lane)| {
                let front = lane.waiting.front()?;
                Some((lane.counter, front.enqueued, organisation))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, organisation)| organisation).collect()
    }

    /// Returns the organisation with the longest lane, unless a new request would
    /// make the lane of `newcomer` as long.
    fn longest_other_lane(&self, newcomer: OrganisationId) -> Option<OrganisationId> {
        let own = self.lanes.get(&newcomer).map_or(0, |lane| lane.waiting.len());
        let lengths = self.lanes.iter().map(|(&id, lane)| (lane.waiting.len(), id));
        let (length, id) = lengths.max()?;
        (length > own + 1).then_some(id)
    }

    fn insert(&mut self, entry: Entry) {
        let lane = self.lanes.entry(entry.organisation).or_default();
        if lane.waiting.is_empty() {
            lane.counter = lane.counter.max(self.virtual_time);
        }
        let none = VersionWaiters { organisation: entry.organisation, requests: BTreeSet::new() };
        let waiting = self.versions.entry(entry.version).or_insert(none);
        waiting.requests.insert((entry.enqueued, entry.request));
        lane.waiting.push_back(entry);
        self.len += 1;
    }

    fn remove_newest(&mut self, organisation: OrganisationId) -> Option<Entry> {
        let newest = self.lanes.get(&organisation)?.waiting.len().checked_sub(1)?;
        self.remove(organisation, newest)
    }

    fn remove(&mut self, organisation: OrganisationId, at: usize) -> Option<Entry> {
        let entry = self.lanes.get_mut(&organisation)?.waiting.remove(at)?;
        self.unindex(&entry);
        Some(entry)
    }

    /// Removes an entry from the index by version, and from the count.
    fn unindex(&mut self, entry: &Entry) {
        let waiting = self.versions.get_mut(&entry.version).expect("every entry is indexed");
        waiting.requests.remove(&(entry.enqueued, entry.request));
        if waiting.requests.is_empty() {
            self.versions.remove(&entry.version);
        }
        self.len -= 1;
    }

    /// Removes the entries for which `is_removed` returns true.
    fn give_up(&mut self, code: Code, mut is_removed: impl FnMut(&Entry) -> bool) -> Vec<GivenUp> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            removed.extend(lane.extract(&mut is_removed));
        }
        for entry in &removed {
            self.unindex(entry);
        }
        let given_up = removed.into_iter().map(|entry| {
            let retry_after = self.estimate(entry.organisation).max(MIN_RETRY_AFTER);
            GivenUp::new(entry, code, retry_after)
        });
        given_up.collect()
    }
}
