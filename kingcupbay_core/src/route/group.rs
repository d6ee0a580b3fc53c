//! Upstreams that serve the same, and the rendezvous choice among them.

use super::holders::Place;
use crate::{
    id::{Id, UpstreamId, VersionId},
    random::mix,
    time::Instant,
};

/// The upstreams of one base model or of one service.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) places: Vec<Place>,
    /// Load that is not much above the others'.
    pub(super) bound: u32,
    /// When `bound` was worked out.
    pub(super) bounded: Option<Instant>,
}

/// Rank of `upstream` for `version`, the same on every entry.
pub(super) fn rank(version: VersionId, upstream: UpstreamId) -> u64 {
    let pair = (u64::from(version.raw()) << 32) | u64::from(upstream.raw());
    mix(pair.wrapping_add(0x9e37_79b9_7f4a_7c15))
}
