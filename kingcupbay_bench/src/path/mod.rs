//! Latency and processor time of the running path.

/// Settings of the experiment.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {}

/// Runs the experiment and prints its table.
pub(crate) fn run(_args: &Args) {}
