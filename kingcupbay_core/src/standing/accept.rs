//! How a patch is written and when it is acknowledged.
//!
//! The daemon that takes a patch drives one [`Acceptance`]: it asks for the
//! next [`Step`], carries it out and tells the outcome. The table decides
//! between two writers; the majority decides when the patch is in force.

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

/// What to do next for a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing; ask again when a number or a vouch has come in. Pull the
    /// members at once, so that it does not take long.
    Wait,
    /// This daemon is behind; read the head and catch up.
    CatchUp,
    /// Write it with [`txn`] and tell the outcome by [`Acceptance::written`].
    Write,
    /// Read the delta row of this number and tell it by
    /// [`Acceptance::resolved`].
    Resolve(Number),
    /// In force: no daemon with standing can miss it for longer than the bound.
    Acknowledge(Number),
    /// Another patch got the number.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// Not written yet, as far as is known.
    Ready,
    /// The write is on its way.
    Writing,
    /// It may or may not be in the table.
    Unknown,
    /// The table has it.
    Taken,
    /// The table has another one.
    Lost,
}

/// One patch on its way to being in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptance {
    id: RequestId,
    against: Number,
    stage: Stage,
    /// Whether a write is out whose answer never came. It may take effect
    /// later than a read that does not find it.
    in_doubt: bool,
}

/// What can be said of a patch at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is not in the table, and never will be unless it is sent again.
    NotWritten,
    /// The table may have taken it, or may yet.
    Unknown,
    /// The table has it.
    Taken(Number),
}

impl Acceptance {
    /// Begins with a patch as an operator sent it, perhaps again.
    pub fn new(patch: &Patch) -> Acceptance {
        Acceptance { id: patch.id, against: patch.against, stage: Stage::Ready, in_doubt: false }
    }

    /// The write was answered, or its answer was lost (`None`). The table may
    /// have taken a write whose answer is lost, and a conflict may be with
    /// this patch's own earlier write; both show in the delta row only.
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

    /// The write provably never arrived.
    pub fn cancel_write(&mut self) {
        if self.stage == Stage::Writing {
            self.stage = Stage::Ready;
        }
    }

    /// The delta row of the number this patch asks for holds the patch `found`.
    pub fn resolve(&mut self, found: Option<RequestId>) {
        self.stage = match (self.stage, found) {
            (Stage::Unknown | Stage::Ready, Some(id)) if id == self.id => Stage::Taken,
            (Stage::Unknown | Stage::Ready, Some(_)) => Stage::Lost,
            (Stage::Unknown, None) => Stage::Ready,
            // Asked because a later number is in force: the row was there
            // once and is cleared away by now, too old to be repeated.
            (Stage::Ready, None) => Stage::Lost,
            (stage, _) => stage,
        };
    }

    /// The write is sent. Until it is answered no second one is.
    pub fn begin_write(&mut self) {
        self.stage = Stage::Writing;
    }

    /// What can be said of the patch now.
    pub fn outcome(&self) -> WriteOutcome {
        match self.stage {
            Stage::Taken => WriteOutcome::Taken(self.number()),
            Stage::Lost => WriteOutcome::NotWritten,
            Stage::Ready if !self.in_doubt => WriteOutcome::NotWritten,
            Stage::Ready | Stage::Writing | Stage::Unknown => WriteOutcome::Unknown,
        }
    }

    /// The number the patch makes.
    pub fn number(&self) -> Number {
        self.against.next()
    }

    /// What to do next.
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
            // A daemon may still stand on the number before the current one.
            // Its majority must meet the one that holds the current number,
            // so that one has to be there before the next number is.
            Stage::Ready if !standing.is_stable(current) => Step::Wait,
            Stage::Ready => Step::Write,
        }
    }
}

/// Whether `patch` may be written on top of `config`: it is not stale, each of
/// its changes checks, and it moves membership by one member or not at all.
pub fn check_patch(config: &Config, patch: &Patch) -> Result<Config, PatchError> {
    let moves = |change: &Change| matches!(change, Change::Join { .. } | Change::Leave { .. });
    // Majorities meet across one step of membership only.
    if patch.changes.len() > 1 && patch.changes.iter().any(moves) {
        return Err(PatchError::Membership);
    }
    config.patched(patch)
}

/// The conditional write of `patch`. `head` is the head row as last read, with
/// the row's revision; a table without that row has `Head::default()` and 0.
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
