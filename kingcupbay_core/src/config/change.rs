//! Changes that a patch makes to a configuration, and reasons to refuse them.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::model::{
    Adapter, Config, Key, KeyHash, Member, Organisation, Role, Route, Serves, Upstream, Version,
};
use crate::id::{AdapterId, MemberId, Name, OrganisationId};

/// One change. `Set…` creates the row or replaces its content.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or changes an organisation.
    SetOrganisation {
        /// Name of the organisation.
        name: Name,
        /// Tokens per second.
        rate: u64,
        /// Most tokens that may be used at once.
        burst: u64,
    },
    /// Removes an organisation that nothing refers to.
    RemoveOrganisation {
        /// Name of the organisation.
        name: Name,
    },
    /// Issues an access key. Refused while the label is in use.
    IssueKey {
        /// Label of the key.
        label: Name,
        /// Organisation that the key belongs to.
        organisation: Name,
        /// Hash of the secret.
        hash: KeyHash,
    },
    /// Withdraws an access key.
    WithdrawKey {
        /// Label of the key.
        label: Name,
    },
    /// Creates or changes an adapter. Its organisation cannot change.
    SetAdapter {
        /// Name of the adapter.
        name: Name,
        /// Organisation that owns the adapter.
        organisation: Name,
        /// Base model that the adapter extends.
        base: Name,
        /// Label of the version used when a request names only the adapter.
        default: Option<Name>,
    },
    /// Removes an adapter with all its versions.
    RemoveAdapter {
        /// Name of the adapter.
        name: Name,
    },
    /// Creates a version. Its source cannot change.
    SetVersion {
        /// Name of the adapter.
        adapter: Name,
        /// Label of the version.
        label: Name,
        /// Path in the weight store.
        source: String,
    },
    /// Removes a version that is not its adapter's default.
    RemoveVersion {
        /// Name of the adapter.
        adapter: Name,
        /// Label of the version.
        label: Name,
    },
    /// Creates or changes an upstream.
    SetUpstream {
        /// The complete row.
        upstream: Upstream,
    },
    /// Removes an upstream.
    RemoveUpstream {
        /// Name of the upstream.
        name: Name,
    },
    /// Creates or changes a route.
    SetRoute {
        /// Name of the route.
        name: Name,
        /// Organisation that may use the route.
        organisation: Name,
        /// Service that the route leads to.
        service: Name,
        /// Whether a call runs at most once.
        once: bool,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        name: Name,
    },
    /// Adds a daemon as a member, or replaces it with a new incarnation.
    Join {
        /// Host of the daemon.
        host: Name,
        /// Address that other daemons connect to, `IP:PORT`.
        address: String,
        /// Availability zone of the host.
        zone: Name,
        /// Role of the daemon.
        role: Role,
        /// Random number drawn when the daemon starts.
        incarnation: u64,
    },
    /// Removes a member.
    Leave {
        /// Host of the daemon.
        host: Name,
        /// Incarnation to remove; refused if another incarnation has joined since.
        incarnation: u64,
    },
}

/// Why a change is refused, with the row and field concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub enum Refusal {
    /// A row that must exist does not.
    #[error("{kind} {name} does not exist")]
    Missing {
        /// Kind of row.
        kind: String,
        /// Name of the row.
        name: String,
    },
    /// A row that must not exist does.
    #[error("{kind} {name} exists already")]
    Exists {
        /// Kind of row.
        kind: String,
        /// Name of the row.
        name: String,
    },
    /// Another row refers to this one.
    #[error("{kind} {name} is in use by {user}")]
    InUse {
        /// Kind of row.
        kind: String,
        /// Name of the row.
        name: String,
        /// The row that refers to this one.
        user: String,
    },
    /// A field's value is not allowed.
    #[error("{kind} {name}: {field} = {found}: {allowed}")]
    Value {
        /// Kind of row.
        kind: String,
        /// Name of the row.
        name: String,
        /// Name of the field.
        field: String,
        /// Value of the field.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

fn missing(kind: &str, name: impl ToString) -> Refusal {
    Refusal::Missing { kind: kind.into(), name: name.to_string() }
}

fn exists(kind: &str, name: impl ToString) -> Refusal {
    Refusal::Exists { kind: kind.into(), name: name.to_string() }
}

fn in_use(kind: &str, name: &Name, user: impl ToString) -> Refusal {
    Refusal::InUse { kind: kind.into(), name: name.to_string(), user: user.to_string() }
}

fn value(
    kind: &str,
    name: impl ToString,
    field: &str,
    found: impl ToString,
    allowed: &str,
) -> Refusal {
    Refusal::Value {
        kind: kind.into(),
        name: name.to_string(),
        field: field.into(),
        found: found.to_string(),
        allowed: allowed.into(),
    }
}

fn check_address(kind: &str, name: &Name, address: &str) -> Result<(), Refusal> {
    match address.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(value(kind, name, "address", address, "IP:PORT is allowed")),
    }
}

impl Config {
    /// Applies one change.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused; the configuration is then unchanged.
    pub fn change(&mut self, change: &Change) -> Result<(), Refusal> {
        match change {
            Change::SetOrganisation { name, rate, burst } => {
                self.set_organisation(name, *rate, *burst)
            }
            Change::RemoveOrganisation { name } => self.remove_organisation(name),
            Change::IssueKey { label, organisation, hash } => {
                self.issue_key(label, organisation, *hash)
            }
            Change::WithdrawKey { label } => self.withdraw_key(label),
            Change::SetAdapter { name, organisation, base, default } => {
                self.set_adapter(name, organisation, base, default.as_ref())
            }
            Change::RemoveAdapter { name } => self.remove_adapter(name),
            Change::SetVersion { adapter, label, source } => {
                self.set_version(adapter, label, source)
            }
            Change::RemoveVersion { adapter, label } => self.remove_version(adapter, label),
            Change::SetUpstream { upstream } => self.set_upstream(upstream),
            Change::RemoveUpstream { name } => self.remove_upstream(name),
            Change::SetRoute { name, organisation, service, once } => {
                self.set_route(name, organisation, service, *once)
            }
            Change::RemoveRoute { name } => self.remove_route(name),
            Change::Join { host, address, zone, role, incarnation } => self.join(Member {
                host: host.clone(),
                address: address.clone(),
                zone: zone.clone(),
                role: *role,
                incarnation: *incarnation,
            }),
            Change::Leave { host, incarnation } => self.leave(host, *incarnation),
        }
    }

    fn organisation_id(&self, name: &Name) -> Result<OrganisationId, Refusal> {
        let id = self.organisation_names.get(name).copied();
        id.ok_or_else(|| missing("organisation", name))
    }

    fn adapter_id(&self, name: &Name) -> Result<AdapterId, Refusal> {
        self.adapter_names.get(name).copied().ok_or_else(|| missing("adapter", name))
    }

    fn set_organisation(&mut self, name: &Name, rate: u64, burst: u64) -> Result<(), Refusal> {
        if rate == 0 {
            return Err(value("organisation", name, "rate", rate, "1 or more is allowed"));
        }
        if burst == 0 {
            return Err(value("organisation", name, "burst", burst, "1 or more is allowed"));
        }
        let row = Organisation { name: name.clone(), rate, burst };
        match self.organisation_names.get(name) {
            Some(&id) => *self.organisations.get_mut(id).expect("indexed row exists") = row,
            None => {
                let id = self.organisations.insert(row);
                self.organisation_names.insert(name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_organisation(&mut self, name: &Name) -> Result<(), Refusal> {
        let id = self.organisation_id(name)?;
        if let Some((_, key)) = self.keys.iter().find(|(_, key)| key.organisation == id) {
            return Err(in_use("organisation", name, format!("key {}", key.label)));
        }
        if let Some((_, row)) = self.adapters.iter().find(|(_, row)| row.organisation == id) {
            return Err(in_use("organisation", name, format!("adapter {}", row.name)));
        }
        if let Some((_, row)) = self.routes.iter().find(|(_, row)| row.organisation == id) {
            return Err(in_use("organisation", name, format!("route {}", row.name)));
        }
        self.organisations.remove(id);
        self.organisation_names.remove(name);
        Ok(())
    }

    fn issue_key(&mut self, label: &Name, owner: &Name, hash: KeyHash) -> Result<(), Refusal> {
        let organisation = self.organisation_id(owner)?;
        if self.key_names.contains_key(label) {
            return Err(exists("key", label));
        }
        if self.keys.iter().any(|(_, key)| key.hash == hash) {
            return Err(exists("key with the secret of", label));
        }
        let id = self.keys.insert(Key { label: label.clone(), organisation, hash });
        self.key_names.insert(label.clone(), id);
        Ok(())
    }

    fn withdraw_key(&mut self, label: &Name) -> Result<(), Refusal> {
        let id = self.key_names.remove(label).ok_or_else(|| missing("key", label))?;
        self.keys.remove(id);
        Ok(())
    }

    fn set_adapter(
        &mut self,
        name: &Name,
        owner: &Name,
        base: &Name,
        default: Option<&Name>,
    ) -> Result<(), Refusal> {
        let organisation = self.organisation_id(owner)?;
        let known = self.adapter_names.get(name).copied();
        let old = known.and_then(|id| self.adapters.get(id));
        if let Some(old) = old
            && old.organisation != organisation
        {
            let allowed = "an adapter stays with its organisation; remove it first";
            return Err(value("adapter", name, "organisation", owner, allowed));
        }
        let versions = old.map(|old| old.versions.clone()).unwrap_or_default();
        let default = match default {
            None => None,
            Some(label) => {
                let id = versions.get(label).copied();
                Some(id.ok_or_else(|| missing("version", format!("{name}@{label}")))?)
            }
        };
        let row =
            Adapter { name: name.clone(), organisation, base: base.clone(), default, versions };
        match known {
            Some(id) => *self.adapters.get_mut(id).expect("indexed row exists") = row,
            None => {
                let id = self.adapters.insert(row);
                self.adapter_names.insert(name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_adapter(&mut self, name: &Name) -> Result<(), Refusal> {
        let id = self.adapter_id(name)?;
        let row = self.adapters.remove(id).expect("indexed row exists");
        self.adapter_names.remove(name);
        for version in row.versions.into_values() {
            self.versions.remove(version);
        }
        Ok(())
    }

    fn set_version(&mut self, adapter: &Name, label: &Name, source: &str) -> Result<(), Refusal> {
        let id = self.adapter_id(adapter)?;
        let full = format!("{adapter}@{label}");
        if source.is_empty() {
            return Err(value("version", full, "source", source, "a path is required"));
        }
        let row = self.adapters.get_mut(id).expect("indexed row exists");
        if let Some(&old) = row.versions.get(label) {
            let same = self.versions.get(old).is_some_and(|old| old.source == source);
            let allowed = "a version's source stays; make another version";
            let refusal = value("version", full, "source", source, allowed);
            return if same { Ok(()) } else { Err(refusal) };
        }
        let version = Version { adapter: id, label: label.clone(), source: source.to_owned() };
        row.versions.insert(label.clone(), self.versions.insert(version));
        Ok(())
    }

    fn remove_version(&mut self, adapter: &Name, label: &Name) -> Result<(), Refusal> {
        let id = self.adapter_id(adapter)?;
        let row = self.adapters.get_mut(id).expect("indexed row exists");
        let full = format!("{adapter}@{label}");
        let Some(&version) = row.versions.get(label) else {
            return Err(missing("version", full));
        };
        if row.default == Some(version) {
            return Err(Refusal::InUse {
                kind: "version".into(),
                name: full,
                user: format!("adapter {adapter} as its default"),
            });
        }
        row.versions.remove(label);
        self.versions.remove(version);
        Ok(())
    }

    fn set_upstream(&mut self, row: &Upstream) -> Result<(), Refusal> {
        check_address("upstream", &row.name, &row.address)?;
        if let Serves::Model { slots: 0, .. } = row.serves {
            return Err(value("upstream", &row.name, "slots", 0, "1 or more is allowed"));
        }
        match self.upstream_names.get(&row.name) {
            Some(&id) => *self.upstreams.get_mut(id).expect("indexed row exists") = row.clone(),
            None => {
                let id = self.upstreams.insert(row.clone());
                self.upstream_names.insert(row.name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_upstream(&mut self, name: &Name) -> Result<(), Refusal> {
        let id = self.upstream_names.remove(name).ok_or_else(|| missing("upstream", name))?;
        self.upstreams.remove(id);
        Ok(())
    }

    fn set_route(
        &mut self,
        name: &Name,
        owner: &Name,
        service: &Name,
        once: bool,
    ) -> Result<(), Refusal> {
        let organisation = self.organisation_id(owner)?;
        let row = Route { name: name.clone(), organisation, service: service.clone(), once };
        match self.route_names.get(name) {
            Some(&id) => *self.routes.get_mut(id).expect("indexed row exists") = row,
            None => {
                let id = self.routes.insert(row);
                self.route_names.insert(name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_route(&mut self, name: &Name) -> Result<(), Refusal> {
        let id = self.route_names.remove(name).ok_or_else(|| missing("route", name))?;
        self.routes.remove(id);
        Ok(())
    }

    fn join(&mut self, member: Member) -> Result<(), Refusal> {
        check_address("member", &member.host, &member.address)?;
        // A new incarnation gets a new member id, so that confirmations of the
        // old incarnation are not counted for the new one.
        if let Some(old) = self.member_names.remove(&member.host) {
            self.members.remove(old);
        }
        let host = member.host.clone();
        let id: MemberId = self.members.insert(member);
        self.member_names.insert(host, id);
        Ok(())
    }

    fn leave(&mut self, host: &Name, incarnation: u64) -> Result<(), Refusal> {
        let (id, member) = self.member(host).ok_or_else(|| missing("member", host))?;
        if member.incarnation != incarnation {
            let allowed = "another incarnation has joined since";
            return Err(value("member", host, "incarnation", incarnation, allowed));
        }
        self.members.remove(id);
        self.member_names.remove(host);
        Ok(())
    }
}
