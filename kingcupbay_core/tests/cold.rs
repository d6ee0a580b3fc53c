//! Request rate of cold upstreams.

use kingcupbay_core::{
    cold::{ColdGate, ColdLimits, ColdShares},
    time::{Instant, Span},
};

const COLD_LIMITS: ColdLimits = ColdLimits { rate: 12.0, time: Span::from_secs(3) };

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + millis * 1_000)
}

/// Returns the times, in milliseconds, of the grants to callers that ask all the time.
fn grants(gate: &mut ColdGate, millis: std::ops::Range<u64>) -> Vec<u64> {
    let granted = millis.filter(|&now| {
        let granted = gate.may_grant(at(now));
        if granted {
            gate.on_grant(at(now));
        }
        granted
    });
    granted.collect()
}

/// Returns the most grants in one second.
fn busiest_second(times: &[u64]) -> usize {
    let count = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    times.iter().map(count).max().unwrap_or_default()
}

/// An engine restarts under a flood of requests and fails above its cold rate.
#[test]
fn a_cold_upstream_gets_its_rate_at_most() {
    let mut gate = ColdGate::default();
    gate.on_limits(at(0), Some(COLD_LIMITS));
    let warm = grants(&mut gate, 4_000..8_000);
    assert_eq!(busiest_second(&warm), 18);
    gate.on_cold(at(8_000));
    let cold = grants(&mut gate, 8_000..11_000);
    assert_eq!((busiest_second(&cold), cold.len()), (12, 36));
}

/// An engine turns cold at any moment, and nobody knows. The requests of a second that
/// begins before and ends after must stay below what makes it fail, well above the rate.
#[test]
fn an_upstream_that_may_have_turned_cold_gets_a_bounded_rate() {
    let mut gate = ColdGate::default();
    gate.on_limits(at(0), Some(COLD_LIMITS));
    let mut times = grants(&mut gate, 0..8_500);
    gate.on_cold(at(8_500));
    times.extend(grants(&mut gate, 8_500..14_000));
    assert!(busiest_second(&times) <= 18, "{}", busiest_second(&times));
}

/// A sidecar is killed and its successor does not know what was granted a moment before.
#[test]
fn a_new_gate_assumes_that_the_rate_was_just_used() {
    let mut gate = ColdGate::default();
    gate.on_limits(at(0), Some(COLD_LIMITS));
    let first = grants(&mut gate, 0..250);
    assert!(first.len() <= 3, "{first:?}");
    assert_eq!(busiest_second(&grants(&mut gate, 250..3_000)), 12);
}

/// Requests that would wait for longer than they can are refused, so the expected wait has
/// to be the one that follows.
#[test]
fn the_expected_wait_is_met() {
    let mut gate = ColdGate::default();
    gate.on_limits(at(0), Some(COLD_LIMITS));
    for ahead in [0, 5, 30] {
        let expected = gate.wait(at(0), ahead).as_millis();
        let times = grants(&mut gate.clone(), 0..4_000);
        assert!(times[ahead].abs_diff(expected) <= 250, "{ahead}: {} of {expected}", times[ahead]);
    }
}

/// An upstream without a cold rate takes any number of requests.
#[test]
fn no_limits_grant_everything() {
    let mut gate = ColdGate::default();
    gate.on_limits(at(0), None);
    gate.on_cold(at(0));
    assert_eq!(grants(&mut gate, 0..500).len(), 500);
    assert_eq!(gate.wait(at(500), 1_000), Span::ZERO);
}

/// No daemon counts the requests of all entries to a plain service. All begin at once, and
/// together they must keep to the rate.
#[test]
fn the_shares_of_all_entries_add_up_to_the_rate() {
    for entries in [1, 4, 21, 340] {
        let mut shares: Vec<ColdShares> = (0..entries as u64).map(ColdShares::new).collect();
        let mut times = Vec::new();
        for now in 0..40_000 {
            for share in &mut shares {
                if share.try_send(at(now), "desk-1", COLD_LIMITS, entries).is_ok() {
                    times.push(now);
                }
            }
        }
        let rate = times.len() as f64 / 40.0;
        assert!(rate <= COLD_LIMITS.rate + 0.1, "{entries} entries: {rate} a second");
        assert!(busiest_second(&times) <= 18, "{entries}: {}", busiest_second(&times));
    }
}
