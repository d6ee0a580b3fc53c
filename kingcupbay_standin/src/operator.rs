//! What an operator writes to the store, and what callers send, in the
//! platform's words.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

use crate::upstream::BASE_MODEL;

/// Name that all callers address.
pub const ROUTE_HOST: &str = "desk.example";

/// A declared route.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredRoute {
    /// Its name, which is also what its paths begin with.
    pub name: &'static str,
    /// `idempotent`, `non_idempotent` or `stream`.
    pub kind: &'static str,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
    /// The service that it leads to.
    pub service: &'static str,
    /// Upstreams that a request may be sent to.
    pub max_attempts: u32,
}

/// A declared organisation.
#[derive(Clone, Debug)]
pub struct DeclaredOrganisation {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rate in tokens a second and its burst; zero is no limit.
    pub rate: u64,
    /// What a request counts that names no tokens.
    pub plain_tokens: u64,
}

/// A whole configuration with a service `desk` and one `writer` of engines.
#[derive(Clone, Debug)]
pub struct DeclaredConfig {
    /// Its number.
    pub number: u64,
    /// Its routes.
    pub routes: Vec<DeclaredRoute>,
    /// Its organisations.
    pub organisations: Vec<DeclaredOrganisation>,
    /// Time in which a request must have its answer, in milliseconds.
    pub timeout: u64,
    /// Aim for an answer or a first event, in milliseconds.
    pub latency_target: u64,
    /// Places for adapters of each engine.
    pub adapter_slots: usize,
}

impl DeclaredConfig {
    /// As the operator writes it.
    pub fn row(&self) -> Value {
        let route = |route: &DeclaredRoute| {
            json!({"name": route.name, "host": ROUTE_HOST, "pathPrefix": format!("/{}/", route.name),
                "kind": route.kind, "timeoutMs": self.timeout, "targetLatencyMs": self.latency_target,
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
                {"name": "writer", "maxConns": 200, "engine": {"slots": 8,
                    "kvCacheTokens": 100_000, "adapterSlots": self.adapter_slots, "weightsMb": 100.0,
                    "models": [{"name": BASE_MODEL, "weightsMb": 50.0, "loadS": 1.0,
                        "adapters": 10}]}}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            "tenants": self.organisations.iter().map(organisation).collect::<Vec<_>>()})
    }
}

/// The row that announces `version` of `adapter`, with its key.
pub fn announcement_row(adapter: &str, version: u32) -> (String, Value) {
    let row = json!({"model": BASE_MODEL, "adapter": adapter, "version": version});
    (format!("version/{BASE_MODEL}.{adapter}"), row)
}

/// What a caller says of its request.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Identity of the attempt.
    pub attempt: &'a str,
    /// Its key.
    pub key: &'a str,
    /// How long it waits, in milliseconds.
    pub deadline: u64,
    /// Tokens of its prompt, and of its answer at most.
    pub tokens: (u64, u64),
    /// The adapter that it names.
    pub adapter: Option<&'a str>,
}

impl CallerRequest<'_> {
    /// As headers.
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
        headers
    }
}

/// The attempt that an answer names, and the proof that an upstream made it.
pub fn attempt_and_signature(headers: &HeaderMap) -> (Option<String>, Option<String>) {
    let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    (text("x-attempt-id"), text("x-response-stamp"))
}
