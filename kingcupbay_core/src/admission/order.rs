//! Orders that a sidecar sends to its engine, and the replies.

use crate::deployment::model::AdapterName;

/// An order to load or unload a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The base model or adapter.
    pub name: AdapterName,
    /// The state to reach.
    pub target: Target,
    /// Number of orders that the engine must have accepted before this one. An order
    /// without a reply may be carried out seconds later, unless newer orders in
    /// between have raised the count.
    pub after: Option<u64>,
    /// The host that sends the order.
    pub holder: String,
    /// The host's fencing number.
    pub fencing: u64,
}

/// The state that an [`Order`] is to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Loaded.
    Load {
        /// The version to load; `None` stands for the newest.
        version: Option<u32>,
    },
    /// Not loaded.
    Unload,
}

/// An engine's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The target state is already reached.
    Holds,
    /// The order was accepted and is in progress.
    Accepted,
    /// Another order is in progress, or the order count no longer matches.
    Busy,
    /// The engine has seen a newer fencing number.
    Fenced,
    /// The engine cannot carry out the order.
    Refused,
    /// No reply: the order may be carried out, possibly later, or not at all.
    Unknown,
}

impl Reply {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reply::Holds => "holds",
            Reply::Accepted => "accepted",
            Reply::Busy => "busy",
            Reply::Fenced => "fenced",
            Reply::Refused => "refused",
            Reply::Unknown => "unknown",
        }
    }
}
