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

/// Key of the row that holds the patch that made `number`. Keys sort by number.
pub fn delta_key(number: Number) -> String {
    format!("{DELTA_PREFIX}{:020}", number.0)
}

/// Name of the object that holds the snapshot at `number`.
pub fn snapshot_key(number: Number) -> String {
    format!("config-{:020}", number.0)
}

/// Content of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The number in force.
    pub number: Number,
    /// Newest number with a snapshot in the object store.
    pub snapshot: Number,
}

/// A set of changes that is taken whole or refused whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Patch {
    /// Drawn by the operators' tool; tells a repeat of this patch, or a write
    /// whose answer was lost, from somebody else's patch.
    pub id: RequestId,
    /// The number it was made against.
    pub against: Number,
    /// Who made it, for the history.
    pub author: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Why a patch is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum PatchError {
    /// It was made against another number than the one in force.
    #[error("made against {against}, but {current} is in force")]
    Stale {
        /// The patch's number.
        against: Number,
        /// The number in force.
        current: Number,
    },
    /// A change does not check.
    #[error("change {index}: {refusal}")]
    Refused {
        /// Position of the change, from 0.
        index: usize,
        /// Why.
        refusal: Refusal,
    },
    /// It moves membership and does something else too.
    #[error("a patch in which a member joins or leaves holds that one change only")]
    Membership,
}

impl Config {
    /// The configuration after `patch`, which is taken whole or not at all.
    pub fn patched(&self, patch: &Patch) -> Result<Config, PatchError> {
        if patch.against != self.number {
            return Err(PatchError::Stale { against: patch.against, current: self.number });
        }
        let mut next = self.clone();
        next.number = self.number.next();
        for (index, change) in patch.changes.iter().enumerate() {
            next.change(change).map_err(|refusal| PatchError::Refused { index, refusal })?;
        }
        if next.totals() != self.totals() || next.entries() != self.entries() {
            next.shares = next.number;
        }
        if !self.entries().is_subset(&next.entries()) {
            next.left = next.number;
        }
        Ok(next)
    }
}
