//! Rows of a declaration, by the names that operators gave.

use std::{collections::BTreeMap, fmt, str::FromStr};

use crate::{
    config::{
        self,
        model::{Config, KeyHash, Upstream},
    },
    id::{Name, NameError, OrganisationId},
};

/// What the files of one reading declare together, or a configuration in the
/// same form.
#[derive(Clone, Debug, Default)]
pub struct Declaration {
    /// Organisations.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Adapters.
    pub adapters: BTreeMap<Name, Adapter>,
    /// Where the weight store keeps each version.
    pub versions: BTreeMap<VersionName, String>,
    /// Upstreams.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Routes.
    pub routes: BTreeMap<Name, Route>,
    /// Keys; when there is none, keys are left as they are.
    pub keys: BTreeMap<Name, Key>,
    /// Where each section stands, by its title; empty for a configuration.
    pub places: BTreeMap<String, Place>,
}

/// An organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// An adapter without its versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Whose adapter it is.
    pub organisation: Name,
    /// Base model.
    pub base: Name,
    /// Label of the default version.
    pub default: Option<Name>,
}

/// `adapter@label`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionName {
    /// The adapter.
    pub adapter: Name,
    /// The version's label.
    pub label: Name,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Who may use it.
    pub organisation: Name,
    /// Service behind it.
    pub service: Name,
    /// Whether a call runs at most once.
    pub once: bool,
}

/// An access key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Whose key it is.
    pub organisation: Name,
    /// Hash of the secret; the secret is in no file.
    pub hash: KeyHash,
}

/// Where a section stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The file.
    pub file: String,
    /// Line of the section's header, from 1.
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

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

impl Declaration {
    /// `config` as a declaration.
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
