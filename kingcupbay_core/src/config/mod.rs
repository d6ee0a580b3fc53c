//! The configuration: the rows that operators declare, numbered in sequence.
//!
//! [`model`] holds the rows, [`change`] the changes that can be made to them,
//! and [`patch`] a numbered set of changes as the table stores it. Members are
//! rows of the configuration too, so one number covers both.

pub mod change;
pub mod model;
pub mod patch;
