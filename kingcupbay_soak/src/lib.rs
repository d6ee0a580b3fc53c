//! Randomized soak test of a registered fleet.
//!
//! [`run`] executes one seed: [`fleet`] starts entries and sidecars as separate
//! processes ([`daemon`]) against stand-ins of the platform's store, engines and
//! plain services, with a loopback [`proxy`] on each path between them.
//! [`callers`] keep sending requests. [`trouble`] draws faults from the seed and
//! applies them from outside, by signals, proxies and the fault settings of the
//! stand-ins, one after the other and overlapping. After each round the faults
//! are cleared and the fleet must recover. [`promises`] checks the answers that
//! callers received against the requests that upstreams recorded.
//!
//! The daemons use a monotonic clock and their hosts have no disks, so the soak
//! injects no clock steps and no disk faults: it pauses processes, during which
//! time passes unnoticed by them, and makes the store fail.

mod abandoned;
mod announcements;
pub mod callers;
pub mod crowd;
pub mod daemon;
pub mod fleet;
pub mod operator;
mod parts;
pub mod promises;
pub mod proxy;
pub mod run;
pub mod sent;
pub mod trouble;
