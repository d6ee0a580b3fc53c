//! Seeded callers.

use kingcupbay_core::{random::Random, time::Span};

/// Entries of the fleet.
pub(crate) const ENTRIES: usize = 4;
/// Organisations of the fleet.
pub(crate) const ORGANISATIONS: usize = 5;
/// Tokens a second of an organisation.
pub(crate) const RATE: u64 = 2_000;
/// How much more of its callers an organisation's first entry has.
const SKEW: u64 = 10;
/// Used tokens as part of the rate.
const LOAD: f64 = 0.95;
/// Prompt and permitted output of a request.
const TOKENS: std::ops::Range<u64> = 100..900;

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) organisation: usize,
    pub(crate) entry: usize,
    pub(crate) tokens: u64,
    pub(crate) used: u64,
    pub(crate) length: Span,
}

/// Draws a request; `live` says which entries the balancer gives work to.
pub(crate) fn request(g: &mut Random, organisation: usize, live: &[bool]) -> Request {
    let tokens = TOKENS.start + g.below(TOKENS.end - TOKENS.start);
    // The prompt is used whole, the permitted output in part: 60 % on average.
    let used = tokens / 5 + g.below(tokens * 4 / 5 + 1);
    let length = Span::from_millis(1_000 + g.below(7_000));
    Request { organisation, entry: entry(g, organisation, live), tokens, used, length }
}

/// Time until the next request of an organisation.
pub(crate) fn pause(g: &mut Random) -> Span {
    let mean = (TOKENS.start + TOKENS.end) as f64 / 2.0 * 0.6 / (RATE as f64 * LOAD);
    Span::from_micros((g.exponential(mean) * 1e6) as u64 + 1)
}

fn entry(g: &mut Random, organisation: usize, live: &[bool]) -> usize {
    let weight = |entry: usize| if entry == organisation % ENTRIES { SKEW } else { 1 };
    let total: u64 = (0..ENTRIES).map(weight).sum();
    let mut place = g.below(total);
    let mut chosen = 0;
    for entry in 0..ENTRIES {
        if place < weight(entry) {
            chosen = entry;
            break;
        }
        place -= weight(entry);
    }
    // The balancer spreads a dead entry's callers over the others.
    let others: Vec<_> = (0..ENTRIES).filter(|&entry| live[entry]).collect();
    if live[chosen] { chosen } else { others[g.below(others.len() as u64) as usize] }
}
