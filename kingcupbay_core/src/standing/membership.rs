//! The members that count towards majorities.

use std::collections::BTreeSet;

use crate::{
    config::model::Config,
    id::{MemberId, Number},
};

/// The members that count under one configuration number.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Membership {
    /// Configuration number.
    pub number: Number,
    /// Members of this configuration.
    pub members: BTreeSet<MemberId>,
    /// Members of the previous configuration. A daemon that still holds that
    /// configuration counts these, so they must receive the patch.
    pub before: BTreeSet<MemberId>,
}

impl Membership {
    /// Creates the membership of `config`, where `before` are the members under
    /// the previous number.
    pub fn from_config(config: &Config, before: BTreeSet<MemberId>) -> Membership {
        let members = config.members.iter().map(|(id, _)| id).collect();
        Membership { number: config.number, members, before }
    }

    /// Returns the membership under `next`, the configuration that follows this
    /// one.
    pub fn next(&self, next: &Config) -> Membership {
        Membership::from_config(next, self.members.clone())
    }

    /// Returns whether `member` is in either set.
    pub fn includes(&self, member: MemberId) -> bool {
        self.members.contains(&member) || self.before.contains(&member)
    }

    /// Returns whether `holds` is true of at least half of each set, so that every
    /// majority of either set contains such a member.
    pub(super) fn half_of_each(&self, holds: impl Fn(MemberId) -> bool) -> bool {
        let half = |set: &BTreeSet<MemberId>| {
            set.iter().filter(|id| holds(**id)).count() >= set.len().div_ceil(2)
        };
        half(&self.members) && half(&self.before)
    }
}
