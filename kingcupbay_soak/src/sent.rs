//! What callers sent and what they got.

use std::time::Instant;

use actix_http::Method;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An idempotent request of a plain service.
    Seats,
    /// A request of a plain service that runs at most once.
    Book,
    /// A stream that may go on at another engine.
    Tour,
    /// A stream that runs at most once.
    Note,
    /// An idempotent request with the guests' key of one configuration.
    Guest,
}

impl Kind {
    /// The kinds of ordinary callers.
    pub const ORDINARY: [Kind; 4] = [Kind::Seats, Kind::Book, Kind::Tour, Kind::Note];

    /// What its paths begin with.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Seats | Kind::Guest => "/seats/",
            Kind::Book => "/book/",
            Kind::Tour => "/tour/",
            Kind::Note => "/note/",
        }
    }

    /// Its method.
    pub fn method(self) -> Method {
        match self {
            Kind::Seats | Kind::Guest => Method::GET,
            Kind::Book | Kind::Tour | Kind::Note => Method::POST,
        }
    }

    /// Whether its answer is a series of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Tour | Kind::Note)
    }

    /// Whether it may run only once.
    pub fn once(self) -> bool {
        matches!(self, Kind::Book | Kind::Note)
    }
}

/// An answer whose head and body came whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// The upstream's proof.
    pub stamp: Option<String>,
    /// The attempt that it names.
    pub attempt: Option<String>,
    /// Whether it says when to come back.
    pub returns: bool,
    /// Its body.
    pub body: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Answered(Answer),
    /// Its connection ended before the answer did.
    Broken(String),
    /// No connection came about.
    Unsent,
    /// The caller left.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its identity.
    pub attempt: String,
    /// Its kind.
    pub kind: Kind,
    /// The organisation whose key it carries.
    pub organisation: &'static str,
    /// The key.
    pub key: String,
    /// The entry that it went to.
    pub entry: usize,
    /// How often that entry had been started by then.
    pub incarnation: u32,
    /// The round of faults that it was sent in.
    pub round: u32,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
    /// The adapter that it names.
    pub adapter: Option<String>,
    /// Tokens that count against its organisation's limit.
    pub tokens: u64,
    /// When it was sent.
    pub at: Instant,
    /// Number of the newest configuration when it ended.
    pub newest: u64,
    /// `None` while it runs.
    pub end: Option<End>,
}

impl Sent {
    /// The status of its answer.
    pub fn status(&self) -> Option<u16> {
        match &self.end {
            Some(End::Answered(answer)) => Some(answer.status),
            _ => None,
        }
    }
}
