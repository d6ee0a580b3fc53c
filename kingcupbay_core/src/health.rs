//! Passive health checks: which upstreams have failed recently, judged by their answers.

use std::collections::BTreeMap;

use crate::{
    time::{Instant, Span},
    wire::metadata::{Load, USUAL_WORK_PERCENT},
};

/// Time after which a failure counts half.
const FAILURE_HALF_LIFE: Span = Span::from_secs(2);

/// Decayed number of failures from which an upstream is tried after the others. A
/// failure counts as one when it happens.
const SUSPECT_FAILURES: f64 = 0.8;

/// How long an upstream that could not be reached is tried after the others. A
/// restart takes a second or more.
const UNREACHABLE_PAUSE: Span = Span::from_millis(700);

/// Age at which an upstream's load report is ignored.
const REPORT_AGE_MAX: Span = Span::from_millis(300);

/// Result of an exchange with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// A complete answer that is not a failure.
    Succeeded,
    /// A failure that the upstream reported, or an incomplete answer.
    Failed,
    /// No connection, or no answer in time.
    Unreachable,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Decayed number of failures as of `updated`.
    failures: f64,
    updated: Instant,
    /// Counts as unreachable until then.
    unreachable: Option<Instant>,
    /// Open requests from this daemon.
    open: u32,
    /// Load that it last reported.
    load: Load,
    load_at: Instant,
}

/// Failures and load of each upstream, by id.
#[derive(Debug, Default)]
pub struct Health {
    records: BTreeMap<String, Record>,
}

impl Health {
    /// Records that a request is sent to `id`.
    pub fn on_send(&mut self, id: &str) {
        self.records.entry(id.to_owned()).or_default().open += 1;
    }

    /// Records that a request to `id` has ended, with any result.
    pub fn on_end(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// Records the result of an exchange with `id`.
    pub fn on_exchange(&mut self, now: Instant, id: &str, exchange: Exchange) {
        let record = self.records.entry(id.to_owned()).or_default();
        record.failures = record.recent_failures(now);
        record.updated = now;
        match exchange {
            Exchange::Succeeded => {
                record.failures *= 0.5;
                record.unreachable = None;
            }
            Exchange::Failed => record.failures += 1.0,
            Exchange::Unreachable => {
                record.failures += 1.0;
                record.unreachable = Some(now + UNREACHABLE_PAUSE);
            }
        }
    }

    /// Records that `id` is silent. Requests that notice the same silence count once.
    pub fn on_silence(&mut self, now: Instant, id: &str) {
        if !self.is_suspect(now, id) {
            self.on_exchange(now, id, Exchange::Unreachable);
        }
    }

    /// Records the load that `id` reported.
    pub fn on_load(&mut self, now: Instant, id: &str, load: Load) {
        let record = self.records.entry(id.to_owned()).or_default();
        record.load = load;
        record.load_at = now;
    }

    /// Drops upstreams that are no longer registered and have no open requests.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.records.retain(|id, record| record.open > 0 || known(id));
    }

    /// Returns whether the others should be tried before `id`.
    pub fn is_suspect(&self, now: Instant, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| {
            record.recent_failures(now) >= SUSPECT_FAILURES
                || record.unreachable.is_some_and(|until| until > now)
        })
    }

    /// Returns the number of requests at `id`: the open requests from this daemon, or
    /// the reported load if that is recent and larger.
    pub fn busy(&self, now: Instant, id: &str) -> u32 {
        self.records.get(id).map_or(0, |record| {
            let load = record.recent_load(now).unwrap_or_default();
            record.open.max(load.running + load.waiting)
        })
    }

    /// Returns how long another request would take at `id`, for comparison with other
    /// upstreams: the requests there with it, each taking as long as work does on its machine.
    fn expected_work(&self, now: Instant, id: &str) -> u64 {
        let load = self.records.get(id).and_then(|record| record.recent_load(now));
        let percent = load.and_then(|load| load.work_percent).unwrap_or(USUAL_WORK_PERCENT);
        (u64::from(self.busy(now, id)) + 1) * u64::from(percent)
    }

    /// Returns that one of `ids` from which an answer is expected first, healthy ones first. `draw`, a random number,
    /// breaks ties.
    pub fn choose<'a>(
        &self,
        now: Instant,
        ids: impl Iterator<Item = &'a str>,
        draw: u64,
    ) -> Option<&'a str> {
        let tie_break =
            |at: usize| (at as u64).wrapping_add(draw).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        ids.enumerate()
            .min_by_key(|(at, id)| {
                (self.is_suspect(now, id), self.expected_work(now, id), tie_break(*at))
            })
            .map(|(_, id)| id)
    }
}

impl Record {
    /// Returns the last reported load, unless it is too old.
    fn recent_load(&self, now: Instant) -> Option<Load> {
        (now.since(self.load_at) < REPORT_AGE_MAX).then_some(self.load)
    }

    /// Returns the number of failures, decayed up to `now`.
    fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_micros() as f64;
        self.failures * (-age / FAILURE_HALF_LIFE.as_micros() as f64).exp2()
    }
}
