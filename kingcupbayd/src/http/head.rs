//! Checks of the heads of answers.
//!
//! The library's decoder is lenient towards servers: it allows blanks after the name of a field,
//! takes some codings for no body, and expects its caller to compare the status and the length. An
//! answer that is passed on must have one meaning only. Its head is therefore checked as it was
//! received, before anything is decoded, and what the grammar of RFC 9112 does not allow a server
//! to send is an error.

use actix_http::{ResponseHead, h1::ClientCodec};
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Longest head of an answer, in bytes, with the informational heads before it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// There is no body.
    Bodiless,
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The body ends with its connection.
    UntilEnd,
}

/// The first line of a head.
#[derive(Clone, Copy, Debug)]
struct StatusLine {
    /// Invariant: 100 to 599.
    status: u16,
    /// Whether the version is HTTP/1.1, not HTTP/1.0.
    is_current: bool,
}

/// The heads that are read until one is not informational.
pub(super) struct Heads {
    check: HeadCheck,
    /// The request asks for the head of an answer only.
    to_head: bool,
    /// Bytes of the informational heads so far.
    skipped: usize,
}

impl Heads {
    pub(super) fn new(to_head: bool) -> Heads {
        Heads { check: HeadCheck::default(), to_head, skipped: 0 }
    }

    /// Decodes the next head that is not informational; `None` if more bytes are needed.
    pub(super) fn decode(
        &mut self,
        codec: &mut ClientCodec,
        input: &mut BytesMut,
    ) -> Result<Option<(ResponseHead, Framing)>, String> {
        loop {
            if !self.check.advance(input)? {
                return Ok(None);
            }
            let framing = self.check.framing(self.to_head)?;
            let before = input.len();
            let head = codec.decode(input).map_err(|error| error.to_string())?;
            let head = head.ok_or("the head is incomplete")?;
            if !self.check.is_informational() {
                return Ok(Some((head, framing)));
            }
            self.skipped += before - input.len();
            if self.skipped > MAX_HEAD_BYTES {
                return Err("the informational heads are too long".to_owned());
            }
            self.check = HeadCheck::default();
        }
    }
}

/// A head of which some lines have been received and checked.
#[derive(Debug, Default)]
struct HeadCheck {
    /// Bytes of the lines that have been checked.
    checked: usize,
    status_line: Option<StatusLine>,
    content_length: Option<u64>,
    is_chunked: bool,
}

impl HeadCheck {
    /// Checks the lines that `input` holds beyond those that have been checked. Returns whether
    /// the head is complete.
    fn advance(&mut self, input: &[u8]) -> Result<bool, &'static str> {
        while let Some(length) = input[self.checked..].iter().position(|&byte| byte == b'\n') {
            let line = &input[self.checked..self.checked + length];
            let line = line.strip_suffix(b"\r").ok_or("a line of the head ends without CR")?;
            self.checked += length + 1;
            if self.checked > MAX_HEAD_BYTES {
                break;
            }
            match self.status_line {
                None => self.status_line = Some(parse_status_line(line)?),
                Some(_) if line.is_empty() => return Ok(true),
                Some(line_before) => self.on_field(line, line_before)?,
            }
        }
        if input.len().max(self.checked) > MAX_HEAD_BYTES {
            return Err("the head is too long");
        }
        self.check_start(&input[self.checked..])?;
        Ok(false)
    }

    /// Checks the beginning of a line, so that bytes that are no answer are not waited for.
    fn check_start(&self, line: &[u8]) -> Result<(), &'static str> {
        match self.status_line {
            None => {
                let version = b"HTTP/1.";
                let length = line.len().min(version.len());
                if line[..length] == version[..length] { Ok(()) } else { Err(NO_ANSWER) }
            }
            Some(_) if matches!(line, [] | [b'\r']) => Ok(()),
            Some(_) => match line.iter().position(|&byte| byte == b':') {
                Some(end) => check_name(&line[..end]),
                None => check_name(line),
            },
        }
    }

    fn on_field(&mut self, line: &[u8], status_line: StatusLine) -> Result<(), &'static str> {
        let colon = line.iter().position(|&byte| byte == b':');
        let colon = colon.ok_or("a line of the head is not a field")?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        check_name(name)?;
        if !value.iter().all(|&byte| is_text(byte)) {
            return Err("the value of a field has a control character");
        }
        let value = value.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = parse_length(value).ok_or("the length is not a number")?;
            if self.content_length.replace(length).is_some() {
                return Err("there are two lengths");
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // An HTTP/1.0 server does not know what it means.
            let is_known = status_line.is_current && value.eq_ignore_ascii_case(b"chunked");
            if !is_known || std::mem::replace(&mut self.is_chunked, true) {
                return Err("the transfer coding is unknown");
            }
        }
        Ok(())
    }

    /// Returns whether the complete head is informational: another one follows.
    fn is_informational(&self) -> bool {
        self.status_line.is_some_and(|line| line.status < 200)
    }

    /// Returns how the body after the complete head ends. `to_head` says whether the request was
    /// one for a head only.
    fn framing(&self, to_head: bool) -> Result<Framing, &'static str> {
        let StatusLine { status, is_current } = self.status_line.ok_or(NO_ANSWER)?;
        let framing = match (self.is_chunked, self.content_length) {
            (true, Some(_)) => return Err("there are a length and a transfer coding"),
            (true, None) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilEnd,
        };
        match (status, framing) {
            // It was not asked for.
            (101, _) => Err("the protocol changes"),
            (..200, Framing::UntilEnd) if is_current => Ok(Framing::Bodiless),
            (..200, _) => Err("an informational head has a body"),
            (204, Framing::UntilEnd | Framing::Length(0)) => Ok(Framing::Bodiless),
            (204, _) | (205, Framing::Length(1..)) => Err("the status allows no body"),
            (304, _) => Ok(Framing::Bodiless),
            _ if to_head => Ok(Framing::Bodiless),
            _ => Ok(framing),
        }
    }
}

/// The error of bytes that do not begin like an answer.
const NO_ANSWER: &str = "the bytes are not an answer";

/// Parses a status line; the reason may be absent with the blank before it.
fn parse_status_line(line: &[u8]) -> Result<StatusLine, &'static str> {
    let (minor, rest) = match line.strip_prefix(b"HTTP/1.") {
        Some([minor @ (b'0' | b'1'), b' ', rest @ ..]) => (*minor, rest),
        _ => return Err(NO_ANSWER),
    };
    let (digits, reason) = rest.split_at_checked(3).ok_or("the status is not a number")?;
    let status = parse_length(digits).ok_or("the status is not a number")?;
    if !(100..=599).contains(&status) {
        return Err("the status does not exist");
    }
    let is_reason = matches!(reason, [] | [b' ', ..]) && reason.iter().all(|&byte| is_text(byte));
    if !is_reason {
        return Err("the status line is malformed");
    }
    Ok(StatusLine { status: status as u16, is_current: minor == b'1' })
}

/// Parses a number of decimal digits only.
fn parse_length(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Checks that the name of a field is a token.
fn check_name(name: &[u8]) -> Result<(), &'static str> {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    match !name.is_empty() && name.iter().all(|&byte| is_token(byte)) {
        true => Ok(()),
        false => Err("the name of a field is malformed"),
    }
}

/// Returns whether a byte may be part of a value or a reason.
fn is_text(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}
