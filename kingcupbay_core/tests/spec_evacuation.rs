//! Model check of how an evacuation of an availability zone is passed on, over the core's
//! own code.
//!
//! The operator evacuates and restores one zone in a store that may drop its history.
//! Entries list and follow the operator's rows, report what they know to each other, and
//! restart. Answers and reports arrive late, in any order, or never. A breadth-first
//! search visits every state within the bounds and prints a shortest path to a violation
//! as a trace.

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
        read_position::{ReadPosition, Table},
    },
};
use pathfinding::prelude::bfs;

const ZONE_NAME: &str = "a";
const START_TIME: Instant = Instant::from_micros(1_000_000_000);

const WRONG: &str = "an entry acts on a state that is older than what it has read";
const REGRESSED: &str = "an entry went back to an older state";
const STUCK: &str = "an entry that reads all rows does not act on them";
const ALL_VIOLATIONS: &[&str] = &[WRONG, REGRESSED, STUCK];

/// A fault added to the protocol by removing one of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A state is applied without comparing versions.
    ApplyOlder,
    /// A zone that is missing from a list stays evacuated.
    IgnoreMissing,
    /// A list restores a missing zone although its evacuation is newer.
    RestoreNewer,
    /// A restored zone is forgotten.
    ForgetRestored,
    /// A list counts as known from its newest row on, as if it showed removed rows.
    SkipRemoved,
    /// A list does not exclude older states of the zones that it lacks.
    ForgetList,
    /// A position of another entry is taken over although changes are missing.
    SkipMissing,
}

/// Bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    entries: usize,
    /// Largest version of the store. Each change takes one.
    versions: u64,
    restarts: u32,
    /// Messages in flight at once.
    messages: usize,
    mutation: Mutation,
}

/// A message in flight to an entry.
#[derive(Clone, Debug)]
enum Message {
    /// All rows as of a version.
    List {
        version: u64,
        evacuated: Option<u64>,
    },
    /// The changes up to a version, after that at which the feed began.
    Page {
        version: u64,
        changes: Vec<ZoneState>,
    },
    Report(EvacuationReport),
    Position(ReadPosition),
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Number of its restarts. Messages to the process before are lost.
    boot: u32,
    zones: Evacuations,
    positions: ReadPositions,
    /// Whether it has read the rows, and so may take callers.
    ready: bool,
    /// Version of the newest state that it has acted on.
    newest: u64,
    regressed: bool,
}

#[derive(Clone, Debug, Default)]
struct World {
    version: u64,
    /// Changes of the zone, in order.
    changes: Vec<ZoneState>,
    entries: Vec<Entry>,
    messages: Vec<(usize, u32, Message)>,
    restarts: u32,
}

impl World {
    /// Returns whether the zone was evacuated at `version`.
    fn evacuated_at(&self, version: u64) -> bool {
        let before = self.changes.iter().rev().find(|change| change.version <= version);
        before.is_some_and(|change| change.evacuated)
    }

    fn violations(&self, mutation: Mutation) -> Vec<&'static str> {
        let mut found = Vec::new();
        for entry in &self.entries {
            let known = entry.positions.known(Table::Operator);
            let acts = entry.zones.is_evacuated(ZONE_NAME);
            let is_current = (known..=self.version).any(|at| self.evacuated_at(at) == acts);
            if entry.ready && !is_current {
                found.push(WRONG);
            }
            if entry.regressed {
                found.push(REGRESSED);
            }
            let mut reader = entry.clone();
            reader.receive(self.list(), mutation);
            if reader.zones.is_evacuated(ZONE_NAME) != self.evacuated_at(self.version) {
                found.push(STUCK);
            }
        }
        found
    }

    fn list(&self) -> Message {
        let last = self.changes.last().filter(|change| change.evacuated);
        Message::List { version: self.version, evacuated: last.map(|change| change.version) }
    }

    /// Returns the answer to a feed after `after`.
    fn page(&self, after: u64) -> Message {
        let newer = self.changes.iter().filter(|change| change.version > after).copied();
        Message::Page { version: self.version, changes: newer.collect() }
    }

    fn change(&mut self, evacuated: bool) {
        self.version += 1;
        self.changes.push(ZoneState { version: self.version, evacuated });
    }

    fn then(&self, step: String, act: impl FnOnce(&mut World)) -> State {
        let mut world = self.clone();
        act(&mut world);
        State::new(world, step)
    }
}

impl Entry {
    fn receive(&mut self, message: Message, mutation: Mutation) {
        match message {
            Message::List { version, evacuated } => self.on_list(version, evacuated, mutation),
            Message::Page { version, changes } => {
                let known = self.positions.known(Table::Operator);
                let last = changes.last().map(|change| change.version);
                for change in changes.into_iter().filter(|change| change.version > known) {
                    self.on_state(change, mutation);
                }
                self.positions.on_page(START_TIME, Table::Operator, version, []);
                if let Some(last) = last {
                    self.positions.on_unreported(Table::Operator, last);
                }
            }
            Message::Report(report) => {
                for state in report.zones.into_values() {
                    self.on_state(state, mutation);
                }
            }
            Message::Position(position) => {
                let since = if mutation == Mutation::SkipMissing { 0 } else { position.since };
                let position = ReadPosition { since, ..position };
                // An entry that misses changes reads the store.
                let _ = self.positions.on_position(START_TIME, Table::Operator, position);
            }
        }
    }

    fn on_list(&mut self, version: u64, evacuated: Option<u64>, mutation: Mutation) {
        let rows: BTreeMap<String, u64> =
            evacuated.map(|row| (ZONE_NAME.to_owned(), row)).into_iter().collect();
        match mutation {
            Mutation::IgnoreMissing if evacuated.is_none() => {}
            Mutation::RestoreNewer if evacuated.is_none() => self.zones = Evacuations::default(),
            Mutation::ForgetList => {
                let row = evacuated.map(ZoneState::evacuated);
                let gone = self.zones.is_evacuated(ZONE_NAME).then(|| ZoneState::restored(version));
                if let Some(state) = row.or(gone) {
                    self.zones.on_state(ZONE_NAME, state);
                }
            }
            _ => drop(self.zones.on_list(START_TIME, version, &rows)),
        }
        match mutation {
            Mutation::SkipRemoved => {
                self.positions.on_list(START_TIME, Table::Operator, evacuated.unwrap_or_default());
                self.positions.on_page(START_TIME, Table::Operator, version, []);
            }
            _ => self.positions.on_list(START_TIME, Table::Operator, version),
        }
        self.ready = true;
        self.on_acted(mutation);
    }

    fn on_state(&mut self, state: ZoneState, mutation: Mutation) {
        if mutation == Mutation::ApplyOlder {
            self.zones = Evacuations::default();
        }
        self.zones.on_state(ZONE_NAME, state);
        self.on_acted(mutation);
    }

    /// Records the state that the entry acts on.
    fn on_acted(&mut self, mutation: Mutation) {
        let version = self.zones.state(ZONE_NAME).map_or(0, |state| state.version);
        self.regressed |= version < self.newest;
        self.newest = self.newest.max(version);
        if mutation == Mutation::ForgetRestored && !self.zones.is_evacuated(ZONE_NAME) {
            self.zones = Evacuations::default();
            self.newest = 0;
        }
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
    let evacuated = world.evacuated_at(world.version);
    if world.version < bounds.versions {
        let name = if evacuated { "restores" } else { "evacuates" };
        next.push(world.then(format!("the operator {name} the zone"), |w| w.change(!evacuated)));
    }
    for index in 0..world.entries.len() {
        entry_steps(world, index, bounds, &mut next);
    }
    for index in 0..world.messages.len() {
        let (to, boot, message) = &world.messages[index];
        let arrives = format!("entry {to} receives {message:?}");
        next.push(world.then(arrives, |w| {
            w.messages.remove(index);
            if w.entries[*to].boot == *boot {
                w.entries[*to].receive(message.clone(), bounds.mutation);
            }
        }));
        next.push(world.then(format!("lost: {message:?} to entry {to}"), |w| {
            w.messages.remove(index);
        }));
    }
    next
}

fn entry_steps(world: &World, index: usize, bounds: Bounds, next: &mut Vec<State>) {
    let entry = &world.entries[index];
    if world.restarts < bounds.restarts && entry.ready {
        next.push(world.then(format!("entry {index} restarts"), |w| {
            w.restarts += 1;
            w.entries[index] = Entry { boot: entry.boot + 1, ..Entry::default() };
        }));
    }
    if world.messages.len() >= bounds.messages {
        return;
    }
    let send = |to: usize, message: Message, step: String| {
        world.then(step, |w| w.messages.push((to, w.entries[to].boot, message)))
    };
    next.push(send(index, world.list(), format!("entry {index} lists the rows")));
    let known = entry.positions.known(Table::Operator);
    if entry.ready {
        next.push(send(index, world.page(known), format!("entry {index} follows from {known}")));
    }
    for to in (0..world.entries.len()).filter(|&to| to != index) {
        let mut sender = entry.clone();
        let report = sender.zones.report(true);
        if !report.zones.is_empty() {
            next.push(send(
                to,
                Message::Report(report),
                format!("entry {index} reports zones to {to}"),
            ));
        }
        if let Some(position) = sender.positions.report(START_TIME).remove(&Table::Operator) {
            let step = format!("entry {index} reports its position to {to}");
            next.push(send(to, Message::Position(position), step));
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
    Bounds { entries: 2, versions: 3, restarts: 0, messages: 1, mutation: Mutation::None };

/// Checks that `mutation` leads to the violation `wanted`; prints the trace.
fn expect_violation(bounds: Bounds, mutation: Mutation, wanted: &str) {
    let found = explore(Bounds { mutation, ..bounds }, &[wanted]);
    let trace = found.trace.expect("the mutation leads to the violation");
    println!("{mutation:?}, {} states:\n  {}", found.states, trace.join("\n  "));
}

#[test]
fn no_entry_acts_on_an_older_state() {
    for bounds in [
        BOUNDS,
        Bounds { versions: 2, messages: 2, ..BOUNDS },
        Bounds { versions: 2, restarts: 1, ..BOUNDS },
    ] {
        let found = explore(bounds, ALL_VIOLATIONS);
        println!("{} states", found.states);
        assert_eq!(found.trace, None);
    }
}

/// A read that was answered late evacuates a restored zone again.
#[test]
fn applying_an_older_state_goes_back() {
    expect_violation(Bounds { messages: 2, ..BOUNDS }, Mutation::ApplyOlder, REGRESSED);
}

/// A zone that was restored while an entry missed the change would stay empty for ever.
#[test]
fn ignoring_what_a_list_lacks_keeps_a_zone_evacuated() {
    expect_violation(BOUNDS, Mutation::IgnoreMissing, STUCK);
}

/// Another entry reported an evacuation before a list from before it arrived.
#[test]
fn restoring_a_newer_evacuation_goes_back() {
    expect_violation(Bounds { messages: 2, ..BOUNDS }, Mutation::RestoreNewer, REGRESSED);
}

/// A report from before the zone was restored arrives after it.
#[test]
fn forgetting_a_restored_zone_evacuates_it_again() {
    expect_violation(Bounds { messages: 2, ..BOUNDS }, Mutation::ForgetRestored, WRONG);
}

/// A reader lists the rows after a zone was restored. An entry that takes its position over
/// never reads that the zone is restored.
#[test]
fn skipping_removed_rows_hides_that_a_zone_is_restored() {
    expect_violation(BOUNDS, Mutation::SkipRemoved, WRONG);
}

/// An entry lists no evacuated zone, and then a peer that lags reports an evacuation from
/// before.
#[test]
fn forgetting_a_list_evacuates_a_restored_zone() {
    expect_violation(BOUNDS, Mutation::ForgetList, WRONG);
}

/// An entry takes over a position of an entry that has read a change which it lacks.
#[test]
fn taking_over_a_position_without_its_changes_hides_an_evacuation() {
    expect_violation(BOUNDS, Mutation::SkipMissing, WRONG);
}
