//! The newest proof that one source gave.

use crate::{
    id::Number,
    time::{Instant, Span},
};

/// The newest proof of one source, table or member.
///
/// Invariants: `at` belongs to a statement that named nothing newer than the
/// number held here; `ahead` names something newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Proof {
    /// The statement was made at this time or later.
    at: Option<Instant>,
    /// A statement that counts once that number is held here too. Without it a
    /// daemon would have to ask again after each patch, and would refuse work
    /// until the answer.
    ahead: Option<(Number, Instant)>,
}

impl Proof {
    /// A statement of `number`, made at `at` or later, while `mine` is held.
    pub(super) fn record(&mut self, number: Number, at: Instant, mine: Number) {
        if number <= mine {
            self.at = self.at.max(Some(at));
            return;
        }
        // A source's number never goes back, so the greatest number was said
        // last, and no earlier than any other.
        let (known, since) = self.ahead.unwrap_or((number, at));
        self.ahead = Some((known.max(number), since.max(at)));
    }

    /// `mine` is held from now on.
    pub(super) fn advance(&mut self, mine: Number) {
        if let Some((number, at)) = self.ahead
            && number <= mine
        {
            self.ahead = None;
            self.at = self.at.max(Some(at));
        }
    }

    /// Whether the proof is no older than `bound`.
    pub(super) fn is_fresh(&self, now: Instant, bound: Span) -> bool {
        self.at.is_some_and(|at| now.since(at) <= bound)
    }

    /// When the newest proof was made, at the earliest.
    pub(super) fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Whether the source knows something newer.
    pub(super) fn is_ahead(&self) -> bool {
        self.ahead.is_some()
    }
}
