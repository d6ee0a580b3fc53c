//! The newest patches, kept for peers that lack them.

use std::collections::BTreeMap;

use crate::{config::patch::Patch, id::Number};

/// Maximum number of patches kept. At 780 patches a day, a daemon that was cut
/// off for an hour can still catch up by patches.
const MAX_PATCHES: usize = 64;

/// Maximum number of changes in one answer. A declaration of thousands of rows
/// is one patch, and the first patch is always sent; the next pull brings those
/// after it.
const MAX_ANSWER_CHANGES: usize = 256;

/// The newest patches by the number that they created.
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

    /// Returns whether a patch was added since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Drops all patches. After a jump to a newer configuration they no longer
    /// lead up to it.
    pub(super) fn clear(&mut self) {
        self.patches.clear();
    }

    /// Returns the patches that lead from `known` towards `number`, and whether
    /// `known` is too old to get there by patches.
    pub(super) fn since(&self, known: Number, number: Number) -> (Vec<Patch>, bool) {
        if known >= number {
            return (Vec::new(), false);
        }
        if !self.patches.contains_key(&known.next()) {
            return (Vec::new(), true);
        }
        let mut changes = 0;
        let fits = |patch: &&Patch| {
            let first = changes == 0;
            changes += patch.changes.len().max(1);
            first || changes <= MAX_ANSWER_CHANGES
        };
        let patches = self.patches.range(known.next()..).map(|(_, patch)| patch);
        (patches.take_while(fits).cloned().collect(), false)
    }
}
