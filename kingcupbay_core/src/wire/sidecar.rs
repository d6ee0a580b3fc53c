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
    /// Organisation that the request belongs to; `None` from an entry that does not name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Whether the engine already has the memory of the run, so that it prefills nothing.
    #[serde(default, skip_serializing_if = "is_false")]
    pub transferred: bool,
}

fn is_false(value: &bool) -> bool {
    !value
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
    /// Expected waits of requests that are less urgent than the most urgent one, in ascending
    /// order of priority. Empty if `delay` holds for every priority.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delays: Vec<PriorityDelay>,
    /// What the engine can take at the moment; `None` if its sidecar does not measure it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<EngineCapacity>,
}

impl EngineLoadReport {
    /// Whether the report has fields that sidecars of earlier builds do not send. Such a report
    /// is encoded with field names, since earlier builds reject a longer list of values but
    /// ignore names that they do not know.
    pub fn is_extended(&self) -> bool {
        !self.delays.is_empty() || self.capacity.is_some()
    }

    /// Returns the expected wait of a request of this `priority`.
    pub fn delay_for(&self, priority: u8) -> Span {
        let named = self.delays.iter().rev().find(|row| row.priority <= priority);
        named.map_or(self.delay, |row| row.delay)
    }
}

/// Expected wait for a permit at one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PriorityDelay {
    /// Priority from which this wait applies; 0 is the most urgent.
    pub priority: u8,
    /// Prefill time of the prompts that are ahead of a new request of this priority.
    pub delay: Span,
}

/// What an engine can take, as its sidecar has measured it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Prompt tokens prefilled per second at the usual pace of its host.
    pub prefill_rate: u32,
    /// Time between two events of a stream, without prefill, at the usual pace.
    pub event_interval: Span,
    /// How long work takes on its host at the moment, in percent of the usual time.
    pub work_percent: u32,
    /// Prompt tokens per second that the engine can prefill at the moment while every running
    /// stream keeps its event gap. Zero if it cannot keep the gap even for a single stream.
    pub sustained_rate: u32,
}

/// Path at an entry that takes a list of [`TransferRequest`]. The answer is 204.
pub const TRANSFER_PATH: &str = "/transfer";

/// A sidecar's request that an entry continues a running stream at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TransferRequest {
    /// Address of the engine that runs the stream.
    pub engine: std::net::SocketAddr,
    /// Identifier of the caller's attempt.
    pub attempt: String,
    /// Time until the engine is gone, if known.
    pub within: Option<Span>,
    /// Why the stream has to continue elsewhere.
    pub why: TransferReason,
}

/// Why a stream continues at another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum TransferReason {
    /// The engine is leaving.
    Leaving,
    /// The engine's availability zone is evacuated.
    Evacuated,
    /// The engine has become too slow for the stream's event gap.
    Slow,
}

impl TransferReason {
    /// Returns the reason as written to logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            TransferReason::Leaving => "leaving",
            TransferReason::Evacuated => "evacuated",
            TransferReason::Slow => "slow",
        }
    }
}
