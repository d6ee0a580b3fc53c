//! Requests that were let through and have not ended.

use std::collections::BTreeMap;

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::PermitRequest,
};

use super::{pace::Pace, report::Report};

/// A place that was granted and whose request no report has shown by then was
/// never used: its entry died or its request was lost on the way.
const UNSEEN: Span = Span::from_secs(3);

/// A request that a report has shown and later ones do not any more has ended;
/// the entry says so within a round trip, unless it died.
const ENDED: Span = Span::from_secs(1);

/// One of them.
#[derive(Clone, Debug)]
struct Run {
    name: AdapterName,
    /// Tokens of memory kept for it.
    kept: u64,
    /// Tokens of its prompt.
    prompt: u64,
    /// Longest pause between two of its events.
    gap: Option<Span>,
    since: Instant,
    /// When a report last showed it.
    seen: Option<Instant>,
    /// Events that it had made then; from the first on, its prompt is read.
    events: u64,
    /// Tokens of it that were in memory then.
    tokens: u64,
    /// No other prompt was unread since it was let through.
    alone: bool,
    /// Prompts were held back while it made events.
    held: bool,
}

/// All of them, by attempt id.
#[derive(Debug, Default)]
pub(super) struct Running {
    runs: BTreeMap<String, Run>,
    /// Prompts were unread at some moment since the last report.
    reading: bool,
}

impl Running {
    /// A request was let through.
    pub(super) fn on_grant(&mut self, now: Instant, want: &PermitRequest) {
        let alone = self.unread() == 0;
        for run in self.runs.values_mut().filter(|run| run.events == 0) {
            run.alone = false;
        }
        self.reading = true;
        let run = Run {
            name: want.name.clone(),
            kept: want.size.total(),
            prompt: want.size.prompt,
            gap: want.event_gap,
            since: now,
            seen: None,
            events: 0,
            tokens: 0,
            alone,
            held: false,
        };
        self.runs.insert(want.attempt.clone(), run);
    }

    /// A request has ended; its adapter.
    pub(super) fn on_end(&mut self, attempt: &str) -> Option<AdapterName> {
        self.runs.remove(attempt).map(|run| run.name)
    }

    /// A prompt was held back so that those that run do not stand still.
    pub(super) fn on_held(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.events > 0) {
            run.held = true;
        }
    }

    /// Longest pause to be kept between events of a request that ran while prompts
    /// were held back; it is `Some(None)` if its route names none.
    pub(super) fn held_gap(&self, attempt: &str) -> Option<Option<Span>> {
        self.runs.get(attempt).filter(|run| run.held).map(|run| run.gap)
    }

    /// The engine has restarted.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }

    /// Compares with a report that comes `passed` after the one before, and
    /// lets `pace` learn from it.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        passed: Span,
        report: &Report,
        pace: &mut Pace,
    ) {
        let quiet = !std::mem::take(&mut self.reading) && self.unread() == 0;
        let (mut events, mut time) = (0, Span::ZERO);
        for shown in &report.runs {
            let Some(run) = self.runs.get_mut(&shown.attempt) else { continue };
            let more = shown.events.saturating_sub(run.events);
            if run.events == 0 && more > 0 && run.alone {
                pace.on_first(run.prompt, now.since(run.since));
            } else if quiet && run.events > 0 {
                events += more;
                time = time + passed;
            }
            if run.events > 0 {
                pace.on_tokens(more, shown.tokens.saturating_sub(run.tokens));
            }
            run.seen = Some(now);
            run.tokens = shown.tokens;
            run.events = run.events.max(shown.events);
        }
        pace.on_events(events, time);
        self.reading = self.unread() > 0;
        self.runs.retain(|_, run| match run.seen {
            Some(seen) => now.since(seen) < ENDED,
            None => report.waiting > 0 || now.since(run.since) < UNSEEN,
        });
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Tokens of prompts that the engine has not read yet.
    pub(super) fn unread(&self) -> u64 {
        let unread = self.runs.values().filter(|run| run.events == 0);
        unread.map(|run| run.prompt).sum()
    }

    /// Tokens of memory kept for all.
    pub(super) fn kept(&self) -> u64 {
        self.runs.values().map(|run| run.kept).sum()
    }

    /// Longest pause between events that none of them is to pass.
    pub(super) fn gap(&self) -> Option<Span> {
        self.runs.values().filter_map(|run| run.gap).min()
    }

    /// Their adapters, as often as they are used.
    pub(super) fn names(&self) -> impl Iterator<Item = &AdapterName> {
        self.runs.values().map(|run| &run.name)
    }
}
