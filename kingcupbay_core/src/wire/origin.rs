//! Origins of streams, as entries exchange them.
//!
//! Messages are MessagePack over HTTP.

use serde::{Deserialize, Serialize};

/// Path at an entry that takes a list of [`OriginRecord`]. The answer is 204.
pub const ORIGINS_PATH: &str = "/origins";

/// Path at an entry that takes a [`StreamId`]. The answer is an [`Origin`].
pub const ORIGIN_PATH: &str = "/origin";

/// A version of upstreams' software, by the hash of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareId(pub u64);

/// A stream, by the hash of its organisation and of the caller's attempt that brought its first
/// event. No organisation can name a stream of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub u64);

/// The software that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamId,
    /// The software that made its first event.
    pub software: SoftwareId,
}

/// What an entry knows of the origin of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Origin {
    /// Nothing.
    #[default]
    Unknown,
    /// The software that began it.
    Software(SoftwareId),
    /// Different entries have named different software.
    Contradictory,
}

impl Origin {
    /// Combines this with what another entry knows.
    pub fn merge(self, other: Origin) -> Origin {
        match (self, other) {
            (Origin::Unknown, known) | (known, Origin::Unknown) => known,
            (own, other) if own == other => own,
            _ => Origin::Contradictory,
        }
    }
}
