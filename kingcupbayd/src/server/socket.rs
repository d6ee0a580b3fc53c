//! Accepted connections: what is read of them, and whether the other side has closed them.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io::{self, IoSlice},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use actix_http::{
    Payload, Request, Response,
    body::{BodySize, BoxBody, MessageBody},
    error::PayloadError,
};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::Stream;
use kingcupbay_core::time::Span;
use rustix::{
    event::{PollFd, PollFlags, poll},
    time::Timespec,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{
    drain::{Drain, Phase},
    flow::{Flow, Room},
};
use crate::http::budget::{Budget, ConnectionMemory, Held};

/// Answer to a head that is too long.
const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Answer to a request that arrived when the connection was about to be closed.
const STOPPING: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.050\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Bytes of such a request that are read and discarded, so that its sender can read the answer.
const DISCARD_MAX_BYTES: usize = 64 << 10;

/// A connection, shared with the requests that came on it.
struct Connection {
    stream: RefCell<TcpStream>,
    drain: Drain,
    /// Whether nothing more is written.
    is_shut: Cell<bool>,
    flow: RefCell<Flow>,
    memory: ConnectionMemory,
}

impl Connection {
    /// Fails once the connection was given up.
    fn check_open(&self) -> io::Result<()> {
        match self.flow.borrow().is_given_up {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Returns whether no further request is read, as the daemon stops and none has begun.
    fn is_closing(&self) -> bool {
        self.drain.phase() >= Phase::Closing
            && !self.is_shut.get()
            && self.flow.borrow().is_before_head()
    }

    /// Refuses a request that has arrived and will not be read. Its sender may have seen no sign
    /// of the stop.
    fn refuse_unread(&self) {
        let is_shut = self.is_shut.replace(true);
        if is_shut || self.drain.phase() < Phase::Closing || !self.flow.borrow().is_in_head() {
            return;
        }
        // The runtime may not know yet that the connection can be read.
        let stream = &*self.stream.borrow();
        let mut part = [0; 4 << 10];
        let mut discarded = 0;
        while discarded < DISCARD_MAX_BYTES
            && let Ok(bytes @ 1..) = rustix::io::read(stream, &mut part)
        {
            discarded += bytes;
        }
        // The connection ends either way.
        if discarded > 0 && rustix::io::write(stream, STOPPING).is_ok() {
            self.drain.on_refused();
        }
    }

    /// Keeps the task of a write that waits, so that [`Peer::give_up`] can end it.
    fn on_written<T>(&self, cx: &Context<'_>, written: &Poll<T>) {
        if written.is_pending() {
            self.flow.borrow_mut().wake_later(cx);
        }
    }
}

/// A connection whose end its requests can ask for.
pub(crate) struct Socket(Rc<Connection>);

impl Socket {
    /// Wraps a new connection, whose requests have heads of at most `head_max` bytes that arrive
    /// within `head_timeout` once they have begun.
    pub(crate) fn new(
        stream: TcpStream,
        head_max: usize,
        head_timeout: Span,
        memory: ConnectionMemory,
        drain: Drain,
    ) -> Socket {
        Socket(Rc::new(Connection {
            stream: RefCell::new(stream),
            drain,
            is_shut: Cell::default(),
            flow: RefCell::new(Flow::new(head_max, head_timeout)),
            memory,
        }))
    }

    pub(crate) fn peer(&self) -> Peer {
        Peer(Some(Rc::downgrade(&self.0)))
    }
}

/// The other side of the connection on which a request came. Does not keep the connection open.
#[derive(Clone, Default)]
pub(crate) struct Peer(Option<Weak<Connection>>);

impl Peer {
    /// Returns the sender of `request`.
    pub(crate) fn of(request: &Request) -> Peer {
        request.conn_data::<Peer>().cloned().unwrap_or_default()
    }

    /// Returns whether the connection has ended, or its other side has closed it, as far as the
    /// kernel knows. The server may not have read that yet: it reads requests and the end in
    /// order. A side that has only closed its sending half counts, as its connection ends, too.
    pub(crate) fn has_left(&self) -> bool {
        let Some(connection) = &self.0 else { return false };
        let Some(connection) = connection.upgrade() else { return true };
        let stream = connection.stream.borrow();
        let mut watched = [PollFd::new(&*stream, PollFlags::RDHUP)];
        // If it fails, the server learns of the end by reading.
        poll(&mut watched, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }

    /// Begins to count a body that comes on the connection, for the organisation `owner`.
    pub(crate) fn begin_body(&self, owner: Option<&str>) -> Held {
        self.begin_hold(owner, |memory| &memory.bodies)
    }

    /// Begins to count an answer that goes to the connection, for the organisation `owner`.
    pub(crate) fn begin_answer(&self, owner: Option<&str>) -> Held {
        self.begin_hold(owner, |memory| &memory.answers)
    }

    fn begin_hold(
        &self,
        owner: Option<&str>,
        part: impl FnOnce(&ConnectionMemory) -> &Budget,
    ) -> Held {
        match self.0.as_ref().and_then(Weak::upgrade) {
            Some(connection) => part(&connection.memory).begin(owner),
            // What is held for nobody is released at once.
            None => Budget::unlimited().begin(owner),
        }
    }

    /// Ends the connection without another byte.
    pub(crate) fn give_up(&self) {
        self.with_flow(|flow| {
            flow.is_given_up = true;
            flow.wake();
        });
    }

    /// Reads the next part of a body. More of it is read once all that has arrived is taken.
    pub(crate) async fn next_part(
        &self,
        payload: &mut Payload,
    ) -> Option<Result<Bytes, PayloadError>> {
        let part = poll_fn(|cx| {
            let part = Pin::new(&mut *payload).poll_next(cx);
            if part.is_pending() {
                self.with_flow(Flow::on_drained);
            }
            part
        })
        .await;
        if part.is_none() {
            self.with_flow(Flow::on_body_end);
        }
        part
    }

    /// Begins a request, which ends when its answer's body is dropped.
    pub(super) fn begin(&self, request: &Request) -> OpenRequest {
        self.with_flow(|flow| flow.on_request(request));
        OpenRequest(self.clone())
    }

    fn with_flow(&self, change: impl FnOnce(&mut Flow)) {
        if let Some(connection) = self.0.as_ref().and_then(Weak::upgrade) {
            change(&mut connection.flow.borrow_mut());
        }
    }
}

impl std::fmt::Debug for Peer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Peer").field(&self.0.is_some()).finish()
    }
}

/// A request that has not been answered to its end.
pub(super) struct OpenRequest(Peer);

impl OpenRequest {
    /// Keeps the request open until `answer` has been sent.
    pub(super) fn until_sent(self, answer: Response<BoxBody>) -> Response<BoxBody> {
        answer.map_body(|_, body| BoxBody::new(OpenBody { body, _request: self }))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.with_flow(Flow::on_answered);
    }
}

/// The body of an answer, with the request that it ends.
struct OpenBody {
    body: BoxBody,
    _request: OpenRequest,
}

impl MessageBody for OpenBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

impl Socket {
    /// Reads at most `max` bytes.
    fn poll_read_some(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max: usize,
    ) -> Poll<io::Result<usize>> {
        let max = max.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
        let stream = &mut *self.0.stream.borrow_mut();
        std::task::ready!(Pin::new(stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buf.advance(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.check_open()?;
        if self.0.is_closing() {
            // The server closes the connection now, and would drop what it has read.
            return Poll::Pending;
        }
        let flow = &mut *self.0.flow.borrow_mut();
        let read = match flow.room() {
            Room::Bytes(max) => self.poll_read_some(cx, buf, max)?,
            Room::NextTurn => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Room::Later => {
                flow.wake_later(cx);
                return Poll::Pending;
            }
            Room::HeadTooLong => {
                // The connection ends either way.
                let _ = self.0.stream.borrow().try_write(HEAD_TOO_LONG);
                return Poll::Ready(Ok(()));
            }
        };
        if let Poll::Ready(bytes) = read {
            flow.on_read(bytes);
            return Poll::Ready(Ok(()));
        }
        flow.on_turn();
        match flow.poll_deadline(cx) {
            Poll::Ready(()) if flow.is_in_head() => {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Ready(()) => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.check_open()?;
        let written = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, bytes);
        self.0.on_written(cx, &written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.check_open()?;
        let written = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, slices);
        self.0.on_written(cx, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.refuse_unread();
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
