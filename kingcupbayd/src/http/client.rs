//! HTTP clients for daemons, engines, services and the platform.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use kingcupbay_core::time::Span;

/// Idle timeout of a pooled connection. It is shorter than the usual idle limit
/// of address translators, which drop a connection without closing it.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(15);

/// HTTP clients by address, each with its own pool of connections.
///
/// When a connection to an address goes silent, the others to that address are
/// usually dead as well, as the same cause affects all of them. With one pool
/// per address, dropping the client drops all of them, and later requests open
/// new connections.
#[derive(Clone)]
pub(crate) struct Clients {
    connect_timeout: Span,
    pools: Rc<RefCell<BTreeMap<String, Client>>>,
}

impl Clients {
    /// Creates clients that give up connecting after `connect_timeout`.
    pub(crate) fn new(connect_timeout: Span) -> Clients {
        Clients { connect_timeout, pools: Rc::default() }
    }

    /// Returns the client for `address`.
    pub(crate) fn get(&self, address: &str) -> Client {
        let mut pools = self.pools.borrow_mut();
        if let Some(client) = pools.get(address) {
            return client.clone();
        }
        let client = self.build();
        pools.insert(address.to_owned(), client.clone());
        client
    }

    /// Creates a client that shares no pool, so that its first request opens a
    /// new connection.
    pub(crate) fn unpooled(&self) -> Client {
        self.build()
    }

    /// Drops every pooled connection to `address`; running streams keep theirs.
    pub(crate) fn forget(&self, address: &str) {
        self.pools.borrow_mut().remove(address);
    }

    fn build(&self) -> Client {
        let connector = Connector::new()
            .timeout(self.connect_timeout.into())
            .limit(0)
            .conn_keep_alive(IDLE_TIMEOUT);
        Client::builder()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish()
    }
}

/// Whether no byte of the request was sent.
///
/// The client library also reports a connection that closed instead of
/// answering as a connect error (`Disconnected`), long after the request was
/// sent. Counting that as unsent would report a call that ran as "not run" and
/// send it again.
pub(crate) fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
