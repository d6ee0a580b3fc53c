//! Deployment state from the platform's store: routes, services, limits, organisations
//! with their keys, the newest version of each adapter, and the registered daemons and
//! upstreams.
//!
//! [`model`] defines the rows, [`lookup`] finds a request's route and caller, and
//! [`catalogue`] keeps the newest state that a daemon knows. `departures` tracks the
//! upstreams that have left, `announced` those that have said in their answers that they
//! leave, and [`evacuations`] the availability zones that are evacuated. [`catchup`] decides
//! when to fetch a configuration from another entry. [`readers`] selects the entries that read the store for the others,
//! [`limiters`] those that keep the organisations' limits, by their order in `ranks`,
//! and [`read_positions`] tracks how far each table is known. [`registration`] decides when
//! an entry writes its registration again. [`waits`] defines the
//! timeouts of the steps by which a change reaches an entry.

mod announced;
pub mod catalogue;
pub mod catchup;
mod departures;
pub mod evacuations;
pub mod limiters;
pub mod lookup;
pub mod model;
mod ranks;
pub mod read_positions;
pub mod readers;
pub mod registration;
pub mod waits;
