//! HTTP/1.1 servers and client connections over plain sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 8192];
        let bytes = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..bytes]);
        Ok(bytes > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(Head { first, headers }));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads `length` bytes; `None` if the connection ends before.
    pub fn exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.ahead.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.ahead.drain(..length).collect()))
    }

    /// Reads the next chunk of a chunked body. `Ok(None)` is a connection that has ended, an empty
    /// chunk the proper end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let size = line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(None) };
        let Some(bytes) = self.exact(size)? else { return Ok(None) };
        if self.line()?.is_none() {
            return Ok(None);
        }
        Ok(Some(bytes))
    }

    /// Reads the body that follows a head. `None` if it ends early.
    pub fn body(&mut self, headers: &[(String, String)], is_answer: bool) -> io::Result<Option<Vec<u8>>> {
        if find(headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                match self.chunk()? {
                    None => return Ok(None),
                    Some(chunk) if chunk.is_empty() => return Ok(Some(body)),
                    Some(chunk) => body.extend(chunk),
                }
            }
        }
        match find(headers, "content-length").and_then(|length| length.parse().ok()) {
            Some(length) => self.exact(length),
            None if is_answer => {
                while self.fill()? {}
                Ok(Some(std::mem::take(&mut self.ahead)))
            }
            None => Ok(Some(Vec::new())),
        }
    }

    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.head()? else { return Ok(None) };
        let mut words = head.first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let Some(body) = self.body(&head.headers, false)? else { return Ok(None) };
        Ok(Some(Request { method, path, headers: head.headers, body }))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a complete answer.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        text += body;
        self.send(&text)
    }
}

/// Serves connections on `address` until the process ends. `handle` answers one request, and
/// returns whether the connection goes on.
pub fn serve<F>(address: SocketAddr, handle: F) -> SocketAddr
where
    F: Fn(Request, &mut Conn) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("the address is free");
    let bound = listener.local_addr().expect("it is bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), handle) = (stream, handle.clone()) else { continue };
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(request)) = conn.request() {
                    if !handle(request, &mut conn).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
    bound
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(Conn::new(stream))
}

/// Returns whether the other side of the connection has closed it.
pub fn has_left(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
