//! Idle connections by address, and whole exchanges over them.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::{
    Method,
    header::{self, HeaderMap, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use kingcupbay_core::time::Span;

use crate::clock;

use super::link::{Link, LinkError};

/// How long a connection is kept whose other side named no time. Short of the
/// few seconds after which servers usually close.
const IDLE: Span = Span::from_secs(4);

/// Part of the named time that is used, in percent: a request that meets the
/// closing of its connection may have run, and is lost if it runs only once.
const IDLE_PART: u64 = 60;

/// Idle connections kept for one address.
const KEPT: usize = 24;

/// Longest answer that is read whole.
const ANSWER_MAX: usize = 64 << 20;

/// A whole answer.
pub(crate) struct Answer {
    /// Its status.
    pub(crate) status: u16,
    /// Its body.
    pub(crate) body: Bytes,
}

/// Idle connections by address.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Link>>>>,
}

impl Pool {
    /// An idle connection to `address`, or a new one.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<Link, LinkError> {
        match self.idle_to(address) {
            Some(link) => Ok(link),
            None => Link::open(address).await,
        }
    }

    /// An idle connection to `address` that looks open.
    fn idle_to(&self, address: SocketAddr) -> Option<Link> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.fresh_until > now && link.is_clean() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection for later; `named` is how long the other side said
    /// that it keeps it.
    pub(crate) fn put(&self, address: SocketAddr, mut link: Link, named: Option<Span>) {
        if !link.is_reusable() {
            return;
        }
        let keep =
            named.map_or(IDLE, |named| Span::from_micros(named.as_micros() * IDLE_PART / 100));
        link.fresh_until = clock::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(address).or_default();
        if links.len() < KEPT {
            links.push(link);
        }
    }

    /// Drops all idle connections to `address`. Whatever lost track of one
    /// has lost track of its neighbours too.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// One request and its whole answer within `time`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        time: Span,
    ) -> Result<Answer, LinkError> {
        let exchange = self.exchange(address, method, path, body);
        let answer = match tokio::time::timeout(time.into(), exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(LinkError::Silent),
        };
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
        let mut whole = BytesMut::new();
        while let Some(chunk) = link.chunk().await? {
            if whole.len() + chunk.len() > ANSWER_MAX {
                return Err(LinkError::Malformed("the answer is too long".to_owned()));
            }
            whole.extend_from_slice(&chunk);
        }
        self.put(address, link, None);
        Ok(Answer { status: head.status.as_u16(), body: whole.freeze() })
    }
}
