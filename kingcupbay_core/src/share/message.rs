//! Messages between entries about shares: `POST /peer/share`, MessagePack.

use serde::{Deserialize, Serialize};

use super::{amount::Amount, bucket::Share, plan::Holder};
use crate::id::{Number, OrganisationId};

/// A message and its frame. Any may be lost, doubled, late or crossed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: Holder,
    /// Whom it is for; a successor on the same address drops it.
    pub to: Holder,
    /// The sender's epoch. Shares move within one epoch only.
    pub epoch: Number,
    /// The content.
    pub message: Message,
}

/// Content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// The sender cannot admit a request with what it has.
    Ask(Ask),
    /// Shares for the receiver, already deducted at the sender.
    Transfer(Transfer),
    /// The transfer with this sequence number was taken.
    Receipt {
        /// Its sequence number.
        seq: u64,
        /// What the sender of the receipt has by now.
        slack: Vec<Slack>,
    },
    /// What the sender has and needs.
    Slack(Vec<Slack>),
    /// The sender is stopping and wants no shares.
    Leaving,
}

/// A request for tokens of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// Whose tokens.
    pub organisation: OrganisationId,
    /// How many are missing.
    #[serde(rename = "lack")]
    pub missing: Amount,
}

/// Shares on their way.
///
/// Invariant: a sequence number is used once for each receiver, and a repeat
/// of it carries the same parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Transfer {
    /// Sequence number from this sender to this receiver in this epoch.
    pub seq: u64,
    /// Every number below this one is settled: the receiver forgets them.
    pub floor: u64,
    /// The shares.
    pub parts: Vec<Part>,
    /// What the sender has left.
    pub slack: Vec<Slack>,
}

/// A share of one organisation in a [`Transfer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The share.
    pub share: Share,
}

/// What an entry has and needs of one organisation. Only organisations with
/// demand travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Slack {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens a second that its callers used lately.
    pub demand: u64,
    /// Its share.
    pub share: Share,
}
