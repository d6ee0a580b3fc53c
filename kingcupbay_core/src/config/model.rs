//! Rows of a configuration and the queries over them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    arena::Arena,
    id::{
        AdapterId, KeyId, MemberId, Name, Number, OrganisationId, RouteId, UpstreamId, VersionId,
    },
};

/// SHA-256 of an access key. Keys are 256 random bits, so a plain hash does.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl KeyHash {
    /// The hash of a key as a caller presents it.
    pub fn of(secret: &str) -> KeyHash {
        KeyHash(Sha256::digest(secret.as_bytes()).into())
    }
}

/// A customer with keys, adapters and a limit of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// What an organisation may have over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Total {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// An access key that callers present.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Operators' label.
    pub label: Name,
    /// Whose key it is.
    pub organisation: OrganisationId,
    /// Hash of the secret.
    pub hash: KeyHash,
}

/// An adapter of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Adapter {
    /// Its name, unique over all organisations.
    pub name: Name,
    /// Whose adapter it is.
    pub organisation: OrganisationId,
    /// The base model it is made for.
    pub base: Name,
    /// Version that a bare adapter name means.
    pub default: Option<VersionId>,
    /// Its versions by label.
    pub versions: BTreeMap<Name, VersionId>,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Version {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its label.
    pub label: Name,
    /// Where the weight store keeps it.
    pub source: String,
}

/// A back end and the daemon in front of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// The host whose daemon owns it.
    pub host: Name,
    /// Address of the engine or service, `IP:PORT`.
    pub address: String,
    /// Its availability zone.
    pub zone: Name,
    /// What it serves.
    pub serves: Serves,
    /// A leaving upstream gets no new work.
    pub leaving: bool,
}

/// What an [`Upstream`] serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Adapters of a base model.
    Model {
        /// The base model.
        base: Name,
        /// Adapter slots.
        slots: u32,
        /// Whether the engine refuses old fencing numbers.
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// Name that routes refer to.
        service: Name,
    },
}

/// A way for callers to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Its name, the first segment of the path.
    pub name: Name,
    /// The organisation that may use it.
    pub organisation: OrganisationId,
    /// The service behind it.
    pub service: Name,
    /// Whether a call runs at most once.
    pub once: bool,
}

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Beside callers, behind the balancer.
    Entry,
    /// Beside one upstream host.
    Upstream,
}

/// A daemon that counts towards majorities.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: Name,
    /// Address of its peers' port, `IP:PORT`.
    pub address: String,
    /// Its availability zone.
    pub zone: Name,
    /// Its role.
    pub role: Role,
    /// Drawn at each start. A restarted daemon vouches for nothing until a
    /// store read has shown it its own new incarnation.
    pub incarnation: u64,
}

/// A whole configuration.
///
/// Invariants: every id held by a row names a row that exists; each `*_names`
/// index holds exactly the rows of its arena. [`change`](super::change) keeps
/// both, and is the only writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Its number.
    pub number: Number,
    /// The number that last changed an organisation's rate or burst, or which
    /// entries there are: the epoch of the rate shares. A reader of a snapshot
    /// could not tell it otherwise.
    pub shares: Number,
    /// The number at which an entry last left; zero when none ever has.
    pub left: Number,
    /// Organisations.
    pub organisations: Arena<OrganisationId, Organisation>,
    /// Organisations by name.
    pub organisation_names: BTreeMap<Name, OrganisationId>,
    /// Access keys.
    pub keys: Arena<KeyId, Key>,
    /// Access keys by label.
    pub key_names: BTreeMap<Name, KeyId>,
    /// Adapters.
    pub adapters: Arena<AdapterId, Adapter>,
    /// Adapters by name.
    pub adapter_names: BTreeMap<Name, AdapterId>,
    /// Versions; each adapter indexes its own.
    pub versions: Arena<VersionId, Version>,
    /// Upstreams.
    pub upstreams: Arena<UpstreamId, Upstream>,
    /// Upstreams by name.
    pub upstream_names: BTreeMap<Name, UpstreamId>,
    /// Routes.
    pub routes: Arena<RouteId, Route>,
    /// Routes by name.
    pub route_names: BTreeMap<Name, RouteId>,
    /// Members.
    pub members: Arena<MemberId, Member>,
    /// Members by host.
    pub member_names: BTreeMap<Name, MemberId>,
}

impl Config {
    /// The access key a caller presented.
    pub fn key(&self, secret: &str) -> Option<(KeyId, &Key)> {
        self.key_by_hash(KeyHash::of(secret))
    }

    /// The access key with this hash.
    ///
    /// The comparison of each hash takes the same time wherever it differs,
    /// and every key is compared, so an attacker learns nothing by timing.
    pub fn key_by_hash(&self, hash: KeyHash) -> Option<(KeyId, &Key)> {
        let mut found = None;
        for (id, key) in self.keys.iter() {
            if bool::from(key.hash.0.ct_eq(&hash.0)) {
                found = Some((id, key));
            }
        }
        found
    }

    /// The adapter version that `model` names for `organisation`:
    /// `adapter@version`, or a bare adapter with a default version. Another
    /// organisation's adapter is answered as one that does not exist.
    pub fn version(&self, organisation: OrganisationId, model: &str) -> Option<VersionId> {
        let (adapter, label) = match model.split_once('@') {
            Some((adapter, label)) => (adapter, Some(label)),
            None => (model, None),
        };
        let id = *self.adapter_names.get(&adapter.parse::<Name>().ok()?)?;
        let row = self.adapters.get(id)?;
        if row.organisation != organisation {
            return None;
        }
        match label {
            Some(label) => row.versions.get(&label.parse::<Name>().ok()?).copied(),
            None => row.default,
        }
    }

    /// `adapter@version` of a version, as engines know it.
    pub fn model(&self, id: VersionId) -> Option<String> {
        let version = self.versions.get(id)?;
        let adapter = self.adapters.get(version.adapter)?;
        Some(format!("{}@{}", adapter.name, version.label))
    }

    /// The version that engines know as `adapter@version`.
    pub fn version_of(&self, model: &str) -> Option<VersionId> {
        let (adapter, label) = model.split_once('@')?;
        let id = *self.adapter_names.get(&adapter.parse::<Name>().ok()?)?;
        let row = self.adapters.get(id)?;
        row.versions.get(&label.parse::<Name>().ok()?).copied()
    }

    /// The route named `name` if `organisation` may use it.
    pub fn route(&self, organisation: OrganisationId, name: &str) -> Option<(RouteId, &Route)> {
        let id = *self.route_names.get(&name.parse::<Name>().ok()?)?;
        let row = self.routes.get(id)?;
        (row.organisation == organisation).then_some((id, row))
    }

    /// Rate and burst of every organisation.
    pub fn totals(&self) -> BTreeMap<OrganisationId, Total> {
        let total = |row: &Organisation| Total { rate: row.rate, burst: row.burst };
        self.organisations.iter().map(|(id, row)| (id, total(row))).collect()
    }

    /// Incarnations of the entries.
    pub fn entries(&self) -> BTreeSet<u64> {
        let entry = |member: &Member| member.role == Role::Entry;
        let entries = self.members.iter().filter(|(_, member)| entry(member));
        entries.map(|(_, member)| member.incarnation).collect()
    }

    /// The member on `host`.
    pub fn member(&self, host: &Name) -> Option<(MemberId, &Member)> {
        let id = *self.member_names.get(host)?;
        Some((id, self.members.get(id)?))
    }
}
