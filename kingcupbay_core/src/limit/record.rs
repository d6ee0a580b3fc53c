//! What a daemon knows of the limit of one upstream.

use crate::{
    time::{Instant, Span},
    wire::{limit::LimitReport, metadata::AnnouncedLimit},
};

/// Shortest time for which a limit is kept without a further answer.
const KEEP_MIN: Span = Span::from_secs(30);

/// Longest time for which a limit is kept without a further answer.
const KEEP_MAX: Span = Span::from_secs(90);

/// Requests that the limit allows, each of which may repeat it, while it is kept without a
/// further answer. Some of them may be lost.
const KEEP_REQUESTS: f64 = 3.0;

/// Lowest rate that is kept. An upstream that takes no requests at all could not say that
/// it takes some again.
const RATE_MIN: f64 = 1.0 / 30.0;

/// The last answer that said whether an upstream limits its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRecord {
    /// Start of the upstream that answered, in milliseconds of its own clock.
    pub born: u64,
    /// Requests per second; `None` once the upstream takes any rate again.
    pub rate: Option<f64>,
    /// Time of the answer.
    pub received: Instant,
}

impl LimitRecord {
    /// Returns the record after an answer of the upstream that started at `born`. Its
    /// request was sent at `sent`.
    ///
    /// An answer counts only if its request was sent after the one before was received:
    /// answers on different connections overtake each other.
    pub fn after_answer(
        known: Option<LimitRecord>,
        now: Instant,
        sent: Instant,
        born: u64,
        announced: AnnouncedLimit,
    ) -> Option<LimitRecord> {
        if known.is_some_and(|known| born < known.born) {
            return known;
        }
        let known = known.filter(|known| known.born == born);
        if known.is_some_and(|known| sent < known.received) {
            return known;
        }
        match announced {
            AnnouncedLimit::PerSecond(rate) => {
                Some(LimitRecord { born, rate: Some(rate), received: now })
            }
            AnnouncedLimit::Invalid => known,
            AnnouncedLimit::Unlimited => {
                known.map(|known| LimitRecord { rate: None, received: now, ..known })
            }
        }
    }

    /// Returns the record of another daemon.
    pub fn from_report(now: Instant, report: LimitReport) -> LimitRecord {
        LimitRecord { born: report.born, rate: report.rate, received: now - report.age }
    }

    /// Returns the record as sent to another daemon.
    pub fn to_report(&self, now: Instant) -> LimitReport {
        LimitReport { born: self.born, rate: self.rate, age: now.since(self.received) }
    }

    /// Returns whether this record is newer than `other`.
    pub fn is_newer(&self, other: &LimitRecord) -> bool {
        (self.born, self.received) > (other.born, other.received)
    }

    /// Returns the requests per second at `now`; `None` for any number.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let rate = self.rate?.max(RATE_MIN);
        let keep = Span::from_millis_f64(KEEP_REQUESTS * 1e3 / rate).max(KEEP_MIN).min(KEEP_MAX);
        (now.since(self.received) < keep).then_some(rate)
    }
}
