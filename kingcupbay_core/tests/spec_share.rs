//! Specification of rate shares, explored breadth-first over the core's own
//! transitions: two entries and the successor of one, one organisation, one
//! pause (a crash is the pause that does not end), one change of epoch,
//! messages lost, doubled and late. Lost is a message that never arrives.

#![allow(clippy::unwrap_used)]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Instant as Clock,
};

use kingcupbay_core::{
    config::model::Total,
    id::{Id, Number, OrganisationId},
    share::{
        amount::Amount,
        bucket::Share,
        message::{Ask, Envelope, Message, Part, Transfer},
        plan::{Holder, Plan, Report},
        shares::{Action, Settings, Shares, Verdict},
    },
    time::{Instant, Span},
};
use pathfinding::directed::bfs::bfs;

const A: Holder = Holder(1);
const B: Holder = Holder(2);
/// Comes in the place of B.
const C: Holder = Holder(3);
const RATE: u64 = 2;
const BURST: u64 = 4;
/// The first tick is 1.
const TICKS: u64 = 4;
/// How long B may have standing after the last epoch is in force.
const LAPSE: u64 = 2;
const MESSAGES: usize = 2;
const TRANSFERS: u8 = 2;

/// A mutation of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The taker does not remember what it took.
    ForgetSeq,
    /// The giver deducts when the receipt comes.
    DeductLate,
    /// The level travels, its capacity stays.
    CapacityStays,
    /// Grants do not wait until the old holder's standing has lapsed.
    NoLapse,
    /// Transfers are taken across epochs, and from whoever sends them.
    AnyEpoch,
}

/// Every state of an entry once, for the sake of memory.
#[derive(Default)]
struct Pool(BTreeMap<u64, Vec<Rc<Shares>>>);

impl Pool {
    fn intern(&mut self, shares: &Rc<Shares>) -> Rc<Shares> {
        let mut hasher = DefaultHasher::new();
        shares.hash(&mut hasher);
        let same = self.0.entry(hasher.finish()).or_default();
        if let Some(found) = same.iter().find(|found| *found == shares) {
            return found.clone();
        }
        same.push(shares.clone());
        shares.clone()
    }
}

thread_local! {
    static POOL: RefCell<Pool> = RefCell::default();
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    Admit(Holder, u64),
    /// The second asks the first.
    Ask(Holder, Holder),
    /// Delivered, and its receipt too.
    Deliver(Envelope),
    /// Delivered and still on its way; the receipt is lost.
    Double(Envelope),
    /// The last epoch is in force, and C enters it.
    Replace,
    /// A enters it.
    Learn,
    ReadReports(Holder),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fault: Fault,
    tick: u64,
    entries: BTreeMap<Holder, Rc<Shares>>,
    /// In order, each once.
    net: Vec<Rc<Envelope>>,
    in_force: Option<u64>,
    transfers: u8,
    rewritten: u64,
    /// Transfers not taken yet.
    flight: Vec<(Holder, Holder, u64, Part)>,
    /// What the organisation's exact bucket has left; below zero when some
    /// interval got more than burst and rate allow.
    exact: i64,
}

fn at(tick: u64) -> Instant {
    Instant::default() + Span::from_secs(tick)
}

fn organisation() -> OrganisationId {
    OrganisationId::from_raw(0)
}

fn plan(epoch: u64, holders: [Holder; 2], organisations: bool) -> Plan {
    let total = (organisation(), Total { rate: RATE, burst: BURST });
    let totals = organisations.then_some(total).into_iter().collect();
    let last_removal = Number(if epoch == 3 { 3 } else { 0 });
    Plan { epoch: Number(epoch), holders: holders.into(), last_removal, totals }
}

impl World {
    /// A and B share the organisation, whose bucket is full.
    fn new(fault: Fault) -> World {
        let reclaim_delay = if fault == Fault::NoLapse { 0 } else { LAPSE };
        let reclaim_delay = Span::from_secs(reclaim_delay);
        let settings =
            Settings { reclaim_delay, resend_after: Span::from_secs(99), ..Settings::default() };
        let now = at(1);
        let fresh = |holder| (holder, Rc::new(Shares::new(holder, settings)));
        let mut entries: BTreeMap<_, _> = [A, B, C].into_iter().map(fresh).collect();
        let mut reports = Vec::new();
        for holder in [A, B] {
            let shares = Rc::make_mut(entries.get_mut(&holder).unwrap());
            shares.on_plan(now, plan(1, [A, B], false));
            shares.on_plan(now, plan(2, [A, B], true));
            reports.push(shares.report().unwrap().clone());
        }
        for holder in [A, B] {
            Rc::make_mut(entries.get_mut(&holder).unwrap()).on_reports(now, &reports);
        }
        World {
            fault,
            tick: 1,
            entries,
            net: Vec::new(),
            in_force: None,
            transfers: 0,
            rewritten: 0,
            flight: Vec::new(),
            exact: BURST as i64,
        }
    }

    fn entry(&mut self, holder: Holder) -> &mut Shares {
        Rc::make_mut(self.entries.get_mut(&holder).unwrap())
    }

    fn now(&self) -> Instant {
        at(self.tick)
    }

    /// Whether `holder` may act on what it knows: it is in the last epoch, or
    /// could have missed it.
    fn standing(&self, holder: Holder) -> bool {
        let shares = &self.entries[&holder];
        let missed = self.in_force.is_none_or(|at| self.tick < at + LAPSE);
        shares.epoch() == Number(3) || (shares.epoch() == Number(2) && missed)
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.tick < TICKS {
            steps.push(Step::Tick);
        }
        for (&holder, shares) in &self.entries {
            let level = shares.share(self.now(), organisation()).level.as_tokens();
            if level > 0 && self.standing(holder) {
                steps.push(Step::Admit(holder, level));
            }
            let room = self.net.len() < MESSAGES && self.transfers < TRANSFERS;
            for &other in self.entries.keys().filter(|&&other| room && other != holder) {
                if level > 0 && self.entries[&other].epoch() == shares.epoch() {
                    steps.push(Step::Ask(holder, other));
                }
            }
        }
        if self.in_force.is_some() && self.reports().len() == 1 {
            steps.push(Step::Learn);
        }
        for holder in [A, C].into_iter().filter(|_| self.reports().len() == 2) {
            if self.entries[&holder].missing_reports().next().is_some() {
                steps.push(Step::ReadReports(holder));
            }
        }
        for envelope in &self.net {
            steps.push(Step::Deliver(Envelope::clone(envelope)));
            steps.push(Step::Double(Envelope::clone(envelope)));
        }
        if self.in_force.is_none() {
            steps.push(Step::Replace);
        }
        steps
    }

    fn after(&self, step: &Step) -> World {
        let mut next = self.clone();
        next.apply(step);
        for shares in next.entries.values_mut() {
            *shares = POOL.with_borrow_mut(|pool| pool.intern(shares));
        }
        next
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Tick => {
                self.tick += 1;
                self.exact = (self.exact + RATE as i64).min(BURST as i64);
                // Nothing is admitted; equal states come to look equal.
                [A, B, C].into_iter().for_each(|holder| self.admit(holder, 0));
            }
            Step::Admit(holder, tokens) => self.admit(*holder, *tokens),
            Step::Ask(giver, taker) => self.ask(*giver, *taker),
            Step::Deliver(envelope) => {
                self.net.retain(|other| **other != *envelope);
                self.deliver(envelope, true);
            }
            Step::Double(envelope) => self.deliver(envelope, false),
            Step::Replace => {
                self.in_force = Some(self.tick);
                self.learn(C);
            }
            Step::Learn => self.learn(A),
            Step::ReadReports(holder) => {
                let now = self.now();
                let reports = self.reports();
                self.entry(*holder).on_reports(now, &reports);
            }
        }
    }

    /// The reports of the last epoch.
    fn reports(&self) -> Vec<Report> {
        let reports = self.entries.values().filter_map(|shares| shares.report());
        reports.filter(|report| report.epoch == Number(3)).cloned().collect()
    }

    fn learn(&mut self, holder: Holder) {
        let now = self.now();
        let shares = self.entry(holder);
        shares.on_plan(now, plan(3, [A, C], true));
        shares.on_in_force(now, Number(3));
        self.flight.retain(|&(_, taker, ..)| taker != holder);
    }

    fn admit(&mut self, holder: Holder, tokens: u64) {
        let (now, standing) = (self.now(), self.standing(holder));
        let shares = self.entry(holder);
        // Asked for the second time, so that demand, which decides nothing
        // here, stays out of the state.
        let since = now - Span::from_micros(1);
        let verdict = shares.admit(now, since, organisation(), tokens, standing);
        if let Verdict::Granted(reservation) = verdict {
            shares.settle(now, reservation, tokens);
            self.exact -= tokens as i64;
        }
    }

    fn ask(&mut self, giver: Holder, taker: Holder) {
        self.transfers += 1;
        let now = self.now();
        let before = self.entries[&giver].clone();
        let shares = self.entry(giver);
        let epoch = shares.epoch();
        let missing = Amount::from_tokens(BURST);
        let message = Message::Ask(Ask { organisation: organisation(), missing });
        let ask = Envelope { from: taker, to: giver, epoch, message };
        for action in shares.on_message(now, &ask) {
            let Action::Send(mut envelope) = action else { continue };
            let Message::Transfer(transfer) = &mut envelope.message else { continue };
            transfer.slack.clear();
            let (seq, part) = (transfer.seq, transfer.parts[0]);
            if self.fault == Fault::CapacityStays {
                let share = Share { rate: 0, level: Amount::ZERO, ..part.share };
                let parts = vec![Part { share, ..part }];
                let back = Transfer { seq: 900 + seq, floor: 0, parts, slack: Vec::new() };
                let message = Message::Transfer(back);
                let back = Envelope { from: taker, to: giver, epoch, message };
                self.entry(giver).on_message(now, &back);
                transfer.parts[0].share.capacity = Amount::ZERO;
            }
            self.flight.push((giver, taker, seq, part));
            self.net.push(Rc::new(envelope));
            self.net.sort();
        }
        if self.fault == Fault::DeductLate {
            self.entries.insert(giver, before);
        }
    }

    fn deliver(&mut self, envelope: &Envelope, receipt: bool) {
        let now = self.now();
        let (sender, mut envelope) = (envelope.from, envelope.clone());
        let shares = Rc::make_mut(self.entries.get_mut(&envelope.to).unwrap());
        if self.fault == Fault::AnyEpoch {
            envelope.epoch = shares.epoch();
            if shares.epoch() == Number(3) && envelope.from == B {
                envelope.from = C;
            }
        }
        if let (Fault::ForgetSeq, Message::Transfer(transfer)) = (self.fault, &mut envelope.message)
        {
            self.rewritten += 1;
            transfer.seq = 900 + self.rewritten;
        }
        for action in shares.on_message(now, &envelope) {
            let Action::Send(mut answer) = action else { continue };
            if let Message::Receipt { slack, seq } = &mut answer.message {
                slack.clear();
                let taken = (sender, envelope.to, *seq);
                self.flight.retain(|&(from, to, seq, _)| (from, to, seq) != taken);
                if receipt {
                    self.receive(answer);
                }
            }
        }
    }

    fn receive(&mut self, receipt: Envelope) {
        let now = self.now();
        let giver = self.entry(receipt.to);
        giver.on_message(now, &receipt);
        if self.fault == Fault::DeductLate {
            let missing = Amount::from_tokens(BURST);
            let message = Message::Ask(Ask { organisation: organisation(), missing });
            self.entry(receipt.to).on_message(now, &Envelope { message, ..receipt });
        }
    }

    /// What is wrong in this state, if anything.
    fn broken(&self) -> Option<&'static str> {
        if self.exact < 0 {
            return Some("an interval got more than burst + rate * t");
        }
        let mut sum = Share::default();
        let held = self.entries.iter().filter(|(holder, _)| self.standing(**holder));
        let held = held.map(|(_, shares)| shares.share(self.now(), organisation()));
        // What comes to B after its standing lapsed is out of use.
        let flight = self.flight.iter().filter(|(_, taker, ..)| self.standing(*taker));
        for share in held.chain(flight.map(|(.., part)| part.share)) {
            sum.rate += share.rate;
            sum.capacity += share.capacity;
            sum.level += share.level;
        }
        let burst = Amount::from_tokens(BURST);
        match sum.rate > RATE || sum.capacity > burst || sum.level > burst {
            true => Some("shares and transfers hold more than there is"),
            false => None,
        }
    }
}

/// A state and its distance from the start, which is no part of the state.
#[derive(Clone)]
struct Node {
    world: World,
    depth: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.world == other.world
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

/// Searches for a state that `bad` rejects; prints counts, and the trace.
fn explore(fault: Fault, bad: impl Fn(&World) -> bool) -> Option<Vec<World>> {
    let (clock, states, depth) = (Clock::now(), Cell::new(0), Cell::new(0));
    let start = Node { world: World::new(fault), depth: 0 };
    let successors = |node: &Node| {
        let steps = node.world.steps();
        let after = |step: &Step| Node { world: node.world.after(step), depth: node.depth + 1 };
        steps.iter().map(after).collect::<Vec<_>>()
    };
    let found = bfs(&start, successors, |node| {
        states.set(states.get() + 1);
        depth.set(node.depth);
        bad(&node.world)
    });
    let (states, depth) = (states.get(), depth.get());
    println!("{fault:?}: {states} states, depth {depth}, {:.1} s", clock.elapsed().as_secs_f64());
    let trace: Vec<_> = found?.into_iter().map(|node| node.world).collect();
    print_trace(&trace);
    Some(trace)
}

fn print_trace(trace: &[World]) {
    for pair in trace.windows(2) {
        let step = pair[0].steps().into_iter().find(|step| pair[0].after(step) == pair[1]);
        let world = &pair[1];
        let share = |(holder, shares): (&Holder, &Rc<Shares>)| {
            let share = shares.share(world.now(), organisation());
            let (level, capacity) = (share.level.as_tokens(), share.capacity.as_tokens());
            format!("{}: {}/s {level} of {capacity}", holder.0, share.rate)
        };
        let shares: Vec<_> = world.entries.iter().map(share).collect();
        println!(
            "  t={} exact={} [{}] after {}",
            world.tick,
            world.exact,
            shares.join(", "),
            brief(&step.unwrap())
        );
    }
    println!("  => {}", trace.last().unwrap().broken().unwrap());
}

fn brief(step: &Step) -> String {
    let line = |word: &str, envelope: &Envelope| {
        let what = match &envelope.message {
            Message::Transfer(transfer) => format!("transfer {}", transfer.seq),
            other => format!("{other:?}"),
        };
        format!("{word} {what} {} -> {}", envelope.from.0, envelope.to.0)
    };
    match step {
        Step::Deliver(envelope) => line("deliver", envelope),
        Step::Double(envelope) => line("deliver and double", envelope),
        Step::Admit(holder, tokens) => format!("{} admits {tokens}", holder.0),
        Step::Ask(giver, taker) => format!("{} asks {}", taker.0, giver.0),
        other => format!("{other:?}"),
    }
}

fn over(world: &World) -> bool {
    world.exact < 0
}

#[test]
fn bound_and_conservation_hold_everywhere() {
    assert!(explore(Fault::None, |world| world.broken().is_some()).is_none());
}

#[test]
fn forgotten_sequence_numbers_break_the_bound() {
    assert!(explore(Fault::ForgetSeq, over).is_some());
}

#[test]
fn late_deduction_breaks_the_bound() {
    assert!(explore(Fault::DeductLate, over).is_some());
}

#[test]
fn capacity_left_behind_breaks_the_bound() {
    assert!(explore(Fault::CapacityStays, over).is_some());
}

#[test]
fn a_grant_before_the_lapse_breaks_the_bound() {
    assert!(explore(Fault::NoLapse, over).is_some());
}

#[test]
fn a_transfer_across_epochs_breaks_the_bound() {
    assert!(explore(Fault::AnyEpoch, over).is_some());
}
