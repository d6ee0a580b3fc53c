//! Decides whether a permit request is accepted, and predicts how long it waits.

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::{PermitRequest, PriorityDelay, Refusal},
};

use super::{Admission, BASE_MODEL_RETRY, prefill::PrefillLimit, queue::Waiter};

/// Longest pause between two events for routes that set none. The users' routes
/// that do set one use the same.
pub(super) const DEFAULT_EVENT_GAP: Span = Span::from_millis(300);

/// Work factor from which prompts that would stall streams wait until the host is faster. It
/// is between the usual pace and that of slow periods.
const HOLDING_WORK: f64 = 1.5;

impl Admission {
    /// Returns why `request` cannot be accepted now; `None` if it can.
    pub(super) fn refusal_reason(&self, request: &PermitRequest) -> Option<Refusal> {
        if self.evacuated {
            return Some(Refusal::Evacuated);
        }
        let Some(report) = &self.report else { return Some(Refusal::Unready) };
        if report.leaving {
            return Some(Refusal::Leaving);
        }
        if !report.has_model(&request.name) {
            return Some(Refusal::Unready);
        }
        if request.size.total() > self.usable_memory(report) {
            return Some(Refusal::TooLarge);
        }
        // A replacement waits until no request uses the old version, which would
        // delay this request for seconds. Another engine loads the new version in
        // a quarter of a second.
        let outdated = report
            .version(&request.name)
            .is_some_and(|version| self.is_outdated(&request.name, version));
        (outdated && self.is_used(&request.name)).then_some(Refusal::Replacing)
    }

    /// Returns the expected time until `request` gets a permit.
    pub(super) fn estimate_wait(&self, now: Instant, request: &PermitRequest) -> Span {
        let ahead =
            self.running.unread_tokens() + self.queue.prompt_tokens_before(request.priority);
        let prefill = self.prefill_wait(ahead.saturating_sub(self.prefill_limit().burst_tokens()));
        let before = self.queue.len_before(request.priority);
        let full = self.running.len() + before >= self.spec.slots.max(1) as usize;
        let slot = match full {
            true => {
                let excess = self.running.len() + before + 1 - self.spec.slots as usize;
                self.speed.time_for_ends(excess as u64)
            }
            false => Span::ZERO,
        };
        let cold = self.cold.wait(now, before);
        let ahead = before + self.orders_before(&request.name);
        let limit = self.limit.wait(now, ahead);
        prefill.max(self.load_wait(now, &request.name)).max(slot).max(cold).max(limit)
    }

    /// Returns the expected waits by priority; none if no priority differs.
    pub(super) fn priority_delays(&self, now: Instant) -> Vec<PriorityDelay> {
        let mut delays: Vec<PriorityDelay> = Vec::new();
        if self.seen_priorities.len() < 2 || self.queue.is_empty() {
            return delays;
        }
        for &priority in &self.seen_priorities {
            let tokens = self.running.unread_tokens() + self.queue.prompt_tokens_before(priority);
            let requests = self.queue.len_before(priority);
            let delay = self
                .prefill_wait(tokens)
                .max(self.cold.wait(now, requests))
                .max(self.limit.wait(now, requests));
            if delays.last().is_none_or(|last| last.delay != delay) {
                delays.push(PriorityDelay { priority, delay });
            }
        }
        if delays.len() < 2 {
            delays.clear();
        }
        delays
    }

    /// Returns when a request refused for lack of a base model may retry. Where priorities
    /// differ, retries are made in order of priority and as fast as the engine serves.
    pub(super) fn promise_retry(&mut self, now: Instant, request: &PermitRequest) -> Span {
        if self.seen_priorities.len() < 2 {
            return BASE_MODEL_RETRY;
        }
        let work = self.prefill_wait(request.size.prompt);
        self.retries.promise(now, BASE_MODEL_RETRY, request.priority, work)
    }

    /// Returns the event gap to keep: the shortest of all running requests.
    pub(super) fn event_gap(&self) -> Span {
        self.running.event_gap().unwrap_or(DEFAULT_EVENT_GAP)
    }

    /// Whether the limit lets `waiter` send its prompt now.
    pub(super) fn fits_prefill(&self, limit: PrefillLimit, waiter: &Waiter) -> bool {
        let (unread, tokens) = (self.running.unread_tokens(), waiter.prefill_tokens());
        if !self.pace.is_varying(self.reported_at) {
            return self.recent_grants.fits(limit, unread, tokens);
        }
        let work = self.pace.work(self.reported_at);
        self.recent_grants.fits_at_pace(limit, unread, tokens, work >= HOLDING_WORK)
    }

    /// Returns the limit on prompt tokens sent to the engine.
    pub(super) fn prefill_limit(&self) -> PrefillLimit {
        let now = self.reported_at;
        if self.pace.is_varying(now) {
            let (gap, factor) = (self.event_gap(), self.prefill_scale.factor());
            let (work, streaming) = (self.pace.work(now), self.running.is_streaming());
            return PrefillLimit::at_pace(&self.pace, gap, factor, work, streaming);
        }
        PrefillLimit::new(&self.speed, self.event_gap(), self.prefill_scale.factor())
    }

    /// Returns the expected time until the last of `tokens` can be sent to the engine.
    pub(super) fn prefill_wait(&self, tokens: u64) -> Span {
        let wait = self.prefill_limit().wait_time(&self.speed, self.event_gap(), tokens);
        match self.pace.is_varying(self.reported_at) {
            true => {
                wait.max(self.pace.prefill_time(tokens).scaled(self.pace.work(self.reported_at)))
            }
            false => wait,
        }
    }

    /// Returns the number of orders that the engine needs before it can run `name`: one to
    /// load it, and one to evict another adapter.
    fn orders_before(&self, name: &AdapterName) -> usize {
        let Some(report) = &self.report else { return 0 };
        if report.version(name).is_some() || report.is_pending(name) {
            return 0;
        }
        let full = report.used_adapter_slots() >= self.spec.adapter_slots as usize;
        1 + usize::from(full)
    }

    /// Returns the expected time until `name` is loaded after the other adapters that
    /// queued requests wait for.
    fn load_wait(&self, now: Instant, name: &AdapterName) -> Span {
        let Some(report) = &self.report else { return Span::ZERO };
        if report.version(name).is_some_and(|version| !self.is_outdated(name, version)) {
            return Span::ZERO;
        }
        if report.is_pending(name) {
            return self.loads.load_time(now);
        }
        let awaited = self.queue.awaited_adapters().into_iter();
        let others = awaited.filter(|other| {
            *other != name && report.version(other).is_none() && !report.is_pending(other)
        });
        self.loads.wait_time(now, name, report.pending.len() + others.count())
    }
}
