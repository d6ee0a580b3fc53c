//! Pool of idle connections by address, and complete exchanges over them.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::{
    Method,
    header::{self, HeaderMap, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use kingcupbay_core::time::Span;

use crate::clock;

use super::{
    budget::{FREE_BYTES, Held, HeldBytes, NoRoom},
    held::HeldAnswers,
    link::{Link, LinkError},
};

/// Idle timeout of a connection whose server announced none. Shorter than the
/// few seconds after which servers usually close.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);

/// Percentage of an announced idle timeout that is used. A request that is sent
/// while the server closes its connection may have run, and fails if it must
/// not run twice.
const IDLE_PERCENT: u64 = 60;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// Longest body of an answer, in bytes. The store's pages hold a megabyte before their encoding.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A complete answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// Idle connections by address.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// Answers that are being read.
    pub(crate) held: HeldAnswers,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Link>>>>,
}

impl Pool {
    /// Returns an idle connection to `address`, or opens one.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<Link, LinkError> {
        match self.take_idle(address) {
            Some(link) => Ok(link),
            None => Link::open(address).await,
        }
    }

    /// Takes an idle connection to `address` that appears to be open.
    fn take_idle(&self, address: SocketAddr) -> Option<Link> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.idle_until > now && link.is_clean() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a reusable connection for later; `announced` is the idle timeout
    /// that the server named.
    pub(crate) fn put(&self, address: SocketAddr, mut link: Link, announced: Option<Span>) {
        if !link.is_reusable() {
            return;
        }
        let keep = announced.map_or(DEFAULT_IDLE_TIMEOUT, |announced| {
            Span::from_micros(announced.as_micros() * IDLE_PERCENT / 100)
        });
        link.idle_until = clock::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(address).or_default();
        if links.len() < MAX_IDLE_PER_ADDRESS {
            links.push(link);
        }
    }

    /// Returns whether an idle connection to `address` appears to be open.
    pub(crate) fn has_open(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(links) = idle.get_mut(&address) else { return false };
        links.retain(Link::is_clean);
        !links.is_empty()
    }

    /// Keeps a new connection to `address` that has carried no request.
    pub(crate) fn put_unused(&self, address: SocketAddr, mut link: Link) {
        link.keep_unused();
        self.put(address, link, None);
    }

    /// Drops all idle connections to `address`: the cause that made one of them
    /// fail usually affects the others too.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends a request and reads its complete answer within `timeout`. After a
    /// failure the idle connections to `address` are dropped.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Span,
    ) -> Result<Answer, LinkError> {
        let exchange = self.exchange(address, method, path, body);
        let answer = clock::timeout(timeout, exchange).await.unwrap_or(Err(LinkError::Silent));
        if answer.is_err() {
            self.forget(address);
        }
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, LinkError> {
        let mut link = self.get(address).await?;
        let mut headers = HeaderMap::with_capacity(2);
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(header::HOST, host.expect("an address is visible ASCII"));
        if !body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        let head = link.exchange(method, path, headers, body).await?;
        let body = self.read_whole(&mut link, MAX_ANSWER_BYTES).await?;
        self.put(address, link, None);
        Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
    }

    /// Reads the rest of an answer of at most `limit` bytes.
    async fn read_whole(&self, link: &mut Link, limit: usize) -> Result<Bytes, LinkError> {
        let mut held = self.held.begin();
        let mut whole = BytesMut::new();
        while let Some(chunk) = link.chunk().await? {
            let length = whole.len() + chunk.len();
            if length > limit || !held.try_hold(length) {
                return Err(LinkError::Malformed("the answer is too long".to_owned()));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }
}

/// Reads the rest of an answer of at most `limit` bytes for a caller, with the memory that it
/// takes. `length` is what its head announces.
pub(crate) async fn read_held(
    link: &mut Link,
    limit: usize,
    length: Option<usize>,
    mut held: Held,
) -> Result<HeldBytes, LinkError> {
    let too_long = || LinkError::Malformed("the answer is too long".to_owned());
    if length.is_some_and(|length| length > limit) {
        return Err(too_long());
    }
    let (mut whole, mut room) = (BytesMut::new(), FREE_BYTES);
    while let Some(chunk) = link.chunk().await? {
        let so_far = whole.len() + chunk.len();
        if so_far > limit {
            return Err(too_long());
        }
        if so_far > room {
            room = length.unwrap_or((2 * so_far).min(limit)).max(so_far);
            held.hold(room).await.map_err(|NoRoom| LinkError::NoRoom)?;
            whole.reserve(room - whole.len());
        }
        whole.extend_from_slice(&chunk);
    }
    held.on_complete(whole.len());
    Ok(HeldBytes { bytes: whole.freeze(), held })
}
