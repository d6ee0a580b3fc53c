//! Placement: which engine a generation request is sent to.
//!
//! Every entry sorts the engines for an adapter in the same order by rendezvous
//! hashing. The first engine is the adapter's home, so that the fleet loads the adapter
//! once. An engine that held an adapter before also loads it ten times as fast.
//!
//! The engines that hold an adapter share its requests: the least busy one gets the
//! next. While all of them are busier than the other engines, the next engine in the
//! order is asked to load a replica, so the number of replicas follows demand.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{
    admission::load_report::REPORTED_FOR,
    deployment::model::{AdapterName, resident_version},
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

/// Age at which an engine's load report is ignored.
const REPORT_AGE_MAX: Span = Span::from_secs(2);

/// Time without a load report, while reports are due, after which an engine is tried after
/// the others. By then three reports in a row are missing.
const SILENCE_MAX: Span = Span::from_millis(1_500);

/// How long an engine whose reports are missing is tried after the others once no report is
/// due any more. Its sidecar may have restarted and reports only when it is asked again.
const SILENCE_PAUSE: Span = Span::from_secs(5);

/// One engine, as of its last load report.
#[derive(Clone, Debug, Default)]
struct EngineState {
    report: EngineLoadReport,
    /// When the report arrived.
    reported: Option<Instant>,
    /// Requests sent to the engine since then.
    sent: u32,
    /// Since when and until when the sidecar owes reports, as this entry has asked it for
    /// permits.
    due: Option<(Instant, Instant)>,
}

impl EngineState {
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
        let report = &state.report;
        let slots = f64::from(report.slots.max(1));
        let sent = f64::from(state.sent) / slots;
        let fresh = state.reported.is_some_and(|reported| now.since(reported) < REPORT_AGE_MAX);
        match fresh {
            true => {
                let used = f64::from(report.running + report.waiting) / slots;
                used + report.delay.as_millis() as f64 / PREFILL_DELAY_SCALE_MS + sent
            }
            false => sent,
        }
    }

    fn mean_load(&self, now: Instant, candidates: &[SocketAddr]) -> f64 {
        let sum: f64 = candidates.iter().map(|&engine| self.load(now, engine)).sum();
        sum / candidates.len().max(1) as f64
    }
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
