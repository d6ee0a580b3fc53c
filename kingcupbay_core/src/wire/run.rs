//! Requests of an entry to an upstream daemon, and the frames of the answer.
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

/// A request admitted by an entry. It never contains the access key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Identifier of the request on every hop.
    pub request: RequestId,
    /// Organisation whose key admitted the request.
    pub organisation: OrganisationId,
    /// Number of the configuration under which the request was admitted; the
    /// upstream daemon must know at least this one before it answers.
    pub number: Number,
    /// Upstream that must run the request.
    pub upstream: UpstreamId,
    /// Time left until the caller's deadline when the request was sent.
    pub left: Span,
    /// What to run.
    pub work: Work,
}

/// The work requested by a [`Run`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// Generate with an adapter version.
    Generate {
        /// Adapter version to use.
        version: VersionId,
        /// Prompt of the generation.
        prompt: Prompt,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Number of tokens already delivered to the caller.
        offset: u32,
        /// Sampling parameters of the caller, passed on to the engine.
        sampling: BTreeMap<String, serde_json::Value>,
    },
    /// Call a plain service.
    Call {
        /// Route to call.
        route: RouteId,
        /// Path below the route.
        path: String,
        /// Idempotency key of the caller; required if the call runs at most once.
        idempotency: Option<String>,
        /// Body of the call.
        body: Vec<u8>,
    },
}

/// Prompt of a text or chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Prompt {
    /// Text completion.
    Text(String),
    /// Chat completion.
    Chat(Vec<Message>),
}

/// Bytes of text estimated as one token until the engine has counted.
const BYTES_PER_TOKEN: u64 = 4;

impl Prompt {
    /// Estimates the number of tokens of the prompt without the engine.
    pub fn tokens(&self) -> u64 {
        let bytes: usize = match self {
            Prompt::Text(text) => text.len(),
            Prompt::Chat(messages) => messages.iter().map(|message| message.content.len()).sum(),
        };
        (bytes as u64).div_ceil(BYTES_PER_TOKEN)
    }
}

/// One frame of the answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Frame {
    /// Request that the frame belongs to; the receiver drops a frame of another
    /// request and ends the stream.
    pub request: RequestId,
    /// Content of the frame.
    pub event: RunEvent,
}

/// Content of a [`Frame`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RunEvent {
    /// The daemon is alive and has nothing to send.
    Heartbeat,
    /// The request has reached the engine; a later failure can no longer be
    /// reported as not run.
    Started,
    /// A generated token.
    Token {
        /// Position of the token in the answer, from 0.
        offset: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Reason for the end, `stop` or `length`.
        reason: String,
        /// Tokens counted.
        usage: Usage,
    },
    /// A plain service's answer.
    Called {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
        /// Whether this is the recorded outcome of an earlier attempt.
        replayed: bool,
    },
    /// The request failed.
    Failed(Failure),
}
