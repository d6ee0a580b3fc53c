//! A request that was admitted.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

use actix_http::{Method, header::HeaderMap};
use bytes::Bytes;
use kingcupbay_core::{
    deployment::model::{Deployment, Organisation, Route},
    time::{Instant, Span},
    wire::metadata::RequestMetadata,
};

use crate::{clock, gateway::Gateway};

/// Everything that sending a request needs.
pub(crate) struct Job {
    pub(crate) gateway: Rc<Gateway>,
    /// The configuration that it was admitted under.
    pub(crate) deployment: Rc<Deployment>,
    pub(crate) route: Rc<Route>,
    /// Whose it is; nobody's where no key is asked for.
    pub(crate) organisation: Option<Rc<Organisation>>,
    pub(crate) metadata: RequestMetadata,
    /// Tokens taken off its organisation's limit.
    pub(crate) cost: u64,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// As the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// When it must have its final answer.
    pub(crate) deadline: Instant,
}

impl Job {
    /// Time until its final answer is due.
    pub(crate) fn remaining(&self) -> Span {
        self.deadline.since(clock::now())
    }

    /// Its rank, 0 first: the organisation's goes before the route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// A number that differs between requests and not between looks at one.
    pub(crate) fn draw(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.metadata.attempt.hash(&mut hasher);
        hasher.finish()
    }

    /// Its identity, empty where the caller gave none.
    pub(crate) fn attempt(&self) -> &str {
        self.metadata.attempt.as_deref().unwrap_or_default()
    }

    /// Gives its tokens back: it did not run.
    pub(crate) fn refund(&self) {
        if let Some(organisation) = &self.organisation {
            let now = clock::now();
            self.gateway.allowance.borrow_mut().refund(now, organisation, self.cost);
        }
    }
}
