//! What a caller asks for, what an upstream is given, and what it says back,
//! whatever the headers are called.

use serde::{Deserialize, Serialize};

use crate::{config::model::KeyHash, deployment::model::AdapterName, time::Span};

/// Tokens of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens generated.
    pub output: u64,
}

impl Size {
    /// All of them: what a rate limit counts, and what memory is kept for.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Identity of the caller's attempt.
    pub attempt: Option<String>,
    /// How long the caller waits, from the request's arrival.
    pub deadline: Option<Span>,
    /// The access key, hashed; the secret goes no further.
    pub key: Option<KeyHash>,
    /// The adapter or base model.
    pub model: Option<AdapterName>,
    /// Its tokens.
    pub size: Option<Size>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// What an upstream is given besides the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Given<'a> {
    /// How long an answer is of use.
    pub left: Span,
    /// The only upstream that may run the request.
    pub instance: &'a str,
    /// Whose request it is.
    pub organisation: Option<&'a str>,
    /// The only version of the adapter that may run it.
    pub version: Option<u32>,
    /// Rank from 0, first, to 9.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Said {
    /// Whose answer it is.
    pub attempt: Option<String>,
    /// It bears the proof that an upstream made it.
    pub stamped: bool,
    /// The request did not run and will not.
    pub not_run: bool,
    /// How busy the upstream is.
    pub load: Option<Load>,
    /// The upstream that answered, where it names itself.
    pub instance: Option<String>,
    /// The body is encoded, which no upstream does.
    pub encoded: bool,
    /// How long the connection may stay idle.
    pub idle: Option<Span>,
}

/// How busy an upstream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}
