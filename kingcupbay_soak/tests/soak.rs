//! Short seeded runs of the soak, among them seeds that have failed.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use kingcupbay_soak::{
    daemon::{DaemonFiles, daemon_program},
    fleet::Size,
    run::{Outcome, Plan, execute},
};

/// Runs `seed` with three entries, all of which read the store.
async fn soak(seed: u64, rounds: u32) -> Outcome {
    soak_with(3, seed, rounds).await
}

/// Runs `seed` with settings and logs in a separate folder.
async fn soak_with(entries: usize, seed: u64, rounds: u32) -> Outcome {
    let program = daemon_program(Path::new(env!("CARGO_BIN_EXE_kingcupbay_soak")));
    assert!(program.exists(), "build the workspace's programs first: {}", program.display());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{entries}-{seed}"));
    let size = Size { entries, engines: 3, services: 2 };
    let files = DaemonFiles { program, folder };
    execute(&Plan { seed, rounds, size, callers: 3, files }).await.unwrap()
}

fn assert_promises_kept(outcome: &Outcome) {
    assert!(outcome.served > 0, "{outcome:?}");
    let details: Vec<String> = outcome.breaches.iter().map(ToString::to_string).collect();
    assert!(details.is_empty(), "{details:#?}\nafter {:#?}", outcome.troubles);
}

/// Guards against broken promises and failed recovery while processes are killed,
/// paused and stopped and network paths are cut.
#[actix_rt::test]
async fn promises_hold_through_two_rounds() {
    assert_promises_kept(&soak(1, 2).await);
}

/// Guards against the same in a larger fleet, where some entries do not read the
/// store but learn its contents from readers that may fail.
#[actix_rt::test]
async fn promises_hold_where_entries_listen() {
    assert_promises_kept(&soak_with(7, 800, 2).await);
}

/// Guards against a deadlock of the soak: with seed 21 the flows of a proxy change
/// while it delays a chunk, and the thread waits for its own borrow.
#[actix_rt::test]
async fn changing_a_delayed_path_does_not_block_the_soak() {
    assert_promises_kept(&soak(21, 3).await);
}

/// Guards against the same deadlock with seed 34, where an engine restarts empty.
#[actix_rt::test]
async fn changing_a_path_during_an_engine_restart_does_not_block_the_soak() {
    assert_promises_kept(&soak(34, 3).await);
}

/// Guards against answers that end because their upstream is silent: with seed 15409 all engines
/// and all plain services fall silent beside a stop, a reload, two configurations and an evacuation.
#[actix_rt::test]
async fn answers_outlast_silences_beside_planned_work() {
    assert_promises_kept(&soak(15_409, 1).await);
}

/// Guards against answers with a spoilt head that reach callers: with seed 73005 the heads of an
/// upstream's answers are spoilt beside a cut path, a reload and a new version of an adapter.
#[actix_rt::test]
async fn spoilt_answers_reach_nobody() {
    assert_promises_kept(&soak(73_005, 2).await);
}
