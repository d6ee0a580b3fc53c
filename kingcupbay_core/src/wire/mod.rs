//! Messages between processes.
//!
//! [`table`], [`object`], [`fleet`] and [`engine`] are the platform's and
//! the engines' interfaces, spoken as JSON over HTTP. [`run`] is the project's own,
//! spoken as MessagePack over HTTP between an entry and an upstream daemon.

pub mod engine;
pub mod error;
pub mod fleet;
pub mod object;
pub mod run;
pub mod table;
