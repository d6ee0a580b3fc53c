//! Stand-ins for the platform's store, runners and clients, and the daemons of a small deployment
//! as separate processes. Only the standard library is used.

#![allow(dead_code)]

pub mod client;
pub mod daemon;
pub mod http;
pub mod json;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod store;
