//! Bounds on the connections that callers keep open at a daemon.
//!
//! The balancer may hand most new connections of a zone to one entry. Beyond a number of open
//! connections, each new one makes the oldest close as soon as it carries no request, and
//! beyond a larger number new ones are closed at once, so that descriptors are left for the
//! connections to upstreams.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use rustix::process::{Resource, getrlimit};
use tokio::sync::oneshot;

/// Largest number of descriptors kept for files, listeners and idle connections to others.
const RESERVED_MAX: usize = 512;

/// Connections that are asked to close when no descriptor is left.
const SHED_AT_ONCE: usize = 64;

/// Numbers of open connections at which a server begins to close some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Number from which the oldest close.
    crowded: usize,
    /// Number from which no more are served. Invariant: at least `crowded`.
    max: usize,
}

impl ConnectionLimits {
    /// Returns the limits of a process that may open `descriptors`, or as many as the system
    /// allows if those are fewer.
    pub(crate) fn new(descriptors: usize) -> ConnectionLimits {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|count| usize::try_from(count).ok());
        let count = allowed.map_or(descriptors, |allowed| descriptors.min(allowed));
        // Each request needs a connection to its upstream too.
        let max = (count - RESERVED_MAX.min(count / 4)) / 2;
        ConnectionLimits { crowded: max - max / 4, max }
    }

    /// Returns limits that are never reached.
    pub(crate) fn unlimited() -> ConnectionLimits {
        ConnectionLimits { crowded: usize::MAX, max: usize::MAX }
    }

    /// Returns whether one more connection than `open` ones is served.
    pub(crate) fn admits(self, open: usize) -> bool {
        open < self.max
    }

    /// Returns whether one of `open` connections should close.
    pub(crate) fn is_crowded(self, open: usize) -> bool {
        open >= self.crowded
    }
}

/// The open connections of a server, oldest first.
#[derive(Clone, Default)]
pub(crate) struct Crowd {
    next: Rc<Cell<u64>>,
    waiting: Rc<RefCell<BTreeMap<u64, oneshot::Sender<()>>>>,
}

/// Removes a connection from the crowd when it ends.
struct Member {
    crowd: Crowd,
    number: u64,
}

impl Crowd {
    /// Waits until the connection that this is called for should close.
    pub(crate) async fn wait_until_shed(self) {
        let number = self.next.replace(self.next.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let member = Member { crowd: self, number };
        // The sender is dropped only after it has sent.
        let _ = receiver.await;
        drop(member);
    }

    /// Makes the oldest connection close once it carries no request.
    pub(crate) fn shed_oldest(&self) {
        if let Some((_, sender)) = self.waiting.borrow_mut().pop_first() {
            let _ = sender.send(());
        }
    }

    /// Makes several of the oldest connections close.
    pub(crate) fn shed_some(&self) {
        (0..SHED_AT_ONCE).for_each(|_| self.shed_oldest());
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.crowd.waiting.borrow_mut().remove(&self.number);
    }
}
