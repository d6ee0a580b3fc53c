//! HTTP, shared by all parts of the daemon.
//!
//! [`body`] reads bodies within limits and [`reply`] builds answers; [`budget`] bounds the memory
//! for both over all connections. [`link`] calls other processes, and [`head`] checks what they
//! answer. [`pool`] keeps connections where a store keeps the registrations, with [`held`], which
//! bounds the memory for answers that no caller waits for, and [`client`] elsewhere.

pub(crate) mod body;
pub(crate) mod budget;
pub(crate) mod client;
mod head;
pub(crate) mod held;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod reply;
