//! Placement: which engine a generation request is sent to.
//!
//! Every entry sorts the engines for an adapter in the same order by rendezvous
//! hashing. The first engine is the adapter's home, so that the fleet loads the adapter
//! once. An engine that held an adapter before also loads it ten times as fast.
//!
//! The engines that hold an adapter share its requests: the least busy one gets the
//! next. While all of them are busier than the other engines, the next engine in the
//! order is asked to load a replica, so the number of replicas follows demand.
//!
//! Where the speeds of engines differ, [`pace`] chooses by expected times instead.
//!
//! In a large fleet, an entry asks each engine so rarely that it knows the load of few. It
//! learns that an adapter is in demand as its engines refuse requests, and then spreads the
//! adapter's requests over twice as many engines, as long as the fleet is mostly idle.

mod pace;

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

pub use self::pace::RequestNeeds;

use crate::{
    admission::load_report::REPORTED_FOR,
    deployment::model::{AdapterName, resident_version},
    random::mix,
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

/// Factor above the mean load from which an engine counts as busy. A smaller factor
/// makes more replicas.
const BUSY_MEAN_FACTOR: f64 = 1.6;

/// Load, as a fraction of the slots in use, up to which an engine never counts as
/// busy. Spreading a load this small only makes more replicas.
const BUSY_LOAD_MIN: f64 = 0.4;

/// Prefill time of waiting prompts, in milliseconds, that counts as much as all slots
/// in use.
const PREFILL_DELAY_SCALE_MS: f64 = 1_500.0;

/// Load up to which an engine that holds an adapter still gets requests for it when
/// busy, as another engine would have to load the adapter first. At 1, all its slots
/// are in use or prompts wait for [`PREFILL_DELAY_SCALE_MS`], and loading the adapter
/// elsewhere is faster. Until then the replica is loaded in parallel, as requests sent
/// to the next engine at once would wait for the load there.
const HOLDER_LOAD_MAX: f64 = 1.0;

/// Pause between two replicas of one adapter that this entry requests. It covers a
/// load at full speed (three times as long when the weight store is busy) and its
/// report.
const REPLICA_PAUSE: Span = Span::from_millis(1_000);

/// Mean load of the engines up to which the fleet counts as idle: a request that would wait at
/// one engine is better off at another, although that has to load its adapter.
const IDLE_FLEET_LOAD_MAX: f64 = 0.2;

/// Age at which an engine's load report says nothing about the fleet any more.
const FLEET_REPORT_AGE_MAX: Span = Span::from_secs(10);

/// Time after which an adapter's requests are spread over half as many engines.
const SPREAD_HALF_LIFE: Span = Span::from_secs(10);

/// Time after which a spread is forgotten: it has been halved six times.
const SPREAD_FORGOTTEN: Span = Span::from_secs(60);

/// Age at which an engine's load report is ignored.
const REPORT_AGE_MAX: Span = Span::from_secs(2);

/// Time without a load report, while reports are due, after which an engine is tried after
/// the others. By then three reports in a row are missing.
const SILENCE_MAX: Span = Span::from_millis(1_500);

/// How long an engine whose reports are missing is tried after the others once no report is
/// due any more. Its sidecar may have restarted and reports only when it is asked again.
const SILENCE_PAUSE: Span = Span::from_secs(5);

/// Number of engines that learn of a new version of an adapter from a reader. Others learn of
/// it with the first request for the adapter.
const USUAL_HOLDERS: usize = 3;

/// One engine, as of its last load report.
#[derive(Clone, Debug, Default)]
struct EngineState {
    report: EngineLoadReport,
    /// When the report arrived.
    reported: Option<Instant>,
    /// Requests sent to the engine since then, and their prompt tokens.
    sent: u32,
    sent_tokens: u64,
    /// Since when and until when the sidecar owes reports, as this entry has asked it for
    /// permits.
    due: Option<(Instant, Instant)>,
}

impl EngineState {
    /// Returns the load as of the last report.
    fn reported_load(&self) -> f64 {
        let report = &self.report;
        let used = f64::from(report.running + report.waiting) / f64::from(report.slots.max(1));
        used + report.delay.as_millis() as f64 / PREFILL_DELAY_SCALE_MS
    }

    /// Returns for how long a report that was due has been missing.
    fn missing_for(&self, now: Instant) -> Span {
        let Some((since, until)) = self.due else { return Span::ZERO };
        now.min(until).since(self.reported.unwrap_or_default().max(since))
    }
}

/// State of the engines, as one entry knows it.
#[derive(Debug, Default)]
pub struct Placement {
    engines: BTreeMap<SocketAddr, EngineState>,
    /// When a replica of each adapter was last requested.
    replicas: BTreeMap<AdapterName, Instant>,
    /// Over how many engines the requests of each adapter were last spread, and since when.
    spreads: BTreeMap<AdapterName, (usize, Instant)>,
}

impl Placement {
    /// Applies a load report from an engine's sidecar. Returns whether the engine's
    /// resident adapters are known by now.
    pub fn on_load_report(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        report: EngineLoadReport,
    ) -> bool {
        let state = self.engines.entry(engine).or_default();
        let resident = report.resident.or_else(|| state.report.resident.take());
        let known = resident.is_some();
        state.report = EngineLoadReport { resident, ..report };
        state.reported = Some(now);
        state.sent = 0;
        state.sent_tokens = 0;
        known
    }

    /// Records that a request was sent to `engine`, whose sidecar owes reports from now on.
    pub fn on_send(&mut self, now: Instant, engine: SocketAddr) {
        let state = self.engines.entry(engine).or_default();
        state.sent += 1;
        let since = state.due.filter(|&(_, until)| now < until).map_or(now, |(since, _)| since);
        state.due = Some((since, now + REPORTED_FOR));
    }

    /// Records that a request to `engine` was refused, or did not arrive.
    pub fn on_refusal(&mut self, engine: SocketAddr) {
        let state = self.engines.entry(engine).or_default();
        state.sent = state.sent.saturating_sub(1);
    }

    /// Returns whether the sidecar of `engine` has stopped sending load reports that it owes.
    pub fn is_silent(&self, now: Instant, engine: SocketAddr) -> bool {
        let Some(state) = self.engines.get(&engine) else { return false };
        let recent = state.due.is_some_and(|(_, until)| now < until + SILENCE_PAUSE);
        recent && state.missing_for(now) >= SILENCE_MAX
    }

    /// Returns the version of `name` that `engine` last reported as resident.
    pub fn resident_version(&self, engine: SocketAddr, name: &AdapterName) -> Option<u32> {
        resident_version(self.engines.get(&engine)?.report.resident.as_deref()?, name)
    }

    /// Returns the best of `candidates` for a request of `name`.
    pub fn choose(
        &self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let busy_from = self.busy_threshold(now, candidates);
        let order = preference_order(name, candidates);
        let load = |engine: &SocketAddr| self.load(now, *engine);
        let less = |a: &SocketAddr, b: &SocketAddr| load(a).total_cmp(&load(b));
        let holders =
            order.iter().copied().filter(|&engine| self.resident_version(engine, name).is_some());
        // Not the first holder in the order: it would get every request until it is
        // busy, and prompts for the adapter, or for the base model that all engines
        // hold, would queue there meanwhile.
        let holder =
            holders.filter(|engine| load(engine) < busy_from.max(HOLDER_LOAD_MAX)).min_by(less);
        let idle = order.iter().copied().find(|engine| load(engine) <= busy_from);
        holder.or(idle).or_else(|| candidates.iter().copied().min_by(less))
    }

    /// Returns the number of engines over which requests of `name` are spread.
    fn spread(&self, now: Instant, name: &AdapterName) -> usize {
        let Some(&(engines, since)) = self.spreads.get(name) else { return 1 };
        let halvings = now.since(since).as_micros() / SPREAD_HALF_LIFE.as_micros();
        (engines >> halvings.min(32)).max(1)
    }

    /// Records that an engine has refused a request of `name` as it is busy, or let it wait in
    /// vain. `engines` is the number of those that could have got it.
    pub fn on_busy(&mut self, now: Instant, name: &AdapterName, engines: usize) {
        let forgotten = |since: Instant| now.since(since) >= SPREAD_FORGOTTEN;
        self.spreads.retain(|_, (_, since)| !forgotten(*since));
        let spread = (self.spread(now, name) * 2).min(engines.max(1));
        self.spreads.insert(name.clone(), (spread, now));
    }

    /// Returns whether the engines that this entry knows of are mostly idle.
    pub fn is_fleet_idle(&self, now: Instant) -> bool {
        let is_recent = |state: &&EngineState| {
            state.reported.is_some_and(|reported| now.since(reported) < FLEET_REPORT_AGE_MAX)
        };
        let loads = self.engines.values().filter(is_recent).map(EngineState::reported_load);
        let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| (count + 1, sum + load));
        sum <= IDLE_FLEET_LOAD_MAX * f64::from(count)
    }

    /// Returns the engine for a request of `name`, an adapter whose requests are spread. `draw`
    /// is a random number, drawn anew for each request.
    pub fn choose_spread(
        &self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
        draw: u64,
    ) -> Option<SocketAddr> {
        let spread = self.spread(now, name);
        if spread <= 1 || !self.is_fleet_idle(now) {
            return None;
        }
        let order = preference_order(name, candidates);
        let engines = order.into_iter().take(spread).enumerate();
        let key = |&(at, engine): &(usize, SocketAddr)| {
            ((self.load(now, engine) * 1e3) as u64, mix(draw ^ at as u64))
        };
        engines.min_by_key(key).map(|(_, engine)| engine)
    }

    /// Returns the engine that should load a replica of `name`, if all its holders are
    /// busy. After that, returns none for the adapter for `REPLICA_PAUSE`.
    pub fn choose_replica(
        &mut self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.replicas.retain(|_, at| now.since(*at) < REPLICA_PAUSE);
        if name.adapter.is_none() || self.replicas.contains_key(name) {
            return None;
        }
        let busy_from = self.busy_threshold(now, candidates);
        let idle = |engine: &SocketAddr| self.load(now, *engine) <= busy_from;
        let (holders, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            preference_order(name, candidates)
                .into_iter()
                .partition(|&engine| self.resident_version(engine, name).is_some());
        if holders.is_empty() || holders.iter().any(idle) {
            return None;
        }
        let engine = others.into_iter().find(idle)?;
        self.replicas.insert(name.clone(), now);
        Some(engine)
    }

    /// Returns the load above which one of `candidates` counts as busy.
    fn busy_threshold(&self, now: Instant, candidates: &[SocketAddr]) -> f64 {
        (self.mean_load(now, candidates) * BUSY_MEAN_FACTOR).max(BUSY_LOAD_MIN)
    }

    /// Returns the load of an engine: the fraction of its slots in use, with requests
    /// sent since its report, plus the prefill time of waiting prompts over
    /// [`PREFILL_DELAY_SCALE_MS`].
    fn load(&self, now: Instant, engine: SocketAddr) -> f64 {
        let Some(state) = self.engines.get(&engine) else { return 0.0 };
        let sent = f64::from(state.sent) / f64::from(state.report.slots.max(1));
        let fresh = state.reported.is_some_and(|reported| now.since(reported) < REPORT_AGE_MAX);
        if fresh { state.reported_load() + sent } else { sent }
    }

    fn mean_load(&self, now: Instant, candidates: &[SocketAddr]) -> f64 {
        let sum: f64 = candidates.iter().map(|&engine| self.load(now, engine)).sum();
        sum / candidates.len().max(1) as f64
    }
}

/// Returns the engines among `candidates` that usually hold `name`: its home and those that
/// replicas are requested of first.
pub fn usual_holders(name: &AdapterName, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order = preference_order(name, candidates);
    order.truncate(USUAL_HOLDERS);
    order
}

/// Sorts `candidates` by preference for `name`, its home first.
fn preference_order(name: &AdapterName, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order: Vec<(u64, SocketAddr)> =
        candidates.iter().map(|&engine| (rendezvous_hash(name, engine), engine)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, engine)| engine).collect()
}

/// Hashes `name` with `engine`. The result is the same at every entry of one build.
fn rendezvous_hash(name: &AdapterName, engine: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.model.hash(&mut hasher);
    name.adapter.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
