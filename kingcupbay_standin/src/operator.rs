//! Rows that an operator writes to the registry, and headers that callers
//! send, under the platform's names.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

use crate::upstream::BASE_MODEL;

/// Host name of every declared route.
pub const ROUTE_HOST: &str = "desk.example";

/// A declared route.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredRoute {
    /// Its name, which is also the first segment of its paths.
    pub name: &'static str,
    /// `idempotent`, `non_idempotent` or `stream`.
    pub kind: &'static str,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// The service that it routes to.
    pub service: &'static str,
    /// Most upstreams to which a request may be sent.
    pub max_attempts: u32,
}

/// A declared organisation.
#[derive(Clone, Debug)]
pub struct DeclaredOrganisation {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its rate in tokens per second, and its burst in tokens; zero means no limit.
    pub rate: u64,
    /// Tokens counted for a request that states no token usage.
    pub plain_tokens: u64,
}

/// A whole configuration with a plain service `desk` and an engine service `writer`.
#[derive(Clone, Debug)]
pub struct DeclaredConfig {
    /// Its configuration number.
    pub number: u64,
    /// Its routes.
    pub routes: Vec<DeclaredRoute>,
    /// Its organisations.
    pub organisations: Vec<DeclaredOrganisation>,
    /// Longest time until a request is answered, in milliseconds.
    pub timeout: u64,
    /// Latency target for an answer or a first event, in milliseconds.
    pub latency_target: u64,
    /// Adapter slots of each engine.
    pub adapter_slots: usize,
    /// Requests per second to a cold engine; zero means any number.
    pub cold_rate: u64,
    /// How long an engine is cold after it has started, in seconds.
    pub cold_secs: u64,
    /// Idle timeout of callers' connections, in milliseconds.
    pub idle_timeout: u64,
}

impl DeclaredConfig {
    /// Returns the row as the operator writes it.
    pub fn row(&self) -> Value {
        let route = |route: &DeclaredRoute| {
            json!({"name": route.name, "host": ROUTE_HOST,
                "pathPrefix": format!("/{}/", route.name), "kind": route.kind,
                "timeoutMs": self.timeout, "targetLatencyMs": self.latency_target,
                "priority": 1, "service": route.service, "maxAttempts": route.max_attempts,
                "allowAnonymous": false, "resumable": route.resumable})
        };
        let organisation = |row: &DeclaredOrganisation| {
            json!({"name": row.name, "apiKeys": row.keys, "unit": "tokens",
                "plainTokens": row.plain_tokens, "ratePerS": row.rate, "burst": row.rate})
        };
        json!({"version": self.number,
            "routes": self.routes.iter().map(route).collect::<Vec<_>>(),
            "services": [{"name": "desk", "maxConns": 200},
                {"name": "writer", "maxConns": 200, "coldS": self.cold_secs,
                    "coldPerS": self.cold_rate, "engine": {"slots": 8,
                    "kvCacheTokens": 100_000, "adapterSlots": self.adapter_slots,
                    "weightsMb": 100.0, "models": [{"name": BASE_MODEL, "weightsMb": 50.0,
                        "loadS": 1.0, "adapters": 10}]}}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": self.idle_timeout},
            "tenants": self.organisations.iter().map(organisation).collect::<Vec<_>>()})
    }
}

/// Returns the key and the row that announce `version` of `adapter`.
pub fn announcement_row(adapter: &str, version: u32) -> (String, Value) {
    let row = json!({"model": BASE_MODEL, "adapter": adapter, "version": version});
    (format!("version/{BASE_MODEL}.{adapter}"), row)
}

/// Returns the key of the row that evacuates the availability zone `zone`.
pub fn evacuation_key(zone: &str) -> String {
    format!("evacuate/{zone}")
}

/// Properties of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Id of the attempt.
    pub attempt: &'a str,
    /// API key of the caller.
    pub key: &'a str,
    /// How long the caller waits, in milliseconds.
    pub deadline: u64,
    /// Tokens of the prompt, and most tokens of the answer.
    pub tokens: (u64, u64),
    /// The requested adapter.
    pub adapter: Option<&'a str>,
    /// Parts of the prompt, as `ID:TOKENS` pairs.
    pub prompt: Option<&'a str>,
    /// The attempt that brought the first event of a stream, and the last event that the caller
    /// has, if it takes the stream up.
    pub takes_up: Option<(&'a str, u64)>,
}

impl CallerRequest<'_> {
    /// Returns the properties as headers. Panics if a value is not visible ASCII.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut insert = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).expect("callers send visible ASCII");
            headers.insert(HeaderName::from_static(name), value);
        };
        let (prompt, output) = self.tokens;
        insert("host", ROUTE_HOST);
        insert("x-attempt-id", self.attempt);
        insert("x-deadline-ms", &self.deadline.to_string());
        insert("x-token-usage", &format!("{prompt},{output}"));
        insert("authorization", &format!("Bearer {}", self.key));
        if let Some(adapter) = self.adapter {
            insert("x-model", &format!("{BASE_MODEL}/{adapter}"));
        }
        if let Some(prompt) = self.prompt {
            insert("x-prompt-prefix", prompt);
        }
        if let Some((first, last)) = self.takes_up {
            insert("resumes", first);
            insert("last-event-id", &last.to_string());
        }
        headers
    }
}

/// Returns the attempt id of an answer, and the signature which shows that an
/// upstream made the answer.
pub fn attempt_and_signature(headers: &HeaderMap) -> (Option<String>, Option<String>) {
    let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    (text("x-attempt-id"), text("x-response-stamp"))
}

/// Changes the configuration `row` so that engines copy running requests to each other.
pub fn allow_transfers(row: &mut Value) {
    for service in row["services"].as_array_mut().into_iter().flatten() {
        if let Some(engine) = service.get_mut("engine") {
            engine["moves"] = json!(true);
            engine["kvBytes"] = json!(131_072);
            engine["linkMbps"] = json!(10_000);
            engine["handle_s"] = json!(20);
        }
    }
}
