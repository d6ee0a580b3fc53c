//! What one run yields.

use std::collections::BTreeMap;

use kingcupbay_core::{id::OrganisationId, time::Span};

/// Counts and times of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measures {
    pub(crate) requests: u64,
    /// Requests that waited on a cold start.
    pub(crate) stalls: u64,
    /// How long those waited, until their start or refusal.
    pub(crate) stall_waits: Vec<Span>,
    pub(crate) loads: u64,
    pub(crate) refusals: u64,
    /// How long the refused ones had waited when they were told.
    pub(crate) refusal_waits: Vec<Span>,
    /// Microseconds of places in use, and of all places while there is work.
    pub(crate) used: u64,
    pub(crate) offered: u64,
    /// Times to the first token of requests that came during the flood's
    /// part of the run; a refused one counts with its caller's patience.
    pub(crate) first_tokens: BTreeMap<OrganisationId, Vec<Span>>,
    pub(crate) wrong_version: u64,
    pub(crate) pinned_eviction: u64,
    pub(crate) crossed: u64,
}

impl Measures {
    pub(crate) fn efficiency(&self) -> f64 {
        self.used as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn stall_p95(&self) -> f64 {
        percentile(&self.stall_waits, 0.95)
    }

    pub(crate) fn refusal_median(&self) -> f64 {
        percentile(&self.refusal_waits, 0.5)
    }

    /// p95 of the time to the first token of the organisation with the
    /// longest, `without` aside.
    pub(crate) fn worst_p95(&self, without: OrganisationId) -> f64 {
        let others = self.first_tokens.iter().filter(|&(&id, _)| id != without);
        others.map(|(_, spans)| percentile(spans, 0.95)).fold(0.0, f64::max)
    }
}

/// The `part` percentile in seconds, 0 of nothing.
pub(crate) fn percentile(spans: &[Span], part: f64) -> f64 {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.saturating_sub(1)).map_or(0.0, |span| span.as_secs_f64())
}
