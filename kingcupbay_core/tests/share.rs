//! Rate shares under random schedules, compared with exact models.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    config::model::Total,
    id::{Id, Number, OrganisationId},
    share::{
        amount::Amount,
        bucket::{Bucket, ReservationId, Share},
        message::Envelope,
        plan::{Holder, Plan, Report},
        shares::{Action, Reservation, Settings, Shares, Verdict},
    },
    time::{Instant, Span},
};
use quickcheck::Gen;

/// Rate of the bucket under test, in tokens a second.
const RATE: u64 = 3;
/// Burst of the bucket under test, in tokens.
const BURST: u64 = 10;

fn share(rate: u64, capacity: u64, level: u64) -> Share {
    let (capacity, level) = (Amount::from_tokens(capacity), Amount::from_tokens(level));
    Share { rate, capacity, level }
}

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

/// Returns a uniformly distributed number below `below`. An integer made by
/// `Arbitrary` favours the extremes.
fn random_below(rng: &mut Gen, below: u64) -> u64 {
    let bytes: Vec<u8> = (0..=u8::MAX).collect();
    let any = (0..5).fold(0, |any, _| any << 8 | u64::from(*rng.choose(&bytes).unwrap()));
    any % below
}

/// Operation on a bucket, to be replayed with other charges.
#[derive(Clone, Copy, Debug)]
enum Event {
    Reserve { now: Instant, charge: Amount },
    Take { now: Instant, part: Share },
    Add { now: Instant, part: Share },
}

/// Returns the share of a bucket that reserved the charges in `events` from the
/// start.
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

/// Runs a random schedule and compares the bucket with its replay at each step.
fn check_random_settlements(seed: u64) {
    let mut rng = Gen::from_size_and_seed(100, seed);
    let mut bucket = Bucket::new(at(0), share(RATE, BURST, BURST));
    let mut events = Vec::new();
    let mut open: Vec<(ReservationId, usize, Amount)> = Vec::new();
    let mut millis = 0;
    for step in 0..60 {
        millis += random_below(&mut rng, 900);
        let now = at(millis);
        match random_below(&mut rng, 10) {
            0..=4 => {
                let charge = Amount::from_micros(1 + random_below(&mut rng, 6_000_000));
                if let Ok(id) = bucket.reserve(now, charge) {
                    open.push((id, events.len(), charge));
                    events.push(Event::Reserve { now, charge });
                }
            }
            5..=7 if !open.is_empty() => {
                let (id, index, reserved) =
                    open.remove(random_below(&mut rng, open.len() as u64) as usize);
                let used = Amount::from_micros(random_below(&mut rng, reserved.as_micros() + 1));
                bucket.settle(now, id, used);
                let Event::Reserve { charge, .. } = &mut events[index] else { unreachable!() };
                *charge = used;
            }
            8 => {
                let level = random_below(&mut rng, 3);
                let part = bucket.take(now, share(0, level + random_below(&mut rng, 2), level));
                events.push(Event::Take { now, part });
            }
            9 => {
                let level = random_below(&mut rng, 2);
                let part = share(0, level + random_below(&mut rng, 2), level);
                bucket.add(now, part);
                events.push(Event::Add { now, part });
            }
            _ => {}
        }
        assert_eq!(bucket.share_at(now), replay(&events, now), "seed {seed}, step {step}");
    }
}

/// Guards against a wrong amount given back: a request reserves its permitted
/// output, uses little of it, and the bucket refills meanwhile. If the whole rest
/// were given back, the organisation could use its burst twice; if nothing were,
/// callers within their rate would be refused. So the bucket must equal one that
/// reserved only the used tokens.
#[test]
fn settling_equals_reserving_only_the_used_tokens() {
    (0..2_000).for_each(check_random_settlements);
}

/// Rate of the organisation in a [`Fleet`], in tokens a second.
const FLEET_RATE: u64 = 50;
/// Burst of the organisation in a [`Fleet`], in tokens.
const FLEET_BURST: u64 = 400;
/// Longest time that a removed holder has standing.
const STANDING_MAX: Span = Span::from_secs(1);

const SETTINGS: Settings = Settings {
    reclaim_delay: STANDING_MAX,
    ask_wait: Span::from_millis(20),
    grant_wait: Span::from_millis(50),
    resend_after: Span::from_millis(100),
};

/// Length of the alternating periods without and with requests; longer than an
/// empty bucket takes to fill.
const REST_PERIOD: Span = Span::from_secs(10);
/// Number of random schedules.
const SCHEDULES: u64 = 500;

/// Entries under a random schedule. All share one clock; messages between them
/// are lost, duplicated, delayed and reordered.
struct Fleet {
    rng: Gen,
    now: Instant,
    epoch: u64,
    holders: Vec<Holder>,
    /// Every entry that was ever added and has not crashed, and the time of its
    /// removal from the holders.
    entries: BTreeMap<Holder, (Shares, Option<Instant>)>,
    in_flight: Vec<Envelope>,
    reports: Vec<Report>,
    /// Time and charge of every admission.
    charges: Vec<(Instant, Amount)>,
    /// Holder, reservation, index in `charges` and reserved tokens of each open
    /// reservation.
    reservations: Vec<(Holder, Reservation, usize, u64)>,
}

fn organisation() -> OrganisationId {
    OrganisationId::from_raw(0)
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let holders: Vec<_> = (1..=3).map(Holder).collect();
        let entry = |&holder: &Holder| (holder, (Shares::new(holder, SETTINGS), None));
        let mut fleet = Fleet {
            rng: Gen::from_size_and_seed(100, seed),
            now: at(0),
            epoch: 0,
            entries: holders.iter().map(entry).collect(),
            holders,
            in_flight: Vec::new(),
            reports: Vec::new(),
            charges: Vec::new(),
            reservations: Vec::new(),
        };
        fleet.begin_epoch();
        fleet.holders.clone().into_iter().for_each(|holder| fleet.enter_epoch(holder, false));
        fleet.begin_epoch();
        fleet
    }

    fn plan(&self, organisations: bool) -> Plan {
        let total = (organisation(), Total { rate: FLEET_RATE, burst: FLEET_BURST });
        let totals = organisations.then_some(total).into_iter().collect();
        let holders = self.holders.iter().copied().collect();
        // From the third epoch on an entry has left.
        let last_removal = Number(if self.epoch > 2 { self.epoch } else { 0 });
        Plan { epoch: Number(self.epoch), holders, last_removal, totals }
    }

    fn begin_epoch(&mut self) {
        self.epoch += 1;
        self.reports.clear();
    }

    fn enter_epoch(&mut self, holder: Holder, organisations: bool) {
        let plan = self.plan(organisations);
        if let Some((shares, _)) = self.entries.get_mut(&holder) {
            let mut actions = shares.on_plan(self.now, plan);
            actions.extend(shares.on_in_force(self.now, Number(self.epoch)));
            self.carry_out(actions);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => self.in_flight.push(envelope),
                Action::Report(report) => self.reports.push(report),
                Action::Retry(_) => {}
            }
        }
        // Messages beyond this number are lost, the oldest first.
        let surplus = self.in_flight.len().saturating_sub(40);
        self.in_flight.drain(..surplus);
    }

    fn random_entry(&mut self) -> Holder {
        let index = random_below(&mut self.rng, self.entries.len() as u64) as usize;
        *self.entries.keys().nth(index).unwrap()
    }

    /// Replaces a random holder. It has crashed, or it is only paused and goes on
    /// with its old state until its standing ends.
    fn replace(&mut self) {
        let removed = self.holders.remove(random_below(&mut self.rng, 3) as usize);
        match random_below(&mut self.rng, 2) {
            0 => drop(self.entries.remove(&removed)),
            _ => self.entries.get_mut(&removed).unwrap().1 = Some(self.now),
        }
        let holder = Holder(self.epoch + 10);
        self.holders.push(holder);
        self.entries.insert(holder, (Shares::new(holder, SETTINGS), None));
        self.begin_epoch();
    }

    fn admit(&mut self, holder: Holder) {
        let tokens = 1 + random_below(&mut self.rng, 120);
        let now = self.now;
        let (shares, removed) = self.entries.get_mut(&holder).unwrap();
        let standing = removed.is_none_or(|since| now.since(since) < STANDING_MAX);
        match shares.admit(now, now, organisation(), tokens, standing) {
            Verdict::Granted(reservation) => {
                self.reservations.push((holder, reservation, self.charges.len(), tokens));
                self.charges.push((now, Amount::from_tokens(tokens)));
            }
            Verdict::Pending { actions, .. } => self.carry_out(actions),
            Verdict::Refused { .. } => {}
        }
    }

    fn settle(&mut self) {
        if self.reservations.is_empty() {
            return;
        }
        let index = random_below(&mut self.rng, self.reservations.len() as u64) as usize;
        let (holder, reservation, charge, tokens) = self.reservations.remove(index);
        let used =
            if self.random_bool() { tokens } else { random_below(&mut self.rng, tokens + 1) };
        if let Some((shares, _)) = self.entries.get_mut(&holder) {
            shares.settle(self.now, reservation, used);
            self.charges[charge].1 = Amount::from_tokens(used);
        }
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = random_below(&mut self.rng, self.in_flight.len() as u64) as usize;
        let envelope = match random_below(&mut self.rng, 4) {
            0 => self.in_flight[index].clone(),
            _ => self.in_flight.remove(index),
        };
        if let Some((shares, _)) = self.entries.get_mut(&envelope.to) {
            let actions = shares.on_message(self.now, &envelope);
            self.carry_out(actions);
        }
    }

    fn random_bool(&mut self) -> bool {
        random_below(&mut self.rng, 2) == 0
    }

    fn step(&mut self) {
        self.now = self.now + Span::from_micros(random_below(&mut self.rng, 60_000));
        let entry = self.random_entry();
        // Callers pause and then all send again. Levels are full by then, so
        // allowance created beyond the burst would show.
        let rest = (self.now.as_micros() / REST_PERIOD.as_micros()).is_multiple_of(2);
        match random_below(&mut self.rng, 400) {
            0 if self.random_bool() => self.replace(),
            1 if self.random_bool() => {
                let shares = &mut self.entries.get_mut(&entry).unwrap().0;
                let actions = shares.on_stop(self.now);
                self.carry_out(actions);
            }
            3..=15 => {
                let shares = &mut self.entries.get_mut(&entry).unwrap().0;
                let actions = shares.on_tick(self.now);
                self.carry_out(actions);
            }
            16..=59 if self.holders.contains(&entry) => self.enter_epoch(entry, true),
            60..=119 => {
                let shares = &mut self.entries.get_mut(&entry).unwrap().0;
                let actions = shares.on_reports(self.now, &self.reports);
                self.carry_out(actions);
            }
            120..=219 if !rest => self.admit(entry),
            220..=289 => self.settle(),
            _ => self.deliver(),
        }
    }

    /// Returns the largest amount that any interval got beyond burst + rate * t,
    /// in micro-tokens, and the total of admitted tokens.
    fn excess(&self) -> (i128, u64) {
        let burst = i128::from(Amount::from_tokens(FLEET_BURST).as_micros());
        let mut worst = i128::MIN;
        for (first, &(from, _)) in self.charges.iter().enumerate() {
            let mut sum = 0;
            for &(to, charge) in &self.charges[first..] {
                sum += i128::from(charge.as_micros());
                let refill = Amount::refill(FLEET_RATE, to.since(from));
                worst = worst.max(sum - burst - i128::from(refill.as_micros()));
            }
        }
        let total = self.charges.iter().map(|(_, charge)| charge.as_tokens()).sum();
        (worst, total)
    }
}

/// Guards against allowance that is created by any step of the protocol. Callers
/// send more than the organisation's rate, entries crash or pause, are replaced,
/// hand over and settle late, and messages are lost, duplicated and reordered.
/// No caller would notice, but the organisation would get more than its part of
/// the engines.
#[test]
fn no_interval_gets_more_than_burst_and_rate() {
    let mut admitted = 0;
    for seed in 0..SCHEDULES {
        let mut fleet = Fleet::new(seed);
        (0..3_000).for_each(|_| fleet.step());
        let (excess, total) = fleet.excess();
        assert!(excess <= 0, "seed {seed}: {excess} micro-tokens over the bound");
        admitted += total;
    }
    // The bound proves nothing unless the schedules admit requests.
    assert!(admitted > SCHEDULES * FLEET_BURST, "only {admitted} tokens admitted");
}
