//! When callers that were refused because the base model is not loaded may retry.
//!
//! All callers of an engine that restarts are refused at once. If all were given the same
//! time, they would return together and most would be refused again.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// Retries promised to refused callers.
#[derive(Debug, Default)]
pub(super) struct PromisedRetries {
    /// By priority, the time at which the engine has served the promised ones.
    served_by: BTreeMap<u8, Instant>,
}

impl PromisedRetries {
    /// Returns the time after which a request of `priority` may retry, and records it.
    /// `earliest` is the time until the engine may serve again, and `work` the time it
    /// needs for this request. Each priority gets a half of the rate that more urgent
    /// ones leave, so that later urgent requests find room.
    pub(super) fn promise(
        &mut self,
        now: Instant,
        earliest: Span,
        priority: u8,
        work: Span,
    ) -> Span {
        self.served_by.retain(|_, at| *at > now);
        self.served_by.entry(priority).or_insert(now);
        let rank = self.served_by.range(..priority).count() as u32;
        let before = self.served_by.range(..=priority).map(|(_, at)| *at).max();
        let start = before.unwrap_or(now).max(now + earliest);
        let work = Span::from_micros(work.as_micros() << (rank + 1).min(8));
        self.served_by.insert(priority, start + work);
        start.since(now)
    }
}
