//! HTTP server that every stand-in uses.
//!
//! [`Server::start`] binds an address and accepts connections on it. Each
//! connection is a [`conn::Socket`], driven by actix-http on the current
//! thread. The body of each request is read completely ([`call`]). Requests
//! to the server itself are answered by [`admin`]; the others pass through
//! the fault rules in force ([`fault`]) to the stand-in.

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

pub use self::conn::Pause;
use self::{
    call::{Answer, Call},
    conn::{ConnId, Connections, Socket},
};
use crate::{
    changes::wait_until,
    fault::{Fault, FaultOrder, FaultRules, Faults, Rule, RuleId},
};

pub(crate) mod admin;
pub(crate) mod call;
mod conn;
mod fault;

/// Most connections that the kernel queues until they are accepted.
const MAX_PENDING_CONNECTIONS: u32 = 1024;

/// Answers the requests of a stand-in.
pub(crate) type Handler = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Answer>>;

/// Behaviour of a stand-in: fault rules, request handler and restart.
pub(crate) struct Behaviour {
    pub(crate) faults: Rc<RefCell<FaultRules>>,
    pub(crate) answer: Handler,
    pub(crate) restart: Rc<dyn Fn()>,
    /// Bytes that the kernel keeps to be sent on a connection; `None` for its choice.
    pub(crate) send_buffer: Option<u32>,
}

impl Behaviour {
    /// Creates a behaviour whose state survives a restart.
    pub(crate) fn new(answer: Handler) -> Behaviour {
        Behaviour { faults: Rc::default(), answer, restart: Rc::new(|| ()), send_buffer: None }
    }
}

/// A running server. Dropping it closes its port and all its connections
/// as soon as the thread runs its other tasks.
pub struct Server {
    address: SocketAddr,
    shared: Rc<Shared>,
    /// Reserves the port while no listener is open on it: bound but not
    /// listening, so that connections are refused.
    _port: TcpSocket,
    accept: Vec<JoinHandle<()>>,
}

/// State shared by the server's handle, its accept loops and its requests.
pub(crate) struct Shared {
    connections: Rc<Connections>,
    behaviour: Behaviour,
    /// Whether the port is to refuse connections.
    refuses: watch::Sender<bool>,
    /// Whether the port refuses connections now. It follows `refuses` as soon as the
    /// accept loop runs.
    closed: watch::Sender<bool>,
}

impl Server {
    /// Binds `address` (with port 0 the kernel chooses the port) and serves it
    /// on the current thread. Fails when the address cannot be bound.
    pub(crate) fn start(address: SocketAddr, behaviour: Behaviour) -> io::Result<Server> {
        let shared = Rc::new(Shared {
            connections: Rc::default(),
            behaviour,
            refuses: watch::Sender::new(false),
            closed: watch::Sender::new(false),
        });
        let port = reserve_port(address)?;
        let address = port.local_addr()?;
        let listener = listen(address, shared.behaviour.send_buffer)?;
        let accept = actix_rt::spawn(accept_connections(Rc::clone(&shared), address, listener));
        Ok(Server { address, shared, _port: port, accept: vec![accept] })
    }

    /// Also serves `address`, where no fault applies, so that a fault on the
    /// first address can always be cleared. Returns the bound address; fails
    /// when it cannot be bound.
    pub fn open_control(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::from_std(bind_exclusive(address)?)?;
        let address = listener.local_addr()?;
        let shared = Rc::clone(&self.shared);
        self.accept.push(actix_rt::spawn(accept_control(shared, listener)));
        Ok(address)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.len()
    }

    /// Switches the recording of all received bytes on or off.
    pub fn set_recording(&self, on: bool) {
        self.shared.connections.set_recording(on);
    }

    /// Returns the bytes received while recording, one item per connection.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.shared.connections.received()
    }

    /// Adds a fault rule and returns its id.
    pub fn add_rule(&self, rule: Rule) -> RuleId {
        self.shared.add_rule(rule, None)
    }

    /// Returns a closure that resets all connections and refuses new ones, until the closure that
    /// it returns is called.
    pub(crate) fn refusal(&self) -> impl Fn() -> Box<dyn FnOnce()> + use<> {
        let shared = Rc::downgrade(&self.shared);
        move || {
            let id = shared.upgrade().map(|shared| shared.add_rule(Rule::new(Fault::Refuse), None));
            let shared = shared.clone();
            Box::new(move || {
                if let (Some(shared), Some(id)) = (shared.upgrade(), id) {
                    shared.apply(FaultOrder::Clear(id), None);
                }
            })
        }
    }

    /// Carries out an order on faults.
    pub fn apply(&self, order: FaultOrder) {
        self.shared.apply(order, None);
    }

    /// Makes it silent while its connections stay open: nothing is read or written, on new
    /// connections too, until the returned value is dropped.
    pub fn pause(&self) -> Pause {
        self.shared.connections.pause()
    }

    /// Waits until a rule has hit at least this often.
    pub async fn wait_for_hits(&self, id: RuleId, hits: u32) {
        self.shared.wait_for_hits(id, hits).await;
    }

    /// Returns the rules that are not cleared, with their hits.
    pub fn faults(&self) -> Faults {
        self.shared.behaviour.faults.borrow().faults().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.iter().for_each(JoinHandle::abort);
        self.shared.connections.abort_all();
    }
}

impl Shared {
    /// Carries out an order that arrived on connection `from`, which stays
    /// usable for the answer. Returns the id of a new rule.
    fn apply(&self, order: FaultOrder, from: Option<ConnId>) -> Option<RuleId> {
        let faults = &self.behaviour.faults;
        match order {
            FaultOrder::Set(rule) => return Some(self.add_rule(rule, from)),
            FaultOrder::Clear(id) => faults.borrow_mut().clear(id),
            FaultOrder::ClearAll => faults.borrow_mut().clear_all(),
            FaultOrder::Freeze => self.connections.freeze_all(from),
            FaultOrder::Restart => {
                self.connections.reset_all(from);
                (self.behaviour.restart)();
            }
        }
        self.refuses.send_replace(faults.borrow().refuses());
        None
    }

    /// Waits until the port is open or closed as last ordered.
    async fn wait_for_port(&self) {
        let mut closed = self.closed.subscribe();
        // Never an error: `self` owns the sender.
        let _ = closed.wait_for(|closed| *closed == *self.refuses.borrow()).await;
    }

    async fn wait_for_hits(&self, id: RuleId, hits: u32) {
        let faults = &self.behaviour.faults;
        let changes = faults.borrow().changes();
        wait_until(changes, || faults.borrow().faults().hits(id) >= hits).await;
    }

    fn add_rule(&self, rule: Rule, from: Option<ConnId>) -> RuleId {
        let refuses = rule.fault == Fault::Refuse;
        let id = self.behaviour.faults.borrow_mut().add(rule);
        if refuses {
            self.refuses.send_replace(true);
            self.connections.reset_all(from);
        }
        id
    }
}

/// Binds an address without listening. A probe without port sharing first
/// detects an address in use: with port sharing alone, two stand-ins could
/// bind it and split its connections. The probe of a second stand-in also
/// detects this reservation, because the reserved socket does not allow
/// address reuse.
fn reserve_port(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.port() != 0 {
        drop(StdListener::bind(address)?);
    }
    let port = shared_port_socket(address)?;
    port.bind(address)?;
    Ok(port)
}

/// Listens on the reserved port. Address reuse is set because remains of
/// earlier connections must not prevent a new listener from binding the port.
fn listen(address: SocketAddr, send_buffer: Option<u32>) -> io::Result<TcpListener> {
    let listener = shared_port_socket(address)?;
    if let Some(bytes) = send_buffer {
        // Accepted connections inherit it.
        listener.set_send_buffer_size(bytes)?;
    }
    listener.set_reuseaddr(true)?;
    listener.bind(address)?;
    listener.listen(MAX_PENDING_CONNECTIONS)
}

fn shared_port_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseport(true)?;
    Ok(socket)
}

fn bind_exclusive(address: SocketAddr) -> io::Result<StdListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept_connections(shared: Rc<Shared>, address: SocketAddr, listener: TcpListener) {
    let mut refuses = shared.refuses.subscribe();
    let mut listener = Some(listener);
    loop {
        if *refuses.borrow_and_update() {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address, shared.behaviour.send_buffer).ok();
        }
        shared.closed.send_replace(listener.is_none());
        tokio::select! {
            biased;
            // Never an error: `shared` owns the sender.
            _ = refuses.changed() => {}
            stream = next_connection(listener.as_ref()) => start_serving(&shared, stream, false),
        }
    }
}

async fn accept_control(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = next_connection(Some(&listener)).await;
        start_serving(&shared, stream, true);
    }
}

/// Accepts the next connection; waits forever without a listener.
async fn next_connection(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        // An error here concerns only the connection that was not accepted.
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
    }
}

fn start_serving(shared: &Rc<Shared>, stream: TcpStream, control: bool) {
    // Tokens are small writes; Nagle's algorithm would make them wait for each other.
    let _ = stream.set_nodelay(true);
    let socket = shared.connections.add(stream, control);
    let id = socket.conn().id();
    let task = actix_rt::spawn(serve(Rc::clone(shared), socket));
    shared.connections.set_task(id, task.abort_handle());
}

/// Serves a connection until it closes. A caller that closes its half counts
/// as disconnected: its request is dropped, which cancels its work.
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
        // An error concerns only this connection.
        let _ = service.call((socket, Protocol::Http1, None)).await;
    }
}

async fn answer(shared: &Shared, request: Request) -> Answer {
    match Call::receive(request).await {
        Ok(call) => admin::answer(shared, call).await,
        Err(refusal) => refusal,
    }
}
