//! HTTP as every part of the daemon speaks it.
//!
//! [`body`] reads bodies within bounds, [`reply`] makes answers, [`client`]
//! calls other processes.

pub(crate) mod body;
pub(crate) mod client;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod reply;
