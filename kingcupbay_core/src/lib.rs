//! Decisions of kingcupbay as plain structs and functions.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws a
//! random number: time comes in as [`time::Instant`], randomness as a seed.
//! The daemon's shells turn sockets, timers and answers of the platform into
//! calls, and carry out what the calls return.

pub mod admission;
pub mod allowance;
pub mod arena;
pub mod backlog;
pub mod claim;
pub mod config;
pub mod declare;
pub mod deployment;
pub mod gossip;
pub mod health;
pub mod id;
pub mod ini;
pub mod placement;
pub mod queue;
pub mod random;
pub mod repeat;
pub mod route;
pub mod share;
pub mod slot;
pub mod standing;
pub mod time;
pub mod wire;
