//! Waiting for a change of state, so that tests need not sleep.

use std::future::pending;

use tokio::sync::watch;

/// Notifies waiters that something may have changed.
#[derive(Default)]
pub(crate) struct Changes {
    sender: watch::Sender<()>,
}

impl Changes {
    pub(crate) fn notify(&self) {
        self.sender.send_replace(());
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.sender.subscribe()
    }
}

/// Waits until `holds` returns true; waits forever when the sender is dropped.
pub(crate) async fn wait_until(mut changes: watch::Receiver<()>, holds: impl Fn() -> bool) {
    while !holds() {
        if changes.changed().await.is_err() {
            return pending().await;
        }
    }
}
