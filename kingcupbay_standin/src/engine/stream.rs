//! A generation as a stream of server-sent events.
//!
//! A cancelled stream completes its HTTP body, but without `[DONE]`. A stream
//! that is superseded, cut or ended by a restart closes its connection.

use std::{cell::RefCell, future::pending, rc::Rc};

use bytes::Bytes;
use futures_util::Stream;
use kingcupbay_core::wire::engine::{Choice, Chunk, Generate, Usage};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::{
    record::Outcome,
    state::{Phase, State, StreamKey},
    text::{prompt_tokens, token_text},
};

/// Last event of a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Error that closes the connection before the answer is complete.
#[derive(Debug)]
#[derive(Error)]
#[error("the stream was cut")]
pub(crate) struct Cut;

/// Fault that stalls or ends a stream early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Limit {
    /// Sends nothing more after this many tokens.
    Stall(u32),
    /// Closes the connection after this many tokens.
    Cut(u32),
}

/// A running generation. Dropping it ends the stream in the engine, which
/// leaves the batch and no longer uses the adapter.
pub(crate) struct Generation {
    state: Rc<RefCell<State>>,
    key: StreamKey,
    phase: watch::Receiver<Phase>,
    order: Generate,
    limit: Option<Limit>,
    /// Time when the next token is due; `None` until the stream enters the batch.
    due: Option<Instant>,
    /// Offset of the next token.
    next: u32,
    done: bool,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.state.borrow_mut().end_stream(self.key, Outcome::Dropped);
    }
}

impl Generation {
    pub(crate) fn new(
        state: &Rc<RefCell<State>>,
        (key, phase): (StreamKey, watch::Receiver<Phase>),
        order: Generate,
        limit: Option<Limit>,
    ) -> Generation {
        let next = order.offset;
        let state = Rc::clone(state);
        Generation { state, key, phase, order, limit, due: None, next, done: false }
    }

    /// Returns the events; an `Err` closes the connection.
    pub(crate) fn events(self) -> impl Stream<Item = Result<Bytes, Cut>> {
        futures_util::stream::unfold(self, |mut generation| async move {
            let item = generation.next().await?;
            Some((item, generation))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.done {
            return None;
        }
        match self.wait_for_event().await {
            Phase::Ended(Outcome::Cancelled) => {
                self.done = true;
                return None;
            }
            Phase::Ended(_) => return Some(Err(Cut)),
            Phase::Waiting | Phase::Running => {}
        }
        if self.next >= self.end_offset() {
            return Some(Ok(self.finish()));
        }
        Some(Ok(self.next_token()))
    }

    /// Waits until the next event is due or the stream has ended; returns its phase.
    async fn wait_for_event(&mut self) -> Phase {
        let phase = self.phase.wait_for(|&phase| phase != Phase::Waiting).await;
        let phase = phase.map_or(Phase::Ended(Outcome::Cut), |phase| *phase);
        if phase != Phase::Running {
            return phase;
        }
        let due = self.next_due();
        let limit = self.limit.filter(|limit| limit.is_reached(self.next - self.order.offset));
        let mut ended = self.phase.clone();
        tokio::select! {
            biased;
            ended = ended.wait_for(|&phase| phase != Phase::Running) => {
                ended.map_or(Phase::Ended(Outcome::Cut), |phase| *phase)
            }
            phase = self.wait_until_due(due, limit) => phase,
        }
    }

    async fn wait_until_due(&self, due: Instant, limit: Option<Limit>) -> Phase {
        match limit {
            Some(Limit::Stall(_)) => pending().await,
            Some(Limit::Cut(_)) => {
                // Lets the connection write the tokens sent so far before it closes.
                actix_rt::task::yield_now().await;
                self.state.borrow_mut().end_stream(self.key, Outcome::Cut);
                Phase::Ended(Outcome::Cut)
            }
            None if due > Instant::now() => {
                sleep_until(due).await;
                Phase::Running
            }
            None => Phase::Running,
        }
    }

    /// Returns when the next event is due. Due times are counted from the
    /// first token, so a late wake-up delays one token and not all that follow.
    fn next_due(&mut self) -> Instant {
        let first_token = self.state.borrow().settings.first_token;
        *self.due.get_or_insert_with(|| Instant::now() + first_token)
    }

    /// Returns the offset after the last token.
    fn end_offset(&self) -> u32 {
        let max_tokens = self.state.borrow().settings.max_tokens;
        self.order.max_tokens.min(max_tokens)
    }

    fn next_token(&mut self) -> Bytes {
        let offset = self.next;
        self.next += 1;
        let interval = self.state.borrow().settings.token_interval;
        self.due =
            self.due.map(|due| if self.next < self.end_offset() { due + interval } else { due });
        self.state.borrow_mut().count_token(self.key);
        let text = token_text(&self.order.model, self.order.request_id, offset);
        format_event(&self.chunk(text, offset, None, None)).into()
    }

    fn finish(&mut self) -> Bytes {
        self.done = true;
        self.state.borrow_mut().end_stream(self.key, Outcome::Finished);
        let end = self.end_offset().max(self.order.offset);
        let reason = if end >= self.order.max_tokens { "length" } else { "stop" };
        let prompt = prompt_tokens(&self.order);
        let usage =
            Usage { prompt_tokens: prompt, completion_tokens: end, total_tokens: prompt + end };
        let last = self.chunk(String::new(), end, Some(reason), Some(usage));
        (format_event(&last) + DONE).into()
    }

    fn chunk(
        &self,
        text: String,
        offset: u32,
        reason: Option<&str>,
        usage: Option<Usage>,
    ) -> Chunk {
        let choice = Choice { index: 0, text, offset, finish_reason: reason.map(str::to_owned) };
        Chunk {
            id: self.order.request_id,
            model: self.order.model.clone(),
            choices: vec![choice],
            usage,
        }
    }
}

impl Limit {
    fn is_reached(self, sent: u32) -> bool {
        let (Limit::Stall(tokens) | Limit::Cut(tokens)) = self;
        sent >= tokens
    }
}

fn format_event(chunk: &Chunk) -> String {
    let json = serde_json::to_string(chunk).expect("a chunk has string keys");
    format!("data: {json}\n\n")
}
