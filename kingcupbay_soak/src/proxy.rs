//! A loopback proxy that stands in a connection's way.

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

/// Bytes moved at a time; small, so that a fault meets answers midway.
const PIECE: usize = 2 << 10;

/// How often a held direction looks whether its sender has given up.
const LOOK: Duration = Duration::from_millis(5);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What becomes of the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Open,
    /// Each piece passes this much later.
    Late(Duration),
    /// They stay where they are until the direction is open again; a sender
    /// that resets its connection takes them back, as on a cut network.
    Held,
}

/// What becomes of a proxy's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Path {
    /// From whoever connects.
    pub there: Flow,
    /// From the target.
    pub back: Flow,
}

impl Path {
    /// Nothing passes either way.
    pub const CUT: Path = Path { there: Flow::Held, back: Flow::Held };
}

/// What ends or silences the connections that are open now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Era {
    resets: u64,
    silences: u64,
}

/// A proxy in front of one target; its drop closes it.
pub struct Proxy {
    address: SocketAddr,
    shared: Rc<Shared>,
    accept: JoinHandle<()>,
}

struct Shared {
    target: Cell<Option<SocketAddr>>,
    path: watch::Sender<Path>,
    era: watch::Sender<Era>,
    /// Both ends of connections gone silent; kept, so that neither end is told.
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
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            target: Cell::new(None),
            path: watch::Sender::default(),
            era: watch::Sender::default(),
            silent: RefCell::default(),
        });
        let accept = actix_rt::spawn(accept(listener, shared.clone()));
        Ok(Proxy { address, shared, accept })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to `target`.
    pub fn aim(&self, target: SocketAddr) {
        self.shared.target.set(Some(target));
    }

    /// Changes what becomes of all bytes from now on.
    pub fn set(&self, path: Path) {
        self.shared.path.send_replace(path);
    }

    /// Resets the connections that are open now.
    pub fn reset(&self) {
        self.shared.era.send_modify(|era| era.resets += 1);
    }

    /// Nothing passes any more on the connections that are open now, and
    /// neither end is told; new ones work.
    pub fn silence(&self) {
        self.shared.era.send_modify(|era| era.silences += 1);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        actix_rt::spawn(carry(near, shared.clone()));
    }
}

/// How a connection ended.
enum End {
    Closed,
    Reset,
    Silent,
}

/// Carries one connection to its end.
async fn carry(mut near: TcpStream, shared: Rc<Shared>) {
    let mut era = shared.era.subscribe();
    let begun = *era.borrow_and_update();
    let connected = match shared.target.get() {
        Some(target) => TcpStream::connect(target).await,
        None => Err(io::ErrorKind::NotConnected.into()),
    };
    let Ok(mut far) = connected else { return reset(&near) };
    // Events are small writes; without this they would wait for each other.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let end = {
        let (mut from_near, mut to_near) = near.split();
        let (mut from_far, mut to_far) = far.split();
        let there = pump(&mut from_near, &mut to_far, &shared, |path| path.there);
        let back = pump(&mut from_far, &mut to_near, &shared, |path| path.back);
        let changed = async {
            // Never an error: the sender lives in `shared`.
            let _ = era.wait_for(|now| *now != begun).await;
            if shared.era.borrow().resets > begun.resets { End::Reset } else { End::Silent }
        };
        tokio::select! {
            end = changed => end,
            ends = async { tokio::try_join!(there, back) } => match ends {
                Ok(_) => End::Closed,
                Err(_) => End::Reset,
            },
        }
    };
    match end {
        End::Closed => {}
        End::Reset => {
            reset(&near);
            reset(&far);
        }
        End::Silent => shared.silent.borrow_mut().push((near, far)),
    }
}

/// Moves bytes from one end to the other until the first closes. An error
/// means that an end was reset, which the other one is to learn at once.
async fn pump(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    shared: &Shared,
    flow: impl Fn(Path) -> Flow,
) -> io::Result<()> {
    let mut path = shared.path.subscribe();
    let mut piece = vec![0; PIECE];
    loop {
        while flow(*path.borrow_and_update()) == Flow::Held {
            // The kernel would hand out what was received before a reset.
            if let Some(error) = from.as_ref().take_error()? {
                return Err(error);
            }
            let _ = tokio::time::timeout(LOOK, path.changed()).await;
        }
        let read = tokio::select! {
            read = from.read(&mut piece) => read?,
            _ = path.changed() => continue,
        };
        // The path must not stay borrowed while this one sleeps.
        let now = flow(*path.borrow());
        if let Flow::Late(time) = now {
            tokio::time::sleep(time).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..read]).await?;
    }
}

/// The other end sees a reset, not a proper end, when the socket is dropped.
fn reset(stream: &TcpStream) {
    // A socket that cannot be told so is closed instead.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
