//! Accepted connections: registry, recording of what they received, and the
//! switches that freeze or reset them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use actix_rt::net::TcpStream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    task::AbortHandle,
};

/// Number of a connection, in the order of acceptance.
pub(crate) type ConnId = u64;

/// State of one accepted connection, shared by its socket and its requests.
pub(crate) struct Conn {
    id: ConnId,
    /// Accepted on the control address; no fault touches it.
    control: bool,
    /// Nothing is read or written any more, and the peer is not told.
    frozen: Cell<bool>,
    /// The next read or write fails, which ends the connection.
    reset: Cell<bool>,
    /// Woken when `reset` is set, because a silent peer never wakes it.
    waker: RefCell<Option<Waker>>,
}

impl Conn {
    pub(crate) fn id(&self) -> ConnId {
        self.id
    }

    pub(crate) fn is_control(&self) -> bool {
        self.control
    }

    pub(crate) fn reset(&self) {
        self.reset.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn check(&self) -> Poll<io::Result<()>> {
        if self.reset.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.frozen.get() { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

struct Entry {
    conn: Rc<Conn>,
    task: Option<AbortHandle>,
}

/// All open connections of one server, and what it received.
#[derive(Default)]
pub(crate) struct Registry {
    next: Cell<ConnId>,
    open: RefCell<BTreeMap<ConnId, Entry>>,
    recording: Cell<bool>,
    /// Bytes received while recording, also of connections closed since.
    received: RefCell<BTreeMap<ConnId, Vec<u8>>>,
    /// Streams of frozen connections whose task has ended. Closing them
    /// would tell the peer what it must find out by itself.
    silent: RefCell<Vec<TcpStream>>,
}

impl Registry {
    /// Takes a new connection in; it leaves when the socket is dropped.
    pub(crate) fn admit(self: &Rc<Self>, stream: TcpStream, control: bool) -> Socket {
        let id = self.next.get();
        self.next.set(id + 1);
        let conn = Rc::new(Conn {
            id,
            control,
            frozen: Cell::new(false),
            reset: Cell::new(false),
            waker: RefCell::new(None),
        });
        let entry = Entry { conn: Rc::clone(&conn), task: None };
        self.open.borrow_mut().insert(id, entry);
        Socket { stream: Some(stream), conn, registry: Rc::clone(self) }
    }

    /// Remembers the task that serves a connection, for [`Registry::abort`].
    pub(crate) fn served_by(&self, id: ConnId, task: AbortHandle) {
        if let Some(entry) = self.open.borrow_mut().get_mut(&id) {
            entry.task = Some(task);
        }
    }

    pub(crate) fn record(&self, on: bool) {
        self.recording.set(on);
    }

    pub(crate) fn received(&self) -> Vec<Vec<u8>> {
        self.received.borrow().values().cloned().collect()
    }

    /// Freezes every connection that is open now, but for `spared`.
    pub(crate) fn freeze(&self, spared: Option<ConnId>) {
        self.others(spared).for_each(|conn| conn.frozen.set(true));
    }

    /// Resets every connection that is open now, but for `spared`.
    pub(crate) fn reset(&self, spared: Option<ConnId>) {
        self.others(spared).for_each(|conn| conn.reset());
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Ends the tasks of all connections.
    pub(crate) fn abort(&self) {
        let tasks: Vec<_> =
            self.open.borrow().values().filter_map(|entry| entry.task.clone()).collect();
        tasks.iter().for_each(AbortHandle::abort);
    }

    fn others(&self, spared: Option<ConnId>) -> impl Iterator<Item = Rc<Conn>> + use<> {
        let open = self.open.borrow();
        let conns: Vec<_> = open
            .values()
            .map(|entry| Rc::clone(&entry.conn))
            .filter(|conn| !conn.control && Some(conn.id) != spared)
            .collect();
        conns.into_iter()
    }

    fn keep(&self, id: ConnId, bytes: &[u8]) {
        if self.recording.get() {
            self.received.borrow_mut().entry(id).or_default().extend_from_slice(bytes);
        }
    }
}

/// A TCP stream under the switches of its [`Conn`].
pub(crate) struct Socket {
    /// Invariant: `None` only while it is dropped.
    stream: Option<TcpStream>,
    conn: Rc<Conn>,
    registry: Rc<Registry>,
}

impl Socket {
    pub(crate) fn conn(&self) -> &Rc<Conn> {
        &self.conn
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("only drop takes it"))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.registry.open.borrow_mut().remove(&self.conn.id);
        let silent = self.stream.take().filter(|_| self.conn.frozen.get());
        self.registry.silent.borrow_mut().extend(silent);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.conn.waker.replace(Some(cx.waker().clone()));
        std::task::ready!(self.conn.check())?;
        let start = buf.filled().len();
        std::task::ready!(self.stream().poll_read(cx, buf))?;
        self.registry.keep(self.conn.id, &buf.filled()[start..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.conn.check())?;
        self.stream().poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.conn.check())?;
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.conn.check())?;
        self.stream().poll_shutdown(cx)
    }
}
