//! Logs on standard output, one line of key=value pairs for each event.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Lines that may wait to be written. A daemon under its highest load writes a
/// few hundred lines in a second. If standard output is not read, further lines
/// are dropped, and their count is logged once there is room again, so the
/// daemon never waits.
const MAX_QUEUED_LINES: usize = 2_048;

/// Returns a logger that names the host on each line, and a guard that writes
/// the queued lines when it is dropped.
///
/// No log line may contain an access key: keys are hashed as soon as their
/// header is read, and only ids are passed on.
pub fn logger(host: &str) -> (Logger, AsyncGuard) {
    let drain = Logfmt::new(io::stdout()).no_prefix().print_level(true).build();
    // The daemon must keep running when the reader of its output is gone.
    let drain = drain.filter_level(Level::Info).ignore_res();
    let lines = Async::new(drain).chan_size(MAX_QUEUED_LINES);
    let lines = lines.overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = lines.build_with_guard();
    (Logger::root(drain.ignore_res(), o!("host" => host.to_owned())), guard)
}
