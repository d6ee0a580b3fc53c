//! An engine's reports of its own state.

use crate::{
    deployment::model::{AdapterName, ResidentModel, resident_version},
    time::Span,
};

/// The state of an engine at the time of the report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether the engine is leaving and accepts nothing new.
    pub leaving: bool,
    /// Time until the engine is gone, if known.
    pub remaining: Option<Span>,
    /// Whether an order about a base model, or one that replaces an adapter, is in
    /// progress.
    pub busy: bool,
    /// Orders accepted since the engine started; a lower count shows a restart.
    pub orders: u64,
    /// Unix time in milliseconds at which the engine started, if it says so.
    pub born: Option<u64>,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens of memory used by running requests.
    pub memory_used: u64,
    /// Tokens of memory in total.
    pub memory: u64,
    /// Loaded base models with their adapters.
    pub resident: Vec<ResidentModel>,
    /// Adapters being loaded, with their versions.
    pub pending: Vec<(AdapterName, u32)>,
    /// The running requests.
    pub runs: Vec<Run>,
}

/// A running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifies the caller's attempt.
    pub attempt: String,
    /// Its tokens in memory.
    pub tokens: u64,
    /// Events made so far; at least one means that its prompt was prefilled.
    pub events: u64,
}

impl Report {
    /// Returns the loaded version of `name`, if any.
    pub fn version(&self, name: &AdapterName) -> Option<u32> {
        resident_version(&self.resident, name)
    }

    /// Whether the base model of `name` is loaded.
    pub fn has_model(&self, name: &AdapterName) -> bool {
        self.resident.iter().any(|resident| resident.model == name.model)
    }

    /// Whether `name` is being loaded.
    pub fn is_pending(&self, name: &AdapterName) -> bool {
        self.pending.iter().any(|(other, _)| other == name)
    }

    /// Returns the adapter slots in use, including those of pending loads.
    pub fn used_adapter_slots(&self) -> usize {
        self.resident.iter().map(|resident| resident.adapters.len()).sum::<usize>()
            + self.pending.len()
    }

    /// Returns every loaded adapter with its version.
    pub fn adapters(&self) -> impl Iterator<Item = (AdapterName, u32)> {
        self.resident.iter().flat_map(|resident| {
            resident.adapters.iter().map(|(adapter, &version)| {
                let name =
                    AdapterName { model: resident.model.clone(), adapter: Some(adapter.clone()) };
                (name, version)
            })
        })
    }
}
