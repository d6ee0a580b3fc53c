//! Load reports and residency events of the engine, shown with a given lag.

use std::time::Duration;

use kingcupbay_core::wire::engine::{Event, EventKind, Events, LoadReport};
use tokio::time::Instant;

use crate::lagged::Lagged;

/// Reports and events of one incarnation.
pub(crate) struct Reports {
    load: Lagged<LoadReport>,
    /// Number of the last event, lost ones included.
    seq: u64,
    /// Invariant: numbers and times are in ascending order.
    events: Vec<(Instant, Event)>,
}

impl Reports {
    pub(crate) fn new(now: Instant, report: LoadReport) -> Reports {
        Reports { load: Lagged::new(now, report), seq: 0, events: Vec::new() }
    }

    pub(crate) fn set(&mut self, now: Instant, report: LoadReport) {
        self.load.set(now, report);
    }

    pub(crate) fn push(&mut self, now: Instant, kind: EventKind, model: &str, lost: bool) {
        self.seq += 1;
        if !lost {
            let event = Event { seq: self.seq, kind, model: model.to_owned() };
            self.events.push((now, event));
        }
    }

    pub(crate) fn load(&self, now: Instant, lag: Duration) -> LoadReport {
        self.load.shown(now, lag).clone()
    }

    pub(crate) fn events(&self, now: Instant, lag: Duration, after: u64) -> Events {
        let start = self.events.partition_point(|(_, event)| event.seq <= after);
        let shown = self.events[start..].iter().take_while(|(at, _)| *at + lag <= now);
        Events { events: shown.map(|(_, event)| event.clone()).collect() }
    }
}
