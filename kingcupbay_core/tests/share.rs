//! Rate shares under random schedules, against exact oracles.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, ReservationId, Share},
    },
    time::{Instant, Span},
};
use quickcheck::Gen;

const RATE: u64 = 3;
const BURST: u64 = 10;

fn share(rate: u64, capacity: u64, level: u64) -> Share {
    let (capacity, level) = (Amount::from_tokens(capacity), Amount::from_tokens(level));
    Share { rate, capacity, level }
}

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

fn draw(g: &mut Gen, below: u64) -> u64 {
    let any: u64 = quickcheck::Arbitrary::arbitrary(g);
    any % below
}

/// What happened to a bucket, to be replayed with other charges.
#[derive(Clone, Copy, Debug)]
enum Event {
    Reserve { now: Instant, charge: Amount },
    Take { now: Instant, part: Share },
    Add { now: Instant, part: Share },
}

/// The bucket as it would be had each reservation been charged as now known.
fn replay(events: &[Event], now: Instant) -> Share {
    let mut bucket = Bucket::new(at(0), share(RATE, BURST, BURST));
    for &event in events {
        match event {
            Event::Reserve { now, charge } => drop(bucket.reserve(now, charge).unwrap()),
            Event::Take { now, part } => drop(bucket.take(now, part)),
            Event::Add { now, part } => bucket.add(now, part),
        }
    }
    bucket.share_at(now)
}

fn settles_exactly(seed: u64) {
    let mut g = Gen::from_size_and_seed(100, seed);
    let mut bucket = Bucket::new(at(0), share(RATE, BURST, BURST));
    let mut events = Vec::new();
    let mut open: Vec<(ReservationId, usize, Amount)> = Vec::new();
    let mut millis = 0;
    for step in 0..60 {
        millis += draw(&mut g, 900);
        let now = at(millis);
        match draw(&mut g, 10) {
            0..=4 => {
                let charge = Amount::from_micros(1 + draw(&mut g, 6_000_000));
                if let Ok(id) = bucket.reserve(now, charge) {
                    open.push((id, events.len(), charge));
                    events.push(Event::Reserve { now, charge });
                }
            }
            5..=7 if !open.is_empty() => {
                let (id, index, reserved) = open.remove(draw(&mut g, open.len() as u64) as usize);
                let used = Amount::from_micros(draw(&mut g, reserved.as_micros() + 1));
                bucket.settle(now, id, used);
                let Event::Reserve { charge, .. } = &mut events[index] else { unreachable!() };
                *charge = used;
            }
            8 => {
                let level = draw(&mut g, 3);
                let part = bucket.take(now, share(0, level + draw(&mut g, 2), level));
                events.push(Event::Take { now, part });
            }
            9 => {
                let level = draw(&mut g, 2);
                let part = share(0, level + draw(&mut g, 2), level);
                bucket.add(now, part);
                events.push(Event::Add { now, part });
            }
            _ => {}
        }
        assert_eq!(bucket.share_at(now), replay(&events, now), "seed {seed}, step {step}");
    }
}

/// A request reserves its permitted output and uses little of it. Meanwhile
/// the bucket filled up again. Were the rest given back whole, the
/// organisation would have its burst twice; were nothing given back, callers
/// inside their rate would be refused. So the bucket must equal one that had
/// reserved the used tokens only.
#[test]
fn settling_equals_having_reserved_only_the_used() {
    (0..2_000).for_each(settles_exactly);
}
