//! Who may hold shares in an epoch, and how unheld allowance is granted.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{amount::Amount, bucket::Share};
use crate::{
    config::model::{Config, Total},
    id::{Number, OrganisationId},
};

/// Prefix of the rows that hold reports; see [`report_key`].
pub const REPORT_PREFIX: &str = "share/report/";

/// The incarnation of an entry that holds shares.
///
/// Requirement: an incarnation that left the configuration never joins again.
/// It would come back with what was granted to others meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holder(pub u64);

/// What a configuration says about shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Plan {
    /// The epoch: the number that last changed any of the other fields.
    pub epoch: Number,
    /// The entries.
    pub holders: BTreeSet<Holder>,
    /// The number at which an entry last left; zero when none ever has.
    pub last_removal: Number,
    /// What each organisation may have.
    pub totals: BTreeMap<OrganisationId, Total>,
}

impl Plan {
    /// The plan that `config` contains.
    pub fn from_config(config: &Config) -> Plan {
        let holders = config.entries().into_iter().map(Holder).collect();
        Plan { epoch: config.shares, holders, last_removal: config.left, totals: config.totals() }
    }
}

/// The conserved part of a [`Share`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holding {
    /// Tokens a second.
    pub rate: u64,
    /// Most the level may be.
    pub capacity: Amount,
}

impl From<Share> for Holding {
    fn from(share: Share) -> Holding {
        Holding { rate: share.rate, capacity: share.capacity }
    }
}

/// What one holder held when it entered an epoch. Invariant: a holder makes
/// one report for an epoch, writes it to its row and never changes it, so
/// everybody computes the same grants from the same reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Whose report.
    pub holder: Holder,
    /// The epoch entered.
    pub epoch: Number,
    /// What it held; nothing of organisations not listed.
    pub held: BTreeMap<OrganisationId, Holding>,
    /// Organisations of which it ever held anything.
    pub used: BTreeSet<OrganisationId>,
    /// Organisations that were not there in its epoch before. It reported to
    /// every epoch between, so no grant of them can have been made: they
    /// start with their whole burst, and at once.
    pub fresh: BTreeSet<OrganisationId>,
}

/// Key of the row that holds the report of `holder`.
pub fn report_key(holder: Holder) -> String {
    format!("{REPORT_PREFIX}{:016x}", holder.0)
}

/// What one holder gets of the allowance that nobody reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Grant {
    /// What may be used at once.
    pub(crate) fresh: BTreeMap<OrganisationId, Share>,
    /// What an old holder may still use: given when its standing has lapsed.
    pub(crate) reclaimed: BTreeMap<OrganisationId, Share>,
}

/// The grant of `holder`, once all holders have reported; the rest of a
/// division goes to the first ones, so that the grants sum to what is unheld.
pub(crate) fn compute_grant(
    plan: &Plan,
    reports: &BTreeMap<Holder, Report>,
    holder: Holder,
) -> Option<Grant> {
    let complete = plan.holders.iter().all(|holder| reports.contains_key(holder));
    let place = plan.holders.iter().position(|&other| other == holder)?;
    if !complete {
        return None;
    }
    let mut grant = Grant::default();
    for (&organisation, &total) in &plan.totals {
        let unheld = unheld(organisation, total, reports);
        let part = Holding {
            rate: equal_part(unheld.rate, plan.holders.len(), place),
            capacity: Amount::from_micros(equal_part(
                unheld.capacity.as_micros(),
                plan.holders.len(),
                place,
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
            // The old holder's last admissions may lie just behind, so the
            // level starts at zero: what it left is lost, never used twice.
            let share = Share { rate, capacity, level: Amount::ZERO };
            grant.reclaimed.insert(organisation, share);
        }
    }
    Some(grant)
}

/// Whether nothing of an organisation was ever admitted: a holder witnesses
/// that it is new, or nobody ever held any of it and no entry ever left.
fn is_unused(
    plan: &Plan,
    reports: &BTreeMap<Holder, Report>,
    organisation: OrganisationId,
) -> bool {
    let fresh = reports.values().any(|report| report.fresh.contains(&organisation));
    let used = reports.values().any(|report| report.used.contains(&organisation));
    fresh || (plan.last_removal == Number(0) && !used)
}

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

fn equal_part(whole: u64, parts: usize, place: usize) -> u64 {
    let parts = parts as u64;
    whole / parts + u64::from((place as u64) < whole % parts)
}
