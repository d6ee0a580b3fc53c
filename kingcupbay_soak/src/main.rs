//! Runs the soak for one seed after the other.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use kingcupbay_soak::{
    daemon::{DaemonFiles, daemon_program},
    fleet::Size,
    run::{Outcome, Plan, execute},
};

/// Randomized soak of a registered fleet; prints each broken promise and fails
/// if there is one.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "kingcupbay_soak", version)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run, counted from the first one.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Rounds of faults per seed.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Engines, each with a sidecar.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Plain services.
    #[arg(long, default_value_t = 2)]
    desks: usize,
    /// Ordinary callers per entry.
    #[arg(long, default_value_t = 5)]
    callers: usize,
    /// Folder of the settings and the daemons' logs, with a subfolder per seed.
    #[arg(long, default_value = "target/soak", value_name = "FOLDER")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let program = match std::env::current_exe() {
        Ok(own) => daemon_program(&own),
        Err(error) => {
            eprintln!("cannot determine the path of this program: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let folder = args.logs.join(format!("seed-{seed}"));
        let files = DaemonFiles { program: program.clone(), folder };
        let size = Size { entries: args.entries, engines: args.engines, services: args.desks };
        let plan = Plan { seed, rounds: args.rounds, size, callers: args.callers, files };
        match actix_rt::System::new().block_on(execute(&plan)) {
            Ok(outcome) => {
                print_outcome(seed, &outcome);
                broken += usize::from(!outcome.breaches.is_empty());
            }
            Err(error) => {
                println!("seed {seed}: not played: {error}");
                broken += 1;
            }
        }
    }
    println!("{} seeds, {broken} with a broken promise", args.seeds);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_outcome(seed: u64, outcome: &Outcome) {
    let Outcome { sent, served, recovery, breaches, troubles } = outcome;
    println!(
        "seed {seed}: {served} of {sent} served, well after {} ms, {} breaches",
        recovery.as_millis(),
        breaches.len()
    );
    if breaches.is_empty() {
        return;
    }
    for (round, troubles) in troubles.iter().enumerate() {
        for timed in troubles {
            println!("  round {}: {timed:?}", round + 1);
        }
    }
    for breach in breaches {
        println!("  {breach}");
    }
}
