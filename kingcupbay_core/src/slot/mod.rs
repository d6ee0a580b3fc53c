//! Adapter slots of one engine: pins, loads, eviction.
//!
//! One daemon owns the slots of an engine, so nothing here is agreed with
//! anybody. [`Slots::plan`] turns the versions that requests wait for into
//! orders; [`Slots::pin`] ties a running request to its slot. An order to
//! unload is made only from a [`pin`] residency that nobody shares, so a
//! version that serves a request cannot be named in one.
//!
//! What the engine says comes late: answers are matched to orders by their
//! sequence, reports lose against orders given since, and cache events only
//! make the daemon ask for a report.

mod backoff;
pub(crate) mod heat;
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

/// Identity of one order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Fencing number of the daemon that orders.
    pub fencing: u64,
    /// Counts the orders under this number; an answer names it.
    pub seq: u64,
}

/// What the shell is to do.
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
    /// Tell all who wait for a version that its load failed.
    Failed {
        /// The version.
        version: VersionId,
        /// When another load may be tried.
        retry_after: Span,
    },
    /// Tell a running request that the engine lost its version.
    Lost {
        /// The request.
        request: RequestId,
    },
    /// Ask the engine for a report.
    RequestReport,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Done,
    /// The engine refused or failed; nothing changed.
    Failed,
    /// No answer came: only a report tells.
    Unknown,
    /// The engine knows a newer fencing number: another daemon owns it.
    Fenced,
}
