//! Learns from an engine's own loads how fast adapters load, and limits how many
//! it loads at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
};

/// Most adapters that may be loading on one engine at a time; it refuses more.
const MAX_PENDING_LOADS: u32 = 4;

/// Limit on concurrent loads before any load was measured. After a full restart all
/// engines start loading together, and the store has capacity for fewer loads than
/// there are engines.
const INITIAL_PENDING_LOADS: u32 = 1;

/// Duration of a load from the weight store at full speed, in milliseconds.
const FULL_SPEED_LOAD_MS: f64 = 250.0;

/// A shorter load, in milliseconds, came from the engine's own memory. Such loads
/// take a tenth of the time of a load from the store and do not slow others down.
const MAX_LOCAL_LOAD_MS: f64 = 120.0;

/// A load that takes this multiple of the time at full speed shows that too many are
/// in progress over all engines.
const SLOW_LOAD_RATIO: f64 = 1.4;

/// A load within this multiple of the time at full speed shows spare capacity.
const FAST_LOAD_RATIO: f64 = 1.2;

/// Growth of the pause after a slow load, as a share of the load's excess time.
const PAUSE_GROWTH_SHARE: f64 = 0.5;

/// Factor applied to the pause after a fast load.
const PAUSE_DECAY_FACTOR: f64 = 0.7;

/// Longest pause between two loads, in milliseconds.
const MAX_PAUSE_MS: f64 = 1_750.0;

/// A shorter pause, in milliseconds, is treated as none.
const MIN_PAUSE_MS: f64 = 20.0;

/// Weight of the latest load in the moving average of load times.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Time in which the effect of a slow load on the estimate halves, in seconds.
const SLOWDOWN_HALF_LIFE_SECS: f64 = 2.0;

/// Limits the rate and number of concurrent loads of one engine.
///
/// The weight store serves a few loads over all engines at full speed and slows
/// down in proportion beyond, so more concurrent loads do not increase throughput
/// and only make each take longer. Engines do not know of each other's loads, but
/// each can time its own. When loads are slow, an engine loads one adapter at a time
/// and pauses between two. The store then serves as many loads, each in less time,
/// so that requests queued last still get their first event in time.
#[derive(Debug)]
pub struct LoadLimiter {
    /// Most concurrent loads. Invariant: 1 to [`MAX_PENDING_LOADS`].
    max_pending: u32,
    /// Milliseconds between the end of a load and the start of the next.
    pause_ms: f64,
    next_start: Instant,
    /// Milliseconds of a load from the store, as of `measured_at`.
    load_ms: f64,
    measured_at: Instant,
    /// Loads in progress, with the time of their start.
    started: BTreeMap<AdapterName, Instant>,
    /// Adapters loaded since the engine started, of which it keeps copies in memory.
    cached: BTreeSet<AdapterName>,
}

impl Default for LoadLimiter {
    fn default() -> LoadLimiter {
        LoadLimiter {
            max_pending: INITIAL_PENDING_LOADS,
            pause_ms: 0.0,
            next_start: Instant::default(),
            load_ms: FULL_SPEED_LOAD_MS,
            measured_at: Instant::default(),
            started: BTreeMap::new(),
            cached: BTreeSet::new(),
        }
    }
}

impl LoadLimiter {
    /// Handles a restart, in which the engine lost all adapters and copies.
    pub fn on_restart(&mut self) {
        self.started.clear();
        self.cached.clear();
    }

    /// Records that the engine accepted the load of `name`.
    pub fn on_load_start(&mut self, now: Instant, name: AdapterName) {
        self.started.entry(name).or_insert(now);
    }

    /// Updates loads in progress from a report and measures those that completed.
    pub fn on_report(
        &mut self,
        now: Instant,
        resident: impl Fn(&AdapterName) -> bool,
        pending: impl Fn(&AdapterName) -> bool,
    ) {
        let started = std::mem::take(&mut self.started);
        for (name, since) in started {
            if resident(&name) {
                if !self.cached.contains(&name) {
                    self.record_load(now, now.since(since));
                }
                self.cached.insert(name);
            } else if pending(&name) {
                self.started.insert(name, since);
            }
        }
    }

    /// Whether the load of `name` may start while `pending` loads are in progress.
    pub fn may_start(&self, now: Instant, name: &AdapterName, pending: usize) -> bool {
        match self.cached.contains(name) {
            true => pending < MAX_PENDING_LOADS as usize,
            false => pending < self.max_pending as usize && now >= self.next_start,
        }
    }

    /// Returns the expected duration of a load from the store.
    pub fn load_time(&self, now: Instant) -> Span {
        Span::from_millis_f64(self.current_load_ms(now))
    }

    /// Returns the expected time until `name` is loaded after `ahead` other loads.
    pub fn wait_time(&self, now: Instant, name: &AdapterName, ahead: usize) -> Span {
        if self.cached.contains(name) {
            return Span::from_millis(MAX_LOCAL_LOAD_MS as u64 / 2);
        }
        // A load with none ahead is assumed to run at full speed. If recent slow
        // loads made this engine refuse all requests, it would never measure a
        // faster one.
        let own_ms = if ahead == 0 { FULL_SPEED_LOAD_MS } else { self.current_load_ms(now) };
        let rounds = (ahead / self.max_pending as usize) as f64;
        let before_ms = rounds * (self.current_load_ms(now) + self.pause_ms);
        self.next_start.since(now) + Span::from_millis_f64(before_ms + own_ms)
    }

    fn record_load(&mut self, now: Instant, took: Span) {
        let took_ms = took.as_millis_f64();
        if took_ms < MAX_LOCAL_LOAD_MS {
            return;
        }
        let before_ms = self.current_load_ms(now);
        self.load_ms = before_ms + SAMPLE_WEIGHT * (took_ms - before_ms);
        self.measured_at = now;
        if took_ms > FULL_SPEED_LOAD_MS * SLOW_LOAD_RATIO {
            self.max_pending = 1;
            self.pause_ms = (self.pause_ms + PAUSE_GROWTH_SHARE * (took_ms - FULL_SPEED_LOAD_MS))
                .min(MAX_PAUSE_MS);
        } else if took_ms < FULL_SPEED_LOAD_MS * FAST_LOAD_RATIO {
            self.pause_ms *= PAUSE_DECAY_FACTOR;
            if self.pause_ms < MIN_PAUSE_MS {
                self.pause_ms = 0.0;
                self.max_pending = (self.max_pending + 1).min(MAX_PENDING_LOADS);
            }
        }
        self.next_start = now + Span::from_millis_f64(self.pause_ms);
    }

    /// Returns the expected milliseconds of a load from the store. A slow load says
    /// little about another one some seconds later, so its effect decays.
    fn current_load_ms(&self, now: Instant) -> f64 {
        let age = now.since(self.measured_at).as_secs_f64();
        FULL_SPEED_LOAD_MS
            + (self.load_ms - FULL_SPEED_LOAD_MS) * (-age / SLOWDOWN_HALF_LIFE_SECS).exp2()
    }
}
