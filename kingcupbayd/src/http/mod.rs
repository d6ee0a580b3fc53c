//! HTTP, shared by all parts of the daemon.
//!
//! [`body`] reads bodies within limits and [`reply`] builds answers; [`budget`] bounds the memory
//! for both over all connections. [`client`] calls other processes through the library's client;
//! [`link`] and [`pool`] call them over connections of their own, whose answers [`head`] checks, and
//! [`held`] bounds the memory for answers that no caller waits for.

pub(crate) mod body;
pub(crate) mod budget;
pub(crate) mod client;
mod head;
pub(crate) mod held;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod reply;
