//! Tests of the pace of an engine's host, as measured from its reports.

#![allow(clippy::unwrap_used)]

mod engine;

use engine::{EngineProfile, HostWork, Workload, simulate_host};
use kingcupbay_core::{
    admission::pace::Pace,
    time::{Instant, Span},
};

const LOAD: Workload = Workload { rate: 6.0, seconds: 60.0, prompt: 1_000.0, output: 120 };

fn profile(speed: f64, chunk: u64) -> EngineProfile {
    EngineProfile {
        step_ms: 8.2 / speed,
        prefill: 25.8 * speed,
        chunk,
        event_tokens: 4,
        target_ms: 800,
    }
}

/// Feeds `millis` of steps of `step_ms`, in reports every 20 ms. Returns the time then.
fn decode(pace: &mut Pace, mut now: u64, millis: u64, step_ms: f64) -> u64 {
    let end = now + millis;
    let mut shown = 0;
    let start = now;
    while now < end {
        now += 20;
        let made = ((now - start) as f64 / step_ms) as u64;
        pace.on_progress(
            Instant::from_micros(now * 1_000),
            Span::from_millis(20),
            made - shown,
            // A prompt is prefilled now and then, one token in a microsecond.
            if made.is_multiple_of(7) { 100 } else { 0 },
        );
        shown = made;
    }
    now
}

/// Guards against a steady engine that is taken for one with a varying pace because of its
/// speed, chunks or the quantisation by steps: its decisions would change.
#[test]
fn the_pace_of_a_steady_host_does_not_vary() {
    for speed in [0.5, 0.6, 1.0, 1.6, 2.0] {
        for chunk in [512, 1_024, 2_048, 8_192] {
            for seed in 0..3 {
                let work = HostWork::Steady(1.0);
                let (_, engine) =
                    simulate_host(profile(speed, chunk), LOAD, work, 300, seed, false);
                let dump = engine.admission.dump(engine::instant(LOAD.seconds * 1e3));
                let case = format!("speed {speed} chunk {chunk} seed {seed}: {dump}");
                assert!(dump.contains("work=1.00 varying=false"), "{case}");
            }
        }
    }
}

/// Guards against a host with slow periods that is taken for a steady one: nothing would be
/// limited in them.
#[test]
fn the_pace_of_a_shared_host_varies() {
    for speed in [0.5, 0.6, 1.0, 1.6, 2.0] {
        for chunk in [512, 1_024, 2_048, 8_192] {
            for seed in 0..3 {
                let work = HostWork::Spells(2.5, seed);
                let (_, engine) =
                    simulate_host(profile(speed, chunk), LOAD, work, 300, seed, false);
                let dump = engine.admission.dump(engine::instant(LOAD.seconds * 1e3));
                let case = format!("speed {speed} chunk {chunk} seed {seed}: {dump}");
                assert!(dump.contains("varying=true"), "{case}");
            }
        }
    }
}

/// Guards against a pace that follows a jump too late, and against one that counts a host
/// that is slow for good as slow forever.
#[test]
fn a_jump_is_seen_within_a_quarter_second_and_learned_within_minutes() {
    let mut pace = Pace::default();
    let now = decode(&mut pace, 0, 30_000, 8.0);
    assert!(pace.is_known());
    assert!(!pace.is_varying(Instant::from_micros(now * 1_000)));
    let now = decode(&mut pace, now, 240, 32.0);
    let work = pace.work(Instant::from_micros(now * 1_000));
    assert!((2.5..=4.5).contains(&work), "{work}");
    let now = decode(&mut pace, now, 300_000, 32.0);
    let work = pace.work(Instant::from_micros(now * 1_000));
    assert!((0.9..=1.1).contains(&work), "{work}");
}

/// Guards against reports that stop, repeat themselves or name absurd numbers.
#[test]
fn absurd_reports_leave_a_plausible_pace() {
    let mut pace = Pace::default();
    let mut now = decode(&mut pace, 0, 30_000, 8.0);
    for (elapsed, steps, tokens) in
        [(0, 0, 0), (60_000, 0, 0), (0, u64::MAX / 4, u64::MAX / 4), (20, 1 << 40, 0), (1, 0, 1)]
    {
        now += elapsed;
        let at = Instant::from_micros(now * 1_000);
        pace.on_progress(at, Span::from_millis(elapsed), steps, tokens);
        assert!((0.5..=5.0).contains(&pace.work(at)), "{steps} {tokens}");
    }
    let now = decode(&mut pace, now, 120_000, 8.0);
    let work = pace.work(Instant::from_micros(now * 1_000));
    assert!((0.8..=1.2).contains(&work), "{work}");
}
