//! How much of a connection's input may be read ahead of what its requests have taken.
//!
//! The server library reads and decodes as much as arrives. A connection that is read only as far
//! as its requests go holds little, whatever its client sends: the rest stays with the client.

use std::{
    pin::Pin,
    task::{Context, Poll, Waker},
    time::Duration,
};

use actix_http::{HttpMessage, Request, header};
use kingcupbay_core::time::Span;
use tokio::time::Sleep;

/// Bytes read in a row outside of bodies, so that what has arrived is decoded before more is read.
const TURN_BYTES: usize = 1 << 10;

/// Bytes that are read while a request is answered; they may be the beginning of the next one.
const AHEAD_MAX_BYTES: usize = 512;

/// Bytes of a body that are read before its reader has taken them.
const BODY_WINDOW_BYTES: usize = 8 << 10;

/// The same for a body in chunks, which may be of a byte each and are decoded one by one.
const CHUNKED_WINDOW_BYTES: usize = 4 << 10;

/// Time in which the rest of a body is read and discarded after its request was answered, so that
/// the client can read the answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Where a connection is between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The head of a request may arrive.
    Head,
    /// A body is being read, with at most so many bytes that were not taken.
    Body(usize),
    /// The request has arrived, and its answer is made or sent.
    Answer,
    /// The answer was sent although its request's body may go on.
    Discard,
}

/// What may be read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// So many bytes, at least one.
    Bytes(usize),
    /// Nothing before what has been read is decoded.
    NextTurn,
    /// Nothing before a request has taken what has been read.
    Later,
    /// Nothing more: the head is too long.
    HeadTooLong,
}

/// State of the input of one connection.
#[derive(Debug)]
pub(super) struct Flow {
    phase: Phase,
    /// Bytes read and not taken since the phase began.
    ahead: usize,
    /// Bytes read since what had arrived was last decoded.
    turn: usize,
    /// Largest head in bytes.
    head_max: usize,
    /// Time for the rest of a head once it has begun.
    head_timeout: Span,
    /// When the head must be complete, or the discarding ends.
    deadline: Option<Pin<Box<Sleep>>>,
    /// The connection's task, while it waits for this state to change.
    waker: Option<Waker>,
    /// Whether the connection is given up as its client stalls.
    pub(super) is_given_up: bool,
}

impl Flow {
    /// Creates the state of a new connection.
    pub(super) fn new(head_max: usize, head_timeout: Span) -> Flow {
        Flow {
            phase: Phase::Head,
            ahead: 0,
            turn: 0,
            head_max,
            head_timeout,
            deadline: None,
            waker: None,
            is_given_up: false,
        }
    }

    /// Returns what may be read now.
    pub(super) fn room(&self) -> Room {
        let waits = |max: usize| match max.saturating_sub(self.ahead) {
            0 => Room::Later,
            bytes => Room::Bytes(bytes),
        };
        match self.phase {
            // Some of what was read may belong to the request before.
            Phase::Head if self.ahead >= self.head_max + TURN_BYTES => Room::HeadTooLong,
            Phase::Head if self.turn >= TURN_BYTES => Room::NextTurn,
            Phase::Head => Room::Bytes(TURN_BYTES - self.turn),
            Phase::Discard if self.turn >= BODY_WINDOW_BYTES => Room::NextTurn,
            Phase::Discard => Room::Bytes(BODY_WINDOW_BYTES - self.turn),
            Phase::Body(window) => waits(window),
            Phase::Answer => waits(AHEAD_MAX_BYTES),
        }
    }

    /// Records that `bytes` were read.
    pub(super) fn on_read(&mut self, bytes: usize) {
        self.ahead += bytes;
        self.turn += bytes;
    }

    /// Records that what was read is decoded before more is.
    pub(super) fn on_turn(&mut self) {
        self.turn = 0;
    }

    /// Keeps the waker of the connection's task.
    pub(super) fn wake_later(&mut self, cx: &Context<'_>) {
        self.waker = Some(cx.waker().clone());
    }

    /// Wakes the connection's task if it waits.
    pub(super) fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the time for what is due has passed.
    pub(super) fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let time = match self.phase {
            Phase::Head => self.head_timeout.into(),
            Phase::Discard => DISCARD_TIME,
            Phase::Body(_) | Phase::Answer => return Poll::Pending,
        };
        if self.ahead == 0 {
            return Poll::Pending;
        }
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(tokio::time::sleep(time)));
        deadline.as_mut().poll(cx)
    }

    /// Returns whether what is due is the rest of a head.
    pub(super) fn is_in_head(&self) -> bool {
        self.phase == Phase::Head
    }

    /// Returns whether nothing of a further request has been read.
    pub(super) fn is_before_head(&self) -> bool {
        self.phase == Phase::Head && self.ahead == 0
    }

    /// Records that a request's head has arrived, with a body in chunks or of a certain length.
    pub(super) fn on_request(&mut self, request: &Request) {
        let headers = request.headers();
        let length = content_length(request).unwrap_or_default();
        self.enter(match headers.contains_key(header::TRANSFER_ENCODING) {
            true => Phase::Body(CHUNKED_WINDOW_BYTES),
            // What follows a body is bounded by its own phase.
            false if length > 0 => Phase::Body(BODY_WINDOW_BYTES.min(length + AHEAD_MAX_BYTES)),
            false => Phase::Answer,
        });
    }

    /// Records that the reader of a body has taken all that was read.
    pub(super) fn on_drained(&mut self) {
        self.ahead = 0;
        self.wake();
    }

    /// Records that the reader of a body has taken its end.
    pub(super) fn on_body_end(&mut self) {
        self.enter(Phase::Answer);
    }

    /// Records that a request's answer has been sent or given up.
    pub(super) fn on_answered(&mut self) {
        match self.phase {
            Phase::Body(_) => self.enter(Phase::Discard),
            Phase::Answer => self.phase = Phase::Head,
            Phase::Head | Phase::Discard => {}
        }
        self.wake();
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.ahead = 0;
        self.deadline = None;
        self.wake();
    }
}

/// Returns the length of a request's body, if it announces one.
pub(crate) fn content_length(request: &Request) -> Option<usize> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the length of a request's head, as it is usually written.
pub(crate) fn head_length(request: &Request) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + " HTTP/1.1\r\n".len() + 1;
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}
