//! Which upstream takes a request.
//!
//! A request goes where its adapter is loaded: to the less loaded of two
//! upstreams that hold it. When none does, every entry makes the same
//! rendezvous choice, so that a cold adapter is loaded once and not once per
//! entry.
//!
//! An adapter gets another copy when a request would wait at its holder but
//! not elsewhere: a load is shorter than the wait for a place. The copy goes
//! to another zone while there is one. Copies are lost later than they were
//! gained, because each holder evicts one only when it is its coldest adapter.
//!
//! Reports of the upstreams lag; an entry adds what it sent since then.

mod group;
mod holders;
mod peer;
mod retry;
mod router;

pub use self::{
    peer::{InFlight, Report},
    retry::{Progress, Retry, RetryBudget, WorkKind},
    router::{Limits, Router},
};
