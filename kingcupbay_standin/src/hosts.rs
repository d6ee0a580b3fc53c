//! Stand-in for the platform's list of live and leaving hosts.
//!
//! `GET /hosts` shows the list. `PUT /hosts` sets the actual hosts, and
//! `PUT /hosts/lag` with `{"millis":N}` sets how long the list keeps showing
//! the state before a change.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use futures_util::FutureExt;
use kingcupbay_core::wire::fleet::Hosts;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    lagged::Lagged,
    server::{
        Behaviour, Handler, Server,
        call::{self, Answer, Call},
    },
};

/// Body of `PUT /hosts/lag`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lag {
    /// Milliseconds until the list shows a change.
    pub millis: u64,
}

/// A running host list.
pub struct HostList {
    server: Server,
    state: Rc<RefCell<State>>,
}

/// The list with its history.
pub(crate) struct State {
    hosts: Lagged<Hosts>,
    lag: Duration,
}

impl HostList {
    /// Starts an empty list without lag on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<HostList> {
        let state = Rc::default();
        let server = Server::start(address, Behaviour::new(handler(&state)))?;
        Ok(HostList { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// Sets the actual hosts; the list shows them after the lag.
    pub fn set(&self, hosts: Hosts) {
        self.state.borrow_mut().set(hosts);
    }

    /// Sets how long the list keeps showing the state before a change.
    pub fn set_lag(&self, lag: Duration) {
        self.state.borrow_mut().set_lag(lag);
    }

    /// Returns the hosts that the list shows now.
    pub fn shown(&self) -> Hosts {
        self.state.borrow().shown()
    }
}

impl Default for State {
    fn default() -> State {
        let hosts = Lagged::new(Instant::now(), Hosts::default());
        State { hosts, lag: Duration::ZERO }
    }
}

impl State {
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn set(&mut self, mut hosts: Hosts) {
        hosts.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        self.hosts.set(Instant::now(), hosts);
    }

    fn shown(&self) -> Hosts {
        self.hosts.shown(Instant::now(), self.lag).clone()
    }
}

fn handler(state: &Rc<RefCell<State>>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let answer = answer(&state, &call).unwrap_or_else(call::unknown);
        async { answer }.boxed_local()
    })
}

/// Answers a request for the list; returns `None` for any other request.
pub(crate) fn answer(state: &RefCell<State>, call: &Call) -> Option<Answer> {
    let answer = match (&call.method, call.path.as_str()) {
        (&Method::GET, "/hosts") => Ok(call::json(&state.borrow().shown())),
        (&Method::PUT, "/hosts") => call.json().map(|hosts| {
            state.borrow_mut().set(hosts);
            call::empty(StatusCode::OK)
        }),
        (&Method::PUT, "/hosts/lag") => call.json().map(|lag: Lag| {
            state.borrow_mut().set_lag(Duration::from_millis(lag.millis));
            call::empty(StatusCode::OK)
        }),
        _ => return None,
    };
    Some(answer.unwrap_or_else(|refusal| refusal))
}
