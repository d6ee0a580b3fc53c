//! When to fetch a newer configuration from another entry.
//!
//! Usage reports carry the configuration number that their sender acts on. Each of
//! many entries sends up to ten a second. An entry that cannot reach the store must
//! learn of withdrawn keys from the others. One fetch per usage report would saturate
//! the links of the hosts that have the newer configuration, so that no fetch completes
//! in time and the overload sustains itself.

use crate::{
    id::Number,
    time::{Instant, Span},
};

use super::waits::{FETCH_PAUSE_MIN, OWN_FEED_DELAY};

/// Longest pause between fetches. The pause doubles with each fetch after which this
/// entry is still behind. A withdrawn key must be refused within some seconds.
const FETCH_PAUSE_MAX: Span = Span::from_secs(2);

/// Tracks how long this entry has been behind, and schedules fetches.
#[derive(Clone, Debug)]
pub struct CatchUp {
    /// Newest configuration number seen in a usage report.
    newest: Number,
    /// Number that this entry acted on at the last check.
    own: Number,
    /// Since when it has been behind with that number. A further change that others
    /// report does not reset this: a feed that misses one change misses the next too.
    behind: Option<Instant>,
    /// Whether a fetch is running.
    fetching: bool,
    /// Earliest time of the next fetch.
    next: Instant,
    /// Pause after the next fetch.
    pause: Span,
}

impl Default for CatchUp {
    fn default() -> CatchUp {
        CatchUp {
            newest: Number::default(),
            own: Number::default(),
            behind: None,
            fetching: false,
            next: Instant::default(),
            pause: FETCH_PAUSE_MIN,
        }
    }
}

impl CatchUp {
    /// Returns the newest configuration number seen in a usage report.
    pub fn newest(&self) -> Number {
        self.newest
    }

    /// Records that another entry acts on `theirs`.
    pub fn on_number(&mut self, theirs: Number) {
        self.newest = self.newest.max(theirs);
    }

    /// Records that another entry acts on `theirs` while this one acts on `own`, and
    /// returns whether to fetch the configuration from it now. If so, the fetch counts as
    /// running until the caller calls [`CatchUp::on_fetch_end`].
    pub fn begin_fetch(&mut self, now: Instant, own: Number, theirs: Number) -> bool {
        self.on_number(theirs);
        if own >= self.newest || own > self.own {
            self.behind = None;
        }
        self.own = own;
        if own >= theirs {
            return false;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) < OWN_FEED_DELAY || self.fetching || now < self.next {
            return false;
        }
        self.fetching = true;
        true
    }

    /// Records the end of a fetch, after which this entry acts on `own`.
    pub fn on_fetch_end(&mut self, now: Instant, own: Number) {
        self.fetching = false;
        let caught_up = own >= self.newest;
        if caught_up {
            self.pause = FETCH_PAUSE_MIN;
        }
        self.next = now + self.pause;
        if !caught_up {
            self.pause = Span::from_micros(self.pause.as_micros() * 2).min(FETCH_PAUSE_MAX);
        }
    }
}
