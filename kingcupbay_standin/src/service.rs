//! Stand-in for a plain service.
//!
//! `POST /call/PATH` executes a call, `GET /executions` returns the counts. It
//! does not deduplicate: a call repeated with the same idempotency key
//! executes again, and the counts show it.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc};

use actix_http::Method;
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};

use crate::{
    changes::{Changes, wait_until},
    server::{
        Behaviour, Handler, Server,
        call::{self, Call},
    },
};

/// Path prefix of every call.
pub const CALL_PATH: &str = "/call/";

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Counts of executions since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// All executions.
    pub total: u64,
    /// Executions by idempotency key; calls without one count only in `total`.
    pub keys: BTreeMap<String, u64>,
}

/// JSON answer to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Execution {
    /// Path below [`CALL_PATH`].
    pub path: String,
    /// Number of this execution, from 1.
    pub execution: u64,
    /// The call's idempotency key.
    pub key: Option<String>,
    /// The call's body; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// A running plain service.
pub struct PlainService {
    server: Server,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    executions: RefCell<ExecutionCounts>,
    changes: Changes,
}

impl PlainService {
    /// Starts a service on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<PlainService> {
        let state = Rc::<State>::default();
        let server = Server::start(address, Behaviour::new(handler(&state)))?;
        Ok(PlainService { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// Returns the counts of executions.
    pub fn executions(&self) -> ExecutionCounts {
        self.state.executions.borrow().clone()
    }

    /// Waits until at least this many calls have been executed.
    pub async fn wait_for_executions(&self, total: u64) {
        let state = &self.state;
        wait_until(state.changes.subscribe(), || state.executions.borrow().total >= total).await;
    }
}

fn handler(state: &Rc<State>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let answer = match (&call.method, call.path.strip_prefix(CALL_PATH)) {
            (&Method::POST, Some(path)) => call::json(&execute(&state, path, &call)),
            (&Method::GET, _) if call.path == "/executions" => {
                call::json(&*state.executions.borrow())
            }
            _ => call::unknown(),
        };
        async { answer }.boxed_local()
    })
}

fn execute(state: &State, path: &str, call: &Call) -> Execution {
    let mut counts = state.executions.borrow_mut();
    let key = call.headers.get(IDEMPOTENCY_HEADER);
    let key = key.map(|key| String::from_utf8_lossy(key.as_bytes()).into_owned());
    counts.total += 1;
    if let Some(key) = &key {
        *counts.keys.entry(key.clone()).or_default() += 1;
    }
    state.changes.notify();
    Execution {
        path: path.to_owned(),
        execution: counts.total,
        key,
        body: String::from_utf8_lossy(&call.body).into_owned(),
    }
}
