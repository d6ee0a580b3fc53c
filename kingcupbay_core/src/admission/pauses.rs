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
//! Load that this answers: 8 requests a second with 1,175 tokens of prompt on
//! average at one engine, half of what it could read. Played by
//! `pauses.rs::streams_that_run_do_not_stand_still`.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

use super::pace::Pace;

/// Most tokens of prompts that an engine reads between two tokens of a stream:
/// the usual default of engines. One with smaller pieces only gets prompts more
/// evenly than it needs.
const PIECE: u64 = 2_048;

/// Part of the time beside the tokens of an event, in percent, that may go to
/// prompts. Long ones take a few milliseconds more for each thousand tokens
/// before, and events are a few on their way; at 105 a pause is passed by one
/// stream in eight of the load above, at 95 by none.
const PART: u64 = 95;

/// Prompts at the engine that are not read yet, as time to read them, where
/// events come in time however many there are: two steps, so that it never runs
/// out of them between two reports.
const WINDOW: Span = Span::from_millis(200);

/// What may be unread where pauses are kept, as a multiple of what goes within
/// one. Reports tell late of what was read; an engine that reads more slowly
/// than is believed shows by more than this.
const BEHIND: u64 = 2;

/// How fast prompts may be let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// So many tokens within each pause.
    Paced(u64),
    /// While so many are unread.
    Window(u64),
}

impl Limit {
    /// The limit of an engine of that pace, if its streams' events may be `gap`
    /// apart.
    pub fn new(pace: &Pace, gap: Span) -> Limit {
        let steps = pace.stride();
        let piece = pace.time(PIECE).as_micros();
        let longest = pace.event() + Span::from_micros((steps * piece as f64) as u64);
        if longest <= gap {
            return Limit::Window(pace.tokens_in(WINDOW));
        }
        let free = gap.saturating_sub(pace.event());
        Limit::Paced(pace.tokens_in(free) * PART / 100)
    }

    /// Tokens that go at once.
    pub(super) fn at_once(self) -> u64 {
        let (Limit::Paced(tokens) | Limit::Window(tokens)) = self;
        tokens
    }

    /// Time until the last of `tokens` is let through.
    pub(super) fn time(self, pace: &Pace, gap: Span, tokens: u64) -> Span {
        match self {
            Limit::Paced(budget) => {
                Span::from_micros(tokens.saturating_mul(gap.as_micros()) / budget.max(1))
            }
            Limit::Window(_) => pace.time(tokens),
        }
    }
}

/// Prompts that were let through lately.
#[derive(Debug, Default)]
pub(super) struct Recent {
    grants: VecDeque<(Instant, u64)>,
}

impl Recent {
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
    pub(super) fn fits(&self, limit: Limit, unread: u64, tokens: u64) -> bool {
        match limit {
            Limit::Window(window) => unread < window,
            Limit::Paced(budget) => {
                let recent: u64 = self.grants.iter().map(|(_, tokens)| tokens).sum();
                (recent == 0 || recent + tokens <= budget) && unread < budget * BEHIND
            }
        }
    }
}
