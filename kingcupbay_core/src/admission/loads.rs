//! How fast an engine gets adapters, and how many it has on their way at once,
//! learned from its own loads.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
};

/// Adapters that may be on their way to one engine at a time; it refuses more.
const TRANSIT: u32 = 4;

/// Adapters on their way at once before any load was seen. After a restart of
/// everything all engines begin together, and the store has room for fewer than
/// there are engines.
const FIRST_MOST: u32 = 1;

/// Time of a load from the weight store at full speed, in milliseconds.
const LOAD: f64 = 250.0;

/// LoadLimiter shorter than this came from the engine's own memory, in milliseconds.
/// They take a tenth of a load from the store and do not slow others down.
const OWN: f64 = 120.0;

/// A load this much longer than at full speed tells that too many are on their
/// way over all engines.
const SLOW: f64 = 1.4;

/// A load this close to full speed tells that there is room for more.
const QUICK: f64 = 1.2;

/// Part of what a load took too long that the pause grows by.
const MORE: f64 = 0.5;

/// Part of the pause that stays after a quick load.
const LESS: f64 = 0.7;

/// Longest pause between two loads, in milliseconds.
const PAUSE_MAX: f64 = 1_750.0;

/// A pause shorter than this, in milliseconds, is none.
const PAUSE_MIN: f64 = 20.0;

/// Weight of one load against those before it.
const LOAD_WEIGHT: f64 = 0.3;

/// Time in which a slow load is half forgotten, in seconds.
const FORGET: f64 = 2.0;

/// How fast adapters come, and how many this engine has on their way at once.
///
/// The weight store serves a few loads over all engines at full speed and slows
/// down in proportion beyond, so more at once bring no more a second; they only
/// make each take longer. Engines do not know of each other's loads, but each
/// sees how long its own take: when they are slow it has one on its way, and
/// pauses between two. The store then brings as many, each in less time, so
/// that those who ask last still get a first event in time.
#[derive(Debug)]
pub struct LoadLimiter {
    /// Most loads on their way. Invariant: 1 to [`TRANSIT`].
    most: u32,
    /// Milliseconds between the end of a load and the next one.
    pause: f64,
    free_at: Instant,
    /// Milliseconds that a load from the store takes, as of `at`.
    time: f64,
    at: Instant,
    /// LoadLimiter on their way and since when.
    begun: BTreeMap<AdapterName, Instant>,
    /// Adapters that the engine has held since it started; it has kept copies.
    had: BTreeSet<AdapterName>,
}

impl Default for LoadLimiter {
    fn default() -> LoadLimiter {
        LoadLimiter {
            most: FIRST_MOST,
            pause: 0.0,
            free_at: Instant::default(),
            time: LOAD,
            at: Instant::default(),
            begun: BTreeMap::new(),
            had: BTreeSet::new(),
        }
    }
}

impl LoadLimiter {
    /// The engine has restarted and kept nothing.
    pub fn on_restart(&mut self) {
        self.begun.clear();
        self.had.clear();
    }

    /// The engine has accepted the load of `name`.
    pub fn on_begin(&mut self, now: Instant, name: AdapterName) {
        self.begun.entry(name).or_insert(now);
    }

    /// A report shows what is loaded and what is on its way.
    pub fn on_report(
        &mut self,
        now: Instant,
        held: impl Fn(&AdapterName) -> bool,
        pending: impl Fn(&AdapterName) -> bool,
    ) {
        let begun = std::mem::take(&mut self.begun);
        for (name, since) in begun {
            if held(&name) {
                if !self.had.contains(&name) {
                    self.on_load(now, now.since(since));
                }
                self.had.insert(name);
            } else if pending(&name) {
                self.begun.insert(name, since);
            }
        }
    }

    /// Whether the load of `name` may begin while `pending` are on their way.
    pub fn may_begin(&self, now: Instant, name: &AdapterName, pending: usize) -> bool {
        match self.had.contains(name) {
            true => pending < TRANSIT as usize,
            false => pending < self.most as usize && now >= self.free_at,
        }
    }

    /// Time of a load from the store.
    pub fn time(&self, now: Instant) -> Span {
        Span::from_millis_f64(self.faded(now))
    }

    /// Time until `name` and the `ahead` loads before it have come.
    pub fn wait(&self, now: Instant, name: &AdapterName, ahead: usize) -> Span {
        if self.had.contains(name) {
            return Span::from_millis(OWN as u64 / 2);
        }
        // With none before it, it is worth a try whatever the last ones took:
        // refusing all would leave slow loads the last that were measured.
        let own = if ahead == 0 { LOAD } else { self.faded(now) };
        let rounds = (ahead / self.most as usize) as f64;
        let before = rounds * (self.faded(now) + self.pause);
        self.free_at.since(now) + Span::from_millis_f64(before + own)
    }

    fn on_load(&mut self, now: Instant, took: Span) {
        let took = took.as_millis_f64();
        if took < OWN {
            return;
        }
        let before = self.faded(now);
        self.time = before + LOAD_WEIGHT * (took - before);
        self.at = now;
        if took > LOAD * SLOW {
            self.most = 1;
            self.pause = (self.pause + MORE * (took - LOAD)).min(PAUSE_MAX);
        } else if took < LOAD * QUICK {
            self.pause *= LESS;
            if self.pause < PAUSE_MIN {
                self.pause = 0.0;
                self.most = (self.most + 1).min(TRANSIT);
            }
        }
        self.free_at = now + Span::from_millis_f64(self.pause);
    }

    /// A slow load says little of the next one some seconds later.
    fn faded(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        LOAD + (self.time - LOAD) * (-age / FORGET).exp2()
    }
}
