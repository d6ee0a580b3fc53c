//! Pulls and their answers, as MessagePack: `POST /peer/pull`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::record::{Carried, Seen};
use crate::{
    config::{model::Config, patch::Patch},
    id::{Id, MemberId, Number},
    standing::Vouch,
    time::Span,
};

/// Path of a pull.
pub const PULL_PATH: &str = "/peer/pull";

/// Path of a daemon's whole configuration, a [`Snapshot`].
pub const SNAPSHOT_PATH: &str = "/peer/snapshot";

/// Unit of ages on the wire. The freshness bound of 3 s is 120 units, so an
/// age takes one byte; half a unit on average is lost at each hop.
pub const AGE_UNIT: Span = Span::from_millis(25);

/// Question of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Who asks; none before it has joined.
    pub member: Option<MemberId>,
    /// What it holds.
    pub number: Number,
    /// Whether only the answerer's own vouch is wanted.
    pub brief: bool,
    /// What is known of each member's records; none when none are wanted.
    pub seen: Option<Seen>,
}

/// The answer to a [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Which start of the daemon at this address answers.
    pub incarnation: u64,
    /// What it holds.
    pub number: Number,
    /// Patches that the puller lacks, from its next number on.
    pub patches: Vec<Patch>,
    /// The puller lacks more than is kept as patches.
    pub truncated: bool,
    /// Vouches of members that hold `number`; see [`pack`].
    pub holding: Vec<u32>,
    /// Vouches of members not known to hold it.
    pub behind: Vec<u32>,
    /// Members that hold `number` and have not vouched lately.
    pub silent: Vec<MemberId>,
    /// Members known to have ended.
    pub ended: Vec<MemberId>,
    /// Records the puller lacks.
    pub records: Vec<Carried>,
}

/// A whole configuration for a newcomer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub config: Config,
    /// The members under the number before it; see
    /// [`Membership`](crate::standing::Membership).
    pub before: BTreeSet<MemberId>,
}

/// Vouches as flat pairs of (distance from the previous id, age in units),
/// two bytes for most members: first those of members that hold `number`,
/// then the others. Ages are rounded up, so that none ever shrinks.
pub fn pack(number: Number, vouches: &[Vouch]) -> (Vec<u32>, Vec<u32>) {
    let (holding, behind): (Vec<&Vouch>, Vec<&Vouch>) =
        vouches.iter().partition(|vouch| vouch.held >= number);
    (pairs(&holding), pairs(&behind))
}

/// The vouches out of [`pack`], where `number` is the answerer's.
pub fn unpack(number: Number, holding: &[u32], behind: &[u32]) -> Vec<Vouch> {
    // Whoever passes vouches on has dropped those that name anything newer
    // than what it holds itself, so its number bounds theirs.
    let held = ages(holding).map(|(member, age)| Vouch { member, number, held: number, age });
    let not = ages(behind).map(|(member, age)| Vouch { member, number, held: Number(0), age });
    held.chain(not).collect()
}

fn pairs(vouches: &[&Vouch]) -> Vec<u32> {
    let mut flat = Vec::with_capacity(vouches.len() * 2);
    let mut last = 0;
    for vouch in vouches {
        let units = vouch.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        flat.push(vouch.member.raw() - last);
        flat.push(u32::try_from(units).unwrap_or(u32::MAX));
        last = vouch.member.raw();
    }
    flat
}

fn ages(flat: &[u32]) -> impl Iterator<Item = (MemberId, Span)> {
    let (pairs, _) = flat.as_chunks::<2>();
    pairs.iter().scan(0u32, |last, &[gap, units]| {
        *last = last.checked_add(gap)?;
        let age = Span::from_micros(u64::from(units) * AGE_UNIT.as_micros());
        Some((MemberId::from_raw(*last), age))
    })
}
