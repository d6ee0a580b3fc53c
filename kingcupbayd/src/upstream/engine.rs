//! Client of model engines.

use std::pin::Pin;

use futures_util::{Stream, StreamExt, TryStreamExt, stream};
use kingcupbay_core::{
    id::RequestId,
    wire::{
        engine::{Cancel, Chunk, Generate, LoadAdapter, LoadReport, UnloadAdapter},
        run::Prompt,
    },
};
use serde::Serialize;
use thiserror::Error;
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

use crate::http::{
    body,
    client::{Call, Clients},
    link::LinkError,
};

/// Longest line, in bytes, of an engine's event stream.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Longest answer, in bytes, that is no event stream.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// Data of the last line of an engine's event stream.
const DONE_DATA: &str = "[DONE]";

/// Error of a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum EngineError {
    /// The engine could not be reached and did nothing.
    #[error("the engine cannot be reached: {0}")]
    Unreachable(String),
    /// The engine refused with this HTTP status and did nothing.
    #[error("the engine refused with {0}")]
    Refused(u16),
    /// The answer ended early or was malformed; the engine may have acted.
    #[error("the engine's answer broke off: {0}")]
    Broken(String),
}

/// Event stream of a running generation.
pub(crate) struct Generation {
    lines: Pin<Box<dyn Stream<Item = Result<String, EngineError>>>>,
    request: RequestId,
    model: String,
    /// Whether the stream has ended.
    ended: bool,
    /// Whether the event with the finish reason was received.
    complete: bool,
}

/// Starts a generation and returns its event stream.
pub(crate) async fn generate(
    clients: Clients,
    address: String,
    order: Generate,
) -> Result<Generation, EngineError> {
    let path = match order.messages {
        Some(_) => "/v1/chat/completions",
        None => "/v1/completions",
    };
    let answer = clients.send(&address, Call::post_json(path, &order)).await.map_err(send_error)?;
    if !answer.status().is_success() {
        return Err(EngineError::Refused(answer.status().as_u16()));
    }
    let reader = StreamReader::new(Box::pin(answer.into_stream()));
    let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES))
        .map_err(|error| EngineError::Broken(error.to_string()));
    let (request, model) = (order.request_id, order.model);
    Ok(Generation { lines: Box::pin(lines), request, model, ended: false, complete: false })
}

impl Generation {
    /// Returns the next chunk, or `None` after the last one. Cancel safe.
    ///
    /// A chunk of another request or another adapter version is an error: the
    /// engine has mixed up two answers, and neither may be delivered.
    pub(crate) async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        if self.ended {
            return Ok(None);
        }
        loop {
            let line = match self.lines.next().await {
                Some(line) => line?,
                None => return Err(EngineError::Broken("it ended early".to_owned())),
            };
            let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
            if data == DONE_DATA {
                self.ended = true;
                return Ok(None);
            }
            let chunk: Chunk = serde_json::from_str(data)
                .map_err(|error| EngineError::Broken(error.to_string()))?;
            if chunk.id != self.request || chunk.model != self.model {
                return Err(EngineError::Broken("an event of another request".to_owned()));
            }
            self.complete = chunk.choices.iter().any(|choice| choice.finish_reason.is_some());
            return Ok(Some(chunk));
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        // After the last event, the rest of the stream is read so that the
        // connection can be used again. A stream dropped earlier is cancelled
        // by closing its connection.
        if self.complete {
            let lines = std::mem::replace(&mut self.lines, Box::pin(stream::empty()));
            actix_rt::spawn(body::drain(lines));
        }
    }
}

/// Loads an adapter; returns when the engine has loaded it.
pub(crate) async fn load(
    clients: &Clients,
    address: &str,
    order: &LoadAdapter,
) -> Result<(), EngineError> {
    post(clients, address, "/v1/load_lora_adapter", order).await
}

/// Unloads an adapter.
pub(crate) async fn unload(
    clients: &Clients,
    address: &str,
    order: &UnloadAdapter,
) -> Result<(), EngineError> {
    post(clients, address, "/v1/unload_lora_adapter", order).await
}

async fn post<T: Serialize>(
    clients: &Clients,
    address: &str,
    path: &str,
    order: &T,
) -> Result<(), EngineError> {
    let sent = clients.send(address, Call::post_json(path, order)).await;
    let mut answer = sent.map_err(send_error)?;
    // The body is read to its end so that the connection can be used again. Only the status counts.
    let _ = answer.read(ANSWER_MAX_BYTES).await;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(EngineError::Refused(answer.status().as_u16())),
    }
}

/// Requests the engine's report of its resident adapters.
pub(crate) async fn report(clients: &Clients, address: &str) -> Result<LoadReport, EngineError> {
    let mut answer = clients.send(address, Call::get("/load")).await.map_err(send_error)?;
    let body = answer.read(ANSWER_MAX_BYTES).await.map_err(send_error)?;
    serde_json::from_slice(&body).map_err(|error| EngineError::Broken(error.to_string()))
}

/// Cancels a generation. The result is ignored: closing the connection of the
/// stream cancels it too, unless that connection has gone silent.
pub(crate) async fn cancel(clients: Clients, address: String, request: RequestId) {
    let _ = post(&clients, &address, "/v1/cancel", &Cancel { request_id: request }).await;
}

/// Builds the engine request for a prompt. The caller sets the number of tokens,
/// the offset and the sampling fields.
pub(crate) fn generate_request(request: RequestId, model: String, prompt: Prompt) -> Generate {
    let (prompt, messages) = match prompt {
        Prompt::Text(text) => (Some(text), None),
        Prompt::Chat(messages) => (None, Some(messages)),
    };
    Generate {
        model,
        prompt,
        messages,
        max_tokens: 0,
        stream: true,
        request_id: request,
        offset: 0,
        priority: 0,
        sampling: Default::default(),
    }
}

/// Converts an error of sending; the engine may have acted unless the request
/// never left.
fn send_error(error: LinkError) -> EngineError {
    match error.is_unsent() {
        true => EngineError::Unreachable(error.to_string()),
        false => EngineError::Broken(error.to_string()),
    }
}
