//! Which upstreams have left, as entries tell each other.
//!
//! An entry that is cut off from the store, or whose feed hears nothing, goes on
//! sending to an upstream that left; once it reads the store again it cannot tell
//! such a one from one whose registration lapsed while nobody could renew it. Any
//! other entry that saw it leave can, so those that did name it in their tallies.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// How long a departure is told: who was cut off from everybody meanwhile hears of it
/// when the cut is over.
const KEPT: Span = Span::from_secs(60);

/// Tallies that name a new departure, whatever else they name: one or two may be
/// lost.
const NEWS: u32 = 3;

/// Most departures in one tally, the newest first. Those of one minute are more only
/// where nearly all upstreams are replaced.
const TOLD_MAX: usize = 16;

/// One upstream that left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Version of the store that shows it.
    version: u64,
    /// When this daemon learned of it last.
    learned: Instant,
    /// Tallies that have still to name it.
    news: u32,
    /// The store told of it. Only then are others told, so that news does not go
    /// round for ever.
    first_hand: bool,
}

/// Upstreams that left lately, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    left: BTreeMap<String, Departure>,
}

impl Departures {
    /// Version of the store at which the upstream `id` left.
    pub(super) fn version(&self, id: &str) -> Option<u64> {
        self.left.get(id).map(|departure| departure.version)
    }

    /// The store tells that `id` has left.
    pub(super) fn on_store(&mut self, now: Instant, id: &str, version: u64) {
        let known = self.left.get(id).filter(|known| known.first_hand);
        // Of one that leaves more rows may follow; they are no news.
        let news = known.map_or(NEWS, |known| known.news);
        let version = known.map_or(version, |known| known.version.max(version));
        let departure = Departure { version, learned: now, news, first_hand: true };
        self.left.insert(id.to_owned(), departure);
    }

    /// `id` is registered anew.
    pub(super) fn on_back(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Another entry tells that `id` has left.
    pub(super) fn on_told(&mut self, now: Instant, id: &str, version: u64) {
        if self.version(id).is_none_or(|known| known < version) {
            let departure = Departure { version, learned: now, news: 0, first_hand: false };
            self.left.insert(id.to_owned(), departure);
        }
    }

    /// What the next tally names: what is new, or the newest of all in a `whole` one.
    pub(super) fn tell(&mut self, now: Instant, whole: bool) -> BTreeMap<String, u64> {
        self.left.retain(|_, departure| now.since(departure.learned) < KEPT);
        let mut told: Vec<(&String, &mut Departure)> = self
            .left
            .iter_mut()
            .filter(|(_, departure)| departure.first_hand && (whole || departure.news > 0))
            .collect();
        told.sort_by_key(|(_, departure)| std::cmp::Reverse(departure.version));
        told.truncate(TOLD_MAX);
        let name = |(id, departure): (&String, &mut Departure)| {
            departure.news = departure.news.saturating_sub(1);
            (id.clone(), departure.version)
        };
        told.into_iter().map(name).collect()
    }
}
