//! What the body of a request asks to generate.

use std::collections::BTreeMap;

use kingcupbay_core::wire::{
    engine::Message,
    error::{Code, Failure},
    run::Prompt,
};
use serde::Deserialize;
use serde_json::Value;

/// The two shapes callers of model servers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Fields that go to the engine as they are.
const SAMPLING: &[&str] = &[
    "frequency_penalty",
    "logit_bias",
    "presence_penalty",
    "seed",
    "stop",
    "temperature",
    "top_k",
    "top_p",
];

/// Fields that change nothing in the answer's shape or content.
const IGNORED: &[&str] = &["metadata", "service_tier", "store", "stream_options", "user"];

/// A checked body.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// Adapter and version as the caller named them.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: Prompt,
    /// Most tokens to generate, when named.
    pub(crate) max_tokens: Option<u32>,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// Sampling fields, passed on.
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

/// Checks a body. A field that would change the answer and is not supported
/// is refused: leaving it out silently would give another answer than asked.
pub(crate) fn read(shape: Shape, body: &[u8]) -> Result<Ask, Failure> {
    let body: Body = serde_json::from_slice(body)
        .map_err(|error| bad(format!("the body is malformed: {error}")))?;
    let prompt = match (shape, body.messages, body.prompt) {
        (Shape::Chat, Some(messages), None) if !messages.is_empty() => Prompt::Chat(messages),
        (Shape::Chat, ..) => return Err(bad("field messages: one message or more".into())),
        (Shape::Text, None, Some(prompt)) => Prompt::Text(prompt),
        (Shape::Text, ..) => return Err(bad("field prompt: one text".into())),
    };
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    if max_tokens == Some(0) {
        return Err(bad("field max_tokens: 1 or more".into()));
    }
    let sampling = sampling(body.rest)?;
    let stream = body.stream.unwrap_or(false);
    Ok(Ask { model: body.model, prompt, max_tokens, stream, sampling })
}

fn sampling(rest: BTreeMap<String, Value>) -> Result<BTreeMap<String, Value>, Failure> {
    let mut kept = BTreeMap::new();
    for (name, value) in rest {
        if value.is_null() || IGNORED.contains(&name.as_str()) {
            continue;
        }
        if name == "n" && value == 1 {
            continue;
        }
        if !SAMPLING.contains(&name.as_str()) {
            return Err(bad(format!("field {name}: not supported")));
        }
        kept.insert(name, value);
    }
    Ok(kept)
}

fn bad(message: String) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}
