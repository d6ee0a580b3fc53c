//! Exact amounts of tokens.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Micro-tokens in one token. One token a second is one micro-token a
/// microsecond, so refills are exact, without rounding.
const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Amount of tokens, in micro-tokens. Sums saturate at the largest amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// Zero tokens.
    pub const ZERO: Amount = Amount(0);

    /// Creates an amount of `tokens` whole tokens.
    pub const fn from_tokens(tokens: u64) -> Amount {
        Amount(tokens.saturating_mul(MICROS_PER_TOKEN))
    }

    /// Creates an amount of `micros` micro-tokens.
    pub const fn from_micros(micros: u64) -> Amount {
        Amount(micros)
    }

    /// Returns the amount in micro-tokens.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the amount in whole tokens, rounded down.
    pub const fn as_tokens(self) -> u64 {
        self.0 / MICROS_PER_TOKEN
    }

    /// Returns the amount that `rate` tokens a second yield in `span`.
    pub const fn refill(rate: u64, span: Span) -> Amount {
        Amount(rate.saturating_mul(span.as_micros()))
    }

    /// Returns the time in which `rate` tokens a second yield this amount, rounded
    /// up to a microsecond; `None` if `rate` is zero.
    pub const fn refill_time(self, rate: u64) -> Option<Span> {
        match rate {
            0 => None,
            rate => Some(Span::from_micros(self.0.div_ceil(rate))),
        }
    }

    /// Returns this amount less `other`, or zero if `other` is more.
    pub const fn saturating_sub(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }

    /// Returns this amount times `numerator / denominator`, rounded down; zero for
    /// a zero denominator.
    pub fn scale(self, numerator: u64, denominator: u64) -> Amount {
        Amount(scale(self.0, numerator, denominator))
    }
}

/// Returns `value * numerator / denominator`, rounded down; zero for a zero
/// denominator.
pub(crate) fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return 0;
    }
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl Sub for Amount {
    type Output = Amount;

    fn sub(self, other: Amount) -> Amount {
        Amount(self.0.checked_sub(other.0).expect("an amount never goes below zero"))
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        *self = *self - other;
    }
}
