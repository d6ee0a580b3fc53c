//! When an entry writes its registration again.
//!
//! Hundreds of entries may register at the same moment, after a start or a loss of power.
//! The store writes the rows of a table one after the other, refuses writes while a second's
//! worth of them waits, and carries out writes whose caller has given up. If each entry
//! repeated an unanswered write at once, the repeats would fill the queue that delays the
//! answers. So an attempt waits for longer than the queue may take, and the pauses between
//! attempts grow and are spread.

use crate::{random::Random, time::Span};

/// Longest pause after the first failed attempt.
const FIRST_PAUSE_MAX: Span = Span::from_millis(600);

/// Longest pause between two attempts.
const PAUSE_MAX: Span = Span::from_secs(8);

/// Failed attempts of one entry to register.
#[derive(Clone, Debug)]
pub struct Registration {
    random: Random,
    failures: u32,
}

impl Registration {
    /// Creates the state of an entry that has made no attempt; `seed` differs between
    /// entries.
    pub fn new(seed: u64) -> Registration {
        Registration { random: Random::new(seed), failures: 0 }
    }

    /// Records a failed attempt. Returns the pause before the next one.
    pub fn on_failure(&mut self) -> Span {
        let longest = FIRST_PAUSE_MAX.as_micros() << self.failures.min(16);
        self.failures += 1;
        let longest = longest.min(PAUSE_MAX.as_micros());
        Span::from_micros(longest / 4 + self.random.below(longest * 3 / 4))
    }
}
