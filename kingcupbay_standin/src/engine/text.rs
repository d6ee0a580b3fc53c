//! What the engine generates: a pure function of adapter version, request
//! and position, so that a wrong adapter, a crossed answer and a repeated or
//! missing token all show in the text.

use std::ops::Range;

use kingcupbay_core::{
    id::RequestId,
    wire::engine::{Generate, Message},
};

/// Bytes of the request id that a token's text carries.
const ID_BYTES: usize = 4;

/// Text of the token at `offset`: `adapter@v1:3:01020304 `.
pub fn token_text(model: &str, request: RequestId, offset: u32) -> String {
    let mut id = request.to_string();
    id.truncate(2 * ID_BYTES);
    format!("{model}:{offset}:{id} ")
}

/// Text of the tokens at `offsets`.
pub fn answer_text(model: &str, request: RequestId, offsets: Range<u32>) -> String {
    offsets.map(|offset| token_text(model, request, offset)).collect()
}

/// Tokens of an order's prompt: its words.
pub fn prompt_tokens(order: &Generate) -> u32 {
    let words = |text: &str| text.split_whitespace().count() as u32;
    let prompt = order.prompt.as_deref().map_or(0, words);
    let messages = order.messages.iter().flatten();
    prompt + messages.map(|Message { content, .. }| words(content)).sum::<u32>()
}
