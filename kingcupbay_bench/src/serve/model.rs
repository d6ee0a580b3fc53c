//! State of a run: events, entries, runners and requests.

use std::collections::BTreeMap;

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Serves, Upstream},
    },
    id::{Name, RequestId, UpstreamId, VersionId},
    route::{InFlight, Report, RetryBudget, Router},
    slot::Order,
    time::Instant,
};

use super::{scheduler::Scheduler, trace::Setting};

/// Events of a run; `usize` values are indices of requests or runners.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Report { upstream: usize, report: Report },
    Tick(usize),
    Loaded { upstream: usize, incarnation: u64, version: VersionId, order: Order, ok: bool },
    Unloaded { upstream: usize, incarnation: u64, version: VersionId, order: Order },
    Finish { upstream: usize, incarnation: u64, request: usize },
    Restart(usize),
    Up(usize),
    Due(usize),
}

/// A runner: the model of its engine and the scheduler of its sidecar.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) scheduler: Scheduler,
    pub(super) incarnation: u64,
    /// False while the engine restarts.
    pub(super) up: bool,
    pub(super) loaded: Vec<VersionId>,
    pub(super) loading: u32,
    pub(super) running: BTreeMap<usize, VersionId>,
    pub(super) seq: u64,
    /// Time up to which the use of the batch has been counted.
    pub(super) counted: Instant,
    /// When the next [`Event::Due`] is scheduled.
    pub(super) due: Instant,
}

/// State of one entry.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) router: Router,
    pub(super) retries: RetryBudget,
}

/// State of one request.
#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) entry: usize,
    pub(super) upstream: usize,
    pub(super) guard: Option<InFlight>,
    pub(super) tried: Vec<UpstreamId>,
    /// When the request began to wait for a load, until it starts or is refused.
    pub(super) stalled: Option<Instant>,
    /// Tokens already generated, and when the current attempt began to generate.
    pub(super) done: u64,
    pub(super) generating: Option<Instant>,
    pub(super) answered: bool,
}

pub(super) fn name(text: &str) -> Name {
    text.parse().expect("names of the experiment are valid")
}

pub(super) fn config(setting: &Setting) -> Config {
    let mut config = Config::default();
    for number in 0..setting.runners {
        let upstream = Upstream {
            name: name(&format!("runner-{number}")),
            host: name(&format!("host-{number}")),
            address: format!("127.0.0.1:{}", 10_000 + number),
            zone: name(&format!("zone-{}", number % 3)),
            serves: Serves::Model { base: name("base"), slots: setting.slots, fenced: true },
            leaving: false,
        };
        config.change(&Change::SetUpstream { upstream }).expect("the upstream is valid");
    }
    config
}

pub(super) fn request_id(index: usize) -> RequestId {
    RequestId((index as u128).to_be_bytes())
}

pub(super) fn index_of(request: RequestId) -> usize {
    u128::from_be_bytes(request.0) as usize
}
