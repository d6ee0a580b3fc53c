//! Which request runs next on one engine, fair over organisations.
//!
//! Each organisation waits in a lane of its own, with a counter of the tokens
//! it has used. The lane with the smallest counter goes first, so what an
//! organisation sends beyond its part only makes its own lane longer. Within
//! a lane the oldest request whose adapter is loaded goes first.
//!
//! Whatever cannot be served is handed back at once as a [`GivenUp`]: when
//! the deadline is out of reach, the queue is full, or a load failed.

mod entry;
mod lane;
mod pace;

use std::collections::{BTreeMap, BTreeSet};

pub use self::entry::{Entry, GivenUp, Wait};
use self::{lane::Lane, pace::Pace};
use crate::{
    id::{OrganisationId, RequestId, VersionId},
    time::{Instant, Span},
    wire::error::Code,
};

/// Shortest time to come back: sooner, nothing has changed.
const RETRY_MIN: Span = Span::from_secs(1);

/// The estimate of a wait is halved before a request is refused for it: one
/// refused wrongly costs more than one given up on a little later.
const ESTIMATE_DIVISOR: u64 = 2;

/// Bounds of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests that wait.
    pub max_waiting: usize,
    /// Least time between a start and a useful answer.
    pub min_runtime: Span,
    /// Most tokens that a lane may lag behind the lane served last. Without
    /// it, a lane held up by loads would afterwards take every place.
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
    /// Tokens known to be used. Invariant: at most `charged`.
    used: u64,
}

/// The requests that wait for one version.
#[derive(Debug)]
struct Waiting {
    organisation: OrganisationId,
    /// Oldest first.
    requests: BTreeSet<(Instant, RequestId)>,
}

/// The requests that wait for one engine, and the tokens of those that run.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    /// A lane stays while it waits, runs, or has used more than `floor`; a new
    /// one would equal any other.
    lanes: BTreeMap<OrganisationId, Lane>,
    /// Waiting requests by version. Invariant: holds exactly the entries of
    /// all lanes, and no empty set.
    versions: BTreeMap<VersionId, Waiting>,
    running: BTreeMap<RequestId, Running>,
    /// Counter of the lane served last; it only grows. A lane that starts to
    /// wait is lifted to it: time without requests earns nothing.
    floor: u64,
    pace: Pace,
    /// Invariant: the number of entries in all lanes.
    len: usize,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Queue {
        Queue {
            limits,
            lanes: BTreeMap::new(),
            versions: BTreeMap::new(),
            running: BTreeMap::new(),
            floor: 0,
            pace: Pace::default(),
            len: 0,
        }
    }

    /// Takes `entry` in, and hands back the request that has no place: the
    /// entry itself, or the newest of the longest lane when the queue is full
    /// and that lane is another organisation's.
    ///
    /// A request that is here already, as after an entry lost sight of its
    /// first attempt, is not taken a second time: the two would share one
    /// charge and one pin, and one's end would free the other's.
    pub fn push(&mut self, now: Instant, entry: Entry) -> Option<GivenUp> {
        if self.holds(&entry) {
            return Some(GivenUp::new(entry, Code::OutcomeUnknown, RETRY_MIN));
        }
        let estimate = self.estimate(entry.organisation);
        let soonest = now + Span::from_micros(estimate.as_micros() / ESTIMATE_DIVISOR);
        if soonest + self.limits.min_runtime > entry.deadline {
            return Some(GivenUp::new(entry, Code::Deadline, estimate.max(RETRY_MIN)));
        }
        let pushed_out = match self.len >= self.limits.max_waiting {
            true => match self.longest(entry.organisation) {
                Some(longest) => self.take_newest(longest),
                None => return Some(self.overloaded(entry)),
            },
            false => None,
        };
        self.insert(entry);
        pushed_out.map(|other| self.overloaded(other))
    }

    /// Starts the next request whose version is `ready`, and charges the
    /// tokens expected of it.
    pub fn start_next(
        &mut self,
        now: Instant,
        mut ready: impl FnMut(VersionId) -> bool,
    ) -> Option<Entry> {
        let latest = now + self.limits.min_runtime;
        let found = self.fair_order().into_iter().find_map(|organisation| {
            let lane = self.lanes.get(&organisation)?;
            let fits = |entry: &Entry| entry.deadline >= latest && ready(entry.version);
            lane.waiting.iter().position(fits).map(|at| (organisation, at))
        });
        let (organisation, at) = found?;
        let entry = self.take(organisation, at)?;
        let lane = self.lanes.get_mut(&organisation).expect("take keeps the lane");
        lane.counter = lane.counter.max(self.floor.saturating_sub(self.limits.max_lag));
        self.floor = self.floor.max(lane.counter);
        lane.counter += entry.tokens;
        lane.running += 1;
        let running = Running { organisation, charged: entry.tokens, used: 0 };
        self.running.insert(entry.request, running);
        self.pace.started(now, self.len > 0);
        Some(entry)
    }

    /// Counts `count` more tokens of a running request. What goes beyond the
    /// expectation is charged now, not only at the end.
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

    /// Takes out a waiting request whose caller is gone.
    pub fn cancel(&mut self, request: RequestId) -> Option<Entry> {
        let found = self.lanes.iter().find_map(|(&organisation, lane)| {
            let at = lane.waiting.iter().position(|entry| entry.request == request)?;
            Some((organisation, at))
        });
        let (organisation, at) = found?;
        self.take(organisation, at)
    }

    /// Gives up on every request that can no longer meet its deadline, by the
    /// clock or by its place in its lane and the pace of starts. Held until
    /// the clock decides, its caller would learn of it when it is too late to
    /// go elsewhere.
    pub fn expire(&mut self, now: Instant) -> Vec<GivenUp> {
        let floor = self.floor;
        self.lanes.retain(|_, lane| !lane.is_idle() || lane.counter > floor);
        let hopeless: BTreeSet<RequestId> = self.hopeless(now).collect();
        if hopeless.is_empty() {
            return Vec::new();
        }
        self.give_up(Code::Deadline, |entry| hopeless.contains(&entry.request))
    }

    /// Gives up on every request for `version`, whose load failed.
    pub fn fail(&mut self, version: VersionId, retry_after: Span) -> Vec<GivenUp> {
        let mut failed = self.give_up(Code::LoadFailed, |entry| entry.version == version);
        for given_up in &mut failed {
            given_up.retry_after = retry_after;
        }
        failed
    }

    /// Gives up on every waiting request, because the daemon stops.
    pub fn close(&mut self) -> Vec<GivenUp> {
        self.give_up(Code::Stopping, |_| true)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The versions that requests wait for, loaded or not.
    pub fn waits(&self) -> Vec<Wait> {
        let wait = |(&version, waiting): (&VersionId, &Waiting)| {
            let &(oldest, _) = waiting.requests.first()?;
            let (organisation, count) = (waiting.organisation, waiting.requests.len() as u32);
            Some(Wait { version, organisation, count, oldest })
        };
        self.versions.iter().filter_map(wait).collect()
    }

    /// The earliest point at which the clock alone puts a deadline out of reach.
    pub fn next_expiry(&self) -> Option<Instant> {
        let entries = self.lanes.values().flat_map(|lane| &lane.waiting);
        let first = entries.map(|entry| entry.deadline).min()?;
        Some(first - self.limits.min_runtime + Span::from_micros(1))
    }

    /// Tokens charged to an organisation beyond the least it can have.
    pub fn counter(&self, organisation: OrganisationId) -> u64 {
        self.lanes.get(&organisation).map_or(self.floor, |lane| lane.counter)
    }

    /// How long a new request of `organisation` would wait: its lane gets one
    /// start in as many as there are lanes.
    pub fn estimate(&self, organisation: OrganisationId) -> Span {
        let own = self.lanes.get(&organisation).map_or(0, |lane| lane.waiting.len());
        self.wait(own, self.busy_lanes())
    }

    fn holds(&self, entry: &Entry) -> bool {
        let lane = self.lanes.get(&entry.organisation);
        let mut waiting = lane.into_iter().flat_map(|lane| &lane.waiting);
        self.running.contains_key(&entry.request)
            || waiting.any(|other| other.request == entry.request)
    }

    fn hopeless(&self, now: Instant) -> impl Iterator<Item = RequestId> {
        let lanes = self.busy_lanes();
        self.lanes.values().flat_map(move |lane| {
            lane.waiting.iter().enumerate().filter_map(move |(at, entry)| {
                let soonest = now + self.soonest(at, lanes);
                (soonest + self.limits.min_runtime > entry.deadline).then_some(entry.request)
            })
        })
    }

    /// The least time until the entry at `at` of its lane may start.
    fn soonest(&self, at: usize, lanes: usize) -> Span {
        Span::from_micros(self.wait(at, lanes).as_micros() / ESTIMATE_DIVISOR)
    }

    /// The mean time until the entry at `at` of its lane starts.
    fn wait(&self, at: usize, lanes: usize) -> Span {
        let ahead = (at * lanes).min(self.len) as u64;
        Span::from_micros(self.pace.interval().as_micros() * ahead)
    }

    fn busy_lanes(&self) -> usize {
        self.lanes.values().filter(|lane| !lane.waiting.is_empty()).count()
    }

    fn overloaded(&self, entry: Entry) -> GivenUp {
        let retry_after = self.estimate(entry.organisation).max(RETRY_MIN);
        GivenUp::new(entry, Code::Overloaded, retry_after)
    }

    /// Organisations with waiting requests, the next to be served first. The
    /// older request decides between equal counters, not the smaller key.
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

    /// The organisation with the longest lane, unless a new request would
    /// make the lane of `newcomer` as long.
    fn longest(&self, newcomer: OrganisationId) -> Option<OrganisationId> {
        let own = self.lanes.get(&newcomer).map_or(0, |lane| lane.waiting.len());
        let lengths = self.lanes.iter().map(|(&id, lane)| (lane.waiting.len(), id));
        let (length, id) = lengths.max()?;
        (length > own + 1).then_some(id)
    }

    fn insert(&mut self, entry: Entry) {
        let lane = self.lanes.entry(entry.organisation).or_default();
        if lane.waiting.is_empty() {
            lane.counter = lane.counter.max(self.floor);
        }
        let none = Waiting { organisation: entry.organisation, requests: BTreeSet::new() };
        let waiting = self.versions.entry(entry.version).or_insert(none);
        waiting.requests.insert((entry.enqueued, entry.request));
        lane.waiting.push_back(entry);
        self.len += 1;
    }

    fn take_newest(&mut self, organisation: OrganisationId) -> Option<Entry> {
        let newest = self.lanes.get(&organisation)?.waiting.len().checked_sub(1)?;
        self.take(organisation, newest)
    }

    fn take(&mut self, organisation: OrganisationId, at: usize) -> Option<Entry> {
        let entry = self.lanes.get_mut(&organisation)?.waiting.remove(at)?;
        self.unindex(&entry);
        Some(entry)
    }

    fn unindex(&mut self, entry: &Entry) {
        let waiting = self.versions.get_mut(&entry.version).expect("every entry is indexed");
        waiting.requests.remove(&(entry.enqueued, entry.request));
        if waiting.requests.is_empty() {
            self.versions.remove(&entry.version);
        }
        self.len -= 1;
    }

    fn give_up(&mut self, code: Code, mut gone: impl FnMut(&Entry) -> bool) -> Vec<GivenUp> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            taken.extend(lane.extract(&mut gone));
        }
        for entry in &taken {
            self.unindex(entry);
        }
        let given_up = taken.into_iter().map(|entry| {
            let retry_after = self.estimate(entry.organisation).max(RETRY_MIN);
            GivenUp::new(entry, code, retry_after)
        });
        given_up.collect()
    }
}
