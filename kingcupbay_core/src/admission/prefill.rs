//! Keeps the pauses between the events of running streams short.
//!
//! An engine reads prompts in pieces between the tokens of the streams that
//! run, and an event holds several tokens. Prompts that come together are read
//! in one step after the other, and every running stream stands still
//! meanwhile: with pieces of 2,048 tokens at 19 tokens a millisecond and three
//! tokens to an event, for 350 ms. So prompts are let through no faster than
//! leaves each event its time. A new request waits a little longer for its
//! first event, of which its aim leaves room.
//!
//! How large the pieces are is not known, so what is worked out for large ones
//! is only where it begins ([`PrefillScale`]): streams tell how long they really stood
//! still. An engine with small pieces may read without a break.
//!
//! Load that this answers: 8 requests a second with 1,175 tokens of prompt on
//! average at one engine, half of what it could read. Played by
//! `pauses.rs::streams_that_run_do_not_stand_still`.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

use super::speed::Speed;

/// Most tokens of prompts that an engine is taken to read between two tokens of a
/// stream: the usual default of engines.
const PIECE: u64 = 2_048;

/// Part of the time beside the tokens of an event, in percent, that may go to
/// prompts. Long ones take a few milliseconds more for each thousand tokens
/// before, and events are a few on their way.
const PART: u64 = 95;

/// Prompts at the engine that are not read yet, as time to read them, where
/// events come in time however many there are: two steps, so that it never runs
/// out of them between two reports.
const WINDOW: Span = Span::from_millis(200);

/// What may be unread where pauses are kept, as a multiple of what goes within
/// one. Reports tell late of what was read; an engine that reads more slowly
/// than is believed shows by more than this.
const BEHIND: u64 = 2;

/// Streams after which it is looked at again how long their pauses were. A busy
/// engine has some four a second end.
const STREAMS: u32 = 24;

/// Longest pause of all of them, as part of the one that is to be kept, up to
/// which more prompts go. Pieces make pauses in steps, and there has to be room for
/// one more.
const CALM: f64 = 0.77;

/// How many of them may stand still before fewer prompts go: a lost packet is no
/// engine's pause.
const STILL: u32 = 1;

/// Most that prompts grow by at a time, as a multiple: one look is enough to reach an
/// engine's full pace from what is worked out.
const MORE: f64 = 1.25;

/// What still goes when streams stood still, as a multiple.
const LESS: f64 = 0.85;

/// Part of what made streams stand still beyond which prompts do not grow again.
const AGAIN: f64 = 0.9;

/// What that bound grows by with each look at streams that did not stand still. It is
/// slow, or an engine slower than others tries too much again and again.
const AGAIN_MORE: f64 = 1.002;

/// Bounds of what is learned, as a multiple of what was worked out. Below 1 callers
/// are refused to spare streams that are on time.
const BOUNDS: (f64, f64) = (1.0, 1.5);

/// How much of what was worked out goes, learned from the pauses of streams.
#[derive(Debug)]
pub(super) struct PrefillScale {
    part: f64,
    /// Not to be passed, as streams stood still a little above. Invariant: not
    /// below `part`.
    ceiling: f64,
    /// Streams that ended since it was last looked at and that ran while prompts
    /// were held back. Pauses of others were short because little was asked for.
    streams: u32,
    /// Those of them that stood still.
    still: u32,
    /// Longest pause of them, as part of the one that is to be kept.
    longest: f64,
}

impl Default for PrefillScale {
    fn default() -> PrefillScale {
        PrefillScale { part: 1.0, ceiling: BOUNDS.1, streams: 0, still: 0, longest: 0.0 }
    }
}

impl PrefillScale {
    /// A stream has ended that ran while prompts were held back; its longest
    /// pause was `pause`, where `gap` is the longest that is to be kept.
    pub(super) fn on_stream_complete(&mut self, pause: Span, gap: Span) {
        let taken = pause.as_millis_f64() / gap.as_millis_f64().max(1.0);
        self.streams += 1;
        self.still += u32::from(taken > 1.0);
        self.longest = self.longest.max(taken);
        if self.still > STILL {
            self.ceiling = self.part * AGAIN;
            self.change(LESS);
        } else if self.streams >= STREAMS {
            self.ceiling *= AGAIN_MORE;
            self.change((CALM / self.longest.max(0.1)).clamp(1.0, MORE));
        }
    }

    fn change(&mut self, by: f64) {
        let (low, high) = BOUNDS;
        self.ceiling = self.ceiling.clamp(low, high);
        self.part = (self.part * by).clamp(low, self.ceiling);
        (self.streams, self.still, self.longest) = (0, 0, 0.0);
    }

    /// As a multiple of what was worked out.
    pub(super) fn part(&self) -> f64 {
        self.part
    }
}

/// How fast prompts may be let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillLimit {
    /// So many tokens within each pause.
    PerGap(u64),
    /// While so many are unread.
    Window(u64),
}

impl PrefillLimit {
    /// The limit of an engine of that pace, if its streams' events may be `gap`
    /// apart and `part` was learned.
    pub fn new(pace: &Speed, gap: Span, part: f64) -> PrefillLimit {
        let steps = pace.stride();
        let piece = pace.time(PIECE).as_micros();
        let longest = pace.event() + Span::from_micros((steps * piece as f64) as u64);
        if longest <= gap {
            return PrefillLimit::Window(pace.tokens_in(WINDOW));
        }
        let free = gap.saturating_sub(pace.event());
        let worked_out = pace.tokens_in(free) * PART / 100;
        let budget = (worked_out as f64 * part) as u64;
        match budget >= pace.tokens_in(gap) {
            true => PrefillLimit::Window(pace.tokens_in(WINDOW)),
            false => PrefillLimit::PerGap(budget),
        }
    }

    /// Tokens that go at once.
    pub(super) fn at_once(self) -> u64 {
        let (PrefillLimit::PerGap(tokens) | PrefillLimit::Window(tokens)) = self;
        tokens
    }

    /// Time until the last of `tokens` is let through.
    pub(super) fn time(self, pace: &Speed, gap: Span, tokens: u64) -> Span {
        match self {
            PrefillLimit::PerGap(budget) => {
                Span::from_micros(tokens.saturating_mul(gap.as_micros()) / budget.max(1))
            }
            PrefillLimit::Window(_) => pace.time(tokens),
        }
    }
}

/// Prompts that were let through lately.
#[derive(Debug, Default)]
pub(super) struct RecentGrants {
    grants: VecDeque<(Instant, u64)>,
}

impl RecentGrants {
    /// A prompt of `tokens` was let through.
    pub(super) fn on_grant(&mut self, now: Instant, tokens: u64) {
        self.grants.push_back((now, tokens));
    }

    /// Forgets what was let through longer than `gap` ago.
    pub(super) fn forget(&mut self, now: Instant, gap: Span) {
        while self.grants.front().is_some_and(|&(at, _)| now.since(at) >= gap) {
            self.grants.pop_front();
        }
    }

    /// Whether a prompt of `tokens` may go now, beside `unread` that went
    /// before. One that is longer than a pause allows goes alone.
    pub(super) fn fits(&self, limit: PrefillLimit, unread: u64, tokens: u64) -> bool {
        match limit {
            PrefillLimit::Window(window) => unread < window,
            PrefillLimit::PerGap(budget) => {
                let recent: u64 = self.grants.iter().map(|(_, tokens)| tokens).sum();
                (recent == 0 || recent + tokens <= budget) && unread < budget * BEHIND
            }
        }
    }
}
