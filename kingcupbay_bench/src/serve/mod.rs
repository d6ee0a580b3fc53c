//! Routing, slots and queue against baselines, in simulated time.

/// Settings of the experiment.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {}

/// Runs the experiment and prints its table.
pub(crate) fn run(_args: &Args) {}
