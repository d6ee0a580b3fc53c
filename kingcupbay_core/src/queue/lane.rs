//! The waiting requests of one organisation.

use std::collections::VecDeque;

use super::entry::Entry;

/// The waiting requests and the token counter of one organisation.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Waiting requests, oldest first.
    pub(super) waiting: VecDeque<Entry>,
    /// Tokens charged, on the scale of the queue's virtual time.
    pub(super) counter: u64,
    /// Number of requests that were started and have not ended.
    pub(super) running: u32,
}

impl Lane {
    /// Removes the entries for which `is_removed` returns true and returns them in
    /// their order.
    pub(super) fn extract(&mut self, is_removed: &mut impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let (removed, kept) = self.waiting.drain(..).partition(|entry| is_removed(entry));
        self.waiting = kept;
        VecDeque::into(removed)
    }

    /// Returns whether no request of the organisation waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
