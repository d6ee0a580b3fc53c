//! Stand-in for the platform's object store.
//!
//! It serves `PUT /objects/KEY`, `GET /objects/KEY`, and `GET /state` for an
//! [`ObjectsRecord`].

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc};

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use kingcupbay_core::wire::object::PATH;
use serde::{Deserialize, Serialize};

use crate::server::{
    Behaviour, Handler, Server,
    call::{self, Answer, Call},
};

/// Counts of an object store since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectsRecord {
    /// Number of writes.
    pub puts: u64,
    /// Number of reads, including those of missing objects.
    pub gets: u64,
}

/// A running object store.
pub struct Objects {
    server: Server,
    state: Rc<RefCell<State>>,
}

/// The objects and counts.
#[derive(Default)]
pub(crate) struct State {
    objects: BTreeMap<String, Bytes>,
    record: ObjectsRecord,
}

impl Objects {
    /// Starts an empty store on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Objects> {
        let state = Rc::default();
        let server = Server::start(address, Behaviour::new(handler(&state)))?;
        Ok(Objects { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// Returns the counts.
    pub fn record(&self) -> ObjectsRecord {
        self.state.borrow().record
    }

    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.state.borrow().objects.get(key).cloned()
    }

    /// Returns the keys of all objects, in order.
    pub fn keys(&self) -> Vec<String> {
        self.state.borrow().objects.keys().cloned().collect()
    }
}

impl State {
    pub(crate) fn record(&self) -> ObjectsRecord {
        self.record
    }

    fn put(&mut self, key: &str, body: Bytes) {
        self.record.puts += 1;
        self.objects.insert(key.to_owned(), body);
    }

    fn get(&mut self, key: &str) -> Option<Bytes> {
        self.record.gets += 1;
        self.objects.get(key).cloned()
    }
}

fn handler(state: &Rc<RefCell<State>>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let answer = match (&call.method, call.path.as_str()) {
            (&Method::GET, "/state") => call::json(&state.borrow().record()),
            _ => answer(&state, &call).unwrap_or_else(call::unknown),
        };
        async { answer }.boxed_local()
    })
}

/// Answers a request for the store; returns `None` for any other request.
pub(crate) fn answer(state: &RefCell<State>, call: &Call) -> Option<Answer> {
    let key = call.path.strip_prefix(PATH).filter(|key| !key.is_empty())?;
    match call.method {
        Method::PUT => {
            state.borrow_mut().put(key, call.body.clone());
            Some(call::empty(StatusCode::OK))
        }
        Method::GET => match state.borrow_mut().get(key) {
            Some(body) => Some(call::bytes(body)),
            None => Some(call::text(StatusCode::NOT_FOUND, "no such object")),
        },
        _ => None,
    }
}
