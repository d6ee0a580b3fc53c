//! Model check of once-only calls over the core's own code.
//!
//! The model has attempts at one key, a table whose answers get lost and whose
//! writes arrive late, a service that counts executions, and crashes at any
//! step. A breadth-first search visits every state within the bounds and prints
//! a shortest path to a violation as a trace.

#![allow(clippy::unwrap_used)]

mod once;

use std::{
    cell::Cell,
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

use kingcupbay_core::{
    claim::{Action, Answer, Claim, Event},
    wire::{
        error::{Code, Ran},
        table::{Txn, TxnAnswer},
    },
};
use once::{FENCE, KEY, Table, attempt, describe, outcome};
use pathfinding::prelude::bfs;

const RAN_TWICE: &str = "the call ran twice";
const OUTCOME_CHANGED: &str = "a recorded outcome changed";
const FALSE_NOT_RUN: &str = "answered not_run, but it ran";
const INVENTED_OUTCOME: &str = "answered with an outcome that the service never gave";
const ALL_VIOLATIONS: &[&str] = &[RAN_TWICE, OUTCOME_CHANGED, FALSE_NOT_RUN, INVENTED_OUTCOME];

/// A fault added to the protocol by removing one of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The call is sent before the claim is confirmed.
    SendEarly,
    /// A claim whose answer was lost counts as not claimed: the row is removed and
    /// claimed again for a new attempt.
    ClaimAgain,
    /// A claim without an outcome is reported as not run.
    ReportNotRun,
    /// Releasing a claim removes its row.
    RemoveRow,
}

/// Bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    attempts: usize,
    faults: u32,
    mutation: Mutation,
}

#[derive(Clone, Debug)]
struct Actor {
    claim: Claim,
    pending: Option<Action>,
    answer: Option<Answer>,
    alive: bool,
    late: bool,
}

#[derive(Clone, Debug, Default)]
struct World {
    table: Table,
    actors: Vec<Actor>,
    /// Transactions that were sent and have not arrived.
    txns: Vec<Txn>,
    /// Calls that were sent and have not arrived, by their attempt.
    calls: Vec<usize>,
    /// Number of executions by attempt.
    runs: Vec<usize>,
    faults: u32,
    recorded: Option<String>,
    changed: bool,
}

/// A state and the step that led to it. Equality and hash ignore the step.
#[derive(Clone)]
struct State {
    world: World,
    step: String,
    identity: String,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.identity == other.identity
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity.hash(state);
    }
}

impl World {
    fn then(&self, step: String, change: impl FnOnce(&mut World)) -> State {
        let mut world = self.clone();
        change(&mut world);
        world.check_recorded();
        world.state(step)
    }

    fn state(self, step: String) -> State {
        let identity = format!("{self:?}");
        State { world: self, step, identity }
    }

    /// Stores the recorded outcome, and whether it has changed or disappeared.
    fn check_recorded(&mut self) {
        let value = self.table.rows.get(KEY).map(|row| row.value.clone());
        let value = value.filter(|value| value.contains("\"done\""));
        match &self.recorded {
            Some(old) if value.as_ref() != Some(old) => self.changed = true,
            _ => self.recorded = value,
        }
    }

    fn start(&mut self, successor: bool, mutation: Mutation) {
        let index = self.actors.len();
        let fencing =
            if successor { self.table.take_over() } else { self.table.rows[FENCE].revision };
        let (claim, actions) = Claim::start(attempt(index, fencing));
        self.runs.push(0);
        let answer = None;
        self.actors.push(Actor { claim, pending: None, answer, alive: true, late: false });
        self.carry_out(index, actions, mutation);
    }

    fn on(&mut self, index: usize, event: Event, mutation: Mutation) {
        let actions = self.actors[index].claim.handle(event);
        self.carry_out(index, actions, mutation);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>, mutation: Mutation) {
        for action in actions {
            match action {
                Action::Answer(answer) => self.answer_caller(index, answer, mutation),
                Action::Txn(txn) if mutation == Mutation::SendEarly && claims(&txn) => {
                    self.txns.push(txn);
                    self.on(index, Event::StoreAnswer(TxnAnswer::Committed), mutation);
                }
                Action::Txn(mut txn) if mutation == Mutation::RemoveRow && releases(&txn) => {
                    txn.writes[0].value = None;
                    self.actors[index].pending = Some(Action::Txn(txn));
                }
                action => self.actors[index].pending = Some(action),
            }
        }
    }

    fn answer_caller(&mut self, index: usize, mut answer: Answer, mutation: Mutation) {
        if let Answer::Failure(failure) = &mut answer
            && mutation == Mutation::ReportNotRun
            && failure.code == Code::OutcomeUnknown
        {
            failure.ran = Ran::NotRun;
        }
        assert!(self.actors[index].answer.is_none(), "a caller is answered once");
        self.actors[index].answer = Some(answer);
    }

    fn run(&mut self, index: usize) -> usize {
        self.runs[index] += 1;
        self.runs.iter().sum()
    }

    fn fault(&mut self) {
        self.faults += 1;
    }

    /// Returns the violations in this state.
    fn violations(&self) -> Vec<&'static str> {
        let mut found = Vec::new();
        if self.runs.iter().sum::<usize>() > 1 {
            found.push(RAN_TWICE);
        }
        if self.changed {
            found.push(OUTCOME_CHANGED);
        }
        for (actor, &runs) in self.actors.iter().zip(&self.runs) {
            match &actor.answer {
                Some(Answer::Failure(failure)) if failure.ran == Ran::NotRun && runs > 0 => {
                    found.push(FALSE_NOT_RUN);
                }
                Some(Answer::Outcome { outcome: answered, .. }) if *answered != outcome(1) => {
                    found.push(INVENTED_OUTCOME);
                }
                _ => {}
            }
        }
        found
    }
}

fn claims(txn: &Txn) -> bool {
    txn.writes[0].value.as_ref().is_some_and(|value| value.contains("\"claimed\""))
}

fn releases(txn: &Txn) -> bool {
    txn.writes[0].value.as_ref().is_some_and(|value| value.contains("\"released\""))
}

fn name(txn: &Txn) -> &'static str {
    match (claims(txn), txn.writes[0].value.as_ref()) {
        (true, _) => "claim",
        (_, Some(value)) if value.contains("\"done\"") => "outcome",
        _ => "release",
    }
}

/// Returns every state that may come next.
fn steps(world: &World, bounds: Bounds) -> Vec<State> {
    let mut next = Vec::new();
    let index = world.actors.len();
    if index < bounds.attempts {
        let who = index + 1;
        next.push(
            world.then(format!("{who}: starts an attempt"), |w| w.start(false, bounds.mutation)),
        );
        if index > 0 {
            let step = format!("{who}: takes over the upstream and starts an attempt");
            next.push(world.then(step, |w| w.start(true, bounds.mutation)));
        }
    }
    for (at, txn) in world.txns.iter().enumerate() {
        next.push(world.then(format!("a {} arrives late", name(txn)), |w| {
            let txn = w.txns.remove(at);
            w.table.txn(&txn);
        }));
    }
    for (at, index) in world.calls.iter().enumerate() {
        next.push(world.then(format!("{}: its call arrives late", index + 1), |w| {
            let index = w.calls.remove(at);
            w.run(index);
        }));
    }
    for index in 0..world.actors.len() {
        actor_steps(world, index, bounds, &mut next);
    }
    next
}

fn actor_steps(world: &World, index: usize, bounds: Bounds, next: &mut Vec<State>) {
    let (who, mutation) = (index + 1, bounds.mutation);
    let actor = &world.actors[index];
    let pending = actor.pending.clone();
    if !actor.alive || pending.is_none() {
        return;
    }
    let faults = world.faults < bounds.faults;
    let take = |w: &mut World| w.actors[index].pending.take();
    match pending.clone() {
        Some(Action::Txn(txn)) => {
            let what = name(&txn);
            next.push(world.then(format!("{who}: {what} answered"), |w| {
                take(w);
                let answer = w.table.txn(&txn);
                w.on(index, Event::StoreAnswer(answer), mutation);
            }));
            if faults {
                next.push(world.then(format!("{who}: {what} refused by the table"), |w| {
                    w.fault();
                    take(w);
                    w.on(index, Event::StoreRefused, mutation);
                }));
                next.push(world.then(format!("{who}: {what} written, answer lost"), |w| {
                    w.fault();
                    take(w);
                    w.table.txn(&txn);
                    lost(w, index, &txn, mutation);
                }));
                next.push(world.then(format!("{who}: {what} delayed, answer lost"), |w| {
                    w.fault();
                    take(w);
                    w.txns.push(txn.clone());
                    lost(w, index, &txn, mutation);
                }));
            }
        }
        Some(Action::Read(_)) => {
            next.push(world.then(format!("{who}: reads the row"), |w| {
                take(w);
                let row = w.table.rows.get(KEY).cloned();
                w.on(index, Event::RowRead(row), mutation);
            }));
            if faults {
                next.push(world.then(format!("{who}: read lost"), |w| {
                    w.fault();
                    take(w);
                    w.on(index, Event::StoreLost, mutation);
                }));
            }
        }
        Some(Action::Call) => {
            next.push(world.then(format!("{who}: the service runs it and answers"), |w| {
                take(w);
                let execution = w.run(index);
                w.on(index, Event::Sent, mutation);
                w.on(index, Event::ServiceAnswered(outcome(execution)), mutation);
            }));
            if faults {
                next.push(world.then(format!("{who}: the service runs it, answer lost"), |w| {
                    w.fault();
                    take(w);
                    w.run(index);
                    w.on(index, Event::ServiceLost, mutation);
                }));
                next.push(world.then(format!("{who}: call delayed, answer lost"), |w| {
                    w.fault();
                    take(w);
                    w.calls.push(index);
                    w.on(index, Event::ServiceLost, mutation);
                }));
                next.push(world.then(format!("{who}: call was never sent"), |w| {
                    w.fault();
                    take(w);
                    w.on(index, Event::NotSent, mutation);
                }));
            }
        }
        Some(Action::Answer(_)) | None => {}
    }
    if faults && !actor.late && actor.answer.is_none() {
        next.push(world.then(format!("{who}: its deadline passes"), |w| {
            w.fault();
            w.actors[index].late = true;
            w.on(index, Event::Deadline, mutation);
        }));
    }
    if faults {
        next.push(world.then(format!("{who}: crashes"), |w| {
            w.fault();
            w.actors[index].alive = false;
            // The request that it had sent may still arrive.
            match take(w) {
                Some(Action::Txn(txn)) => w.txns.push(txn),
                Some(Action::Call) => w.calls.push(index),
                _ => {}
            }
        }));
    }
}

fn lost(world: &mut World, index: usize, txn: &Txn, mutation: Mutation) {
    if mutation == Mutation::ClaimAgain && claims(txn) {
        world.table.rows.remove(KEY);
        let fencing = world.table.rows[FENCE].revision;
        let (claim, actions) = Claim::start(attempt(index + 10, fencing));
        world.actors[index].claim = claim;
        return world.carry_out(index, actions, mutation);
    }
    world.on(index, Event::StoreLost, mutation);
}

struct Search {
    states: usize,
    trace: Option<Vec<String>>,
    /// Short texts of all answers to callers in the explored states.
    answers: BTreeSet<String>,
}

/// Searches for a state with one of the violations in `wanted`.
fn explore(attempts: usize, faults: u32, mutation: Mutation, wanted: &[&str]) -> Search {
    let bounds = Bounds { attempts, faults, mutation };
    let mut world = World::default();
    world.table.take_over();
    let states = Cell::new(0);
    let mut answers = BTreeSet::new();
    let path = bfs(
        &world.state("start".to_owned()),
        |state| {
            states.set(states.get() + 1);
            let answered = state.world.actors.iter().filter_map(|actor| actor.answer.as_ref());
            answers.extend(answered.map(describe));
            steps(&state.world, bounds)
        },
        |state| state.world.violations().iter().any(|found| wanted.contains(found)),
    );
    let trace = path.map(|path| {
        let last = path.last().unwrap().world.violations().join(", ");
        path.into_iter().map(|state| state.step).chain([format!("violation: {last}")]).collect()
    });
    Search { states: states.get(), trace, answers }
}

/// Checks that `mutation` leads to the violation `wanted`; prints the trace.
fn expect_violation(attempts: usize, faults: u32, mutation: Mutation, wanted: &str) {
    let found = explore(attempts, faults, mutation, &[wanted]);
    let trace = found.trace.expect("the mutation leads to the violation");
    println!("{mutation:?}, {} states:\n  {}", found.states, trace.join("\n  "));
}

#[test]
fn no_call_runs_twice_and_not_run_is_true() {
    for (attempts, faults) in [(2, 4), (3, 2)] {
        let found = explore(attempts, faults, Mutation::None, ALL_VIOLATIONS);
        println!("{attempts} attempts, {faults} faults: {} states", found.states);
        assert_eq!(found.trace, None);
        // The bounds are large enough to reach every possible answer.
        let answers: Vec<_> = found.answers.iter().map(String::as_str).collect();
        let all = [
            "deadline not_run",
            "execution 1",
            "execution 1 replayed",
            "no_standing not_run",
            "outcome_unknown unknown",
            "store_down not_run",
            "upstream_failed not_run",
        ];
        assert_eq!(answers, all);
    }
}

/// Two clicks on "book" reach two daemons. If each sends the call while its
/// claim is still in progress, the caller is charged twice.
#[test]
fn sending_before_the_claim_is_confirmed_runs_twice() {
    expect_violation(2, 0, Mutation::SendEarly, RAN_TWICE);
}

/// A booking runs, and the claim of a repeat gets no answer. Treating it as not
/// claimed and removing the row removes the first claim, so the booking runs
/// again.
#[test]
fn removing_a_claim_whose_answer_was_lost_runs_twice() {
    expect_violation(2, 1, Mutation::ClaimAgain, RAN_TWICE);
    expect_violation(2, 1, Mutation::ClaimAgain, OUTCOME_CHANGED);
}

/// The service books the seat and its answer is lost. If "not run" is answered,
/// the caller books another seat.
#[test]
fn reporting_not_run_for_a_claim_without_outcome_is_false() {
    expect_violation(1, 1, Mutation::ReportNotRun, FALSE_NOT_RUN);
}

/// A claim is released by removing its row, and the removal arrives a second
/// time, late. By then the row is another attempt's claim at the same revision,
/// so that claim is removed and a third attempt runs the call again.
#[test]
fn releasing_a_claim_by_removing_its_row_runs_twice() {
    expect_violation(3, 2, Mutation::RemoveRow, RAN_TWICE);
}
