//! A queue of events in simulated time.

use std::collections::BTreeMap;

use kingcupbay_core::time::Instant;

/// Events ordered by time; events of one instant in the order of their insertion.
#[derive(Debug)]
pub(crate) struct Queue<E> {
    events: BTreeMap<(Instant, u64), E>,
    sequence: u64,
}

impl<E> Queue<E> {
    pub(crate) fn new() -> Queue<E> {
        Queue { events: BTreeMap::new(), sequence: 0 }
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.events.insert((at, self.sequence), event);
        self.sequence += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
