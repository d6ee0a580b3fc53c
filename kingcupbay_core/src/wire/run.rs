//! Order of an entry to an upstream daemon, and the frames that answer it.
//!
//! `POST /run` carries a [`Run`]; the body of the answer is a sequence of
//! length-delimited MessagePack [`Frame`]s.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Number, OrganisationId, RequestId, RouteId, UpstreamId, VersionId},
    time::Span,
    wire::{
        engine::{Message, Usage},
        error::Failure,
    },
};

/// One request, as the entry admitted it. It never carries the key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Identity on every hop.
    pub request: RequestId,
    /// The organisation whose key admitted it.
    pub organisation: OrganisationId,
    /// The configuration it was admitted under; the upstream daemon must
    /// know at least this one before it answers.
    pub number: Number,
    /// The upstream that is to run it.
    pub upstream: UpstreamId,
    /// Time left until the caller's deadline when this was sent.
    pub left: Span,
    /// What to run.
    pub work: Work,
}

/// What a [`Run`] asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// Generate with an adapter version.
    Generate {
        /// The adapter version.
        version: VersionId,
        /// The prompt.
        prompt: Prompt,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Tokens already delivered to the caller.
        offset: u32,
        /// Sampling fields of the caller, passed on to the engine.
        sampling: BTreeMap<String, serde_json::Value>,
    },
    /// Call a plain service.
    Call {
        /// The route.
        route: RouteId,
        /// Path below the route.
        path: String,
        /// Idempotency key of the caller; required when once-only.
        idempotency: Option<String>,
        /// The body.
        body: Vec<u8>,
    },
}

/// The two prompt shapes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Prompt {
    /// Text completion.
    Text(String),
    /// Chat completion.
    Chat(Vec<Message>),
}

/// Bytes of text that count as one token before the engine has counted.
const TOKEN_BYTES: u64 = 4;

impl Prompt {
    /// Tokens of the prompt, as far as they can be told without the engine.
    pub fn tokens(&self) -> u64 {
        let bytes: usize = match self {
            Prompt::Text(text) => text.len(),
            Prompt::Chat(messages) => messages.iter().map(|message| message.content.len()).sum(),
        };
        (bytes as u64).div_ceil(TOKEN_BYTES)
    }
}

/// One frame of the answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Frame {
    /// The request it belongs to; a frame of another request is dropped and
    /// ends the stream.
    pub request: RequestId,
    /// The content.
    pub event: RunEvent,
}

/// Content of a [`Frame`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RunEvent {
    /// Still alive; nothing new.
    Heartbeat,
    /// The order reached the engine: from here on it is not "not run".
    Started,
    /// One token.
    Token {
        /// Position in the answer, from 0.
        offset: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// `stop` or `length`.
        reason: String,
        /// Tokens counted.
        usage: Usage,
    },
    /// A plain service's answer.
    Called {
        /// Its HTTP status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
        /// Whether this is the recorded outcome of an earlier attempt.
        replayed: bool,
    },
    /// The request failed.
    Failed(Failure),
}
