//! The proxy's ways to disturb a connection.

#![allow(clippy::unwrap_used)]

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use kingcupbay_soak::proxy::{Flow, Path, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Longest wait for what must come; only a failed test waits so long.
const PATIENCE: Duration = Duration::from_secs(10);

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Both ends of a connection through a proxy.
async fn connect() -> (Proxy, TcpListener, TcpStream, TcpStream) {
    let listener = TcpListener::bind(any()).await.unwrap();
    let proxy = Proxy::start(any()).unwrap();
    proxy.aim(listener.local_addr().unwrap());
    let near = TcpStream::connect(proxy.address()).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (proxy, listener, near, far)
}

async fn next(stream: &mut TcpStream) -> Result<u8, ErrorKind> {
    let read = tokio::time::timeout(PATIENCE, stream.read_u8()).await.unwrap();
    read.map_err(|error| error.kind())
}

#[actix_rt::test]
async fn bytes_pass_both_ways_and_late() {
    let (proxy, _listener, mut near, mut far) = connect().await;
    near.write_u8(1).await.unwrap();
    assert_eq!(next(&mut far).await, Ok(1));
    let late = Flow::Late(Duration::from_millis(5));
    proxy.set(Path { there: late, back: late });
    far.write_u8(2).await.unwrap();
    // A path that changes while a piece is late must not stop the thread.
    proxy.set(Path::default());
    assert_eq!(next(&mut near).await, Ok(2));
    drop(near);
    assert_eq!(next(&mut far).await, Err(ErrorKind::UnexpectedEof));
}

/// A cut way holds bytes back and hands them out when it is whole again.
#[actix_rt::test]
async fn a_cut_holds_one_direction() {
    let (proxy, _listener, mut near, mut far) = connect().await;
    proxy.set(Path { there: Flow::Held, back: Flow::Open });
    near.write_u8(1).await.unwrap();
    far.write_u8(2).await.unwrap();
    assert_eq!(next(&mut near).await, Ok(2));
    let mut byte = [0];
    assert_eq!(far.try_read(&mut byte).unwrap_err().kind(), ErrorKind::WouldBlock);
    proxy.set(Path::default());
    assert_eq!(next(&mut far).await, Ok(1));
}

/// What a sender takes back by a reset while the way is cut never arrives.
#[actix_rt::test]
async fn a_reset_takes_held_bytes_back() {
    let (proxy, _listener, mut near, mut far) = connect().await;
    proxy.set(Path::CUT);
    near.write_u8(1).await.unwrap();
    socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO)).unwrap();
    drop(near);
    assert_eq!(next(&mut far).await, Err(ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn a_reset_meets_both_ends() {
    let (proxy, _listener, mut near, mut far) = connect().await;
    proxy.reset();
    assert_eq!(next(&mut near).await, Err(ErrorKind::ConnectionReset));
    assert_eq!(next(&mut far).await, Err(ErrorKind::ConnectionReset));
}

/// A connection that went silent stays so for good; a new one works.
#[actix_rt::test]
async fn a_silent_connection_is_not_closed() {
    let (proxy, listener, mut near, far) = connect().await;
    proxy.silence();
    let mut second = TcpStream::connect(proxy.address()).await.unwrap();
    let (mut other, _) = listener.accept().await.unwrap();
    near.write_u8(1).await.unwrap();
    second.write_u8(2).await.unwrap();
    assert_eq!(next(&mut other).await, Ok(2));
    let mut byte = [0];
    assert_eq!(far.try_read(&mut byte).unwrap_err().kind(), ErrorKind::WouldBlock);
}
