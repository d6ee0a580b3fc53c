//! Which upstream takes a request.
//!
//! A request goes where its adapter is loaded: to the less loaded of two
//! upstreams that hold it. When none does, every entry makes the same
//! rendezvous choice, so that a cold adapter is loaded once and not once per
//! entry. An adapter with more than a part of all demand gets more copies,
//! each in another zone while there is one, and loses them later than it got
//! them.
//!
//! Reports of the upstreams lag; an entry adds what it sent since then.

mod copies;
mod group;
mod holders;
mod peer;
mod retry;
mod router;

pub use self::{
    peer::{InFlight, Report},
    retry::{Progress, Retry, RetryBudget, Work},
    router::{Limits, Router},
};
