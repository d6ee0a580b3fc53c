//! Orders to an engine.

use crate::deployment::model::AdapterName;

/// An order about a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The base model or adapter.
    pub name: AdapterName,
    /// What is to become of it.
    pub target: Target,
    /// Orders that the engine must have accepted before this one. An order
    /// whose answer was lost may be carried out seconds later; the newer
    /// orders in between then make it void.
    pub after: Option<u64>,
    /// The host that orders.
    pub holder: String,
    /// Its fencing number.
    pub fencing: u64,
}

/// What an [`Order`] is to achieve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// It is loaded, in this version or the newest.
    Load {
        /// The version; `None` takes the newest.
        version: Option<u32>,
    },
    /// It is not loaded.
    Unload,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was so already, or is so now.
    Holds,
    /// It is being carried out.
    Accepted,
    /// Another order is in progress, or the engine has accepted others since.
    Busy,
    /// A newer fencing number is known.
    Fenced,
    /// The engine cannot do it.
    Refused,
    /// No answer: it may or may not be carried out, perhaps later.
    Unknown,
}

impl Reply {
    /// For logs.
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
