//! Holders of shares in an epoch, and grants of the allowance nobody holds.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{amount::Amount, bucket::Share};
use crate::{
    config::model::{Config, Total},
    id::{Number, OrganisationId},
};

/// Prefix of the keys of rows with reports; see [`report_key`].
pub const REPORT_PREFIX: &str = "share/report/";

/// Incarnation of an entry that holds shares.
///
/// Requirement: an incarnation that left the configuration never joins again,
/// as it would still hold shares that have been granted to others since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holder(pub u64);

/// Part of a configuration that concerns shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Plan {
    /// Epoch: number of the configuration that last changed any other field.
    pub epoch: Number,
    /// Entries that hold shares.
    pub holders: BTreeSet<Holder>,
    /// Number of the configuration in which an entry last left; zero when none
    /// ever has.
    pub last_removal: Number,
    /// Rate and burst of each organisation.
    pub totals: BTreeMap<OrganisationId, Total>,
}

impl Plan {
    /// Returns the plan that `config` contains.
    pub fn from_config(config: &Config) -> Plan {
        let holders = config.entry_incarnations().into_iter().map(Holder).collect();
        Plan { epoch: config.shares, holders, last_removal: config.left, totals: config.totals() }
    }
}

/// Conserved part of a [`Share`]: all but the level, which changes with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holding {
    /// Refill rate, in tokens a second.
    pub rate: u64,
    /// Upper bound of the level.
    pub capacity: Amount,
}

impl From<Share> for Holding {
    fn from(share: Share) -> Holding {
        Holding { rate: share.rate, capacity: share.capacity }
    }
}

/// Shares that one holder held when it entered an epoch.
///
/// Invariant: a holder makes one report for an epoch, writes it to its row and
/// never changes it, so all entries compute the same grants from the same
/// reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Holder that made the report.
    pub holder: Holder,
    /// Epoch that it entered.
    pub epoch: Number,
    /// Rate and capacity that it held; organisations not listed had none.
    pub held: BTreeMap<OrganisationId, Holding>,
    /// Organisations of which it ever held a share.
    pub used: BTreeSet<OrganisationId>,
    /// Organisations that did not exist in the holder's previous epoch. Grants
    /// need the reports of all holders, and it made none in between, so none of
    /// these organisations can have been granted yet: they start at once and
    /// with their whole burst.
    pub fresh: BTreeSet<OrganisationId>,
}

/// Returns the key of the row that holds the report of `holder`.
pub fn report_key(holder: Holder) -> String {
    format!("{REPORT_PREFIX}{:016x}", holder.0)
}

/// One holder's part of the allowance that no report lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Grant {
    /// Shares that may be used at once.
    pub(crate) fresh: BTreeMap<OrganisationId, Share>,
    /// Shares that a former holder may still use; added when its standing has
    /// lapsed.
    pub(crate) reclaimed: BTreeMap<OrganisationId, Share>,
}

/// Returns the grant of `holder`; `None` until all holders have reported. The
/// remainder of a division goes to the first holders, so that the grants sum to
/// the unheld allowance.
pub(crate) fn compute_grant(
    plan: &Plan,
    reports: &BTreeMap<Holder, Report>,
    holder: Holder,
) -> Option<Grant> {
    let complete = plan.holders.iter().all(|holder| reports.contains_key(holder));
    let index = plan.holders.iter().position(|&other| other == holder)?;
    if !complete {
        return None;
    }
    let mut grant = Grant::default();
    for (&organisation, &total) in &plan.totals {
        let unheld = unheld(organisation, total, reports);
        let part = Holding {
            rate: equal_part(unheld.rate, plan.holders.len(), index),
            capacity: Amount::from_micros(equal_part(
                unheld.capacity.as_micros(),
                plan.holders.len(),
                index,
            )),
        };
        if part == Holding::default() {
            continue;
        }
        let Holding { rate, capacity } = part;
        if is_unused(plan, reports, organisation) {
            let share = Share { rate, capacity, level: capacity };
            grant.fresh.insert(organisation, share);
        } else {
            // The former holder may have admitted requests until just now, so
            // the level starts at zero: tokens that it left unused are lost,
            // but none are used twice.
            let share = Share { rate, capacity, level: Amount::ZERO };
            grant.reclaimed.insert(organisation, share);
        }
    }
    Some(grant)
}

/// Returns whether no request of an organisation was ever admitted: a holder
/// reports that it is new, or no holder ever held a share of it and no entry ever
/// left.
fn is_unused(
    plan: &Plan,
    reports: &BTreeMap<Holder, Report>,
    organisation: OrganisationId,
) -> bool {
    let fresh = reports.values().any(|report| report.fresh.contains(&organisation));
    let used = reports.values().any(|report| report.used.contains(&organisation));
    fresh || (plan.last_removal == Number(0) && !used)
}

/// Returns the rate and capacity of an organisation that no report lists.
fn unheld(
    organisation: OrganisationId,
    total: Total,
    reports: &BTreeMap<Holder, Report>,
) -> Holding {
    let burst = Amount::from_tokens(total.burst);
    let mut unheld = Holding { rate: total.rate, capacity: burst };
    for held in reports.values().filter_map(|report| report.held.get(&organisation)) {
        unheld.rate = unheld.rate.saturating_sub(held.rate);
        unheld.capacity = unheld.capacity.saturating_sub(held.capacity);
    }
    unheld
}

/// Returns part number `index` of `whole` divided into `parts` equal parts; the
/// first parts get the remainder.
fn equal_part(whole: u64, parts: usize, index: usize) -> u64 {
    let parts = parts as u64;
    whole / parts + u64::from((index as u64) < whole % parts)
}
