//! Definition of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};
use clap_complete::Shell;
use kingcupbay_core::id::Name;

use crate::{
    adapter::AdapterCommand, key::KeyCommand, member::MemberCommand,
    organisation::OrganisationCommand, route::RouteCommand, upstream::UpstreamCommand,
    version::VersionCommand,
};

/// Text shown below `--help` and in the man page.
const AFTER_HELP: &str = "\
Environment:
  KINGCUPBAY_DAEMON  daemons to ask when no --daemon is given, IP:PORT, separated by commas

Exit codes:
  0  done
  1  refused: a declaration or change is not valid, or no such host; nothing changed
  2  usage: the command line or a file cannot be read
  3  stale: made against another number than the one in force, which is printed; nothing changed
  4  unreachable: no daemon could be asked, or none could reach the table; nothing changed
  5  outcome unknown: the change may or may not be in force; look at the history";

/// Operators' tool of kingcupbay: changes the numbered configuration and shows
/// the daemons' state.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "kingcupbay", version, after_help = AFTER_HELP)]
pub(crate) struct Args {
    /// Operators' port of a daemon; repeat it to name others that are asked
    /// when one cannot be reached
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub(crate) daemon: Vec<SocketAddr>,

    /// Print JSON, errors too
    #[arg(long, global = true)]
    pub(crate) json: bool,

    /// Author of the change, for the history; by default the environment's USER
    #[arg(long, global = true, value_name = "NAME")]
    pub(crate) author: Option<String>,

    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Organisations and their rates
    #[command(subcommand)]
    Organisation(OrganisationCommand),

    /// Access keys of organisations
    #[command(subcommand)]
    Key(KeyCommand),

    /// Adapters of organisations
    #[command(subcommand)]
    Adapter(AdapterCommand),

    /// Versions of adapters
    #[command(subcommand)]
    Version(VersionCommand),

    /// Upstreams that may take work
    #[command(subcommand)]
    Upstream(UpstreamCommand),

    /// Routes to plain services
    #[command(subcommand)]
    Route(RouteCommand),

    /// Daemons that count towards majorities
    #[command(subcommand)]
    Member(MemberCommand),

    /// Show the changes that would make the configuration what files declare
    Plan {
        /// INI files, read together
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },

    /// Make the configuration what files declare, whole or not at all
    Apply {
        /// Configuration number that the plan was made against
        #[arg(long, value_name = "N")]
        against: u64,

        /// INI files, read together
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },

    /// Write the configuration as a declaration
    Export,

    /// Show what differs between the configuration and what files declare
    Diff {
        /// INI files, read together
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },

    /// Show the patches that were taken
    History {
        /// Only those that made configuration numbers above this one
        #[arg(long, value_name = "N", default_value_t = 0)]
        after: u64,
    },

    /// Show a daemon's health and standing
    Status,

    /// Show a daemon's whole state
    Dump {
        /// Host of the daemon; by default the daemon that is asked
        host: Option<Name>,
    },

    /// Write the completions of a shell
    Completions {
        /// The shell
        shell: Shell,
    },

    /// Write the man page
    Man,
}
