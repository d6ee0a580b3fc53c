//! Messages between processes.
//!
//! [`table`], [`object`], [`fleet`] and [`engine`] are the platform's and
//! the engines' interfaces, spoken as JSON over HTTP. [`run`] is the project's own,
//! spoken as MessagePack over HTTP between an entry and an upstream daemon.
//! [`ask`] and [`rows`] are what the platform's messages are decoded into,
//! [`sidecar`], [`tally`] and [`reading`] what daemons tell each other there.
//! [`admin`] is what the operators' tool speaks to any daemon, as JSON.

pub mod admin;
pub mod ask;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod object;
pub mod reading;
pub mod rows;
pub mod run;
pub mod sidecar;
pub mod table;
pub mod tally;
