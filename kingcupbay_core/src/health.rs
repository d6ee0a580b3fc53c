//! Which upstreams fail lately, known from answers alone.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// Time in which a failure counts half.
const HALF_LIFE: Span = Span::from_secs(2);

/// Failures, fresh ones counted as one each, from which on an upstream is
/// tried after the others.
const SUSPECT: f64 = 0.8;

/// How long an upstream that could not be reached gets nothing while others
/// can be: a restart takes a second or more.
const AWAY: Span = Span::from_millis(700);

/// How long a load that an upstream told counts.
const TOLD: Span = Span::from_millis(300);

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// A whole answer that is no failure.
    Succeeded,
    /// A failure of its own, or an answer that is not whole.
    Failed,
    /// No connection, or silence.
    Unreachable,
}

#[derive(Clone, Debug, Default)]
struct Record {
    failures: f64,
    at: Instant,
    away: Option<Instant>,
    /// Requests of this daemon that it has now.
    open: u32,
    /// What it last said of its load: running and waiting.
    told: u32,
    told_at: Instant,
}

/// Failures of each upstream by its id.
#[derive(Debug, Default)]
pub struct Health {
    records: BTreeMap<String, Record>,
}

impl Health {
    /// A request goes there.
    pub fn on_send(&mut self, id: &str) {
        self.records.entry(id.to_owned()).or_default().open += 1;
    }

    /// A request there has ended, however.
    pub fn on_end(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// How an exchange went.
    pub fn on_exchange(&mut self, now: Instant, id: &str, ending: Exchange) {
        let record = self.records.entry(id.to_owned()).or_default();
        record.failures = record.faded(now);
        record.at = now;
        match ending {
            Exchange::Succeeded => {
                record.failures *= 0.5;
                record.away = None;
            }
            Exchange::Failed => record.failures += 1.0,
            Exchange::Unreachable => {
                record.failures += 1.0;
                record.away = Some(now + AWAY);
            }
        }
    }

    /// What an upstream said of its load.
    pub fn on_load(&mut self, now: Instant, id: &str, busy: u32) {
        let record = self.records.entry(id.to_owned()).or_default();
        record.told = busy;
        record.told_at = now;
    }

    /// Forgets upstreams that are not registered any more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.records.retain(|id, record| record.open > 0 || known(id));
    }

    /// Whether others are to be tried first.
    pub fn is_suspect(&self, now: Instant, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| {
            record.faded(now) >= SUSPECT || record.away.is_some_and(|until| until > now)
        })
    }

    /// Requests there, as far as is known.
    pub fn busy(&self, now: Instant, id: &str) -> u32 {
        self.records.get(id).map_or(0, |record| {
            let told = if now.since(record.told_at) < TOLD { record.told } else { 0 };
            record.open.max(told)
        })
    }

    /// The least busy of `ids`, healthy ones first; equals go by `draw`.
    pub fn choose<'a>(
        &self,
        now: Instant,
        ids: impl Iterator<Item = &'a str>,
        draw: u64,
    ) -> Option<&'a str> {
        let mix = |at: usize| (at as u64).wrapping_add(draw).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        ids.enumerate()
            .min_by_key(|(at, id)| (self.is_suspect(now, id), self.busy(now, id), mix(*at)))
            .map(|(_, id)| id)
    }
}

impl Record {
    fn faded(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_micros() as f64;
        self.failures * (-age / HALF_LIFE.as_micros() as f64).exp2()
    }
}
