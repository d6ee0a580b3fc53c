//! Between entries: what one has read of the store's tables, for those that do not
//! read them themselves.

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

/// How far an entry has read a table.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Reading {
    /// It knows the table as of this version of the store.
    pub version: u64,
    /// Time since the store answered with that.
    pub age: Span,
    /// Invariant: what changed after this version, up to `version`, is in `changes`.
    pub since: u64,
    /// Changes in the order of their versions.
    pub changes: Vec<Changed>,
}

/// One change of a table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Changed {
    /// Version of the store that shows it.
    pub version: u64,
    /// What happened.
    pub what: What,
}

/// What happened to a row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum What {
    /// An upstream is registered.
    Upstream(Instance),
    /// The upstream with this id is not registered any more.
    UpstreamGone(String),
    /// An entry is registered.
    Entry(Member),
    /// The entry on this host is not registered any more.
    EntryGone(String),
}
