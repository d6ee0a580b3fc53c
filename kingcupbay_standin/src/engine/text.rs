//! Text of the generated tokens.
//!
//! It is a pure function of adapter version, request and position, so that a
//! wrong adapter, a misrouted answer and a repeated or missing token are all
//! visible in the text.

use std::ops::Range;

use kingcupbay_core::{
    id::RequestId,
    wire::engine::{Generate, Message},
};

/// Bytes of the request id that appear in a token's text.
const ID_BYTES: usize = 4;

/// Returns the text of the token at `offset`, such as `adapter@v1:3:01020304 `.
pub fn token_text(model: &str, request: RequestId, offset: u32) -> String {
    let mut id = request.to_string();
    id.truncate(2 * ID_BYTES);
    format!("{model}:{offset}:{id} ")
}

/// Returns the text of the tokens at `offsets`.
pub fn answer_text(model: &str, request: RequestId, offsets: Range<u32>) -> String {
    offsets.map(|offset| token_text(model, request, offset)).collect()
}

/// Counts the tokens of an order's prompt; each word is one token.
pub fn prompt_tokens(order: &Generate) -> u32 {
    let words = |text: &str| text.split_whitespace().count() as u32;
    let prompt = order.prompt.as_deref().map_or(0, words);
    let messages = order.messages.iter().flatten();
    prompt + messages.map(|Message { content, .. }| words(content)).sum::<u32>()
}
