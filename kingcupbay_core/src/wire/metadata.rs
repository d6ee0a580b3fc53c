//! Metadata of requests and answers, independent of the header names.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::part::PartId;
use crate::{config::model::KeyHash, deployment::model::AdapterName, time::Span};

/// Size of a generation in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of generated tokens.
    pub output: u64,
}

impl Size {
    /// Returns the sum of both: the tokens counted by a rate limit and the tokens
    /// that memory is reserved for.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// Metadata in the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the caller's attempt.
    pub attempt: Option<String>,
    /// How long the caller waits, counted from the arrival of the request.
    pub deadline: Option<Span>,
    /// Hash of the access key; the secret itself is not passed on.
    pub key: Option<KeyHash>,
    /// Name of the adapter or base model.
    pub model: Option<AdapterName>,
    /// Size of the requested generation.
    pub size: Option<Size>,
    /// Last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that it takes up.
    pub resumes: Option<String>,
    /// Parts of the prompt that other requests may share, in their order: all but the last.
    pub parts: Vec<PartId>,
    /// The last part of the prompt, which belongs to the request itself or to its session.
    pub own_part: Option<PartId>,
}

/// Metadata sent to an upstream in addition to the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequestMetadata<'a> {
    /// Remaining time until the answer is useless.
    pub remaining: Span,
    /// Id of the only upstream that may run the request.
    pub instance: &'a str,
    /// Organisation that the request belongs to.
    pub organisation: Option<&'a str>,
    /// The only version of the adapter that may run it.
    pub version: Option<u32>,
    /// Priority from 0, the most urgent, to 9.
    pub priority: Option<u8>,
    /// Event after which the stream resumes.
    pub last_event: Option<u64>,
    /// The engine that has copied the run's memory, and the handle of the copy.
    pub copy: Option<(SocketAddr, &'a str)>,
}

/// Metadata in the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Identifier of the attempt that is answered.
    pub attempt: Option<String>,
    /// Whether the answer bears the signature of an upstream.
    pub signed: bool,
    /// Whether the request did not run and will not run.
    pub not_run: bool,
    /// Load of the upstream.
    pub load: Option<Load>,
    /// Id of the upstream that answered, if the answer names it.
    pub instance: Option<String>,
    /// Whether the body is encoded, which upstreams never do.
    pub encoded: bool,
    /// Idle timeout of the connection.
    pub idle: Option<Span>,
    /// Request rate that the upstream takes.
    pub limit: AnnouncedLimit,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time for which the upstream, which has turned the request away, wants no other from
    /// this daemon.
    pub rest: Option<Span>,
}

impl AnswerMetadata {
    /// Returns whether the head shows that an upstream made the answer, and that the body is what
    /// it wrote. Only then may a success be passed on.
    pub fn is_proved(&self) -> bool {
        self.signed && !self.encoded
    }
}

/// Request rate that an answer announces: what its upstream takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// The upstream takes any rate.
    #[default]
    Unlimited,
    /// The value is not a rate, and changes nothing.
    Invalid,
    /// Requests per second. Invariant: finite and not negative.
    PerSecond(f64),
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting in the upstream.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its machine at the moment, in percent of the usual time.
    pub work_percent: Option<u32>,
}

impl Load {
    /// Returns how long work takes, as a multiple of the usual time.
    pub fn work_factor(&self) -> f64 {
        f64::from(self.work_percent.unwrap_or(USUAL_WORK_PERCENT)) / f64::from(USUAL_WORK_PERCENT)
    }
}

/// [`Load::work_percent`] of a machine on which work takes the usual time.
pub const USUAL_WORK_PERCENT: u32 = 100;
