//! Parts of prompts that crash engines, as entries report them to each other.
//!
//! Messages are MessagePack over HTTP, with named fields.

use serde::{Deserialize, Serialize};

use super::fatal::RequestEnds;
use crate::time::Span;

/// Path at an entry that takes a list of [`PartReport`]. The answer is 204.
pub const PARTS_PATH: &str = "/parts";

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

/// The end of one process of an engine, by the hash of its id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// What an entry knows of a part that engines may have crashed on.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartId,
    /// Time since each crash of an engine that was about to answer a request with the part.
    pub crashes: Vec<(CrashId, Span)>,
    /// Time since the last answer with the part began that went on.
    pub sound: Option<Span>,
    /// Time since it was found to crash engines.
    pub decided: Option<Span>,
    /// Time since the first crash that counted for that.
    pub since: Option<Span>,
}

/// Parts that an entry reports.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PartReports {
    /// Whether the receiver passes the report on to the limiters.
    pub relay: bool,
    /// The parts.
    pub parts: Vec<PartReport>,
    /// Requests that no upstream gets any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<RequestEnds>,
}
