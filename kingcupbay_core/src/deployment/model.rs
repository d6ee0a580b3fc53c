//! Rows of a declared configuration.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::{config::model::KeyHash, id::Number, time::Span};

/// A whole configuration; it is replaced, never changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Its number; of two configurations the greater number is the newer.
    pub number: Number,
    /// Every way for callers.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Organisations. Empty where requests carry no keys.
    pub organisations: Vec<Rc<Organisation>>,
    /// Whose key a hash is, as an index into `organisations`.
    pub keys: BTreeMap<KeyHash, usize>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of a caller.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that may go on elsewhere after the last event that came.
    Resumable,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::Resumable)
    }
}

/// A way for callers to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that a request names.
    pub host: String,
    /// What the path begins with; it ends with a slash.
    pub prefix: String,
    /// The services behind it with their weights. Invariant: not empty.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a request is kept waiting.
    pub timeout: Span,
    /// Time within which an answer, or a stream's first event, is on time.
    pub latency_target: Span,
    /// Longest pause between two events of a stream that is on time.
    pub event_gap: Option<Span>,
    /// Most upstreams that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whether a request needs no key.
    pub anonymous: bool,
}

/// One service behind a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, against the sum over all targets.
    pub weight: u32,
}

/// Upstreams that serve the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one upstream accepts from all callers together.
    pub connections: Option<u32>,
    /// What its model engines can do; plain services have none.
    pub engine: Option<Engine>,
}

/// What one model engine can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and kept prompts share.
    pub kv_tokens: u64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Room for weights in MB.
    pub weights_mb: f64,
    /// Base models by name.
    pub models: BTreeMap<String, Model>,
    /// Loads of base models that the weight store allows a second, over all
    /// engines.
    pub load_rate: Option<f64>,
}

/// A base model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Size of its weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head in bytes.
    pub head: usize,
    /// Longest body in bytes.
    pub body: usize,
    /// Time for a head to arrive.
    pub head_timeout: Span,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// What holds until a configuration is known.
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 4 << 20,
            head_timeout: Span::from_secs(5),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, which upstreams are told.
    pub name: String,
    /// Rank of its requests where it goes before the route's.
    pub priority: Option<u8>,
    /// Tokens (or requests) a second over all entries; zero is no limit.
    pub rate: u64,
    /// Tokens (or requests) at once.
    pub burst: u64,
    /// What a request counts that states no tokens.
    pub plain_cost: u64,
    /// Whether rate and burst count tokens, not requests.
    pub counts_tokens: bool,
}

/// An upstream as it has registered itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Its id; a restart brings mostly a new one.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// A leaving upstream gets nothing new.
    pub leaving: bool,
    /// When it started by its own clock, in milliseconds; tells a restart
    /// under the same id.
    pub born: u64,
    /// Counts what it wrote since it started.
    pub count: u64,
    /// Base models that it held when it wrote this.
    pub models: Vec<String>,
    /// Version of the store at which it wrote this.
    pub version: u64,
}

impl Instance {
    /// Whether another entry has to hear of this one after `before`. What an engine holds
    /// it learns from the daemon beside that engine.
    pub fn needs_report(&self, before: &Instance) -> bool {
        let place = |row: &Instance| (row.service.clone(), row.address, row.zone.clone());
        self.leaving
            || before.leaving
            || self.born != before.born
            || self.slots != before.slots
            || place(self) != place(before)
    }
}

/// An adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AdapterName {
    /// The base model.
    pub model: String,
    /// The adapter; the base model alone has none.
    pub adapter: Option<String>,
}

/// A loaded base model.
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

/// The version in which `name` is loaded where `held` is.
pub fn resident_version(held: &[ResidentModel], name: &AdapterName) -> Option<u32> {
    let held = held.iter().find(|held| held.model == name.model)?;
    match &name.adapter {
        Some(adapter) => held.adapters.get(adapter).copied(),
        None => Some(held.version),
    }
}
