//! HTTP servers on the daemon's single thread.
//!
//! The accept loop spawns a task for each connection. [`drain`] counts the
//! connections and holds the phase of a planned stop, which closes the
//! listener, lets every connection finish its request, and closes idle ones.
//! [`crowd`] bounds the number of connections, [`flow`] what is read of each ahead of its
//! requests, and [`socket`] tells a request whether its sender has left.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Extensions, HttpService, Protocol, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpSocket};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use kingcupbay_core::time::Span;

pub(crate) mod crowd;
pub(crate) mod drain;
pub(crate) mod flow;
pub(crate) mod socket;

use crate::http::budget::ConnectionMemory;
use crowd::{ConnectionLimits, Crowd};
use drain::Drain;
use socket::{Peer, Socket};

/// Connections that may wait to be accepted. With the usual 128, a burst of
/// new streams fills the queue, and the kernel retransmits the SYN only after a
/// second: callers wait that second, and daemons run into their connect timeout.
const BACKLOG: u32 = 4_096;

/// Idle timeout of a connection where no configuration sets one. It exceeds that of the
/// daemons' clients, so that the client closes first and sends no request on a
/// connection that the server is closing.
pub(crate) const KEEP_ALIVE: Span = Span::from_secs(30);

/// Time for the other side to close the connection after the last byte.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that the kernel keeps until a caller takes them. It bounds the memory of slow
/// callers; the kernel doubles it for its own structures.
const SEND_BUFFER_BYTES: u32 = 16 << 10;

/// Bytes of a caller that the kernel keeps until they are read; it doubles them likewise.
const RECEIVE_BUFFER_BYTES: u32 = 24 << 10;

/// Bytes of answers that are kept for a caller beside those that the kernel keeps.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Largest head of a request where no configuration sets one.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Pause after a failed accept. Without it, the loop would spin while the
/// process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds `address` and returns the listener with its bound address. Port 0 lets
/// the kernel choose. Fails if the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted daemon can bind its address at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let listener = socket.listen(BACKLOG)?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Limits of a server and its connections.
pub(crate) struct ServerLimits {
    /// Time for the head of a request.
    pub(crate) head_timeout: Span,
    /// Returns the idle timeout of a new connection.
    pub(crate) idle_timeout: Box<dyn Fn() -> Span>,
    /// Returns the largest head of a request on a new connection, in bytes.
    pub(crate) head_max: Box<dyn Fn() -> usize>,
    /// Memory for bodies, and for answers that are not read.
    pub(crate) memory: ConnectionMemory,
    /// Bounds of the number of connections.
    pub(crate) connections: ConnectionLimits,
}

impl ServerLimits {
    /// Returns limits that differ in the time for the head of a request and in memory only.
    pub(crate) fn new(head_timeout: Span, memory: ConnectionMemory) -> ServerLimits {
        ServerLimits {
            head_timeout,
            idle_timeout: Box::new(|| KEEP_ALIVE),
            head_max: Box::new(|| HEAD_MAX_BYTES),
            memory,
            connections: ConnectionLimits::unlimited(),
        }
    }
}

/// Serves requests on `listener` with `handle` until `drain` is closing, and
/// returns when every connection has ended. `drain` counts the connections.
pub(crate) async fn serve<F, Fut>(
    listener: TcpListener,
    limits: ServerLimits,
    drain: Drain,
    handle: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let ServerLimits { head_timeout, idle_timeout, head_max, memory, connections } = limits;
    let crowd = Crowd::default();
    let build = async |idle: Span| {
        let (closing, members, handle) = (drain.clone(), crowd.clone(), handle.clone());
        let handle = fn_service(move |request: Request| {
            let open = Peer::of(&request).begin(&request);
            let answer = handle(request);
            async move { Ok::<_, Response<BoxBody>>(open.until_sent(answer.await)) }
        });
        let factory = HttpService::build()
            .keep_alive(Duration::from(idle))
            .client_request_timeout(head_timeout.into())
            .client_disconnect_timeout(CLOSE_TIMEOUT)
            .h1_allow_half_closed(false)
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(|socket: &Socket, data: &mut Extensions| {
                data.insert(socket.peer());
            })
            .graceful_shutdown_signal(move || {
                let (closing, shed) =
                    (closing.clone().wait_until_closing(), members.clone().wait_until_shed());
                async move {
                    tokio::select! {
                        () = closing => {}
                        () = shed => {}
                    }
                }
            })
            .finish(handle.into_factory());
        let Ok(service) = factory.new_service(()).await else {
            unreachable!("the service's factory has no failing part")
        };
        Rc::new(service)
    };
    let mut idle = idle_timeout();
    let mut service = build(idle).await;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = drain.clone().wait_until_closing() => break,
        };
        match accepted {
            // Callers reach other entries instead.
            Ok((stream, _)) if !connections.admits(drain.open_connections()) => {
                crowd.shed_some();
                drop(stream);
            }
            Ok((stream, _)) => {
                if connections.is_crowded(drain.open_connections()) {
                    crowd.shed_oldest();
                    // It closes before the next one is accepted.
                    tokio::task::yield_now().await;
                }
                // The library takes the timeout only when the service is built.
                if idle_timeout() != idle {
                    idle = idle_timeout();
                    service = build(idle).await;
                }
                // If this fails, answers wait for each other's acknowledgement.
                let _ = stream.set_nodelay(true);
                let guard = drain.track_connection();
                let service = service.clone();
                let socket =
                    Socket::new(stream, head_max(), head_timeout, memory.clone(), drain.clone());
                actix_rt::spawn(async move {
                    // The request's own handler deals with a broken connection.
                    let _ = service.call((socket, Protocol::Http1, None)).await;
                    drop(guard);
                });
            }
            Err(_) => {
                crowd.shed_some();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drain.wait_until_idle().await;
}
