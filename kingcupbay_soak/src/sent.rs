//! Requests of callers and how they ended.

use std::time::{Duration, Instant};

use actix_http::Method;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An idempotent request to a plain service.
    Seats,
    /// A request to a plain service that runs at most once.
    Book,
    /// A stream that may be resumed at another engine.
    Tour,
    /// A stream that runs at most once.
    Note,
    /// An idempotent request with the guest key of one configuration.
    Guest,
}

impl Kind {
    /// Kinds that ordinary callers send.
    pub const ORDINARY: [Kind; 4] = [Kind::Seats, Kind::Book, Kind::Tour, Kind::Note];

    /// Prefix of its paths.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Seats | Kind::Guest => "/seats/",
            Kind::Book => "/book/",
            Kind::Tour => "/tour/",
            Kind::Note => "/note/",
        }
    }

    /// HTTP method of the request.
    pub fn method(self) -> Method {
        match self {
            Kind::Seats | Kind::Guest => Method::GET,
            Kind::Book | Kind::Tour | Kind::Note => Method::POST,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Tour | Kind::Note)
    }

    /// Whether the request may run at most once.
    pub fn once(self) -> bool {
        matches!(self, Kind::Book | Kind::Note)
    }
}

/// An answer whose head and body arrived completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The upstream's signature.
    pub stamp: Option<String>,
    /// Id of the request that the answer names.
    pub attempt: Option<String>,
    /// Whether it carries a `retry-after` header.
    pub returns: bool,
    /// Whether its head has a line of a spoilt answer.
    pub spoilt: bool,
    /// The whole body.
    pub body: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer arrived.
    Answered(Answer),
    /// The connection ended before the answer was complete.
    Broken(String),
    /// No connection could be opened.
    Unsent,
    /// The caller gave up.
    Left,
}

/// A stream that broke off, as its caller takes it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// The request that brought its first event.
    pub first: String,
    /// Number of the last event that the caller has.
    pub last: u64,
}

/// A request of a caller and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Unique id of the request.
    pub attempt: String,
    /// Kind of request.
    pub kind: Kind,
    /// The organisation whose key it carries.
    pub organisation: &'static str,
    /// The access key.
    pub key: String,
    /// Index of the entry that it was sent to.
    pub entry: usize,
    /// Number of starts of that entry when the request was sent.
    pub incarnation: u32,
    /// Round in which it was sent; 0 between rounds.
    pub round: u32,
    /// Path with the query.
    pub path: String,
    /// Request body.
    pub body: String,
    /// The adapter that it names.
    pub adapter: Option<String>,
    /// Parts of its prompt, as `ID:TOKENS` pairs.
    pub prompt: Option<String>,
    /// The stream that it takes up.
    pub takes_up: Option<TakenUp>,
    /// Number of the last whole event that arrived, if a stream broke off.
    pub received: u64,
    /// Tokens that count against its organisation's limit.
    pub tokens: u64,
    /// When it was sent.
    pub at: Instant,
    /// Time from its sending to its end.
    pub lasted: Duration,
    /// Number of the newest configuration when it ended.
    pub newest: u64,
    /// `None` while it runs.
    pub end: Option<End>,
}

impl Sent {
    /// Whether it is a stream that ended early, after an event.
    pub fn is_broken_stream(&self) -> bool {
        matches!(self.end, Some(End::Broken(_))) && self.received > 0
    }

    /// The request that brought the first event of its stream.
    pub fn first_attempt(&self) -> &str {
        self.takes_up.as_ref().map_or(&self.attempt, |stream| &stream.first)
    }

    /// Status of the answer, if one arrived completely.
    pub fn status(&self) -> Option<u16> {
        match &self.end {
            Some(End::Answered(answer)) => Some(answer.status),
            _ => None,
        }
    }
}
