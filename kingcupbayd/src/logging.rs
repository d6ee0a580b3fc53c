//! Logs: one line of key=value pairs for each event, on standard output.

use std::{io, sync::Mutex};

use slog::{Drain, Level, Logger, o};
use slog_logfmt::Logfmt;

/// A logger that names the host on each line.
///
/// Nothing that is logged may hold an access key: keys are hashed as soon as
/// their header is read, and only ids go on from there.
pub fn logger(host: &str) -> Logger {
    let drain = Logfmt::new(io::stdout()).no_prefix().print_level(true).build();
    let drain = Mutex::new(drain).filter_level(Level::Info).map(slog::Fuse);
    Logger::root(drain, o!("host" => host.to_owned()))
}
