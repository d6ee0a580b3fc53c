//! Writing a patch to the table and acknowledging it.
//!
//! The daemon that receives a patch drives one [`Acceptance`]: it asks for the
//! next [`Step`], carries it out and reports the result. The table orders
//! concurrent writers; a patch is acknowledged once no daemon with standing
//! can miss it for longer than the freshness bound.

use crate::{
    config::{
        change::Change,
        model::Config,
        patch::{HEAD_KEY, Head, Patch, PatchError, delta_key},
    },
    id::{Number, RequestId},
    standing::Standing,
    wire::table::{Condition, Txn, TxnAnswer, Write},
};

/// The next step for a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do. Ask again when a number or a confirmation has arrived, and
    /// pull the members at once to shorten the wait.
    Wait,
    /// This daemon is behind: read the head and catch up.
    CatchUp,
    /// Write the patch with [`patch_txn`] and report the result to
    /// [`Acceptance::finish_write`].
    Write,
    /// Read the delta row of this number and report it to
    /// [`Acceptance::resolve`].
    Resolve(Number),
    /// The patch is in force: no daemon with standing can miss it for longer than
    /// the bound.
    Acknowledge(Number),
    /// Another patch took the number.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// No write is known to have taken effect.
    Ready,
    /// The write was sent and is unanswered.
    Writing,
    /// The patch may or may not be in the table.
    Unknown,
    /// The table has the patch.
    Taken,
    /// The table has another patch under this number.
    Lost,
}

/// Progress of one patch towards being in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptance {
    id: RequestId,
    against: Number,
    stage: Stage,
    /// Whether the answer to a write was lost. That write may still take effect
    /// after a read that does not find it.
    in_doubt: bool,
}

/// Whether a patch was written, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The patch is not in the table and will not be unless it is sent again.
    NotWritten,
    /// The patch may be in the table, or may still get there.
    Unknown,
    /// The table has the patch under this number.
    Taken(Number),
}

impl Acceptance {
    /// Starts with a patch as an operator sent it, possibly a repeated one.
    pub fn new(patch: &Patch) -> Acceptance {
        Acceptance { id: patch.id, against: patch.against, stage: Stage::Ready, in_doubt: false }
    }

    /// Reports the answer to the write, `None` if it was lost. The table may have
    /// executed a write whose answer was lost, and a conflict may come from this
    /// patch's own earlier write. Only the delta row shows the outcome in both cases.
    pub fn finish_write(&mut self, answer: Option<&TxnAnswer>) {
        if self.stage != Stage::Writing {
            return;
        }
        self.in_doubt |= answer.is_none();
        self.stage = match answer {
            Some(TxnAnswer::Committed) => Stage::Taken,
            Some(TxnAnswer::Conflict(_)) | None => Stage::Unknown,
        };
    }

    /// Reports that the write provably never reached the table.
    pub fn cancel_write(&mut self) {
        if self.stage == Stage::Writing {
            self.stage = Stage::Ready;
        }
    }

    /// Reports the id of the patch in the delta row of [`Self::number`], `None` if
    /// there is no such row.
    pub fn resolve(&mut self, found: Option<RequestId>) {
        self.stage = match (self.stage, found) {
            (Stage::Unknown | Stage::Ready, Some(id)) if id == self.id => Stage::Taken,
            (Stage::Unknown | Stage::Ready, Some(_)) => Stage::Lost,
            (Stage::Unknown, None) => Stage::Ready,
            // The read was needed because a later number is in force: the row did
            // exist and has since been removed, and so old a patch is not accepted
            // again.
            (Stage::Ready, None) => Stage::Lost,
            (stage, _) => stage,
        };
    }

    /// Reports that the write is being sent. No second write is sent until it is
    /// answered.
    pub fn begin_write(&mut self) {
        self.stage = Stage::Writing;
    }

    /// Returns whether the patch was written, as far as is known now.
    pub fn outcome(&self) -> WriteOutcome {
        match self.stage {
            Stage::Taken => WriteOutcome::Taken(self.number()),
            Stage::Lost => WriteOutcome::NotWritten,
            Stage::Ready if !self.in_doubt => WriteOutcome::NotWritten,
            Stage::Ready | Stage::Writing | Stage::Unknown => WriteOutcome::Unknown,
        }
    }

    /// Returns the number that the patch creates.
    pub fn number(&self) -> Number {
        self.against.next()
    }

    /// Returns the next step.
    pub fn next_step(&self, standing: &Standing) -> Step {
        let current = standing.number();
        match self.stage {
            Stage::Writing => Step::Wait,
            Stage::Unknown => Step::Resolve(self.number()),
            Stage::Lost => Step::Stale,
            Stage::Taken if standing.is_stable(self.number()) => Step::Acknowledge(self.number()),
            Stage::Taken if current < self.number() => Step::CatchUp,
            Stage::Taken => Step::Wait,
            Stage::Ready if current < self.against => Step::CatchUp,
            Stage::Ready if current > self.against => Step::Resolve(self.number()),
            // Other daemons may still have standing under the number before the
            // current one. Their majorities must meet a holder of the current
            // number, so the current number must be stable before the next one is
            // written.
            Stage::Ready if !standing.is_stable(current) => Step::Wait,
            Stage::Ready => Step::Write,
        }
    }
}

/// Applies `patch` to `config` and returns the result.
///
/// # Errors
///
/// Fails if the patch is stale, if one of its changes is invalid, or if it
/// changes membership together with anything else.
pub fn check_patch(config: &Config, patch: &Patch) -> Result<Config, PatchError> {
    let is_membership =
        |change: &Change| matches!(change, Change::Join { .. } | Change::Leave { .. });
    // Majorities of two memberships are sure to overlap only if the memberships
    // differ by a single change.
    if patch.changes.len() > 1 && patch.changes.iter().any(is_membership) {
        return Err(PatchError::Membership);
    }
    config.patched(patch)
}

/// Returns the conditional write of `patch`. `head` is the head row as last
/// read and `revision` its revision; without a head row these are
/// `Head::default()` and 0.
pub fn patch_txn(head: Head, revision: u64, patch: &Patch) -> Txn {
    let number = patch.against.next();
    let head = Head { number, ..head };
    let delta = delta_key(number);
    let text = |value: &dyn Fn() -> serde_json::Result<String>| {
        Some(value().expect("plain data always serialises"))
    };
    Txn {
        conditions: vec![
            Condition { key: HEAD_KEY.to_owned(), revision },
            Condition { key: delta.clone(), revision: 0 },
        ],
        writes: vec![
            Write { key: HEAD_KEY.to_owned(), value: text(&|| serde_json::to_string(&head)) },
            Write { key: delta, value: text(&|| serde_json::to_string(patch)) },
        ],
    }
}
