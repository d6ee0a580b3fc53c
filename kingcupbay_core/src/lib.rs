//! Decision logic of kingcupbay as plain structs and functions.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or uses a source
//! of randomness: callers pass time as [`time::Instant`] and randomness as a
//! seed. The daemon turns socket events, timers and answers of the platform into
//! calls and carries out the actions that the calls return.

pub mod admission;
pub mod allowance;
pub mod arena;
pub mod backlog;
pub mod claim;
pub mod cold;
pub mod config;
pub mod declare;
pub mod deployment;
pub mod exposure;
pub mod fatal;
pub mod gossip;
pub mod health;
pub mod id;
pub mod ini;
pub mod limit;
pub mod memory;
pub mod origin;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod random;
pub mod repeat;
pub mod rest;
pub mod retry_after;
pub mod route;
pub mod share;
pub mod slot;
pub mod standing;
pub mod time;
pub mod transfer;
pub mod wire;
