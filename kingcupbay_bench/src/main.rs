//! Load and experiment tool: runs the decisions of the core on seeded arrivals and
//! small models of the served systems, and prints tables of figures.

mod capacity;
mod path;
mod serve;
mod share;

use clap::{Parser, Subcommand};

/// Load and experiment tool of kingcupbay.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "kingcupbay_bench", version)]
struct Args {
    #[command(subcommand)]
    experiment: Experiment,
}

/// The experiments; each prints its tables.
#[derive(Debug)]
#[derive(Subcommand)]
enum Experiment {
    /// State, messages and processor time against fleet size.
    Capacity(capacity::Args),
    /// Latency and processor time of the running path.
    Path(path::Args),
    /// Routing, slots and queue against baselines, in simulated time.
    Serve(serve::Args),
    /// Rate shares against baselines, in simulated time.
    Share(share::Args),
}

fn main() {
    match Args::parse().experiment {
        Experiment::Capacity(args) => capacity::run(&args),
        Experiment::Path(args) => path::run(&args),
        Experiment::Serve(args) => serve::run(&args),
        Experiment::Share(args) => share::run(&args),
    }
}
