//! Choice of the upstream for a request.
//!
//! A request goes to an upstream where its adapter is loaded: to the less
//! loaded of two random holders. If no upstream holds the adapter, every entry
//! makes the same choice by rendezvous hashing, so that a cold adapter is
//! loaded once and not once per entry.
//!
//! An adapter gets another replica when a request would wait at its holder but
//! not elsewhere, because a load takes less time than the wait for a running
//! request to end. The replica goes to another zone if possible. Replicas
//! outlast the demand that created them, because each holder evicts an adapter
//! only when it is its least used one.
//!
//! Reports of the upstreams lag behind; an entry corrects them by the requests
//! that it has started and ended since.

mod group;
mod holders;
mod retry;
mod router;
mod upstream;

pub use self::{
    retry::{Progress, Retry, RetryBudget, WorkKind},
    router::{Limits, Router},
    upstream::{InFlight, Report},
};
