//! Interning of values that many states share.
//!
//! Each distinct value is stored once and compared by its index, so a state is
//! a few dozen bytes and comparing two states is cheap. A search of some
//! million states then fits the memory and the time of a test.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    marker::PhantomData,
    ops::Deref,
    rc::Rc,
};

/// Stores each distinct value that any state holds once.
pub(crate) struct Pool<T> {
    /// Indexes by the hash of their value.
    indexes: RefCell<BTreeMap<u64, Vec<u32>>>,
    values: RefCell<Vec<Rc<T>>>,
}

impl<T> Default for Pool<T> {
    fn default() -> Pool<T> {
        Pool { indexes: RefCell::default(), values: RefCell::default() }
    }
}

/// A type that has a pool.
pub(crate) trait Pooled: Eq + Hash + Clone + Sized + 'static {
    fn pool<T>(run: impl FnOnce(&Pool<Self>) -> T) -> T;
}

/// Index of a value in its pool.
///
/// Invariant: equal values have equal indexes.
pub(crate) struct Shared<T>(u32, PhantomData<T>);

impl<T: Pooled> Shared<T> {
    pub(crate) fn new(value: T) -> Shared<T> {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let index = T::pool(|pool| {
            let mut indexes = pool.indexes.borrow_mut();
            let indexes = indexes.entry(hasher.finish()).or_default();
            let mut values = pool.values.borrow_mut();
            if let Some(index) = indexes.iter().find(|index| *values[**index as usize] == value) {
                return *index;
            }
            indexes.push(values.len() as u32);
            values.push(Rc::new(value));
            values.len() as u32 - 1
        });
        Shared(index, PhantomData)
    }

    pub(crate) fn get(self) -> Rc<T> {
        T::pool(|pool| Rc::clone(&pool.values.borrow()[self.0 as usize]))
    }

    /// Replaces the value by a changed copy.
    pub(crate) fn update<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.get().deref().clone();
        let result = change(&mut value);
        *self = Shared::new(value);
        result
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Shared<T> {
        *self
    }
}

impl<T> Copy for Shared<T> {}

impl<T> PartialEq for Shared<T> {
    fn eq(&self, other: &Shared<T>) -> bool {
        self.0 == other.0
    }
}

impl<T> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.hash(hasher);
    }
}

impl<T> fmt::Debug for Shared<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
