//! Processor time and memory of this process.

use std::{fs, hint::black_box};

use rustix::time::{ClockId, clock_gettime};

/// Number of runs of a slow step, of which the median is taken.
const REPEATS: usize = 5;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time of this thread in microseconds. Unlike the wall clock,
/// it does not advance while other processes use the core.
pub(super) fn thread_cpu_micros() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Returns the median processor time of `step` over [`REPEATS`] runs, in
/// microseconds.
pub(super) fn median_cpu_micros<T>(mut step: impl FnMut() -> T) -> f64 {
    let mut spent = [0.0; REPEATS];
    for time in &mut spent {
        let began = thread_cpu_micros();
        let result = black_box(step());
        *time = thread_cpu_micros() - began;
        drop(result);
    }
    spent.sort_unstable_by(f64::total_cmp);
    spent[REPEATS / 2]
}

/// Returns the mean processor time per step over `rounds` short steps, in
/// microseconds.
pub(super) fn mean_cpu_micros<T>(rounds: u32, mut step: impl FnMut(u32) -> T) -> f64 {
    let began = thread_cpu_micros();
    for round in 0..rounds {
        black_box(step(round));
    }
    (thread_cpu_micros() - began) / f64::from(rounds)
}

/// Returns the resident bytes of this process, 0 if the system does not report them.
pub(super) fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Never frees `value`: freed memory would be reused for the rows of the next size
/// and hide their growth.
pub(super) fn leak<T>(value: T) {
    std::mem::forget(value);
}
