//! Residency of a loaded version, and the guard that keeps it loaded.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

use crate::id::{RequestId, VersionId};

/// Represents a loaded version. It is not `Clone`, so unwrapping its only `Rc`
/// proves that no request uses the version.
#[derive(Debug)]
pub(super) struct Residency {
    version: VersionId,
    /// Requests that use the version. Invariant: exactly one per [`Pin`].
    requests: RefCell<BTreeSet<RequestId>>,
}

impl Residency {
    pub(super) fn new(version: VersionId) -> Rc<Residency> {
        Rc::new(Residency { version, requests: RefCell::default() })
    }

    pub(super) fn version(&self) -> VersionId {
        self.version
    }

    pub(super) fn requests(&self) -> Vec<RequestId> {
        self.requests.borrow().iter().copied().collect()
    }
}

/// Keeps a version loaded for one running request until it is dropped.
#[derive(Debug)]
pub struct Pin {
    residency: Rc<Residency>,
    request: RequestId,
}

impl Pin {
    /// Pins `residency` for `request`, or returns `None` if `request` already
    /// holds a pin on it.
    pub(super) fn new(residency: &Rc<Residency>, request: RequestId) -> Option<Pin> {
        let added = residency.requests.borrow_mut().insert(request);
        added.then(|| Pin { residency: residency.clone(), request })
    }

    /// Returns the pinned version.
    pub fn version(&self) -> VersionId {
        self.residency.version
    }

    /// Returns the request that holds the pin.
    pub fn request(&self) -> RequestId {
        self.request
    }
}

impl Drop for Pin {
    fn drop(&mut self) {
        self.residency.requests.borrow_mut().remove(&self.request);
    }
}
