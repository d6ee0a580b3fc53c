//! What the engine remembers for tests.

use kingcupbay_core::id::RequestId;
use serde::{Deserialize, Serialize};

/// What an engine recorded since it was started, over all incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Every stream accepted, in order.
    pub ran: Vec<StreamRecord>,
    /// Most streams that generated at the same time.
    pub most_running: u32,
    /// Adapter versions loaded, in order.
    pub loads: Vec<String>,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapter versions unloaded, in order.
    pub unloads: Vec<String>,
    /// Unload orders refused because a request still used the version.
    pub unloads_in_use: Vec<String>,
    /// Orders refused because their fencing number was old.
    pub fenced: u64,
    /// Orders obeyed although their fencing number was old.
    pub stale: u64,
}

/// One stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamRecord {
    /// Adapter and version, or base model.
    pub model: String,
    /// The request.
    pub request: RequestId,
    /// Position of the first token asked for.
    pub offset: u32,
    /// Tokens generated here.
    pub tokens: u32,
    /// Where it stands.
    pub outcome: Outcome,
}

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Waits for a place in the batch.
    Waiting,
    /// Generates.
    Running,
    /// Sent whole.
    Finished,
    /// Cancelled by order.
    Cancelled,
    /// Its connection ended.
    Dropped,
    /// Replaced by a later stream of the same request.
    Superseded,
    /// Ended by a restart or a fault.
    Cut,
}

impl EngineRecord {
    /// Number of streams with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.ran.iter().filter(|ran| ran.outcome == outcome).count()
    }
}
