//! Baseline: an equal share for each entry, under a lease from the table. An entry
//! refuses requests when its lease has expired.

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, Share},
    },
    time::{Instant, Span},
};

use super::{
    load::{ENTRIES, ORGANISATIONS, Request, TOKENS_PER_SECOND},
    sim::{Event, KILLED_ENTRY, Outcome, Simulation, Ticket},
};

/// Duration of a lease.
const LEASE_DURATION: Span = Span::from_secs(5);
/// Interval between two renewals of a lease.
const RENEWAL_PERIOD: Span = Span::from_secs(2);

/// The entries' buckets and leases.
#[derive(Debug)]
pub(crate) struct Split {
    buckets: Vec<Vec<Bucket>>,
    /// Start and end of each entry's lease.
    leases: Vec<(Instant, Instant)>,
    /// When each entry was started; older requests belong to its predecessor.
    started: Vec<Instant>,
    burst: u64,
}

fn buckets(now: Instant, burst: u64, level: u64) -> Vec<Bucket> {
    let capacity = Amount::from_tokens(burst / ENTRIES as u64);
    let level = Amount::from_tokens(level);
    let share = Share { rate: TOKENS_PER_SECOND / ENTRIES as u64, capacity, level };
    vec![Bucket::new(now, share); ORGANISATIONS]
}

impl Split {
    pub(crate) fn new(burst: u64) -> Split {
        let start = Instant::default();
        Split {
            buckets: vec![buckets(start, burst, burst / ENTRIES as u64); ENTRIES],
            leases: vec![(start, start + LEASE_DURATION); ENTRIES],
            started: vec![start; ENTRIES],
            burst,
        }
    }

    pub(crate) fn start(&mut self, sim: &mut Simulation) {
        (0..ENTRIES).for_each(|entry| sim.schedule(RENEWAL_PERIOD, Event::Tick(entry)));
    }

    pub(crate) fn admit(&mut self, sim: &mut Simulation, request: &Request) -> Outcome {
        let (begin, end) = self.leases[request.entry];
        if !(begin..end).contains(&sim.now) {
            return Outcome::Refused("no lease");
        }
        let bucket = &mut self.buckets[request.entry][request.organisation];
        match bucket.reserve(sim.now, Amount::from_tokens(request.tokens)) {
            Ok(id) => Outcome::Granted(Ticket::Bucket(sim.now, id)),
            Err(_) => Outcome::Refused("part empty"),
        }
    }

    pub(crate) fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        if let Ticket::Bucket(admitted, id) = ticket
            && admitted >= self.started[request.entry]
        {
            let bucket = &mut self.buckets[request.entry][request.organisation];
            bucket.settle(now, id, Amount::from_tokens(request.used));
        }
    }

    pub(crate) fn handle(&mut self, sim: &mut Simulation, event: Event) {
        if let Event::Tick(entry) = event {
            sim.schedule(RENEWAL_PERIOD, Event::Tick(entry));
            if sim.table_up && !sim.is_dead(entry) {
                sim.score.table_operations += u64::from(sim.score.counts(sim.now));
                self.leases[entry].1 = sim.now + LEASE_DURATION;
            }
        }
    }

    /// Starts the replacement entry, which waits for the end of the old lease and
    /// begins with empty buckets.
    pub(crate) fn replace(&mut self, now: Instant) {
        let begin = now.max(self.leases[KILLED_ENTRY].1);
        self.leases[KILLED_ENTRY] = (begin, begin + LEASE_DURATION);
        self.buckets[KILLED_ENTRY] = buckets(begin, self.burst, 0);
        self.started[KILLED_ENTRY] = now;
    }
}
