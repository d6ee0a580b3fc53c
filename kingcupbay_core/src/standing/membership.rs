//! Who counts towards majorities.

use std::collections::BTreeSet;

use crate::{
    config::model::Config,
    id::{MemberId, Number},
};

/// Who counts under one number.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Membership {
    /// The configuration's number.
    pub number: Number,
    /// Its members.
    pub members: BTreeSet<MemberId>,
    /// The members of the configuration before it. A daemon that still holds
    /// that one counts these, so these must know the patch.
    pub before: BTreeSet<MemberId>,
}

impl Membership {
    /// The membership of `config`, where `before` were the members under the
    /// number before it.
    pub fn from_config(config: &Config, before: BTreeSet<MemberId>) -> Membership {
        let members = config.members.iter().map(|(id, _)| id).collect();
        Membership { number: config.number, members, before }
    }

    /// The membership under `next`, the configuration that follows this one.
    pub fn next(&self, next: &Config) -> Membership {
        Membership::from_config(next, self.members.clone())
    }

    /// Whether `member` counts in either set.
    pub fn includes(&self, member: MemberId) -> bool {
        self.members.contains(&member) || self.before.contains(&member)
    }

    /// Whether `holds` is true of half of each set or more, so that every
    /// majority of the set has such a member.
    pub(super) fn half_of_each(&self, holds: impl Fn(MemberId) -> bool) -> bool {
        let half = |set: &BTreeSet<MemberId>| {
            set.iter().filter(|id| holds(**id)).count() >= set.len().div_ceil(2)
        };
        half(&self.members) && half(&self.before)
    }
}
