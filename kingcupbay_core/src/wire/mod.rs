//! Messages between processes.
//!
//! [`table`], [`object`], [`fleet`] and [`engine`] are the interfaces of the
//! platform and of the engines, as JSON over HTTP. [`run`] is the protocol
//! between an entry and an upstream daemon, as MessagePack over HTTP.
//!
//! [`metadata`] and [`rows`] hold messages of a platform in decoded form. On such
//! a platform daemons exchange [`sidecar`], [`usage`], [`read_position`],
//! [`evacuation`], [`limit`], [`origin`] and [`fatal`] messages, as MessagePack over HTTP.
//!
//! [`admin`] is the interface of every daemon for the operators' tool, as JSON.

pub mod admin;
pub mod engine;
pub mod error;
pub mod evacuation;
pub mod fatal;
pub mod fleet;
pub mod limit;
pub mod metadata;
pub mod object;
pub mod origin;
pub mod part;
pub mod read_position;
pub mod rows;
pub mod run;
pub mod sidecar;
pub mod table;
pub mod usage;
