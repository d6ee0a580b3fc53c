//! Model check of the transfer of one stream to another engine, over the core's own code.
//!
//! A source makes events of a run. The entry that relays them copies the run's memory to a
//! target, stops the run and continues it. Calls and answers are delayed or lost, engines
//! restart under the same id, the stream is cut in one direction, and the caller leaves. A
//! breadth-first search visits every state within the bounds and prints a shortest path to a
//! violation as a trace.

#![allow(clippy::unwrap_used)]

mod model;

use std::cell::Cell;

use pathfinding::prelude::bfs;

use model::{
    ALL_VIOLATIONS, Bounds, DISORDER, LEAKED, Mutation, NEEDLESS, ORPHAN, State, TWICE, World,
    steps,
};

struct Search {
    states: usize,
    trace: Option<Vec<String>>,
}

/// Searches for a state with one of the violations in `wanted`.
fn explore(bounds: Bounds, wanted: &[&str]) -> Search {
    let states = Cell::new(0);
    let path = bfs(
        &State::new(World::new(), "start".to_owned()),
        |state| {
            states.set(states.get() + 1);
            steps(&state.world, bounds)
        },
        |state| state.world.violations().iter().any(|found| wanted.contains(found)),
    );
    let trace = path.map(|path| path.into_iter().map(|state| state.step).collect());
    Search { states: states.get(), trace }
}

const BOUNDS: Bounds = Bounds { events: 2, faults: 1, mutation: Mutation::None };

/// Checks that `mutation` leads to the violation `wanted`; prints the trace.
fn expect_violation(bounds: Bounds, mutation: Mutation, wanted: &str) {
    let found = explore(Bounds { mutation, ..bounds }, &[wanted]);
    let trace = found.trace.expect("the mutation leads to the violation");
    println!("{mutation:?}, {} states:\n  {}", found.states, trace.join("\n  "));
}

/// A run that continues twice, or an event that the caller gets twice or not at all.
#[test]
fn a_moved_stream_is_whole_and_runs_once() {
    for bounds in [BOUNDS, Bounds { events: 1, faults: 2, ..BOUNDS }] {
        let found = explore(bounds, ALL_VIOLATIONS);
        println!("{} states", found.states);
        assert_eq!(found.trace, None);
    }
}

/// A copy that does not stop the run leaves it running at the source.
#[test]
fn continuing_a_running_stream_runs_it_twice() {
    expect_violation(BOUNDS, Mutation::ContinueRunning, TWICE);
}

/// The call that stops the run was lost, and its stream was cut on the way.
#[test]
fn taking_silence_for_a_stopped_run_runs_it_twice() {
    expect_violation(Bounds { faults: 4, events: 1, ..BOUNDS }, Mutation::SilenceIsStopped, TWICE);
}

/// A connection that was cut in one direction says nothing of the run.
#[test]
fn taking_a_cut_stream_for_a_stopped_run_runs_it_twice() {
    expect_violation(BOUNDS, Mutation::CutIsStopped, TWICE);
}

/// The target runs the request and its answer is lost; the source is asked too.
#[test]
fn asking_both_ends_runs_it_twice() {
    expect_violation(BOUNDS, Mutation::SilenceIsNotRun, TWICE);
}

/// Events that the source has made and that did not arrive are skipped.
#[test]
fn continuing_after_the_last_made_event_loses_events() {
    expect_violation(BOUNDS, Mutation::ContinueAfterMade, DISORDER);
}

/// Late events of the source are forwarded beside those of the target.
#[test]
fn forwarding_both_streams_repeats_events() {
    expect_violation(BOUNDS, Mutation::ForwardBoth, DISORDER);
}

/// The caller leaves, or the stream ends, while a copy is kept for it.
#[test]
fn keeping_copies_fills_engines() {
    expect_violation(BOUNDS, Mutation::KeepCopies, LEAKED);
}

/// A stream that the target cannot take was ended while its source still ran it.
#[test]
fn giving_up_on_a_failed_copy_loses_the_stream() {
    let wanted = Bounds { mutation: Mutation::GiveUpOnCopy, ..BOUNDS };
    let found = explore(wanted, &[NEEDLESS]);
    assert!(found.trace.is_some(), "{} states", found.states);
}

/// The target has restarted, and the source still holds the memory.
#[test]
fn asking_only_the_target_loses_the_stream() {
    expect_violation(BOUNDS, Mutation::TargetOnly, NEEDLESS);
}

/// The caller leaves while the request that continues its run is on its way.
#[test]
fn continuing_for_a_caller_that_left_runs_for_nobody() {
    expect_violation(BOUNDS, Mutation::ContinueForNobody, ORPHAN);
}
