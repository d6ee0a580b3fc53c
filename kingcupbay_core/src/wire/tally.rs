//! Between entries: what organisations have used, as MessagePack over HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Number;

use super::reading::{Reading, Table};

/// Takes a [`Tally`] of another entry. The answer is 204, or 202 if a whole one is
/// needed.
pub const TALLY_PATH: &str = "/tally";
/// Gives the rows that this daemon knows, to one that cannot reach the store.
pub const ROWS_PATH: &str = "/rows";

/// What one entry's callers have used.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tally {
    /// The entry's host.
    pub host: String,
    /// Drawn at its start; counts begin anew with each.
    pub incarnation: u64,
    /// Number of the configuration that it acts on.
    pub number: Number,
    /// It names every organisation, not only those whose use has changed.
    pub whole: bool,
    /// Use by organisation.
    pub uses: BTreeMap<String, Use>,
    /// Upstreams that have left, with the version of the store that shows it.
    pub left: BTreeMap<String, u64>,
    /// How far the entry has read the store's tables; only those that it reads itself.
    pub readings: BTreeMap<Table, Reading>,
}

/// One organisation's use of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Use {
    /// Tokens admitted since the entry started, less those given back.
    pub spent: i64,
    /// Tokens asked for a second lately, refused ones included.
    pub demand: f64,
    /// What the entry believes to be left of the burst.
    pub level: f64,
}

/// Rows as read from the store, or as another daemon gave them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Copies {
    /// The rows, in the order of their tables and keys.
    pub rows: Vec<Copy>,
}

/// One row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Copy {
    /// Its table.
    pub table: String,
    /// Its key in the table.
    pub key: String,
    /// Its version in the store.
    pub version: u64,
    /// Its content.
    pub value: serde_bytes_vec::Bytes,
}

/// Bytes that travel as bytes, not as a list of numbers.
pub mod serde_bytes_vec {
    use serde::{Deserialize, Serialize};
    use serde_with::{Bytes as AsBytes, serde_as};

    /// Content of a row.
    #[serde_as]
    #[derive(Clone, Debug, Default, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct Bytes(#[serde_as(as = "AsBytes")] pub Vec<u8>);
}
