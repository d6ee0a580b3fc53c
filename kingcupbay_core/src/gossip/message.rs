//! Pulls and their answers, as MessagePack: `POST /peer/pull`.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::record::{KnownSequences, RecordUpdate};
use crate::{
    config::{model::Config, patch::Patch},
    id::{Id, MemberId, Number},
    standing::Confirmation,
    time::Span,
};

/// Path of a pull.
pub const PULL_PATH: &str = "/peer/pull";

/// Path of a daemon's whole configuration, a [`Snapshot`].
pub const SNAPSHOT_PATH: &str = "/peer/snapshot";

/// Unit of ages on the wire. A byte reaches 6.4 s, twice the freshness bound;
/// half a unit on average is lost at each hop.
pub const AGE_UNIT: Span = Span::from_millis(25);

/// Question of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pull {
    /// Who asks; none before it has joined.
    pub member: Option<MemberId>,
    /// What it holds.
    pub number: Number,
    /// Whether only the answerer's own vouch is wanted.
    pub brief: bool,
    /// What is known of each member's records; none when none are wanted.
    pub seen: Option<KnownSequences>,
}

/// The answer to a [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
    pub holding: Vec<Run>,
    /// Vouches of members not known to hold it.
    pub behind: Vec<Run>,
    /// Members that hold `number` and have not vouched lately.
    pub silent: Vec<MemberId>,
    /// Members known to have ended.
    pub ended: Vec<MemberId>,
    /// Records the puller lacks.
    pub records: Vec<RecordUpdate>,
}

/// A whole configuration for a newcomer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub config: Config,
    /// The members under the number before it; see
    /// [`Membership`](crate::standing::Membership).
    pub before: BTreeSet<MemberId>,
}

/// Ages of members whose ids follow each other, one byte each, in
/// [`AGE_UNIT`]s. A fleet that grew or was restarted in one go is one run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Distance of the first id from the last one of the run before.
    pub gap: u32,
    /// Ages of the members, one after the other.
    pub ages: Bytes,
}

/// Packs vouches: first those of members that hold `number`, then the others.
/// Ages are rounded up, so that none ever shrinks; vouches older than a byte
/// can say prove nothing to anyone and stay behind.
pub fn pack(number: Number, vouches: &[Confirmation]) -> (Vec<Run>, Vec<Run>) {
    let (holding, behind): (Vec<&Confirmation>, Vec<&Confirmation>) =
        vouches.iter().partition(|vouch| vouch.held >= number);
    (pack_runs(&holding), pack_runs(&behind))
}

/// The vouches out of [`pack`], where `number` is the answerer's.
pub fn unpack(number: Number, holding: &[Run], behind: &[Run]) -> Vec<Confirmation> {
    // Whoever passes vouches on has dropped those that name anything newer
    // than what it holds itself, so its number bounds theirs.
    let held = unpack_runs(holding).map(|(member, age)| Confirmation {
        member,
        number,
        held: number,
        age,
    });
    let not = unpack_runs(behind).map(|(member, age)| Confirmation {
        member,
        number,
        held: Number(0),
        age,
    });
    held.chain(not).collect()
}

fn pack_runs(vouches: &[&Confirmation]) -> Vec<Run> {
    let units = |vouch: &&Confirmation| {
        let units = vouch.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        Some((vouch.member.raw(), u8::try_from(units).ok()?))
    };
    let mut runs: Vec<(u32, Vec<u8>)> = Vec::new();
    let mut last = 0;
    for (member, age) in vouches.iter().filter_map(units) {
        match runs.last_mut() {
            Some((_, ages)) if member == last + 1 => ages.push(age),
            _ => runs.push((member - last, vec![age])),
        }
        last = member;
    }
    runs.into_iter().map(|(gap, ages)| Run { gap, ages: ages.into() }).collect()
}

fn unpack_runs(runs: &[Run]) -> impl Iterator<Item = (MemberId, Span)> {
    let starts = runs.iter().scan(0u32, |last, run| {
        let first = last.checked_add(run.gap)?;
        *last = first.checked_add(u32::try_from(run.ages.len()).ok()?.checked_sub(1)?)?;
        Some((first, &run.ages))
    });
    starts.flat_map(|(first, ages)| {
        ages.iter().enumerate().map(move |(place, &units)| {
            let age = Span::from_micros(u64::from(units) * AGE_UNIT.as_micros());
            // The run's last id was checked to fit, so this one does.
            (MemberId::from_raw(first + place as u32), age)
        })
    })
}
