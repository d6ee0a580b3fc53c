//! Planned stop: the daemon's phase and the count of its open connections.

use std::{cell::Cell, rc::Rc};

use tokio::sync::watch;

/// Phases of a daemon's lifetime, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Requests are served.
    Serving,
    /// Readiness fails, so that the balancer sends requests elsewhere; those
    /// that still arrive are served.
    Leaving,
    /// No new connection or request is accepted; running requests finish.
    Closing,
    /// The time for running requests is over. Those without an answer yet get one that says so.
    Ending,
}

/// Drain state, shared by all servers of the daemon.
#[derive(Clone)]
pub(crate) struct Drain {
    phase: Rc<watch::Sender<Phase>>,
    connections: Rc<watch::Sender<usize>>,
    /// Requests that were refused without being read.
    refused: Rc<Cell<usize>>,
}

/// An open connection, counted until it is dropped.
pub(crate) struct Connection {
    connections: Rc<watch::Sender<usize>>,
}

impl Drain {
    /// Creates the state of a daemon that serves.
    pub(crate) fn new() -> Drain {
        Drain {
            phase: Rc::new(watch::Sender::new(Phase::Serving)),
            connections: Rc::new(watch::Sender::new(0)),
            refused: Rc::default(),
        }
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Returns how many requests were refused without being read.
    pub(crate) fn refused(&self) -> usize {
        self.refused.get()
    }

    /// Counts a request that was refused without being read.
    pub(crate) fn on_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Advances to `phase`. The phase never goes back, so a second signal has no
    /// effect.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let ahead = phase > *current;
            *current = phase.max(*current);
            ahead
        });
    }

    /// Waits for [`Phase::Closing`].
    pub(crate) async fn wait_until_closing(self) {
        self.wait_until(Phase::Closing).await;
    }

    /// Waits for `phase` or a later one.
    pub(crate) async fn wait_until(&self, phase: Phase) {
        let mut current = self.phase.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = current.wait_for(|&current| current >= phase).await;
    }

    /// Waits until no connection is open.
    pub(crate) async fn wait_until_idle(&self) {
        let mut count = self.connections.subscribe();
        let _ = count.wait_for(|&count| count == 0).await;
    }

    /// Counts a connection as open until the returned value is dropped.
    pub(crate) fn track_connection(&self) -> Connection {
        self.connections.send_modify(|count| *count += 1);
        Connection { connections: self.connections.clone() }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.send_modify(|count| *count -= 1);
    }
}
