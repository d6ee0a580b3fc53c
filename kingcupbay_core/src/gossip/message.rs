//! Pulls and their answers, sent as MessagePack to `POST /peer/pull`.

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

/// HTTP path of a pull.
pub const PULL_PATH: &str = "/peer/pull";

/// HTTP path of a daemon's whole configuration, a [`Snapshot`].
pub const SNAPSHOT_PATH: &str = "/peer/snapshot";

/// Unit of ages on the wire. One byte holds up to 6.4 s, twice the freshness
/// bound. Rounding up adds half a unit on average to an age at each hop.
pub const AGE_UNIT: Span = Span::from_millis(25);

/// Request of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pull {
    /// Id of the puller; `None` before it has joined.
    pub member: Option<MemberId>,
    /// Number of the configuration that the puller holds.
    pub number: Number,
    /// Whether to answer with the answerer's own confirmation only.
    pub brief: bool,
    /// Records the puller knows of each member; `None` if it wants no records.
    pub seen: Option<KnownSequences>,
}

/// The answer to a [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Incarnation of the daemon that answers at this address.
    pub incarnation: u64,
    /// Number of the configuration that the answerer holds.
    pub number: Number,
    /// Patches that the puller lacks, from its next number on.
    pub patches: Vec<Patch>,
    /// Whether the puller lacks more patches than the answerer keeps.
    pub truncated: bool,
    /// Confirmations of members that hold `number`; see [`pack`].
    pub holding: Vec<Run>,
    /// Confirmations of members not known to hold `number`.
    pub behind: Vec<Run>,
    /// Members that hold `number` and have not confirmed within the freshness
    /// bound.
    pub silent: Vec<MemberId>,
    /// Members known to have ended.
    pub ended: Vec<MemberId>,
    /// Records that the puller lacks.
    pub records: Vec<RecordUpdate>,
}

/// A whole configuration, for a daemon that cannot catch up by patches.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub config: Config,
    /// Members of the previous configuration; see
    /// [`Membership`](crate::standing::Membership).
    pub before: BTreeSet<MemberId>,
}

/// Ages of members with consecutive ids. Members that joined one after
/// another, as when a fleet grows or restarts at once, form one run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Distance of the first id from the last id of the previous run.
    pub gap: u32,
    /// Age of each member in [`AGE_UNIT`]s, one byte each.
    pub ages: Bytes,
}

/// Packs confirmations into those of members that hold `number` and all
/// others. Ages are rounded up so that they never shrink. Confirmations too
/// old for one byte prove nothing to anyone and are left out.
pub fn pack(number: Number, confirmations: &[Confirmation]) -> (Vec<Run>, Vec<Run>) {
    let (holding, behind): (Vec<&Confirmation>, Vec<&Confirmation>) =
        confirmations.iter().partition(|confirmation| confirmation.held >= number);
    (pack_runs(&holding), pack_runs(&behind))
}

/// Unpacks the confirmations of [`pack`]; `number` is the answerer's.
pub fn unpack(number: Number, holding: &[Run], behind: &[Run]) -> Vec<Confirmation> {
    // A daemon passes on only confirmations that name nothing newer than what
    // it holds itself, so its number is an upper bound of theirs.
    let holders = unpack_runs(holding).map(|(member, age)| Confirmation {
        member,
        number,
        held: number,
        age,
    });
    let others = unpack_runs(behind).map(|(member, age)| Confirmation {
        member,
        number,
        held: Number(0),
        age,
    });
    holders.chain(others).collect()
}

fn pack_runs(confirmations: &[&Confirmation]) -> Vec<Run> {
    let units = |confirmation: &&Confirmation| {
        let units = confirmation.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        Some((confirmation.member.raw(), u8::try_from(units).ok()?))
    };
    let mut runs: Vec<(u32, Vec<u8>)> = Vec::new();
    let mut last = 0;
    for (member, age) in confirmations.iter().filter_map(units) {
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
        ages.iter().enumerate().map(move |(offset, &units)| {
            let age = Span::from_micros(u64::from(units) * AGE_UNIT.as_micros());
            // The run's last id was checked against overflow, so this one fits.
            (MemberId::from_raw(first + offset as u32), age)
        })
    })
}
