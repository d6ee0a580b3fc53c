//! Load shedding for overloaded plain services.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use kingcupbay_core::{
    backlog::Backlog,
    random::Random,
    time::{Instant, Span},
    wire::metadata::Load,
};

const SLOTS: usize = 6;
const QUEUE: usize = 24;
const ENTRIES: usize = 22;

/// Mean service time of a request, in milliseconds.
const SERVICE_MS: f64 = 60.0;

/// Latency target of an answer, in milliseconds.
const TARGET_MS: f64 = 300.0;

#[derive(Clone, Copy)]
struct Request {
    entry: usize,
    arrived: f64,
}

/// Number of requests by result.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    on_time: u32,
    late: u32,
    refused: u32,
}

impl Counts {
    fn fraction(self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.on_time + self.late + self.refused)
    }
}

fn instant(millis: f64) -> Instant {
    Instant::from_micros(1_000_000 + (millis * 1e3) as u64)
}

/// Simulates entries that send `rate` requests a second to one upstream for a minute.
/// Without `sheds`, only an upstream with a full queue refuses requests.
fn simulate(rate: f64, sheds: bool, seed: u64) -> Counts {
    let mut random = Random::new(seed);
    let mut entries: Vec<Backlog> = (0..ENTRIES).map(|_| Backlog::default()).collect();
    let mut running: Vec<(f64, Request)> = Vec::new();
    let mut queue: VecDeque<Request> = VecDeque::new();
    let mut counts = Counts::default();
    let mut next = 0.0_f64;
    while next < 60_000.0 || !running.is_empty() {
        let end = running.iter().map(|(end, _)| *end).fold(f64::MAX, f64::min);
        let now = if next < 60_000.0 { next.min(end) } else { end };
        if end <= now {
            let at = running.iter().position(|(end, _)| *end <= now).unwrap();
            let (_, done) = running.swap_remove(at);
            if let Some(request) = queue.pop_front() {
                running.push((now + service_time(&mut random), request));
            }
            let load = Load {
                running: running.len() as u32,
                waiting: queue.len() as u32,
                slots: SLOTS as u32,
                ..Load::default()
            };
            let took = now - done.arrived;
            let span = Span::from_micros((took * 1e3) as u64);
            entries[done.entry].on_answer(instant(now), "desk-1", load, span);
            match took <= TARGET_MS {
                true => counts.on_time += 1,
                false => counts.late += 1,
            }
            continue;
        }
        next = now + random.exponential(1e3 / rate);
        let entry = random.below(ENTRIES as u64) as usize;
        let target = Span::from_micros((TARGET_MS * 1e3) as u64);
        let refused = entries[entry].refuse(instant(now), "desk-1", target, random.draw());
        let request = Request { entry, arrived: now };
        if sheds && refused.is_some() || queue.len() >= QUEUE {
            counts.refused += 1;
        } else if running.len() < SLOTS {
            running.push((now + service_time(&mut random), request));
        } else {
            queue.push_back(request);
        }
    }
    counts
}

/// Draws a service time in milliseconds, between 0.5 and 1.5 times the mean.
fn service_time(random: &mut Random) -> f64 {
    SERVICE_MS * (0.5 + random.unit())
}

/// Two of three upstreams are gone, and the last one gets a tenth more requests than it
/// can process. Its queue stays full, every request waits behind 24 others, and one in
/// five is answered late. Refusing about as many before they are queued raises the
/// fraction answered on time from 0.805 to 0.900 (over five seeds).
#[test]
fn the_last_upstream_serves_in_time() {
    for seed in 0..5 {
        let (before, after) = (simulate(110.0, false, seed), simulate(110.0, true, seed));
        assert!(before.fraction(before.on_time) < 0.85, "seed {seed}: {before:?}");
        assert!(after.fraction(after.on_time) > 0.88, "seed {seed}: {after:?}");
        assert!(after.fraction(after.refused) < 0.12, "seed {seed}: {after:?}");
    }
}

/// At twice the upstream's capacity, half of the requests must be refused. Without
/// shedding, most of the other half are answered late.
#[test]
fn shedding_at_twice_the_capacity_answers_more_in_time() {
    let (before, after) = (simulate(200.0, false, 1), simulate(200.0, true, 1));
    assert!(after.on_time * 10 > before.on_time * 13, "{before:?} {after:?}");
    assert!(after.fraction(after.refused) < 0.51, "{after:?}");
}

/// No request is refused for an upstream that can process all of them.
#[test]
fn nothing_is_refused_without_need() {
    let calm = simulate(80.0, true, 1);
    assert!(calm.fraction(calm.refused) < 0.001, "{calm:?}");
}

/// An outdated load report must not cause refusals: without requests, no newer report
/// would ever arrive.
#[test]
fn an_outdated_load_report_refuses_nothing() {
    let mut backlog = Backlog::default();
    let load = Load { running: 6, waiting: 24, slots: 6, ..Load::default() };
    let (target, took) = (Span::from_millis(300), Span::from_millis(300));
    backlog.on_answer(instant(0.0), "desk-1", load, took);
    assert!(backlog.refuse(instant(100.0), "desk-1", target, 0).is_some());
    assert_eq!(backlog.refuse(instant(700.0), "desk-1", target, 0), None);
    assert_eq!(backlog.refuse(instant(100.0), "desk-2", target, 0), None);
}
