//! Groups of interchangeable upstreams, and rendezvous hashing among them.

use super::holders::UpstreamIndex;
use crate::{
    id::{Id, UpstreamId, VersionId},
    random::mix,
    time::Instant,
};

/// The upstreams of one base model or of one service.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Members in the order of their indices.
    pub(super) members: Vec<UpstreamIndex>,
    /// Number of requests up to which the load of a member is not much above the
    /// mean.
    pub(super) load_bound: u32,
    /// When `load_bound` was computed.
    pub(super) bound_at: Option<Instant>,
}

/// Returns the rendezvous hashing score of `upstream` for `version`, which is the
/// same on every entry.
pub(super) fn rendezvous_score(version: VersionId, upstream: UpstreamId) -> u64 {
    let pair = (u64::from(version.raw()) << 32) | u64::from(upstream.raw());
    mix(pair.wrapping_add(0x9e37_79b9_7f4a_7c15))
}
