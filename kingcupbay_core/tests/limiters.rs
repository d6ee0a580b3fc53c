//! Limits of organisations in fleets with more entries than limiters.

#![allow(clippy::unwrap_used)]

use std::{collections::VecDeque, net::SocketAddr};

use kingcupbay_core::{
    allowance::Allowance,
    config::model::Role,
    deployment::{
        catalogue::Member,
        limiters::{LIMITERS_MAX, Limiters},
        model::Organisation,
        waits::RELAY_PERIOD,
    },
    id::Number,
    random::Random,
    time::{Instant, Span},
    wire::usage::UsageReport,
};

const RATE_PER_S: u64 = 100_000;

/// Simulation step, in milliseconds.
const STEP_MS: u64 = 10;

/// Time until a usage report arrives, in milliseconds.
const DELAY_MS: u64 = 20;

/// Limiters that a follower asks for one request.
const ASKED_MAX: usize = 3;

fn at(millis: u64) -> Instant {
    Instant::from_micros(5_000_000 + millis * 1_000)
}

fn winery() -> Organisation {
    Organisation {
        name: "winery".into(),
        priority: None,
        rate: RATE_PER_S,
        burst: RATE_PER_S,
        plain_cost: 200,
        counts_tokens: true,
    }
}

fn member(index: usize, incarnation: u64) -> Member {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    Member {
        host: format!("entry-{index}"),
        role: Role::Entry,
        address: SocketAddr::from(([10, 0, high, low], 8229)),
        zone: format!("zone-{}", index % 5),
        incarnation,
    }
}

/// One simulated entry.
struct Entry {
    member: Member,
    limiters: Limiters,
    allowance: Allowance,
    alive: bool,
}

impl Entry {
    fn new(index: usize, seed: u64, now: u64) -> Entry {
        let incarnation = Random::new(seed * 100_000 + index as u64).draw();
        let member = member(index, incarnation);
        Entry {
            limiters: Limiters::new(&member.host),
            allowance: Allowance::new(&member.host, incarnation, at(now)),
            member,
            alive: true,
        }
    }
}

/// Simulated entries that ask limiters, which exchange usage reports.
struct Fleet {
    entries: Vec<Entry>,
    /// Whether messages from one entry reach another.
    linked: fn(usize, usize) -> bool,
    in_transit: VecDeque<(u64, usize, UsageReport)>,
    /// Admitted tokens by step.
    admitted: Vec<u64>,
    requested: u64,
    /// Messages sent by each entry.
    messages: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let entries = (0..count).map(|index| Entry::new(index, seed, 0)).collect();
        let mut fleet = Fleet {
            entries,
            linked: |_, _| true,
            in_transit: VecDeque::new(),
            admitted: Vec::new(),
            requested: 0,
            messages: vec![0; count],
        };
        fleet.list(0);
        fleet
    }

    /// All entries learn the list of those that exist.
    fn list(&mut self, now: u64) {
        let members: Vec<Member> = self.entries.iter().map(|row| row.member.clone()).collect();
        for entry in &mut self.entries {
            if entry.limiters.on_entries(at(now), members.iter()) {
                entry.allowance = Allowance::new(&entry.member.host, now + 1, at(now));
            }
            entry.allowance.on_entries(entry.limiters.hosts());
        }
        self.messages.resize(self.entries.len(), 0);
    }

    /// Adds entries.
    fn add(&mut self, count: usize, seed: u64, now: u64) {
        let from = self.entries.len();
        self.entries.extend((from..from + count).map(|index| Entry::new(index, seed, now)));
        self.list(now);
    }

    /// Returns whether entry `from` gets `cost` tokens of `who`.
    fn acquire(&mut self, from: usize, now: u64, who: &Organisation, cost: u64) -> bool {
        if self.entries[from].limiters.is_limiter() {
            return self.entries[from].allowance.try_acquire(at(now), who, cost).is_ok();
        }
        let mut asked = Vec::new();
        while asked.len() < ASKED_MAX {
            let limiters = &self.entries[from].limiters;
            let Some(address) = limiters.choose(at(now), &who.name, &asked) else { return false };
            asked.push(address);
            self.messages[from] += 1;
            let to = self.entries.iter().position(|row| row.member.address == address).unwrap();
            let limiter = &mut self.entries[to];
            if limiter.alive && (self.linked)(from, to) {
                assert!(limiter.limiters.is_limiter());
                return limiter.allowance.try_acquire(at(now), who, cost).is_ok();
            }
            self.entries[from].limiters.on_failure(at(now), address);
        }
        false
    }

    /// Runs the simulation from `from` to `to`, in milliseconds. Callers request
    /// `demand(entry)` tokens a second of `who` at each entry, in requests of `cost` tokens.
    fn run(
        &mut self,
        (from, to): (u64, u64),
        who: &Organisation,
        cost: u64,
        demand: impl Fn(usize) -> f64,
    ) {
        let mut random = Random::new(from + 17);
        let mut due: Vec<f64> =
            self.entries.iter().map(|_| -random.exponential(cost as f64)).collect();
        for now in (from..to).step_by(STEP_MS as usize) {
            self.exchange(now);
            let mut admitted = 0;
            for (index, due) in due.iter_mut().enumerate() {
                if !self.entries[index].alive {
                    continue;
                }
                *due += demand(index) * STEP_MS as f64 / 1e3;
                while *due >= 0.0 {
                    *due -= random.exponential(cost as f64);
                    self.requested += cost;
                    if self.acquire(index, now, who, cost) {
                        admitted += cost;
                    }
                }
            }
            self.admitted.push(admitted);
        }
    }

    fn exchange(&mut self, now: u64) {
        while self.in_transit.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, report) = self.in_transit.pop_front().unwrap();
            for to in (0..self.entries.len()).filter(|&to| to != from) {
                let entry = &mut self.entries[to];
                if entry.alive && entry.limiters.is_limiter() && (self.linked)(from, to) {
                    let known = entry.allowance.on_usage_report(at(now), report.clone());
                    if !known {
                        self.entries[from].allowance.on_full_report_request();
                    }
                }
            }
        }
        for (from, entry) in self.entries.iter_mut().enumerate() {
            let period = entry.allowance.report_period().as_millis() / STEP_MS * STEP_MS;
            if !entry.alive || !now.is_multiple_of(period) {
                continue;
            }
            if entry.limiters.is_limiter() {
                self.messages[from] += entry.limiters.peers().len() as u64;
                let report = entry.allowance.usage_report(at(now), Number(1));
                self.in_transit.push_back((now + DELAY_MS, from, report));
            }
        }
        if now.is_multiple_of(RELAY_PERIOD.as_millis()) {
            for (from, entry) in self.entries.iter().enumerate().filter(|(_, row)| row.alive) {
                self.messages[from] += entry.limiters.followers().count() as u64;
            }
        }
    }

    /// Returns the largest number of tokens admitted in any window of 8 s.
    fn worst_window(&self) -> u64 {
        let window = (8_000 / STEP_MS) as usize;
        let sums = self.admitted.windows(window.min(self.admitted.len()));
        sums.map(|window| window.iter().sum()).max().unwrap()
    }

    fn admitted_since(&self, from: u64) -> u64 {
        self.admitted[(from / STEP_MS) as usize..].iter().sum()
    }
}

/// Tokens that the platform allows in 8 s: rate and burst, a tenth more, and 11,000.
const WINDOW_TOKENS_MAX: u64 = (8 * RATE_PER_S + RATE_PER_S) * 11 / 10 + 11_000;

/// An organisation sends four times its rate, unevenly over hundreds of entries.
#[test]
fn a_flood_over_a_large_fleet_keeps_to_the_limit() {
    for count in [68, 356, 720] {
        let mut fleet = Fleet::new(count, 1);
        let total: f64 = (1..=count).map(|weight| weight as f64).sum();
        fleet.run((0, 16_000), &winery(), 1_500, |at| {
            4.0 * RATE_PER_S as f64 * (at + 1) as f64 / total
        });
        let worst = fleet.worst_window();
        assert!(worst <= WINDOW_TOKENS_MAX, "{count} entries: {worst}");
        assert!(worst >= 8 * RATE_PER_S * 9 / 10, "{count} entries: {worst}");
    }
}

/// Callers use 80 % of the rate, ten times as much at one entry in ten.
#[test]
fn nobody_inside_the_rate_is_refused_by_a_large_fleet() {
    for count in [68, 356, 720] {
        let mut fleet = Fleet::new(count, 2);
        let weight = |at: usize| if at.is_multiple_of(10) { 10.0 } else { 1.0 };
        let total: f64 = (0..count).map(weight).sum();
        fleet.run((0, 16_000), &winery(), 1_500, |at| 0.8 * RATE_PER_S as f64 * weight(at) / total);
        let refused = 1.0 - fleet.admitted_since(0) as f64 / fleet.requested as f64;
        assert!(refused < 0.002, "{count} entries: {refused}");
    }
}

/// Guards against limits that small organisations cannot use in a large fleet: divided among
/// hundreds of entries, or held back for what the others may have used, none of the parts is
/// enough for one request.
#[test]
fn a_small_organisation_can_use_its_limit_in_a_large_fleet() {
    let small = Organisation { rate: 2_700, burst: 2_700, ..winery() };
    for count in [27, 68, 356, 720] {
        let mut fleet = Fleet::new(count, 3);
        let demand = 0.5 * small.rate as f64;
        fleet.run((0, 60_000), &small, 1_000, |_| demand / count as f64);
        let admitted = fleet.admitted_since(0);
        let mut alone = Fleet::new(1, 3);
        alone.run((0, 60_000), &small, 1_000, |_| demand);
        let (share, exact) = (
            admitted as f64 / fleet.requested as f64,
            alone.admitted_since(0) as f64 / alone.requested as f64,
        );
        if count > LIMITERS_MAX {
            assert!(share >= exact - 0.06, "{count} entries: {share} of {exact}");
        }
    }
}

/// More than half of the entries lose power during a flood, and return. The limit holds, and
/// the others can use a part of it meanwhile.
#[test]
fn a_limit_holds_as_half_of_a_large_fleet_is_killed() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(356, seed);
        let each = 4.0 * RATE_PER_S as f64 / 356.0;
        fleet.run((0, 6_000), &winery(), 1_500, |_| each);
        for entry in fleet.entries.iter_mut().filter(|row| row.member.incarnation % 100 < 55) {
            entry.alive = false;
        }
        fleet.run((6_000, 10_000), &winery(), 1_500, |_| 2.0 * each);
        for index in 0..356 {
            if !fleet.entries[index].alive {
                fleet.entries[index] = Entry::new(index, seed + 50, 10_000);
            }
        }
        fleet.list(10_000);
        fleet.run((10_000, 20_000), &winery(), 1_500, |_| each);
        let worst = fleet.worst_window();
        assert!(worst <= WINDOW_TOKENS_MAX, "seed {seed}: {worst}");
        let after = fleet.admitted_since(12_000);
        assert!(after >= 8 * RATE_PER_S * 3 / 4, "seed {seed}: {after}");
    }
}

/// The network splits a large fleet into two halves during a flood, so that each half asks
/// the limiters that it reaches.
#[test]
fn a_limit_holds_as_a_large_fleet_is_split() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(356, seed);
        let each = 3.0 * RATE_PER_S as f64 / 356.0;
        fleet.run((0, 4_000), &winery(), 1_500, |_| each);
        fleet.linked = |from, to| from % 2 == to % 2;
        fleet.run((4_000, 16_000), &winery(), 1_500, |_| each);
        let worst = fleet.worst_window();
        assert!(worst <= WINDOW_TOKENS_MAX, "seed {seed}: {worst}");
    }
}

/// Three quarters more entries start during a flood, and many of them become limiters.
#[test]
fn a_limit_holds_as_entries_are_added() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(204, seed);
        fleet.run((0, 6_000), &winery(), 1_500, |_| 3.0 * RATE_PER_S as f64 / 204.0);
        fleet.add(152, seed + 9, 6_000);
        fleet.run((6_000, 20_000), &winery(), 1_500, |_| 3.0 * RATE_PER_S as f64 / 356.0);
        let worst = fleet.worst_window();
        assert!(worst <= WINDOW_TOKENS_MAX, "seed {seed}: {worst}");
        let after = fleet.admitted_since(8_000);
        assert!(after >= 12 * RATE_PER_S * 3 / 4, "seed {seed}: {after}");
    }
}

/// Guards against control messages that grow with the square of the fleet. At twice the
/// entries, a follower sends as many messages as before, and a limiter only those to its
/// followers more.
#[test]
fn messages_do_not_grow_with_the_square_of_the_fleet() {
    for count in [356, 720] {
        let mut fleet = Fleet::new(count, 5);
        let each = 1_500.0;
        let rich = Organisation { rate: 10_000_000, burst: 10_000_000, ..winery() };
        fleet.run((0, 10_000), &rich, 1_500, |_| each);
        let rate = |index: usize| fleet.messages[index] as f64 / 10.0;
        let (mut limiter, mut follower) = (0.0_f64, 0.0_f64);
        for (index, entry) in fleet.entries.iter().enumerate() {
            match entry.limiters.is_limiter() {
                true => limiter = limiter.max(rate(index)),
                false => follower = follower.max(rate(index)),
            }
        }
        assert!(follower <= 3.0, "{count} entries, a follower: {follower} a second");
        assert!(limiter <= 200.0 + count as f64 / 3.0, "{count} entries, a limiter: {limiter}");
    }
}

/// Two limiters report to each follower, of its zone where there are any, and the work is
/// spread over them.
#[test]
fn two_limiters_report_to_each_follower() {
    let fleet = Fleet::new(356, 6);
    let followers = fleet.entries.iter().filter(|row| !row.limiters.is_limiter());
    for follower in followers {
        let relays: Vec<&Entry> = fleet
            .entries
            .iter()
            .filter(|row| row.limiters.followers().any(|to| to == follower.member.address))
            .collect();
        assert_eq!(relays.len(), 2);
        assert!(relays.iter().all(|relay| relay.member.zone == follower.member.zone));
    }
    let most = fleet.entries.iter().map(|row| row.limiters.followers().count()).max();
    assert!(most.unwrap() <= 40, "{most:?}");
}

/// Guards against hundreds of writes for one entry that is gone: all others find out at the
/// same time.
#[test]
fn limiters_do_not_remove_an_entry_all_at_once() {
    let fleet = Fleet::new(356, 7);
    let mut delays: Vec<Span> = fleet
        .entries
        .iter()
        .filter(|row| row.limiters.is_limiter())
        .map(|row| row.limiters.removal_delay())
        .collect();
    delays.sort();
    delays.dedup();
    assert_eq!(delays.len(), LIMITERS_MAX);
}

/// A few entries are killed and restart at once, some of them limiters. Organisations inside
/// their limits must be able to use them again soon.
#[test]
fn restarted_limiters_do_not_hold_limits_back() {
    for seed in 0..6 {
        for rate in [2_700, RATE_PER_S] {
            let who = Organisation { rate, burst: rate, ..winery() };
            let cost = if rate == RATE_PER_S { 1_500 } else { 600 };
            let each = 0.5 * rate as f64 / 356.0;
            let mut fleet = Fleet::new(356, seed);
            fleet.run((0, 20_000), &who, cost, |_| each);
            let before = fleet.admitted_since(0) as f64 / fleet.requested as f64;
            let mut random = Random::new(seed);
            for _ in 0..23 {
                let index = random.below(356) as usize;
                fleet.entries[index] = Entry::new(index, seed + 70, 20_000);
            }
            fleet.list(20_500);
            fleet.run((20_500, 23_000), &who, cost, |_| each);
            fleet.requested = 0;
            fleet.run((23_000, 60_000), &who, cost, |_| each);
            let after = fleet.admitted_since(22_500) as f64 / fleet.requested as f64;
            assert!(after >= before - 0.05, "seed {seed}, rate {rate}: {after} of {before}");
        }
    }
}
