//! Faults that the proxy applies to connections.

#![allow(clippy::unwrap_used)]

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use kingcupbay_soak::proxy::{Flow, Flows, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Longest wait for a byte or an error; only a failing test waits this long.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Both ends of a connection through a proxy.
async fn connect() -> (Proxy, TcpListener, TcpStream, TcpStream) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let proxy = Proxy::start(any_port()).unwrap();
    proxy.set_target(listener.local_addr().unwrap());
    let client = TcpStream::connect(proxy.address()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (proxy, listener, client, server)
}

async fn read_byte(stream: &mut TcpStream) -> Result<u8, ErrorKind> {
    let read = tokio::time::timeout(READ_TIMEOUT, stream.read_u8()).await.unwrap();
    read.map_err(|error| error.kind())
}

#[actix_rt::test]
async fn bytes_pass_both_ways_and_late() {
    let (proxy, _listener, mut client, mut server) = connect().await;
    client.write_u8(1).await.unwrap();
    assert_eq!(read_byte(&mut server).await, Ok(1));
    let late = Flow::Late(Duration::from_millis(5));
    proxy.set(Flows { to_target: late, from_target: late });
    server.write_u8(2).await.unwrap();
    // A change of the flows while a chunk is delayed must not block the thread.
    proxy.set(Flows::default());
    assert_eq!(read_byte(&mut client).await, Ok(2));
    drop(client);
    assert_eq!(read_byte(&mut server).await, Err(ErrorKind::UnexpectedEof));
}

/// A held direction keeps its bytes and delivers them when it opens again.
#[actix_rt::test]
async fn a_cut_holds_one_direction() {
    let (proxy, _listener, mut client, mut server) = connect().await;
    proxy.set(Flows { to_target: Flow::Held, from_target: Flow::Open });
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert_eq!(read_byte(&mut client).await, Ok(2));
    let mut byte = [0];
    assert_eq!(server.try_read(&mut byte).unwrap_err().kind(), ErrorKind::WouldBlock);
    proxy.set(Flows::default());
    assert_eq!(read_byte(&mut server).await, Ok(1));
}

/// Held bytes are dropped when their sender resets the connection.
#[actix_rt::test]
async fn a_reset_takes_held_bytes_back() {
    let (proxy, _listener, mut client, mut server) = connect().await;
    proxy.set(Flows::CUT);
    client.write_u8(1).await.unwrap();
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    drop(client);
    assert_eq!(read_byte(&mut server).await, Err(ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn a_reset_meets_both_ends() {
    let (proxy, _listener, mut client, mut server) = connect().await;
    proxy.reset();
    assert_eq!(read_byte(&mut client).await, Err(ErrorKind::ConnectionReset));
    assert_eq!(read_byte(&mut server).await, Err(ErrorKind::ConnectionReset));
}

/// A silenced connection carries nothing and stays open; a new one works.
#[actix_rt::test]
async fn a_silent_connection_is_not_closed() {
    let (proxy, listener, mut client, server) = connect().await;
    proxy.silence();
    let mut second = TcpStream::connect(proxy.address()).await.unwrap();
    let (mut other, _) = listener.accept().await.unwrap();
    client.write_u8(1).await.unwrap();
    second.write_u8(2).await.unwrap();
    assert_eq!(read_byte(&mut other).await, Ok(2));
    let mut byte = [0];
    assert_eq!(server.try_read(&mut byte).unwrap_err().kind(), ErrorKind::WouldBlock);
}

#[actix_rt::test]
async fn the_heads_of_answers_are_spoilt() {
    let (proxy, _listener, mut client, mut server) = connect().await;
    proxy.set(Flows { to_target: Flow::Open, from_target: Flow::Spoilt });
    server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    server.shutdown().await.unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).await.unwrap();
    assert_eq!(text, "HTTP/1.1 200 OK\r\nx-spoilt : 1\r\ncontent-length: 0\r\n\r\n");
}
