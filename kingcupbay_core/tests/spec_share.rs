//! Specification of rate shares, checked over all reachable states.
//!
//! A breadth-first search runs the transitions of the core itself with two
//! entries and the successor of one, one organisation, one pause (a crash is a
//! pause that does not end) and one change of epoch. Messages may be lost,
//! duplicated and delayed; a lost message is one that is never delivered.

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
/// Successor of B.
const C: Holder = Holder(3);
/// Tokens a tick; a tick is one second.
const RATE: u64 = 2;
/// Burst of the organisation, in tokens.
const BURST: u64 = 4;
/// Last tick of the search; the first is 1.
const LAST_TICK: u64 = 4;
/// Ticks for which B may have standing after the last epoch is in force.
const RECLAIM_TICKS: u64 = 2;
/// Most messages in flight.
const IN_FLIGHT_MAX: usize = 2;
/// Most asks for a transfer in one run.
const TRANSFERS_MAX: u8 = 2;

/// Fault put into the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The receiver does not remember which transfers it accepted.
    ForgetSeq,
    /// The sender deducts a share only when the receipt arrives.
    DeductLate,
    /// The level is sent without its capacity.
    KeepCapacity,
    /// Grants do not wait until the standing of the former holder has lapsed.
    NoReclaimDelay,
    /// Transfers are accepted across epochs and from any sender.
    AnyEpoch,
}

/// States of entries, each stored once to save memory.
#[derive(Default)]
struct InternPool(BTreeMap<u64, Vec<Rc<Shares>>>);

impl InternPool {
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
    static POOL: RefCell<InternPool> = RefCell::default();
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    Admit(Holder, u64),
    /// The second entry asks the first for tokens.
    Ask(Holder, Holder),
    /// Delivers a message and its receipt.
    Deliver(Envelope),
    /// Delivers a message that stays in flight; its receipt is lost.
    Duplicate(Envelope),
    /// Puts the last epoch in force; C enters it.
    Replace,
    /// A enters the last epoch.
    EnterEpoch,
    ReadReports(Holder),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fault: Fault,
    tick: u64,
    entries: BTreeMap<Holder, Rc<Shares>>,
    /// Sorted and without duplicates.
    in_flight: Vec<Rc<Envelope>>,
    in_force: Option<u64>,
    transfers: u8,
    rewrites: u64,
    /// Sender, receiver, number and share of transfers not accepted yet.
    not_accepted: Vec<(Holder, Holder, u64, Part)>,
    /// Level of a single exact bucket of the organisation, in tokens; negative
    /// when some interval got more than burst and rate allow.
    exact_level: i64,
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
    /// Creates a state in which A and B share the organisation's full bucket.
    fn new(fault: Fault) -> World {
        let reclaim_delay = if fault == Fault::NoReclaimDelay { 0 } else { RECLAIM_TICKS };
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
            in_flight: Vec::new(),
            in_force: None,
            transfers: 0,
            rewrites: 0,
            not_accepted: Vec::new(),
            exact_level: BURST as i64,
        }
    }

    fn entry(&mut self, holder: Holder) -> &mut Shares {
        Rc::make_mut(self.entries.get_mut(&holder).unwrap())
    }

    fn now(&self) -> Instant {
        at(self.tick)
    }

    /// Returns whether `holder` has standing: it is in the last epoch, or in the
    /// one before and may not have learned of the last one yet.
    fn standing(&self, holder: Holder) -> bool {
        let shares = &self.entries[&holder];
        let missed = self.in_force.is_none_or(|at| self.tick < at + RECLAIM_TICKS);
        shares.epoch() == Number(3) || (shares.epoch() == Number(2) && missed)
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.tick < LAST_TICK {
            steps.push(Step::Tick);
        }
        for (&holder, shares) in &self.entries {
            let level = shares.share(self.now(), organisation()).level.as_tokens();
            if level > 0 && self.standing(holder) {
                steps.push(Step::Admit(holder, level));
            }
            let room = self.in_flight.len() < IN_FLIGHT_MAX && self.transfers < TRANSFERS_MAX;
            for &other in self.entries.keys().filter(|&&other| room && other != holder) {
                if level > 0 && self.entries[&other].epoch() == shares.epoch() {
                    steps.push(Step::Ask(holder, other));
                }
            }
        }
        if self.in_force.is_some() && self.reports().len() == 1 {
            steps.push(Step::EnterEpoch);
        }
        for holder in [A, C].into_iter().filter(|_| self.reports().len() == 2) {
            if self.entries[&holder].missing_reports().next().is_some() {
                steps.push(Step::ReadReports(holder));
            }
        }
        for envelope in &self.in_flight {
            steps.push(Step::Deliver(Envelope::clone(envelope)));
            steps.push(Step::Duplicate(Envelope::clone(envelope)));
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
                self.exact_level = (self.exact_level + RATE as i64).min(BURST as i64);
                // Admits no tokens, but updates the buckets to `now`, so that
                // equivalent states compare equal.
                [A, B, C].into_iter().for_each(|holder| self.admit(holder, 0));
            }
            Step::Admit(holder, tokens) => self.admit(*holder, *tokens),
            Step::Ask(sender, receiver) => self.ask(*sender, *receiver),
            Step::Deliver(envelope) => {
                self.in_flight.retain(|other| **other != *envelope);
                self.deliver(envelope, true);
            }
            Step::Duplicate(envelope) => self.deliver(envelope, false),
            Step::Replace => {
                self.in_force = Some(self.tick);
                self.enter_epoch(C);
            }
            Step::EnterEpoch => self.enter_epoch(A),
            Step::ReadReports(holder) => {
                let now = self.now();
                let reports = self.reports();
                self.entry(*holder).on_reports(now, &reports);
            }
        }
    }

    /// Returns the reports of the last epoch.
    fn reports(&self) -> Vec<Report> {
        let reports = self.entries.values().filter_map(|shares| shares.report());
        reports.filter(|report| report.epoch == Number(3)).cloned().collect()
    }

    fn enter_epoch(&mut self, holder: Holder) {
        let now = self.now();
        let shares = self.entry(holder);
        shares.on_plan(now, plan(3, [A, C], true));
        shares.on_in_force(now, Number(3));
        self.not_accepted.retain(|&(_, receiver, ..)| receiver != holder);
    }

    fn admit(&mut self, holder: Holder, tokens: u64) {
        let (now, standing) = (self.now(), self.standing(holder));
        let shares = self.entry(holder);
        // `since` before `now` marks a repeated call, which does not count as
        // demand. Demand decides nothing here and would only add states.
        let since = now - Span::from_micros(1);
        let verdict = shares.admit(now, since, organisation(), tokens, standing);
        if let Verdict::Granted(reservation) = verdict {
            shares.settle(now, reservation, tokens);
            self.exact_level -= tokens as i64;
        }
    }

    fn ask(&mut self, sender: Holder, receiver: Holder) {
        self.transfers += 1;
        let now = self.now();
        let before = self.entries[&sender].clone();
        let shares = self.entry(sender);
        let epoch = shares.epoch();
        let missing = Amount::from_tokens(BURST);
        let message = Message::Ask(Ask { organisation: organisation(), missing });
        let ask = Envelope { from: receiver, to: sender, epoch, message };
        for action in shares.on_message(now, &ask) {
            let Action::Send(mut envelope) = action else { continue };
            let Message::Transfer(transfer) = &mut envelope.message else { continue };
            transfer.slack.clear();
            let (seq, part) = (transfer.seq, transfer.parts[0]);
            if self.fault == Fault::KeepCapacity {
                let share = Share { rate: 0, level: Amount::ZERO, ..part.share };
                let parts = vec![Part { share, ..part }];
                let back = Transfer { seq: 900 + seq, floor: 0, parts, slack: Vec::new() };
                let message = Message::Transfer(back);
                let back = Envelope { from: receiver, to: sender, epoch, message };
                self.entry(sender).on_message(now, &back);
                transfer.parts[0].share.capacity = Amount::ZERO;
            }
            self.not_accepted.push((sender, receiver, seq, part));
            self.in_flight.push(Rc::new(envelope));
            self.in_flight.sort();
        }
        if self.fault == Fault::DeductLate {
            self.entries.insert(sender, before);
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
            self.rewrites += 1;
            transfer.seq = 900 + self.rewrites;
        }
        for action in shares.on_message(now, &envelope) {
            let Action::Send(mut answer) = action else { continue };
            if let Message::Receipt { slack, seq } = &mut answer.message {
                slack.clear();
                let taken = (sender, envelope.to, *seq);
                self.not_accepted.retain(|&(from, to, seq, _)| (from, to, seq) != taken);
                if receipt {
                    self.deliver_receipt(answer);
                }
            }
        }
    }

    fn deliver_receipt(&mut self, receipt: Envelope) {
        let now = self.now();
        let sender = self.entry(receipt.to);
        sender.on_message(now, &receipt);
        if self.fault == Fault::DeductLate {
            let missing = Amount::from_tokens(BURST);
            let message = Message::Ask(Ask { organisation: organisation(), missing });
            self.entry(receipt.to).on_message(now, &Envelope { message, ..receipt });
        }
    }

    /// Returns a description of the property that this state violates, if any.
    fn violation(&self) -> Option<&'static str> {
        if self.exact_level < 0 {
            return Some("an interval got more than burst + rate * t");
        }
        let mut sum = Share::default();
        let held = self.entries.iter().filter(|(holder, _)| self.standing(**holder));
        let held = held.map(|(_, shares)| shares.share(self.now(), organisation()));
        // Shares sent to B after its standing lapsed are out of use.
        let not_accepted =
            self.not_accepted.iter().filter(|(_, receiver, ..)| self.standing(*receiver));
        for share in held.chain(not_accepted.map(|(.., part)| part.share)) {
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

/// State and its distance from the start; comparisons ignore the distance.
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

/// Searches for a state that satisfies `is_target`, and prints the counts and the
/// trace to it.
fn explore(fault: Fault, is_target: impl Fn(&World) -> bool) -> Option<Vec<World>> {
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
        is_target(&node.world)
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
            world.exact_level,
            shares.join(", "),
            describe(&step.unwrap())
        );
    }
    println!("  => {}", trace.last().unwrap().violation().unwrap());
}

fn describe(step: &Step) -> String {
    let line = |word: &str, envelope: &Envelope| {
        let what = match &envelope.message {
            Message::Transfer(transfer) => format!("transfer {}", transfer.seq),
            other => format!("{other:?}"),
        };
        format!("{word} {what} {} -> {}", envelope.from.0, envelope.to.0)
    };
    match step {
        Step::Deliver(envelope) => line("deliver", envelope),
        Step::Duplicate(envelope) => line("deliver and duplicate", envelope),
        Step::Admit(holder, tokens) => format!("{} admits {tokens}", holder.0),
        Step::Ask(sender, receiver) => format!("{} asks {}", receiver.0, sender.0),
        other => format!("{other:?}"),
    }
}

fn exceeds_bound(world: &World) -> bool {
    world.exact_level < 0
}

/// No order of steps, losses and delays may admit more than burst and rate allow,
/// or make shares and transfers sum to more than the organisation's.
#[test]
fn bound_and_conservation_hold_everywhere() {
    assert!(explore(Fault::None, |world| world.violation().is_some()).is_none());
}

/// The search must find a duplicated transfer that is added twice.
#[test]
fn forgotten_sequence_numbers_break_the_bound() {
    assert!(explore(Fault::ForgetSeq, exceeds_bound).is_some());
}

/// The search must find tokens used at both ends of a transfer.
#[test]
fn late_deduction_breaks_the_bound() {
    assert!(explore(Fault::DeductLate, exceeds_bound).is_some());
}

/// The search must find a sender that refills in addition to the level it sent.
#[test]
fn capacity_left_behind_breaks_the_bound() {
    assert!(explore(Fault::KeepCapacity, exceeds_bound).is_some());
}

/// The search must find a share granted while a paused former holder uses it.
#[test]
fn a_grant_before_the_lapse_breaks_the_bound() {
    assert!(explore(Fault::NoReclaimDelay, exceeds_bound).is_some());
}

/// The search must find a late transfer whose share has been granted anew.
#[test]
fn a_transfer_across_epochs_breaks_the_bound() {
    assert!(explore(Fault::AnyEpoch, exceeds_bound).is_some());
}
