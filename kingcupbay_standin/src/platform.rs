//! Stand-in for the whole platform on one port: table, objects, host list and weights.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::Method;
use futures_util::FutureExt;
use kingcupbay_core::wire::{
    fleet::Hosts,
    table::{Row, Txn, TxnAnswer},
};
use serde::{Deserialize, Serialize};

use crate::{
    hosts, objects,
    objects::ObjectsRecord,
    server::{
        Behaviour, Handler, Server,
        call::{self, Answer, Call},
    },
    table,
    table::TableRecord,
    weights,
    weights::WeightsRecord,
};

/// Counts of a platform since its start; the answer to `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformRecord {
    /// The table's counts.
    pub table: TableRecord,
    /// The object store's counts.
    pub objects: ObjectsRecord,
    /// The weight store's counts.
    pub weights: WeightsRecord,
}

/// A running platform.
pub struct Platform {
    server: Server,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    table: RefCell<table::State>,
    objects: RefCell<objects::State>,
    hosts: RefCell<hosts::State>,
    weights: Rc<weights::State>,
}

impl Platform {
    /// Starts an empty platform on `address`, on the current thread. `load` is
    /// the duration of a load at full speed. Fails when the address cannot be
    /// bound.
    pub fn start(address: SocketAddr, load: Duration) -> io::Result<Platform> {
        let state = Rc::default();
        let server = Server::start(address, Behaviour::new(handler(&state, load)))?;
        Ok(Platform { server, state })
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
    pub fn record(&self) -> PlatformRecord {
        self.state.record()
    }

    /// Returns all rows of the table in order of their keys.
    pub fn rows(&self) -> Vec<Row> {
        self.state.table.borrow().rows()
    }

    /// Runs a transaction directly, without an HTTP request.
    pub fn txn(&self, txn: &Txn) -> TxnAnswer {
        self.state.table.borrow_mut().txn(txn)
    }

    /// Sets the actual hosts; the host list shows them after the lag.
    pub fn set_hosts(&self, hosts: Hosts) {
        self.state.hosts.borrow_mut().set(hosts);
    }

    /// Sets how long the host list keeps showing the state before a change.
    pub fn set_lag(&self, lag: Duration) {
        self.state.hosts.borrow_mut().set_lag(lag);
    }
}

impl State {
    fn record(&self) -> PlatformRecord {
        PlatformRecord {
            table: self.table.borrow().record(),
            objects: self.objects.borrow().record(),
            weights: self.weights.record(),
        }
    }

    async fn answer(&self, load: Duration, call: &Call) -> Option<Answer> {
        if (&call.method, call.path.as_str()) == (&Method::GET, "/state") {
            return Some(call::json(&self.record()));
        }
        let answer = table::answer(&self.table, call)
            .or_else(|| objects::answer(&self.objects, call))
            .or_else(|| hosts::answer(&self.hosts, call));
        match answer {
            Some(answer) => Some(answer),
            None => weights::answer(&self.weights, load, call).await,
        }
    }
}

fn handler(state: &Rc<State>, load: Duration) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        async move { state.answer(load, &call).await.unwrap_or_else(call::unknown) }.boxed_local()
    })
}
