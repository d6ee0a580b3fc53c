//! Waiting for a state to change, so that tests need not sleep.

use std::future::pending;

use tokio::sync::watch;

/// Tells waiters that something may have changed.
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

/// Waits until `holds`; forever when its state is gone.
pub(crate) async fn until(mut changes: watch::Receiver<()>, holds: impl Fn() -> bool) {
    while !holds() {
        if changes.changed().await.is_err() {
            return pending().await;
        }
    }
}
