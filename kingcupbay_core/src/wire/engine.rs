//! The HTTP interface of model engines.
//!
//! `POST /v1/completions` and `POST /v1/chat/completions` answer with
//! server-sent events, `POST /v1/load_lora_adapter` and
//! `POST /v1/unload_lora_adapter` with 200, `POST /v1/cancel` with 200,
//! `GET /load` with a [`LoadReport`], `GET /events?after=N` with [`Events`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// A generation request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Generate {
    /// A loaded adapter version as `adapter@version`, or the base model.
    pub model: String,
    /// Prompt of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream the answer; always true between daemon and engine.
    pub stream: bool,
    /// Identifier of the request, echoed as `id` in every event.
    pub request_id: RequestId,
    /// Number of tokens already delivered; generation resumes after them.
    #[serde(default)]
    pub offset: u32,
    /// Priority; higher values run first.
    #[serde(default)]
    pub priority: i32,
    /// Sampling parameters such as `temperature`.
    #[serde(flatten)]
    pub sampling: BTreeMap<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// One server-sent event of a generation. The stream ends with `[DONE]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier of the request.
    pub id: RequestId,
    /// Adapter and version that generated the event.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token usage; only on the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The only choice of a [`Chunk`]. Engines use this form for chat streams too;
/// the daemon converts it to the chat form for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Text of one token; empty on the last event.
    pub text: String,
    /// Position of the token in the answer, from 0.
    pub offset: u32,
    /// Reason for the end, `stop` or `length`; only on the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Tokens counted for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Request to load an adapter version.
///
/// The engine answers once the load has ended: 200 if the version is loaded, 409
/// with the newer number if `fencing` is outdated, 503 if the load failed, 507 if
/// no slot is free.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadAdapter {
    /// Name of the version, `adapter@version`.
    pub lora_name: String,
    /// Path in the weight store.
    pub lora_path: String,
    /// Fencing number of the daemon that sends the request.
    pub fencing: u64,
}

/// Request to unload an adapter version.
///
/// The answer is 200 also if the version is not loaded, and 409 if `fencing` is
/// outdated, as for [`LoadAdapter`], or while a request still uses the version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnloadAdapter {
    /// Name of the version, `adapter@version`.
    pub lora_name: String,
    /// Fencing number of the daemon that sends the request.
    pub fencing: u64,
}

/// Request to cancel a stream. The answer is 200 also if it is not running.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// Identifier of the stream's request.
    pub request_id: RequestId,
}

/// An engine's report of its load, which lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Streams being generated.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Loaded adapter versions, sorted.
    pub loaded: Vec<String>,
}

/// Prefix cache and residency events after a sequence number. Events may be
/// missing; gaps in the sequence numbers reveal this.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Events {
    /// Events in the order of their sequence numbers.
    pub events: Vec<Event>,
}

/// An event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within the engine's incarnation.
    pub seq: u64,
    /// Kind of the event.
    pub kind: EventKind,
    /// Adapter version concerned.
    pub model: String,
}

/// Kinds of [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The adapter version is loaded.
    Loaded,
    /// The adapter version is no longer loaded.
    Unloaded,
}
