//! One connection to an upstream, another daemon or the store.
//!
//! The bytes are parsed by the library's codec, but the connection is ours:
//! what it carries is passed on to callers only when it provably belongs to
//! their request and is whole, and a library's client hides both (it takes the
//! end of a connection for the end of a body, and an answer too many for the
//! next one).

use std::{io, net::SocketAddr, time::Duration};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{self, HeaderMap},
};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use kingcupbay_core::time::Instant;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder};

/// Time to connect. Within a region a connection takes some milliseconds; the
/// kernel's first repetition of a lost opening comes after a second.
const CONNECT: Duration = Duration::from_millis(600);

/// Bytes that nobody acknowledges end the connection after this.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);

/// Silence after which the kernel asks whether the other side is there, and
/// the pause between such probes. A connection that something in between lost
/// track of is found after the second probe without an answer.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Bytes read at a time: an engine's events are far smaller.
const READ: usize = 8 << 10;

/// Longest head of an answer.
const HEAD_MAX: usize = 64 << 10;

/// Why an exchange has no whole answer.
#[derive(Debug)]
#[derive(Error)]
pub enum LinkError {
    /// No connection came about, so the request provably never left.
    #[error("no connection: {0}")]
    Unsent(io::Error),
    /// The connection failed after bytes of the request may have left.
    #[error("the connection failed: {0}")]
    Lost(io::Error),
    /// The connection ended before the answer did.
    #[error("the answer ended early")]
    Early,
    /// The bytes are no answer.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
    /// Nothing came in time.
    #[error("no answer in time")]
    Silent,
}

impl LinkError {
    /// Whether the request provably never left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, LinkError::Unsent(_))
    }
}

/// What the parser is at.
enum Parser {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body without a length, which ends with the connection.
    UntilEnd(ClientCodec),
}

/// A connection.
pub struct Link {
    stream: TcpStream,
    input: BytesMut,
    /// Always there between two calls.
    parser: Option<Parser>,
    /// No part of the request is left to be written.
    written: bool,
    /// The last answer allows another request.
    reusable: bool,
    /// A request was sent whose answer has not been read to its end.
    unfinished: bool,
    /// Used before.
    pub(crate) used: bool,
    /// Until when an idle connection is taken to be open.
    pub(crate) fresh_until: Instant,
}

impl Link {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Link, LinkError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT, connecting).await {
            Ok(stream) => stream.map_err(LinkError::Unsent)?,
            Err(_) => return Err(LinkError::Unsent(io::ErrorKind::TimedOut.into())),
        };
        watch(&stream).map_err(LinkError::Unsent)?;
        Ok(Link {
            stream,
            input: BytesMut::with_capacity(READ),
            parser: Some(Parser::Head(ClientCodec::default())),
            written: true,
            reusable: false,
            unfinished: false,
            used: false,
            fresh_until: Instant::default(),
        })
    }

    /// Whether a pooled connection is still open and silent. Bytes that came
    /// meanwhile belong to no request.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0; 1];
        let open = self.stream.try_read(&mut byte);
        self.input.is_empty()
            && matches!(open, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the answer. Upstreams may answer
    /// before they have read a long body, so both go on at the same time.
    pub async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: &[u8],
    ) -> Result<ResponseHead, LinkError> {
        let output = self.encode(method, path, headers, body)?;
        self.written = false;
        self.reusable = false;
        self.unfinished = true;
        let (mut reader, mut writer) = self.stream.split();
        let Some(Parser::Head(mut codec)) = self.parser.take() else {
            unreachable!("a connection carries one request at a time");
        };
        let mut writing = std::pin::pin!(writer.write_all(&output));
        let head = loop {
            if let Some(head) = decode_head(&mut codec, &mut self.input)? {
                break head;
            }
            self.input.reserve(READ);
            tokio::select! {
                biased;
                wrote = &mut writing, if !self.written => {
                    // An answer may be there although the rest was refused.
                    self.written = true;
                    if wrote.is_err() {
                        self.reusable = false;
                    }
                }
                read = reader.read_buf(&mut self.input) => match read {
                    Ok(0) => return Err(LinkError::Early),
                    Ok(_) => {}
                    Err(error) => return Err(LinkError::Lost(error)),
                }
            }
        };
        self.used = true;
        self.reusable = self.written && codec.keep_alive() && head.keep_alive();
        self.parser = Some(body_parser(codec, &head));
        Ok(head)
    }

    /// The next part of the body; `None` after its proper end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, LinkError> {
        loop {
            match self.parser.as_mut().expect("there between two calls") {
                Parser::Head(_) => {
                    self.unfinished = false;
                    return Ok(None);
                }
                Parser::UntilEnd(_) => {
                    if !self.input.is_empty() {
                        return Ok(Some(self.input.split().freeze()));
                    }
                }
                Parser::Body(codec) => match codec.decode(&mut self.input) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        self.end_body();
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(error) => return Err(LinkError::Malformed(error.to_string())),
                },
            }
            self.input.reserve(READ);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) => return self.on_end(),
                Ok(_) => {}
                Err(error) => return Err(LinkError::Lost(error)),
            }
        }
    }

    /// Skips the rest of an answer and reads the head of the one behind it.
    pub(crate) async fn next_head(&mut self) -> Result<ResponseHead, LinkError> {
        while self.chunk().await?.is_some() {}
        let Some(Parser::Head(mut codec)) = self.parser.take() else {
            return Err(LinkError::Early);
        };
        let head = loop {
            if let Some(head) = decode_head(&mut codec, &mut self.input)? {
                break head;
            }
            self.input.reserve(READ);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) => return Err(LinkError::Early),
                Ok(_) => {}
                Err(error) => return Err(LinkError::Lost(error)),
            }
        };
        // What sent one answer too many may send another.
        self.reusable = false;
        self.parser = Some(body_parser(codec, &head));
        Ok(head)
    }

    /// Whether the connection can carry another request: its answer is whole,
    /// and nothing follows it.
    pub fn is_reusable(&self) -> bool {
        let done = matches!(self.parser, Some(Parser::Head(_)));
        done && self.reusable && self.input.is_empty()
    }

    fn on_end(&mut self) -> Result<Option<Bytes>, LinkError> {
        self.reusable = false;
        match self.parser.take() {
            Some(Parser::UntilEnd(codec)) => {
                self.parser = Some(Parser::Head(codec));
                self.unfinished = false;
                Ok(None)
            }
            other => {
                self.parser = other;
                Err(LinkError::Early)
            }
        }
    }

    fn end_body(&mut self) {
        let Some(Parser::Body(codec)) = self.parser.take() else { return };
        self.parser = Some(Parser::Head(codec.into_message_codec()));
        self.unfinished = false;
    }

    fn encode(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: &[u8],
    ) -> Result<BytesMut, LinkError> {
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = path.parse().map_err(|_| LinkError::Malformed("the path".to_owned()))?;
        head.headers = headers;
        let size = match (body.is_empty(), &head.method) {
            (true, &Method::POST | &Method::PUT | &Method::PATCH) => BodySize::Sized(0),
            (true, _) => BodySize::None,
            (false, _) => BodySize::Sized(body.len() as u64),
        };
        let mut output = BytesMut::with_capacity(1_024 + body.len());
        let Some(Parser::Head(codec)) = &mut self.parser else {
            unreachable!("a connection carries one request at a time");
        };
        let item = Message::Item((RequestHeadType::Owned(head), size));
        codec.encode(item, &mut output).map_err(LinkError::Unsent)?;
        output.extend_from_slice(body);
        Ok(output)
    }
}

impl Drop for Link {
    /// A request that is given up must not arrive any more. While the way to an
    /// upstream is cut, the kernel keeps what was written and would deliver it
    /// when the way is back, seconds after the caller left; the upstream would
    /// work for nobody. A reset drops those bytes at once.
    fn drop(&mut self) {
        if self.unfinished {
            // Where this fails the connection is closed in the usual way.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Reads heads until one is not informational.
fn decode_head(
    codec: &mut ClientCodec,
    input: &mut BytesMut,
) -> Result<Option<ResponseHead>, LinkError> {
    loop {
        let head = codec.decode(input).map_err(|error| LinkError::Malformed(error.to_string()))?;
        match head {
            Some(head) if head.status.is_informational() => {}
            Some(head) => return Ok(Some(head)),
            None if input.len() > HEAD_MAX => {
                return Err(LinkError::Malformed("the head is too long".to_owned()));
            }
            None => return Ok(None),
        }
    }
}

/// The library reads no body where the head names no length. An upstream may
/// end one with the connection, though.
fn body_parser(codec: ClientCodec, head: &ResponseHead) -> Parser {
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let bodiless = matches!(head.status.as_u16(), 204 | 304);
    match codec.message_type() {
        MessageType::None if framed || bodiless => Parser::Head(codec),
        MessageType::None => Parser::UntilEnd(codec),
        MessageType::Payload | MessageType::Stream => Parser::Body(codec.into_payload_codec()),
    }
}

/// Makes the kernel find out by itself that the other side is gone.
fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes =
        socket2::TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
