//! The waiting requests of one organisation.

use std::collections::VecDeque;

use super::entry::Entry;

/// One organisation's requests and its token counter.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Oldest first.
    pub(super) waiting: VecDeque<Entry>,
    /// Tokens charged, counted on the scale of the queue's floor.
    pub(super) counter: u64,
    /// Requests that were started and have not ended.
    pub(super) running: u32,
}

impl Lane {
    /// Takes out the entries that `gone` names, in their order.
    pub(super) fn extract(&mut self, gone: &mut impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let (taken, kept) = self.waiting.drain(..).partition(|entry| gone(entry));
        self.waiting = kept;
        VecDeque::into(taken)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
