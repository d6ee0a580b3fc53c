//! Answers that break the grammar of HTTP/1.1, which must not reach a caller as answers.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    get_text,
    raw::{Ending, RawAnswer, RawCaller, RawUpstream},
    registered::{Fleet, PLAIN_SERVICE},
    wait_until,
};
use futures_util::{StreamExt, stream};

/// Body of the upstream's answers.
const BODY: &str = "{\"verdict\": \"first prize\", \"points\": 97}";

/// Shapes that are tried at the same time, each with an entry of its own.
const SHAPES_AT_ONCE: usize = 8;

/// An answer of an upstream; `@` in it stands for the fields that prove it.
#[derive(Clone)]
struct Shape {
    name: &'static str,
    bytes: Vec<u8>,
    ending: Ending,
}

impl Shape {
    /// Returns an answer of status 200 with `fields`, each with its end of line, and a body.
    fn fields(name: &'static str, fields: &str, body: &str) -> Shape {
        Shape::raw(name, format!("HTTP/1.1 200 OK\r\n@{fields}\r\n{body}"))
    }

    fn raw(name: &'static str, bytes: impl Into<Vec<u8>>) -> Shape {
        Shape { name, bytes: bytes.into(), ending: Ending::Keep }
    }

    /// Returns an answer with `line` as its first one, a length and a body.
    fn status(name: &'static str, line: &str) -> Shape {
        Shape::raw(name, format!("{line}\r\n@content-length: {}\r\n\r\n{BODY}", BODY.len()))
    }

    fn closed(mut self) -> Shape {
        self.ending = Ending::Close;
        self
    }

    /// Returns the answer to the request with the attempt id `attempt`.
    fn answer(&self, attempt: &str) -> Vec<u8> {
        let proof = format!("x-attempt-id: {attempt}\r\nx-response-stamp: stamp\r\n");
        let at = self.bytes.iter().position(|&byte| byte == b'@');
        let Some(at) = at else { return self.bytes.clone() };
        [&self.bytes[..at], proof.as_bytes(), &self.bytes[at + 1..]].concat()
    }
}

/// Sends one request to an upstream that answers with `shape`, and then another one on the same
/// connection, which the entry answers by itself. Returns what the caller gets for the first.
async fn play(shape: &Shape) -> Option<RawAnswer> {
    let answered = shape.clone();
    let upstream = RawUpstream::start(move |_| answered.answer("e1"), shape.ending);
    let fleet = Fleet::start(1).await;
    fleet.store.put("servers", "desk-0", &upstream.row(PLAIN_SERVICE, "v1"));
    fleet.wait_until_ready().await;
    let mut caller = RawCaller::connect(fleet.entry.address("callers")).await;
    caller.send("POST /book/seat", "x-attempt-id: e1\r\n", b"a table for two").await;
    let got = caller.read().await;
    if got.is_some() {
        caller.send("GET /nowhere", "x-attempt-id: e2\r\n", b"").await;
        let next = caller.read().await.map(|next| next.status());
        assert_eq!(next, Some(404), "{}: the next answer after {got:?}", shape.name);
    }
    assert_eq!(upstream.heads("/book/seat").len(), 1, "{}", shape.name);
    if got.as_ref().is_some_and(|got| got.status() == 502) {
        let counts = get_text(&fleet.entry, "/metrics").await;
        let line = "kingcupbay_malformed_answers_total 1";
        assert!(shape.ending == Ending::Close || counts.contains(line), "{}", shape.name);
        // Bytes that follow a broken answer belong to no request.
        wait_until("the connection to close", async || {
            (upstream.open_connections() == 0).then_some(())
        })
        .await;
    }
    got
}

async fn play_all(shapes: Vec<Shape>) -> Vec<(Shape, Option<RawAnswer>)> {
    let plays = shapes.into_iter().map(async |shape| {
        let got = play(&shape).await;
        (shape, got)
    });
    stream::iter(plays).buffered(SHAPES_AT_ONCE).collect().await
}

/// Guards against passing an answer on whose head is not one.
async fn assert_refused(shapes: Vec<Shape>) {
    let all = play_all(shapes).await;
    let passed: Vec<String> = all
        .iter()
        .filter(|(_, got)| {
            let got = got.as_ref();
            got.is_none_or(|got| got.status() != 502 || got.head.contains("x-response-stamp"))
        })
        .map(|(shape, got)| format!("{}: {got:?}", shape.name))
        .collect();
    assert!(passed.is_empty(), "{} of {}:\n{}", passed.len(), all.len(), passed.join("\n"));
}

/// The body in chunks.
fn in_chunks() -> String {
    format!("28\r\n{BODY}\r\n0\r\n\r\n")
}

/// A field that gives the length of the body.
fn length() -> String {
    format!("content-length: {}\r\n", BODY.len())
}

/// Guards against a body of another length than the upstream's.
#[actix_rt::test]
async fn answers_with_a_spoilt_length_are_refused() {
    let with = |name, field: &str| Shape::fields(name, &format!("{field}\r\n"), BODY);
    assert_refused(vec![
        with("a blank before the colon", "content-length : 12"),
        with("a tab before the colon", "content-length\t: 12"),
        with("empty", "content-length: "),
        with("negative", "content-length: -40"),
        with("signed", "content-length: +40"),
        with("a list", "content-length: 40, 40"),
        with("twice", "content-length: 40\r\ncontent-length: 40"),
        with("two lengths", "content-length: 40\r\ncontent-length: 12"),
        with("hexadecimal", "content-length: 0x28"),
        with("a blank inside", "content-length: 4 0"),
        with("a word", "content-length: forty"),
        with("too long", "content-length: 99999999999999999999999"),
        with("a length and chunks", "content-length: 40\r\ntransfer-encoding: chunked"),
        with("identity", "transfer-encoding: identity").closed(),
        with("a length and identity", "content-length: 40\r\ntransfer-encoding: identity"),
        with("another coding", "transfer-encoding: gzip").closed(),
        with("two codings", "transfer-encoding: gzip, chunked").closed(),
        with("no coding", "transfer-encoding: ").closed(),
        with("a blank before the colon of a coding", "transfer-encoding : chunked").closed(),
        Shape::raw(
            "chunks of HTTP/1.0",
            format!(
                "HTTP/1.0 200 OK\r\n@transfer-encoding: chunked\r\n\r\n28\r\n{BODY}\r\n0\r\n\r\n"
            ),
        )
        .closed(),
    ])
    .await;
}

/// Guards against a line that is not a field, and is passed on or hides one.
#[actix_rt::test]
async fn answers_with_a_line_that_is_no_field_are_refused() {
    let with = |name, line: &str| Shape::fields(name, &format!("{line}\r\n{}", length()), BODY);
    let bytes = |name, line: &[u8]| {
        let head = b"HTTP/1.1 200 OK\r\n@";
        let rest = format!("\r\n{}\r\n{BODY}", length());
        Shape::raw(name, [head, line, rest.as_bytes()].concat())
    };
    assert_refused(vec![
        with("a blank before the colon", "x-note : a"),
        with("a tab before the colon", "x-note\t: a"),
        with("no colon", "x-note"),
        with("no name", ": a"),
        with("a folded line", "x-note: a\r\n b"),
        with("a blank first line", " x-note: a"),
        with("a blank in the name", "x note: a"),
        with("a separator in the name", "x(note): a"),
        bytes("a control byte in the name", b"x-\x01note: a"),
        bytes("NUL in the name", b"x-\0note: a"),
        bytes("DEL in the name", b"x-\x7fnote: a"),
        bytes("a high bit in the name", b"x-\xe9note: a"),
        bytes("NUL in the value", b"x-note: a\0b"),
        bytes("a control byte in the value", b"x-note: a\x08b"),
        bytes("CR in the value", b"x-note: a\rb"),
        bytes("a form feed before the value", b"x-note:\x0ca"),
        bytes("a line that ends without CR", b"x-note: a\nx-other: b"),
        Shape::fields("a long name", &format!("{}: a\r\n{}", "x".repeat(66_000), length()), BODY),
        Shape::fields("a long value", &format!("x: {}\r\n{}", "a".repeat(66_000), length()), BODY),
        Shape::raw(
            "a refusal",
            format!(
                "HTTP/1.1 503 Busy\r\n@x-not-executed: 1\r\nx-note : a\r\n{}\r\n{BODY}",
                length()
            ),
        ),
        Shape::raw(
            "an informational head",
            format!(
                "HTTP/1.1 103 Hints\r\nx-note : a\r\n\r\nHTTP/1.1 200 OK\r\n@{}\r\n{BODY}",
                length()
            ),
        ),
    ])
    .await;
}

/// Guards against a status that is none, and against a body where the status has none.
#[actix_rt::test]
async fn answers_with_a_spoilt_status_are_refused() {
    assert_refused(vec![
        Shape::status("000", "HTTP/1.1 000 OK"),
        Shape::status("099", "HTTP/1.1 099 OK"),
        Shape::status("20", "HTTP/1.1 20 OK"),
        Shape::status("2000", "HTTP/1.1 2000 OK"),
        Shape::status("600", "HTTP/1.1 600 OK"),
        Shape::status("999", "HTTP/1.1 999 OK"),
        Shape::status("a word", "HTTP/1.1 OK"),
        Shape::status("two blanks", "HTTP/1.1  200 OK"),
        Shape::status("a control byte in the reason", "HTTP/1.1 200 O\x01K"),
        Shape::status("HTTP/1.2", "HTTP/1.2 200 OK"),
        Shape::status("HTTP/2.0", "HTTP/2.0 200 OK"),
        Shape::status("another protocol", "ICY 200 OK"),
        Shape::status("a blank line before it", "\r\nHTTP/1.1 200 OK"),
        Shape::status("101", "HTTP/1.1 101 Switching Protocols"),
        Shape::status("204 with a body", "HTTP/1.1 204 No Content"),
        Shape::status("205 with a body", "HTTP/1.1 205 Reset Content"),
        Shape::raw(
            "204 with chunks",
            format!(
                "HTTP/1.1 204 None\r\n@transfer-encoding: chunked\r\n\r\n28\r\n{BODY}\r\n0\r\n\r\n"
            ),
        ),
        Shape::raw(
            "an informational head with a length",
            format!(
                "HTTP/1.1 103 Hints\r\ncontent-length: 2\r\n\r\nHTTP/1.1 200 OK\r\n@{}\r\n{BODY}",
                length()
            ),
        ),
        Shape::raw(
            "an informational head of HTTP/1.0",
            format!("HTTP/1.0 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n@{}\r\n{BODY}", length()),
        ),
    ])
    .await;
}

/// Guards against a body that is cut by its framing.
#[actix_rt::test]
async fn answers_with_spoilt_chunks_are_refused() {
    let with = |name, body: String| Shape::fields(name, "transfer-encoding: chunked\r\n", &body);
    assert_refused(vec![
        with("no size", format!("\r\n{BODY}\r\n0\r\n\r\n")),
        with("a size that is none", format!("2x\r\n{BODY}\r\n0\r\n\r\n")),
        with("a size too small", format!("12\r\n{BODY}\r\n0\r\n\r\n")),
        with("no end of a chunk", format!("28\r\n{BODY}0\r\n\r\n")),
        with("no last chunk", format!("28\r\n{BODY}\r\n")).closed(),
        with("no end", format!("28\r\n{BODY}\r\n0\r\n")).closed(),
        with("a chunk that ends early", format!("40\r\n{BODY}")).closed(),
    ])
    .await;
}

/// Guards against refusing what HTTP/1.1 allows.
#[actix_rt::test]
async fn unusual_answers_are_passed_on() {
    let with = |name, fields: &str| Shape::fields(name, &format!("{fields}{}", length()), BODY);
    let many: String = (0..90).map(|number| format!("x-{number}: a\r\n")).collect();
    let chunks = |name, body: &str| Shape::fields(name, "transfer-encoding: chunked\r\n", body);
    let mut bytes = b"HTTP/1.1 200 OK\r\n@x-note: \xe9t\xe9\r\n".to_vec();
    bytes.extend(format!("{}\r\n{BODY}", length()).into_bytes());
    let all = play_all(vec![
        Shape::status("no reason", "HTTP/1.1 200 "),
        Shape::status("no blank after the status", "HTTP/1.1 200"),
        Shape::status("HTTP/1.0", "HTTP/1.0 200 OK"),
        Shape::raw("HTTP/1.0 until the end", format!("HTTP/1.0 200 OK\r\n@\r\n{BODY}")).closed(),
        Shape::fields("until the end", "", BODY).closed(),
        with("many fields", &many),
        with("an empty value", "x-note:\r\n"),
        with("no blank after the colon", "x-note:a\r\n"),
        with("tabs around a value", "x-note:\ta\tb\t\r\n"),
        with("every character of a name", "!#$%&'*+-.^_`|~09azAZ: a\r\n"),
        Shape::raw("a high bit in a value", bytes),
        Shape::fields("a length between blanks", "Content-Length: \t 040 \r\n", BODY),
        with("an offer to upgrade", "upgrade: websocket\r\nconnection: upgrade\r\n"),
        chunks("chunks", &in_chunks()),
        chunks("an extension", &format!("28;a=b\r\n{BODY}\r\n0;c\r\n\r\n")),
        chunks("a trailer", &format!("28\r\n{BODY}\r\n0\r\nx-sum: 1\r\n\r\n")),
        Shape::fields("chunks in capitals", "TRANSFER-ENCODING: Chunked\r\n", &in_chunks()),
        Shape::raw(
            "informational heads",
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n\
                 HTTP/1.1 200 OK\r\n@{}\r\n{BODY}",
                length()
            ),
        ),
    ])
    .await;
    for (shape, got) in all {
        let got = got.unwrap_or_else(|| panic!("{}: no answer", shape.name));
        assert_eq!(got.status(), 200, "{}: {got:?}", shape.name);
        assert!(got.head.contains("x-response-stamp: stamp"), "{}: {got:?}", shape.name);
        assert_eq!(String::from_utf8_lossy(&got.body), BODY, "{}", shape.name);
    }
}

/// Guards against waiting for a body where the status has none.
#[actix_rt::test]
async fn answers_without_a_body_are_passed_on() {
    let all = play_all(vec![
        Shape::raw("204", "HTTP/1.1 204 No Content\r\n@\r\n"),
        Shape::raw("204 with a length", "HTTP/1.1 204 No Content\r\n@content-length: 0\r\n\r\n"),
        Shape::raw("205", "HTTP/1.1 205 Reset Content\r\n@content-length: 0\r\n\r\n"),
        Shape::raw("304", "HTTP/1.1 304 Not Modified\r\n@\r\n"),
        Shape::raw("304 of 40 bytes", "HTTP/1.1 304 Not Modified\r\n@content-length: 40\r\n\r\n"),
        Shape::raw("404", "HTTP/1.1 404 Not Found\r\n@content-length: 0\r\n\r\n"),
    ])
    .await;
    for (shape, got) in all {
        let got = got.unwrap_or_else(|| panic!("{}: no answer", shape.name));
        let expected: u16 = shape.name[..3].parse().unwrap();
        assert_eq!((got.status(), got.body.len()), (expected, 0), "{}: {got:?}", shape.name);
        assert!(got.head.contains("x-response-stamp: stamp"), "{}: {got:?}", shape.name);
    }
}
