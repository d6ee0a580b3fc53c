//! Which engine a generation is sent to.
//!
//! Every entry ranks the engines for an adapter in the same order, so an
//! adapter has one home over the whole fleet and is loaded once; an engine that
//! held it before also loads it ten times as fast. Engines that hold an adapter
//! share its requests: the least busy one takes the next. While all of them are
//! busier than the others, the next engine in the order is asked to load a copy, so
//! a popular adapter has as many copies as its demand needs.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{
    deployment::model::{AdapterName, held_version},
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

/// An engine is too busy for more of its adapters when its pressure is above
/// the mean by this factor. A smaller one makes more copies.
const OVER_MEAN: f64 = 1.6;

/// Pressure, as part of the places taken, that is never too busy: sharing out
/// a load this small only makes more copies.
const EASY: f64 = 0.4;

/// Time to read waiting prompts, in milliseconds, that counts as much as all
/// places taken.
const DELAY_SCALE: f64 = 1_500.0;

/// Pressure up to which an engine that holds an adapter takes a request although
/// it is busy, as another one would have to load the adapter first. At 1 all its
/// places are taken or prompts wait for [`DELAY_SCALE`], and a load is sooner.
/// The copy is asked for beside it, as requests that go to the next engine at once
/// wait for the copy there.
const HOLDER: f64 = 1.0;

/// Pause between two copies of one adapter that this entry asks for: a load at full
/// speed, three times as long when the weight store is busy, and the word of it.
const COPIES: Span = Span::from_millis(1_000);

/// What an engine said longer ago than this says nothing of how busy it is.
const STALE: Span = Span::from_secs(2);

/// An engine that told nothing for this long is tried after the others. Six
/// reports in a row are missing then.
const SILENT: Span = Span::from_millis(1_500);

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct Seen {
    pressure: EngineLoadReport,
    /// When it was told.
    at: Option<Instant>,
    /// Requests sent there since.
    since: u32,
}

/// The engines as one entry sees them.
#[derive(Debug, Default)]
pub struct Placement {
    engines: BTreeMap<SocketAddr, Seen>,
    /// When a copy of an adapter was last asked for.
    copies: BTreeMap<AdapterName, Instant>,
}

impl Placement {
    /// Takes what the daemon beside an engine told. Whether it is known by now
    /// what the engine holds.
    pub fn on_pressure(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        pressure: EngineLoadReport,
    ) -> bool {
        let before = self.engines.remove(&engine);
        let held = pressure.resident.or_else(|| before.and_then(|seen| seen.pressure.resident));
        let known = held.is_some();
        let pressure = EngineLoadReport { resident: held, ..pressure };
        self.engines.insert(engine, Seen { pressure, at: Some(now), since: 0 });
        known
    }

    /// A request was sent there.
    pub fn on_send(&mut self, engine: SocketAddr) {
        self.engines.entry(engine).or_default().since += 1;
    }

    /// A request was refused there, or did not arrive.
    pub fn on_refusal(&mut self, engine: SocketAddr) {
        let seen = self.engines.entry(engine).or_default();
        seen.since = seen.since.saturating_sub(1);
    }

    /// Whether the daemon beside `engine` has stopped telling anything.
    pub fn is_silent(&self, now: Instant, engine: SocketAddr) -> bool {
        let at = self.engines.get(&engine).and_then(|seen| seen.at);
        at.is_some_and(|at| now.since(at) >= SILENT)
    }

    /// The version in which `engine` was last known to hold `name`.
    pub fn held(&self, engine: SocketAddr, name: &AdapterName) -> Option<u32> {
        held_version(self.engines.get(&engine)?.pressure.resident.as_deref()?, name)
    }

    /// The best of `candidates` for `name`.
    pub fn choose(
        &self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let bound = self.bound(now, candidates);
        let order = ranked(name, candidates);
        let busy = |engine: &SocketAddr| self.pressure(now, *engine);
        let less = |a: &SocketAddr, b: &SocketAddr| busy(a).total_cmp(&busy(b));
        let holders = order.iter().copied().filter(|&engine| self.held(engine, name).is_some());
        // The first holder in the order would take all until it is busy, and
        // prompts for it, or for the base model that all hold, wait for each
        // other meanwhile.
        let holder = holders.filter(|engine| busy(engine) < bound.max(HOLDER)).min_by(less);
        let calm = order.iter().copied().find(|engine| busy(engine) <= bound);
        holder.or(calm).or_else(|| candidates.iter().copied().min_by(less))
    }

    /// Where to make a copy of `name`, whose holders are all busy; asked for again
    /// only after a while.
    pub fn copy(
        &mut self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.copies.retain(|_, at| now.since(*at) < COPIES);
        if name.adapter.is_none() || self.copies.contains_key(name) {
            return None;
        }
        let bound = self.bound(now, candidates);
        let calm = |engine: &SocketAddr| self.pressure(now, *engine) <= bound;
        let (holders, others): (Vec<SocketAddr>, Vec<SocketAddr>) = ranked(name, candidates)
            .into_iter()
            .partition(|&engine| self.held(engine, name).is_some());
        if holders.is_empty() || holders.iter().any(calm) {
            return None;
        }
        let engine = others.into_iter().find(calm)?;
        self.copies.insert(name.clone(), now);
        Some(engine)
    }

    /// Pressure above which one of `candidates` is too busy.
    fn bound(&self, now: Instant, candidates: &[SocketAddr]) -> f64 {
        (self.mean(now, candidates) * OVER_MEAN).max(EASY)
    }

    /// How busy an engine is: the part of its places that is taken, and the
    /// prompts that wait.
    fn pressure(&self, now: Instant, engine: SocketAddr) -> f64 {
        let Some(seen) = self.engines.get(&engine) else { return 0.0 };
        let told = &seen.pressure;
        let slots = f64::from(told.slots.max(1));
        let sent = f64::from(seen.since) / slots;
        let fresh = seen.at.is_some_and(|at| now.since(at) < STALE);
        match fresh {
            true => {
                let taken = f64::from(told.running + told.waiting) / slots;
                taken + told.delay.as_millis() as f64 / DELAY_SCALE + sent
            }
            false => sent,
        }
    }

    fn mean(&self, now: Instant, candidates: &[SocketAddr]) -> f64 {
        let sum: f64 = candidates.iter().map(|&engine| self.pressure(now, engine)).sum();
        sum / candidates.len().max(1) as f64
    }
}

/// `candidates` in the order for `name`, its home first.
fn ranked(name: &AdapterName, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order: Vec<(u64, SocketAddr)> =
        candidates.iter().map(|&engine| (weight(name, engine), engine)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, engine)| engine).collect()
}

/// Rank of `engine` for `name`, the same at every entry of one build.
fn weight(name: &AdapterName, engine: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.model.hash(&mut hasher);
    name.adapter.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
