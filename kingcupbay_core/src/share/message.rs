//! Messages between entries about shares, sent as MessagePack with
//! `POST /peer/share`.

use serde::{Deserialize, Serialize};

use super::{amount::Amount, bucket::Share, plan::Holder};
use crate::id::{Number, OrganisationId};

/// Message with its sender, receiver and epoch. Any message may be lost,
/// duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: Holder,
    /// Receiver; a successor on the same address drops the message.
    pub to: Holder,
    /// Epoch of the sender. Shares move within one epoch only.
    pub epoch: Number,
    /// Content.
    pub message: Message,
}

/// Content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens: the sender cannot admit a request with its own.
    Ask(Ask),
    /// Moves shares to the receiver; the sender has already deducted them.
    Transfer(Transfer),
    /// Acknowledges a transfer.
    Receipt {
        /// Sequence number of the transfer.
        seq: u64,
        /// Slack of the receipt's sender, for the organisations of the transfer.
        slack: Vec<Slack>,
    },
    /// Reports the slack of the sender.
    Slack(Vec<Slack>),
    /// Announces that the sender is stopping and takes no more shares.
    Leaving,
}

/// Request for tokens of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// Organisation whose tokens are needed.
    pub organisation: OrganisationId,
    /// Amount that is missing.
    #[serde(rename = "lack")]
    pub missing: Amount,
}

/// Shares sent from one entry to another.
///
/// Invariant: a sequence number is used for one transfer to a receiver only, and
/// a repeat of it carries the same parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Transfer {
    /// Sequence number from this sender to this receiver in this epoch.
    pub seq: u64,
    /// Lowest number without a receipt; the receiver forgets all numbers below.
    pub floor: u64,
    /// Shares, by organisation.
    pub parts: Vec<Part>,
    /// Slack of the sender after the transfer.
    pub slack: Vec<Slack>,
}

/// Share of one organisation in a [`Transfer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The share.
    pub share: Share,
}

/// Share and demand of one organisation at an entry, from which peers see where
/// tokens can be spared. Ticks leave out organisations without demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Slack {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Recent demand of its callers at this entry, in tokens a second.
    pub demand: u64,
    /// Share of it that the entry holds.
    pub share: Share,
}
