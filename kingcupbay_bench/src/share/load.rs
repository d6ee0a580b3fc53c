//! Draws the requests of seeded callers.

use kingcupbay_core::{random::Random, time::Span};

/// Number of entries.
pub(crate) const ENTRIES: usize = 4;
/// Number of organisations.
pub(crate) const ORGANISATIONS: usize = 5;
/// Rate of an organisation.
pub(crate) const TOKENS_PER_SECOND: u64 = 2_000;
/// Ratio of an organisation's callers at its main entry to those at another one.
const SKEW_FACTOR: u64 = 10;
/// Used tokens as a fraction of the rate.
const LOAD_FRACTION: f64 = 0.95;
/// Range of the tokens of a request: its prompt and the permitted output.
const REQUEST_TOKENS: std::ops::Range<u64> = 100..900;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) organisation: usize,
    pub(crate) entry: usize,
    pub(crate) tokens: u64,
    pub(crate) used: u64,
    pub(crate) length: Span,
}

/// Draws a request; `live` marks the entries that the balancer sends requests to.
pub(crate) fn draw_request(random: &mut Random, organisation: usize, live: &[bool]) -> Request {
    let tokens = REQUEST_TOKENS.start + random.below(REQUEST_TOKENS.end - REQUEST_TOKENS.start);
    // The prompt is used completely and the permitted output partly: 60 % of all
    // tokens on average.
    let used = tokens / 5 + random.below(tokens * 4 / 5 + 1);
    let length = Span::from_millis(1_000 + random.below(7_000));
    Request { organisation, entry: draw_entry(random, organisation, live), tokens, used, length }
}

/// Draws the time until the next request of an organisation.
pub(crate) fn draw_pause(random: &mut Random) -> Span {
    let mean = (REQUEST_TOKENS.start + REQUEST_TOKENS.end) as f64 / 2.0 * 0.6
        / (TOKENS_PER_SECOND as f64 * LOAD_FRACTION);
    Span::from_micros((random.exponential(mean) * 1e6) as u64 + 1)
}

fn draw_entry(random: &mut Random, organisation: usize, live: &[bool]) -> usize {
    let weight = |entry: usize| if entry == organisation % ENTRIES { SKEW_FACTOR } else { 1 };
    let total: u64 = (0..ENTRIES).map(weight).sum();
    let mut position = random.below(total);
    let mut chosen = 0;
    for entry in 0..ENTRIES {
        if position < weight(entry) {
            chosen = entry;
            break;
        }
        position -= weight(entry);
    }
    // The balancer distributes a dead entry's callers over the others.
    let others: Vec<_> = (0..ENTRIES).filter(|&entry| live[entry]).collect();
    if live[chosen] { chosen } else { others[random.below(others.len() as u64) as usize] }
}
