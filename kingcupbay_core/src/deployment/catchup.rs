//! When to ask another entry for a configuration that it has and this one
//! lacks.
//!
//! Tallies carry the number that their sender acts on, ten a second from each of
//! many. An entry that lags because the store is away for it must learn of
//! withdrawn keys from the others, but one fetch for each tally is a storm: it
//! fills the links of the hosts that know more, so that no fetch ends in time,
//! and lasts for as long as it prevents what would end it.

use crate::{
    id::Number,
    time::{Instant, Span},
};

use super::waits::{FETCH_PAUSE_MIN, OWN_FEED_DELAY};

/// Longest pause; it doubles with each fetch that brought nothing. A withdrawn key has
/// to be dead some seconds later.
const PAUSE_MAX: Span = Span::from_secs(2);

/// How far this entry has been behind, and what it did about it.
#[derive(Clone, Debug)]
pub struct CatchUp {
    /// Newest number that was heard of.
    newest: Number,
    /// Number that this entry acted on when it was last looked at.
    own: Number,
    /// Since when it has been behind with that number. A change that others tell of
    /// meanwhile does not begin this anew: the feed that hears nothing of one change
    /// hears nothing of the next one.
    behind: Option<Instant>,
    /// A fetch is on its way.
    asking: bool,
    /// No fetch before this.
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
            asking: false,
            next: Instant::default(),
            pause: FETCH_PAUSE_MIN,
        }
    }
}

impl CatchUp {
    /// Newest number that was heard of.
    pub fn newest(&self) -> Number {
        self.newest
    }

    /// Another entry acts on `theirs`.
    pub fn on_number(&mut self, theirs: Number) {
        self.newest = self.newest.max(theirs);
    }

    /// Another entry acts on `theirs`, this one on `own`: whether to ask that
    /// one now. If so, [`CatchUp::on_fetch_end`] is owed.
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
        if now.since(since) < OWN_FEED_DELAY || self.asking || now < self.next {
            return false;
        }
        self.asking = true;
        true
    }

    /// The fetch has ended; `own` is the number that this entry acts on now.
    pub fn on_fetch_end(&mut self, now: Instant, own: Number) {
        self.asking = false;
        let caught_up = own >= self.newest;
        if caught_up {
            self.pause = FETCH_PAUSE_MIN;
        }
        self.next = now + self.pause;
        if !caught_up {
            self.pause = Span::from_micros(self.pause.as_micros() * 2).min(PAUSE_MAX);
        }
    }
}
