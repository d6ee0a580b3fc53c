//! What happens to an attempt, and what it asks for.

use super::record::Outcome;
use crate::wire::{
    error::Failure,
    table::{Read, Row, Txn, TxnAnswer},
};

/// What happened. Each event answers the last [`Action`] but
/// [`Sent`](Event::Sent) and [`Deadline`](Event::Deadline), which come between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The table answered a transaction.
    StoreAnswer(TxnAnswer),
    /// No answer to a transaction or read; the transaction may have taken
    /// effect, or may still do so.
    StoreLost,
    /// A transaction or read provably took no effect.
    StoreRefused,
    /// The table answered a read of the claim's row.
    RowRead(Option<Row>),
    /// A byte of the call has left.
    Sent,
    /// The service's answer is whole.
    ServiceAnswered(Outcome),
    /// No whole answer; the call may have run, or may still do so.
    ServiceLost,
    /// No byte of the call left, and none will.
    NotSent,
    /// The caller stops waiting.
    Deadline,
}

/// What to do next. All but [`Answer`](Action::Answer) bring an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run this transaction.
    Txn(Txn),
    /// Read the claim's row.
    Read(Read),
    /// Send the call, on a connection that carried nothing else.
    Call,
    /// Tell the caller. The attempt may go on afterwards.
    Answer(Answer),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The service's answer.
    Outcome {
        /// The answer.
        outcome: Outcome,
        /// Whether an earlier attempt got it.
        replayed: bool,
    },
    /// Why there is none.
    Failure(Failure),
}
