//! What a policy did, against the exact bucket of each organisation.

use std::collections::BTreeMap;

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, ReservationId, Share},
    },
    time::{Instant, Span},
};

use super::load::{ORGANISATIONS, RATE, Request};

/// Counts of one run. The exact buckets are charged with what the policy
/// admitted, so a refusal while they could pay is the policy's own.
#[derive(Debug)]
pub(crate) struct Score {
    exact: Vec<Bucket>,
    /// Which counts are kept: requests that arrive in this span.
    from: Instant,
    to: Instant,
    pub(crate) requests: u64,
    /// Tokens admitted that the exact bucket did not have.
    pub(crate) over: u64,
    pub(crate) refused: u64,
    /// Refusals by cause while the exact bucket could pay.
    pub(crate) wrongful: BTreeMap<&'static str, u64>,
    pub(crate) longest: Span,
    pub(crate) messages: u64,
    /// Bytes of the messages, without HTTP's.
    pub(crate) bytes: u64,
    pub(crate) asks: u64,
    pub(crate) table: u64,
}

impl Score {
    pub(crate) fn new(burst: u64, from: Instant, to: Instant) -> Score {
        let level = Amount::from_tokens(burst);
        let full = Share { rate: RATE, capacity: level, level };
        Score {
            exact: vec![Bucket::new(Instant::default(), full); ORGANISATIONS],
            from,
            to,
            requests: 0,
            over: 0,
            refused: 0,
            wrongful: BTreeMap::new(),
            longest: Span::ZERO,
            messages: 0,
            bytes: 0,
            asks: 0,
            table: 0,
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

    /// An admission of a request that arrived at `since`; the key settles it.
    pub(crate) fn admitted(
        &mut self,
        now: Instant,
        since: Instant,
        request: &Request,
    ) -> Option<ReservationId> {
        if self.counts(now) {
            self.longest = self.longest.max(now.since(since));
        }
        let exact = &mut self.exact[request.organisation];
        match exact.reserve(now, Amount::from_tokens(request.tokens)) {
            Ok(id) => Some(id),
            Err(shortage) => {
                // Charged as far as it goes; what is missing is over the bound.
                let level = exact.share_at(now).level;
                let rest = exact.reserve(now, level).ok();
                self.over += shortage.missing.as_micros().div_ceil(1_000_000);
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
        self.over += other.over;
        self.refused += other.refused;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.asks += other.asks;
        self.table += other.table;
        self.longest = self.longest.max(other.longest);
        for (cause, count) in &other.wrongful {
            *self.wrongful.entry(cause).or_default() += count;
        }
    }
}
