//! Processor time and memory of this process.

use std::{fs, hint::black_box};

use rustix::time::{ClockId, clock_gettime};

/// Repeats of a slow step; the median is taken.
const REPEATS: usize = 5;

/// Bytes of a page.
const PAGE: f64 = 4_096.0;

/// Processor time of this thread so far, in microseconds. Unlike the wall
/// clock it doesn't run while other processes have the core.
pub(super) fn processor() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Microseconds of processor time of `step`: the median of some repeats.
pub(super) fn median<T>(mut step: impl FnMut() -> T) -> f64 {
    let mut spent = [0.0; REPEATS];
    for time in &mut spent {
        let began = processor();
        let result = black_box(step());
        *time = processor() - began;
        drop(result);
    }
    spent.sort_unstable_by(f64::total_cmp);
    spent[REPEATS / 2]
}

/// Microseconds of processor time of each of `rounds` short steps.
pub(super) fn mean<T>(rounds: u32, mut step: impl FnMut(u32) -> T) -> f64 {
    let began = processor();
    for round in 0..rounds {
        black_box(step(round));
    }
    (processor() - began) / f64::from(rounds)
}

/// Resident bytes of this process, 0 where the system does not tell.
pub(super) fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Never frees `value`: memory given back would be taken by the next size's
/// rows and hide how far they grow.
pub(super) fn keep<T>(value: T) {
    std::mem::forget(value);
}
