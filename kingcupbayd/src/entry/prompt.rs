//! Parses the body of a generation request.

use std::collections::BTreeMap;

use kingcupbay_core::wire::{
    engine::Message,
    error::{Code, Failure},
    run::Prompt,
};
use serde::Deserialize;
use serde_json::Value;

/// Format of a generation request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Fields that are passed to the engine unchanged.
const SAMPLING_FIELDS: &[&str] = &[
    "frequency_penalty",
    "logit_bias",
    "presence_penalty",
    "seed",
    "stop",
    "temperature",
    "top_k",
    "top_p",
];

/// Fields that change neither the format nor the content of the answer.
const IGNORED_FIELDS: &[&str] = &["metadata", "service_tier", "store", "stream_options", "user"];

/// A body that has been checked.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRequest {
    /// Adapter and version as the caller named them.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: Prompt,
    /// Most tokens to generate, if the caller set a limit.
    pub(crate) max_tokens: Option<u32>,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// Sampling fields for the engine.
    pub(crate) sampling: BTreeMap<String, Value>,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

/// Parses and checks a body. Fails if it is malformed, or if it has a field that
/// is not supported and would change the answer: ignoring such a field would give
/// the caller another answer than requested.
pub(crate) fn parse(shape: Shape, body: &[u8]) -> Result<GenerationRequest, Failure> {
    let body: Body = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is malformed: {error}")))?;
    let prompt = match (shape, body.messages, body.prompt) {
        (Shape::Chat, Some(messages), None) if !messages.is_empty() => Prompt::Chat(messages),
        (Shape::Chat, ..) => return Err(bad_request("field messages: one message or more".into())),
        (Shape::Text, None, Some(prompt)) => Prompt::Text(prompt),
        (Shape::Text, ..) => return Err(bad_request("field prompt: one text".into())),
    };
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    if max_tokens == Some(0) {
        return Err(bad_request("field max_tokens: 1 or more".into()));
    }
    let sampling = sampling_fields(body.rest)?;
    let stream = body.stream.unwrap_or(false);
    Ok(GenerationRequest { model: body.model, prompt, max_tokens, stream, sampling })
}

/// Returns the sampling fields; fails if another field is not supported.
fn sampling_fields(rest: BTreeMap<String, Value>) -> Result<BTreeMap<String, Value>, Failure> {
    let mut sampling = BTreeMap::new();
    for (name, value) in rest {
        if value.is_null() || IGNORED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        if name == "n" && value == 1 {
            continue;
        }
        if !SAMPLING_FIELDS.contains(&name.as_str()) {
            return Err(bad_request(format!("field {name}: not supported")));
        }
        sampling.insert(name, value);
    }
    Ok(sampling)
}

fn bad_request(message: String) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}
