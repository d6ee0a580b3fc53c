//! HTTP servers on the daemon's one thread.
//!
//! [`drain`] counts connections and says when the daemon stops. The accept
//! loop hands each connection to a task of its own; a planned stop closes the
//! listener, lets every connection finish its request, and closes idle ones.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpSocket};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use kingcupbay_core::time::Span;

pub(crate) mod drain;

use drain::Drain;

/// Connections that may wait to be accepted. With the usual 128, a burst of
/// new streams finds the queue full, and the kernel's first repetition comes
/// a second later: callers see that second, daemons their connect timeout.
const BACKLOG: u32 = 4_096;

/// How long an idle connection is kept; longer than the daemons' clients keep
/// theirs, so that it is the client that closes and no request is sent on a
/// connection that this side is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How long the other side may take to close after the last byte.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept: out of descriptors, it would spin otherwise.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds `address`. Port 0 lets the kernel choose.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A host that restarts takes its address back at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves `listener` with `handle` until `drain` closes; returns when every
/// connection has ended.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, head: Span, drain: Drain, handle: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let closing = drain.clone();
    let handle = fn_service(move |request: Request| {
        let answer = handle(request);
        async move { Ok::<_, Response<BoxBody>>(answer.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(head.into())
        .client_disconnect_timeout(CLOSE_TIMEOUT)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .graceful_shutdown_signal(move || closing.clone().closed())
        .finish(handle.into_factory())
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        unreachable!("the service's factory has no failing part")
    };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = drain.clone().closed() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = drain.connection();
                let service = service.clone();
                actix_rt::spawn(async move {
                    // A broken connection concerns its request, which has
                    // noticed by itself; there is nothing more to do here.
                    let _ = service.call(stream).await;
                    drop(guard);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    drain.idle().await;
}
