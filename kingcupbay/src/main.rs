//! Operators' command-line tool of kingcupbay.
//!
//! [`args`] is the command line, one module stands for each group of commands,
//! [`client`] speaks to a daemon's operators' port, [`error`] decides the exit
//! code. A command returns the text to print; nothing else prints.

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
    let result = actix_rt::System::new().block_on(run(args)).and_then(print);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", if json { error.json() } else { format!("kingcupbay: {error}") });
            ExitCode::from(error.code())
        }
    }
}

fn print(mut text: String) -> Result<(), Error> {
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    // A reader such as `head` may have gone; that is no panic.
    std::io::stdout().write_all(text.as_bytes()).map_err(Error::Print)
}

async fn run(args: Args) -> Result<String, Error> {
    use args::Command;
    let command = match args.command {
        Command::Completions { shell } => return Ok(generate::completions(shell)),
        Command::Man => return generate::man(),
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
        Command::History { after } => inspect::history(&session, after).await,
        Command::Status => inspect::status(&session).await,
        Command::Dump { host } => inspect::dump(&session, host.as_ref()).await,
        Command::Completions { .. } | Command::Man => unreachable!("answered above"),
    }
}
