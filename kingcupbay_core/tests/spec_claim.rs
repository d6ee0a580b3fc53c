//! Specification of once-only calls, explored over the core's own code.
//!
//! Attempts at one key, a table whose answers get lost and whose writes come
//! late, a service that counts, crashes at any step. A breadth-first search
//! visits every state within the bounds; a shortest path to a bad state is
//! printed as a trace.

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
use once::{FENCE, KEY, Table, attempt, outcome, words};
use pathfinding::prelude::bfs;

const TWICE: &str = "the call ran twice";
const CHANGED: &str = "a recorded outcome changed";
const FALSE: &str = "told not_run, but it ran";
const INVENTED: &str = "told an outcome that never was";
const ANY: &[&str] = &[TWICE, CHANGED, FALSE, INVENTED];

/// A guard taken out of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The call is sent before the claim is confirmed.
    SendEarly,
    /// A lost claim counts as not claimed: the row is removed and claimed
    /// again for a new attempt.
    ClaimAgain,
    /// A claim without an outcome counts as not run.
    TellNotRun,
    /// Releasing a claim removes its row.
    RemoveRow,
}

/// How much may happen.
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
    told: Option<Answer>,
    alive: bool,
    late: bool,
}

#[derive(Clone, Debug, Default)]
struct World {
    table: Table,
    actors: Vec<Actor>,
    /// Transactions that left and have not arrived.
    txns: Vec<Txn>,
    /// Calls that left and have not arrived, by their attempt.
    calls: Vec<usize>,
    /// Executions by attempt.
    runs: Vec<usize>,
    faults: u32,
    recorded: Option<String>,
    changed: bool,
}

/// A state and the step that led there; only the state counts.
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
        world.watch();
        world.state(step)
    }

    fn state(self, step: String) -> State {
        let identity = format!("{self:?}");
        State { world: self, step, identity }
    }

    /// Notes a recorded outcome, and whether one has changed or gone.
    fn watch(&mut self) {
        let value = self.table.rows.get(KEY).map(|row| row.value.clone());
        let value = value.filter(|value| value.contains("\"done\""));
        match &self.recorded {
            Some(old) if value.as_ref() != Some(old) => self.changed = true,
            _ => self.recorded = value,
        }
    }

    fn start(&mut self, successor: bool, mutation: Mutation) {
        let index = self.actors.len();
        let fencing = if successor { self.table.fence() } else { self.table.rows[FENCE].revision };
        let (claim, actions) = Claim::start(attempt(index, fencing));
        self.runs.push(0);
        let told = None;
        self.actors.push(Actor { claim, pending: None, told, alive: true, late: false });
        self.carry_out(index, actions, mutation);
    }

    fn on(&mut self, index: usize, event: Event, mutation: Mutation) {
        let actions = self.actors[index].claim.handle(event);
        self.carry_out(index, actions, mutation);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>, mutation: Mutation) {
        for action in actions {
            match action {
                Action::Answer(answer) => self.tell(index, answer, mutation),
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

    fn tell(&mut self, index: usize, mut answer: Answer, mutation: Mutation) {
        if let Answer::Failure(failure) = &mut answer
            && mutation == Mutation::TellNotRun
            && failure.code == Code::OutcomeUnknown
        {
            failure.ran = Ran::NotRun;
        }
        assert!(self.actors[index].told.is_none(), "a caller is told once");
        self.actors[index].told = Some(answer);
    }

    fn run(&mut self, index: usize) -> usize {
        self.runs[index] += 1;
        self.runs.iter().sum()
    }

    fn fault(&mut self) {
        self.faults += 1;
    }

    /// What is wrong here.
    fn violations(&self) -> Vec<&'static str> {
        let mut found = Vec::new();
        if self.runs.iter().sum::<usize>() > 1 {
            found.push(TWICE);
        }
        if self.changed {
            found.push(CHANGED);
        }
        for (actor, &runs) in self.actors.iter().zip(&self.runs) {
            match &actor.told {
                Some(Answer::Failure(failure)) if failure.ran == Ran::NotRun && runs > 0 => {
                    found.push(FALSE);
                }
                Some(Answer::Outcome { outcome: told, .. }) if *told != outcome(1) => {
                    found.push(INVENTED);
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

/// Every step that may come next.
fn steps(world: &World, bounds: Bounds) -> Vec<State> {
    let mut next = Vec::new();
    let index = world.actors.len();
    if index < bounds.attempts {
        let who = index + 1;
        next.push(world.then(format!("{who}: attempts"), |w| w.start(false, bounds.mutation)));
        if index > 0 {
            let step = format!("{who}: takes the upstream over and attempts");
            next.push(world.then(step, |w| w.start(true, bounds.mutation)));
        }
    }
    for (at, txn) in world.txns.iter().enumerate() {
        next.push(world.then(format!("a {} comes late", name(txn)), |w| {
            let txn = w.txns.remove(at);
            w.table.txn(&txn);
        }));
    }
    for (at, index) in world.calls.iter().enumerate() {
        next.push(world.then(format!("{}: its call comes late", index + 1), |w| {
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
                next.push(world.then(format!("{who}: {what} lost on its way"), |w| {
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
                next.push(world.then(format!("{who}: call lost on its way"), |w| {
                    w.fault();
                    take(w);
                    w.calls.push(index);
                    w.on(index, Event::ServiceLost, mutation);
                }));
                next.push(world.then(format!("{who}: call never left"), |w| {
                    w.fault();
                    take(w);
                    w.on(index, Event::NotSent, mutation);
                }));
            }
        }
        Some(Action::Answer(_)) | None => {}
    }
    if faults && !actor.late && actor.told.is_none() {
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
            // What it had sent may still arrive.
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

struct Found {
    states: usize,
    trace: Option<Vec<String>>,
    /// Answers seen, in few words.
    told: BTreeSet<String>,
}

/// Searches for a state in which one of `wanted` is true.
fn explore(attempts: usize, faults: u32, mutation: Mutation, wanted: &[&str]) -> Found {
    let bounds = Bounds { attempts, faults, mutation };
    let mut world = World::default();
    world.table.fence();
    let states = Cell::new(0);
    let mut told = BTreeSet::new();
    let path = bfs(
        &world.state("start".to_owned()),
        |state| {
            states.set(states.get() + 1);
            let answers = state.world.actors.iter().filter_map(|actor| actor.told.as_ref());
            told.extend(answers.map(words));
            steps(&state.world, bounds)
        },
        |state| state.world.violations().iter().any(|found| wanted.contains(found)),
    );
    let trace = path.map(|path| {
        let last = path.last().unwrap().world.violations().join(", ");
        path.into_iter().map(|state| state.step).chain([format!("BAD: {last}")]).collect()
    });
    Found { states: states.get(), trace, told }
}

/// Without the guard, a trace leads to `wanted`.
fn seen_to_fail(attempts: usize, faults: u32, mutation: Mutation, wanted: &str) {
    let found = explore(attempts, faults, mutation, &[wanted]);
    let trace = found.trace.expect("the guard matters");
    println!("{mutation:?}, {} states:\n  {}", found.states, trace.join("\n  "));
}

#[test]
fn no_call_runs_twice_and_not_run_is_true() {
    for (attempts, faults) in [(2, 4), (3, 2)] {
        let found = explore(attempts, faults, Mutation::None, ANY);
        println!("{attempts} attempts, {faults} faults: {} states", found.states);
        assert_eq!(found.trace, None);
        // The bounds reach every answer there is.
        let told: Vec<_> = found.told.iter().map(String::as_str).collect();
        let all = [
            "deadline not_run",
            "execution 1",
            "execution 1 replayed",
            "no_standing not_run",
            "outcome_unknown unknown",
            "store_down not_run",
            "upstream_failed not_run",
        ];
        assert_eq!(told, all);
    }
}

/// A family is charged twice: two clicks on "book" reach two daemons, and
/// each sends the call while its claim is still under way.
#[test]
fn sending_before_the_claim_is_confirmed_runs_twice() {
    seen_to_fail(2, 0, Mutation::SendEarly, TWICE);
}

/// A booking runs; the repeat's claim gets no answer. Taking that for "not
/// claimed" and clearing the row away removes the first claim, and the
/// booking runs again.
#[test]
fn removing_a_claim_whose_answer_was_lost_runs_twice() {
    seen_to_fail(2, 1, Mutation::ClaimAgain, TWICE);
    seen_to_fail(2, 1, Mutation::ClaimAgain, CHANGED);
}

/// The service books the seat and its answer is lost. Told "not run", the
/// family books another one.
#[test]
fn telling_not_run_for_a_claim_without_outcome_is_false() {
    seen_to_fail(1, 1, Mutation::TellNotRun, FALSE);
}

/// A claim is released by removing its row, and the removal comes a second
/// time, late. By then the row is another attempt's, at the same revision
/// again; its claim goes, and a third attempt runs the call once more.
#[test]
fn releasing_a_claim_by_removing_its_row_runs_twice() {
    seen_to_fail(3, 2, Mutation::RemoveRow, TWICE);
}
