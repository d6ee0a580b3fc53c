//! Measures the bytes of the HTTP head of a message between daemons.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use super::{Figures, Table};

pub(super) const TABLE: Table = Table {
    title: "one exchange, by bytes of its body",
    sizes: [64, 512, 4_096],
    names: &["head of a question, bytes"],
};

/// End of an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Sends a body as the daemons do and counts the bytes before it.
pub(super) fn figures(size: u32) -> Figures {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let head = thread::spawn(move || head(&listener));
    actix_rt::System::new().block_on(async move {
        let url = format!("http://{address}/peer/pull");
        let sent = awc::Client::new().post(url).send_body(vec![0; size as usize]).await;
        sent.expect("the listener answers");
    });
    vec![head.join().expect("the listener has ended") as f64]
}

/// Receives one request and returns the length of its head in bytes.
fn head(listener: &TcpListener) -> usize {
    let (mut socket, _) = listener.accept().expect("a client connects");
    let (mut seen, mut part) = (Vec::new(), [0; 8_192]);
    let length = loop {
        let count = socket.read(&mut part).expect("the client sends");
        seen.extend_from_slice(&part[..count]);
        if let Some(at) = seen.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
            break at + HEAD_END.len();
        }
    };
    socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("the client reads");
    length
}
