//! Shell completions and the man page, generated from the definition of the
//! command line.

use clap::{Command, CommandFactory as _};
use clap_complete::Shell;
use clap_mangen::Man;

use crate::{args::Args, error::Error};

/// Generates the completions of `shell`.
pub(crate) fn render_completions(shell: Shell) -> String {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "kingcupbay", &mut text);
    String::from_utf8(text).expect("completions are text")
}

/// Generates the man page: the tool as a whole, then every command with its
/// options.
pub(crate) fn render_man_page() -> Result<String, Error> {
    let mut command = Args::command();
    command.build();
    let mut page = Vec::new();
    Man::new(command.clone()).render(&mut page).map_err(Error::Print)?;
    let head = String::from_utf8(page).expect("the page is text");
    let mut page = head.replace(".SH EXTRA", ".SH \"ENVIRONMENT AND EXIT CODES\"").into_bytes();
    for command in leaf_commands(&command) {
        write_section(&command, &mut page).map_err(Error::Print)?;
    }
    Ok(String::from_utf8(page).expect("the page is text"))
}

/// Returns the commands without sub-commands, except `help`.
fn leaf_commands(command: &Command) -> Vec<Command> {
    let mut found = Vec::new();
    for child in command.get_subcommands().filter(|child| child.get_name() != "help") {
        match child.has_subcommands() {
            true => found.append(&mut leaf_commands(child)),
            false => found.push(child.clone()),
        }
    }
    found
}

/// Appends a section with the synopsis and options of a command.
fn write_section(command: &Command, page: &mut Vec<u8>) -> std::io::Result<()> {
    let name = command.get_bin_name().unwrap_or_else(|| command.get_name()).to_uppercase();
    let about = command.get_about().map(ToString::to_string).unwrap_or_default();
    let mut text = Vec::new();
    let man = Man::new(command.clone());
    man.render_synopsis_section(&mut text)?;
    man.render_options_section(&mut text)?;
    let text = String::from_utf8(text).expect("the page is text");
    let text = text.replace(".SH SYNOPSIS", &format!(".SH \"{name}\"\n{about}\n.PP"));
    page.extend_from_slice(text.replace(".SH OPTIONS", ".SS Options").as_bytes());
    Ok(())
}
