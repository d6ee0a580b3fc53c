//! Calls that run at most once.
//!
//! Before such a call is sent, a row of the platform's table claims its key
//! for one attempt; the outcome is written into the same row afterwards.
//! [`Claim`] takes one attempt through these steps, [`Event`] by event, and
//! says what to do next as [`Action`]s; [`record`] is the row.
//!
//! A row without an outcome is never run again, whoever wrote it and however
//! long ago: nobody can prove that its call did not leave. The one exception
//! is the attempt itself, when no byte of its call left.

mod event;
mod machine;
pub mod record;

pub use event::{Action, Answer, Event};
pub use machine::{Attempt, Claim};
