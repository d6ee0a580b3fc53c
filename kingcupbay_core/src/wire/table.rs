//! The platform's transactional table: `POST /txn`, `POST /read`.

use serde::{Deserialize, Serialize};

/// A row as read. Rows that do not exist are not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Content of the row.
    pub value: String,
    /// Number of writes to this row, from 1.
    pub revision: u64,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required revision; 0 if the row must not exist.
    pub revision: u64,
}

/// A write to one row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; `None` removes the row.
    pub value: Option<String>,
}

/// A transaction. All writes take effect if all conditions hold, and none
/// otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// Conditions that must hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// The answer to a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TxnAnswer {
    /// Every write took effect.
    Committed,
    /// No write took effect. Contains the current state of the rows whose
    /// condition failed.
    Conflict(Vec<Row>),
}

/// A consistent read of several rows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Read {
    /// The rows with these keys.
    Keys(Vec<String>),
    /// Up to `limit` rows with keys from `from` up to, but excluding, `to`.
    Range {
        /// First key of the range.
        from: String,
        /// End of the range, exclusive.
        to: String,
        /// Maximum number of rows in the answer.
        limit: usize,
    },
}

/// Answer to a [`Read`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rows {
    /// Rows that exist, in key order.
    pub rows: Vec<Row>,
}
