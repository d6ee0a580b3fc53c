//! The operators' port of a daemon, spoken as JSON over HTTP.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /admin/config` | [`Config`](crate::config::model::Config) |
//! | `GET /admin/history?after=N` | [`History`]: patches that made numbers above N |
//! | `POST /admin/patch` with a [`Patch`] | 200 [`Taken`], 409 or 422 [`Refused`], 503 [`Undecided`] |
//! | `GET /admin/status` | an object, shown as it is |
//! | `GET /admin/dump?host=HOST` | text; without `host` the daemon's own |
//!
//! A patch is told apart by its id, so posting the same one again is harmless
//! and is how a lost answer is resolved.

use serde::{Deserialize, Serialize};

use crate::{
    config::patch::{Patch, PatchError},
    id::Number,
};

/// Path of the whole configuration.
pub const CONFIG_PATH: &str = "/admin/config";

/// Path of the patches since a number, given as `?after=N`.
pub const HISTORY_PATH: &str = "/admin/history";

/// Path that takes patches.
pub const PATCH_PATH: &str = "/admin/patch";

/// Path of a daemon's health and standing.
pub const STATUS_PATH: &str = "/admin/status";

/// Path of a daemon's state dump; `?host=HOST` asks for another daemon's.
pub const DUMP_PATH: &str = "/admin/dump";

/// Answer 200 to a patch: the table holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Taken {
    /// The number it made.
    pub number: Number,
    /// Whether a majority of members hold it too. Only then it is accepted:
    /// without it, a daemon may have standing and not know the patch.
    pub acknowledged: bool,
}

/// Answer 409 (stale) or 422 (does not check) to a patch: nothing changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refused {
    /// Why.
    pub error: PatchError,
}

/// Answer 503 to a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Undecided {
    /// What the daemon can say about the patch.
    pub outcome: Outcome,
    /// One sentence for a person.
    pub message: String,
}

/// What became of a patch that was neither taken nor refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The table may have taken it.
    Unknown,
    /// It provably never reached the table.
    NotTaken,
}

/// Answer to a history request, in the order of the numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// The patches.
    pub patches: Vec<Numbered>,
}

/// A patch and the number it made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Numbered {
    /// The number it made.
    pub number: Number,
    /// The patch.
    pub patch: Patch,
}
