//! Usage reports and stored rows that daemons exchange, as MessagePack over HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{id::Number, time::Span};

use super::read_position::{ReadPosition, Table};

/// Path that takes a [`UsageReport`] of another entry. The answer is 204, or 202
/// if a complete report is needed.
pub const USAGE_PATH: &str = "/tally";
/// Path that returns the [`StoredRows`] known to this daemon, for daemons that
/// cannot reach the store.
pub const ROWS_PATH: &str = "/rows";

/// Path at a limiter that takes an [`AcquireRequest`] of another entry. The answer is an
/// [`AcquireVerdict`].
pub const ACQUIRE_PATH: &str = "/acquire";
/// Path at a limiter that takes back the tokens of an [`AcquireRequest`] whose request did not
/// run. The answer is 204.
pub const REFUND_PATH: &str = "/refund";

/// A request for tokens of an organisation's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Name of the organisation.
    pub organisation: String,
    /// Tokens per second of its limit, as the asking entry knows it.
    pub rate: u64,
    /// Tokens that it may use at once.
    pub burst: u64,
    /// Tokens of the request.
    pub cost: u64,
    /// Kind of the request; `None` from an entry that does not name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<RequestKind>,
    /// Time that the caller has left. Zero if the asking entry does not name it.
    #[serde(default)]
    pub remaining: Span,
}

/// Kind of a request, by which an organisation's tokens are divided while it asks for more
/// than its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestKind {
    /// Hash of the service's name, the same at all daemons of one build.
    pub service: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// The answer to an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AcquireVerdict {
    /// The tokens were taken.
    Acquired,
    /// The limit does not allow the request.
    OverLimit {
        /// Time until it is expected to.
        retry_after: Span,
        /// Whether it will not allow the request within a third of the time that the caller has
        /// left, so that the caller would not wait for it.
        #[serde(default)]
        hopeless: bool,
    },
    /// The asked entry keeps no limits.
    NotLimiter,
}

/// Usage by the callers of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Host of the entry.
    pub host: String,
    /// Random number drawn when the entry starts; a new incarnation counts from
    /// zero.
    pub incarnation: u64,
    /// Number of the configuration that the entry acts on.
    pub number: Number,
    /// Whether the report names every organisation, or only those whose usage has
    /// changed.
    pub whole: bool,
    /// Usage by organisation.
    pub uses: BTreeMap<String, OrganisationUsage>,
    /// Upstreams that have left, with the version of the store that shows their
    /// departure.
    pub left: BTreeMap<String, u64>,
    /// Read positions of the tables that the entry reads from the store itself.
    #[serde(rename = "readings")]
    pub positions: BTreeMap<Table, ReadPosition>,
}

impl UsageReport {
    /// Whether the report has fields that entries of earlier builds do not send. Such a report
    /// is encoded with field names, since earlier builds reject a longer list of values but
    /// ignore names that they do not know.
    pub fn is_extended(&self) -> bool {
        let mut changes = self.positions.values().flat_map(|position| &position.changes);
        self.uses.values().any(|used| !used.kinds.is_empty())
            || changes.any(|change| change.kind.is_extended())
    }
}

/// Usage of one organisation at one entry.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OrganisationUsage {
    /// Tokens admitted since the entry started, minus those returned.
    pub spent: i64,
    /// Recent rate of requested tokens per second, including refused ones.
    pub demand: f64,
    /// Remaining tokens of the burst, as estimated by the entry.
    pub level: f64,
    /// Demand of each kind of request. Empty unless the organisation's requests differ in
    /// priority.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub kinds: BTreeMap<RequestKind, f64>,
}

/// Rows as read from the store or received from another daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRows {
    /// Rows in the order of their tables and keys.
    pub rows: Vec<StoredRow>,
}

/// A row of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRow {
    /// Name of the table.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Version of the row in the store.
    pub version: u64,
    /// Content of the row.
    pub value: serde_bytes_vec::Bytes,
}

/// Bytes that are serialised as a byte string instead of a list of numbers.
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
