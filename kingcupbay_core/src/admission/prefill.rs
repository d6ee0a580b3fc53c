//! Limits prefill so that running streams keep their event gap.
//!
//! An engine prefills prompts in chunks between the decode steps of the running
//! streams, and one event holds several tokens. Prompts that arrive together are
//! prefilled in consecutive steps, which stalls every running stream: with chunks
//! of 2,048 tokens, 19 tokens a millisecond and three tokens per event, for 350 ms.
//! So permits are granted no faster than lets every stream make its next event
//! within the event gap. A new request waits slightly longer for its first event,
//! which its latency target leaves room for.
//!
//! The actual chunk size is unknown. The limit computed for large chunks is only a
//! starting point, which [`PrefillScale`] corrects by the pauses that streams
//! report. An engine with small chunks may prefill without interruption.
//!
//! Such stalls occur at, for example, 8 requests a second with a mean prompt of
//! 1,175 tokens at one engine, half of what it could prefill.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

use super::{pace::Pace, speed::Speed};

/// Most prompt tokens that an engine is assumed to prefill between two tokens of a
/// stream: the usual default of engines.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;

/// Percentage of the time between two events, less that for the event's own tokens,
/// that may go to prefill. Long prompts take a few milliseconds more for each
/// thousand preceding tokens, and events spend a few on the network.
const PREFILL_TIME_PERCENT: u64 = 95;

/// Unread prompts allowed at an engine whose event gap is kept at any prefill load, or
/// at none, as time to prefill them. This is two steps, so that the engine does not run idle
/// between two reports.
const UNREAD_WINDOW: Span = Span::from_millis(200);

/// Unread prompts allowed under a limit per event gap, as a multiple of that limit.
/// Reports show late what was prefilled. An engine that prefills more slowly than
/// estimated exceeds this.
const MAX_UNREAD_BUDGETS: u64 = 2;

/// Streams after which the scale is adjusted. On a busy engine about four streams
/// end each second.
const STREAMS_PER_ADJUSTMENT: u32 = 24;

/// Share of the event gap that the longest pause may take before the scale stops
/// growing. Chunks lengthen a pause in steps, so there must be room for one more
/// chunk.
const TARGET_GAP_SHARE: f64 = 0.77;

/// Stalled streams that do not lower the scale, as a single lost packet also causes
/// a pause.
const TOLERATED_STALLS: u32 = 1;

/// Largest growth of the scale in one adjustment. One such adjustment takes an
/// engine from the computed limit to its full prefill rate.
const MAX_GROWTH_FACTOR: f64 = 1.25;

/// Factor applied to the scale after stalls.
const STALL_FACTOR: f64 = 0.85;

/// Highest scale allowed after stalls, as a share of the scale that caused them.
const CEILING_SHARE: f64 = 0.9;

/// Growth of that ceiling with each adjustment without stalls. It is slow, as a
/// slower engine would otherwise be overloaded again and again.
const CEILING_GROWTH_FACTOR: f64 = 1.002;

/// Lower and upper bound of the scale on a host whose pace does not vary. Below 1, requests
/// would be refused to protect streams that already keep their event gap.
const FACTOR_BOUNDS: (f64, f64) = (1.0, 1.5);

/// Lower bound of the scale on a host whose pace varies, where it only keeps the scale from
/// vanishing: at this share of the computed limit, prompts are sent one by one.
const VARYING_FACTOR_MIN: f64 = 0.05;

/// Factor on the computed prefill limit, learned from the pauses of streams.
#[derive(Debug)]
pub(super) struct PrefillScale {
    factor: f64,
    /// Upper bound of `factor`, just below the value at which streams stalled.
    /// Invariant: not below `factor`.
    ceiling: f64,
    /// Streams that ended since the last adjustment and that ran while prompts were
    /// delayed. Pauses of other streams were short because there was little load.
    streams: u32,
    /// Those of them that stalled: a pause was longer than the event gap.
    stalled: u32,
    /// Their longest pause, as a share of the event gap.
    longest_share: f64,
    /// Lower bound of `factor`.
    floor: f64,
}

impl Default for PrefillScale {
    fn default() -> PrefillScale {
        PrefillScale {
            factor: 1.0,
            ceiling: FACTOR_BOUNDS.1,
            streams: 0,
            stalled: 0,
            longest_share: 0.0,
            floor: FACTOR_BOUNDS.0,
        }
    }
}

impl PrefillScale {
    /// Applies whether the pace of the host varies.
    pub(super) fn on_pace(&mut self, varying: bool) {
        self.floor = if varying { VARYING_FACTOR_MIN } else { FACTOR_BOUNDS.0 };
        self.ceiling = self.ceiling.max(self.floor);
        self.factor = self.factor.max(self.floor);
    }

    /// Records the longest pause of a stream that ended normally and ran while
    /// prompts were delayed.
    pub(super) fn on_stream_complete(&mut self, pause: Span, event_gap: Span) {
        let share = pause.as_millis_f64() / event_gap.as_millis_f64().max(1.0);
        self.streams += 1;
        self.stalled += u32::from(share > 1.0);
        self.longest_share = self.longest_share.max(share);
        if self.stalled > TOLERATED_STALLS {
            self.ceiling = self.factor * CEILING_SHARE;
            self.scale(STALL_FACTOR);
        } else if self.streams >= STREAMS_PER_ADJUSTMENT {
            self.ceiling *= CEILING_GROWTH_FACTOR;
            self.scale(
                (TARGET_GAP_SHARE / self.longest_share.max(0.1)).clamp(1.0, MAX_GROWTH_FACTOR),
            );
        }
    }

    fn scale(&mut self, by: f64) {
        let (low, high) = (self.floor, FACTOR_BOUNDS.1);
        self.ceiling = self.ceiling.clamp(low, high);
        self.factor = (self.factor * by).clamp(low, self.ceiling);
        (self.streams, self.stalled, self.longest_share) = (0, 0, 0.0);
    }

    /// Returns the factor to apply to the computed limit.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }
}

/// How many prompt tokens may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillLimit {
    /// At most this many tokens within each event gap.
    PerGap(u64),
    /// Any number while fewer than this many tokens are unread.
    Window(u64),
}

impl PrefillLimit {
    /// Computes the limit for an engine of this speed whose streams have this event
    /// gap; `factor` scales the limit per event gap. A gap shorter than the time between
    /// two events is missed without any prefill, so it limits none.
    pub fn new(speed: &Speed, event_gap: Span, factor: f64) -> PrefillLimit {
        let chunks = speed.tokens_per_event();
        let chunk = speed.prefill_time(PREFILL_CHUNK_TOKENS).as_micros();
        let longest = speed.event_interval() + Span::from_micros((chunks * chunk as f64) as u64);
        if longest <= event_gap || speed.event_interval() >= event_gap {
            return PrefillLimit::Window(speed.prefill_tokens_in(UNREAD_WINDOW));
        }
        let free = event_gap.saturating_sub(speed.event_interval());
        let computed = speed.prefill_tokens_in(free) * PREFILL_TIME_PERCENT / 100;
        let budget = (computed as f64 * factor) as u64;
        match budget >= speed.prefill_tokens_in(event_gap) {
            true => PrefillLimit::Window(speed.prefill_tokens_in(UNREAD_WINDOW)),
            false => PrefillLimit::PerGap(budget),
        }
    }

    /// Computes the limit for a host whose pace varies, if work takes `work` times as long as
    /// usual. Without a stream that could stall, only what waits at the engine is limited.
    pub(super) fn at_pace(
        pace: &Pace,
        event_gap: Span,
        factor: f64,
        work: f64,
        streaming: bool,
    ) -> PrefillLimit {
        match pace.prefill_budget(event_gap, work).filter(|_| streaming) {
            Some(budget) => PrefillLimit::PerGap((budget as f64 * factor) as u64),
            None => {
                let time = UNREAD_WINDOW.as_millis_f64() / work;
                PrefillLimit::Window((pace.prefill_rate() * time) as u64)
            }
        }
    }

    /// Returns the tokens that can be sent without a wait.
    pub(super) fn burst_tokens(self) -> u64 {
        let (PrefillLimit::PerGap(tokens) | PrefillLimit::Window(tokens)) = self;
        tokens
    }

    /// Returns the time until the last of `tokens` can be sent.
    pub(super) fn wait_time(self, speed: &Speed, event_gap: Span, tokens: u64) -> Span {
        match self {
            PrefillLimit::PerGap(budget) => {
                Span::from_micros(tokens.saturating_mul(event_gap.as_micros()) / budget.max(1))
            }
            PrefillLimit::Window(_) => speed.prefill_time(tokens),
        }
    }
}

/// Prompts of recently granted permits.
#[derive(Debug, Default)]
pub(super) struct RecentGrants {
    grants: VecDeque<(Instant, u64)>,
}

impl RecentGrants {
    /// Records a permit for a prompt of `tokens`.
    pub(super) fn on_grant(&mut self, now: Instant, tokens: u64) {
        self.grants.push_back((now, tokens));
    }

    /// Removes grants that are older than `event_gap`.
    pub(super) fn expire(&mut self, now: Instant, event_gap: Span) {
        while self.grants.front().is_some_and(|&(at, _)| now.since(at) >= event_gap) {
            self.grants.pop_front();
        }
    }

    /// Whether a prompt of `tokens` may be sent now to an engine whose pace varies. One that
    /// would stall the streams is sent alone, and not while the host is slow (`holding`).
    pub(super) fn fits_at_pace(
        &self,
        limit: PrefillLimit,
        unread: u64,
        tokens: u64,
        holding: bool,
    ) -> bool {
        let PrefillLimit::PerGap(budget) = limit else {
            return self.fits(limit, unread, tokens);
        };
        let recent: u64 = self.grants.iter().map(|(_, tokens)| tokens).sum();
        let sent = unread.max(recent);
        sent.saturating_add(tokens) <= budget || (sent == 0 && !holding)
    }

    /// Whether a prompt of `tokens` may be sent now, while `unread` tokens are still
    /// to be prefilled. A prompt longer than the limit per event gap is sent alone.
    pub(super) fn fits(&self, limit: PrefillLimit, unread: u64, tokens: u64) -> bool {
        match limit {
            PrefillLimit::Window(window) => unread < window,
            PrefillLimit::PerGap(budget) => {
                let recent: u64 = self.grants.iter().map(|(_, tokens)| tokens).sum();
                (recent == 0 || recent + tokens <= budget) && unread < budget * MAX_UNREAD_BUDGETS
            }
        }
    }
}
