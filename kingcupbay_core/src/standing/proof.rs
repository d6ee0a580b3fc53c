//! The newest proof of freshness from one source.

use crate::{
    id::Number,
    time::{Instant, Span},
};

/// The newest proof from one source: the table or a member.
///
/// Invariants: the statement behind `at` named nothing newer than the number
/// held here; the statement in `ahead` named something newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Proof {
    /// Lower bound on the time at which the newest statement was made.
    at: Option<Instant>,
    /// Statement that becomes a proof once its number is held here too. Without
    /// it, the daemon would have to ask again after each patch and would refuse
    /// work until the answer arrived.
    ahead: Option<(Number, Instant)>,
}

impl Proof {
    /// Records a statement of `number`, made at `at` or later, while `mine` is
    /// held here.
    pub(super) fn record(&mut self, number: Number, at: Instant, mine: Number) {
        if number <= mine {
            self.at = self.at.max(Some(at));
            return;
        }
        // A source's number never decreases, so the greatest number was stated
        // last, no earlier than any other.
        let (known, since) = self.ahead.unwrap_or((number, at));
        self.ahead = Some((known.max(number), since.max(at)));
    }

    /// Moves to `mine`, the number held here from now on.
    pub(super) fn advance(&mut self, mine: Number) {
        if let Some((number, at)) = self.ahead
            && number <= mine
        {
            self.ahead = None;
            self.at = self.at.max(Some(at));
        }
    }

    /// Returns whether the proof is no older than `bound`.
    pub(super) fn is_fresh(&self, now: Instant, bound: Span) -> bool {
        self.at.is_some_and(|at| now.since(at) <= bound)
    }

    /// Returns a lower bound on the time at which the newest proof was made.
    pub(super) fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Returns whether the source knows a number newer than the one held here.
    pub(super) fn is_ahead(&self) -> bool {
        self.ahead.is_some()
    }
}
