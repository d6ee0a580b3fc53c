//! Read positions in the store's tables, which entries that read a table send to
//! those that do not.

use serde::{Deserialize, Serialize};

use crate::{
    deployment::{catalogue::Member, model::Instance},
    time::Span,
};

/// A table of the store that daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// The configuration and announced versions.
    Operator,
    /// Registered upstreams.
    Upstreams,
    /// Registered entries.
    Entries,
}

/// Position up to which an entry has read a table.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReadPosition {
    /// Version of the store up to which the table has been read.
    pub version: u64,
    /// Time since the store answered with `version`.
    pub age: Span,
    /// Start of `changes`. Invariant: every change after this version, up to
    /// `version`, is in `changes`.
    pub since: u64,
    /// Changes in ascending order of their versions.
    pub changes: Vec<TableChange>,
}

/// One change of a table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TableChange {
    /// Version of the store that shows the change.
    pub version: u64,
    /// Kind of the change, with the row concerned.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// What happened to a row of a table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ChangeKind {
    /// An upstream is registered.
    Upstream(Instance),
    /// The upstream with this id is no longer registered.
    UpstreamGone(String),
    /// An entry is registered.
    Entry(Member),
    /// The entry on this host is no longer registered.
    EntryGone(String),
}

impl ChangeKind {
    /// Whether the change has fields that entries of earlier builds do not send.
    pub fn is_extended(&self) -> bool {
        matches!(self, ChangeKind::Upstream(row) if !row.software.is_empty())
    }
}
