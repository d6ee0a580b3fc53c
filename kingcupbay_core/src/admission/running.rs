//! Requests that hold a permit.

use std::collections::BTreeMap;

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::PermitRequest,
};

use super::{
    pace::Pace,
    report::{Report, Run},
    speed::Speed,
};

/// Time after which a permit is released if no report has shown its request and none
/// waits inside the engine. The entry died, or the request was lost on the network.
const UNSEEN_TIMEOUT: Span = Span::from_secs(3);

/// Time after which a permit is released if later reports no longer show its
/// request. An entry that is alive reports the end within a round trip.
const ENDED_TIMEOUT: Span = Span::from_secs(1);

/// A request that holds a permit.
#[derive(Clone, Debug)]
struct RunningRequest {
    name: AdapterName,
    /// Tokens of memory reserved for it.
    reserved: u64,
    /// Tokens of its prompt.
    prompt: u64,
    /// Its event gap: the longest allowed pause between two of its events.
    event_gap: Option<Span>,
    granted_at: Instant,
    /// Time of the latest report that showed it.
    seen_at: Option<Instant>,
    /// Its events in that report; at least one means that its prompt was prefilled.
    events: u64,
    /// Its tokens in memory in that report.
    tokens: u64,
    /// Its tokens in memory in the report that showed its latest event first.
    event_tokens: u64,
    /// Whether no other prompt was unread since the permit was granted.
    alone: bool,
    /// Whether prompts of other requests were delayed while it made events.
    delayed_others: bool,
    /// Whether the prompt of another request was unread while it made events.
    beside_prefill: bool,
}

/// All requests that hold a permit, by attempt id.
#[derive(Debug, Default)]
pub(super) struct Running {
    runs: BTreeMap<String, RunningRequest>,
    /// Whether any prompt was unread since the last report.
    prefilling: bool,
    /// Whether reports have shown tokens between two events or before the first one. Others
    /// show neither chunks nor steps, so they give no pace.
    shows_steps: bool,
}

impl Running {
    /// Records a granted permit.
    pub(super) fn on_grant(&mut self, now: Instant, request: &PermitRequest) {
        let alone = self.unread_tokens() == 0;
        for run in self.runs.values_mut().filter(|run| run.events == 0) {
            run.alone = false;
        }
        self.prefilling = true;
        let run = RunningRequest {
            name: request.name.clone(),
            reserved: request.size.total(),
            prompt: request.size.prompt,
            event_gap: request.event_gap,
            granted_at: now,
            seen_at: None,
            events: 0,
            tokens: 0,
            event_tokens: 0,
            alone,
            delayed_others: false,
            beside_prefill: false,
        };
        self.runs.insert(request.attempt.clone(), run);
    }

    /// Removes a request that has ended and returns its adapter.
    pub(super) fn on_request_end(&mut self, attempt: &str) -> Option<AdapterName> {
        self.runs.remove(attempt).map(|run| run.name)
    }

    /// Records that a prompt was delayed to keep the event gap of running streams.
    pub(super) fn on_prefill_delayed(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.events > 0) {
            run.delayed_others = true;
        }
    }

    /// Returns the event gap of a request during which prompts were delayed. The
    /// inner `None` means that its route sets no event gap.
    pub(super) fn delayed_gap(&self, attempt: &str) -> Option<Option<Span>> {
        self.runs.get(attempt).filter(|run| run.delayed_others).map(|run| run.event_gap)
    }

    /// Returns the event gap of a request during which prompts were prefilled, if it made
    /// events meanwhile.
    pub(super) fn prefill_gap(&self, attempt: &str) -> Option<Option<Span>> {
        self.runs.get(attempt).filter(|run| run.beside_prefill).map(|run| run.event_gap)
    }

    /// Whether a stream has begun, which prefill may stall.
    pub(super) fn is_streaming(&self) -> bool {
        self.runs.values().any(|run| run.events > 0)
    }

    /// Removes all requests after a restart of the engine.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }

    /// Updates the requests from a report made `elapsed` after the previous one and
    /// passes measurements to `speed` and `pace`. Speeds are those at the usual pace.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        elapsed: Span,
        report: &Report,
        speed: &mut Speed,
        pace: &mut Pace,
    ) {
        self.measure_pace(now, elapsed, report, pace);
        let work = pace.work(now);
        let quiet = !std::mem::take(&mut self.prefilling) && self.unread_tokens() == 0;
        let (mut events, mut time) = (0, Span::ZERO);
        for shown in &report.runs {
            let Some(run) = self.runs.get_mut(&shown.attempt) else { continue };
            let new_events = shown.events.saturating_sub(run.events);
            if run.events == 0 && new_events > 0 && run.alone {
                speed.on_first_event(run.prompt, now.since(run.granted_at).scaled(1.0 / work));
            } else if quiet && run.events > 0 {
                events += new_events;
                time = time + elapsed;
            }
            if run.events > 0 {
                speed.on_tokens(new_events, shown.tokens.saturating_sub(run.tokens));
            }
            if new_events > 0 {
                if run.events > 0 {
                    pace.on_events(new_events, shown.tokens.saturating_sub(run.event_tokens));
                }
                run.event_tokens = shown.tokens;
            }
            run.beside_prefill |= !quiet && run.events > 0;
            run.seen_at = Some(now);
            run.tokens = shown.tokens;
            run.events = run.events.max(shown.events);
        }
        speed.on_events(events, time.scaled(1.0 / work));
        self.prefilling = self.unread_tokens() > 0;
        self.runs.retain(|_, run| match run.seen_at {
            Some(seen_at) => now.since(seen_at) < ENDED_TIMEOUT,
            None => report.waiting > 0 || now.since(run.granted_at) < UNSEEN_TIMEOUT,
        });
    }

    /// Counts the steps made and the prompt tokens prefilled since the previous report.
    ///
    /// A run in decode gains one token with each step, so the run that gained most has made all
    /// of them. A run in prefill gains the tokens of its chunks.
    fn measure_pace(&mut self, now: Instant, elapsed: Span, report: &Report, pace: &mut Pace) {
        let within_event = |shown: &Run| {
            let run = self.runs.get(&shown.attempt);
            shown.tokens > 0
                && (shown.events == 0
                    || run
                        .is_some_and(|run| run.events == shown.events && run.tokens < shown.tokens))
        };
        self.shows_steps |= report.runs.iter().any(within_event);
        if !self.shows_steps {
            return;
        }
        let (mut steps, mut prefilled, mut busy) = (0, 0, false);
        for shown in &report.runs {
            let Some(run) = self.runs.get(&shown.attempt) else { continue };
            let gained = shown.tokens.saturating_sub(run.tokens);
            busy |= run.seen_at.is_some();
            if run.events > 0 {
                steps = gained.max(steps);
            } else {
                // Tokens after the prompt were decoded.
                prefilled += gained.min(run.prompt.saturating_sub(run.tokens));
            }
        }
        if busy { pace.on_progress(now, elapsed, steps, prefilled) } else { pace.on_idle() }
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no requests.
    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the prompt tokens that the engine has not prefilled yet.
    pub(super) fn unread_tokens(&self) -> u64 {
        let unread = self.runs.values().filter(|run| run.events == 0);
        unread.map(|run| run.prompt).sum()
    }

    /// Returns the tokens of memory reserved for all requests.
    pub(super) fn reserved_tokens(&self) -> u64 {
        self.runs.values().map(|run| run.reserved).sum()
    }

    /// Returns the shortest event gap of all requests.
    pub(super) fn event_gap(&self) -> Option<Span> {
        self.runs.values().filter_map(|run| run.event_gap).min()
    }

    /// Returns the adapter of each request, repeated if several requests use it.
    pub(super) fn adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.runs.values().map(|run| &run.name)
    }
}
