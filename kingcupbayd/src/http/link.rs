//! One connection to an upstream, another daemon or the store.
//!
//! The library's codec parses the bytes once their head has been checked, but its
//! client is not used: an answer may be passed on to a caller only when it provably
//! belongs to the caller's request and is complete. The client hides both, as it
//! takes the end of a connection for the end of a body, and a surplus answer for the
//! answer to the next request.

use std::{io, net::SocketAddr, time::Duration};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::HeaderMap,
};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use kingcupbay_core::time::{Instant, Span};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder};

use super::head::{Framing, Heads};
use crate::clock;

/// Time to connect. Within a region a connection takes a few milliseconds; the
/// kernel retransmits a lost SYN only after a second.
const CONNECT_TIMEOUT: Span = Span::from_millis(600);

/// Time after which unacknowledged bytes end the connection.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The same while a long request is sent. The kernel also counts the time in which a sound
/// server that is silent for a while leaves no room for more bytes.
const LONG_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that any server's kernel takes although the server reads nothing.
const SHORT_REQUEST_BYTES: usize = 16 << 10;

/// Silence before the kernel's first keep-alive probe, and the pause between
/// probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection. The second one detects a connection
/// that a device on the path no longer tracks.
const MAX_PROBES: u32 = 2;

/// Bytes read at a time. An engine's events are far smaller.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Bytes of an answer that the kernel keeps until they are read. With its usual limit of
/// megabytes, the answers of a few hundred slow callers exceed an entry's memory. The kernel
/// doubles the value for its own structures.
const RECEIVE_BUFFER_BYTES: usize = 24 << 10;

/// Bytes read in a row that hold none of the body, such as the extensions of a chunk.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Bytes of an answer to another request that are skipped.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Why an exchange has no complete answer.
#[derive(Debug)]
#[derive(Error)]
pub enum LinkError {
    /// No connection was made, so the request was certainly not sent.
    #[error("no connection: {0}")]
    Unsent(io::Error),
    /// The connection failed after bytes of the request may have been sent.
    #[error("the connection failed: {0}")]
    Lost(io::Error),
    /// The connection ended before the answer did.
    #[error("the answer ended early")]
    Early,
    /// The bytes are not a valid HTTP answer.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
    /// A success came without a proof that an upstream made it.
    #[error("the answer is malformed: no proof")]
    Unproved,
    /// No complete answer arrived in time.
    #[error("no answer in time")]
    Silent,
    /// There was no memory for the answer.
    #[error("no memory for the answer")]
    NoRoom,
}

impl LinkError {
    /// Whether the request was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, LinkError::Unsent(_))
    }
}

/// State of the parser.
enum Parser {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body of which this many bytes are missing, and which the library does not expect.
    Length(ClientCodec, u64),
    /// A body without a length, which ends with the connection.
    UntilEnd(ClientCodec),
}

/// An HTTP/1.1 client connection that carries one request at a time.
pub struct Link {
    stream: TcpStream,
    /// Whether the kernel detects a dead peer.
    is_probed: bool,
    input: BytesMut,
    /// Taken only during a call; always set between two calls.
    parser: Option<Parser>,
    /// The request has been written completely.
    request_written: bool,
    /// Why the rest of the request could not be written.
    write_error: Option<io::Error>,
    /// The request asks for the head of an answer only.
    to_head: bool,
    /// The last answer allows another request.
    reusable: bool,
    /// A request was sent whose answer has not been read to its end.
    unfinished: bool,
    /// Called if the connection is given up before the answer has been read to its end. Tells
    /// whether the server has closed it by then. Nobody is called if reading has shown that.
    pub(crate) on_given_up: Option<Box<dyn FnOnce(bool)>>,
    /// The connection has carried a request.
    pub(crate) used: bool,
    /// Until when the idle connection may be used again.
    pub(crate) idle_until: Instant,
}

impl Link {
    /// Opens a connection to `address`. Fails with [`LinkError::Unsent`].
    pub async fn open(address: SocketAddr) -> Result<Link, LinkError> {
        let connecting = TcpStream::connect(address);
        let stream = match clock::timeout(CONNECT_TIMEOUT, connecting).await {
            Some(stream) => stream.map_err(LinkError::Unsent)?,
            None => return Err(LinkError::Unsent(io::ErrorKind::TimedOut.into())),
        };
        configure_socket(&stream).map_err(LinkError::Unsent)?;
        Ok(Link::new(stream, true))
    }

    /// Opens a connection to `address`, a host and a port, within `timeout`. A dead peer shows only
    /// by its silence. Fails with [`LinkError::Unsent`].
    pub(crate) async fn connect(address: &str, timeout: Span) -> Result<Link, LinkError> {
        let stream = match clock::timeout(timeout, TcpStream::connect(address)).await {
            Some(stream) => stream.map_err(LinkError::Unsent)?,
            None => return Err(LinkError::Unsent(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(LinkError::Unsent)?;
        Ok(Link::new(stream, false))
    }

    fn new(stream: TcpStream, is_probed: bool) -> Link {
        Link {
            stream,
            is_probed,
            input: BytesMut::with_capacity(READ_BUFFER_BYTES),
            parser: Some(Parser::Head(ClientCodec::default())),
            request_written: true,
            write_error: None,
            to_head: false,
            reusable: false,
            unfinished: false,
            on_given_up: None,
            used: false,
            idle_until: Instant::default(),
        }
    }

    /// Whether an idle connection is still open and has received no bytes, which
    /// would belong to no request.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0; 1];
        let open = self.stream.try_read(&mut byte);
        self.input.is_empty()
            && matches!(open, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the answer, both at the same time:
    /// an upstream may answer before it has read a long body.
    ///
    /// Fails if the path is invalid, or if the connection ends or fails before
    /// the head is complete.
    pub async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: &[u8],
    ) -> Result<ResponseHead, LinkError> {
        let is_long = body.len() > SHORT_REQUEST_BYTES;
        self.to_head = method == Method::HEAD;
        let output = self.encode(method, path, headers, body)?;
        self.request_written = false;
        self.reusable = false;
        self.unfinished = true;
        if is_long && self.is_probed {
            self.set_ack_timeout(LONG_REQUEST_TIMEOUT).map_err(LinkError::Unsent)?;
        }
        let (mut reader, mut writer) = self.stream.split();
        let Some(Parser::Head(mut codec)) = self.parser.take() else {
            unreachable!("a connection carries one request at a time");
        };
        let mut writing = std::pin::pin!(async {
            writer.write_all(&output).await?;
            // A copy behind the head would take as much memory again.
            if is_long { writer.write_all(body).await } else { Ok(()) }
        });
        let mut heads = Heads::new(self.to_head);
        let mut is_writing = true;
        let (head, framing) = loop {
            if let Some(head) =
                heads.decode(&mut codec, &mut self.input).map_err(LinkError::Malformed)?
            {
                break head;
            }
            self.input.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                wrote = &mut writing, if is_writing => {
                    // The answer may have arrived although the rest of the
                    // request could not be written.
                    is_writing = false;
                    self.request_written = wrote.is_ok();
                    self.write_error = wrote.err();
                }
                read = reader.read_buf(&mut self.input) => match read {
                    Ok(1..) => {}
                    Ok(0) => return Err(self.on_early_end()),
                    Err(error) => return Err(self.on_lost(error)),
                }
            }
        };
        if is_long && self.is_probed {
            // If this fails, a dead connection is noticed later.
            let _ = self.set_ack_timeout(ACK_TIMEOUT);
        }
        self.used = true;
        self.reusable = self.request_written && codec.keep_alive() && head.keep_alive();
        self.parser = Some(body_parser(codec, framing));
        Ok(head)
    }

    /// Reads the next part of the body; `None` after its proper end. Fails if
    /// the connection ends or fails before that.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, LinkError> {
        let mut received = 0;
        loop {
            match self.parser.as_mut().expect("there between two calls") {
                Parser::Head(_) => {
                    self.unfinished = false;
                    self.on_given_up = None;
                    return Ok(None);
                }
                Parser::UntilEnd(_) => {
                    if !self.input.is_empty() {
                        return Ok(Some(self.input.split().freeze()));
                    }
                }
                Parser::Length(_, 0) => {
                    self.end_body();
                    return Ok(None);
                }
                Parser::Length(_, missing) => {
                    if !self.input.is_empty() {
                        let length = (self.input.len() as u64).min(*missing);
                        *missing -= length;
                        return Ok(Some(self.input.split_to(length as usize).freeze()));
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
            if received > MAX_FRAMING_BYTES {
                return Err(LinkError::Malformed("the body's framing is too long".to_owned()));
            }
            self.input.reserve(READ_BUFFER_BYTES);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) => return self.on_end(),
                Ok(bytes) => received += bytes,
                Err(error) => return Err(self.on_lost(error)),
            }
        }
    }

    /// Skips the rest of an answer and reads the head of the answer after it.
    pub(crate) async fn next_head(&mut self) -> Result<ResponseHead, LinkError> {
        let mut skipped = 0;
        while let Some(chunk) = self.chunk().await? {
            skipped += chunk.len();
            if skipped > MAX_SKIPPED_BYTES {
                return Err(LinkError::Malformed(
                    "another request's answer is too long".to_owned(),
                ));
            }
        }
        let Some(Parser::Head(mut codec)) = self.parser.take() else {
            return Err(LinkError::Early);
        };
        let mut heads = Heads::new(self.to_head);
        let (head, framing) = loop {
            if let Some(head) =
                heads.decode(&mut codec, &mut self.input).map_err(LinkError::Malformed)?
            {
                break head;
            }
            self.input.reserve(READ_BUFFER_BYTES);
            match self.stream.read_buf(&mut self.input).await {
                Ok(1..) => {}
                Ok(0) => return Err(self.on_early_end()),
                Err(error) => return Err(self.on_lost(error)),
            }
        };
        // An upstream that sent one surplus answer may send another.
        self.reusable = false;
        self.parser = Some(body_parser(codec, framing));
        Ok(head)
    }

    /// Whether the connection can carry another request: its answer has been
    /// read completely, and nothing follows it.
    pub fn is_reusable(&self) -> bool {
        self.is_at_end() && self.reusable && self.input.is_empty()
    }

    /// Returns whether nothing of the answer is missing, or there is none.
    pub(crate) fn is_at_end(&self) -> bool {
        matches!(self.parser, Some(Parser::Head(_)))
    }

    /// Returns whether the body of the answer has no length and ends with the connection.
    pub(crate) fn is_unframed(&self) -> bool {
        matches!(self.parser, Some(Parser::UntilEnd(_)))
    }

    /// Whether the server has closed the connection, as far as the kernel knows.
    fn is_closed(&self) -> bool {
        if let Some(error) = &self.write_error {
            return is_by_server(error);
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match socket2::SockRef::from(&self.stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// Makes a new connection that has carried no request reusable.
    pub(crate) fn keep_unused(&mut self) {
        self.reusable = !self.used;
    }

    /// Closes the connection once the answer that is being read has ended.
    pub(crate) fn forbid_reuse(&mut self) {
        self.reusable = false;
    }

    fn set_ack_timeout(&self, timeout: Duration) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))
    }

    /// Handles the end of the connection while a body is read.
    fn on_end(&mut self) -> Result<Option<Bytes>, LinkError> {
        self.reusable = false;
        // The kernel gives an error of the connection to one call only. If writing took it, reading
        // shows a plain end, also where the server has reset the connection. A write after the
        // server's proper end fails with a broken pipe.
        let is_proper =
            self.write_error.as_ref().is_none_or(|error| error.kind() == io::ErrorKind::BrokenPipe);
        match self.parser.take() {
            Some(Parser::UntilEnd(codec)) if is_proper => {
                self.parser = Some(Parser::Head(codec));
                self.unfinished = false;
                self.on_given_up = None;
                Ok(None)
            }
            other => {
                self.parser = other;
                Err(self.on_early_end())
            }
        }
    }

    /// Returns the error of an answer before whose end the connection has ended.
    fn on_early_end(&mut self) -> LinkError {
        self.on_given_up = None;
        match self.write_error.take() {
            Some(error) => LinkError::Lost(error),
            None => LinkError::Early,
        }
    }

    /// Returns the error of a connection that cannot be read.
    fn on_lost(&mut self, error: io::Error) -> LinkError {
        self.on_given_up = None;
        LinkError::Lost(error)
    }

    fn end_body(&mut self) {
        let codec = match self.parser.take() {
            Some(Parser::Body(codec)) => codec.into_message_codec(),
            Some(Parser::Length(codec, _)) => codec,
            other => {
                self.parser = other;
                return;
            }
        };
        self.parser = Some(Parser::Head(codec));
        self.unfinished = false;
        self.on_given_up = None;
    }

    /// Encodes a request, with its body if that is short.
    fn encode(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: &[u8],
    ) -> Result<BytesMut, LinkError> {
        let mut head = RequestHead::default();
        head.method = method;
        head.uri =
            path.parse().map_err(|_| LinkError::Unsent(io::ErrorKind::InvalidInput.into()))?;
        head.headers = headers;
        let size = match (body.is_empty(), &head.method) {
            (true, &Method::POST | &Method::PUT | &Method::PATCH) => BodySize::Sized(0),
            (true, _) => BodySize::None,
            (false, _) => BodySize::Sized(body.len() as u64),
        };
        let copied = if body.len() > SHORT_REQUEST_BYTES { &[] } else { body };
        let mut output = BytesMut::with_capacity(1_024 + copied.len());
        let Some(Parser::Head(codec)) = &mut self.parser else {
            unreachable!("a connection carries one request at a time");
        };
        let item = Message::Item((RequestHeadType::Owned(head), size));
        codec.encode(item, &mut output).map_err(LinkError::Unsent)?;
        output.extend_from_slice(copied);
        Ok(output)
    }
}

impl Drop for Link {
    /// Resets the connection if its request was given up. While the network to
    /// an upstream is down, the kernel keeps the written bytes and would deliver
    /// them once it is up again, seconds after the caller left, and the upstream
    /// would run the request for nobody. A reset discards those bytes at once.
    fn drop(&mut self) {
        if self.unfinished {
            if let Some(on_given_up) = self.on_given_up.take() {
                on_given_up(self.is_closed());
            }
            // If this fails, the connection is closed normally.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Returns the parser for the body that follows a head.
fn body_parser(codec: ClientCodec, framing: Framing) -> Parser {
    // The library expects a body where there is none, and none where the server offers to change
    // the protocol. A new codec keeps nothing of the body that it expects.
    let is_expected = codec.message_type() != MessageType::None;
    let reset = |codec| if is_expected { ClientCodec::default() } else { codec };
    match framing {
        Framing::Bodiless | Framing::Length(0) => Parser::Head(reset(codec)),
        Framing::Length(length) if !is_expected => Parser::Length(codec, length),
        Framing::Length(_) | Framing::Chunked => Parser::Body(codec.into_payload_codec()),
        Framing::UntilEnd => Parser::UntilEnd(reset(codec)),
    }
}

/// Returns whether an error of writing shows that the server has closed the connection.
fn is_by_server(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
}

/// Configures the socket so that the kernel detects a dead peer.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
