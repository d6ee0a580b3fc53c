//! An upstream that answers with given bytes, and a caller that reads answers byte for byte.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream as BlockingStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_rt::net::TcpStream;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::registered::KEY;

/// What an upstream does once it has written its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It closes the connection.
    Close,
    /// It waits for the next request.
    Keep,
}

/// An upstream that answers each request with the bytes that a function makes of its head.
pub(crate) struct RawUpstream {
    pub(crate) address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    open: Arc<AtomicUsize>,
}

impl RawUpstream {
    pub(crate) fn start<F>(answer: F, ending: Ending) -> RawUpstream
    where
        F: Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (heads, open) = (Arc::<Mutex<Vec<String>>>::default(), Arc::<AtomicUsize>::default());
        let (seen, count, answer) = (heads.clone(), open.clone(), Arc::new(answer));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (seen, count, answer) = (seen.clone(), count.clone(), answer.clone());
                count.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    while let Some(head) = read_request(&mut stream) {
                        seen.lock().unwrap().push(head.clone());
                        // The caller may have closed the connection in the middle of the answer.
                        let _ = stream.write_all(&answer(&head));
                        if ending == Ending::Close {
                            let _ = stream.shutdown(Shutdown::Write);
                            let _ = stream.read_to_end(&mut Vec::new());
                            break;
                        }
                    }
                    count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        RawUpstream { address, heads, open }
    }

    /// Returns the heads of the requests for `path`.
    pub(crate) fn heads(&self, path: &str) -> Vec<String> {
        let heads = self.heads.lock().unwrap();
        let named = |head: &&String| head.split(' ').nth(1) == Some(path);
        heads.iter().filter(named).cloned().collect()
    }

    /// Returns how many connections to it are open.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns its row in the store as an instance of `service`.
    pub(crate) fn row(&self, service: &str, version: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": "zone-a",
            "version": version, "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 0,
            "born": 1})
    }
}

/// Reads one request; returns its head.
pub(crate) fn read_request(stream: &mut BlockingStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = field(&head, "content-length").map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).ok()?;
    Some(head)
}

/// Returns the value of a field of a head.
pub(crate) fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// An answer byte for byte.
#[derive(Debug)]
pub(crate) struct RawAnswer {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl RawAnswer {
    /// Its status; 0 if it has none.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// A caller with one connection that it uses for all its requests.
pub(crate) struct RawCaller {
    stream: TcpStream,
    input: Vec<u8>,
}

impl RawCaller {
    pub(crate) async fn connect(entry: SocketAddr) -> RawCaller {
        RawCaller::new(TcpStream::connect(entry).await.unwrap())
    }

    pub(crate) fn new(stream: TcpStream) -> RawCaller {
        RawCaller { stream, input: Vec::new() }
    }

    /// Sends a request with the usual headers and `fields`, each with its end of line.
    pub(crate) async fn send(&mut self, line: &str, fields: &str, body: &[u8]) {
        assert!(self.try_send(line, fields, body).await, "the connection has ended");
    }

    /// Does the same; returns whether the connection took it.
    pub(crate) async fn try_send(&mut self, line: &str, fields: &str, body: &[u8]) -> bool {
        let head = format!(
            "{line} HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: 5000\r\n\
             authorization: Bearer {KEY}\r\n{fields}content-length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), body].concat();
        self.stream.write_all(&request).await.is_ok()
    }

    /// Reads the next answer; `None` if the connection ends before the answer does.
    pub(crate) async fn read(&mut self) -> Option<RawAnswer> {
        let end = loop {
            match self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(at) => break at + 4,
                None => self.fill().await?,
            }
        };
        let head =
            String::from_utf8_lossy(&self.input.drain(..end).collect::<Vec<u8>>()).into_owned();
        let mut body = Vec::new();
        if field(&head, "transfer-encoding") == Some("chunked") {
            loop {
                let line = loop {
                    match self.input.windows(2).position(|bytes| bytes == b"\r\n") {
                        Some(at) => break self.input.drain(..at + 2).collect::<Vec<u8>>(),
                        None => self.fill().await?,
                    }
                };
                let size = std::str::from_utf8(&line).unwrap().trim();
                let size = usize::from_str_radix(size, 16).unwrap();
                let chunk = self.take(size + 2).await?;
                body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = field(&head, "content-length") {
            body = self.take(length.parse().unwrap()).await?;
        }
        Some(RawAnswer { head, body })
    }

    async fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.input.len() < length {
            self.fill().await?;
        }
        Some(self.input.drain(..length).collect())
    }

    async fn fill(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }
}

/// Changes the head of an answer.
pub(crate) type Change = fn(&str) -> String;

/// Stands between an entry and an upstream and changes the heads of answers.
pub(crate) struct Tampering {
    pub(crate) address: SocketAddr,
    change: Arc<Mutex<Option<Change>>>,
    changed: Arc<AtomicUsize>,
}

impl Tampering {
    pub(crate) fn start(upstream: SocketAddr) -> Tampering {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (change, changed) = (Arc::<Mutex<Option<Change>>>::default(), Arc::default());
        let tampering = Tampering { address, change, changed };
        let (change, changed) = (tampering.change.clone(), tampering.changed.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Ok(behind) = BlockingStream::connect(upstream) else { continue };
                let ways = (stream.try_clone().unwrap(), behind.try_clone().unwrap());
                std::thread::spawn(move || copy(ways.0, ways.1, |bytes| bytes));
                let (change, changed) = (change.clone(), changed.clone());
                std::thread::spawn(move || {
                    copy(behind, stream, |bytes| match *change.lock().unwrap() {
                        Some(change) if bytes.starts_with(b"HTTP/1.1 ") => {
                            changed.fetch_add(1, Ordering::SeqCst);
                            tamper(&bytes, change)
                        }
                        _ => bytes,
                    });
                });
            }
        });
        tampering
    }

    /// Sets what happens to the heads of later answers.
    pub(crate) fn set(&self, change: Option<Change>) {
        *self.change.lock().unwrap() = change;
    }

    /// Returns how many heads have been changed.
    pub(crate) fn changed(&self) -> usize {
        self.changed.load(Ordering::SeqCst)
    }
}

fn tamper(bytes: &[u8], change: Change) -> Vec<u8> {
    let end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let head = std::str::from_utf8(&bytes[..end]).unwrap();
    [change(head).as_bytes(), &bytes[end..]].concat()
}

fn copy(mut from: BlockingStream, mut to: BlockingStream, change: impl Fn(Vec<u8>) -> Vec<u8>) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if to.write_all(&change(buffer[..read].to_vec())).is_err() {
            break;
        }
    }
    // Either side may have closed its connection already.
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}

/// Forwards connections. While it is closed, it holds what is sent through it.
pub(crate) struct Gate {
    pub(crate) address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    is_open: Arc<AtomicBool>,
}

impl Gate {
    pub(crate) fn start(target: Option<SocketAddr>) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_open = Arc::new(AtomicBool::new(true));
        let gate = Gate { address, target: Arc::new(Mutex::new(target)), is_open };
        let (target, is_open) = (gate.target.clone(), gate.is_open.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (target, is_open) = (target.clone(), is_open.clone());
                std::thread::spawn(move || {
                    wait_for(&is_open);
                    let target = *target.lock().unwrap();
                    let Some(Ok(behind)) = target.map(BlockingStream::connect) else { return };
                    let ways = (stream.try_clone().unwrap(), behind.try_clone().unwrap());
                    let gate = is_open.clone();
                    std::thread::spawn(move || copy(ways.0, ways.1, |bytes| held(&gate, bytes)));
                    copy(behind, stream, |bytes| held(&is_open, bytes));
                });
            }
        });
        gate
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = Some(target);
    }

    pub(crate) fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::SeqCst);
    }
}

fn held(is_open: &AtomicBool, bytes: Vec<u8>) -> Vec<u8> {
    wait_for(is_open);
    bytes
}

fn wait_for(is_open: &AtomicBool) {
    while !is_open.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}
