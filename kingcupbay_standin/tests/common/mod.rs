//! Helpers that the tests share: addresses, requests and complete streams.
#![allow(dead_code)]

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Once,
    time::Duration,
};

use awc::{Client, ClientResponse, error::SendRequestError};
use kingcupbay_core::{
    id::RequestId,
    wire::engine::{Chunk, Generate, LoadAdapter, UnloadAdapter},
};
use kingcupbay_standin::{Engine, EngineSettings};
use serde::Serialize;

/// Longest wait for an answer; a process whose tests run twice as long ends. No
/// test depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) type Answer = Result<ClientResponse, SendRequestError>;

/// Returns a loopback address whose port the kernel chooses.
pub(crate) fn any_port() -> SocketAddr {
    start_watchdog();
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Ends the process when a test waits for something that never happens.
pub(crate) fn start_watchdog() {
    static WATCH: Once = Once::new();
    WATCH.call_once(|| {
        std::thread::spawn(|| {
            std::thread::sleep(2 * HANG_TIMEOUT);
            eprintln!("a test hangs");
            std::process::exit(1);
        });
    });
}

/// Creates a client with its own connection pool.
pub(crate) fn client() -> Client {
    Client::builder().timeout(HANG_TIMEOUT).finish()
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Answer {
    client().post(format!("http://{address}{path}")).send_json(body).await
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Answer {
    client().get(format!("http://{address}{path}")).send().await
}

/// Starts an engine whose delays are all zero, with further changes to its settings.
pub(crate) fn engine(change: impl FnOnce(&mut EngineSettings)) -> Engine {
    let mut settings = EngineSettings {
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        load_time: Duration::ZERO,
        incarnation: Some(7),
        ..EngineSettings::default()
    };
    change(&mut settings);
    Engine::start(any_port(), settings).unwrap()
}

/// Returns a request id whose first byte is `n`.
pub(crate) fn request_id(n: u8) -> RequestId {
    let mut id = [0; 16];
    id[0] = n;
    RequestId(id)
}

pub(crate) fn generate_order(model: &str, n: u8, max_tokens: u32) -> Generate {
    Generate {
        model: model.to_owned(),
        prompt: Some("two words".to_owned()),
        messages: None,
        max_tokens,
        stream: true,
        request_id: request_id(n),
        offset: 0,
        priority: 0,
        sampling: Default::default(),
    }
}

pub(crate) async fn generate(engine: &Engine, order: &Generate) -> ClientResponse {
    let path = if order.messages.is_some() { "/v1/chat/completions" } else { "/v1/completions" };
    post(engine.server().address(), path, order).await.unwrap()
}

/// Sends a load order and returns the status of its answer.
pub(crate) async fn load(engine: &Engine, name: &str, fencing: u64) -> u16 {
    let order = LoadAdapter { lora_name: name.into(), lora_path: format!("w/{name}"), fencing };
    let answer = post(engine.server().address(), "/v1/load_lora_adapter", &order).await;
    answer.unwrap().status().as_u16()
}

/// Sends an unload order and returns the status of its answer.
pub(crate) async fn unload(engine: &Engine, name: &str, fencing: u64) -> u16 {
    let order = UnloadAdapter { lora_name: name.into(), fencing };
    let answer = post(engine.server().address(), "/v1/unload_lora_adapter", &order).await;
    answer.unwrap().status().as_u16()
}

/// A stream that was read to its end.
#[derive(Debug, Default)]
pub(crate) struct ReceivedStream {
    pub(crate) chunks: Vec<Chunk>,
    /// Whether the stream ended with `[DONE]`. Only this shows that it is
    /// complete: awc reports an answer whose connection closed early like one
    /// that ended properly.
    pub(crate) done: bool,
}

impl ReceivedStream {
    pub(crate) fn text(&self) -> String {
        self.chunks.iter().map(|chunk| chunk.choices[0].text.as_str()).collect()
    }
}

pub(crate) async fn read_stream(mut answer: ClientResponse) -> ReceivedStream {
    use futures_util::StreamExt;
    let mut bytes = Vec::new();
    let mut stream = ReceivedStream::default();
    while let Some(part) = answer.next().await {
        let Ok(part) = part else {
            break;
        };
        bytes.extend_from_slice(&part);
    }
    for event in String::from_utf8(bytes).unwrap().split_terminator("\n\n") {
        match event.strip_prefix("data: ").unwrap() {
            "[DONE]" => stream.done = true,
            json => stream.chunks.push(serde_json::from_str(json).unwrap()),
        }
    }
    stream
}
