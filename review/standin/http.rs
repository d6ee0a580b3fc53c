//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Names and values of headers; names are in lowercase.
pub type Headers = Vec<(String, String)>;

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// An answer as received.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_whole: bool,
}

/// Returns the value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// One end of a connection, with the bytes that were received and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, input: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 8192];
        let count = self.stream.read(&mut bytes)?;
        self.input.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a start line and headers; `None` if the connection ends before them.
    fn read_head(&mut self) -> io::Result<Option<(String, Headers)>> {
        let end = loop {
            if let Some(at) = self.input.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some((start, headers.collect())))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.input.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.extend(self.take(1)?);
        }
        Ok(String::from_utf8_lossy(&line).trim().to_owned())
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads the next request; `None` once the connection has ended.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((start, headers)) = self.read_head()? else { return Ok(None) };
        let mut words = start.split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let mut body = Vec::new();
        if header(&headers, "transfer-encoding").is_some() {
            self.read_chunks(&mut body)?;
        } else if let Some(length) = header(&headers, "content-length") {
            body = self.take(length.parse().map_err(|_| io::ErrorKind::InvalidData)?)?;
        }
        Ok(Some(Request { method, path, headers, body }))
    }

    /// Sends a request and reads the answer to its end.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        let Some((start, headers)) = self.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = start.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut body = Vec::new();
        let is_whole = if header(&headers, "transfer-encoding").is_some() {
            self.read_chunks(&mut body).is_ok()
        } else {
            let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
            match self.take(length.unwrap_or(0)) {
                Ok(whole) => {
                    body = whole;
                    true
                }
                Err(_) => false,
            }
        };
        Ok(Answer { status, headers, body, is_whole })
    }

    /// Sends an answer with a length.
    pub fn reply(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&encode_answer(status, headers, body))
    }
}

/// Encodes an answer with a length.
pub fn encode_answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection to `listener` on a thread of its own, forever.
pub fn serve(listener: TcpListener, handle: impl Fn(Conn) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}
