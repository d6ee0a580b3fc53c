//! Data model of the operator's configuration and of the upstreams' registrations.

use std::{
    collections::BTreeMap,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::{
    cold::ColdLimits, config::model::KeyHash, id::Number, time::Span, wire::origin::SoftwareId,
};

/// A complete configuration. A new one replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Configuration number. The greater of two is the newer.
    pub number: Number,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Organisations. Empty if requests carry no keys.
    pub organisations: Vec<Rc<Organisation>>,
    /// Hashes of keys, with the index of the owner in `organisations`.
    pub keys: BTreeMap<KeyHash, usize>,
}

/// Whether and how a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a caller.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another upstream may resume after the last event
    /// received.
    Resumable,
}

impl Repeat {
    /// Returns whether a request that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Resumable)
    }

    /// Returns whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::Resumable)
    }
}

/// Maps callers' requests to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host name of matching requests.
    pub host: String,
    /// Path prefix of matching requests, which ends with a slash.
    pub prefix: String,
    /// Services of the route, with their weights. Invariant: not empty.
    pub targets: Vec<Target>,
    /// Whether and how requests may be sent again.
    pub repeat: Repeat,
    /// Longest time that a request waits for its answer.
    pub timeout: Span,
    /// Latency target of an answer, or of a stream's first event.
    pub latency_target: Span,
    /// Longest allowed pause between two events of a stream.
    pub event_gap: Option<Span>,
    /// Largest number of upstreams that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Priority of its requests, 0 being the highest.
    pub priority: u8,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, relative to the sum over all targets.
    pub weight: u32,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one upstream accepts in total.
    pub connections: Option<u32>,
    /// Capacity of its model engines. `None` for plain services.
    pub engine: Option<Engine>,
    /// What an upstream tolerates while it is cold. `None` if it tolerates any rate.
    pub cold: Option<ColdLimits>,
}

impl Service {
    /// Returns a hash of what a sidecar needs to know of its service.
    pub fn spec_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", (&self.engine, &self.cold)).hash(&mut hasher);
        hasher.finish()
    }
}

/// Capacity of one model engine.
#[derive(Clone, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Size of the memory that running requests and kept prompts share, in tokens.
    pub kv_tokens: u64,
    /// Adapters that are loaded at once.
    pub adapter_slots: u32,
    /// Memory for weights, in MB.
    pub weights_mb: f64,
    /// Base models by name.
    pub models: BTreeMap<String, Model>,
    /// Loads of base models per second that the weight store allows, over all engines.
    pub load_rate: Option<f64>,
    /// How engines copy running requests to others. `None` if they do not.
    pub transfers: Option<EngineTransfers>,
}

impl fmt::Debug for Engine {
    /// Formats the engine without `transfers` if it has none: the hash of a specification is
    /// made of this text and is compared with that of earlier builds.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("Engine");
        text.field("slots", &self.slots)
            .field("kv_tokens", &self.kv_tokens)
            .field("adapter_slots", &self.adapter_slots)
            .field("weights_mb", &self.weights_mb)
            .field("models", &self.models)
            .field("load_rate", &self.load_rate);
        if let Some(transfers) = &self.transfers {
            text.field("transfers", transfers);
        }
        text.finish()
    }
}

/// How an engine copies the memory of running requests to another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineTransfers {
    /// Bytes of memory for one token.
    pub token_bytes: u64,
    /// Speed of the engine's link, in Mbit/s. Zero if unknown.
    pub link_mbps: f64,
    /// Time for which an unused copy is kept.
    pub copy_time: Span,
    /// Whether the engine also copies requests while they run, for the case that it fails.
    pub backups: bool,
}

/// A base model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Longest time until a request's head has arrived.
    pub head_timeout: Span,
    /// Time after which a caller's idle connection may be closed, if there is one.
    pub idle_timeout: Option<Span>,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 4 << 20,
            head_timeout: Span::from_secs(5),
            idle_timeout: None,
        }
    }
}

/// An organisation and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, which is sent to upstreams.
    pub name: String,
    /// Priority of its requests, if it overrides the route's.
    pub priority: Option<u8>,
    /// Tokens (or requests) per second over all entries. Zero means no limit.
    pub rate: u64,
    /// Tokens (or requests) that may be used at once.
    pub burst: u64,
    /// Cost of a request that states no number of tokens, in tokens.
    pub plain_cost: u64,
    /// Whether rate and burst count tokens instead of requests.
    pub counts_tokens: bool,
}

/// An upstream's registration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Its id. It usually changes when the upstream restarts.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// When it started, in milliseconds of its own clock. It shows a restart under the
    /// same id.
    pub born: u64,
    /// Number of its writes since it started.
    pub count: u64,
    /// Base models that were loaded at the time of the write.
    pub models: Vec<String>,
    /// Version of the store at the time of the write.
    pub version: u64,
    /// Version of its software, as its row names it. Empty if the row does not, or if the row
    /// was reported by an entry of an earlier build.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: String,
    /// How much longer it is cold. Reports of other entries do not say it.
    #[serde(skip)]
    pub cold_remaining: Span,
}

impl Instance {
    /// Returns the id of its software.
    pub fn software_id(&self) -> SoftwareId {
        SoftwareId::of(&self.software)
    }

    /// Returns whether other entries need a report of this registration if they know
    /// `before`. Changes of the loaded models are not reported: entries learn these from
    /// the engine's sidecar.
    pub fn needs_report(&self, before: &Instance) -> bool {
        let location = |row: &Instance| (row.service.clone(), row.address, row.zone.clone());
        self.leaving
            || before.leaving
            || self.born != before.born
            || self.slots != before.slots
            || self.software != before.software
            || location(self) != location(before)
    }
}

/// Name of an adapter, or of a base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AdapterName {
    /// The base model.
    pub model: String,
    /// The adapter. `None` stands for the base model alone.
    pub adapter: Option<String>,
}

/// A loaded base model and its loaded adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResidentModel {
    /// Its name.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
    /// Versions of its loaded adapters by name.
    pub adapters: BTreeMap<String, u32>,
}

/// Returns the version in which `models` contains `name`.
pub fn resident_version(models: &[ResidentModel], name: &AdapterName) -> Option<u32> {
    let resident = models.iter().find(|resident| resident.model == name.model)?;
    match &name.adapter {
        Some(adapter) => resident.adapters.get(adapter).copied(),
        None => Some(resident.version),
    }
}
