//! Model check of standing: a breadth-first search over the functions of the
//! core that the daemons run.
//!
//! The model has three members, one operator's patch and the join of a member
//! that restarted. Messages may be lost (never delivered), duplicated (answered
//! once and delivered twice) or late (delivered after any number of ticks). A
//! pause is any stretch of ticks in which a member takes no step, and a table
//! outage any stretch in which no message reaches the table, so every search
//! includes both; only ticks, messages and crashes are bounded.
//!
//! Symmetry: all members start alike, so the operator's patch always goes to
//! member 0, and only member 0 or 1 crashes.
//!
//! `SPEC_STANDING=deep` explores larger state spaces, which takes minutes.

#![allow(clippy::unwrap_used)]

mod model;
mod shared;
mod state;

use std::{cell::Cell, time::Instant};

use model::{Bounds, Mutation, Node, Violation};
use pathfinding::prelude::bfs;

/// Returns the shortest path to a violation that `bad` selects, and prints the
/// size of the explored space.
fn explore(bounds: Bounds, mutation: Mutation, bad: fn(&Violation) -> bool) -> Option<Vec<Node>> {
    let (states, depth, start) = (Cell::new(0u64), Cell::new(0), Instant::now());
    let path = bfs(
        &Node::start(),
        |node| {
            states.set(states.get() + 1);
            depth.set(node.depth);
            node.successors(bounds, mutation)
        },
        |node| node.state.violations().iter().any(bad),
    );
    let (states, depth, time) = (states.get(), depth.get(), start.elapsed().as_secs_f64());
    println!("{mutation:?}, {bounds:?}: {states} states, depth {depth}, {time:.1} s");
    path
}

/// Panics with a readable trace if the space contains a violation.
fn expect_none(bounds: Bounds) {
    if let Some(path) = explore(bounds, Mutation::None, |_| true) {
        panic!("{}", trace(&path));
    }
}

/// Panics unless `mutation` leads to a violation that `bad` selects; prints its
/// trace.
fn expect_some(bounds: Bounds, mutation: Mutation, bad: fn(&Violation) -> bool) {
    let path = explore(bounds, mutation, bad)
        .expect("the mutation leads to a violation within the bounds");
    println!("{}", trace(&path));
}

fn trace(path: &[Node]) -> String {
    let line = |node: &Node| match &node.step {
        Some(step) => format!("  tick {}  {step}\n", node.state.now),
        None => String::new(),
    };
    let steps: String = path.iter().map(line).collect();
    let end = path.last().map(|node| node.state.violations());
    format!("{steps}  => {end:?}")
}

fn stale(violation: &Violation) -> bool {
    matches!(violation, Violation::ServedStale { .. })
}

#[test]
fn without_a_crash_nothing_acknowledged_is_missed() {
    expect_none(Bounds::no_crash());
}

#[test]
fn with_a_crash_nothing_acknowledged_is_missed() {
    expect_none(Bounds::one_crash());
}

#[test]
fn with_answers_that_arrive_twice_nothing_acknowledged_is_missed() {
    expect_none(Bounds::duplicated());
}

/// An operator's withdrawal of a key is acknowledged while only the writer holds
/// the patch. Then the writer is cut off, and two entries that confirm each other
/// go on honouring the key.
#[test]
fn acknowledging_without_the_majority_is_found() {
    let minority = |found: &Violation| matches!(found, Violation::AckedByMinority(_));
    expect_some(Bounds::no_crash(), Mutation::EarlyAck, minority);
    expect_some(Bounds::no_crash(), Mutation::EarlyAck, stale);
}

/// The table answers a head read, then a patch is acknowledged, then the answer
/// arrives. If the read's age counts from the arrival, it hides the patch for a
/// whole bound.
#[test]
fn timing_a_read_from_its_answer_is_found() {
    expect_some(Bounds::late_read(), Mutation::ReadFromAnswer, stale);
}

/// A patch is acknowledged because a member holds it. That member then restarts
/// empty and confirms, under the same id, that it knows of no patch.
#[test]
fn a_member_that_restarts_empty_and_confirms_is_found() {
    expect_some(Bounds::restart_empty(), Mutation::RestartEmpty, stale);
}

/// A late answer from a peer that was behind takes the daemon back to an older
/// configuration.
#[test]
fn accepting_an_older_configuration_is_found() {
    let back = |found: &Violation| matches!(found, Violation::WentBack { .. });
    expect_some(Bounds::no_crash(), Mutation::AcceptOlder, back);
}
