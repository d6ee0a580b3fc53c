//! Logs: one line of key=value pairs for each event, on standard output.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Lines that wait to be written. A second of a daemon's busiest load is some
/// hundred lines; when nobody reads them, more are dropped, counted, and the
/// count is logged once there is room again. The daemon itself never waits.
const LINES: usize = 2_048;

/// A logger that names the host on each line, and a guard whose drop writes
/// what waits.
///
/// Nothing that is logged may hold an access key: keys are hashed as soon as
/// their header is read, and only ids go on from there.
pub fn logger(host: &str) -> (Logger, AsyncGuard) {
    let drain = Logfmt::new(io::stdout()).no_prefix().print_level(true).build();
    // A reader that has closed its end must not end the daemon.
    let drain = drain.filter_level(Level::Info).ignore_res();
    let lines = Async::new(drain).chan_size(LINES);
    let lines = lines.overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = lines.build_with_guard();
    (Logger::root(drain.ignore_res(), o!("host" => host.to_owned())), guard)
}
