//! One upstream as an entry knows it.

use std::{cell::Cell, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::id::{UpstreamId, VersionId};

/// Places assumed of an upstream that has not reported. None at all would give
/// each adapter copies as soon as two requests for it run.
const PLACES: u32 = 8;

/// What an upstream daemon tells about one of its upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Loaded versions in the order of their keys.
    pub loaded: Vec<VersionId>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that the engine runs at once.
    pub places: u32,
    /// Grows with each report, also over restarts of the daemon.
    pub seq: u64,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    count: Rc<Cell<u32>>,
    upstream: UpstreamId,
}

impl InFlight {
    /// The upstream that has the request.
    pub fn upstream(&self) -> UpstreamId {
        self.upstream
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// State of one upstream.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: UpstreamId,
    /// Position of its zone among the zones of all upstreams.
    pub(super) zone: u16,
    pub(super) leaving: bool,
    pub(super) reachable: bool,
    /// Own requests in flight. Invariant: one per [`InFlight`].
    in_flight: Rc<Cell<u32>>,
    /// Own requests in flight when the last report came.
    at_report: u32,
    /// Requests in the last report.
    reported: u32,
    /// Places in the last report.
    places: u32,
    seq: u64,
    /// Loaded versions as last reported, sorted.
    pub(super) loaded: Vec<VersionId>,
}

impl Peer {
    pub(super) fn new(id: UpstreamId, zone: u16, leaving: bool) -> Peer {
        Peer {
            id,
            zone,
            leaving,
            reachable: true,
            in_flight: Rc::default(),
            at_report: 0,
            reported: 0,
            places: PLACES,
            seq: 0,
            loaded: Vec::new(),
        }
    }

    /// Requests there: the reported ones, with those this entry has begun or
    /// ended since; at least its own.
    pub(super) fn load(&self) -> u32 {
        let own = self.in_flight.get();
        (self.reported + own).saturating_sub(self.at_report).max(own)
    }

    /// Whether one more request would start at once.
    pub(super) fn has_room(&self) -> bool {
        self.load() < self.places
    }

    pub(super) fn is_usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    pub(super) fn begin(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight { count: self.in_flight.clone(), upstream: self.id }
    }

    /// Takes the load from a report; `false` when it is older than the last.
    pub(super) fn take(&mut self, report: &Report) -> bool {
        if report.seq <= self.seq {
            return false;
        }
        self.seq = report.seq;
        self.reported = report.running + report.waiting;
        self.places = report.places;
        self.at_report = self.in_flight.get();
        true
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }
}
