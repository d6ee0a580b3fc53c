//! The HTTP server under every stand-in.
//!
//! [`Server::start`] binds an address and accepts on it. Each connection is
//! a [`conn::Socket`], driven by actix-http on the current thread. Each
//! request is read whole ([`call`]); one that concerns the server itself is
//! answered by [`admin`], the others meet the faults in force ([`fault`]) on
//! their way to the stand-in.

use std::{
    cell::RefCell,
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
};

use actix_http::{Extensions, HttpService, KeepAlive, Protocol, Request};
use actix_rt::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
};
use actix_service::{Service, ServiceFactory};
use futures_util::future::LocalBoxFuture;
use tokio::sync::watch;

use self::{
    call::{Answer, Call},
    conn::{ConnId, Registry, Socket},
};
use crate::{
    changes::wait_until,
    fault::{Fault, FaultOrder, FaultRules, Faults, Rule, RuleId},
};

pub(crate) mod admin;
pub(crate) mod call;
mod conn;
mod fault;

/// Connections the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;

/// What a stand-in does with a request.
pub(crate) type Handler = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Answer>>;

/// What makes a server one stand-in or another.
pub(crate) struct Behaviour {
    pub(crate) faults: Rc<RefCell<FaultRules>>,
    pub(crate) answer: Handler,
    pub(crate) restart: Rc<dyn Fn()>,
}

impl Behaviour {
    /// Answers requests and keeps its state through a restart.
    pub(crate) fn new(answer: Handler) -> Behaviour {
        Behaviour { faults: Rc::default(), answer, restart: Rc::new(|| ()) }
    }
}

/// A running server; dropping it closes its port and all its connections
/// as soon as the thread runs its other tasks.
pub struct Server {
    address: SocketAddr,
    shared: Rc<Shared>,
    /// Keeps the port ours while no listener is open on it: bound, but not
    /// listening, so that connections are refused.
    _port: TcpSocket,
    accept: Vec<JoinHandle<()>>,
}

/// What the server's handle, accept loops and requests share.
pub(crate) struct Shared {
    registry: Rc<Registry>,
    behaviour: Behaviour,
    /// Whether the port refuses connections.
    refuses: watch::Sender<bool>,
}

impl Server {
    /// Binds `address` (port 0: the kernel chooses) and serves it on the
    /// current thread. Fails when the address cannot be bound.
    pub(crate) fn start(address: SocketAddr, behaviour: Behaviour) -> io::Result<Server> {
        let refuses = watch::Sender::new(false);
        let shared = Rc::new(Shared { registry: Rc::default(), behaviour, refuses });
        let port = reserve(address)?;
        let address = port.local_addr()?;
        let listener = listen(address)?;
        let accept = actix_rt::spawn(accept(Rc::clone(&shared), address, listener));
        Ok(Server { address, shared, _port: port, accept: vec![accept] })
    }

    /// Serves `address` as well, out of reach of every fault, so that a
    /// fault on the first address can always be cleared. The bound address.
    pub fn open_control(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::from_std(bind_alone(address)?)?;
        let address = listener.local_addr()?;
        let shared = Rc::clone(&self.shared);
        self.accept.push(actix_rt::spawn(accept_control(shared, listener)));
        Ok(address)
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.registry.len()
    }

    /// Switches the recording of every byte received.
    pub fn set_recording(&self, on: bool) {
        self.shared.registry.record(on);
    }

    /// The bytes received while recording, one item for each connection.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.shared.registry.received()
    }

    /// Puts a rule in force.
    pub fn add_rule(&self, rule: Rule) -> RuleId {
        self.shared.set(rule, None)
    }

    /// Carries out any order on faults.
    pub fn apply(&self, order: FaultOrder) {
        self.shared.order(order, None);
    }

    /// Waits until a rule has hit this often.
    pub async fn wait_for_hits(&self, id: RuleId, hits: u32) {
        self.shared.hit(id, hits).await;
    }

    /// The rules that are not cleared, with their hits.
    pub fn faults(&self) -> Faults {
        self.shared.behaviour.faults.borrow().faults().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.iter().for_each(JoinHandle::abort);
        self.shared.registry.abort();
    }
}

impl Shared {
    /// Carries out an order that came on connection `from`, which stays
    /// usable for its answer. The new rule's id.
    fn order(&self, order: FaultOrder, from: Option<ConnId>) -> Option<RuleId> {
        let faults = &self.behaviour.faults;
        match order {
            FaultOrder::Set(rule) => return Some(self.set(rule, from)),
            FaultOrder::Clear(id) => faults.borrow_mut().clear(id),
            FaultOrder::ClearAll => faults.borrow_mut().clear_all(),
            FaultOrder::Freeze => self.registry.freeze(from),
            FaultOrder::Restart => {
                self.registry.reset(from);
                (self.behaviour.restart)();
            }
        }
        self.refuses.send_replace(faults.borrow().refuses());
        None
    }

    async fn hit(&self, id: RuleId, hits: u32) {
        let faults = &self.behaviour.faults;
        let changes = faults.borrow().changes();
        wait_until(changes, || faults.borrow().faults().hits(id) >= hits).await;
    }

    fn set(&self, rule: Rule, from: Option<ConnId>) -> RuleId {
        let refuses = rule.fault == Fault::Refuse;
        let id = self.behaviour.faults.borrow_mut().set(rule);
        if refuses {
            self.refuses.send_replace(true);
            self.registry.reset(from);
        }
        id
    }
}

/// Binds without listening. The probe finds an address already in use, which
/// port sharing would hide: two stand-ins would then split the connections.
/// It finds this very socket too, as that one does not allow address reuse.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.port() != 0 {
        drop(StdListener::bind(address)?);
    }
    let port = socket(address)?;
    port.bind(address)?;
    Ok(port)
}

/// Listens beside the reserved port. Address reuse is for what is left of
/// earlier connections: they must not keep a successor off the port.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = socket(address)?;
    listener.set_reuseaddr(true)?;
    listener.bind(address)?;
    listener.listen(BACKLOG)
}

fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseport(true)?;
    Ok(socket)
}

fn bind_alone(address: SocketAddr) -> io::Result<StdListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept(shared: Rc<Shared>, address: SocketAddr, listener: TcpListener) {
    let mut refuses = shared.refuses.subscribe();
    let mut listener = Some(listener);
    loop {
        if *refuses.borrow_and_update() {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        tokio::select! {
            biased;
            // Never an error: the sender lives in `shared`.
            _ = refuses.changed() => {}
            stream = next(listener.as_ref()) => open(&shared, stream, false),
        }
    }
}

async fn accept_control(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = next(Some(&listener)).await;
        open(&shared, stream, true);
    }
}

/// The next connection; never one without a listener.
async fn next(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        // An error here concerns the one connection that was not accepted.
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
    }
}

fn open(shared: &Rc<Shared>, stream: TcpStream, control: bool) {
    // Tokens are small writes; without this they would wait for each other.
    let _ = stream.set_nodelay(true);
    let socket = shared.registry.admit(stream, control);
    let id = socket.conn().id();
    let task = actix_rt::spawn(serve(Rc::clone(shared), socket));
    shared.registry.served_by(id, task.abort_handle());
}

/// Serves one connection to its end. A caller that closes its half is gone:
/// its request is dropped, which cancels what it had asked for.
async fn serve(shared: Rc<Shared>, socket: Socket) {
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(std::time::Duration::ZERO)
        .h1_allow_half_closed(false)
        .on_connect_ext(|socket: &Socket, data: &mut Extensions| {
            data.insert(Rc::clone(socket.conn()));
        })
        .finish(move |request: Request| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, Infallible>(answer(&shared, request).await) }
        });
    if let Ok(service) = service.new_service(()).await {
        // A connection's end, however it came, concerns nobody else.
        let _ = service.call((socket, Protocol::Http1, None)).await;
    }
}

async fn answer(shared: &Shared, request: Request) -> Answer {
    match Call::receive(request).await {
        Ok(call) => admin::answer(shared, call).await,
        Err(refusal) => refusal,
    }
}
