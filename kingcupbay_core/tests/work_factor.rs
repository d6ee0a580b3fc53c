//! Upstreams that say in their answers how long work takes on their machines at the moment.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    health::Health,
    random::Random,
    time::{Instant, Span},
    wire::metadata::Load,
};

const UPSTREAM_IDS: [&str; 3] = ["plain-1", "plain-2", "plain-3"];
const ENTRY_COUNT: u64 = 4;
const SLOTS: usize = 6;

/// Time of a request at the usual pace, in milliseconds.
const SERVICE_MS: f64 = 30.0;

/// Latency target of an answer, in milliseconds.
const TARGET_MS: f64 = 80.0;

/// How often the pace of a machine changes, in milliseconds.
const PACE_PERIOD_MS: f64 = 200.0;

fn instant(millis: f64) -> Instant {
    Instant::from_micros(1_000_000) + Span::from_millis_f64(millis)
}

/// One machine in four takes three times as long, another one at each change.
fn percent(seed: u64, upstream: usize, now: f64) -> u32 {
    let period = (now / PACE_PERIOD_MS) as u64;
    let draw = Random::new(seed ^ (period * 3 + upstream as u64)).below(4);
    if draw == 0 { 300 } else { 100 }
}

/// Simulates half a minute of requests at `rate` a second. Returns the fraction of late
/// answers. Without `named`, the answers name no pace.
fn late_fraction(rate: f64, named: bool, seed: u64) -> f64 {
    let mut random = Random::new(seed);
    let mut entries: Vec<Health> = (0..ENTRY_COUNT).map(|_| Health::default()).collect();
    let mut ends: Vec<Vec<f64>> = vec![Vec::new(); UPSTREAM_IDS.len()];
    let mut answers: Vec<(f64, usize, usize)> = Vec::new();
    let (mut now, mut late, mut count) = (0.0, 0, 0);
    while now < 30_000.0 {
        now += random.exponential(1e3 / rate);
        answers.sort_by(|a, b| a.0.total_cmp(&b.0));
        while answers.first().is_some_and(|(end, ..)| *end <= now) {
            let (end, entry, at) = answers.remove(0);
            ends[at].retain(|&other| other > end);
            let load = Load {
                running: ends[at].len().min(SLOTS) as u32,
                waiting: ends[at].len().saturating_sub(SLOTS) as u32,
                slots: SLOTS as u32,
                work_percent: named.then(|| percent(seed, at, end)),
            };
            entries[entry].on_end(UPSTREAM_IDS[at]);
            entries[entry].on_load(instant(end), UPSTREAM_IDS[at], load);
        }
        let entry = random.below(ENTRY_COUNT) as usize;
        let chosen =
            entries[entry].choose(instant(now), UPSTREAM_IDS.into_iter(), random.draw()).unwrap();
        let at = UPSTREAM_IDS.iter().position(|id| *id == chosen).unwrap();
        entries[entry].on_send(chosen);
        let mut busy = ends[at].clone();
        busy.sort_by(f64::total_cmp);
        let free = busy.len().checked_sub(SLOTS).map_or(now, |index| busy[index]);
        let end = free + SERVICE_MS * f64::from(percent(seed, at, now)) / 100.0;
        ends[at].push(end);
        answers.push((end, entry, at));
        count += 1;
        late += u32::from(end - now > TARGET_MS);
    }
    f64::from(late) / f64::from(count)
}

/// Guards against requests to a machine that says that it is slow while others are not.
#[test]
fn a_slow_machine_is_avoided() {
    for rate in [60.0, 120.0, 180.0] {
        for seed in 0..3 {
            let (ignored, used) =
                (late_fraction(rate, false, seed), late_fraction(rate, true, seed));
            assert!(used < ignored, "{rate} a second, seed {seed}: {used} of {ignored}");
        }
    }
}
