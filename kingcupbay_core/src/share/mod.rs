//! Division of an organisation's rate and burst over all entries.
//!
//! Each entry holds a [`bucket::Share`] of every organisation: a part of its
//! rate, of its burst and of the tokens that may be used at once. The parts
//! never sum to more than the organisation's rate and burst.

pub mod amount;
pub mod bucket;
mod ledger;
pub mod message;
pub mod plan;
mod rebalance;
pub mod shares;
