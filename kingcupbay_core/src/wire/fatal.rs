//! Requests under which upstreams end, as entries report them to each other.
//!
//! Messages are MessagePack over HTTP, with named fields.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Path at an entry that takes a [`RequestEnds`]. The answer is what that entry knows, in the
/// same form.
pub const REQUEST_ENDS_PATH: &str = "/request-ends";

/// Path at an entry that answers with the [`RequestEnds`] that it knows, as a list, those with most
/// ends first.
pub const KNOWN_ENDS_PATH: &str = "/known-ends";

/// Hash of what stays the same over all tries of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// The end of an upstream's process, as one entry has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestEnd {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Time since the end.
    pub age: Span,
}

/// What an entry knows of the upstreams that have ended under a request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestEnds {
    /// The request.
    pub request: RequestKey,
    /// Ends of processes that were running it, each with an id that its observer has given it.
    pub ends: BTreeMap<u64, RequestEnd>,
    /// Time since the last whole answer to it.
    pub completed: Option<Span>,
}
