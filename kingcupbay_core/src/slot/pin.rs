//! A loaded version, and the guard that keeps it loaded.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

use crate::id::{RequestId, VersionId};

/// Proof that a version is loaded. It is not `Clone`; whoever owns one, and
/// not merely a shared reference, knows that no request runs on it.
#[derive(Debug)]
pub(super) struct Residency {
    version: VersionId,
    /// The requests that run on it. Invariant: one per [`Pin`].
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
    /// Pins `residency`, unless the request holds it already.
    pub(super) fn new(residency: &Rc<Residency>, request: RequestId) -> Option<Pin> {
        let added = residency.requests.borrow_mut().insert(request);
        added.then(|| Pin { residency: residency.clone(), request })
    }

    /// The version that is kept.
    pub fn version(&self) -> VersionId {
        self.residency.version
    }

    /// The request it is kept for.
    pub fn request(&self) -> RequestId {
        self.request
    }
}

impl Drop for Pin {
    fn drop(&mut self) {
        self.residency.requests.borrow_mut().remove(&self.request);
    }
}
