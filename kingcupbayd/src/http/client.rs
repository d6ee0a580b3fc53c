//! Calls of daemons, engines, services and the platform where no store keeps the registrations.
//!
//! They use the connections of [`Link`], so that what counts as an answer, and what ends it, is the
//! same for all that a daemon reads.

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

use actix_http::{
    Method, ResponseHead, StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use kingcupbay_core::time::Span;
use serde::{Serialize, de::IgnoredAny};

use super::{
    held::HeldAnswers,
    link::{Link, LinkError},
};
use crate::clock;

/// Idle timeout of a pooled connection. It is shorter than the usual idle limit
/// of address translators, which drop a connection without closing it.
const IDLE_TIMEOUT: Span = Span::from_secs(15);

/// Idle connections to one address.
type Idle = Rc<RefCell<Vec<Link>>>;

/// Connections by address, with a pool for each.
///
/// When a connection to an address goes silent, the others to that address are
/// usually dead as well, as the same cause affects all of them. Forgetting the
/// address drops all of them, and later requests open new connections.
#[derive(Clone)]
pub(crate) struct Clients {
    connect_timeout: Span,
    /// Answers that are being read.
    held: HeldAnswers,
    pools: Rc<RefCell<BTreeMap<String, Idle>>>,
}

/// A request to another process.
pub(crate) struct Call<'a> {
    method: Method,
    path: &'a str,
    headers: HeaderMap,
    body: Bytes,
}

impl<'a> Call<'a> {
    pub(crate) fn get(path: &'a str) -> Call<'a> {
        Call { method: Method::GET, path, headers: HeaderMap::new(), body: Bytes::new() }
    }

    pub(crate) fn put(path: &'a str, body: Bytes) -> Call<'a> {
        Call { method: Method::PUT, path, headers: HeaderMap::new(), body }
    }

    pub(crate) fn post(path: &'a str, body: impl Into<Bytes>) -> Call<'a> {
        Call { method: Method::POST, path, headers: HeaderMap::new(), body: body.into() }
    }

    /// Posts `body` as JSON.
    pub(crate) fn post_json<T: Serialize>(path: &'a str, body: &T) -> Call<'a> {
        let text = serde_json::to_vec(body).expect("requests serialise");
        Call::post(path, text).with_json()
    }

    /// Names the body's media type, JSON.
    pub(crate) fn with_json(self) -> Call<'a> {
        self.with(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    pub(crate) fn with(mut self, name: HeaderName, value: HeaderValue) -> Call<'a> {
        self.headers.insert(name, value);
        self
    }
}

impl Clients {
    /// Creates clients that give up connecting after `connect_timeout`.
    pub(crate) fn new(connect_timeout: Span) -> Clients {
        Clients { connect_timeout, held: HeldAnswers::default(), pools: Rc::default() }
    }

    /// Sends a request to `address` and reads the head of the answer.
    pub(crate) async fn send(&self, address: &str, call: Call<'_>) -> Result<Answer, LinkError> {
        let idle = self.pools.borrow_mut().entry(address.to_owned()).or_default().clone();
        let kept = take_idle(&idle);
        self.exchange(address, call, kept, idle).await
    }

    /// Does the same over a new connection that is not kept.
    pub(crate) async fn send_unpooled(
        &self,
        address: &str,
        call: Call<'_>,
    ) -> Result<Answer, LinkError> {
        self.exchange(address, call, None, Idle::default()).await
    }

    /// Drops every pooled connection to `address`; running streams keep theirs.
    pub(crate) fn forget(&self, address: &str) {
        self.pools.borrow_mut().remove(address);
    }

    async fn exchange(
        &self,
        address: &str,
        call: Call<'_>,
        kept: Option<Link>,
        idle: Idle,
    ) -> Result<Answer, LinkError> {
        let host = HeaderValue::from_str(address);
        let host = host.map_err(|_| LinkError::Unsent(io::ErrorKind::InvalidInput.into()))?;
        let mut link = match kept {
            Some(link) => link,
            None => Link::connect(address, self.connect_timeout).await?,
        };
        let Call { method, path, mut headers, body } = call;
        headers.insert(header::HOST, host);
        let head = link.exchange(method, path, headers, &body).await?;
        let mut answer = Answer { head, link: Some(link), idle, held: self.held.clone() };
        answer.release_if_bodiless().await?;
        Ok(answer)
    }
}

/// Takes an idle connection that appears to be open.
fn take_idle(idle: &Idle) -> Option<Link> {
    let now = clock::now();
    let mut links = idle.borrow_mut();
    while let Some(link) = links.pop() {
        if link.idle_until > now && link.is_clean() {
            return Some(link);
        }
    }
    None
}

/// An answer whose body has not been read yet. Dropping it ends the exchange.
pub(crate) struct Answer {
    head: ResponseHead,
    /// Present until the body has been read to its end.
    link: Option<Link>,
    /// Where the connection is kept.
    idle: Idle,
    held: HeldAnswers,
}

impl Answer {
    pub(crate) fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Reads the whole body of at most `limit` bytes. Fails if there is no memory for it beside the
    /// other answers that are being read.
    pub(crate) async fn read(&mut self, limit: usize) -> Result<Bytes, LinkError> {
        let mut held = self.held.begin();
        self.read_with(limit, |length| held.try_hold(length)).await
    }

    /// Reads the whole body of at most `limit` bytes, whatever other answers hold. For answers of
    /// which few are read at a time.
    pub(crate) async fn read_large(&mut self, limit: usize) -> Result<Bytes, LinkError> {
        self.read_with(limit, |_| true).await
    }

    /// Reads the whole body, as long as `has_room` for it.
    ///
    /// A body that ends with its connection may also be that of a process that has ended. JSON
    /// shows by itself whether it is whole.
    async fn read_with(
        &mut self,
        limit: usize,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, LinkError> {
        let is_unframed = self.link.as_ref().is_some_and(Link::is_unframed);
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            let length = whole.len() + chunk.len();
            if length > limit {
                return Err(LinkError::Malformed("the answer is too long".to_owned()));
            }
            if !has_room(length) {
                return Err(LinkError::NoRoom);
            }
            whole.extend_from_slice(&chunk);
        }
        if is_unframed && self.is_json() && serde_json::from_slice::<IgnoredAny>(&whole).is_err() {
            return Err(LinkError::Early);
        }
        Ok(whole.freeze())
    }

    /// Reads the next part of the body; `None` after its end.
    async fn chunk(&mut self) -> Result<Option<Bytes>, LinkError> {
        let Some(link) = &mut self.link else { return Ok(None) };
        let chunk = link.chunk().await?;
        if chunk.is_none() {
            self.release();
        }
        Ok(chunk)
    }

    /// Returns the body as it arrives. An error ends it, also one of a connection that ends early.
    pub(crate) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.chunk().await {
                Ok(chunk) => chunk.map(|chunk| (Ok(chunk), Some(answer))),
                Err(error) => Some((Err(io::Error::other(error)), None)),
            }
        })
    }

    async fn release_if_bodiless(&mut self) -> Result<(), LinkError> {
        if self.link.as_ref().is_some_and(Link::is_at_end) {
            self.chunk().await?;
        }
        Ok(())
    }

    /// Keeps the connection if it can carry another request.
    fn release(&mut self) {
        let Some(mut link) = self.link.take().filter(Link::is_reusable) else { return };
        link.idle_until = clock::now() + IDLE_TIMEOUT;
        self.idle.borrow_mut().push(link);
    }

    fn is_json(&self) -> bool {
        let kind = self.head.headers.get(header::CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok());
        kind.is_some_and(|kind| kind.starts_with("application/json"))
    }
}
