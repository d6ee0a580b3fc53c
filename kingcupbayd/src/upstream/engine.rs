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
    client::{Clients, is_unsent},
};

/// Longest line of an engine's event stream.
const LINE_LIMIT: usize = 1 << 20;

/// Ends an engine's event stream.
const DONE: &str = "[DONE]";

/// Why an engine did not do as it was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum EngineError {
    /// It could not be reached; it did nothing.
    #[error("the engine cannot be reached: {0}")]
    Unreached(String),
    /// It refused with this status; it did nothing.
    #[error("the engine refused with {0}")]
    Refused(u16),
    /// Its answer broke off or made no sense.
    #[error("the engine's answer broke off: {0}")]
    Broken(String),
}

/// Events of a running generation.
pub(crate) struct Generation {
    lines: Pin<Box<dyn Stream<Item = Result<String, EngineError>>>>,
    request: RequestId,
    model: String,
    over: bool,
    /// Whether the event with the reason of the end came.
    complete: bool,
}

/// Starts a generation.
pub(crate) async fn generate(
    clients: Clients,
    address: String,
    order: Generate,
) -> Result<Generation, EngineError> {
    let path = match order.messages {
        Some(_) => "v1/chat/completions",
        None => "v1/completions",
    };
    let url = format!("http://{address}/{path}");
    let response = clients.get(&address).post(url).send_json(&order).await.map_err(send_error)?;
    if !response.status().is_success() {
        return Err(EngineError::Refused(response.status().as_u16()));
    }
    let reader = StreamReader::new(response.map_err(std::io::Error::other));
    let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(LINE_LIMIT))
        .map_err(|error| EngineError::Broken(error.to_string()));
    let (request, model) = (order.request_id, order.model);
    Ok(Generation { lines: Box::pin(lines), request, model, over: false, complete: false })
}

impl Generation {
    /// The next chunk; `None` after the last one. Safe to drop and call again.
    ///
    /// A chunk of another request or another adapter version breaks the
    /// stream: the engine crossed two answers, and neither may be delivered.
    pub(crate) async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        if self.over {
            return Ok(None);
        }
        loop {
            let line = match self.lines.next().await {
                Some(line) => line?,
                None => return Err(EngineError::Broken("it ended early".to_owned())),
            };
            let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
            if data == DONE {
                self.over = true;
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
        // Only after the last event is there an end to wait for; a stream that
        // is dropped before it must be cancelled, and its connection closed.
        if self.complete {
            let lines = std::mem::replace(&mut self.lines, Box::pin(stream::empty()));
            actix_rt::spawn(body::drain(lines));
        }
    }
}

/// Orders a load and waits until it is done.
pub(crate) async fn load(
    clients: &Clients,
    address: &str,
    order: &LoadAdapter,
) -> Result<(), EngineError> {
    command(clients, address, "v1/load_lora_adapter", order).await
}

/// Orders an unload.
pub(crate) async fn unload(
    clients: &Clients,
    address: &str,
    order: &UnloadAdapter,
) -> Result<(), EngineError> {
    command(clients, address, "v1/unload_lora_adapter", order).await
}

async fn command<T: Serialize>(
    clients: &Clients,
    address: &str,
    path: &str,
    order: &T,
) -> Result<(), EngineError> {
    let url = format!("http://{address}/{path}");
    let sent = clients.get(address).post(url).send_json(order).await;
    let mut response = sent.map_err(send_error)?;
    // The body is read to its end so that the connection can serve again.
    let _ = response.body().await;
    match response.status().is_success() {
        true => Ok(()),
        false => Err(EngineError::Refused(response.status().as_u16())),
    }
}

/// Asks for the engine's report.
pub(crate) async fn report(clients: &Clients, address: &str) -> Result<LoadReport, EngineError> {
    let url = format!("http://{address}/load");
    let mut response = clients.get(address).get(url).send().await.map_err(send_error)?;
    response.json().await.map_err(|error| EngineError::Broken(error.to_string()))
}

/// Cancels a stream. Nothing depends on the answer: closing the stream's
/// connection cancels it too, unless that connection went silent.
pub(crate) async fn cancel(clients: Clients, address: String, request: RequestId) {
    let _ = command(&clients, &address, "v1/cancel", &Cancel { request_id: request }).await;
}

/// The order for a prompt.
pub(crate) fn order(request: RequestId, model: String, prompt: Prompt) -> Generate {
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

fn send_error(error: awc::error::SendRequestError) -> EngineError {
    match is_unsent(&error) {
        true => EngineError::Unreached(error.to_string()),
        false => EngineError::Broken(error.to_string()),
    }
}
