//! A randomized soak of a registered fleet.
//!
//! [`run`] plays one seed: [`fleet`] starts entries and the daemons beside
//! engines as processes of their own ([`daemon`]), before stand-ins of the
//! platform's store, engines and plain services, with a loopback [`proxy`] on
//! each way between them. [`callers`] keep sending requests. [`trouble`] draws
//! faults from the seed and brings them about from outside, by signals, proxies
//! and the stand-ins' switches, in series and overlapping. After each round the
//! faults end, and everything must be well again. [`promises`] judges what
//! callers got and upstreams saw.
//!
//! The daemons' own clock only runs, and their hosts have no disks: what can
//! misbehave is time that passes unseen while a process is paused, and the
//! store.

pub mod callers;
pub mod daemon;
pub mod fleet;
pub mod operator;
pub mod promises;
pub mod proxy;
pub mod run;
pub mod sent;
pub mod trouble;
