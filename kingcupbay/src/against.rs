//! Option that names the configuration number a change is made against.

/// Option of every command that makes one change.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Args)]
pub(crate) struct Against {
    /// Refuse unless this configuration number is in force; by default the one just read
    #[arg(long, value_name = "N")]
    pub(crate) against: Option<u64>,
}
