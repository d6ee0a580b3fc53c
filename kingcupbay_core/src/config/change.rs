//! What a patch may do to a configuration, and why it may be refused.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::model::{
    Adapter, Config, Key, KeyHash, Member, Organisation, Role, Route, Serves, Upstream, Version,
};
use crate::id::{AdapterId, MemberId, Name, OrganisationId};

/// One change. `Set…` makes the row or replaces its content.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Makes or changes an organisation.
    SetOrganisation {
        /// Its name.
        name: Name,
        /// Tokens a second.
        rate: u64,
        /// Tokens at once.
        burst: u64,
    },
    /// Removes an organisation that nothing refers to.
    RemoveOrganisation {
        /// Its name.
        name: Name,
    },
    /// Issues an access key. A label is never issued twice while in use.
    IssueKey {
        /// Its label.
        label: Name,
        /// Whose key.
        organisation: Name,
        /// Hash of the secret.
        hash: KeyHash,
    },
    /// Withdraws an access key.
    WithdrawKey {
        /// Its label.
        label: Name,
    },
    /// Makes or changes an adapter. Its organisation never changes.
    SetAdapter {
        /// Its name.
        name: Name,
        /// Whose adapter.
        organisation: Name,
        /// Base model.
        base: Name,
        /// Label of the default version.
        default: Option<Name>,
    },
    /// Removes an adapter with all its versions.
    RemoveAdapter {
        /// Its name.
        name: Name,
    },
    /// Makes a version. Its source never changes.
    SetVersion {
        /// The adapter.
        adapter: Name,
        /// The version's label.
        label: Name,
        /// Where the weight store keeps it.
        source: String,
    },
    /// Removes a version that is not its adapter's default.
    RemoveVersion {
        /// The adapter.
        adapter: Name,
        /// The version's label.
        label: Name,
    },
    /// Makes or changes an upstream.
    SetUpstream {
        /// The whole row.
        upstream: Upstream,
    },
    /// Removes an upstream.
    RemoveUpstream {
        /// Its name.
        name: Name,
    },
    /// Makes or changes a route.
    SetRoute {
        /// Its name.
        name: Name,
        /// Who may use it.
        organisation: Name,
        /// Service behind it.
        service: Name,
        /// Whether a call runs at most once.
        once: bool,
    },
    /// Removes a route.
    RemoveRoute {
        /// Its name.
        name: Name,
    },
    /// A daemon joins, or joins again with a new incarnation.
    Join {
        /// Its host.
        host: Name,
        /// Address of its peers' port.
        address: String,
        /// Its availability zone.
        zone: Name,
        /// Its role.
        role: Role,
        /// Drawn at its start.
        incarnation: u64,
    },
    /// A daemon is gone.
    Leave {
        /// Its host.
        host: Name,
        /// The incarnation that is gone; another one stays.
        incarnation: u64,
    },
}

/// Why a change is refused. The row and field are named.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub enum Refusal {
    /// A row that must exist does not.
    #[error("{kind} {name} does not exist")]
    Missing {
        /// Kind of row.
        kind: String,
        /// Its name.
        name: String,
    },
    /// A row that must not exist does.
    #[error("{kind} {name} exists already")]
    Exists {
        /// Kind of row.
        kind: String,
        /// Its name.
        name: String,
    },
    /// Another row refers to this one.
    #[error("{kind} {name} is in use by {user}")]
    InUse {
        /// Kind of row.
        kind: String,
        /// Its name.
        name: String,
        /// The row that refers to it.
        user: String,
    },
    /// A field's value is not allowed.
    #[error("{kind} {name}: {field} = {found}: {allowed}")]
    Value {
        /// Kind of row.
        kind: String,
        /// Its name.
        name: String,
        /// The field.
        field: String,
        /// Its value.
        found: String,
        /// What is allowed.
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
    /// Carries out one change, or refuses it and changes nothing.
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
        // A new incarnation is another member: whoever still counts vouches
        // of the old one must not take them for the new one's.
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
