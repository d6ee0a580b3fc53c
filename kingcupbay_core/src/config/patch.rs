//! A numbered set of changes, as the table stores it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    change::{Change, Refusal},
    model::Config,
};
use crate::id::{Number, RequestId};

/// Key of the row that names the configuration in force.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the rows that hold patches; see [`delta_key`].
pub const DELTA_PREFIX: &str = "config/delta/";

/// Returns the key of the row that holds the patch that created `number`. Keys
/// sort by number.
pub fn delta_key(number: Number) -> String {
    format!("{DELTA_PREFIX}{:020}", number.0)
}

/// Returns the name of the object that holds the snapshot at `number`.
pub fn snapshot_key(number: Number) -> String {
    format!("config-{:020}", number.0)
}

/// Content of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Number of the configuration in force.
    pub number: Number,
    /// Highest number with a snapshot in the object store.
    pub snapshot: Number,
}

/// A set of changes that is applied as a whole or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Patch {
    /// Drawn at random by the operators' tool. Distinguishes a repeat of this
    /// patch, or a write whose answer was lost, from another operator's patch.
    pub id: RequestId,
    /// Number of the configuration that the patch was made against.
    pub against: Number,
    /// Author of the patch, shown in the history.
    pub author: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Why a patch is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum PatchError {
    /// The patch was made against another number than the one in force.
    #[error("made against {against}, but {current} is in force")]
    Stale {
        /// Number that the patch was made against.
        against: Number,
        /// Number in force.
        current: Number,
    },
    /// A change of the patch is refused.
    #[error("change {index}: {refusal}")]
    Refused {
        /// Position of the change, from 0.
        index: usize,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// The patch combines a membership change with other changes.
    #[error("a patch in which a member joins or leaves holds that one change only")]
    Membership,
}

impl Config {
    /// Returns the configuration after `patch`.
    ///
    /// # Errors
    ///
    /// Returns why the patch is refused; none of its changes is then applied.
    pub fn patched(&self, patch: &Patch) -> Result<Config, PatchError> {
        if patch.against != self.number {
            return Err(PatchError::Stale { against: patch.against, current: self.number });
        }
        let mut next = self.clone();
        next.number = self.number.next();
        for (index, change) in patch.changes.iter().enumerate() {
            next.change(change).map_err(|refusal| PatchError::Refused { index, refusal })?;
        }
        if next.totals() != self.totals() || next.entry_incarnations() != self.entry_incarnations()
        {
            next.shares = next.number;
        }
        if !self.entry_incarnations().is_subset(&next.entry_incarnations()) {
            next.left = next.number;
        }
        Ok(next)
    }
}
