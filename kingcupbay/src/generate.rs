//! Shell completions and the man page, made from the command line itself.

use clap::{Command, CommandFactory as _};
use clap_complete::Shell;
use clap_mangen::Man;

use crate::{args::Args, error::Error};

pub(crate) fn completions(shell: Shell) -> String {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "kingcupbay", &mut text);
    String::from_utf8(text).expect("completions are text")
}

/// One page: the tool as a whole, then every command with its options.
pub(crate) fn man() -> Result<String, Error> {
    let mut command = Args::command();
    command.build();
    let mut page = Vec::new();
    Man::new(command.clone()).render(&mut page).map_err(Error::Print)?;
    let head = String::from_utf8(page).expect("the page is text");
    let mut page = head.replace(".SH EXTRA", ".SH \"ENVIRONMENT AND EXIT CODES\"").into_bytes();
    for command in leaves(&command) {
        section(&command, &mut page).map_err(Error::Print)?;
    }
    Ok(String::from_utf8(page).expect("the page is text"))
}

/// The commands that have no commands below them, but `help`.
fn leaves(command: &Command) -> Vec<Command> {
    let mut found = Vec::new();
    for below in command.get_subcommands().filter(|below| below.get_name() != "help") {
        match below.has_subcommands() {
            true => found.append(&mut leaves(below)),
            false => found.push(below.clone()),
        }
    }
    found
}

/// A command's synopsis and options under a heading of its own.
fn section(command: &Command, page: &mut Vec<u8>) -> std::io::Result<()> {
    let name = command.get_bin_name().unwrap_or_else(|| command.get_name()).to_uppercase();
    let about = command.get_about().map(ToString::to_string).unwrap_or_default();
    let mut part = Vec::new();
    let man = Man::new(command.clone());
    man.render_synopsis_section(&mut part)?;
    man.render_options_section(&mut part)?;
    let part = String::from_utf8(part).expect("the page is text");
    let part = part.replace(".SH SYNOPSIS", &format!(".SH \"{name}\"\n{about}\n.PP"));
    page.extend_from_slice(part.replace(".SH OPTIONS", ".SS Options").as_bytes());
    Ok(())
}
