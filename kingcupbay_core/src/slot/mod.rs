//! Adapter slots of one engine: pins, loads and eviction.
//!
//! One daemon owns the slots of an engine, so no coordination with other
//! daemons is needed. [`Slots::plan`] turns the versions that requests wait
//! for into orders; [`Slots::pin`] keeps the version of a running request
//! loaded. An unload order takes ownership of the version's residency, which is
//! possible only while no [`Pin`] shares it, so a version in use is never
//! unloaded.
//!
//! The engine's messages may arrive late: answers are matched to orders by
//! sequence number, a report is ignored for slots with a more recent order,
//! and a cache event only makes the daemon request a report.

mod backoff;
pub(crate) mod decay;
mod pin;
mod report;
mod table;

pub use self::{
    pin::Pin,
    report::EngineReport,
    table::{Limits, SlotState, SlotView, Slots},
};
use crate::{
    id::{RequestId, VersionId},
    time::Span,
};

/// Identifies one order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Fencing number of the daemon that sends the order.
    pub fencing: u64,
    /// Sequence number of the order under this fencing number, repeated in the
    /// answer.
    pub seq: u64,
}

/// An effect that the caller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load a version.
    Load {
        /// The version.
        version: VersionId,
        /// Identity of the order.
        order: Order,
    },
    /// Order the engine to unload a version.
    Unload {
        /// The version.
        version: VersionId,
        /// Identity of the order.
        order: Order,
    },
    /// Fail every request that waits for a version whose load failed.
    Failed {
        /// The version.
        version: VersionId,
        /// Time until another load may be attempted.
        retry_after: Span,
    },
    /// Notify a running request that its version is no longer loaded.
    Lost {
        /// The request.
        request: RequestId,
    },
    /// Request a report from the engine.
    RequestReport,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Done,
    /// The engine refused or failed; nothing changed.
    Failed,
    /// No answer arrived; the next report shows what happened.
    Unknown,
    /// The engine has seen a newer fencing number: another daemon owns it.
    Fenced,
}
