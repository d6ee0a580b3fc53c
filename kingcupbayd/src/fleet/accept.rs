//! Taking of patches: the core's acceptance, carried out.

use std::rc::Rc;

use kingcupbay_core::{
    config::patch::{Patch, PatchError},
    id::Number,
    standing::accept::{Acceptance, Step, WriteOutcome, check_patch, patch_txn},
    time::Span,
    wire::table::TxnAnswer,
};

use super::Fleet;
use crate::{clock, store::table::TableError};

/// Time for a patch to be held by enough members. Longer than the freshness
/// bound, so that a member that has just died has not vouched for that long.
const ACCEPT_TIME: Span = Span::from_secs(8);

/// Pause between two looks at who holds the patch: some round trips.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PatchOutcome {
    /// In the table under this number.
    Taken {
        /// Its number.
        number: Number,
        /// Whether no daemon with standing can miss it any more.
        acknowledged: bool,
    },
    /// Refused, nothing changed.
    Refused(PatchError),
    /// Not taken: the table cannot be reached, or the patch before this one
    /// is not known widely enough.
    NotTaken(String),
    /// The write may have taken effect; repeating the same patch tells.
    Unknown(String),
}

impl Fleet {
    /// Takes an operator's patch. A repeat of a patch already taken is
    /// answered with its number, and changes nothing.
    pub(crate) async fn patch(self: &Rc<Fleet>, patch: &Patch) -> PatchOutcome {
        let mut acceptance = Acceptance::new(patch);
        let since = clock::now();
        let mut why = "the patch before it is not held by enough members".to_owned();
        if let Err(error) = self.refresh().await {
            return PatchOutcome::NotTaken(error.to_string());
        }
        if let Some(refusal) = self.refusal(patch) {
            return PatchOutcome::Refused(refusal);
        }
        while clock::now().since(since) <= ACCEPT_TIME {
            let step = acceptance.next_step(self.gossip.borrow().standing());
            let done = match step {
                Step::Acknowledge(number) => {
                    self.keep_snapshot(number).await;
                    return PatchOutcome::Taken { number, acknowledged: true };
                }
                Step::Stale => return self.stale(patch).await,
                Step::Wait => self.settle().await,
                Step::CatchUp => self.refresh().await,
                Step::Write => self.write(patch, &mut acceptance).await,
                Step::Resolve(number) => {
                    self.writer_of(number).await.map(|found| acceptance.resolve(found))
                }
            };
            if let Err(error) = done {
                why = error.to_string();
                // Nothing is in doubt yet, so there is nothing to stay for.
                if acceptance.outcome() == WriteOutcome::NotWritten {
                    return PatchOutcome::NotTaken(why);
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
        match acceptance.outcome() {
            WriteOutcome::Taken(number) => PatchOutcome::Taken { number, acknowledged: false },
            WriteOutcome::NotWritten => PatchOutcome::NotTaken(why),
            WriteOutcome::Unknown => PatchOutcome::Unknown(why),
        }
    }

    /// Why `patch` cannot be taken whatever comes. A stale one is not refused
    /// here: it may be a repeat.
    fn refusal(&self, patch: &Patch) -> Option<PatchError> {
        match check_patch(&self.config(), patch) {
            Err(PatchError::Stale { against, current }) if against < current => None,
            checked => checked.err(),
        }
    }

    async fn stale(self: &Rc<Fleet>, patch: &Patch) -> PatchOutcome {
        // The number in the answer is what the operator starts anew from.
        let _ = self.refresh().await;
        let (against, current) = (patch.against, self.number());
        PatchOutcome::Refused(PatchError::Stale { against, current })
    }

    async fn settle(self: &Rc<Fleet>) -> Result<(), TableError> {
        let actions = self.gossip.borrow_mut().pull_missing(clock::now());
        self.act(actions);
        tokio::time::sleep(PAUSE).await;
        Ok(())
    }

    async fn write(&self, patch: &Patch, acceptance: &mut Acceptance) -> Result<(), TableError> {
        let (head, revision) = self.head().await?;
        acceptance.begin_write();
        if head.number != patch.against {
            acceptance.finish_write(Some(&TxnAnswer::Conflict(Vec::new())));
            return Ok(());
        }
        match self.table.txn(&patch_txn(head, revision, patch)).await {
            Ok(answer) => {
                acceptance.finish_write(Some(&answer));
                if answer == TxnAnswer::Committed {
                    self.apply(patch.clone());
                }
                Ok(())
            }
            Err(error @ TableError::Unreached(_)) => {
                acceptance.cancel_write();
                Err(error)
            }
            Err(error) => {
                acceptance.finish_write(None);
                Err(error)
            }
        }
    }
}
