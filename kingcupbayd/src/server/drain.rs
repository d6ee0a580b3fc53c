//! A planned stop: what still runs, and from when on nothing new begins.

use std::rc::Rc;

use tokio::sync::watch;

/// Phases of a daemon's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// Readiness fails, so that the balancer looks elsewhere; requests that
    /// still come are served.
    Leaving,
    /// Nothing new begins; what runs finishes.
    Closing,
}

/// Shared by all servers of the daemon.
#[derive(Clone)]
pub(crate) struct Drain {
    phase: Rc<watch::Sender<Phase>>,
    open: Rc<watch::Sender<usize>>,
}

/// An open connection; its drop tells that it has ended.
pub(crate) struct Connection {
    open: Rc<watch::Sender<usize>>,
}

impl Drain {
    /// A daemon that serves.
    pub(crate) fn new() -> Drain {
        Drain {
            phase: Rc::new(watch::Sender::new(Phase::Serving)),
            open: Rc::new(watch::Sender::new(0)),
        }
    }

    /// The present phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// How many connections are open.
    pub(crate) fn open(&self) -> usize {
        *self.open.borrow()
    }

    /// Goes on to `phase`; phases never go back, so a second signal is
    /// harmless.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let ahead = phase > *current;
            *current = phase.max(*current);
            ahead
        });
    }

    /// Ends when nothing new may begin.
    pub(crate) async fn closed(self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = phase.wait_for(|&phase| phase == Phase::Closing).await;
    }

    /// Ends when no connection is open.
    pub(crate) async fn idle(&self) {
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|&open| open == 0).await;
    }

    /// Counts a connection in.
    pub(crate) fn connection(&self) -> Connection {
        self.open.send_modify(|open| *open += 1);
        Connection { open: self.open.clone() }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}
