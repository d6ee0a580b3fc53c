//! The number that a single change is made against.

/// Option of every command that makes one change.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Args)]
pub(crate) struct Against {
    /// Refuse unless this number is in force; else the one read just before
    #[arg(long, value_name = "N")]
    pub(crate) against: Option<u64>,
}
