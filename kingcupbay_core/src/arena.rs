//! Rows under small keys that are never given out twice.
//!
//! Every daemon applies the same changes in the same order, so a key means
//! the same row on every host and may travel in messages. A general arena
//! that reuses freed places would not keep that through a snapshot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Id;

/// Rows of one kind by their key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Ord + Serialize, T: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, T: Deserialize<'de>"
))]
pub struct Arena<K, T> {
    rows: BTreeMap<K, T>,
    /// The key given out next. Invariant: greater than every key in `rows`.
    next: u32,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Arena<K, T> {
        Arena { rows: BTreeMap::new(), next: 0 }
    }
}

impl<K: Id, T> Arena<K, T> {
    /// Stores `row` and gives out its key.
    pub fn insert(&mut self, row: T) -> K {
        let id = K::from_raw(self.next);
        self.next += 1;
        self.rows.insert(id, row);
        id
    }

    /// Takes a row out; its key is not given out again.
    pub fn remove(&mut self, id: K) -> Option<T> {
        self.rows.remove(&id)
    }

    /// The row under `id`, if it is still there.
    pub fn get(&self, id: K) -> Option<&T> {
        self.rows.get(&id)
    }

    /// The row under `id`, to be changed.
    pub fn get_mut(&mut self, id: K) -> Option<&mut T> {
        self.rows.get_mut(&id)
    }

    /// All rows in the order of their keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &T)> {
        self.rows.iter().map(|(&id, row)| (id, row))
    }

    /// How many rows there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
