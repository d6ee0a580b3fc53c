//! Which requests of plain services are refused before they are sent.
//!
//! An upstream that gets more than it can do queues, and with a full queue each
//! answer comes later than it is of use: everybody waits, and nobody is served
//! in time. So when an upstream's own word on its load tells that the answer
//! would come late, a part of the requests is refused at once, the larger the
//! later it would come, and the others are served in time. A part, not all: each
//! entry hears of the load only by its answers, and entries that all stopped at
//! the same word would leave the upstream idle until they all came back.
//!
//! Load that this answers: one upstream left of three, six slots of 60 ms, 110
//! requests a second from 22 entries, with an aim of 300 ms. Played by
//! `backlog.rs::the_last_upstream_serves_in_time`.

use std::collections::BTreeMap;

use crate::{
    time::{Instant, Span},
    wire::metadata::Load,
};

/// Weight of one answer's time against all before it.
const WEIGHT: f64 = 0.1;

/// A load that was told longer ago than this says nothing any more. An entry
/// with a twentieth of the callers hears five times a second of an upstream.
const TOLD: Span = Span::from_millis(600);

/// Expected time, as part of what is left of the aim, up to which nothing is
/// refused. Work varies by half, so most of such answers are on time.
const CALM: f64 = 0.6;

/// Expected time, as part of what is left of the aim, from which on most are
/// refused. Between the two the part grows evenly.
const FULL: f64 = 1.0;

/// Largest part that is refused; the others bring news of the load.
const MOST: f64 = 0.9;

/// What one upstream's answers told.
#[derive(Clone, Copy, Debug)]
struct Told {
    load: Load,
    at: Instant,
    /// Milliseconds of work of a request.
    work: f64,
}

/// The upstreams of plain services, by id.
#[derive(Debug, Default)]
pub struct Backlog {
    upstreams: BTreeMap<String, Told>,
}

impl Backlog {
    /// An answer came `took` after its request was sent, with the upstream's
    /// word on its load.
    pub fn on_answer(&mut self, now: Instant, id: &str, load: Load, took: Span) {
        let alone = took.as_millis_f64() / rounds(load);
        let told =
            self.upstreams.entry(id.to_owned()).or_insert(Told { load, at: now, work: alone });
        told.work += WEIGHT * (alone - told.work);
        told.load = load;
        told.at = now;
    }

    /// An upstream refused a request and told its load.
    pub fn on_refusal(&mut self, now: Instant, id: &str, load: Load) {
        // Without an answer nothing is known of its work.
        if let Some(told) = self.upstreams.get_mut(id) {
            told.load = load;
            told.at = now;
        }
    }

    /// Forgets upstreams that are not registered any more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| known(id));
    }

    /// When to come back, if a request that is to be answered within `aim` is
    /// refused rather than sent to `id`. `draw` differs from request to request.
    pub fn refuse(&self, now: Instant, id: &str, aim: Span, draw: u64) -> Option<Span> {
        let told = self.upstreams.get(id).filter(|told| now.since(told.at) < TOLD)?;
        if told.load.waiting == 0 {
            return None;
        }
        let expected = told.work * rounds(told.load);
        let aim = aim.as_millis_f64().max(1.0);
        let part = ((expected / aim - CALM) / (FULL - CALM)).clamp(0.0, MOST);
        let drawn = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        // By then what waits now has been worked off.
        (drawn < part).then(|| Span::from_millis_f64(expected))
    }
}

/// Times of work until a request is answered that comes behind those that wait.
fn rounds(load: Load) -> f64 {
    1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
}
