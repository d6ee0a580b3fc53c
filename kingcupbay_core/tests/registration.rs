//! Registration of many entries at once in a store that writes one row after the other.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use kingcupbay_core::deployment::{registration::Registration, waits::STORE_WRITE_TIMEOUT};

/// Step of the simulation, in milliseconds. The store writes one row in each.
const STEP_MS: u64 = 5;

/// Writes that wait at most, a second's worth; the store refuses further ones.
const QUEUE_MAX: usize = 200;

/// What an entry does next.
enum Step {
    /// It writes at this time.
    Write(u64),
    /// It waits for an answer until this time.
    Wait(u64),
    Registered,
}

/// Starts `count` entries within `spread` milliseconds. Returns when the last one is
/// registered, in milliseconds, and the number of writes.
fn register(count: usize, spread: u64, seed: u64) -> (u64, usize) {
    let start = |at: usize| Step::Write(at as u64 * spread / count as u64);
    let mut entries: Vec<(Step, Registration)> =
        (0..count).map(|at| (start(at), Registration::new(seed * 10_000 + at as u64))).collect();
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let mut writes = 0;
    let mut listed = vec![false; count];
    for now in (0..600_000).step_by(STEP_MS as usize) {
        if let Some((at, sent)) = queue.pop_front() {
            listed[at] = true;
            if now < sent + STORE_WRITE_TIMEOUT.as_millis() {
                entries[at].0 = Step::Registered;
            }
        }
        for (at, (step, registration)) in entries.iter_mut().enumerate() {
            match *step {
                Step::Write(due) if due <= now && listed[at] => *step = Step::Registered,
                Step::Write(due) if due <= now => {
                    writes += 1;
                    *step = if queue.len() < QUEUE_MAX {
                        queue.push_back((at, now));
                        Step::Wait(now + STORE_WRITE_TIMEOUT.as_millis())
                    } else {
                        Step::Write(now + registration.on_failure().as_millis())
                    };
                }
                Step::Wait(until) if until <= now => {
                    *step = Step::Write(now + registration.on_failure().as_millis());
                }
                _ => {}
            }
        }
        if entries.iter().all(|(step, _)| matches!(step, Step::Registered)) {
            return (now, writes);
        }
    }
    panic!("{count} entries: not all are registered");
}

/// Guards against entries that keep each other from registering: if all repeat unanswered
/// writes at once, the store's queue never empties.
#[test]
fn all_entries_register_although_they_start_together() {
    for seed in 0..5 {
        for (count, spread) in [(27, 300), (196, 0), (356, 300), (623, 0), (720, 300), (1_440, 0)] {
            let (last, writes) = register(count, spread, seed);
            // The store needs 5 ms for each; four times that leaves room for spread pauses.
            let limit = 1_000 + count as u64 * STEP_MS * 4;
            assert!(last <= limit, "seed {seed}: {count} entries took {last} ms");
            assert!(writes <= 4 * count, "seed {seed}: {count} entries wrote {writes} times");
        }
    }
}
