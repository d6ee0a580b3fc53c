//! Signals that ask for a planned stop.

use actix_rt::signal::unix::{SignalKind, signal};

/// Ends at the first SIGTERM or SIGINT. Later ones change nothing: a second
/// signal must not cut the requests that the first one lets finish.
pub(crate) async fn stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // The handlers stay installed after the streams are dropped, so a later
    // signal is caught and ignored instead of ending the process.
    Ok(())
}
