//! Plans the changes that bring a configuration to the declared state.

use super::model::{Declaration, Location, VersionName};
use crate::config::{change::Change, model::Config};

/// Returns the changes from `config` to `declared`, ordered so that every
/// reference stays valid: a row is added before the rows that refer to it and
/// removed after them.
///
/// A version whose source differs and an adapter whose organisation differs
/// are planned as declared; [`Config::patched`] then refuses them. Engines
/// identify a version by its name, so a name must never refer to other weights.
pub fn plan(config: &Config, declared: &Declaration) -> Vec<Change> {
    let current = Declaration::of(config);
    let steps = [
        withdraw_keys,
        remove_routes,
        remove_upstreams,
        remove_adapters,
        set_organisations,
        add_adapters,
        add_versions,
        update_adapters,
        remove_versions,
        set_upstreams,
        set_routes,
        issue_keys,
        remove_organisations,
    ];
    steps.iter().flat_map(|step| step(&current, declared)).collect()
}

impl Declaration {
    /// Returns the source location of the row that `change` sets, if the row
    /// is declared in a file.
    pub fn location(&self, change: &Change) -> Option<&Location> {
        let title = match change {
            Change::SetOrganisation { name, .. } => format!("organisation {name}"),
            Change::SetAdapter { name, .. } => format!("adapter {name}"),
            Change::SetVersion { adapter, label, .. } => format!("version {adapter}@{label}"),
            Change::SetUpstream { upstream } => format!("upstream {}", upstream.name),
            Change::SetRoute { name, .. } => format!("route {name}"),
            Change::IssueKey { label, .. } => format!("key {label}"),
            _ => return None,
        };
        self.locations.get(&title)
    }
}

fn withdraw_keys(old: &Declaration, new: &Declaration) -> Vec<Change> {
    if new.keys.is_empty() {
        return Vec::new();
    }
    let removed = old.keys.iter().filter(|(label, key)| new.keys.get(label) != Some(key));
    removed.map(|(label, _)| Change::WithdrawKey { label: label.clone() }).collect()
}

fn remove_routes(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let removed = old.routes.keys().filter(|name| !new.routes.contains_key(name));
    removed.map(|name| Change::RemoveRoute { name: name.clone() }).collect()
}

fn remove_upstreams(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let removed = old.upstreams.keys().filter(|name| !new.upstreams.contains_key(name));
    removed.map(|name| Change::RemoveUpstream { name: name.clone() }).collect()
}

fn remove_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let removed = old.adapters.keys().filter(|name| !new.adapters.contains_key(name));
    removed.map(|name| Change::RemoveAdapter { name: name.clone() }).collect()
}

fn remove_organisations(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let removed = old.organisations.keys().filter(|name| !new.organisations.contains_key(name));
    removed.map(|name| Change::RemoveOrganisation { name: name.clone() }).collect()
}

fn set_organisations(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed =
        new.organisations.iter().filter(|(name, row)| old.organisations.get(name) != Some(row));
    changed
        .map(|(name, row)| Change::SetOrganisation {
            name: name.clone(),
            rate: row.rate,
            burst: row.burst,
        })
        .collect()
}

/// Adds new adapters without a default, because their versions do not exist
/// yet.
fn add_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let added = new.adapters.iter().filter(|(name, _)| !old.adapters.contains_key(name));
    added
        .map(|(name, row)| Change::SetAdapter {
            name: name.clone(),
            organisation: row.organisation.clone(),
            base: row.base.clone(),
            default: None,
        })
        .collect()
}

fn add_versions(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed =
        new.versions.iter().filter(|(name, source)| old.versions.get(name) != Some(source));
    changed
        .map(|(name, source)| Change::SetVersion {
            adapter: name.adapter.clone(),
            label: name.label.clone(),
            source: source.clone(),
        })
        .collect()
}

/// Updates adapters and their defaults. Runs after new versions are added and
/// before old ones are removed.
fn update_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed = new.adapters.iter().filter(|(name, row)| match old.adapters.get(name) {
        Some(old) => old != *row,
        None => row.default.is_some(),
    });
    changed
        .map(|(name, row)| Change::SetAdapter {
            name: name.clone(),
            organisation: row.organisation.clone(),
            base: row.base.clone(),
            default: row.default.clone(),
        })
        .collect()
}

/// Removes versions of adapters that stay; removing an adapter also removes
/// its versions.
fn remove_versions(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let removed = |name: &&VersionName| {
        new.adapters.contains_key(&name.adapter) && !new.versions.contains_key(name)
    };
    let remove = |name: &VersionName| Change::RemoveVersion {
        adapter: name.adapter.clone(),
        label: name.label.clone(),
    };
    old.versions.keys().filter(removed).map(remove).collect()
}

fn set_upstreams(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed = new.upstreams.iter().filter(|(name, row)| old.upstreams.get(name) != Some(row));
    changed.map(|(_, row)| Change::SetUpstream { upstream: row.clone() }).collect()
}

fn set_routes(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed = new.routes.iter().filter(|(name, row)| old.routes.get(name) != Some(row));
    changed
        .map(|(name, row)| Change::SetRoute {
            name: name.clone(),
            organisation: row.organisation.clone(),
            service: row.service.clone(),
            once: row.once,
        })
        .collect()
}

fn issue_keys(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let changed = new.keys.iter().filter(|(label, key)| old.keys.get(label) != Some(key));
    changed
        .map(|(label, key)| Change::IssueKey {
            label: label.clone(),
            organisation: key.organisation.clone(),
            hash: key.hash,
        })
        .collect()
}
