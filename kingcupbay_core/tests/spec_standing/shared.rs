//! Values that many states share, kept once and compared by their place.
//!
//! A state is then a few dozen bytes, and telling two apart costs nothing; a
//! search of some million states fits the memory and the time of a test.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    marker::PhantomData,
    ops::Deref,
    rc::Rc,
};

/// Every value that any state holds, each once.
pub(crate) struct Pool<T> {
    /// Places by the hash of their value.
    places: RefCell<BTreeMap<u64, Vec<u32>>>,
    values: RefCell<Vec<Rc<T>>>,
}

impl<T> Default for Pool<T> {
    fn default() -> Pool<T> {
        Pool { places: RefCell::default(), values: RefCell::default() }
    }
}

/// A type with a pool.
pub(crate) trait Pooled: Eq + Hash + Clone + Sized + 'static {
    fn pool<T>(run: impl FnOnce(&Pool<Self>) -> T) -> T;
}

/// Place of a value in its pool.
///
/// Invariant: equal values have equal places.
pub(crate) struct Shared<T>(u32, PhantomData<T>);

impl<T: Pooled> Shared<T> {
    pub(crate) fn new(value: T) -> Shared<T> {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let place = T::pool(|pool| {
            let mut places = pool.places.borrow_mut();
            let places = places.entry(hasher.finish()).or_default();
            let mut values = pool.values.borrow_mut();
            if let Some(place) = places.iter().find(|place| *values[**place as usize] == value) {
                return *place;
            }
            places.push(values.len() as u32);
            values.push(Rc::new(value));
            values.len() as u32 - 1
        });
        Shared(place, PhantomData)
    }

    pub(crate) fn get(self) -> Rc<T> {
        T::pool(|pool| Rc::clone(&pool.values.borrow()[self.0 as usize]))
    }

    /// Takes the place of the value as `change` leaves it.
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
