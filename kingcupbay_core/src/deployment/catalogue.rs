//! The newest state of the deployment that a daemon knows: configuration, versions,
//! upstreams and other daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::{
    cold::ColdLimits,
    config::model::Role,
    time::{Instant, Span},
    wire::{
        read_position::{ChangeKind, TableChange},
        rows::era,
    },
};

use super::{
    announced::AnnouncedDepartures,
    departures::Departures,
    evacuations::Evacuations,
    model::{AdapterName, Deployment, Instance},
    waits::{RELAYED_FOR, REWRITE_MAX},
};

/// Registration of another daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of its host.
    pub host: String,
    /// Its role.
    pub role: Role,
    /// Address at which it accepts messages of other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Drawn at its start, to distinguish a restart from a stall.
    pub incarnation: u64,
}

/// State of the deployment, as far as a daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// The configuration in force; `None` until one is known.
    deployment: Option<Rc<Deployment>>,
    /// Newest announced version of each adapter and base model.
    versions: BTreeMap<AdapterName, u32>,
    /// Registered upstreams by id.
    instances: BTreeMap<String, Rc<Instance>>,
    /// Upstreams that were missing from the store after an outage, with the time at
    /// which that was noticed. Invariant: all are in `instances`.
    missing: BTreeMap<String, Instant>,
    /// Upstreams at whose address another one has started since. Their rows remain in
    /// the store for some heartbeats. Invariant: all are in `instances`.
    replaced: BTreeSet<String>,
    /// Upstreams that have left.
    departures: Departures,
    /// When each upstream turned out to leave, or to be gone. Invariant: none of them is in
    /// `instances` and stays.
    left: BTreeMap<String, Instant>,
    /// Upstreams that have said in their answers that they leave.
    announced: AnnouncedDepartures,
    /// Availability zones whose upstreams get no new requests.
    evacuations: Evacuations,
    /// When each upstream is no longer cold. Invariant: all are in `instances`.
    cold_until: BTreeMap<String, Instant>,
    /// Daemons by host.
    members: BTreeMap<String, Member>,
    /// Number of changes of `members`.
    member_changes: u64,
    /// Daemons that were missing after the store came back from an older copy, with the time
    /// at which that was noticed. Invariant: all are in `members`.
    members_missing: BTreeMap<String, Instant>,
}

/// How long an upstream is still used whose registration is missing after an outage of
/// the store. Registrations expire while they cannot be renewed, and running upstreams
/// register again within two seconds of the store's recovery.
const MISSING_MAX: Span = Span::from_millis(2_500);

/// How long it is kept when an upstream left. No request waits for one so long.
const LEFT_KEPT_FOR: Span = Span::from_secs(60);

/// What has become of an upstream since a request was sent to wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It is leaving.
    Leaving,
    /// It is no longer registered, or another process has taken its id or its address.
    Gone,
}

impl Catalogue {
    /// Returns the configuration in force.
    pub fn deployment(&self) -> Option<&Rc<Deployment>> {
        self.deployment.as_ref()
    }

    /// Applies `next` if it is newer than the configuration in force, and returns
    /// whether it was applied.
    ///
    /// The configuration number never decreases while the process runs: a stale read or
    /// a peer that lags must not restore a removed route or a withdrawn key.
    pub fn on_deployment(&mut self, next: Deployment) -> bool {
        if self.deployment.as_ref().is_some_and(|now| now.number >= next.number) {
            return false;
        }
        self.deployment = Some(Rc::new(next));
        true
    }

    /// Returns the newest announced version of an adapter.
    pub fn version(&self, name: &AdapterName) -> Option<u32> {
        self.versions.get(name).copied()
    }

    /// Returns the newest announced version of each adapter and base model.
    pub fn versions(&self) -> &BTreeMap<AdapterName, u32> {
        &self.versions
    }

    /// Applies an announced version if it is newer than the known one, and returns
    /// whether it was applied.
    pub fn on_version(&mut self, name: AdapterName, version: u32) -> bool {
        let known = self.versions.entry(name).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Returns the registration of an upstream.
    pub fn instance(&self, id: &str) -> Option<&Rc<Instance>> {
        self.instances.get(id)
    }

    /// Returns all registered upstreams.
    pub fn instances(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.instances.values()
    }

    /// Returns the upstreams of `service` that get new requests: those that are neither
    /// leaving, nor replaced at their address, nor in an evacuated zone.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Instance>> {
        let stays = |row: &&Rc<Instance>| !self.evacuations.is_evacuated(&row.zone);
        self.staying(service).filter(stays)
    }

    /// Returns the upstreams of `service` that are neither leaving nor replaced at their
    /// address.
    fn staying<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Instance>> {
        let stays = |row: &&Rc<Instance>| {
            !row.leaving && !self.replaced.contains(&row.id) && !self.has_announced_leaving(row)
        };
        self.instances().filter(move |row| row.service == service).filter(stays)
    }

    /// Records that the upstream `id`, started at `born`, has said in an answer that it
    /// leaves. Returns whether that was not known.
    pub fn on_leaving_answer(&mut self, now: Instant, id: &str, born: u64) -> bool {
        self.announced.on_answer(now, id, born)
    }

    /// Returns whether the upstream `row` has said in an answer that it leaves.
    pub fn has_announced_leaving(&self, row: &Instance) -> bool {
        self.announced.contains(&row.id, row.born)
    }

    /// Returns whether the process that `row` registered no longer gets new requests.
    pub fn withdrawal(&self, row: &Instance) -> Option<Withdrawal> {
        match self.instances.get(&row.id) {
            Some(known) if known.born == row.born && !self.replaced.contains(&row.id) => {
                known.leaving.then_some(Withdrawal::Leaving)
            }
            _ => Some(Withdrawal::Gone),
        }
    }

    /// Returns for how long the upstream `id` has been known to leave, or to be gone. `None` if
    /// it stays, perhaps as another process.
    pub fn left_for(&self, now: Instant, id: &str) -> Option<Span> {
        match self.left.get(id) {
            Some(&since) => Some(now.since(since)),
            None => (!self.instances.contains_key(id)).then_some(LEFT_KEPT_FOR),
        }
    }

    /// Returns whether `service` has upstreams, and all of them are in evacuated zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.serving(service).next().is_none() && self.staying(service).next().is_some()
    }

    /// Returns the evacuated availability zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuated availability zones, to apply a change.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns how much longer the upstream `id` is cold.
    pub fn cold_remaining(&self, now: Instant, id: &str) -> Span {
        self.cold_until.get(id).map_or(Span::ZERO, |until| until.since(now))
    }

    /// Returns what the upstream `row` tolerates now, if it is cold.
    pub fn cold_limits(&self, now: Instant, row: &Instance) -> Option<ColdLimits> {
        let limits = self.deployment.as_ref()?.services.get(&row.service)?.cold;
        limits.filter(|_| self.cold_remaining(now, &row.id) > Span::ZERO)
    }

    /// Returns the upstreams of `service` that get new requests and are listed in the
    /// store, or the missing ones if none is listed.
    ///
    /// If all entries were cut off, none knows whether a missing upstream has left or
    /// its registration has only expired, and a request to a listed one is safe. Engines
    /// are not chosen this way: the first to register after an outage would have to load
    /// the adapters of all, and the sidecar of an engine that left grants no permits.
    pub fn listed<'a>(&'a self, service: &'a str) -> Vec<&'a Rc<Instance>> {
        let is_missing = |row: &&Rc<Instance>| self.missing.contains_key(&row.id);
        let (missing, listed): (Vec<_>, Vec<_>) = self.serving(service).partition(is_missing);
        if listed.is_empty() { missing } else { listed }
    }

    /// Applies a registration read from the store, unless a newer state of the upstream
    /// is known.
    pub fn on_instance(&mut self, now: Instant, row: Instance) {
        if self.is_outdated(&row) {
            return;
        }
        if row.leaving {
            self.departures.on_store(now, &row.id, row.version, Some((row.born, row.count)));
        }
        self.insert(now, row, false);
    }

    /// Stores a registration. `reported` says whether another entry has reported it.
    fn insert(&mut self, now: Instant, row: Instance, reported: bool) {
        if row.leaving {
            self.left.entry(row.id.clone()).or_insert(now);
        } else {
            self.left.remove(&row.id);
            self.departures.on_back(&row.id);
        }
        self.update_cold(now, &row, reported);
        self.missing.remove(&row.id);
        let address = row.address;
        let before = self.instances.insert(row.id.clone(), Rc::new(row));
        self.update_replaced(address);
        if let Some(before) = before.filter(|before| before.address != address) {
            self.update_replaced(before.address);
        }
    }

    /// Updates until when an upstream is cold. Its row says so, but a report of another
    /// entry does not: there, an upstream that has started is assumed to be cold.
    fn update_cold(&mut self, now: Instant, row: &Instance, reported: bool) {
        let services = self.deployment.as_ref().map(|deployment| &deployment.services);
        let limits = services.and_then(|services| services.get(&row.service)?.cold);
        let Some(limits) = limits else { return };
        let known = self.instances.get(&row.id);
        let started = known.map_or(reported, |known| known.born < row.born);
        let time = if started { limits.time } else { Span::ZERO }.max(row.cold_remaining);
        let until = self.cold_until.entry(row.id.clone()).or_default();
        *until = (*until).max(now + time);
    }

    /// Updates which upstreams at `address` count as replaced: all but the one that
    /// started last.
    fn update_replaced(&mut self, address: SocketAddr) {
        let at_address = || self.instances.values().filter(|row| row.address == address);
        let last = at_address().map(|row| row.born).max().unwrap_or_default();
        for row in at_address() {
            match row.born < last {
                true => self.replaced.insert(row.id.clone()),
                false => self.replaced.remove(&row.id),
            };
        }
    }

    /// Returns whether other entries need a report of `row`. They do if the upstream was
    /// missing, as they may miss it too.
    pub fn needs_report(&self, row: &Instance) -> bool {
        let before = self.instances.get(&row.id);
        self.missing.contains_key(&row.id) || before.is_none_or(|before| row.needs_report(before))
    }

    /// Applies a change that another entry has read from the store.
    pub fn on_reported_change(&mut self, now: Instant, change: TableChange) {
        let version = change.version;
        match change.kind {
            ChangeKind::Upstream(mut row) => {
                // An entry of an earlier build does not report it.
                if row.software.is_empty()
                    && let Some(known) = self.instances.get(&row.id)
                    && known.born == row.born
                {
                    row.software.clone_from(&known.software);
                }
                if row.leaving {
                    self.departures.on_report(now, &row.id, version, Some((row.born, row.count)));
                }
                if !self.is_outdated(&row) {
                    self.insert(now, row, true);
                }
            }
            ChangeKind::UpstreamGone(id) => {
                if self.instances.get(&id).is_some_and(|known| known.version <= version) {
                    self.departures.on_report(now, &id, version, self.last_write(&id));
                    self.drop_instance(now, &id);
                }
            }
            ChangeKind::Entry(member) => self.on_member(member),
            ChangeKind::EntryGone(host) => self.on_member_gone(&host),
        }
    }

    /// Returns whether a newer state than `row` is known.
    ///
    /// Reads may lag once the store has dropped its history, another entry may have
    /// reported that the upstream left, and an earlier write of the upstream may reach
    /// the store after a later one.
    fn is_outdated(&self, row: &Instance) -> bool {
        let departure = self.departures.last(&row.id);
        let left = departure.map_or(0, |(version, _)| version);
        // The store may carry out an earlier write late, or come back from a copy that shows the
        // last one.
        let is_earlier = departure.is_some_and(|(version, last)| {
            let write = Some((row.born, row.count));
            last > write || (last == write && era(version) < era(row.version))
        });
        let known = self.instances.get(&row.id).is_some_and(|known| {
            row.version < known.version || (row.born == known.born && row.count < known.count)
        });
        known || is_earlier || row.version < left
    }

    /// Removes an upstream whose registration was deleted as of `version`, unless a
    /// newer one is known.
    pub fn on_instance_gone(&mut self, now: Instant, id: &str, version: u64) {
        if self.instances.get(id).is_none_or(|known| known.version > version) {
            return;
        }
        self.departures.on_store(now, id, version, self.last_write(id));
        self.drop_instance(now, id);
    }

    /// Returns start and count of the newest known write of an upstream.
    fn last_write(&self, id: &str) -> Option<(u64, u64)> {
        self.instances.get(id).map(|row| (row.born, row.count))
    }

    /// Applies another entry's report that an upstream has left as of `version`, and
    /// returns whether that was not known yet.
    pub fn on_departure_report(&mut self, now: Instant, id: &str, version: u64) -> bool {
        self.departures.on_report(now, id, version, self.last_write(id));
        let newer = |known: &&Rc<Instance>| known.version < version && !known.leaving;
        let Some(known) = self.instances.get(id).filter(newer) else { return false };
        let left = Instance { leaving: true, version, ..Instance::clone(known) };
        self.left.entry(id.to_owned()).or_insert(now);
        self.instances.insert(id.to_owned(), Rc::new(left));
        true
    }

    /// Returns the departures to name in the next usage report, with the versions of the
    /// store that show them. `whole` says whether that report is a full one.
    pub fn departures_to_report(&mut self, now: Instant, whole: bool) -> BTreeMap<String, u64> {
        self.departures.report(now, whole)
    }

    /// Returns the departures to pass on to followers, with the versions of the store that show
    /// them.
    pub fn departures_to_relay(&self, now: Instant) -> BTreeMap<String, u64> {
        self.departures.recent(now, RELAYED_FOR)
    }

    /// Applies the complete list of registrations as of `version`.
    ///
    /// After an outage of the store, upstreams that are not listed are kept for
    /// `MISSING_MAX`. Returns the ids of the upstreams that are missing.
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
                // The time of an upstream that is already missing is not extended.
                true => drop(self.missing.entry(row.id.clone()).or_insert(now)),
                false => self.drop_instance(now, &row.id),
            }
        }
        self.missing.keys().cloned().collect()
    }

    fn drop_instance(&mut self, now: Instant, id: &str) {
        self.left.entry(id.to_owned()).or_insert(now);
        self.missing.remove(id);
        self.replaced.remove(id);
        self.cold_until.remove(id);
        if let Some(row) = self.instances.remove(id) {
            self.update_replaced(row.address);
        }
    }

    /// Drops upstreams that did not register again after an outage, and returns their
    /// ids. Drops daemons that did not either.
    pub fn on_tick(&mut self, now: Instant) -> Vec<String> {
        self.announced.expire(now, |id| self.instances.contains_key(id));
        let expired = |since: &Instant| now.since(*since) >= REWRITE_MAX;
        let missing = std::mem::take(&mut self.members_missing);
        let (gone, missing): (BTreeMap<_, _>, BTreeMap<_, _>) =
            missing.into_iter().partition(|(_, since)| expired(since));
        self.members_missing = missing;
        self.member_changes += u64::from(!gone.is_empty());
        self.members.retain(|host, _| !gone.contains_key(host));
        let expired = |since: &Instant| now.since(*since) >= MISSING_MAX;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(|(_, since)| expired(since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.drop_instance(now, id);
        }
        let (left, instances) = (&mut self.left, &self.instances);
        left.retain(|id, since| instances.contains_key(id) || now.since(*since) < LEFT_KEPT_FOR);
        gone
    }

    /// Returns all known daemons.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the daemons of one role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members().filter(move |member| member.role == role)
    }

    /// Returns a number that grows with each change of the list of daemons.
    pub fn member_changes(&self) -> u64 {
        self.member_changes
    }

    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.of_role(Role::Entry)
    }

    /// Applies a daemon's registration.
    pub fn on_member(&mut self, member: Member) {
        self.member_changes += 1;
        // A host that reuses the address of a dead one replaces it.
        self.members.retain(|_, other| other.address != member.address);
        self.members_missing.remove(&member.host);
        self.members.insert(member.host.clone(), member);
    }

    /// Removes a daemon whose registration was deleted.
    pub fn on_member_gone(&mut self, host: &str) {
        self.member_changes += 1;
        self.members_missing.remove(host);
        self.members.remove(host);
    }

    /// Applies the complete list of daemons. Those that were missing after the store came back
    /// from an older copy are kept until [`Catalogue::on_tick`].
    pub fn on_members(&mut self, rows: Vec<Member>) {
        self.member_changes += 1;
        let missing = &self.members_missing;
        self.members.retain(|host, _| missing.contains_key(host));
        for row in rows {
            self.on_member(row);
        }
    }

    /// Applies the complete list of daemons after the store has come back from an older
    /// copy. Daemons that it lacks are kept for a while, as they register again: without
    /// them, the others would share the organisations' limits among too few. The daemon on
    /// the host `own` is not kept, so that it registers again.
    pub fn on_members_rewound(&mut self, now: Instant, rows: Vec<Member>, own: &str) {
        let listed: BTreeSet<String> = rows.iter().map(|row| row.host.clone()).collect();
        self.member_changes += 1;
        self.members.remove(own);
        let missing = self.members.keys().filter(|host| !listed.contains(*host));
        let missing: Vec<String> = missing.cloned().collect();
        for row in rows {
            self.on_member(row);
        }
        for host in missing {
            self.members_missing.entry(host).or_insert(now);
        }
        self.members_missing.retain(|host, _| self.members.contains_key(host));
    }
}
