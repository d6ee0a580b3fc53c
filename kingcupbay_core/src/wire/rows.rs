//! Rows that outlast every host: what a daemon reads, follows and writes where
//! the platform keeps the configuration.

/// Which row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Its table.
    pub table: String,
    /// Its key in the table.
    pub key: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Which row.
    pub key: RowKey,
    /// Its content.
    pub value: Vec<u8>,
    /// Grows with every transaction of the whole store.
    pub version: u64,
}

/// What happened to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Row),
    /// It is gone, as of this version.
    Removed(RowKey, u64),
}

impl Change {
    /// Version of the store that shows it.
    pub fn version(&self) -> u64 {
        match self {
            Change::Put(row) => row.version,
            Change::Removed(_, version) => *version,
        }
    }
}

/// Rows or changes in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Change>,
    /// Version of the store that the page shows.
    pub version: u64,
    /// Whether rows follow that did not fit.
    pub more: bool,
}

/// All writes happen when all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Rows with the version that each must have, 0 where it must not exist.
    pub conditions: Vec<(RowKey, u64)>,
    /// New contents; `None` removes the row.
    pub writes: Vec<(RowKey, Option<Vec<u8>>)>,
}

/// The answer to a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnAnswer {
    /// Every write took effect, at this version of the store.
    Committed(u64),
    /// No write took effect; the rows whose condition failed, as they are.
    Conflict(Vec<Change>),
}
