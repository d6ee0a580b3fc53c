//! Runs a stream and times its events.

use std::{net::SocketAddr, time::Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use kingcupbay_core::{id::RequestId, time::Span};
use serde_json::{Value, json};

/// Prefix of each event of a stream.
const EVENT_PREFIX: &[u8] = b"data: ";

/// Times of many streams.
#[derive(Debug, Default)]
pub(super) struct Times {
    /// Times from sending the request to the first event.
    pub(super) first: Vec<Span>,
    /// Times between two events.
    pub(super) gaps: Vec<Span>,
    /// Number of streams that were refused or cut off.
    pub(super) failed: u32,
}

impl Times {
    /// Adds the times of other streams.
    pub(super) fn extend(&mut self, other: Times) {
        self.first.extend(other.first);
        self.gaps.extend(other.gaps);
        self.failed += other.failed;
    }
}

/// Endpoint that streams are sent to.
pub(super) struct Target {
    client: Client,
    url: String,
    secret: Option<String>,
    body: Value,
}

impl Target {
    /// Creates a target that is an engine.
    pub(super) fn engine(at: SocketAddr, model: &str, tokens: u32) -> Target {
        Target::new(at, model, tokens, None)
    }

    /// Creates a target that is an entry.
    pub(super) fn entry(at: SocketAddr, model: &str, secret: &str, tokens: u32) -> Target {
        Target::new(at, model, tokens, Some(secret.to_owned()))
    }

    fn new(at: SocketAddr, model: &str, tokens: u32, secret: Option<String>) -> Target {
        let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout();
        let body = json!({
            "model": model,
            "prompt": "a tour of two wineries",
            "max_tokens": tokens,
            "stream": true,
        });
        let url = format!("http://{at}/v1/completions");
        Target { client: client.finish(), url, secret, body }
    }

    /// Runs one stream to its end and returns its times.
    pub(super) async fn stream(&self) -> Times {
        let mut times = Times::default();
        let mut body = self.body.clone();
        let mut request = self.client.post(&self.url).insert_header(("x-deadline-ms", "120000"));
        match &self.secret {
            Some(secret) => request = request.bearer_auth(secret),
            None => body["request_id"] = json!(random_request()),
        }
        let start = Instant::now();
        let Ok(mut response) = request.send_json(&body).await else {
            times.failed = 1;
            return times;
        };
        let mut last = start;
        let mut complete = false;
        while let Some(Ok(bytes)) = response.next().await {
            let now = Instant::now();
            let events =
                bytes.windows(EVENT_PREFIX.len()).filter(|part| *part == EVENT_PREFIX).count();
            complete |= bytes.windows(6).any(|part| part == b"[DONE]");
            for _ in 0..events {
                let span = Span::from_micros((now - last).as_micros() as u64);
                match times.first.is_empty() {
                    true => times.first.push(span),
                    false => times.gaps.push(span),
                }
                last = now;
            }
        }
        times.failed = u32::from(!complete);
        times
    }
}

fn random_request() -> RequestId {
    let mut id = [0; 16];
    getrandom::fill(&mut id).expect("the system's random source works");
    RequestId(id)
}
