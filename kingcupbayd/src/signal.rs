//! Signals that ask for a planned stop, or tell of changed settings.

use std::io;

use actix_rt::signal::unix::{SignalKind, signal};
use slog::{Logger, info};

/// Ends at the first SIGTERM or SIGINT. Later ones change nothing: a second
/// signal must not cut the requests that the first one lets finish.
///
/// SIGHUP tells that the settings file has changed. What it holds, addresses
/// and bounds, is fixed for the life of a process, so the signal is logged and
/// must not end it.
pub(crate) fn stop(log: &Logger) -> io::Result<impl Future<Output = ()> + use<>> {
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
