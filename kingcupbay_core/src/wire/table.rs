//! The platform's transactional table: `POST /txn`, `POST /read`.

use serde::{Deserialize, Serialize};

/// A row as read. A row that does not exist is not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's content.
    pub value: String,
    /// Counts the writes to this row, from 1.
    pub revision: u64,
}

/// A condition on one row: its revision, 0 when it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The revision it must have.
    pub revision: u64,
}

/// A write to one row; `None` removes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new content.
    pub value: Option<String>,
}

/// All writes happen when all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// The answer to a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TxnAnswer {
    /// Every write took effect.
    Committed,
    /// No write took effect; the rows whose condition failed, as they are.
    Conflict(Vec<Row>),
}

/// What to read in one consistent step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Read {
    /// These rows.
    Keys(Vec<String>),
    /// Up to `limit` rows whose key is `from` or greater, below `to`.
    Range {
        /// First key.
        from: String,
        /// Key after the last.
        to: String,
        /// Most rows in the answer.
        limit: usize,
    },
}

/// The rows found, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}
