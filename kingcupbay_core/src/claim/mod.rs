//! Calls that run at most once.
//!
//! Before such a call is sent, an attempt claims the call's key by writing a
//! row of the platform's table; afterwards it writes the outcome into the same
//! row. [`Claim`] is the state machine of one attempt: it takes [`Event`]s and
//! returns the [`Action`]s to do next. [`record`] defines the row.
//!
//! A call whose row has no outcome is never run again, whichever daemon wrote
//! the row and however long ago, since nobody can prove that the call was not
//! sent. The one exception is the attempt that wrote the row, if no byte of
//! its call was sent.

mod event;
mod machine;
pub mod record;

pub use event::{Action, Answer, Event};
pub use machine::{Attempt, Claim};
