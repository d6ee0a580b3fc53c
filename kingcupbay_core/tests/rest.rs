//! Upstreams that ask for rest.

use kingcupbay_core::{
    rest::Rests,
    time::{Instant, Span},
};

fn at(secs: u64) -> Instant {
    Instant::from_micros((100 + secs) * 1_000_000)
}

fn secs(secs: u64) -> Option<Span> {
    Some(Span::from_secs(secs))
}

/// A second refusal that asks for less, or one that arrives late, must not shorten a rest.
#[test]
fn a_rest_lasts_as_long_as_the_upstream_asked() {
    let mut rests = Rests::default();
    assert!(rests.on_refusal(at(0), "plain-1", 1, Span::from_secs(3)));
    assert!(!rests.on_refusal(at(1), "plain-1", 1, Span::from_secs(1)));
    assert_eq!(rests.remaining(at(1), "plain-1", 1), secs(2));
    assert_eq!(rests.remaining(at(3), "plain-1", 1), None);
}

/// An upstream restarts. It must not inherit a rest, neither by an early nor by a late answer
/// of the earlier process.
#[test]
fn a_restarted_upstream_does_not_rest() {
    let mut rests = Rests::default();
    rests.on_refusal(at(0), "plain-1", 1, Span::from_secs(3));
    assert_eq!(rests.remaining(at(1), "plain-1", 2), None);
    rests.on_refusal(at(1), "plain-1", 2, Span::from_secs(5));
    rests.on_refusal(at(2), "plain-1", 1, Span::from_secs(30));
    assert_eq!(rests.remaining(at(2), "plain-1", 2), secs(4));
}

/// The store comes back from an older copy, whose row names an earlier start. The rest of the
/// process that runs must last.
#[test]
fn an_older_row_does_not_end_a_rest() {
    let mut rests = Rests::default();
    rests.on_refusal(at(0), "plain-1", 5, Span::from_secs(3));
    assert_eq!(rests.remaining(at(1), "plain-1", 4), secs(2));
}

/// An upstream asks for years of rest by mistake. It must get requests again.
#[test]
fn an_endless_rest_is_cut_short() {
    let mut rests = Rests::default();
    rests.on_refusal(at(0), "plain-1", 1, Span::from_secs(1_000_000_000));
    assert_eq!(rests.remaining(at(300), "plain-1", 1), None);
}
