//! What one entry was last told of an engine, and what is worth telling next.
//!
//! Every daemon beside an engine tells every entry, and the smallest hosts' links are
//! narrow. Most messages would say nothing new: adapters are held for seconds, and a
//! load that moves by a few places changes no choice.

use crate::{
    time::{Instant, Span},
    wire::sidecar::EngineLoadReport,
};

/// A message without news goes this often, so that a silent daemon is found: an
/// entry takes three missing ones for its end.
const HEARTBEAT: Span = Span::from_millis(500);

/// Requests, in percent of the places, by which a load must have moved to be
/// told at once. An engine counts as busy from 40 percent on.
const MOVED: u32 = 8;

/// Time to read waiting prompts by which it must have moved; an aim for a first
/// event is some ten times as long.
const DELAYED: Span = Span::from_millis(80);

/// What an entry was told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    last: Option<EngineLoadReport>,
    at: Instant,
    /// It has taken the adapters of `last`.
    taken: bool,
}

impl Told {
    /// What to tell it now, if anything; adapters only if it lacks them.
    pub fn next(&mut self, now: Instant, pressure: &EngineLoadReport) -> Option<EngineLoadReport> {
        let same_held = self.last.as_ref().is_some_and(|last| last.resident == pressure.resident);
        let known = self.taken && same_held;
        let moved = self.last.as_ref().is_none_or(|last| has_moved(last, pressure));
        if known && !moved && now.since(self.at) < HEARTBEAT {
            return None;
        }
        self.at = now;
        self.taken = known;
        self.last = Some(pressure.clone());
        let held = if known { None } else { pressure.resident.clone() };
        Some(EngineLoadReport { resident: held, ..pressure.clone() })
    }

    /// It answered to what it was told at `at`, or did not: whether it knows by
    /// now what the engine holds. An answer to an older message says nothing.
    pub fn on_answer(&mut self, at: Instant, taken: bool) {
        if at == self.at {
            self.taken = taken;
        }
    }
}

fn has_moved(last: &EngineLoadReport, now: &EngineLoadReport) -> bool {
    let load = |pressure: &EngineLoadReport| pressure.running + pressure.waiting;
    let places = load(last).abs_diff(load(now)) * 100;
    last.open != now.open
        || places >= now.slots.max(1) * MOVED
        || last.delay.abs_diff(now.delay) >= DELAYED
}
