//! What an operator declares where the platform keeps the configuration:
//! routes, services, limits, organisations with their keys, and the newest
//! version of each adapter.
//!
//! [`model`] holds the declared rows, [`lookup`] answers which route a request
//! takes and whose key it carries, [`catalogue`] keeps the newest of everything
//! that a daemon has learned.

pub mod catalogue;
pub mod lookup;
pub mod model;
