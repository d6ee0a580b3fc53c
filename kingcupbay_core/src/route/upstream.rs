//! State of one upstream as known to an entry.

use std::{cell::Cell, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::id::{UpstreamId, VersionId};

/// Number of concurrent requests assumed for an upstream that has not reported.
/// With zero, an adapter would get replicas as soon as two requests for it run.
const DEFAULT_CAPACITY: u32 = 8;

/// Load and resident versions of an upstream, as reported by its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Loaded versions in the order of their keys.
    pub loaded: Vec<VersionId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of requests that the engine runs concurrently.
    pub places: u32,
    /// Sequence number that increases with each report, also across restarts of
    /// the daemon.
    pub seq: u64,
}

/// A guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    count: Rc<Cell<u32>>,
    upstream: UpstreamId,
}

impl InFlight {
    /// Returns the upstream that the request was sent to.
    pub fn upstream(&self) -> UpstreamId {
        self.upstream
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// The state of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) id: UpstreamId,
    /// Index of its zone among the zones of all upstreams.
    pub(super) zone: u16,
    pub(super) leaving: bool,
    pub(super) reachable: bool,
    /// Requests of this entry in flight. Invariant: one per [`InFlight`].
    in_flight: Rc<Cell<u32>>,
    /// Requests of this entry in flight when the last report arrived.
    at_report: u32,
    /// Running and waiting requests according to the last report.
    reported: u32,
    /// Maximum number of concurrent requests according to the last report.
    capacity: u32,
    /// Sequence number of the last report.
    last_seq: u64,
    /// Loaded versions as last reported, sorted.
    pub(super) loaded: Vec<VersionId>,
}

impl UpstreamState {
    pub(super) fn new(id: UpstreamId, zone: u16, leaving: bool) -> UpstreamState {
        UpstreamState {
            id,
            zone,
            leaving,
            reachable: true,
            in_flight: Rc::default(),
            at_report: 0,
            reported: 0,
            capacity: DEFAULT_CAPACITY,
            last_seq: 0,
            loaded: Vec::new(),
        }
    }

    /// Returns the number of requests at the upstream: the reported number,
    /// corrected by the requests that this entry has started and ended since, and
    /// at least this entry's own requests in flight.
    pub(super) fn load(&self) -> u32 {
        let own = self.in_flight.get();
        (self.reported + own).saturating_sub(self.at_report).max(own)
    }

    /// Returns whether one more request would start immediately.
    pub(super) fn has_free_capacity(&self) -> bool {
        self.load() < self.capacity
    }

    /// Returns whether requests may be sent to the upstream.
    pub(super) fn is_usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(super) fn begin(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight { count: self.in_flight.clone(), upstream: self.id }
    }

    /// Applies the load of a report; returns `false` and changes nothing if the
    /// report is not newer than the last one.
    pub(super) fn update_load(&mut self, report: &Report) -> bool {
        if report.seq <= self.last_seq {
            return false;
        }
        self.last_seq = report.seq;
        self.reported = report.running + report.waiting;
        self.capacity = report.places;
        self.at_report = self.in_flight.get();
        true
    }

    /// Returns the number of this entry's requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }
}
