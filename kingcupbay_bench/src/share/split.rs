//! Baseline: an equal part at each entry, under a lease from the table that
//! closes when it lapses.

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, Share},
    },
    time::{Instant, Span},
};

use super::{
    load::{ENTRIES, ORGANISATIONS, RATE, Request},
    sim::{Event, KILLED, Outcome, Ticket, World},
};

/// How long a lease lasts.
const LEASE: Span = Span::from_secs(5);
/// How often it is renewed.
const RENEWAL: Span = Span::from_secs(2);

/// The entries' buckets and leases.
#[derive(Debug)]
pub(crate) struct Split {
    buckets: Vec<Vec<Bucket>>,
    /// When each entry's lease begins and ends.
    leases: Vec<(Instant, Instant)>,
    /// Since when an entry's requests are its own and not a predecessor's.
    since: Vec<Instant>,
    burst: u64,
}

fn buckets(now: Instant, burst: u64, level: u64) -> Vec<Bucket> {
    let capacity = Amount::from_tokens(burst / ENTRIES as u64);
    let level = Amount::from_tokens(level);
    let share = Share { rate: RATE / ENTRIES as u64, capacity, level };
    vec![Bucket::new(now, share); ORGANISATIONS]
}

impl Split {
    pub(crate) fn new(burst: u64) -> Split {
        let start = Instant::default();
        Split {
            buckets: vec![buckets(start, burst, burst / ENTRIES as u64); ENTRIES],
            leases: vec![(start, start + LEASE); ENTRIES],
            since: vec![start; ENTRIES],
            burst,
        }
    }

    pub(crate) fn start(&mut self, world: &mut World) {
        (0..ENTRIES).for_each(|entry| world.after(RENEWAL, Event::Tick(entry)));
    }

    pub(crate) fn admit(&mut self, world: &mut World, request: &Request) -> Outcome {
        let (begin, end) = self.leases[request.entry];
        if !(begin..end).contains(&world.now) {
            return Outcome::Refused("no lease");
        }
        let bucket = &mut self.buckets[request.entry][request.organisation];
        match bucket.reserve(world.now, Amount::from_tokens(request.tokens)) {
            Ok(id) => Outcome::Granted(Ticket::Bucket(world.now, id)),
            Err(_) => Outcome::Refused("part empty"),
        }
    }

    pub(crate) fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        if let Ticket::Bucket(admitted, id) = ticket
            && admitted >= self.since[request.entry]
        {
            let bucket = &mut self.buckets[request.entry][request.organisation];
            bucket.settle(now, id, Amount::from_tokens(request.used));
        }
    }

    pub(crate) fn handle(&mut self, world: &mut World, event: Event) {
        if let Event::Tick(entry) = event {
            world.after(RENEWAL, Event::Tick(entry));
            if world.table_up && !world.is_dead(entry) {
                world.score.table += u64::from(world.score.counts(world.now));
                self.leases[entry].1 = world.now + LEASE;
            }
        }
    }

    /// The successor waits for the old lease and starts empty.
    pub(crate) fn replace(&mut self, now: Instant) {
        let begin = now.max(self.leases[KILLED].1);
        self.leases[KILLED] = (begin, begin + LEASE);
        self.buckets[KILLED] = buckets(begin, self.burst, 0);
        self.since[KILLED] = now;
    }
}
