//! What an operator declares where the platform keeps the configuration:
//! routes, services, limits, organisations with their keys, and the newest
//! version of each adapter.
//!
//! [`model`] holds the declared rows, [`lookup`] answers which route a request
//! takes and whose key it carries, [`catalogue`] keeps the newest of everything
//! that a daemon has learned, `departures` which upstreams have left, and [`catchup`]
//! says when to ask another daemon for what the store has not told. [`readers`] says
//! which entries read the store for the others, [`read_positions`] how far each table is known.
//! [`waits`] holds how long each step on a change's way may take.

pub mod catalogue;
pub mod catchup;
mod departures;
pub mod lookup;
pub mod model;
pub mod read_positions;
pub mod readers;
pub mod waits;
