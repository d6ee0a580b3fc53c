//! Accepted connections, the recording of the bytes they received, and the
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

/// Bytes that are no answer.
const GARBAGE: &[u8] = b"\0\x01\x02 no answer\r\n\r\n";

/// Number of a connection, in order of acceptance.
pub(crate) type ConnId = u64;

/// State of one accepted connection, shared by its socket and its requests.
pub(crate) struct Conn {
    id: ConnId,
    /// Accepted on the control address, where no fault applies.
    control: bool,
    /// Reads and writes stay pending; the peer is not notified.
    frozen: Cell<bool>,
    /// The next read or write fails, which closes the connection.
    reset: Cell<bool>,
    /// What is written becomes bytes that are no answer.
    garbled: Cell<bool>,
    /// Waker of the pending read. A reset wakes it, as a silent peer does not.
    waker: RefCell<Option<Waker>>,
}

impl Conn {
    pub(crate) fn id(&self) -> ConnId {
        self.id
    }

    pub(crate) fn is_control(&self) -> bool {
        self.control
    }

    pub(crate) fn garble(&self) {
        self.garbled.set(true);
    }

    pub(crate) fn reset(&self) {
        self.reset.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns an error if the connection was reset, and `Pending` if it is frozen.
    fn check_switches(&self) -> Poll<io::Result<()>> {
        if self.reset.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.frozen.get() { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

struct OpenConn {
    conn: Rc<Conn>,
    task: Option<AbortHandle>,
}

/// All open connections of one server, and the bytes it received.
#[derive(Default)]
pub(crate) struct Connections {
    next: Cell<ConnId>,
    open: RefCell<BTreeMap<ConnId, OpenConn>>,
    recording: Cell<bool>,
    /// Bytes received while recording, including those of closed connections.
    received: RefCell<BTreeMap<ConnId, Vec<u8>>>,
    /// Streams of frozen connections whose task has ended. They stay open:
    /// a close would notify the peer, which must detect the failure itself.
    frozen_streams: RefCell<Vec<TcpStream>>,
    /// Number of pauses under way. Reads and writes of all connections stay pending.
    pauses: Cell<u32>,
    /// Wakers of the reads and writes that wait for the end of the pauses.
    paused: RefCell<Vec<Waker>>,
}

/// A time in which a server neither reads nor writes. It goes on when this is dropped.
pub struct Pause {
    connections: Rc<Connections>,
}

impl Drop for Pause {
    fn drop(&mut self) {
        let Connections { pauses, paused, .. } = &*self.connections;
        pauses.set(pauses.get() - 1);
        if pauses.get() == 0 {
            paused.take().into_iter().for_each(Waker::wake);
        }
    }
}

impl Connections {
    /// Adds a new connection, which is removed when its socket is dropped.
    pub(crate) fn add(self: &Rc<Self>, stream: TcpStream, control: bool) -> Socket {
        let id = self.next.get();
        self.next.set(id + 1);
        let conn = Rc::new(Conn {
            id,
            control,
            frozen: Cell::new(false),
            reset: Cell::new(false),
            garbled: Cell::new(false),
            waker: RefCell::new(None),
        });
        let entry = OpenConn { conn: Rc::clone(&conn), task: None };
        self.open.borrow_mut().insert(id, entry);
        Socket { stream: Some(stream), conn, connections: Rc::clone(self) }
    }

    /// Stores the task that serves a connection, for [`Connections::abort_all`].
    pub(crate) fn set_task(&self, id: ConnId, task: AbortHandle) {
        if let Some(entry) = self.open.borrow_mut().get_mut(&id) {
            entry.task = Some(task);
        }
    }

    pub(crate) fn set_recording(&self, on: bool) {
        self.recording.set(on);
    }

    pub(crate) fn received(&self) -> Vec<Vec<u8>> {
        self.received.borrow().values().cloned().collect()
    }

    /// Freezes every connection open now except `except` and control connections.
    pub(crate) fn freeze_all(&self, except: Option<ConnId>) {
        self.affected(except).for_each(|conn| conn.frozen.set(true));
    }

    /// Makes the server silent, on new connections too, until the returned value is dropped.
    pub(crate) fn pause(self: &Rc<Self>) -> Pause {
        self.pauses.set(self.pauses.get() + 1);
        Pause { connections: Rc::clone(self) }
    }

    /// Resets every connection open now except `except` and control connections.
    pub(crate) fn reset_all(&self, except: Option<ConnId>) {
        self.affected(except).for_each(|conn| conn.reset());
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Aborts the tasks of all connections.
    pub(crate) fn abort_all(&self) {
        let tasks: Vec<_> =
            self.open.borrow().values().filter_map(|entry| entry.task.clone()).collect();
        tasks.iter().for_each(AbortHandle::abort);
    }

    fn affected(&self, except: Option<ConnId>) -> impl Iterator<Item = Rc<Conn>> + use<> {
        let open = self.open.borrow();
        let conns: Vec<_> = open
            .values()
            .map(|entry| Rc::clone(&entry.conn))
            .filter(|conn| !conn.control && Some(conn.id) != except)
            .collect();
        conns.into_iter()
    }

    fn record_received(&self, id: ConnId, bytes: &[u8]) {
        if self.recording.get() {
            self.received.borrow_mut().entry(id).or_default().extend_from_slice(bytes);
        }
    }
}

/// A TCP stream that obeys the switches of its [`Conn`].
pub(crate) struct Socket {
    /// Invariant: `None` only during drop.
    stream: Option<TcpStream>,
    conn: Rc<Conn>,
    connections: Rc<Connections>,
}

impl Socket {
    pub(crate) fn conn(&self) -> &Rc<Conn> {
        &self.conn
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("only drop takes it"))
    }

    /// Returns an error if the connection was reset, and `Pending` while it is frozen or the
    /// server paused.
    fn check_switches(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.conn.check_switches())?;
        if self.connections.pauses.get() > 0 && !self.conn.control {
            self.connections.paused.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.conn.id);
        let frozen = self.stream.take().filter(|_| self.conn.frozen.get());
        self.connections.frozen_streams.borrow_mut().extend(frozen);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.conn.waker.replace(Some(cx.waker().clone()));
        std::task::ready!(self.check_switches(cx))?;
        let start = buf.filled().len();
        std::task::ready!(self.stream().poll_read(cx, buf))?;
        self.connections.record_received(self.conn.id, &buf.filled()[start..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.check_switches(cx))?;
        if self.conn.garbled.get() {
            std::task::ready!(self.stream().poll_write(cx, GARBAGE))?;
            return Poll::Ready(Ok(bytes.len()));
        }
        self.stream().poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.check_switches(cx))?;
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.check_switches(cx))?;
        self.stream().poll_shutdown(cx)
    }
}
