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

/// SHA-256 of an access key. Keys are 256 random bits, so a hash without salt
/// is sufficient.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl KeyHash {
    /// Hashes a key as presented by a caller.
    pub fn of(secret: &str) -> KeyHash {
        KeyHash(Sha256::digest(secret.as_bytes()).into())
    }
}

/// A customer with its own keys, adapters and rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Tokens per second.
    pub rate: u64,
    /// Most tokens that may be used at once.
    pub burst: u64,
}

/// Rate limit of an organisation over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Total {
    /// Tokens per second.
    pub rate: u64,
    /// Most tokens that may be used at once.
    pub burst: u64,
}

/// An access key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Label given by the operator.
    pub label: Name,
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// Hash of the secret.
    pub hash: KeyHash,
}

/// An adapter of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the adapter, unique across all organisations.
    pub name: Name,
    /// Organisation that owns the adapter.
    pub organisation: OrganisationId,
    /// Base model that the adapter extends.
    pub base: Name,
    /// Version used when a request names only the adapter.
    pub default: Option<VersionId>,
    /// Versions of the adapter by label.
    pub versions: BTreeMap<Name, VersionId>,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Version {
    /// Adapter that the version belongs to.
    pub adapter: AdapterId,
    /// Label of the version.
    pub label: Name,
    /// Path in the weight store.
    pub source: String,
}

/// An engine or plain service, reached through the daemon on its host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Name,
    /// Host whose daemon owns the upstream.
    pub host: Name,
    /// Address of the engine or service, `IP:PORT`.
    pub address: String,
    /// Availability zone of the upstream.
    pub zone: Name,
    /// What the upstream serves.
    pub serves: Serves,
    /// Whether the upstream is leaving; it then receives no new requests.
    pub leaving: bool,
}

/// What an [`Upstream`] serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Adapters of a base model.
    Model {
        /// Name of the base model.
        base: Name,
        /// Number of adapter slots.
        slots: u32,
        /// Whether the engine rejects outdated fencing numbers.
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// Service name that routes refer to.
        service: Name,
    },
}

/// A route from callers to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, the first segment of the request path.
    pub name: Name,
    /// The organisation that may use it.
    pub organisation: OrganisationId,
    /// Service that the route leads to.
    pub service: Name,
    /// Whether a call runs at most once.
    pub once: bool,
}

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers behind the load balancer.
    Entry,
    /// Runs on the host of an upstream.
    Upstream,
}

/// A daemon that counts towards majorities.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Host of the daemon.
    pub host: Name,
    /// Address that other daemons connect to, `IP:PORT`.
    pub address: String,
    /// Availability zone of the host.
    pub zone: Name,
    /// Role of the daemon.
    pub role: Role,
    /// Random number drawn at each start. A restarted daemon confirms nothing
    /// until it has read its own new incarnation from the store.
    pub incarnation: u64,
}

/// A whole configuration.
///
/// Invariants: every id in a row refers to an existing row; each `*_names`
/// index holds exactly the rows of its arena. [`change`](super::change) is the
/// only writer and preserves both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Number of the configuration.
    pub number: Number,
    /// Epoch of the rate shares: the number of the last change to an
    /// organisation's rate or burst or to the set of entries. It is stored
    /// because a daemon that starts from a snapshot cannot derive it.
    pub shares: Number,
    /// Number at which an entry last left; zero if none ever has.
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
    /// Finds the access key that a caller presented.
    pub fn key(&self, secret: &str) -> Option<(KeyId, &Key)> {
        self.key_by_hash(KeyHash::of(secret))
    }

    /// Finds the access key with this hash.
    ///
    /// Hashes are compared in constant time and every key is compared, so
    /// response times reveal nothing about the stored keys.
    pub fn key_by_hash(&self, hash: KeyHash) -> Option<(KeyId, &Key)> {
        let mut found = None;
        for (id, key) in self.keys.iter() {
            if bool::from(key.hash.0.ct_eq(&hash.0)) {
                found = Some((id, key));
            }
        }
        found
    }

    /// Finds the adapter version that `model` names: `adapter@version`, or an
    /// adapter name alone if it has a default version. Returns `None` for an
    /// adapter of another organisation, as for one that does not exist.
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

    /// Returns the name of a version on engines, `adapter@version`.
    pub fn model_name(&self, id: VersionId) -> Option<String> {
        let version = self.versions.get(id)?;
        let adapter = self.adapters.get(version.adapter)?;
        Some(format!("{}@{}", adapter.name, version.label))
    }

    /// Finds the version named `adapter@version` on engines.
    pub fn version_by_model(&self, model: &str) -> Option<VersionId> {
        let (adapter, label) = model.split_once('@')?;
        let id = *self.adapter_names.get(&adapter.parse::<Name>().ok()?)?;
        let row = self.adapters.get(id)?;
        row.versions.get(&label.parse::<Name>().ok()?).copied()
    }

    /// Finds the route `name` if `organisation` may use it.
    pub fn route(&self, organisation: OrganisationId, name: &str) -> Option<(RouteId, &Route)> {
        let id = *self.route_names.get(&name.parse::<Name>().ok()?)?;
        let row = self.routes.get(id)?;
        (row.organisation == organisation).then_some((id, row))
    }

    /// Returns the rate and burst of every organisation.
    pub fn totals(&self) -> BTreeMap<OrganisationId, Total> {
        let total = |row: &Organisation| Total { rate: row.rate, burst: row.burst };
        self.organisations.iter().map(|(id, row)| (id, total(row))).collect()
    }

    /// Returns the incarnations of all entries.
    pub fn entry_incarnations(&self) -> BTreeSet<u64> {
        let entry = |member: &Member| member.role == Role::Entry;
        let entries = self.members.iter().filter(|(_, member)| entry(member));
        entries.map(|(_, member)| member.incarnation).collect()
    }

    /// Finds the member on `host`.
    pub fn member(&self, host: &Name) -> Option<(MemberId, &Member)> {
        let id = *self.member_names.get(host)?;
        Some((id, self.members.get(id)?))
    }
}
