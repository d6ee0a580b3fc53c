//! Events that an attempt handles and actions that it requests.

use super::record::Outcome;
use crate::wire::{
    error::Failure,
    table::{Read, Row, Txn, TxnAnswer},
};

/// An event of an attempt. Each event answers the last [`Action`], except
/// [`Sent`](Event::Sent) and [`Deadline`](Event::Deadline), which may come
/// before that answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The table answered a transaction.
    StoreAnswer(TxnAnswer),
    /// A transaction or read got no answer; the transaction may have taken effect
    /// or may still do so.
    StoreLost,
    /// A transaction or read provably took no effect.
    StoreRefused,
    /// The table answered a read of the claim's row.
    RowRead(Option<Row>),
    /// At least one byte of the call was sent.
    Sent,
    /// The service's answer arrived completely.
    ServiceAnswered(Outcome),
    /// No complete answer arrived; the call may have run or may still do so.
    ServiceLost,
    /// No byte of the call was sent, and none will be.
    NotSent,
    /// The caller's deadline has passed.
    Deadline,
}

/// An action for the shell. Each but [`Answer`](Action::Answer) leads to an
/// event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run this transaction.
    Txn(Txn),
    /// Read the claim's row.
    Read(Read),
    /// Send the call on a connection that has carried nothing else.
    Call,
    /// Answer the caller. The attempt may go on afterwards.
    Answer(Answer),
}

/// The answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The service's answer.
    Outcome {
        /// The answer.
        outcome: Outcome,
        /// Whether an earlier attempt received it.
        replayed: bool,
    },
    /// The reason why there is no answer of the service.
    Failure(Failure),
}
