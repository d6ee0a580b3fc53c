//! Limits that upstreams announce, as daemons report them to each other.
//!
//! Reports are sent as MessagePack over HTTP, with named fields.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Path at an entry that takes [`LimitReports`]. The answer is 204.
pub const LIMITS_PATH: &str = "/limits";

/// What the last answer of an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// Start of the upstream that answered, in milliseconds of its own clock.
    pub born: u64,
    /// Requests per second; `None` for any number.
    pub rate: Option<f64>,
    /// Time since the answer.
    pub age: Span,
}

/// Limits that upstreams have announced to an entry.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReports {
    /// Limit by the upstream's id.
    pub upstreams: BTreeMap<String, LimitReport>,
}
