//! Ledger of sent and received transfers.
//!
//! A transfer may arrive more than once; the ledger accepts it only once.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    message::{Part, Transfer},
    plan::Holder,
};
use crate::time::{Instant, Span};

/// Most transfers to one peer, counted from the oldest without a receipt. It
/// bounds the allowance that is sent to a peer that does not answer.
const OPEN_TRANSFERS_MAX: u64 = 16;

/// Transfers of one epoch, sent and accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    outgoing: BTreeMap<Holder, Outgoing>,
    incoming: BTreeMap<Holder, Incoming>,
}

/// Transfers to one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Outgoing {
    /// Sequence number of the next transfer.
    next: u64,
    /// Transfers without a receipt: the time each was last sent, and its parts.
    open: BTreeMap<u64, (Instant, Vec<Part>)>,
}

/// Transfers from one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Incoming {
    /// The peer has a receipt for every number below.
    floor: u64,
    /// Accepted numbers at or above `floor`: at most `OPEN_TRANSFERS_MAX`, as the
    /// peer opens no transfer further beyond its oldest open one.
    seqs: BTreeSet<u64>,
}

impl Ledger {
    /// Returns whether another transfer to `peer` may be opened.
    pub(crate) fn can_send(&self, peer: Holder) -> bool {
        self.outgoing
            .get(&peer)
            .is_none_or(|outgoing| outgoing.next - outgoing.floor() < OPEN_TRANSFERS_MAX)
    }

    /// Returns whether `peer` has acknowledged every transfer to it.
    pub(crate) fn all_acknowledged_by(&self, peer: Holder) -> bool {
        self.outgoing.get(&peer).is_none_or(|outgoing| outgoing.open.is_empty())
    }

    /// Returns whether every transfer is acknowledged.
    pub(crate) fn all_acknowledged(&self) -> bool {
        self.outgoing.values().all(|outgoing| outgoing.open.is_empty())
    }

    /// Returns the parts of all transfers without a receipt.
    pub(crate) fn outstanding(&self) -> impl Iterator<Item = &Part> {
        let open = self.outgoing.values().flat_map(|outgoing| outgoing.open.values());
        open.flat_map(|(_, parts)| parts)
    }

    /// Opens a transfer whose parts have already been deducted.
    pub(crate) fn open_transfer(
        &mut self,
        now: Instant,
        peer: Holder,
        parts: Vec<Part>,
    ) -> Transfer {
        let outgoing = self.outgoing.entry(peer).or_default();
        let seq = outgoing.next;
        outgoing.next += 1;
        outgoing.open.insert(seq, (now, parts));
        outgoing.transfer(seq).expect("just entered")
    }

    /// Returns the open transfers that were last sent `wait` ago or longer, to be
    /// sent again. The allowance of a lost one would otherwise be out of use until
    /// the next epoch.
    pub(crate) fn resend(&mut self, now: Instant, wait: Span) -> Vec<(Holder, Transfer)> {
        let mut again = Vec::new();
        for (&peer, outgoing) in &mut self.outgoing {
            let mut due = Vec::new();
            for (&seq, (at, _)) in &mut outgoing.open {
                if now.since(*at) >= wait {
                    *at = now;
                    due.push(seq);
                }
            }
            again.extend(due.into_iter().filter_map(|seq| Some((peer, outgoing.transfer(seq)?))));
        }
        again
    }

    /// Closes the transfer `seq`, for which a receipt came from `peer`.
    pub(crate) fn acknowledge(&mut self, peer: Holder, seq: u64) {
        if let Some(outgoing) = self.outgoing.get_mut(&peer) {
            outgoing.open.remove(&seq);
        }
    }

    /// Records the transfer `seq` from `peer` and returns whether to add it, which
    /// is so only the first time. Duplicate messages would otherwise create
    /// allowance.
    pub(crate) fn accept(&mut self, peer: Holder, seq: u64, floor: u64) -> bool {
        let incoming = self.incoming.entry(peer).or_default();
        if floor > incoming.floor {
            incoming.floor = floor;
            incoming.seqs = incoming.seqs.split_off(&floor);
        }
        seq >= incoming.floor && incoming.seqs.insert(seq)
    }
}

impl Outgoing {
    fn floor(&self) -> u64 {
        self.open.keys().next().copied().unwrap_or(self.next)
    }

    fn transfer(&self, seq: u64) -> Option<Transfer> {
        let (_, parts) = self.open.get(&seq)?;
        Some(Transfer { seq, floor: self.floor(), parts: parts.clone(), slack: Vec::new() })
    }
}
