//! Rows of a declaration, which refer to each other by name.

use std::{collections::BTreeMap, fmt, str::FromStr};

use crate::{
    config::{
        self,
        model::{Config, KeyHash, Upstream},
    },
    id::{Name, NameError, OrganisationId},
};

/// The rows declared by a set of files, or a configuration in the same form.
#[derive(Clone, Debug, Default)]
pub struct Declaration {
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Adapters by name.
    pub adapters: BTreeMap<Name, Adapter>,
    /// Path of each version in the weight store.
    pub versions: BTreeMap<VersionName, String>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Routes by name.
    pub routes: BTreeMap<Name, Route>,
    /// Access keys by label. If empty, a plan leaves the keys unchanged.
    pub keys: BTreeMap<Name, Key>,
    /// Source location of each section by title; empty for a configuration.
    pub locations: BTreeMap<String, Location>,
}

/// The rate limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Tokens per second.
    pub rate: u64,
    /// Most tokens that may be used at once.
    pub burst: u64,
}

/// An adapter without its versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Organisation that owns the adapter.
    pub organisation: Name,
    /// Base model that the adapter extends.
    pub base: Name,
    /// Label of the version used when a request names only the adapter.
    pub default: Option<Name>,
}

/// Name of a version, written `adapter@label`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionName {
    /// Name of the adapter.
    pub adapter: Name,
    /// Label of the version.
    pub label: Name,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Organisation that may use the route.
    pub organisation: Name,
    /// Service that the route leads to.
    pub service: Name,
    /// Whether a call runs at most once.
    pub once: bool,
}

/// An access key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Organisation that the key belongs to.
    pub organisation: Name,
    /// Hash of the secret; the files never contain the secret itself.
    pub hash: KeyHash,
}

/// Source location of a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the file.
    pub file: String,
    /// Line of the section header, from 1.
    pub line: u32,
}

impl fmt::Display for VersionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.label)
    }
}

impl FromStr for VersionName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<VersionName, NameError> {
        let (adapter, label) = text.split_once('@').unwrap_or((text, ""));
        Ok(VersionName { adapter: adapter.parse()?, label: label.parse()? })
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

impl Declaration {
    /// Converts `config` into a declaration.
    pub fn of(config: &Config) -> Declaration {
        let mut declared = Declaration::default();
        for (_, row) in config.organisations.iter() {
            let organisation = Organisation { rate: row.rate, burst: row.burst };
            declared.organisations.insert(row.name.clone(), organisation);
        }
        for (_, row) in config.adapters.iter() {
            declared.add_adapter(config, row);
        }
        for (_, row) in config.upstreams.iter() {
            declared.upstreams.insert(row.name.clone(), row.clone());
        }
        for (_, row) in config.routes.iter() {
            let organisation = owner(config, row.organisation);
            let route = Route { organisation, service: row.service.clone(), once: row.once };
            declared.routes.insert(row.name.clone(), route);
        }
        for (_, row) in config.keys.iter() {
            let key = Key { organisation: owner(config, row.organisation), hash: row.hash };
            declared.keys.insert(row.label.clone(), key);
        }
        declared
    }

    fn add_adapter(&mut self, config: &Config, row: &config::model::Adapter) {
        let version = |id| config.versions.get(id).expect("an adapter's versions exist");
        let adapter = Adapter {
            organisation: owner(config, row.organisation),
            base: row.base.clone(),
            default: row.default.map(|id| version(id).label.clone()),
        };
        self.adapters.insert(row.name.clone(), adapter);
        for (label, &id) in &row.versions {
            let name = VersionName { adapter: row.name.clone(), label: label.clone() };
            self.versions.insert(name, version(id).source.clone());
        }
    }
}

fn owner(config: &Config, id: OrganisationId) -> Name {
    config.organisations.get(id).expect("a row's organisation exists").name.clone()
}
