//! Requests that end one upstream after the other.
//!
//! An entry sends a request on when its upstream ends, and a caller tries again at another entry
//! under another attempt id. A request that ends whatever runs it would so end one upstream after
//! the other. Entries recognise it by a hash of what stays the same over its tries. The few
//! entries that keep the count of a request follow from that hash: who sees an upstream end under
//! a request reports that to them, and learns from their answers what others have seen. No
//! upstream gets the request after [`ENDS_MAX`] ends without a whole answer in between.
//!
//! Nothing is sent or looked up for a request while no upstream ends under it.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    time::{Instant, Span},
    wire::fatal::{RequestEnd, RequestEnds, RequestKey},
};

/// Ends of upstreams under a request after which no upstream gets it.
pub const ENDS_MAX: usize = 3;

/// How long an end counts. Longer than all tries of a request last.
pub const END_KEPT: Span = Span::from_secs(60);

/// Ends closer together than this under a request that several callers share count once: they
/// have a common cause, such as the loss of a rack. Tries of one caller end as close together.
const END_SPREAD: Span = Span::from_millis(10);

/// Ends of one upstream closer together than this are seen from several callers' requests: it
/// does not start again and end once more as fast.
const RESTART_TIME_MIN: Span = Span::from_millis(100);

/// Largest number of requests that are remembered. The oldest are dropped first.
const REQUESTS_MAX: usize = 10_000;

/// Largest number of requests whose whole answers are remembered. The oldest are dropped first.
const COMPLETED_MAX: usize = 20_000;

/// Ends remembered of one request.
const ENDS_KEPT_MAX: usize = 16;

/// What follows from another entry's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing new.
    Known,
    /// No upstream may get the request from now on.
    Refused,
    /// This entry knows of a whole answer since, which the other one does not.
    Cleared,
}

/// A try of a request at one process of an upstream, in hashes that are the same at all daemons of
/// one build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The request.
    pub request: RequestKey,
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// When its process started.
    pub born: u64,
    /// Hash of the id of the caller's attempt.
    pub attempt: u64,
}

impl Run {
    /// Returns the run of `attempt` of the request at the process of `upstream` that started at
    /// `born`.
    pub fn new(request: RequestKey, upstream: &str, born: u64, attempt: &str) -> Run {
        Run { request, upstream: hash(upstream), born, attempt: hash(attempt) }
    }
}

/// The end of an upstream under a request.
#[derive(Clone, Copy, Debug)]
struct End {
    /// Hash of the upstream's id.
    upstream: u64,
    at: Instant,
}

/// Ends of upstreams under one request.
#[derive(Clone, Debug, Default)]
struct Ends {
    /// By the id that their observer has given them.
    ends: BTreeMap<u64, End>,
    /// When the last whole answer ended.
    completed: Option<Instant>,
    /// When it was last heard of. Invariant: its place in `by_time`.
    updated: Instant,
}

impl Ends {
    /// Returns the number of ends since the last whole answer.
    fn count(&self, now: Instant) -> usize {
        let is_open = |end: &End| {
            let counts = self.completed.is_none_or(|completed| completed < end.at);
            counts && now.since(end.at) < END_KEPT
        };
        let mut open: Vec<End> = self.ends.values().copied().filter(is_open).collect();
        open.sort_unstable_by_key(|end| (end.at, end.upstream));
        // It was answered as a whole before, so that it is sound, or others send it, too.
        let is_shared = self.completed.is_some_and(|at| now.since(at) < END_KEPT);
        let mut counted: Vec<End> = Vec::new();
        for end in open {
            let is_same = |other: &End| {
                let least = match other.upstream == end.upstream {
                    true => RESTART_TIME_MIN,
                    false if is_shared => END_SPREAD,
                    false => Span::ZERO,
                };
                end.at.since(other.at) < least
            };
            if !counted.iter().any(is_same) {
                counted.push(end);
            }
        }
        counted.len()
    }
}

/// Requests under which upstreams have ended, as far as an entry knows.
#[derive(Clone, Debug, Default)]
pub struct FatalRequests {
    requests: BTreeMap<RequestKey, Ends>,
    /// Invariant: contains each of `requests` once, at its `updated`.
    by_time: BTreeSet<(Instant, RequestKey)>,
    /// When requests last got a whole answer from this entry. Callers may share a request.
    completed: BTreeMap<RequestKey, Instant>,
    /// Invariant: the entries of `completed` by time.
    completed_by_time: BTreeSet<(Instant, RequestKey)>,
}

impl FatalRequests {
    /// Returns whether no upstream has ended under any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of upstreams that have ended under the request since its last whole
    /// answer.
    pub fn ends(&self, now: Instant, request: RequestKey) -> usize {
        self.requests.get(&request).map_or(0, |known| known.count(now))
    }

    /// Returns whether no upstream may get the request any more.
    pub fn is_refused(&self, now: Instant, request: RequestKey) -> bool {
        self.ends(now, request) >= ENDS_MAX
    }

    /// Records that the upstream of `run` ended at `at` under it. Returns whether that is new.
    pub fn on_end(&mut self, now: Instant, at: Instant, run: Run) -> bool {
        let mut is_new = false;
        self.update(now, run.request, |known| {
            known.ends.entry(hash(run)).or_insert_with(|| {
                is_new = true;
                End { upstream: run.upstream, at }
            });
        });
        is_new
    }

    /// Records a whole answer to the request. Returns whether upstreams have ended under it
    /// before, so that other entries have to know.
    pub fn on_complete(&mut self, now: Instant, request: RequestKey) -> bool {
        if let Some(before) = self.completed.insert(request, now) {
            self.completed_by_time.remove(&(before, request));
        }
        self.completed_by_time.insert((now, request));
        let has_ended = self.ends(now, request) > 0;
        if has_ended {
            self.update(now, request, |_| {});
        }
        self.expire(now);
        has_ended
    }

    /// Applies what another entry knows.
    pub fn on_report(&mut self, now: Instant, report: RequestEnds) -> Applied {
        let was_refused = self.is_refused(now, report.request);
        let at = |age: Span| Instant::from_micros(now.as_micros().saturating_sub(age.as_micros()));
        let ends = report.ends.into_iter().filter(|(_, end)| end.age < END_KEPT);
        let ends: Vec<(u64, RequestEnd)> = ends.take(ENDS_KEPT_MAX).collect();
        if ends.is_empty() && !self.requests.contains_key(&report.request) {
            return Applied::Known;
        }
        let end = |(id, RequestEnd { upstream, age })| (id, End { upstream, at: at(age) });
        let reported = Ends {
            ends: ends.into_iter().map(end).collect(),
            completed: report.completed.map(at),
            updated: now,
        };
        let is_reported_refused = reported.count(now) >= ENDS_MAX;
        self.update(now, report.request, |known| {
            for (id, end) in reported.ends {
                known.ends.entry(id).or_insert(end);
            }
            known.completed = known.completed.max(reported.completed);
        });
        match self.is_refused(now, report.request) {
            true if !was_refused => Applied::Refused,
            false if is_reported_refused => Applied::Cleared,
            _ => Applied::Known,
        }
    }

    /// Returns what this entry knows of the requests with most ends, of `max` at most.
    pub fn reports(&self, now: Instant, max: usize) -> Vec<RequestEnds> {
        let mut open: Vec<(usize, RequestKey)> =
            self.requests.iter().map(|(&key, known)| (known.count(now), key)).collect();
        open.retain(|(ends, _)| *ends > 0);
        open.sort_unstable_by_key(|(ends, key)| (std::cmp::Reverse(*ends), *key));
        open.into_iter().take(max).map(|(_, key)| self.report(now, key)).collect()
    }

    /// Returns what this entry knows of the request, for others.
    pub fn report(&self, now: Instant, request: RequestKey) -> RequestEnds {
        let Some(known) = self.requests.get(&request) else {
            return RequestEnds { request, ..RequestEnds::default() };
        };
        RequestEnds {
            request,
            ends: known
                .ends
                .iter()
                .map(|(&id, end)| {
                    (id, RequestEnd { upstream: end.upstream, age: now.since(end.at) })
                })
                .collect(),
            completed: known.completed.map(|at| now.since(at)),
        }
    }

    fn update(&mut self, now: Instant, request: RequestKey, change: impl FnOnce(&mut Ends)) {
        let known = self.requests.entry(request).or_default();
        self.by_time.remove(&(known.updated, request));
        change(known);
        known.completed = known.completed.max(self.completed.get(&request).copied());
        while known.ends.len() > ENDS_KEPT_MAX {
            let oldest = known.ends.iter().min_by_key(|(id, end)| (end.at, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            known.ends.remove(&id);
        }
        known.updated = now;
        self.by_time.insert((now, request));
        self.expire(now);
    }

    /// Drops what is no longer of use.
    pub fn expire(&mut self, now: Instant) {
        let expired = |at: Instant| now.since(at) >= END_KEPT;
        while let Some(&(at, oldest)) = self.by_time.first()
            && (expired(at) || self.requests.len() > REQUESTS_MAX)
        {
            self.by_time.pop_first();
            self.requests.remove(&oldest);
        }
        while let Some(&(at, oldest)) = self.completed_by_time.first()
            && (expired(at) || self.completed.len() > COMPLETED_MAX)
        {
            self.completed_by_time.pop_first();
            self.completed.remove(&oldest);
        }
    }
}

/// Returns the hash of an upstream's id.
pub fn upstream_hash(id: &str) -> u64 {
    hash(id)
}

/// Returns the same value at all daemons of one build.
fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
