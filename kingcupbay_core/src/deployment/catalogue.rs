//! The newest of everything that a daemon has learned from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::{
    config::model::Role,
    time::{Instant, Span},
    wire::read_position::{ChangeKind, TableChange},
};

use super::{
    departures::Departures,
    model::{AdapterName, Deployment, Instance},
};

/// Another daemon of the fleet, as it has registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its host's name.
    pub host: String,
    /// Its role.
    pub role: Role,
    /// Where it takes messages of other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Drawn at its start, so that a restart is told from a stall.
    pub incarnation: u64,
}

/// What a daemon knows of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// The configuration in force; `None` until one is known.
    deployment: Option<Rc<Deployment>>,
    /// Newest version of each adapter and base model that was ever announced.
    versions: BTreeMap<AdapterName, u32>,
    /// Registered upstreams by id.
    instances: BTreeMap<String, Rc<Instance>>,
    /// Upstreams that vanished while the store was away, by when that showed.
    /// Invariant: all are among `instances`.
    missing: BTreeMap<String, Instant>,
    /// Upstreams at whose address another one has started since. Their rows outlast them
    /// for some heartbeats. Invariant: all are among `instances`.
    replaced: BTreeSet<String>,
    /// Upstreams that left.
    departures: Departures,
    /// Daemons by host.
    members: BTreeMap<String, Member>,
}

/// How long an upstream that vanished around an outage of the store is still
/// used: the registration lapses while nobody can renew it, and those that
/// live are back within two seconds of the store's return.
const LAPSE: Span = Span::from_millis(2_500);

impl Catalogue {
    /// The configuration in force.
    pub fn deployment(&self) -> Option<&Rc<Deployment>> {
        self.deployment.as_ref()
    }

    /// Takes `next` unless it is older than what is in force. Says whether it
    /// was taken. A version never goes back while the process lives: a read
    /// that was answered late, or a peer that lags, must not revive a dropped
    /// route or a withdrawn key.
    pub fn on_deployment(&mut self, next: Deployment) -> bool {
        if self.deployment.as_ref().is_some_and(|now| now.number >= next.number) {
            return false;
        }
        self.deployment = Some(Rc::new(next));
        true
    }

    /// Newest announced version of an adapter.
    pub fn version(&self, name: &AdapterName) -> Option<u32> {
        self.versions.get(name).copied()
    }

    /// Every announced version.
    pub fn versions(&self) -> &BTreeMap<AdapterName, u32> {
        &self.versions
    }

    /// Takes an announced version unless a newer one is known; says whether
    /// it was taken.
    pub fn on_version(&mut self, name: AdapterName, version: u32) -> bool {
        let known = self.versions.entry(name).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// An upstream by id.
    pub fn instance(&self, id: &str) -> Option<&Rc<Instance>> {
        self.instances.get(id)
    }

    /// Every registered upstream.
    pub fn instances(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.instances.values()
    }

    /// Upstreams of `service` that take new work.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Instance>> {
        let takes = |row: &&Rc<Instance>| !row.leaving && !self.replaced.contains(&row.id);
        self.instances().filter(move |row| row.service == service).filter(takes)
    }

    /// Those of them that are listed, or the missing ones where no other is left. After
    /// a cut of all entries nobody can tell whether an upstream that is missing lapsed
    /// or left; a booking at one that is listed is safe. Engines are not picked so: the
    /// first to be back after an outage would have to load the adapters of all, and the
    /// daemon beside one that left gives no places.
    pub fn listed<'a>(&'a self, service: &'a str) -> Vec<&'a Rc<Instance>> {
        let is_missing = |row: &&Rc<Instance>| self.missing.contains_key(&row.id);
        let (missing, listed): (Vec<_>, Vec<_>) = self.serving(service).partition(is_missing);
        if listed.is_empty() { missing } else { listed }
    }

    /// Takes a registration unless newer is known of the upstream.
    pub fn on_instance(&mut self, now: Instant, row: Instance) {
        if self.is_outdated(&row) {
            return;
        }
        if row.leaving {
            self.departures.on_store(now, &row.id, row.version);
        }
        self.insert(row);
    }

    fn insert(&mut self, row: Instance) {
        if !row.leaving {
            self.departures.on_back(&row.id);
        }
        self.missing.remove(&row.id);
        let address = row.address;
        let before = self.instances.insert(row.id.clone(), Rc::new(row));
        self.find_replaced(address);
        if let Some(before) = before.filter(|before| before.address != address) {
            self.find_replaced(before.address);
        }
    }

    /// Only the upstream that started last can be at `address`.
    fn find_replaced(&mut self, address: SocketAddr) {
        let there = || self.instances.values().filter(|row| row.address == address);
        let last = there().map(|row| row.born).max().unwrap_or_default();
        for row in there() {
            match row.born < last {
                true => self.replaced.insert(row.id.clone()),
                false => self.replaced.remove(&row.id),
            };
        }
    }

    /// Whether other entries have to hear of `row`. One that was missing is news to
    /// those that miss it too.
    pub fn is_news(&self, row: &Instance) -> bool {
        let before = self.instances.get(&row.id);
        self.missing.contains_key(&row.id) || before.is_none_or(|before| row.is_news(before))
    }

    /// Takes a change that another entry has read.
    pub fn on_changed(&mut self, now: Instant, change: TableChange) {
        let version = change.version;
        match change.kind {
            ChangeKind::Upstream(row) if row.leaving => {
                self.departures.on_told(now, &row.id, version);
                if !self.is_outdated(&row) {
                    self.insert(row);
                }
            }
            ChangeKind::Upstream(row) => self.on_instance(now, row),
            ChangeKind::UpstreamGone(id) => {
                if self.instances.get(&id).is_some_and(|known| known.version <= version) {
                    self.departures.on_told(now, &id, version);
                    self.drop_instance(&id);
                }
            }
            ChangeKind::Entry(member) => self.on_member(member),
            ChangeKind::EntryGone(host) => self.on_member_gone(&host),
        }
    }

    /// Whether newer is known than `row`: reads may lag once the store has dropped its
    /// history, another entry may have told that the upstream left, and what it wrote
    /// before that may reach the store after it.
    fn is_outdated(&self, row: &Instance) -> bool {
        let left = self.departures.version(&row.id).unwrap_or_default();
        let known = self.instances.get(&row.id).is_some_and(|known| {
            row.version < known.version || (row.born == known.born && row.count < known.count)
        });
        known || row.version < left
    }

    /// An upstream's registration is gone as of `version`; it gets nothing new.
    pub fn on_instance_gone(&mut self, now: Instant, id: &str, version: u64) {
        if self.instances.get(id).is_none_or(|known| known.version > version) {
            return;
        }
        self.departures.on_store(now, id, version);
        self.drop_instance(id);
    }

    /// Another entry tells that an upstream has left as of `version`. Says whether
    /// that was news.
    pub fn on_left(&mut self, now: Instant, id: &str, version: u64) -> bool {
        self.departures.on_told(now, id, version);
        let newer = |known: &&Rc<Instance>| known.version < version && !known.leaving;
        let Some(known) = self.instances.get(id).filter(newer) else { return false };
        let left = Instance { leaving: true, version, ..Instance::clone(known) };
        self.instances.insert(id.to_owned(), Rc::new(left));
        true
    }

    /// What the next tally tells of upstreams that have left.
    pub fn departures(&mut self, now: Instant, whole: bool) -> BTreeMap<String, u64> {
        self.departures.tell(now, whole)
    }

    /// Takes the whole list of registrations as of `version`. After an outage of the
    /// store the ones that are missing stay for a while: see [`LAPSE`]. Says which do.
    pub fn on_instances(
        &mut self,
        now: Instant,
        rows: Vec<Instance>,
        version: u64,
        after_outage: bool,
    ) -> Vec<String> {
        let listed: BTreeSet<String> = rows.iter().map(|row| row.id.clone()).collect();
        for row in rows {
            self.on_instance(now, row);
        }
        let absent =
            |known: &&Rc<Instance>| !listed.contains(&known.id) && known.version <= version;
        let absent: Vec<Rc<Instance>> = self.instances.values().filter(absent).cloned().collect();
        for row in absent {
            match after_outage && !row.leaving {
                // One that is missing already is not given more time.
                true => drop(self.missing.entry(row.id.clone()).or_insert(now)),
                false => self.drop_instance(&row.id),
            }
        }
        self.missing.keys().cloned().collect()
    }

    fn drop_instance(&mut self, id: &str) {
        self.missing.remove(id);
        self.replaced.remove(id);
        if let Some(row) = self.instances.remove(id) {
            self.find_replaced(row.address);
        }
    }

    /// Drops upstreams that did not come back after an outage, and says which.
    pub fn on_tick(&mut self, now: Instant) -> Vec<String> {
        let over = |since: &Instant| now.since(*since) >= LAPSE;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(|(_, since)| over(since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.drop_instance(id);
        }
        gone
    }

    /// Every known daemon.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Daemons of one role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members().filter(move |member| member.role == role)
    }

    /// Takes a daemon's registration.
    pub fn on_member(&mut self, member: Member) {
        // A replacement at a dead host's address takes its place.
        self.members.retain(|_, other| other.address != member.address);
        self.members.insert(member.host.clone(), member);
    }

    /// A daemon's registration is gone.
    pub fn on_member_gone(&mut self, host: &str) {
        self.members.remove(host);
    }

    /// Takes the whole list of daemons.
    pub fn on_members(&mut self, rows: Vec<Member>) {
        self.members.clear();
        for row in rows {
            self.on_member(row);
        }
    }
}
