//! What the tests share: addresses, requests and whole streams.
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

/// Ends a test that hangs; no test depends on its length.
const GUARD: Duration = Duration::from_secs(60);

pub(crate) type Answer = Result<ClientResponse, SendRequestError>;

/// A loopback address whose port the kernel chooses.
pub(crate) fn any() -> SocketAddr {
    watch();
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Ends the program when a test waits for something that never comes.
pub(crate) fn watch() {
    static WATCH: Once = Once::new();
    WATCH.call_once(|| {
        std::thread::spawn(|| {
            std::thread::sleep(2 * GUARD);
            eprintln!("a test hangs");
            std::process::exit(1);
        });
    });
}

/// A client with a connection pool of its own.
pub(crate) fn client() -> Client {
    Client::builder().timeout(GUARD).finish()
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Answer {
    client().post(format!("http://{address}{path}")).send_json(body).await
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Answer {
    client().get(format!("http://{address}{path}")).send().await
}

/// An engine without any waiting, and changes to its settings.
pub(crate) fn engine(change: impl FnOnce(&mut EngineSettings)) -> Engine {
    let mut settings = EngineSettings {
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        load_time: Duration::ZERO,
        incarnation: Some(7),
        ..EngineSettings::default()
    };
    change(&mut settings);
    Engine::start(any(), settings).unwrap()
}

/// A request id whose first byte is `n`.
pub(crate) fn request(n: u8) -> RequestId {
    let mut id = [0; 16];
    id[0] = n;
    RequestId(id)
}

pub(crate) fn order(model: &str, n: u8, max_tokens: u32) -> Generate {
    Generate {
        model: model.to_owned(),
        prompt: Some("two words".to_owned()),
        messages: None,
        max_tokens,
        stream: true,
        request_id: request(n),
        offset: 0,
        priority: 0,
        sampling: Default::default(),
    }
}

pub(crate) async fn generate(engine: &Engine, order: &Generate) -> ClientResponse {
    let path = if order.messages.is_some() { "/v1/chat/completions" } else { "/v1/completions" };
    post(engine.server().address(), path, order).await.unwrap()
}

/// Status of a load order.
pub(crate) async fn load(engine: &Engine, name: &str, fencing: u64) -> u16 {
    let order = LoadAdapter { lora_name: name.into(), lora_path: format!("w/{name}"), fencing };
    let answer = post(engine.server().address(), "/v1/load_lora_adapter", &order).await;
    answer.unwrap().status().as_u16()
}

/// Status of an unload order.
pub(crate) async fn unload(engine: &Engine, name: &str, fencing: u64) -> u16 {
    let order = UnloadAdapter { lora_name: name.into(), fencing };
    let answer = post(engine.server().address(), "/v1/unload_lora_adapter", &order).await;
    answer.unwrap().status().as_u16()
}

/// A stream read to its end.
#[derive(Debug, Default)]
pub(crate) struct Whole {
    pub(crate) chunks: Vec<Chunk>,
    /// The stream said that it is complete. Only this tells: awc shows an
    /// answer whose connection ended midway like one that ended well.
    pub(crate) done: bool,
}

impl Whole {
    pub(crate) fn text(&self) -> String {
        self.chunks.iter().map(|chunk| chunk.choices[0].text.as_str()).collect()
    }
}

pub(crate) async fn read(mut answer: ClientResponse) -> Whole {
    use futures_util::StreamExt;
    let mut bytes = Vec::new();
    let mut whole = Whole::default();
    while let Some(part) = answer.next().await {
        let Ok(part) = part else {
            break;
        };
        bytes.extend_from_slice(&part);
    }
    for event in String::from_utf8(bytes).unwrap().split_terminator("\n\n") {
        match event.strip_prefix("data: ").unwrap() {
            "[DONE]" => whole.done = true,
            json => whole.chunks.push(serde_json::from_str(json).unwrap()),
        }
    }
    whole
}
