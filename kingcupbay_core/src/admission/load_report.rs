//! Decides which load reports an entry is sent.
//!
//! Every sidecar sends load reports to every entry, and the smallest hosts have
//! narrow links. Most reports would contain nothing new: adapters stay loaded for
//! seconds, and small changes of load do not affect which engine an entry chooses.

use crate::{
    time::{Instant, Span},
    wire::sidecar::{EngineCapacity, EngineLoadReport},
};

use super::Admission;

/// How long an entry is sent load reports after each of its permit requests. A sidecar
/// reports to those entries that currently choose its engine: in a large fleet, each entry
/// asks each engine rarely, and reports to all would grow with the number of both.
pub const REPORTED_FOR: Span = Span::from_secs(2);

/// Interval of reports without changes, so that a silent sidecar is detected: an
/// entry treats it as gone after three missing reports.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

/// Change of running and waiting requests that is reported at once, in percent of
/// the slots. An engine counts as busy from 40 percent on.
const LOAD_CHANGE_PERCENT: u32 = 8;

/// Change of the time to prefill waiting prompts that is reported at once. Latency
/// targets are about ten times as long.
const DELAY_CHANGE: Span = Span::from_millis(80);

/// Change of the work factor that is reported at once, in percent of the former one. Engines
/// whose rates differ by less count as alike.
const WORK_CHANGE_PERCENT: u32 = 25;

impl Admission {
    /// Returns what the engine can take; `None` until its usual speed is known.
    pub fn capacity(&self, now: Instant) -> Option<EngineCapacity> {
        let pace = &self.pace;
        if !pace.is_known() {
            return None;
        }
        let (work, gap) = (pace.work(now), self.event_gap());
        let per_second = pace.prefill_rate() * 1e3;
        let sustained = match pace.prefill_budget(gap, work) {
            Some(budget) => budget as f64 / gap.as_secs_f64().max(1e-3),
            None if pace.event_interval().scaled(work) > gap => 0.0,
            None => per_second / work,
        };
        Some(EngineCapacity {
            prefill_rate: per_second as u32,
            event_interval: pace.event_interval(),
            work_percent: (work * 100.0).round() as u32,
            sustained_rate: sustained as u32,
        })
    }
}

/// State of the load reports sent to one entry.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    last: Option<EngineLoadReport>,
    sent_at: Instant,
    /// Whether the entry has received the adapters of `last`.
    acknowledged: bool,
}

impl LoadReporter {
    /// Returns the report to send now, if any. It includes the resident adapters only
    /// if the entry lacks them.
    pub fn next(&mut self, now: Instant, report: &EngineLoadReport) -> Option<EngineLoadReport> {
        let same_adapters = self.last.as_ref().is_some_and(|last| last.resident == report.resident);
        let known = self.acknowledged && same_adapters;
        let changed = self.last.as_ref().is_none_or(|last| load_changed(last, report));
        if known && !changed && now.since(self.sent_at) < HEARTBEAT_INTERVAL {
            return None;
        }
        self.sent_at = now;
        self.acknowledged = known;
        self.last = Some(report.clone());
        let resident = if known { None } else { report.resident.clone() };
        Some(EngineLoadReport { resident, ..report.clone() })
    }

    /// Applies the entry's answer to the report sent at `at`: whether it knows the
    /// resident adapters. An answer to an older report is ignored.
    pub fn on_answer(&mut self, at: Instant, acknowledged: bool) {
        if at == self.sent_at {
            self.acknowledged = acknowledged;
        }
    }
}

fn load_changed(last: &EngineLoadReport, now: &EngineLoadReport) -> bool {
    let load = |report: &EngineLoadReport| report.running + report.waiting;
    let change = load(last).abs_diff(load(now)) * 100;
    last.open != now.open
        || change >= now.slots.max(1) * LOAD_CHANGE_PERCENT
        || last.delay.abs_diff(now.delay) >= DELAY_CHANGE
        || work_changed(last.capacity, now.capacity)
}

/// Whether the pace changed such that another engine may be chosen.
fn work_changed(last: Option<EngineCapacity>, now: Option<EngineCapacity>) -> bool {
    let (Some(last), Some(now)) = (last, now) else { return false };
    let change = last.work_percent.abs_diff(now.work_percent).saturating_mul(100);
    change >= last.work_percent.max(1).saturating_mul(WORK_CHANGE_PERCENT)
        || (last.work_percent != now.work_percent
            && (last.sustained_rate == 0) != (now.sustained_rate == 0))
}
