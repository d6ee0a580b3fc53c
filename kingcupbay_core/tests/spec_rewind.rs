//! Model check of a store that comes back from an older copy, over the core's own code.
//!
//! The operator evacuates and restores one zone, and writes again what the store has lost.
//! Entries list and follow the operator's rows and report zones to each other; answers and
//! reports arrive late, in any order, or never. A breadth-first search visits every state
//! within the bounds and prints a shortest path to a violation as a trace.

#![allow(clippy::unwrap_used)]

use std::{
    cell::Cell,
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use kingcupbay_core::{
    deployment::{evacuations::Evacuations, read_positions::ReadPositions},
    time::Instant,
    wire::{
        evacuation::{EvacuationReport, ZoneState},
        read_position::Table,
        rows::{era, version_in_era},
    },
};
use pathfinding::prelude::bfs;

const ZONE_NAME: &str = "a";
const START_TIME: Instant = Instant::from_micros(1_000_000_000);

const WENT_BACK: &str = "an entry forgot an evacuation that the operator has not ended";
const MISSED: &str = "an entry that has read all changes does not act on them";
const ALL_VIOLATIONS: &[&str] = &[WENT_BACK, MISSED];

/// A fault added to the protocol by removing one of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Versions do not carry the era.
    NoEra,
    /// A list after the store's return is taken for complete at once.
    ListAtOnce,
    /// A feed goes on over the store's return.
    FollowOn,
}

/// Bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    entries: usize,
    /// Number of the operator's decisions.
    decisions: usize,
    rewinds: u64,
    /// Messages in flight at once.
    messages: usize,
    mutation: Mutation,
}

/// A message in flight to an entry.
#[derive(Clone, Debug)]
enum Message {
    /// All rows as of a version: the version of the zone's row, if there is one.
    List {
        version: u64,
        row: Option<u64>,
    },
    /// The changes up to a version, after that at which the feed began.
    Page {
        after: u64,
        version: u64,
        changes: Vec<ZoneState>,
    },
    Report(EvacuationReport),
}

#[derive(Clone, Debug, Default)]
struct Entry {
    zones: Evacuations,
    positions: ReadPositions,
    /// Greatest era that an answer has stated.
    era: u64,
    /// Number of the operator's decisions up to the newest evacuation that it acted on.
    evacuated_at: usize,
}

#[derive(Clone, Debug, Default)]
struct World {
    era: u64,
    /// Changes in the store, by number from 1 on.
    changes: Vec<bool>,
    /// What the operator has decided, the newest last.
    decisions: Vec<bool>,
    /// Version at which the newest decision was first written.
    decided: u64,
    /// Whether the store shows the newest decision.
    written: bool,
    entries: Vec<Entry>,
    /// Messages with their receiver and the store's era when they were sent.
    messages: Vec<(usize, u64, Message)>,
}

impl World {
    fn version(&self, mutation: Mutation) -> u64 {
        lift(self.era, self.changes.len() as u64, mutation)
    }

    fn list(&self, mutation: Mutation) -> Message {
        let version = self.version(mutation);
        let row = self.changes.last().filter(|evacuated| **evacuated).map(|_| version);
        Message::List { version, row }
    }

    fn page(&self, after: u64, mutation: Mutation) -> Message {
        let number = |at: usize| lift(self.era, at as u64 + 1, mutation);
        let state = |(at, &evacuated)| ZoneState { version: number(at), evacuated };
        let newer = self.changes.iter().enumerate().map(state);
        let stripped = lift(self.era, after & 0xff, mutation);
        let changes = newer.filter(|state| state.version > stripped).collect();
        Message::Page { after, version: self.version(mutation), changes }
    }

    fn violations(&self, mutation: Mutation) -> Vec<&'static str> {
        let mut found = Vec::new();
        let intended = self.decisions.last().copied().unwrap_or_default();
        for entry in &self.entries {
            let acts = entry.zones.is_evacuated(ZONE_NAME);
            if intended && !acts && entry.evacuated_at == self.decisions.len() {
                found.push(WENT_BACK);
            }
            let known = entry.positions.known(Table::Operator);
            let read_all = entry.era == self.era && known == self.version(mutation);
            if self.written && known > 0 && read_all && acts != intended && !acts {
                found.push(MISSED);
            }
        }
        found
    }

    fn then(&self, step: String, act: impl FnOnce(&mut World)) -> State {
        let mut world = self.clone();
        act(&mut world);
        for entry in &mut world.entries {
            let state = entry.zones.state(ZONE_NAME);
            let newest = state.is_some_and(|state| state.version >= world.decided);
            if newest
                && entry.zones.is_evacuated(ZONE_NAME)
                && world.decisions.last() == Some(&true)
            {
                entry.evacuated_at = world.decisions.len();
            }
        }
        State::new(world, step)
    }
}

fn lift(era: u64, number: u64, mutation: Mutation) -> u64 {
    let era = if mutation == Mutation::NoEra { 0 } else { era };
    version_in_era(era, number)
}

impl Entry {
    /// Receives a message; `stated` is the era that the answer of the store states.
    fn receive(&mut self, stated: u64, message: Message, mutation: Mutation) {
        let store = !matches!(message, Message::Report(_));
        if store && stated < self.era {
            return;
        }
        if store {
            self.era = self.era.max(stated);
        }
        match message {
            Message::List { version, row } => self.on_list(version, row, mutation),
            Message::Page { after, version, changes } => {
                if era(after) < era(version) && mutation != Mutation::FollowOn {
                    return;
                }
                let known = self.positions.known(Table::Operator);
                for change in changes.into_iter().filter(|change| change.version > known) {
                    self.zones.on_state(ZONE_NAME, change);
                }
                self.positions.on_page(START_TIME, Table::Operator, version, []);
            }
            Message::Report(report) => {
                for state in report.zones.into_values() {
                    self.zones.on_state(ZONE_NAME, state);
                }
            }
        }
    }

    fn on_list(&mut self, version: u64, row: Option<u64>, mutation: Mutation) {
        let rows: BTreeMap<String, u64> =
            row.map(|row| (ZONE_NAME.to_owned(), row)).into_iter().collect();
        if mutation == Mutation::ListAtOnce && row.is_none() && self.zones.is_evacuated(ZONE_NAME) {
            self.zones.on_state(ZONE_NAME, ZoneState::restored(version));
        }
        drop(self.zones.on_list(START_TIME, version, &rows));
        self.positions.on_list(START_TIME, Table::Operator, version);
    }
}

/// A state with the step that led to it. States are equal if their worlds are.
#[derive(Clone, Debug)]
struct State {
    world: World,
    step: String,
    key: String,
}

impl State {
    fn new(mut world: World, step: String) -> State {
        world.messages.sort_by_key(|message| format!("{message:?}"));
        let key = format!("{world:?}");
        State { world, step, key }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key.hash(hasher);
    }
}

fn steps(world: &World, bounds: Bounds) -> Vec<State> {
    let mut next = Vec::new();
    let intended = world.decisions.last().copied().unwrap_or_default();
    if world.decisions.len() < bounds.decisions && (world.written || world.decisions.is_empty()) {
        let name = if intended { "restores" } else { "evacuates" };
        next.push(world.then(format!("the operator {name} the zone"), |w| {
            w.decisions.push(!intended);
            w.changes.push(!intended);
            w.decided = w.version(bounds.mutation);
            w.written = true;
        }));
    }
    if !world.written && !world.decisions.is_empty() {
        next.push(world.then("the operator writes again".to_owned(), |w| {
            w.changes.push(intended);
            w.written = true;
        }));
    }
    if world.era < bounds.rewinds {
        for kept in 0..world.changes.len() {
            next.push(world.then(format!("the store comes back from version {kept}"), |w| {
                w.era += 1;
                w.changes.truncate(kept);
                w.written = false;
            }));
        }
    }
    for index in 0..world.entries.len() {
        entry_steps(world, index, bounds, &mut next);
    }
    for index in 0..world.messages.len() {
        let (to, stated, message) = &world.messages[index];
        next.push(world.then(format!("entry {to} receives {message:?}"), |w| {
            w.messages.remove(index);
            w.entries[*to].receive(*stated, message.clone(), bounds.mutation);
        }));
        next.push(world.then(format!("lost: {message:?} to entry {to}"), |w| {
            w.messages.remove(index);
        }));
    }
    next
}

fn entry_steps(world: &World, index: usize, bounds: Bounds, next: &mut Vec<State>) {
    if world.messages.len() >= bounds.messages {
        return;
    }
    let mutation = bounds.mutation;
    let entry = &world.entries[index];
    let send = |to: usize, message: Message, step: String| {
        world.then(step, |w| w.messages.push((to, w.era, message)))
    };
    next.push(send(index, world.list(mutation), format!("entry {index} lists the rows")));
    let known = entry.positions.known(Table::Operator);
    if known > 0 {
        let page = world.page(known, mutation);
        next.push(send(index, page, format!("entry {index} follows from {known:#x}")));
    }
    for to in (0..world.entries.len()).filter(|&to| to != index) {
        let report = entry.clone().zones.report(true);
        if !report.zones.is_empty() {
            let step = format!("entry {index} reports zones to {to}");
            next.push(send(to, Message::Report(report), step));
        }
    }
}

struct Search {
    states: usize,
    trace: Option<Vec<String>>,
}

/// Searches for a state with one of the violations in `wanted`.
fn explore(bounds: Bounds, wanted: &[&str]) -> Search {
    let world = World { entries: vec![Entry::default(); bounds.entries], ..World::default() };
    let states = Cell::new(0);
    let path = bfs(
        &State::new(world, "start".to_owned()),
        |state| {
            states.set(states.get() + 1);
            steps(&state.world, bounds)
        },
        |state| {
            let found = state.world.violations(bounds.mutation);
            found.iter().any(|found| wanted.contains(found))
        },
    );
    let trace = path.map(|path| path.into_iter().map(|state| state.step).collect());
    Search { states: states.get(), trace }
}

const BOUNDS: Bounds =
    Bounds { entries: 2, decisions: 2, rewinds: 1, messages: 1, mutation: Mutation::None };

/// Checks that `mutation` leads to the violation `wanted`; prints the trace.
fn expect_violation(bounds: Bounds, mutation: Mutation, wanted: &str) {
    let found = explore(Bounds { mutation, ..bounds }, &[wanted]);
    let trace = found.trace.expect("the mutation leads to the violation");
    println!("{mutation:?}, {} states:\n  {}", found.states, trace.join("\n  "));
}

#[test]
fn no_entry_goes_back_with_the_store() {
    for bounds in [
        BOUNDS,
        Bounds { entries: 1, rewinds: 2, messages: 2, ..BOUNDS },
        Bounds { entries: 1, decisions: 3, ..BOUNDS },
    ] {
        let found = explore(bounds, ALL_VIOLATIONS);
        println!("{} states", found.states);
        assert_eq!(found.trace, None);
    }
}

/// Changes after the store's return have the versions of others from before.
#[test]
fn versions_without_the_era_hide_an_evacuation() {
    expect_violation(Bounds { entries: 1, decisions: 3, ..BOUNDS }, Mutation::NoEra, MISSED);
}

/// The copy does not show the evacuation, which the operator has not written again yet.
#[test]
fn taking_the_copy_for_complete_forgets_an_evacuation() {
    expect_violation(BOUNDS, Mutation::ListAtOnce, WENT_BACK);
}

/// A feed that begins after a version of before the return passes over the changes since.
#[test]
fn following_over_a_return_hides_an_evacuation() {
    expect_violation(Bounds { entries: 1, decisions: 3, ..BOUNDS }, Mutation::FollowOn, MISSED);
}
