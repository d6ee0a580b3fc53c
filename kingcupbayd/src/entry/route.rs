//! Which upstream takes a request, and how many run on each.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _, rc::Rc};

use kingcupbay_core::{
    config::model::{Config, Serves, Upstream},
    id::{Id, Name, UpstreamId, VersionId},
};

use crate::fleet::Fleet;

/// Running requests of this entry by upstream.
type Running = Rc<RefCell<BTreeMap<UpstreamId, u32>>>;

/// The entry's view of all upstreams.
pub(crate) struct Routes {
    fleet: Rc<Fleet>,
    running: Running,
}

/// A request on an upstream; its drop ends it.
pub(crate) struct InFlight {
    upstream: UpstreamId,
    running: Running,
}

impl Routes {
    /// Routes under the configuration of `fleet`.
    pub(crate) fn new(fleet: Rc<Fleet>) -> Routes {
        Routes { fleet, running: Running::default() }
    }

    /// An upstream for a version, other than those `tried`.
    pub(crate) fn model(&self, version: VersionId, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let config = self.fleet.config();
        let adapter = config.adapters.get(config.versions.get(version)?.adapter)?;
        let base = &adapter.base;
        let serves =
            |row: &Upstream| matches!(&row.serves, Serves::Model { base: b, .. } if b == base);
        self.choose(&config, u64::from(version.raw()), tried, serves)
    }

    /// An upstream for a plain service, other than those `tried`.
    pub(crate) fn service(&self, name: &Name, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let config = self.fleet.config();
        let serves =
            |row: &Upstream| matches!(&row.serves, Serves::Service { service } if service == name);
        self.choose(&config, 0, tried, serves)
    }

    fn choose(
        &self,
        config: &Config,
        seed: u64,
        tried: &[UpstreamId],
        serves: impl Fn(&Upstream) -> bool,
    ) -> Option<UpstreamId> {
        let open = config.upstreams.iter().filter(|(id, row)| {
            !row.leaving && !tried.contains(id) && serves(row) && config.member(&row.host).is_some()
        });
        open.max_by_key(|(id, _)| weight(seed, u64::from(id.raw()))).map(|(id, _)| id)
    }

    /// Counts a request on `upstream` until the guard is dropped.
    pub(crate) fn begin(&self, upstream: UpstreamId) -> InFlight {
        *self.running.borrow_mut().entry(upstream).or_default() += 1;
        InFlight { upstream, running: self.running.clone() }
    }

    /// One line for each upstream.
    pub(crate) fn dump(&self) -> String {
        let config = self.fleet.config();
        let running = self.running.borrow();
        let mut out = String::new();
        for (id, row) in config.upstreams.iter() {
            let count = running.get(&id).copied().unwrap_or(0);
            let _ = writeln!(out, "upstream={} leaving={} running={count}", row.name, row.leaving);
        }
        out
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(count) = self.running.borrow_mut().get_mut(&self.upstream) {
            *count -= 1;
        }
    }
}

/// Rendezvous weight: the same at every entry.
fn weight(seed: u64, id: u64) -> u64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ id.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 31;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 29)
}
