//! Events in simulated time.

use std::collections::BTreeMap;

use kingcupbay_core::time::Instant;

/// Events by time; those of one moment in the order of their entering.
#[derive(Debug)]
pub(crate) struct Queue<E> {
    events: BTreeMap<(Instant, u64), E>,
    next: u64,
}

impl<E> Queue<E> {
    pub(crate) fn new() -> Queue<E> {
        Queue { events: BTreeMap::new(), next: 0 }
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.events.insert((at, self.next), event);
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
