//! Accepts patches of operators: executes the steps of the core's
//! [`Acceptance`].

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

/// Longest time until enough members hold a patch. Longer than the freshness
/// bound, so that by its end the confirmations of a member that has just died
/// have lapsed.
const ACCEPT_TIMEOUT: Span = Span::from_secs(8);

/// Pause between two checks of which members hold the patch; a few round trips.
const POLL_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Outcome of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PatchOutcome {
    /// The patch is in the table.
    Taken {
        /// Number of the configuration that it made.
        number: Number,
        /// Whether it is certain that every daemon with standing has the patch.
        acknowledged: bool,
    },
    /// The patch was refused and nothing has changed.
    Refused(PatchError),
    /// The patch was not written: the table cannot be reached, or not enough
    /// members hold the patch before this one.
    NotTaken(String),
    /// The write may have taken effect. Repeating the same patch resolves it.
    Unknown(String),
}

impl Fleet {
    /// Accepts an operator's patch. A repeat of a patch that is already in the
    /// table returns its number and changes nothing.
    pub(crate) async fn patch(self: &Rc<Fleet>, patch: &Patch) -> PatchOutcome {
        let mut acceptance = Acceptance::new(patch);
        let started = clock::now();
        let mut reason = "the patch before it is not held by enough members".to_owned();
        if let Err(error) = self.refresh().await {
            return PatchOutcome::NotTaken(error.to_string());
        }
        if let Some(refusal) = self.refusal(patch) {
            return PatchOutcome::Refused(refusal);
        }
        while clock::now().since(started) <= ACCEPT_TIMEOUT {
            let step = acceptance.next_step(self.gossip.borrow().standing());
            let result = match step {
                Step::Acknowledge(number) => {
                    self.store_snapshot_if_due(number).await;
                    return PatchOutcome::Taken { number, acknowledged: true };
                }
                Step::Stale => return self.stale_refusal(patch).await,
                Step::Wait => self.wait_for_holders().await,
                Step::CatchUp => self.refresh().await,
                Step::Write => self.write(patch, &mut acceptance).await,
                Step::Resolve(number) => {
                    self.patch_id_at(number).await.map(|found| acceptance.resolve(found))
                }
            };
            if let Err(error) = result {
                reason = error.to_string();
                // Nothing was written, so the outcome is certain and there is no
                // need to go on.
                if acceptance.outcome() == WriteOutcome::NotWritten {
                    return PatchOutcome::NotTaken(reason);
                }
                tokio::time::sleep(POLL_PAUSE).await;
            }
        }
        match acceptance.outcome() {
            WriteOutcome::Taken(number) => PatchOutcome::Taken { number, acknowledged: false },
            WriteOutcome::NotWritten => PatchOutcome::NotTaken(reason),
            WriteOutcome::Unknown => PatchOutcome::Unknown(reason),
        }
    }

    /// Returns why `patch` can never be accepted. A stale patch is not refused
    /// here, because it may be a repeat.
    fn refusal(&self, patch: &Patch) -> Option<PatchError> {
        match check_patch(&self.config(), patch) {
            Err(PatchError::Stale { against, current }) if against < current => None,
            checked => checked.err(),
        }
    }

    /// Returns the refusal of a stale patch, with the newest number.
    async fn stale_refusal(self: &Rc<Fleet>, patch: &Patch) -> PatchOutcome {
        // The operator makes the next patch against the number in the answer.
        let _ = self.refresh().await;
        let (against, current) = (patch.against, self.number());
        PatchOutcome::Refused(PatchError::Stale { against, current })
    }

    /// Pulls from every member that is not known to hold the current number, then
    /// pauses.
    async fn wait_for_holders(self: &Rc<Fleet>) -> Result<(), TableError> {
        let actions = self.gossip.borrow_mut().pull_missing(clock::now());
        self.execute(actions);
        tokio::time::sleep(POLL_PAUSE).await;
        Ok(())
    }

    /// Makes one attempt to write the patch into the table.
    async fn write(&self, patch: &Patch, acceptance: &mut Acceptance) -> Result<(), TableError> {
        let (head, revision) = self.fetch_head().await?;
        acceptance.begin_write();
        if head.number != patch.against {
            acceptance.finish_write(Some(&TxnAnswer::Conflict(Vec::new())));
            return Ok(());
        }
        match self.table.txn(&patch_txn(head, revision, patch)).await {
            Ok(answer) => {
                acceptance.finish_write(Some(&answer));
                if answer == TxnAnswer::Committed {
                    self.apply(patch.clone())?;
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
