//! What an engine reports of itself.

use crate::{
    deployment::model::{AdapterName, Held, held_version},
    time::Span,
};

/// A report, true at the moment at which the engine made it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// It takes nothing new.
    pub leaving: bool,
    /// How long until it is gone, where it knows.
    pub remaining: Option<Span>,
    /// An order about a base model is in progress.
    pub busy: bool,
    /// Orders accepted since it started; fewer than before tell a restart.
    pub orders: u64,
    /// Requests that wait inside.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens of memory that running requests hold.
    pub memory_used: u64,
    /// Tokens of memory.
    pub memory: u64,
    /// Base models with their adapters.
    pub resident: Vec<Held>,
    /// Adapters on their way, with their versions.
    pub pending: Vec<(AdapterName, u32)>,
    /// Requests that run.
    pub runs: Vec<Run>,
}

/// A running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identity of the caller's attempt.
    pub attempt: String,
    /// Tokens of it in memory.
    pub tokens: u64,
    /// Events made so far; from the first on, its prompt has been read.
    pub events: u64,
}

impl Report {
    /// The version in which `name` is loaded.
    pub fn version(&self, name: &AdapterName) -> Option<u32> {
        held_version(&self.resident, name)
    }

    /// Whether the base model of `name` is loaded.
    pub fn has_model(&self, name: &AdapterName) -> bool {
        self.resident.iter().any(|held| held.model == name.model)
    }

    /// Whether `name` is on its way.
    pub fn is_pending(&self, name: &AdapterName) -> bool {
        self.pending.iter().any(|(other, _)| other == name)
    }

    /// Places that adapters take, those on their way included.
    pub fn places_taken(&self) -> usize {
        self.resident.iter().map(|held| held.adapters.len()).sum::<usize>() + self.pending.len()
    }

    /// Every loaded adapter with its version.
    pub fn adapters(&self) -> impl Iterator<Item = (AdapterName, u32)> {
        self.resident.iter().flat_map(|held| {
            held.adapters.iter().map(|(adapter, &version)| {
                let name =
                    AdapterName { model: held.model.clone(), adapter: Some(adapter.clone()) };
                (name, version)
            })
        })
    }
}
