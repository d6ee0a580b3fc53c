//! The configuration: what operators declare, under one number line.
//!
//! [`model`] holds the rows, [`change`] what an operator may do to them,
//! [`patch`] a numbered set of changes as the table stores it. Membership
//! stands in the same rows, so that one number covers both.

pub mod change;
pub mod model;
pub mod patch;
