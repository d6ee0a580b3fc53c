//! The soak's program: plays seeds one after the other.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use kingcupbay_soak::{
    daemon::{Workshop, beside},
    fleet::Size,
    run::{Outcome, Plan, play},
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
    /// Seeds to play, from the first one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Rounds of faults for each seed.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Engines, each with a daemon beside it.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Plain services.
    #[arg(long, default_value_t = 2)]
    desks: usize,
    /// Ordinary callers for each entry.
    #[arg(long, default_value_t = 5)]
    callers: usize,
    /// Where settings and the daemons' logs are kept, a folder for each seed.
    #[arg(long, default_value = "target/soak", value_name = "FOLDER")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let program = match std::env::current_exe() {
        Ok(own) => beside(&own),
        Err(error) => {
            eprintln!("where this program lies: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let folder = args.logs.join(format!("seed-{seed}"));
        let workshop = Workshop { program: program.clone(), folder };
        let size = Size { entries: args.entries, engines: args.engines, desks: args.desks };
        let plan = Plan { seed, rounds: args.rounds, size, callers: args.callers, workshop };
        match actix_rt::System::new().block_on(play(&plan)) {
            Ok(outcome) => {
                report(seed, &outcome);
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

fn report(seed: u64, outcome: &Outcome) {
    let Outcome { sent, served, calm, breaches, troubles } = outcome;
    println!(
        "seed {seed}: {served} of {sent} served, well after {} ms, {} breaches",
        calm.as_millis(),
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
