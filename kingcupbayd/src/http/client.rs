//! Clients towards daemons, engines, services and the platform.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use kingcupbay_core::time::Span;

/// Idle connections are dropped after this; shorter than the common idle
/// limit of address translators that forget a connection without a word.
const IDLE: std::time::Duration = std::time::Duration::from_secs(15);

/// A client for each address, each with its own pool of connections.
///
/// One pool for each address, because a connection that went silent seldom
/// stands alone: whatever lost track of it lost its neighbours too. Dropping
/// the address's client drops them all, and new work opens new connections.
#[derive(Clone)]
pub(crate) struct Clients {
    connect: Span,
    pools: Rc<RefCell<BTreeMap<String, Client>>>,
}

impl Clients {
    /// Clients that give up connecting after `connect`.
    pub(crate) fn new(connect: Span) -> Clients {
        Clients { connect, pools: Rc::default() }
    }

    /// The client for `address`.
    pub(crate) fn get(&self, address: &str) -> Client {
        let mut pools = self.pools.borrow_mut();
        if let Some(client) = pools.get(address) {
            return client.clone();
        }
        let client = self.fresh();
        pools.insert(address.to_owned(), client.clone());
        client
    }

    /// A client whose next request goes out on a connection that carried
    /// nothing before.
    pub(crate) fn unpooled(&self) -> Client {
        self.fresh()
    }

    /// Drops every pooled connection to `address`; running streams keep theirs.
    pub(crate) fn forget(&self, address: &str) {
        self.pools.borrow_mut().remove(address);
    }

    fn fresh(&self) -> Client {
        let connector =
            Connector::new().timeout(self.connect.into()).limit(0).conn_keep_alive(IDLE);
        Client::builder()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish()
    }
}

/// Whether no byte of the request left. The library reports a connection that
/// closed instead of an answer as a failed connect too, long after the
/// request was sent; taken for "never left", a call that ran would be called
/// "not run", and be sent again.
pub(crate) fn never_left(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
