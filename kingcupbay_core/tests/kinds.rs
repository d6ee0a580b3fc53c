//! Limits of organisations whose requests differ in priority, under load L of
//! docs/HARD-LOAD.md.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use kingcupbay_core::{
    allowance::{Allowance, OverLimit, TokenRequest},
    deployment::model::Organisation,
    id::Number,
    random::Random,
    time::{Instant, Span},
    wire::usage::{RequestKind, UsageReport},
};

const ENTRIES: usize = 23;

/// Simulation step, in milliseconds.
const STEP_MS: u64 = 5;

/// Time until a usage report arrives, in milliseconds.
const DELAY_MS: u64 = 20;

/// Part of load L that the flooding organisation usually sends.
const PART: f64 = 0.25;

/// Its rate, relative to what it usually sends.
const HEADROOM: f64 = 1.2;

/// Start and end of the flood, in milliseconds.
const FLOOD: (u64, u64) = (4_000, 14_000);

/// Time after which a flood is known at all entries, in milliseconds.
const ONSET_MS: u64 = 1_500;

/// One kind of requests of load L: its service, priority, requests per second, tokens, and
/// deadline in milliseconds. Plain requests have a fixed cost.
struct Load {
    service: u32,
    priority: u8,
    per_s: f64,
    tokens: f64,
    deadline: u64,
}

const ENGINE: u32 = 11;
const CONTACT: u32 = 22;
const LOOKUP: u32 = 33;

const LOADS: [Load; 5] = [
    Load { service: ENGINE, priority: 0, per_s: 150.0, tokens: 1_632.0, deadline: 12_000 },
    Load { service: ENGINE, priority: 1, per_s: 92.6, tokens: 714.0, deadline: 8_000 },
    Load { service: ENGINE, priority: 2, per_s: 36.2, tokens: 1_632.0, deadline: 20_000 },
    Load { service: CONTACT, priority: 2, per_s: 115.0, tokens: 200.0, deadline: 1_500 },
    Load { service: LOOKUP, priority: 2, per_s: 26.4, tokens: 200.0, deadline: 1_500 },
];

fn at(millis: u64) -> Instant {
    Instant::from_micros(5_000_000 + millis * 1_000)
}

/// Tokens per second that an organisation with `part` of load L sends.
fn usual(part: f64) -> f64 {
    LOADS.iter().map(|load| load.per_s * load.tokens * part).sum()
}

fn organisation(name: &str, part: f64) -> Organisation {
    let rate = (usual(part) * HEADROOM) as u64;
    Organisation {
        name: name.into(),
        priority: None,
        rate,
        burst: rate,
        plain_cost: 200,
        counts_tokens: true,
    }
}

/// A caller's request.
#[derive(Clone, Copy)]
struct Call {
    /// Index into [`LOADS`].
    load: usize,
    flooding: bool,
    cost: u64,
    deadline: u64,
    retried: bool,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    requested: u64,
    granted: u64,
    calls: u64,
    refused: u64,
    refused_twice: u64,
    hopeless: u64,
}

/// What callers got while the flood lasted.
#[derive(Debug, Default)]
struct Outcome {
    flooding: [Got; 5],
    other: [Got; 5],
}

impl Outcome {
    fn refused_twice(&self) -> u64 {
        self.flooding.iter().map(|got| got.refused_twice).sum()
    }

    fn granted(&self) -> u64 {
        self.flooding.iter().map(|got| got.granted).sum()
    }
}

/// Simulated entries and callers.
struct Fleet {
    entries: Vec<Allowance>,
    /// Of the flooding organisation and the other one, so that neither changes what the other
    /// one sends.
    random: [Random; 2],
    in_transit: VecDeque<(u64, usize, UsageReport)>,
    retries: BTreeMap<u64, Vec<Call>>,
    /// Whether an entry knows the kinds of requests. Others decide as before there were any.
    kinds: fn(usize) -> bool,
    /// Whether a report from one entry to another is lost.
    lost: fn(usize, usize, u64) -> bool,
    outcome: Outcome,
    /// Tokens granted to the flooding organisation by step.
    granted: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64, kinds: fn(usize) -> bool) -> Fleet {
        let hosts: Vec<String> = (0..ENTRIES).map(|at| format!("entry-{at}")).collect();
        let entry = |(number, host): (usize, &String)| {
            let mut entry = Allowance::new(host, number as u64, at(0));
            entry.on_entries(hosts.iter().map(String::as_str));
            entry
        };
        Fleet {
            entries: hosts.iter().enumerate().map(entry).collect(),
            random: [0, 1].map(|index| Random::new(seed * 2 + index)),
            in_transit: VecDeque::new(),
            retries: BTreeMap::new(),
            kinds,
            lost: |_, _, _| false,
            outcome: Outcome::default(),
            granted: Vec::new(),
        }
    }

    fn run(mut self, times: f64) -> Fleet {
        let organisations = [organisation("society", PART), organisation("club", 0.1)];
        let mut next: Vec<f64> = vec![0.0; LOADS.len() * 2];
        for now in (0..FLOOD.1).step_by(STEP_MS as usize) {
            self.exchange(now);
            self.granted.push(0);
            let retries = self.retries.remove(&(now / STEP_MS)).unwrap_or_default();
            for call in retries {
                self.call(now, &organisations, call);
            }
            for (index, load) in LOADS.iter().enumerate() {
                for flooding in [true, false] {
                    let times = if flooding && now >= FLOOD.0 { times } else { 1.0 };
                    let part = if flooding { PART } else { 0.1 };
                    let due = &mut next[index * 2 + usize::from(flooding)];
                    let mut calls = 0;
                    while *due < (now + STEP_MS) as f64 {
                        *due += self.random[usize::from(!flooding)]
                            .exponential(1_000.0 / (load.per_s * part * times));
                        calls += 1;
                    }
                    for _ in 0..calls {
                        let cost = self.cost(load, flooding);
                        let deadline = now + load.deadline;
                        let call = Call { load: index, flooding, cost, deadline, retried: false };
                        self.call(now, &organisations, call);
                    }
                }
            }
        }
        self
    }

    /// Draws the tokens of a request: log-normal with spread 1 for engines.
    fn cost(&mut self, load: &Load, flooding: bool) -> u64 {
        if load.service != ENGINE {
            return load.tokens as u64;
        }
        let random = &mut self.random[usize::from(!flooding)];
        let normal: f64 = (0..12).map(|_| random.unit()).sum::<f64>() - 6.0;
        ((load.tokens * (normal - 0.5).exp()) as u64).clamp(20, 20_000)
    }

    fn call(&mut self, now: u64, organisations: &[Organisation; 2], call: Call) {
        let load = &LOADS[call.load];
        let who = &organisations[usize::from(!call.flooding)];
        let random = &mut self.random[usize::from(!call.flooding)];
        let entry = random.below(ENTRIES as u64) as usize;
        let kind = RequestKind { service: load.service, priority: load.priority };
        let remaining = call.deadline - now;
        let request = TokenRequest {
            cost: call.cost,
            kind: (self.kinds)(entry).then_some(kind),
            remaining: Span::from_millis(remaining),
            draw: random.draw(),
        };
        let verdict = self.entries[entry].acquire(at(now), who, &request);
        if call.flooding && verdict.is_ok() {
            *self.granted.last_mut().unwrap() += call.cost;
        }
        let outcome = &mut self.outcome;
        let got = if call.flooding { &mut outcome.flooding } else { &mut outcome.other };
        let mut got = &mut got[call.load];
        let mut unseen = Got::default();
        if now < FLOOD.0 + ONSET_MS {
            got = &mut unseen;
        }
        if !call.retried {
            got.calls += 1;
            got.requested += call.cost;
        }
        match verdict {
            Ok(()) => got.granted += call.cost,
            Err(_) if call.retried => got.refused_twice += 1,
            Err(OverLimit { retry_after, hopeless, .. }) => {
                got.refused += 1;
                got.hopeless += u64::from(hopeless);
                if !hopeless && retry_after.as_millis() <= remaining / 3 {
                    let step = (now + retry_after.as_millis()) / STEP_MS + 1;
                    self.retries.entry(step).or_default().push(Call { retried: true, ..call });
                }
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        while self.in_transit.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, report) = self.in_transit.pop_front().unwrap();
            for to in (0..ENTRIES).filter(|&to| to != from) {
                if !(self.lost)(from, to, now)
                    && !self.entries[to].on_usage_report(at(now), report.clone())
                {
                    self.entries[from].on_full_report_request();
                }
            }
        }
        let period = self.entries[0].report_period().as_millis() / STEP_MS * STEP_MS;
        for (from, entry) in self.entries.iter_mut().enumerate() {
            // The entries do not report at the same time.
            if (now + from as u64 * STEP_MS).is_multiple_of(period) {
                let report = entry.usage_report(at(now), Number(1));
                self.in_transit.push_back((now + DELAY_MS, from, report));
            }
        }
    }

    /// Checks that no window of 8 s was granted more than its rate and burst, a tenth more, and
    /// 11,000 tokens.
    fn check_limit(&self, seed: u64) {
        let sums = self.granted.windows((8_000 / STEP_MS) as usize);
        let worst = sums.map(|window| window.iter().sum::<u64>()).max().unwrap() as f64;
        assert!(worst <= 9.0 * usual(PART) * HEADROOM * 1.1 + 11_000.0, "seed {seed}: {worst}");
    }
}

/// Tokens of the rate while the flood was observed.
fn budget() -> f64 {
    usual(PART) * HEADROOM * (FLOOD.1 - FLOOD.0 - ONSET_MS) as f64 / 1e3
}

/// Guards against a flood in which contest summaries are refused while less urgent requests of
/// their service get tokens, and against plain services that are starved by them.
#[test]
fn urgent_requests_of_a_flood_are_served_first() {
    for (seed, times) in (0..4).flat_map(|seed| [(seed, 2.0), (seed, 7.5)]) {
        let fleet = Fleet::new(seed, |_| true).run(times);
        println!("seed {seed}, {times} times: {:#?}", fleet.outcome.flooding);
        let got = &fleet.outcome.flooding;
        let less_urgent = got[1].granted + got[2].granted;
        let engine = got[0].granted + less_urgent;
        assert!(less_urgent * 10 <= engine, "seed {seed}: {less_urgent} of {engine}");
        let fair = budget() / 3.0;
        for plain in &got[3..] {
            let due = fair.min(plain.requested as f64);
            assert!(plain.granted as f64 >= 0.9 * due, "seed {seed}: {plain:?} of {due}");
        }
        let granted = fleet.outcome.granted() as f64;
        assert!(granted >= 0.9 * budget(), "seed {seed}: {granted} of {}", budget());
        fleet.check_limit(seed);
    }
}

/// Guards against callers that are told to retry while the rate is used up anyway: at least
/// half of the second refusals must be gone.
#[test]
fn refused_callers_do_not_retry_in_vain() {
    for seed in 0..4 {
        let before = Fleet::new(seed, |_| false).run(7.5).outcome.refused_twice();
        let after = Fleet::new(seed, |_| true).run(7.5).outcome.refused_twice();
        println!("seed {seed}: {after} of {before} refused twice");
        assert!(after * 2 <= before, "seed {seed}: {after} of {before}");
    }
}

/// Guards against organisations that lose by the flood of another one: theirs is a bucket of
/// its own, and the division of their rate begins only beyond it.
#[test]
fn other_organisations_get_what_they_get_on_a_calm_day() {
    for seed in 0..4 {
        let refused = |kinds: fn(usize) -> bool, times| {
            let other = Fleet::new(seed, kinds).run(times).outcome.other;
            let sum = |of: fn(&Got) -> u64| other.iter().map(of).sum::<u64>() as f64;
            sum(|got| got.refused) / sum(|got| got.calls)
        };
        let (before, calm) = (refused(|_| false, 1.0), refused(|_| true, 1.0));
        let flood = refused(|_| true, 7.5);
        println!("seed {seed}: refused {before} before, {calm} calm, {flood} in the flood");
        // Its demand exceeds the rate for moments, in which less urgent requests are held back.
        assert!(calm <= before + 0.002, "seed {seed}: {calm} of {before}");
        assert!(flood.total_cmp(&calm).is_eq(), "seed {seed}: {flood} of {calm}");
    }
}

/// Guards against a limit that is exceeded, or contest summaries that are not served first, as
/// every third usage report is lost.
#[test]
fn lost_reports_neither_break_the_limit_nor_the_order() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, |_| true);
        fleet.lost = |from, to, now| (from * 7 + to * 3 + now as usize / 10).is_multiple_of(3);
        let fleet = fleet.run(7.5);
        fleet.check_limit(seed);
        let got = &fleet.outcome.flooding;
        let less_urgent = got[1].granted + got[2].granted;
        assert!(less_urgent * 9 <= got[0].granted, "seed {seed}: {got:#?}");
    }
}

/// Guards against halves of a split fleet that both grant the parts of kinds that the other
/// half grants, too.
#[test]
fn a_split_network_keeps_to_the_limit() {
    for seed in 0..4 {
        for split in [3_900, 8_000] {
            let mut fleet = Fleet::new(seed, |_| true);
            fleet.lost = match split {
                3_900 => |from, to, now| now >= 3_900 && from % 2 != to % 2,
                _ => |from, to, now| now >= 8_000 && from % 2 != to % 2,
            };
            fleet.run(7.5).check_limit(seed);
        }
    }
}

/// Guards against a limit that is exceeded while entries of earlier builds, which name no
/// kinds, serve half of the callers, and against contest summaries that come last at the
/// others.
#[test]
fn entries_of_earlier_builds_count_by_their_total() {
    for seed in 0..4 {
        let fleet = Fleet::new(seed, |entry| entry.is_multiple_of(2)).run(7.5);
        fleet.check_limit(seed);
        let got = &fleet.outcome.flooding;
        let fraction = |got: &Got| got.granted as f64 / got.requested as f64;
        println!("seed {seed}: {} of contest, {} of casual", fraction(&got[0]), fraction(&got[2]));
        assert!(fraction(&got[0]) > fraction(&got[2]), "seed {seed}: {got:#?}");
        assert!(fleet.outcome.granted() as f64 >= 0.8 * budget(), "seed {seed}: {got:#?}");
    }
}

/// Guards against other decisions or usage reports than before for an organisation whose
/// requests have one priority in each service.
#[test]
fn one_priority_in_each_service_changes_nothing() {
    for seed in 0..4 {
        let mut random = Random::new(seed);
        let who = organisation("society", 0.01);
        let entry = |host| {
            let mut entry = Allowance::new(host, 1, at(0));
            entry.on_entries(["entry-0", "entry-1"].into_iter());
            entry
        };
        let mut fleets = [(); 2].map(|()| ["entry-0", "entry-1"].map(entry));
        let mut refused = 0;
        for now in (0..20_000).step_by(10) {
            let (cost, index) = (random.below(1_500), random.below(2) as usize);
            let service = random.below(3) as u32;
            let kind = RequestKind { service, priority: (2 - service) as u8 };
            let [before, after] = [None, Some(kind)].map(|kind| TokenRequest {
                cost,
                kind,
                remaining: Span::from_millis(1_000),
                draw: random.draw(),
            });
            let verdicts = [
                fleets[0][index].try_acquire(at(now), &who, before.cost),
                fleets[1][index].acquire(at(now), &who, &after),
            ];
            assert_eq!(verdicts[0], verdicts[1], "seed {seed}, {now} ms");
            refused += u32::from(verdicts[0].is_err());
            if now.is_multiple_of(100) {
                for from in 0..2 {
                    let reports =
                        fleets.each_mut().map(|fleet| fleet[from].usage_report(at(now), Number(1)));
                    assert_eq!(reports[0], reports[1], "seed {seed}, {now} ms");
                    assert!(!reports[1].is_extended());
                    for (fleet, report) in fleets.iter_mut().zip(reports) {
                        fleet[1 - from].on_usage_report(at(now), report);
                    }
                }
            }
        }
        assert!(refused > 100, "seed {seed}: {refused}");
    }
}

/// Guards against a large group of refused callers that retries in the same second, and against
/// callers who are told to retry later than they would.
#[test]
fn retries_follow_the_tokens_that_are_promised() {
    let who = Organisation { rate: 10_000, burst: 10_000, ..organisation("society", 0.1) };
    let mut entry = Allowance::new("entry-0", 1, at(0));
    entry.on_entries(["entry-0"].into_iter());
    let (mut told, mut hopeless) = (Vec::new(), 0);
    for number in 0..200 {
        let kind = RequestKind { service: ENGINE, priority: (number % 2) as u8 };
        let remaining = Span::from_secs(12);
        let request = TokenRequest { cost: 1_000, kind: Some(kind), remaining, draw: 0 };
        match entry.acquire(at(0), &who, &request) {
            Err(over) if over.hopeless => hopeless += 1,
            Err(over) if kind.priority == 0 => told.push(over.retry_after),
            _ => {}
        }
    }
    assert!(hopeless > 100, "{hopeless}");
    assert!(told.is_sorted() && told.iter().all(|&after| after <= Span::from_secs(4)), "{told:?}");
    let first = told.iter().filter(|&&after| after < Span::from_secs(2)).count();
    assert!((5..=25).contains(&first), "{told:?}");
}
