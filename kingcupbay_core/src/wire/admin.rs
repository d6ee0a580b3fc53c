//! The interface of a daemon's operator port, as JSON over HTTP.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /admin/config` | [`Config`](crate::config::model::Config) |
//! | `GET /admin/history?after=N` | [`History`]: patches that created the numbers above N |
//! | `POST /admin/patch` with a [`Patch`] | 200 [`PatchStored`], 409 or 422 [`PatchRefused`], 503 [`PatchUndecided`] |
//! | `GET /admin/status` | an object, shown unchanged |
//! | `GET /admin/dump?host=HOST` | text; without `host`, the dump of the daemon itself |
//!
//! A patch is identified by its id, so posting it again has no further effect.
//! A client that lost an answer posts the patch again to learn the outcome.

use serde::{Deserialize, Serialize};

use crate::{
    config::patch::{Patch, PatchError},
    id::Number,
};

/// Path of the configuration.
pub const CONFIG_PATH: &str = "/admin/config";

/// Path of the patches after a number, given as `?after=N`.
pub const HISTORY_PATH: &str = "/admin/history";

/// Path that takes patches.
pub const PATCH_PATH: &str = "/admin/patch";

/// Path of the status of a daemon: its health and standing.
pub const STATUS_PATH: &str = "/admin/status";

/// Path of the state dump of a daemon; `?host=HOST` requests the dump of another
/// daemon.
pub const DUMP_PATH: &str = "/admin/dump";

/// Answer 200 to a patch: the table has stored it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PatchStored {
    /// Number of the configuration that the patch created.
    pub number: Number,
    /// Whether a majority of members hold the patch too. The patch counts as
    /// accepted only then: otherwise a daemon may have standing without knowing
    /// the patch.
    pub acknowledged: bool,
}

/// Answer 409 (stale) or 422 (invalid) to a patch: nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PatchRefused {
    /// Reason for the refusal.
    pub error: PatchError,
}

/// Answer 503 to a patch that was neither stored nor refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PatchUndecided {
    /// What the daemon knows about the patch.
    pub outcome: UndecidedOutcome,
    /// One sentence for the operator.
    pub message: String,
}

/// State of a patch that was neither stored nor refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UndecidedOutcome {
    /// The table may have stored the patch.
    Unknown,
    /// The patch definitely did not reach the table.
    NotTaken,
}

/// Answer to a history request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// Patches in ascending order of their numbers.
    pub patches: Vec<NumberedPatch>,
}

/// A patch and the number of the configuration that it created.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NumberedPatch {
    /// Number of the configuration that the patch created.
    pub number: Number,
    /// Content of the patch.
    pub patch: Patch,
}
