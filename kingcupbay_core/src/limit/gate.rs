//! Keeps the limit of an upstream whose requests one daemon grants.

use std::collections::BTreeMap;

use crate::{
    time::{Instant, Span},
    wire::{limit::LimitReport, metadata::AnnouncedLimit},
};

use super::{LimitRecord, pace::Pace};

/// Whose answers a limit was announced in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitSource {
    /// Answers to requests, as entries report them.
    Request,
    /// Answers to report requests of the daemon that grants the requests.
    Report,
    /// Answers to its orders.
    Order,
}

impl LimitSource {
    /// Returns the name as written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitSource::Request => "request",
            LimitSource::Report => "report",
            LimitSource::Order => "order",
        }
    }
}

/// Grants the requests and orders to one upstream at the rate that it announces.
#[derive(Clone, Debug, Default)]
pub struct LimitGate {
    /// The lowest rate counts. Answers of one kind that name no limit say nothing of the
    /// others, which may come from another part of the upstream.
    records: BTreeMap<LimitSource, LimitRecord>,
    /// When the upstream last started, as far as known. Older answers are not its own.
    started: Instant,
    pace: Pace,
}

impl LimitGate {
    /// Records an answer to this daemon's own call, sent at `sent`.
    pub fn on_answer(
        &mut self,
        now: Instant,
        sent: Instant,
        source: LimitSource,
        announced: AnnouncedLimit,
    ) {
        if sent < self.started {
            return;
        }
        let known = self.records.get(&source).copied();
        if let Some(record) = LimitRecord::after_answer(known, now, sent, 0, announced) {
            self.update(now, source, record);
        }
    }

    /// Records what the upstream has announced to an entry.
    pub fn on_report(&mut self, now: Instant, report: LimitReport) {
        let record = LimitRecord::from_report(now, report);
        let known = self.records.get(&LimitSource::Request);
        if record.received >= self.started && known.is_none_or(|known| record.is_newer(known)) {
            self.update(now, LimitSource::Request, record);
        }
    }

    fn update(&mut self, now: Instant, source: LimitSource, record: LimitRecord) {
        let before = self.rate(now);
        self.records.insert(source, record);
        if let Some(rate) = self.rate(now).filter(|rate| before != Some(*rate)) {
            self.pace.on_limit(now, rate);
        }
    }

    /// Forgets the limit, as the upstream has restarted.
    pub fn on_restart(&mut self, now: Instant) {
        self.records.clear();
        self.started = now;
    }

    /// Returns the requests per second that the upstream takes; `None` for any number.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.records.values().filter_map(|record| record.rate(now)).reduce(f64::min)
    }

    /// Returns whether a request or order may be sent now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.wait(now, 0) == Span::ZERO
    }

    /// Records a request or order.
    pub fn on_send(&mut self, now: Instant) {
        self.pace.on_send(now, self.rate(now));
    }

    /// Returns the time until a request may be sent behind `ahead` other requests and
    /// orders.
    pub fn wait(&self, now: Instant, ahead: usize) -> Span {
        self.rate(now).map_or(Span::ZERO, |rate| self.pace.wait(now, rate, 1.0, ahead))
    }
}
