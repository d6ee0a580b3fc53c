//! Attempts of one request that have no answer yet.
//!
//! An upstream that is silent may still answer, so its connection stays open while another
//! upstream is tried. Dropping an attempt closes its connection, and the upstream stops.

use std::{
    cell::RefCell,
    future::poll_fn,
    task::{Context, Poll},
};

use futures_util::future::LocalBoxFuture;
use kingcupbay_core::time::Span;

use crate::clock;

/// Attempts that end with a `T`. They make progress while one waits for [`OpenAttempts::next`].
pub(crate) struct OpenAttempts<'a, T> {
    attempts: RefCell<Vec<LocalBoxFuture<'a, T>>>,
}

impl<'a, T> OpenAttempts<'a, T> {
    pub(crate) fn new() -> OpenAttempts<'a, T> {
        OpenAttempts { attempts: RefCell::default() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.borrow().is_empty()
    }

    pub(crate) fn push(&self, attempt: LocalBoxFuture<'a, T>) {
        self.attempts.borrow_mut().push(attempt);
    }

    /// Waits until `attempt` ends, for `patience` at most. Keeps it if it has not ended by then.
    pub(crate) async fn try_finish(
        &self,
        mut attempt: LocalBoxFuture<'a, T>,
        patience: Span,
    ) -> Option<T> {
        let ended = clock::timeout(patience, &mut attempt).await;
        if ended.is_none() {
            self.push(attempt);
        }
        ended
    }

    /// Waits until one of the attempts ends, and removes it. Waits forever while there is none.
    pub(crate) async fn next(&self) -> T {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<T> {
        let mut attempts = self.attempts.borrow_mut();
        let poll =
            |(index, attempt): (usize, &mut LocalBoxFuture<'a, T>)| match attempt.as_mut().poll(cx)
            {
                Poll::Ready(ended) => Some((index, ended)),
                Poll::Pending => None,
            };
        let Some((index, ended)) = attempts.iter_mut().enumerate().find_map(poll) else {
            return Poll::Pending;
        };
        drop(attempts.remove(index));
        Poll::Ready(ended)
    }
}
