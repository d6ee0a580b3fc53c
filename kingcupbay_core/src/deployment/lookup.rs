//! Lookup of a request's route and of the caller that its key belongs to.

use std::rc::Rc;

use crate::config::model::KeyHash;

use super::model::{Deployment, Organisation, Route, Target};

/// Caller of a request, as far as its key shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The organisation that the key belongs to.
    Organisation(Rc<Organisation>),
    /// No known key, on a route or under a configuration that requires none.
    Anonymous,
    /// The key is missing, unknown or withdrawn.
    Unknown,
}

impl Deployment {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let matches = |route: &&Rc<Route>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }

    /// Returns the caller of a request with `key` on `route`.
    pub fn caller(&self, route: &Route, key: Option<&KeyHash>) -> Caller {
        if let Some(&at) = key.and_then(|key| self.keys.get(key)) {
            return Caller::Organisation(self.organisations[at].clone());
        }
        match route.anonymous || self.organisations.is_empty() {
            true => Caller::Anonymous,
            false => Caller::Unknown,
        }
    }
}

impl Route {
    /// Returns the service for a request, in proportion to the targets' weights. `draw`
    /// is a random number.
    pub fn target(&self, draw: u64) -> &str {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = draw % total.max(1);
        for Target { service, weight } in &self.targets {
            match remaining.checked_sub(u64::from(*weight)) {
                Some(rest) => remaining = rest,
                None => return service,
            }
        }
        &self.targets.last().expect("a route has a target").service
    }
}
