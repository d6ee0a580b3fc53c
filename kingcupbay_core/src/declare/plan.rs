//! The changes that make a configuration what is declared.

use super::model::{Declaration, Place, VersionName};
use crate::config::{change::Change, model::Config};

/// The changes from `config` to `declared`, in an order that checks: what
/// uses a row goes before the row, and comes after it.
///
/// A version with another source, and an adapter of another organisation, are
/// planned as they are declared and then refused by the check: engines know a
/// version by its name, so the name must not come to mean other weights.
pub fn plan(config: &Config, declared: &Declaration) -> Vec<Change> {
    let current = Declaration::of(config);
    let steps = [
        withdraw_keys,
        remove_routes,
        remove_upstreams,
        remove_adapters,
        set_organisations,
        make_adapters,
        add_versions,
        change_adapters,
        remove_versions,
        set_upstreams,
        set_routes,
        issue_keys,
        remove_organisations,
    ];
    steps.iter().flat_map(|step| step(&current, declared)).collect()
}

impl Declaration {
    /// Where the row that `change` is about is declared.
    pub fn place(&self, change: &Change) -> Option<&Place> {
        let title = match change {
            Change::SetOrganisation { name, .. } => format!("organisation {name}"),
            Change::SetAdapter { name, .. } => format!("adapter {name}"),
            Change::SetVersion { adapter, label, .. } => format!("version {adapter}@{label}"),
            Change::SetUpstream { upstream } => format!("upstream {}", upstream.name),
            Change::SetRoute { name, .. } => format!("route {name}"),
            Change::IssueKey { label, .. } => format!("key {label}"),
            _ => return None,
        };
        self.places.get(&title)
    }
}

fn withdraw_keys(old: &Declaration, new: &Declaration) -> Vec<Change> {
    if new.keys.is_empty() {
        return Vec::new();
    }
    let gone = old.keys.iter().filter(|(label, key)| new.keys.get(label) != Some(key));
    gone.map(|(label, _)| Change::WithdrawKey { label: label.clone() }).collect()
}

fn remove_routes(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let gone = old.routes.keys().filter(|name| !new.routes.contains_key(name));
    gone.map(|name| Change::RemoveRoute { name: name.clone() }).collect()
}

fn remove_upstreams(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let gone = old.upstreams.keys().filter(|name| !new.upstreams.contains_key(name));
    gone.map(|name| Change::RemoveUpstream { name: name.clone() }).collect()
}

fn remove_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let gone = old.adapters.keys().filter(|name| !new.adapters.contains_key(name));
    gone.map(|name| Change::RemoveAdapter { name: name.clone() }).collect()
}

fn remove_organisations(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let gone = old.organisations.keys().filter(|name| !new.organisations.contains_key(name));
    gone.map(|name| Change::RemoveOrganisation { name: name.clone() }).collect()
}

fn set_organisations(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other =
        new.organisations.iter().filter(|(name, row)| old.organisations.get(name) != Some(row));
    other
        .map(|(name, row)| Change::SetOrganisation {
            name: name.clone(),
            rate: row.rate,
            burst: row.burst,
        })
        .collect()
}

/// New adapters begin without a default: it names a version to come.
fn make_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let made = new.adapters.iter().filter(|(name, _)| !old.adapters.contains_key(name));
    made.map(|(name, row)| Change::SetAdapter {
        name: name.clone(),
        organisation: row.organisation.clone(),
        base: row.base.clone(),
        default: None,
    })
    .collect()
}

fn add_versions(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other = new.versions.iter().filter(|(name, source)| old.versions.get(name) != Some(source));
    other
        .map(|(name, source)| Change::SetVersion {
            adapter: name.adapter.clone(),
            label: name.label.clone(),
            source: source.clone(),
        })
        .collect()
}

/// After the new versions exist, and before the old ones go.
fn change_adapters(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other = new.adapters.iter().filter(|(name, row)| match old.adapters.get(name) {
        Some(old) => old != *row,
        None => row.default.is_some(),
    });
    other
        .map(|(name, row)| Change::SetAdapter {
            name: name.clone(),
            organisation: row.organisation.clone(),
            base: row.base.clone(),
            default: row.default.clone(),
        })
        .collect()
}

/// Versions of a removed adapter have gone with it.
fn remove_versions(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let gone = |name: &&VersionName| {
        new.adapters.contains_key(&name.adapter) && !new.versions.contains_key(name)
    };
    let remove = |name: &VersionName| Change::RemoveVersion {
        adapter: name.adapter.clone(),
        label: name.label.clone(),
    };
    old.versions.keys().filter(gone).map(remove).collect()
}

fn set_upstreams(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other = new.upstreams.iter().filter(|(name, row)| old.upstreams.get(name) != Some(row));
    other.map(|(_, row)| Change::SetUpstream { upstream: row.clone() }).collect()
}

fn set_routes(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other = new.routes.iter().filter(|(name, row)| old.routes.get(name) != Some(row));
    other
        .map(|(name, row)| Change::SetRoute {
            name: name.clone(),
            organisation: row.organisation.clone(),
            service: row.service.clone(),
            once: row.once,
        })
        .collect()
}

fn issue_keys(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let other = new.keys.iter().filter(|(label, key)| old.keys.get(label) != Some(key));
    other
        .map(|(label, key)| Change::IssueKey {
            label: label.clone(),
            organisation: key.organisation.clone(),
            hash: key.hash,
        })
        .collect()
}
