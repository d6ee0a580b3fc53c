//! Command-line tool for the operators of kingcupbay.
//!
//! [`args`] defines the command line, each group of commands has its own module,
//! [`client`] sends requests to the operators' ports of daemons, and [`error`]
//! maps errors to exit codes. A command returns the text to print; only this
//! module prints.

mod adapter;
mod against;
mod args;
mod client;
mod declaration;
mod error;
mod generate;
mod inspect;
mod key;
mod member;
mod organisation;
mod output;
mod route;
mod session;
mod upstream;
mod version;

use std::{io::Write as _, process::ExitCode};

use clap::Parser as _;

use crate::{args::Args, error::Error, session::Session};

fn main() -> ExitCode {
    let args = Args::parse();
    let json = args.json;
    let result = actix_rt::System::new().block_on(run_command(args)).and_then(print_text);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", if json { error.to_json() } else { format!("kingcupbay: {error}") });
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints `text`, with a newline at its end unless it is empty.
fn print_text(mut text: String) -> Result<(), Error> {
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    // Not `print!`, which panics when a reader such as `head` has closed the pipe.
    std::io::stdout().write_all(text.as_bytes()).map_err(Error::Print)
}

/// Runs a command and returns the text to print.
async fn run_command(args: Args) -> Result<String, Error> {
    use args::Command;
    let command = match args.command {
        Command::Completions { shell } => return Ok(generate::render_completions(shell)),
        Command::Man => return generate::render_man_page(),
        command => command,
    };
    let session = Session::new(args.daemon, args.json, args.author)?;
    match command {
        Command::Organisation(command) => organisation::run(&session, command).await,
        Command::Key(command) => key::run(&session, command).await,
        Command::Adapter(command) => adapter::run(&session, command).await,
        Command::Version(command) => version::run(&session, command).await,
        Command::Upstream(command) => upstream::run(&session, command).await,
        Command::Route(command) => route::run(&session, command).await,
        Command::Member(command) => member::run(&session, command).await,
        Command::Plan { files } => declaration::plan(&session, &files).await,
        Command::Apply { against, files } => declaration::apply(&session, against, &files).await,
        Command::Export => declaration::export(&session).await,
        Command::Diff { files } => declaration::diff(&session, &files).await,
        Command::History { after } => inspect::show_history(&session, after).await,
        Command::Status => inspect::show_status(&session).await,
        Command::Dump { host } => inspect::show_dump(&session, host.as_ref()).await,
        Command::Completions { .. } | Command::Man => unreachable!("handled above"),
    }
}
