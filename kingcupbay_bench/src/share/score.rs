//! Measurements of a policy against the exact bucket of each organisation.

use std::collections::BTreeMap;

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, ReservationId, Share},
    },
    time::{Instant, Span},
};

use super::load::{ORGANISATIONS, Request, TOKENS_PER_SECOND};

/// Counts of one run. The exact buckets are charged with what the policy admitted,
/// so a refusal while they hold enough tokens is an error of the policy.
#[derive(Debug)]
pub(crate) struct Score {
    exact: Vec<Bucket>,
    /// Start and end of the measurement; what happens outside is not counted.
    from: Instant,
    to: Instant,
    pub(crate) requests: u64,
    /// Admitted tokens that the exact bucket did not hold.
    pub(crate) over_tokens: u64,
    pub(crate) refused: u64,
    /// Refusals by cause while the exact bucket held enough tokens.
    pub(crate) wrongful: BTreeMap<&'static str, u64>,
    pub(crate) longest_wait: Span,
    pub(crate) messages: u64,
    /// Bytes of the message bodies, without HTTP heads.
    pub(crate) bytes: u64,
    pub(crate) asks: u64,
    pub(crate) table_operations: u64,
}

impl Score {
    pub(crate) fn new(burst: u64, from: Instant, to: Instant) -> Score {
        let level = Amount::from_tokens(burst);
        let full = Share { rate: TOKENS_PER_SECOND, capacity: level, level };
        Score {
            exact: vec![Bucket::new(Instant::default(), full); ORGANISATIONS],
            from,
            to,
            requests: 0,
            over_tokens: 0,
            refused: 0,
            wrongful: BTreeMap::new(),
            longest_wait: Span::ZERO,
            messages: 0,
            bytes: 0,
            asks: 0,
            table_operations: 0,
        }
    }

    pub(crate) fn counts(&self, now: Instant) -> bool {
        (self.from..self.to).contains(&now)
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.to.since(self.from).as_secs_f64()
    }

    pub(crate) fn arrived(&mut self, now: Instant) {
        self.requests += u64::from(self.counts(now));
    }

    /// Records the admission of a request that arrived at `since`. Returns the
    /// reservation for [`Score::settled`].
    pub(crate) fn admitted(
        &mut self,
        now: Instant,
        since: Instant,
        request: &Request,
    ) -> Option<ReservationId> {
        if self.counts(now) {
            self.longest_wait = self.longest_wait.max(now.since(since));
        }
        let exact = &mut self.exact[request.organisation];
        match exact.reserve(now, Amount::from_tokens(request.tokens)) {
            Ok(id) => Some(id),
            Err(shortage) => {
                // The rest of the bucket is charged, the shortage is over the limit.
                let level = exact.share_at(now).level;
                let rest = exact.reserve(now, level).ok();
                self.over_tokens += shortage.missing.as_micros().div_ceil(1_000_000);
                rest
            }
        }
    }

    pub(crate) fn settled(&mut self, now: Instant, request: &Request, id: Option<ReservationId>) {
        if let Some(id) = id {
            let used = Amount::from_tokens(request.used);
            self.exact[request.organisation].settle(now, id, used);
        }
    }

    pub(crate) fn refused(&mut self, now: Instant, request: &Request, cause: &'static str) {
        if !self.counts(now) {
            return;
        }
        self.refused += 1;
        let level = self.exact[request.organisation].share_at(now).level;
        if level >= Amount::from_tokens(request.tokens) {
            *self.wrongful.entry(cause).or_default() += 1;
        }
    }

    pub(crate) fn add(&mut self, other: &Score) {
        self.requests += other.requests;
        self.over_tokens += other.over_tokens;
        self.refused += other.refused;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.asks += other.asks;
        self.table_operations += other.table_operations;
        self.longest_wait = self.longest_wait.max(other.longest_wait);
        for (cause, count) in &other.wrongful {
            *self.wrongful.entry(cause).or_default() += count;
        }
    }
}
