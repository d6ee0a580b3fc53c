//! Signals that start a planned stop or announce changed settings.

use std::io;

use actix_rt::signal::unix::{SignalKind, signal};
use slog::{Logger, info};

/// Returns a future that completes at the first SIGTERM or SIGINT. Later ones
/// have no effect: a second signal must not cut the requests that the first one
/// lets finish. Fails if a handler cannot be installed.
///
/// SIGHUP announces a changed settings file. Its addresses and bounds are fixed
/// for the lifetime of a process, so the signal is only logged and must not end
/// the process.
pub(crate) fn stop_signal(log: &Logger) -> io::Result<impl Future<Output = ()> + use<>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let log = log.clone();
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => info!(log, ""; "event" => "reload", "changed" => false),
            }
        }
        // The handlers stay installed after the streams are dropped, so a
        // later signal is caught and ignored instead of ending the process.
    })
}
