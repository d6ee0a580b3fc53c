//! Upstreams that have said in their answers that they leave.
//!
//! The word of an upstream about itself is newer than any row: the store may be away, come
//! back from an older copy, or take a write late. Only a later start of the upstream undoes
//! it.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// How long an announcement is kept once its upstream is no longer registered. An older copy
/// of the store may register it again.
const KEPT_FOR: Span = Span::from_secs(60);

/// One upstream that has said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Announced {
    /// Its start, in milliseconds of its own clock.
    born: u64,
    /// When it was last registered.
    registered: Instant,
}

/// Upstreams that have said that they leave, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct AnnouncedDepartures {
    left: BTreeMap<String, Announced>,
}

impl AnnouncedDepartures {
    /// Records an answer of the upstream `id` that started at `born`. Returns whether it was
    /// not known to leave.
    pub(super) fn on_answer(&mut self, now: Instant, id: &str, born: u64) -> bool {
        let new = !self.contains(id, born);
        if new {
            self.left.insert(id.to_owned(), Announced { born, registered: now });
        }
        new
    }

    /// Returns whether the upstream `id` that started at `born` has said that it leaves.
    pub(super) fn contains(&self, id: &str, born: u64) -> bool {
        self.left.get(id).is_some_and(|announced| born <= announced.born)
    }

    /// Drops the upstreams that have not been registered for a while.
    pub(super) fn expire(&mut self, now: Instant, registered: impl Fn(&str) -> bool) {
        self.left.retain(|id, announced| {
            if registered(id) {
                announced.registered = now;
            }
            now.since(announced.registered) < KEPT_FOR
        });
    }
}
