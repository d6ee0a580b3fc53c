//! Rate shares under random schedules, against exact oracles.

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

const RATE: u64 = 3;
const BURST: u64 = 10;

fn share(rate: u64, capacity: u64, level: u64) -> Share {
    let (capacity, level) = (Amount::from_tokens(capacity), Amount::from_tokens(level));
    Share { rate, capacity, level }
}

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

/// Uniform below `below`; an arbitrary integer favours the extremes.
fn draw(g: &mut Gen, below: u64) -> u64 {
    let bytes: Vec<u8> = (0..=u8::MAX).collect();
    let any = (0..5).fold(0, |any, _| any << 8 | u64::from(*g.choose(&bytes).unwrap()));
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

const FLEET_RATE: u64 = 50;
const FLEET_BURST: u64 = 400;
/// Longest that a removed holder has standing.
const STANDING: Span = Span::from_secs(1);

const SETTINGS: Settings = Settings {
    reclaim_delay: STANDING,
    ask_wait: Span::from_millis(20),
    grant_wait: Span::from_millis(50),
    resend_after: Span::from_millis(100),
};

/// How long callers rest, and then do not: longer than the bucket fills.
const REST: Span = Span::from_secs(10);
const SCHEDULES: u64 = 500;

/// Entries under a random schedule. Time is the same for all of them; the
/// messages between them are lost, doubled, late and crossed.
struct Fleet {
    g: Gen,
    now: Instant,
    epoch: u64,
    holders: Vec<Holder>,
    /// Every entry that ever was and has not crashed, and since when it is
    /// no holder any more.
    entries: BTreeMap<Holder, (Shares, Option<Instant>)>,
    net: Vec<Envelope>,
    reports: Vec<Report>,
    /// Moment and charge of every admission.
    charges: Vec<(Instant, Amount)>,
    open: Vec<(Holder, Reservation, usize, u64)>,
}

fn organisation() -> OrganisationId {
    OrganisationId::from_raw(0)
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let holders: Vec<_> = (1..=3).map(Holder).collect();
        let entry = |&holder: &Holder| (holder, (Shares::new(holder, SETTINGS), None));
        let mut fleet = Fleet {
            g: Gen::from_size_and_seed(100, seed),
            now: at(0),
            epoch: 0,
            entries: holders.iter().map(entry).collect(),
            holders,
            net: Vec::new(),
            reports: Vec::new(),
            charges: Vec::new(),
            open: Vec::new(),
        };
        fleet.begin_epoch();
        fleet.holders.clone().into_iter().for_each(|holder| fleet.learn(holder, false));
        fleet.begin_epoch();
        fleet
    }

    fn plan(&self, organisations: bool) -> Plan {
        let total = (organisation(), Total { rate: FLEET_RATE, burst: FLEET_BURST });
        let totals = organisations.then_some(total).into_iter().collect();
        let holders = self.holders.iter().copied().collect();
        // From the third epoch on somebody has left.
        let last_removal = Number(if self.epoch > 2 { self.epoch } else { 0 });
        Plan { epoch: Number(self.epoch), holders, last_removal, totals }
    }

    fn begin_epoch(&mut self) {
        self.epoch += 1;
        self.reports.clear();
    }

    fn learn(&mut self, holder: Holder, organisations: bool) {
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
                Action::Send(envelope) => self.net.push(envelope),
                Action::Report(report) => self.reports.push(report),
                Action::Retry(_) => {}
            }
        }
        // What is beyond this is lost, the oldest first.
        let surplus = self.net.len().saturating_sub(40);
        self.net.drain(..surplus);
    }

    fn any_entry(&mut self) -> Holder {
        let place = draw(&mut self.g, self.entries.len() as u64) as usize;
        *self.entries.keys().nth(place).unwrap()
    }

    /// An entry is taken for gone and replaced. It crashed, or it is paused
    /// and goes on with what it knows until its standing ends.
    fn replace(&mut self) {
        let gone = self.holders.remove(draw(&mut self.g, 3) as usize);
        match draw(&mut self.g, 2) {
            0 => drop(self.entries.remove(&gone)),
            _ => self.entries.get_mut(&gone).unwrap().1 = Some(self.now),
        }
        let holder = Holder(self.epoch + 10);
        self.holders.push(holder);
        self.entries.insert(holder, (Shares::new(holder, SETTINGS), None));
        self.begin_epoch();
    }

    fn admit(&mut self, holder: Holder) {
        let tokens = 1 + draw(&mut self.g, 120);
        let now = self.now;
        let (shares, gone) = self.entries.get_mut(&holder).unwrap();
        let standing = gone.is_none_or(|since| now.since(since) < STANDING);
        match shares.admit(now, now, organisation(), tokens, standing) {
            Verdict::Granted(reservation) => {
                self.open.push((holder, reservation, self.charges.len(), tokens));
                self.charges.push((now, Amount::from_tokens(tokens)));
            }
            Verdict::Pending { actions, .. } => self.carry_out(actions),
            Verdict::Refused { .. } => {}
        }
    }

    fn settle(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let place = draw(&mut self.g, self.open.len() as u64) as usize;
        let (holder, reservation, index, tokens) = self.open.remove(place);
        let used = if self.g_bool() { tokens } else { draw(&mut self.g, tokens + 1) };
        if let Some((shares, _)) = self.entries.get_mut(&holder) {
            shares.settle(self.now, reservation, used);
            self.charges[index].1 = Amount::from_tokens(used);
        }
    }

    fn deliver(&mut self) {
        if self.net.is_empty() {
            return;
        }
        let place = draw(&mut self.g, self.net.len() as u64) as usize;
        let envelope = match draw(&mut self.g, 4) {
            0 => self.net[place].clone(),
            _ => self.net.remove(place),
        };
        if let Some((shares, _)) = self.entries.get_mut(&envelope.to) {
            let actions = shares.on_message(self.now, &envelope);
            self.carry_out(actions);
        }
    }

    fn g_bool(&mut self) -> bool {
        draw(&mut self.g, 2) == 0
    }

    fn step(&mut self) {
        self.now = self.now + Span::from_micros(draw(&mut self.g, 60_000));
        let entry = self.any_entry();
        // Callers rest and come back all at once: the levels are full then,
        // and what was made beyond the burst would show.
        let rest = (self.now.as_micros() / REST.as_micros()).is_multiple_of(2);
        match draw(&mut self.g, 400) {
            0 if self.g_bool() => self.replace(),
            1 if self.g_bool() => {
                let shares = &mut self.entries.get_mut(&entry).unwrap().0;
                let actions = shares.on_stop(self.now);
                self.carry_out(actions);
            }
            3..=15 => {
                let shares = &mut self.entries.get_mut(&entry).unwrap().0;
                let actions = shares.on_tick(self.now);
                self.carry_out(actions);
            }
            16..=59 if self.holders.contains(&entry) => self.learn(entry, true),
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

    /// The most that any interval got beyond burst + rate * t, in
    /// micro-tokens; and what was admitted at all.
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

/// An organisation's callers send more than its rate. Entries crash or pause,
/// are replaced, hand over, settle late; messages are lost, doubled, crossed.
/// A guest would see nothing, but the organisation would have more than its
/// part of the engines if allowance were made anywhere.
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
    // The schedules do admit: without that the bound says nothing.
    assert!(admitted > SCHEDULES * FLEET_BURST, "only {admitted} tokens admitted");
}
