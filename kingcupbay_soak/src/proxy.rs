//! A loopback proxy that can delay, hold and end the connections through it.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::watch,
};

/// Most bytes copied at a time; small, so that a fault interrupts answers midway.
const CHUNK_BYTES: usize = 2 << 10;

/// How an answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.1 ";

/// Name in the line that is put into heads: a blank before the colon makes it no field.
pub const SPOILT_FIELD: &str = "x-spoilt";

/// Interval at which a held direction checks for a reset by its sender.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Most connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Treatment of the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes pass.
    #[default]
    Open,
    /// Each chunk passes after this delay.
    Late(Duration),
    /// Bytes pass, but the head of each answer gets a line that is no field.
    Spoilt,
    /// Bytes are held until the direction is open again; if the sender resets its
    /// connection, they are dropped, as on a cut network.
    Held,
}

/// Treatment of a proxy's connections in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flows {
    /// From the client to the target.
    pub to_target: Flow,
    /// From the target to the client.
    pub from_target: Flow,
}

impl Flows {
    /// Nothing passes in either direction.
    pub const CUT: Flows = Flows { to_target: Flow::Held, from_target: Flow::Held };
}

/// Number of resets and silences; a change resets or silences open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    resets: u64,
    silences: u64,
}

/// A proxy in front of one target; closed on drop.
pub struct Proxy {
    address: SocketAddr,
    shared: Rc<Shared>,
    accept: JoinHandle<()>,
}

struct Shared {
    target: Cell<Option<SocketAddr>>,
    path: watch::Sender<Flows>,
    counts: watch::Sender<Counts>,
    /// Both sockets of silenced connections, kept so that neither end is closed.
    silent: RefCell<Vec<(TcpStream, TcpStream)>>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Proxy {
    /// Listens at `address`; port 0 lets the kernel choose.
    pub fn start(address: SocketAddr) -> io::Result<Proxy> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(address)?;
        let listener = socket.listen(ACCEPT_BACKLOG)?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            target: Cell::new(None),
            path: watch::Sender::default(),
            counts: watch::Sender::default(),
            silent: RefCell::default(),
        });
        let accept = actix_rt::spawn(accept(listener, shared.clone()));
        Ok(Proxy { address, shared, accept })
    }

    /// Address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.set(Some(target));
    }

    /// Changes the treatment of all bytes from now on.
    pub fn set(&self, path: Flows) {
        self.shared.path.send_replace(path);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.counts.send_modify(|counts| counts.resets += 1);
    }

    /// Stops all bytes on the open connections without closing them; new
    /// connections work.
    pub fn silence(&self) {
        self.shared.counts.send_modify(|counts| counts.silences += 1);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        actix_rt::spawn(forward(client, shared.clone()));
    }
}

/// How a connection ended.
enum End {
    Closed,
    Reset,
    Silent,
}

/// Forwards one connection until it ends.
async fn forward(mut client: TcpStream, shared: Rc<Shared>) {
    let mut counts = shared.counts.subscribe();
    let initial = *counts.borrow_and_update();
    let connected = match shared.target.get() {
        Some(target) => TcpStream::connect(target).await,
        None => Err(io::ErrorKind::NotConnected.into()),
    };
    let Ok(mut server) = connected else { return reset(&client) };
    // Events are small writes, which the kernel would otherwise hold back.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let end = {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let to_target =
            copy_bytes(&mut from_client, &mut to_server, &shared, |path| path.to_target);
        let from_target =
            copy_bytes(&mut from_server, &mut to_client, &shared, |path| path.from_target);
        let changed = async {
            // Never an error: `shared` keeps the sender alive.
            let _ = counts.wait_for(|now| *now != initial).await;
            if shared.counts.borrow().resets > initial.resets { End::Reset } else { End::Silent }
        };
        tokio::select! {
            end = changed => end,
            ends = async { tokio::try_join!(to_target, from_target) } => match ends {
                Ok(_) => End::Closed,
                Err(_) => End::Reset,
            },
        }
    };
    match end {
        End::Closed => {}
        End::Reset => {
            reset(&client);
            reset(&server);
        }
        End::Silent => shared.silent.borrow_mut().push((client, server)),
    }
}

/// Copies bytes from one end to the other until the first closes. An error means
/// that an end was reset; the caller then resets the other one at once.
async fn copy_bytes(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    shared: &Shared,
    select: impl Fn(Flows) -> Flow,
) -> io::Result<()> {
    let mut path = shared.path.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        while select(*path.borrow_and_update()) == Flow::Held {
            // A read would still return bytes that arrived before the reset.
            if let Some(error) = from.as_ref().take_error()? {
                return Err(error);
            }
            let _ = tokio::time::timeout(RESET_POLL_INTERVAL, path.changed()).await;
        }
        let read = tokio::select! {
            read = from.read(&mut chunk) => read?,
            _ = path.changed() => continue,
        };
        // The borrow must end before the sleep, or `send_replace` would block on it.
        let now = select(*path.borrow());
        if let Flow::Late(time) = now {
            tokio::time::sleep(time).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        if now == Flow::Spoilt && chunk[..read].starts_with(ANSWER_START) {
            to.write_all(&spoil(&chunk[..read])).await?;
        } else {
            to.write_all(&chunk[..read]).await?;
        }
    }
}

/// Adds a line that is no field to the head that `bytes` begin with.
fn spoil(bytes: &[u8]) -> Vec<u8> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n").map_or(0, |at| at + 2);
    [&bytes[..end], SPOILT_FIELD.as_bytes(), b" : 1\r\n", &bytes[end..]].concat()
}

/// Makes the drop of the socket send a reset instead of an orderly close.
fn reset(stream: &TcpStream) {
    // If the option cannot be set, the socket closes in order.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
