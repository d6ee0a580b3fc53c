//! The newest patches, for peers that lack them.

use std::collections::BTreeMap;

use crate::{config::patch::Patch, id::Number};

/// Patches kept. At 780 a day a daemon that was cut off for an hour still
/// catches up by patches.
const MAX_PATCHES: usize = 64;

/// Changes carried in one answer. A declaration of thousands of rows is one
/// patch, and always carried; behind it the next pull brings more.
const MAX_ANSWER_CHANGES: usize = 256;

/// The newest patches by the number they made.
#[derive(Debug, Default)]
pub(super) struct RecentPatches {
    patches: BTreeMap<Number, Patch>,
    changed: bool,
}

impl RecentPatches {
    pub(super) fn add(&mut self, number: Number, patch: Patch) {
        self.patches.insert(number, patch);
        self.changed = true;
        while self.patches.len() > MAX_PATCHES {
            self.patches.pop_first();
        }
    }

    /// Whether a number was added since this was last asked.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// After a gap the older patches lead nowhere.
    pub(super) fn clear(&mut self) {
        self.patches.clear();
    }

    /// Patches that lead on from `known` towards `number`, and whether they
    /// are too few ever to get there.
    pub(super) fn since(&self, known: Number, number: Number) -> (Vec<Patch>, bool) {
        if known >= number {
            return (Vec::new(), false);
        }
        if !self.patches.contains_key(&known.next()) {
            return (Vec::new(), true);
        }
        let mut changes = 0;
        let few = |patch: &&Patch| {
            let first = changes == 0;
            changes += patch.changes.len().max(1);
            first || changes <= MAX_ANSWER_CHANGES
        };
        let patches = self.patches.range(known.next()..).map(|(_, patch)| patch);
        (patches.take_while(few).cloned().collect(), false)
    }
}
