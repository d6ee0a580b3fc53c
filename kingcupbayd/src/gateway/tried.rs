//! What has been tried for a request, and whether it may be sent once more.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use crate::gateway::{RepeatTicket, choice::PERMIT_WAIT_MIN, job::Job};

/// The attempts at running a request so far.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    /// Engines that the request was sent to. They are not tried again.
    pub(crate) engines: RefCell<Vec<SocketAddr>>,
    /// Number of engines that the request was sent to.
    pub(crate) sends: Cell<u32>,
    /// Whether an engine may have run the request.
    pub(crate) may_have_run: Cell<bool>,
    /// Why no further engine was asked.
    pub(crate) end: Cell<SearchEnd>,
}

impl Tried {
    pub(super) fn on_send(&self, engine: SocketAddr) {
        self.engines.borrow_mut().push(engine);
        self.sends.set(self.sends.get() + 1);
    }

    /// Records that the request was not sent after all.
    pub(super) fn on_unsent(&self, ticket: Option<RepeatTicket>) {
        self.sends.set(self.sends.get() - 1);
        if let Some(ticket) = ticket {
            ticket.on_unsent();
        }
    }
}

/// Why a search for an engine ended without one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SearchEnd {
    /// As many engines as may be asked refused, or failed.
    #[default]
    Refused,
    /// No engine is left.
    NoEngine,
    /// The time for permits is over.
    Waited,
    /// The time of the request is over.
    NoTime,
    /// The route allows no further attempt.
    Attempts,
    /// The service has no repeat left.
    Budget,
}

impl SearchEnd {
    /// Returns the reason as written to logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SearchEnd::Refused => "refused",
            SearchEnd::NoEngine => "no_engine",
            SearchEnd::Waited => "waited",
            SearchEnd::NoTime => "no_time",
            SearchEnd::Attempts => "attempts",
            SearchEnd::Budget => "budget",
        }
    }
}

/// Returns the ticket with which the request may be sent to one more engine, if it needs one, or
/// why it may not be sent.
pub(super) fn may_send(
    job: &Job,
    service: &str,
    tried: &Tried,
    is_speculative: bool,
) -> Result<Option<RepeatTicket>, SearchEnd> {
    let sends = tried.sends.get();
    if job.remaining() <= PERMIT_WAIT_MIN {
        Err(SearchEnd::NoTime)
    } else if sends == 0 {
        Ok(None)
    } else if sends >= job.route.attempts {
        Err(SearchEnd::Attempts)
    } else {
        let ticket = job.gateway.try_repeat(service, is_speculative);
        ticket.map(Some).ok_or(SearchEnd::Budget)
    }
}
