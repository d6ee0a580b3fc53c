//! Rows of the platform's durable store, where daemons read, follow and write the
//! configuration.

/// Bits of a version that count within an era. Numbers of up to 53 bits survive as JSON.
const NUMBER_BITS: u32 = 40;

/// Returns the version with the `number` that the store gave in `era`, the count of its
/// returns from an older copy. After a return the store gives the same numbers again, so
/// that only versions of one era can be compared by number. Versions are ordered by era
/// first.
pub fn version_in_era(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | number
}

/// Returns the era of `version`.
pub fn era(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// Returns the number of `version`, as the store knows it.
pub fn number(version: u64) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}

/// Identifier of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Key within the table.
    pub key: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Identifier of the row.
    pub key: RowKey,
    /// Content of the row.
    pub value: Vec<u8>,
    /// Version of the last write to the row. Versions increase with every
    /// transaction of the whole store.
    pub version: u64,
}

/// Content of a row whose own could not be read. It is no message of anybody.
const UNREADABLE: &[u8] = b"\0";

impl Row {
    /// Returns a row whose content could not be read.
    pub fn unreadable(key: RowKey, version: u64) -> Row {
        Row { key, value: UNREADABLE.to_vec(), version }
    }

    /// Returns whether its content could not be read.
    pub fn is_unreadable(&self) -> bool {
        self.value == UNREADABLE
    }

    /// Returns a row without content. Daemons pass it on to say that the row was removed,
    /// as of `version`.
    pub fn removal(key: RowKey, version: u64) -> Row {
        Row { key, value: Vec::new(), version }
    }

    /// Returns whether the row says that it was removed.
    pub fn is_removal(&self) -> bool {
        self.value.is_empty()
    }
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The row was written.
    Put(Row),
    /// The row was removed, as of this version.
    Removed(RowKey, u64),
}

impl RowChange {
    /// Returns the version of the store that shows the change.
    pub fn version(&self) -> u64 {
        match self {
            RowChange::Put(row) => row.version,
            RowChange::Removed(_, version) => *version,
        }
    }
}

/// A page of rows or changes, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows or changes of the page.
    pub rows: Vec<RowChange>,
    /// Version of the store that the page shows.
    pub version: u64,
    /// Whether more rows follow on another page.
    pub more: bool,
    /// Number of rows that were left out, as they do not say which they are.
    pub nameless: usize,
}

/// A transaction. All writes take effect if all conditions hold, and none
/// otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Required version of each row; 0 if the row must not exist.
    pub conditions: Vec<(RowKey, u64)>,
    /// New contents; `None` removes the row.
    pub writes: Vec<(RowKey, Option<Vec<u8>>)>,
}

/// The answer to a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnAnswer {
    /// Every write took effect, at this version of the store.
    Committed(u64),
    /// No write took effect. Contains the current state of the rows whose
    /// condition failed.
    Conflict(Vec<RowChange>),
}
