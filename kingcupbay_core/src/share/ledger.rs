//! Transfers under way: each is added once, however often it arrives.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    message::{Part, Transfer},
    plan::Holder,
};
use crate::time::{Instant, Span};

/// Most transfers to one peer from the oldest without a receipt on. A peer
/// that does not answer must not draw in allowance without end.
const OUTSTANDING_MAX: u64 = 16;

/// Transfers of one epoch, sent and taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    sent: BTreeMap<Holder, Sent>,
    taken: BTreeMap<Holder, Taken>,
}

/// Transfers to one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sent {
    /// Sequence number of the next one.
    next: u64,
    /// Those without a receipt, and when each was last sent.
    open: BTreeMap<u64, (Instant, Vec<Part>)>,
}

/// Transfers from one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Taken {
    /// The peer settled every number below.
    floor: u64,
    /// Numbers taken at or above `floor`: fewer than `OUTSTANDING_MAX`, as the
    /// peer goes no further beyond its oldest open one.
    seqs: BTreeSet<u64>,
}

impl Ledger {
    /// Whether another transfer to `peer` may be begun.
    pub(crate) fn has_room(&self, peer: Holder) -> bool {
        self.sent.get(&peer).is_none_or(|sent| sent.next - sent.floor() < OUTSTANDING_MAX)
    }

    /// Whether every transfer to `peer` has its receipt.
    pub(crate) fn is_settled(&self, peer: Holder) -> bool {
        self.sent.get(&peer).is_none_or(|sent| sent.open.is_empty())
    }

    /// Whether every transfer has its receipt.
    pub(crate) fn all_settled(&self) -> bool {
        self.sent.values().all(|sent| sent.open.is_empty())
    }

    /// What is in transfers without a receipt.
    pub(crate) fn outstanding(&self) -> impl Iterator<Item = &Part> {
        let open = self.sent.values().flat_map(|sent| sent.open.values());
        open.flat_map(|(_, parts)| parts)
    }

    /// Enters a transfer whose parts are already deducted.
    pub(crate) fn send(&mut self, now: Instant, peer: Holder, parts: Vec<Part>) -> Transfer {
        let sent = self.sent.entry(peer).or_default();
        let seq = sent.next;
        sent.next += 1;
        sent.open.insert(seq, (now, parts));
        sent.transfer(seq).expect("just entered")
    }

    /// The transfers sent `wait` ago or longer, to be sent again. A lost one
    /// would take its allowance out of use until the next epoch.
    pub(crate) fn resend(&mut self, now: Instant, wait: Span) -> Vec<(Holder, Transfer)> {
        let mut again = Vec::new();
        for (&peer, sent) in &mut self.sent {
            let mut due = Vec::new();
            for (&seq, (at, _)) in &mut sent.open {
                if now.since(*at) >= wait {
                    *at = now;
                    due.push(seq);
                }
            }
            again.extend(due.into_iter().filter_map(|seq| Some((peer, sent.transfer(seq)?))));
        }
        again
    }

    /// The receipt of `seq` came from `peer`.
    pub(crate) fn settle(&mut self, peer: Holder, seq: u64) {
        if let Some(sent) = self.sent.get_mut(&peer) {
            sent.open.remove(&seq);
        }
    }

    /// Whether the transfer `seq` from `peer` is to be added: only the first
    /// time. Doubled messages would otherwise make allowance.
    pub(crate) fn take(&mut self, peer: Holder, seq: u64, floor: u64) -> bool {
        let taken = self.taken.entry(peer).or_default();
        if floor > taken.floor {
            taken.floor = floor;
            taken.seqs = taken.seqs.split_off(&floor);
        }
        seq >= taken.floor && taken.seqs.insert(seq)
    }
}

impl Sent {
    fn floor(&self) -> u64 {
        self.open.keys().next().copied().unwrap_or(self.next)
    }

    fn transfer(&self, seq: u64) -> Option<Transfer> {
        let (_, parts) = self.open.get(&seq)?;
        Some(Transfer { seq, floor: self.floor(), parts: parts.clone(), slack: Vec::new() })
    }
}
