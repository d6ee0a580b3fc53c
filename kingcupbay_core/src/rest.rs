//! Upstreams that have turned a request away and asked for rest.
//!
//! Such an upstream names the time for which it wants nothing more from the daemon that it
//! has answered. Others may go on sending to it.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// Longest rest that is granted. A longer one is taken for an error, which must not keep
/// requests from an upstream for ever.
pub(crate) const REST_MAX: Span = Span::from_secs(300);

/// The rest of one upstream.
#[derive(Clone, Copy, Debug)]
struct Rest {
    /// Start of the upstream, in milliseconds of its own clock.
    born: u64,
    until: Instant,
}

/// Upstreams that rest, by id.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    rests: BTreeMap<String, Rest>,
}

impl Rests {
    /// Records that the upstream `id` that started at `born` wants nothing for `time`.
    /// Returns whether it has not been resting.
    pub fn on_refusal(&mut self, now: Instant, id: &str, born: u64, time: Span) -> bool {
        let known = self.rests.get(id);
        if known.is_some_and(|known| born < known.born) {
            return false;
        }
        let known = known.filter(|known| known.born == born && known.until > now);
        let asked = now + time.min(REST_MAX);
        let until = known.map_or(asked, |known| known.until.max(asked));
        let new = known.is_none();
        self.rests.insert(id.to_owned(), Rest { born, until });
        new
    }

    /// Returns how much longer the upstream `id` that started at `born` rests, if it does. A
    /// row may name an earlier start than the refusal, if the store has come back from an older
    /// copy.
    pub fn remaining(&self, now: Instant, id: &str, born: u64) -> Option<Span> {
        let rest = self.rests.get(id).filter(|rest| rest.born >= born && rest.until > now)?;
        Some(rest.until.since(now))
    }

    /// Drops the upstreams that are no longer registered.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.rests.retain(|id, _| known(id));
    }
}
