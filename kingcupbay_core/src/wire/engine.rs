//! The interface of model engines.
//!
//! `POST /v1/completions` and `POST /v1/chat/completions` answer with
//! server-sent events, `POST /v1/load_lora_adapter` and
//! `POST /v1/unload_lora_adapter` with 200, `POST /v1/cancel` with 200,
//! `GET /load` with a [`LoadReport`], `GET /events?after=N` with [`Events`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// A generation order. `model` names a loaded adapter as `adapter@version`,
/// or the base model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Generate {
    /// Adapter and version, or base model.
    pub model: String,
    /// The prompt of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// The messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Always true on this hop.
    pub stream: bool,
    /// Identity of the request, echoed as `id` in every event.
    pub request_id: RequestId,
    /// Tokens already delivered; generation resumes after them.
    #[serde(default)]
    pub offset: u32,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i32,
    /// Sampling fields such as `temperature`.
    #[serde(flatten)]
    pub sampling: BTreeMap<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One server-sent event of a generation. The stream ends with `[DONE]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Echo of the request id.
    pub id: RequestId,
    /// The adapter and version that generated it.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Only on the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of a [`Chunk`]. Chat streams carry the same shape here:
/// the daemon makes the chat shape towards its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text of one token; empty on the last event.
    pub text: String,
    /// Position of this token in the answer, from 0.
    pub offset: u32,
    /// `stop` or `length` on the last event.
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
    /// Both.
    pub total_tokens: u32,
}

/// Order to load an adapter version. The answer comes when it is loaded:
/// 200, 409 with the newer number when `fencing` is old, 503 when the load
/// failed, 507 when no slot is free.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadAdapter {
    /// `adapter@version`.
    pub lora_name: String,
    /// Where the weight store keeps it.
    pub lora_path: String,
    /// Fencing number of the daemon that orders.
    pub fencing: u64,
}

/// Order to unload an adapter version; 200 also when it is not loaded,
/// 409 as for [`LoadAdapter`] or while a request still uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnloadAdapter {
    /// `adapter@version`.
    pub lora_name: String,
    /// Fencing number of the daemon that orders.
    pub fencing: u64,
}

/// Order to cancel a stream; 200 also when it is not running.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// The stream's request.
    pub request_id: RequestId,
}

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Streams being generated.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Adapter slots.
    pub slots: u32,
    /// Loaded adapter versions, sorted.
    pub loaded: Vec<String>,
}

/// Prefix cache and residency events after a sequence number; some are
/// missing, as the numbers show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Events {
    /// The events.
    pub events: Vec<Event>,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within the engine's incarnation.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The adapter version concerned.
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
