//! Evacuated availability zones, as daemons report them to each other.
//!
//! Reports are sent as MessagePack over HTTP, with named fields.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Path that takes an [`EvacuationReport`]. The answer is 204.
pub const EVACUATIONS_PATH: &str = "/evacuations";

/// Whether an availability zone is evacuated, as of a version of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneState {
    /// Version of the store that shows the state. The greater of two is the newer.
    pub version: u64,
    /// Whether upstreams in the zone get no new requests.
    pub evacuated: bool,
}

impl ZoneState {
    /// Returns the state of a zone that was evacuated at `version`.
    pub fn evacuated(version: u64) -> ZoneState {
        ZoneState { version, evacuated: true }
    }

    /// Returns the state of a zone that was restored by `version`.
    pub fn restored(version: u64) -> ZoneState {
        ZoneState { version, evacuated: false }
    }
}

/// States of availability zones that a daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationReport {
    /// State by zone.
    pub zones: BTreeMap<String, ZoneState>,
}
