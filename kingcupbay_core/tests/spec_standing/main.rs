//! Specification of standing, explored breadth-first over the functions of
//! the core that the daemons run.
//!
//! Three members, one operator's patch and the join of a member that
//! restarted. Messages are lost (never delivered), doubled (answered and
//! delivered again) and late (delivered after any number of ticks). A pause is
//! any stretch of ticks in which a member takes no step; a table outage is any
//! stretch in which no message reaches the table. Both are thus in every
//! space; only ticks, sends and crashes are bounded.
//!
//! Symmetry: the members start alike, so the operator's patch always goes to
//! member 0, and only member 0 or 1 crashes.
//!
//! `SPEC_STANDING=deep` explores larger spaces, within minutes.

#![allow(clippy::unwrap_used)]

mod model;
mod shared;
mod state;

use std::{cell::Cell, time::Instant};

use model::{Bounds, Flaw, Node, Violation};
use pathfinding::prelude::bfs;

/// The shortest way to a violation that `bad` picks; prints the size of the
/// space it saw.
fn explore(bounds: Bounds, flaw: Flaw, bad: fn(&Violation) -> bool) -> Option<Vec<Node>> {
    let (states, depth, start) = (Cell::new(0u64), Cell::new(0), Instant::now());
    let path = bfs(
        &Node::start(),
        |node| {
            states.set(states.get() + 1);
            depth.set(node.depth);
            node.successors(bounds, flaw)
        },
        |node| node.state.violations().iter().any(bad),
    );
    let (states, depth, time) = (states.get(), depth.get(), start.elapsed().as_secs_f64());
    println!("{flaw:?}, {bounds:?}: {states} states, depth {depth}, {time:.1} s");
    path
}

/// Panics with a readable trace when the space holds a violation.
fn expect_none(bounds: Bounds) {
    if let Some(path) = explore(bounds, Flaw::None, |_| true) {
        panic!("{}", trace(&path));
    }
}

/// Panics unless `flaw` leads to a violation that `bad` picks; prints its trace.
fn expect_some(bounds: Bounds, flaw: Flaw, bad: fn(&Violation) -> bool) {
    let path = explore(bounds, flaw, bad).expect("the flaw shows within the bounds");
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
    expect_none(Bounds::doubled());
}

/// Operators are told that a key is withdrawn while only the writer knows;
/// the writer is cut off, and two entries that vouch for each other go on.
#[test]
fn acknowledging_without_the_majority_is_found() {
    let minority = |found: &Violation| matches!(found, Violation::AckedByMinority(_));
    expect_some(Bounds::no_crash(), Flaw::EarlyAck, minority);
    expect_some(Bounds::no_crash(), Flaw::EarlyAck, stale);
}

/// The table answers a head read, a patch is acknowledged, and the answer
/// arrives late: timed from there it hides the patch for a whole bound.
#[test]
fn timing_a_read_from_its_answer_is_found() {
    expect_some(Bounds::late_read(), Flaw::ReadFromAnswer, stale);
}

/// A patch is acknowledged on the word of a member that then restarts empty
/// and vouches, under the same id, that it knows of no patch.
#[test]
fn a_member_that_restarts_empty_and_vouches_is_found() {
    expect_some(Bounds::restart_empty(), Flaw::RestartEmpty, stale);
}

/// A late answer from a peer that was behind is taken as it comes.
#[test]
fn taking_an_older_answer_is_found() {
    let back = |found: &Violation| matches!(found, Violation::WentBack { .. });
    expect_some(Bounds::no_crash(), Flaw::TakeOlder, back);
}
