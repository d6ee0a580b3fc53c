//! Rate and burst of an organisation, divided over entries and conserved.
//!
//! Each entry holds a [`bucket::Share`] of every organisation: a part of its
//! rate, of its burst and of what may be used at once.

pub mod amount;
pub mod bucket;
mod ledger;
pub mod message;
pub mod plan;
mod rebalance;
pub mod shares;
