//! Whether a request is taken in, and how long it would wait for its place.

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::{PermitRequest, Refusal},
};

use super::{Admission, pauses::Limit};

/// Longest pause between two events where routes name none: as long as the
/// users' routes that do.
pub(super) const GAP: Span = Span::from_millis(300);

impl Admission {
    /// Why no request for `want` is taken at all.
    pub(super) fn closed(&self, want: &PermitRequest) -> Option<Refusal> {
        let Some(report) = &self.report else { return Some(Refusal::Unready) };
        if report.leaving {
            return Some(Refusal::Leaving);
        }
        if !report.has_model(&want.name) {
            return Some(Refusal::Unready);
        }
        if want.size.total() > self.memory(report) {
            return Some(Refusal::TooLarge);
        }
        // A replacement waits until nothing runs on the old version, which
        // would keep this request waiting for seconds; another engine loads
        // the new version in a quarter of one.
        let outdated = report.version(&want.name).is_some_and(|held| self.is_old(&want.name, held));
        (outdated && self.is_used(&want.name)).then_some(Refusal::Replacing)
    }

    /// How long `want` would wait for its place.
    pub(super) fn estimate(&self, now: Instant, want: &PermitRequest) -> Span {
        let ahead = self.running.unread() + self.queue.tokens_before(want.priority);
        let reading = self.reading(ahead.saturating_sub(self.limit().at_once()));
        let full = self.running.len() + self.queue.len() >= self.spec.slots.max(1) as usize;
        let leaving = match full {
            true => {
                let over = self.running.len() + self.queue.len() + 1 - self.spec.slots as usize;
                self.pace.ends(over as u64)
            }
            false => Span::ZERO,
        };
        reading.max(self.loading(now, &want.name)).max(leaving)
    }

    /// Longest pause between events that is to be kept.
    pub(super) fn gap(&self) -> Span {
        self.running.gap().unwrap_or(GAP)
    }

    /// How fast prompts may be let through.
    pub(super) fn limit(&self) -> Limit {
        Limit::new(&self.pace, self.gap(), self.learned.part())
    }

    /// Time until the last of `tokens` is let through.
    pub(super) fn reading(&self, tokens: u64) -> Span {
        self.limit().time(&self.pace, self.gap(), tokens)
    }

    /// Time until `name` is loaded, behind the others that are waited for.
    fn loading(&self, now: Instant, name: &AdapterName) -> Span {
        let Some(report) = &self.report else { return Span::ZERO };
        if report.version(name).is_some_and(|held| !self.is_old(name, held)) {
            return Span::ZERO;
        }
        if report.is_pending(name) {
            return self.loads.time(now);
        }
        let waited = self.queue.wanted().into_iter();
        let others = waited.filter(|other| {
            *other != name && report.version(other).is_none() && !report.is_pending(other)
        });
        self.loads.wait(now, name, report.pending.len() + others.count())
    }
}
