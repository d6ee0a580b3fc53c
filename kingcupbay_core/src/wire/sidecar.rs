//! Between an entry and the daemon beside an engine, as MessagePack over HTTP.

use serde::{Deserialize, Serialize};

use super::ask::Size;
use crate::{
    deployment::model::{AdapterName, ResidentModel},
    time::Span,
};

/// Asks for a place; the answer, a [`Verdict`], comes when there is one.
pub const WANT_PATH: &str = "/want";
/// Gives places back; the body is a list of [`Done`].
pub const DONE_PATH: &str = "/done";
/// Tells an entry how busy an engine is; the body is a [`Pressure`]. The answer
/// is 204 if the entry knows what the engine holds, 202 if it wants to be told.
pub const PRESSURE_PATH: &str = "/pressure";

/// A request that wants to run on the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Want {
    /// Identity of the caller's attempt, under which the engine runs it.
    pub attempt: String,
    /// The adapter or base model.
    pub name: AdapterName,
    /// Newest version of the adapter that the entry knows of.
    pub newest: Option<u32>,
    /// Rank, 0 first.
    pub rank: u8,
    /// Its tokens.
    pub size: Size,
    /// Time until the first event would be late.
    pub aim: Span,
    /// Longest wait for a place.
    pub patience: Span,
    /// Longest pause between two of its events, if its route names one.
    #[serde(default)]
    pub gap: Option<Span>,
    /// Where the entry takes a [`Pressure`].
    pub entry: std::net::SocketAddr,
}

/// What became of a [`Want`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent now.
    Granted {
        /// Version of the adapter that the engine holds.
        version: Option<u32>,
    },
    /// It has no place here and was not kept waiting for one.
    Refused {
        /// Why.
        why: Refusal,
        /// When there may be a place.
        after: Span,
    },
}

/// Why a [`Want`] got no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The engine has no report or no base model yet.
    Unready,
    /// It would wait longer than is of use.
    Busy,
    /// The adapter is being replaced by a newer version.
    Replacing,
    /// It is larger than the engine's memory.
    TooLarge,
}

impl Refusal {
    /// For logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Leaving => "leaving",
            Refusal::Unready => "unready",
            Refusal::Busy => "busy",
            Refusal::Replacing => "replacing",
            Refusal::TooLarge => "too_large",
        }
    }
}

/// A request that has ended, or whose place will not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Done {
    /// Identity of the caller's attempt.
    pub attempt: String,
    /// Longest time between two events, if its stream came whole.
    pub pause: Option<Span>,
}

/// Asks for a copy of an adapter; the body is its [`AdapterName`].
pub const COPY_PATH: &str = "/copy";

/// How busy an engine is, and what it holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    /// The engine's address.
    pub engine: Option<std::net::SocketAddr>,
    /// Requests that run or are about to.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Time to read the prompts that are before a new request.
    pub delay: Span,
    /// Whether it takes requests.
    pub open: bool,
    /// What it holds; `None` if that was told before.
    pub held: Option<Vec<ResidentModel>>,
}
