//! Measurements of one run.

use std::collections::BTreeMap;

use kingcupbay_core::{id::OrganisationId, time::Span};

/// Counts and times of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measures {
    pub(crate) requests: u64,
    /// Requests that waited on a cold start.
    pub(crate) stalls: u64,
    /// Wait of those requests until their start or refusal.
    pub(crate) stall_waits: Vec<Span>,
    pub(crate) loads: u64,
    pub(crate) refusals: u64,
    /// Wait of the refused requests until their refusal.
    pub(crate) refusal_waits: Vec<Span>,
    /// Microseconds of batch capacity in use, and of that offered while a runner had
    /// work.
    pub(crate) busy_micros: u64,
    pub(crate) offered_micros: u64,
    /// Times to the first token of requests that arrived during the flood; a refused
    /// one counts with the longest wait that its caller accepts.
    pub(crate) first_tokens: BTreeMap<OrganisationId, Vec<Span>>,
    pub(crate) wrong_version: u64,
    pub(crate) pinned_eviction: u64,
    /// Answers that belong to another request or were sent twice.
    pub(crate) wrong_answers: u64,
}

impl Measures {
    pub(crate) fn efficiency(&self) -> f64 {
        self.busy_micros as f64 / self.offered_micros.max(1) as f64
    }

    pub(crate) fn stall_p95(&self) -> f64 {
        percentile(&self.stall_waits, 0.95)
    }

    pub(crate) fn refusal_median(&self) -> f64 {
        percentile(&self.refusal_waits, 0.5)
    }

    /// Returns the p95 time to the first token, in seconds, of the organisation for
    /// which it is longest, except `without`.
    pub(crate) fn worst_p95(&self, without: OrganisationId) -> f64 {
        let others = self.first_tokens.iter().filter(|&(&id, _)| id != without);
        others.map(|(_, spans)| percentile(spans, 0.95)).fold(0.0, f64::max)
    }
}

/// Returns the percentile at `fraction` in seconds, 0 if there are no values.
pub(crate) fn percentile(spans: &[Span], fraction: f64) -> f64 {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(at.saturating_sub(1)).map_or(0.0, |span| span.as_secs_f64())
}
