//! Storage for rows with small keys that are never reused.
//!
//! Every daemon applies the same changes in the same order, so a key refers to
//! the same row on every host and can be sent in messages. An arena that reuses
//! freed slots would not guarantee this after a restart from a snapshot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Id;

/// Rows of one kind by key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Ord + Serialize, T: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, T: Deserialize<'de>"
))]
pub struct Arena<K, T> {
    rows: BTreeMap<K, T>,
    /// Next key to assign. Invariant: greater than every key in `rows`.
    next: u32,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Arena<K, T> {
        Arena { rows: BTreeMap::new(), next: 0 }
    }
}

impl<K: Id, T> Arena<K, T> {
    /// Stores `row` and returns its new key.
    pub fn insert(&mut self, row: T) -> K {
        let id = K::from_raw(self.next);
        self.next += 1;
        self.rows.insert(id, row);
        id
    }

    /// Removes and returns a row; its key is not reused.
    pub fn remove(&mut self, id: K) -> Option<T> {
        self.rows.remove(&id)
    }

    /// Returns the row with key `id`.
    pub fn get(&self, id: K) -> Option<&T> {
        self.rows.get(&id)
    }

    /// Returns the row with key `id` for modification.
    pub fn get_mut(&mut self, id: K) -> Option<&mut T> {
        self.rows.get_mut(&id)
    }

    /// Iterates over all rows in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &T)> {
        self.rows.iter().map(|(&id, row)| (id, row))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
