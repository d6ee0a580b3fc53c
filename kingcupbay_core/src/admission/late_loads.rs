//! Loads that got no reply, and the adapter slots to keep free for them.
//!
//! The engine may carry out such a load seconds later, once its order count is the one that the
//! load names. While the engine keeps running that does no harm, as the slot was free at that
//! count. A restart sets the count back, and the load may then find all slots taken. The engine
//! crashes on a load without a free slot.

use std::collections::BTreeSet;

use crate::time::{Instant, Span};

use super::report::Report;

/// Longest time after which the engine may still carry out an unanswered load. The
/// platform says "seconds"; delays up to 12 s were observed.
const LATE_LOAD_TIMEOUT: Span = Span::from_secs(20);

/// Slots to keep free for loads of the sidecar's earlier process, at most half of all. Their number
/// is unknown: an eviction follows one that takes a slot, and may itself get no reply.
const INHERITED_SLOTS: usize = 2;

/// Largest difference between the clocks of the engine and the sidecar.
const CLOCK_ERROR: Span = Span::from_secs(5);

/// A load order that got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnansweredLoad {
    /// Order count at which the engine carries it out.
    after: u64,
    sent_at: Instant,
}

/// When the sidecar's process started.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Instant,
    /// Unix time in milliseconds.
    unix: u64,
}

/// Unanswered loads of one engine.
#[derive(Debug, Default)]
pub(super) struct LateLoads {
    /// Those since the engine started.
    unanswered: Vec<UnansweredLoad>,
    /// Those from before the engine's last restart.
    before_restart: Vec<UnansweredLoad>,
    /// Known if an earlier process of the sidecar may have left loads unanswered.
    start: Option<Start>,
}

impl LateLoads {
    /// Records that the sidecar's process has started, at `unix` milliseconds of Unix time.
    pub(super) fn on_start(&mut self, at: Instant, unix: u64) {
        self.start = Some(Start { at, unix });
    }

    /// Records a load that got no reply, sent at the order count `after`.
    pub(super) fn on_unanswered(&mut self, now: Instant, after: u64) {
        self.unanswered.push(UnansweredLoad { after, sent_at: now });
    }

    /// Handles a restart of the engine. `in_flight` is the order count that a load in flight names.
    pub(super) fn on_restart(&mut self, now: Instant, in_flight: Option<u64>) {
        let in_flight = in_flight.map(|after| UnansweredLoad { after, sent_at: now });
        self.before_restart.extend(in_flight);
        self.before_restart.append(&mut self.unanswered);
    }

    /// Returns how many of the engine's adapter `slots` to keep free. Known loads that name the same order count need one
    /// slot, as only one of them can be carried out.
    ///
    /// A load is kept in mind although the engine's count has passed it: a restart sets the
    /// count back.
    pub(super) fn reserved_slots(&mut self, now: Instant, report: &Report, slots: usize) -> usize {
        let is_due = |load: &UnansweredLoad| now.since(load.sent_at) < LATE_LOAD_TIMEOUT;
        self.before_restart.retain(is_due);
        self.unanswered.retain(is_due);
        let counts = self.before_restart.iter().map(|load| load.after);
        let known = counts.filter(|&after| after >= report.orders).collect::<BTreeSet<u64>>().len();
        known + if self.may_inherit(now, report) { INHERITED_SLOTS.min(slots / 2) } else { 0 }
    }

    /// Whether a load of the sidecar's earlier process may be carried out by an engine that has
    /// restarted since it was sent.
    fn may_inherit(&self, now: Instant, report: &Report) -> bool {
        let Some(start) = self.start else { return false };
        let oldest = Span::from_millis(start.unix).saturating_sub(LATE_LOAD_TIMEOUT + CLOCK_ERROR);
        let is_older = |born| Span::from_millis(born) < oldest;
        now.since(start.at) < LATE_LOAD_TIMEOUT && !report.born.is_some_and(is_older)
    }
}
