//! Records that members publish to each other; gossip does not read their
//! content.
//!
//! A member numbers the versions of its records, and only newer ones are sent.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Id, MemberId};

/// Bytes of records after which an answer takes no further member's records;
/// the rest follows with the next answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Topic of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Topic {
    /// Load and resident adapters of an upstream daemon.
    Load,
    /// Slack of an entry's rate shares.
    Slack,
}

/// A record of one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Number of changes that the member made to its records of both topics. Only
    /// grows.
    pub sequence: u32,
    /// Content, opaque to gossip.
    pub body: Bytes,
}

/// A record as sent to a peer: member, topic, sequence number and content.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordUpdate(pub MemberId, pub Topic, pub u32, pub Bytes);

/// Newest known sequence number of each member, as flat pairs of (distance
/// from the previous id, sequence number).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KnownSequences(Vec<u32>);

/// The newest known records of all members.
#[derive(Clone, Debug, Default)]
pub struct Records {
    me: Option<MemberId>,
    load: BTreeMap<MemberId, Record>,
    slack: BTreeMap<MemberId, Record>,
}

impl Records {
    /// Sets this daemon's own id; its records start anew under it.
    pub(super) fn set_own_id(&mut self, me: MemberId) {
        self.me = Some(me);
    }

    /// Drops the records of all members but `members`.
    pub(super) fn retain(&mut self, members: &BTreeSet<MemberId>) {
        self.load.retain(|id, _| members.contains(id));
        self.slack.retain(|id, _| members.contains(id));
    }

    /// Publishes this daemon's own record unless its content is unchanged. Does
    /// nothing before the daemon has joined, when it has no id to publish under.
    pub fn publish(&mut self, topic: Topic, body: Bytes) {
        let Some(me) = self.me else { return };
        if self.by_topic(topic).get(&me).is_some_and(|record| record.body == body) {
            return;
        }
        let sequence = self.newest_sequence(me) + 1;
        self.by_topic_mut(topic).insert(me, Record { sequence, body });
    }

    /// Returns the records of a topic by member.
    pub fn by_topic(&self, topic: Topic) -> &BTreeMap<MemberId, Record> {
        match topic {
            Topic::Load => &self.load,
            Topic::Slack => &self.slack,
        }
    }

    fn by_topic_mut(&mut self, topic: Topic) -> &mut BTreeMap<MemberId, Record> {
        match topic {
            Topic::Load => &mut self.load,
            Topic::Slack => &mut self.slack,
        }
    }

    /// Stores the records that are newer than the known ones.
    pub(super) fn merge(&mut self, updates: Vec<RecordUpdate>) {
        for RecordUpdate(member, topic, sequence, body) in updates {
            let record = self.by_topic_mut(topic).entry(member).or_default();
            // A stale answer must not bring back an older state.
            if sequence > record.sequence && self.me != Some(member) {
                *self.by_topic_mut(topic).entry(member).or_default() = Record { sequence, body };
            }
        }
    }

    /// Returns the known sequence numbers, for the next pull.
    pub(super) fn known_sequences(&self) -> KnownSequences {
        let members: BTreeSet<_> = self.load.keys().chain(self.slack.keys()).copied().collect();
        let mut flat = Vec::with_capacity(members.len() * 2);
        let mut last = 0;
        for member in members {
            flat.push(member.raw() - last);
            flat.push(self.newest_sequence(member));
            last = member.raw();
        }
        KnownSequences(flat)
    }

    /// Returns the records newer than `seen`. A member's records are sent either
    /// all or not at all, because the puller's next list names one sequence number
    /// for both topics.
    pub(super) fn since(&self, seen: &KnownSequences) -> Vec<RecordUpdate> {
        let seen = seen.by_member();
        let members: BTreeSet<_> = self.load.keys().chain(self.slack.keys()).copied().collect();
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for member in members {
            let known = seen.get(&member).copied().unwrap_or(0);
            for topic in [Topic::Load, Topic::Slack] {
                let Some(record) = self.by_topic(topic).get(&member) else { continue };
                if record.sequence > known {
                    bytes += record.body.len();
                    let body = record.body.clone();
                    updates.push(RecordUpdate(member, topic, record.sequence, body));
                }
            }
            if bytes > MAX_ANSWER_BYTES {
                break;
            }
        }
        updates
    }

    fn newest_sequence(&self, member: MemberId) -> u32 {
        let sequence =
            |topic| self.by_topic(topic).get(&member).map_or(0, |record| record.sequence);
        sequence(Topic::Load).max(sequence(Topic::Slack))
    }
}

impl KnownSequences {
    fn by_member(&self) -> BTreeMap<MemberId, u32> {
        let (pairs, _) = self.0.as_chunks::<2>();
        let ids = pairs.iter().scan(0u32, |last, &[gap, sequence]| {
            *last = last.checked_add(gap)?;
            Some((MemberId::from_raw(*last), sequence))
        });
        ids.collect()
    }
}
