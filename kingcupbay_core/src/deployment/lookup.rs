//! Which route a request takes, and whose key it carries.

use std::rc::Rc;

use crate::config::model::KeyHash;

use super::model::{Deployment, Organisation, Route, Target};

/// Whose a request is.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// An organisation's, by its key.
    Organisation(Rc<Organisation>),
    /// Nobody's; the route or the configuration asks for no key.
    Anonymous,
    /// The key is missing, unknown or withdrawn.
    Unknown,
}

impl Deployment {
    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let fits = |route: &&Rc<Route>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// Whose a request with `key` on `route` is.
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
    /// The service for a request whose draw is `draw`, any number.
    pub fn target(&self, draw: u64) -> &str {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw % total.max(1);
        for Target { service, weight } in &self.targets {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return service,
            }
        }
        &self.targets.last().expect("a route has a target").service
    }
}
