//! HTTP, shared by all parts of the daemon.
//!
//! [`body`] reads bodies within limits and [`reply`] builds answers. [`client`]
//! calls other processes through the library's client; [`link`] and [`pool`]
//! call them over connections of their own, and [`held`] bounds the memory for their answers.

pub(crate) mod body;
pub(crate) mod client;
pub(crate) mod held;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod reply;
