//! Messages between an entry and a sidecar, the daemon beside an engine.
//!
//! They are sent as MessagePack over HTTP.

use serde::{Deserialize, Serialize};

use super::{limit::LimitReport, metadata::Size};
use crate::{
    deployment::model::{AdapterName, ResidentModel},
    id::Number,
    time::Span,
};

/// Path that takes a [`PermitRequest`]. The answer, a [`Verdict`], is sent once
/// the request is granted or refused.
pub const PERMIT_PATH: &str = "/want";
/// Path that takes released permits; the body is a list of [`PermitRelease`].
pub const RELEASE_PATH: &str = "/done";
/// Path at an entry that takes an [`EngineLoadReport`]. The answer is 204 if the
/// entry knows the resident adapters of the engine, 202 if it needs them.
pub const LOAD_REPORT_PATH: &str = "/pressure";

/// A request for permission to run one generation on the engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifier of the caller's attempt, under which the engine runs it.
    pub attempt: String,
    /// Name of the adapter or base model.
    pub name: AdapterName,
    /// Newest version of the adapter known to the entry.
    pub newest: Option<u32>,
    /// Priority; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Tokens of the generation.
    pub size: Size,
    /// Latency target: time left until the first event is late.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// Longest time to wait for a permit.
    #[serde(rename = "patience")]
    pub max_wait: Span,
    /// Longest allowed pause between two events, if the route sets one.
    #[serde(default, rename = "gap")]
    pub event_gap: Option<Span>,
    /// Address at which the entry takes an [`EngineLoadReport`].
    pub entry: std::net::SocketAddr,
    /// How much longer the engine is cold, as its registration says.
    #[serde(default)]
    pub cold: Span,
    /// What the engine has announced to the entry of its limit.
    #[serde(default)]
    pub limit: Option<LimitReport>,
    /// The engine's specification in the entry's configuration.
    #[serde(default)]
    pub spec: Option<SpecDigest>,
}

/// Digest of the specification of an engine. It shows a sidecar whether a configuration that
/// it has not read concerns its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SpecDigest {
    /// Number of the configuration.
    pub number: Number,
    /// Hash of the specification, the same at all daemons of one build.
    pub hash: u64,
}

/// Path at a sidecar that takes an [`AnnouncedVersion`]. The answer is 204.
pub const VERSION_PATH: &str = "/version";

/// A new version of an adapter or a base model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncedVersion {
    /// Name of the adapter or base model.
    pub name: AdapterName,
    /// Its newest version.
    pub version: u32,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The generation may be sent now.
    Granted {
        /// Version of the adapter that is resident on the engine.
        version: Option<u32>,
    },
    /// There is no permit, and the request does not wait for one.
    Refused {
        /// Reason for the refusal.
        why: Refusal,
        /// Time until a permit may be available.
        after: Span,
    },
}

/// Why a [`PermitRequest`] is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The engine has sent no report or has no base model yet.
    Unready,
    /// The wait would be too long.
    Busy,
    /// The adapter is being replaced by a newer version.
    Replacing,
    /// The generation does not fit into the engine's memory.
    TooLarge,
    /// The engine's availability zone is evacuated.
    Evacuated,
}

impl Refusal {
    /// Returns the reason as written to logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Leaving => "leaving",
            Refusal::Unready => "unready",
            Refusal::Busy => "busy",
            Refusal::Replacing => "replacing",
            Refusal::TooLarge => "too_large",
            Refusal::Evacuated => "evacuated",
        }
    }
}

/// A permit whose generation has ended, or which will not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRelease {
    /// Identifier of the caller's attempt.
    pub attempt: String,
    /// Longest time between two events, if the stream completed.
    pub pause: Option<Span>,
}

/// Path that takes a request for a replica of an adapter; the body is the
/// [`AdapterName`].
pub const REPLICA_PATH: &str = "/copy";

/// The load of an engine and its resident adapters.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Address of the engine.
    pub engine: Option<std::net::SocketAddr>,
    /// Requests that are running or about to run.
    pub running: u32,
    /// Requests that are waiting for a permit.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Prefill time of the prompts that are ahead of a new request.
    pub delay: Span,
    /// Whether the engine accepts requests.
    pub open: bool,
    /// Resident adapters; `None` if the entry has been sent them before.
    #[serde(rename = "held")]
    pub resident: Option<Vec<ResidentModel>>,
}
