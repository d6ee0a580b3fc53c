//! The row that claims a key and then holds the call's outcome.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest as _, Sha256};

use crate::id::{Name, OrganisationId, RequestId, RouteId};

/// Prefix of the keys of these rows.
pub const ROW_PREFIX: &str = "claim/";

/// Longest answer that is kept: rows of the table are small.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Key of the row for an organisation's idempotency key. Ids of organisations
/// are never given out twice, and hold no `/`.
pub fn row_key(organisation: OrganisationId, idempotency: &str) -> String {
    format!("{ROW_PREFIX}{organisation}/{idempotency}")
}

/// Content of the row.
///
/// Invariant: the row is never removed. A row made again would begin at
/// revision 1 again, and a late write of an old attempt, which names the
/// revision it saw, would hit another attempt's claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// What the call asks for.
    pub digest: Digest,
    /// Drawn by the attempt that wrote the row.
    pub attempt: RequestId,
    /// Host of the daemon that made the attempt.
    pub claimer: Name,
    /// Fencing number of that daemon.
    pub fencing: u64,
    /// How far the call is.
    pub state: State,
}

/// How far a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be running, have run, or be about to.
    Claimed,
    /// It never left its claimer and never will; the key is free.
    Released,
    /// It ran and was answered. Invariant: this never changes.
    Done(Outcome),
}

/// A service's answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// The body; `None` in a row when it was longer than [`BODY_MAX`].
    #[serde_as(as = "Option<Hex>")]
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    /// The outcome as a row can hold it.
    pub(super) fn for_row(&self) -> Outcome {
        let body = self.body.clone().filter(|body| body.len() <= MAX_BODY_BYTES);
        Outcome { status: self.status, body }
    }
}

/// SHA-256 of what a call asks for: a key used again for something else must
/// not be answered with the first call's outcome.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] [u8; 32]);

impl Digest {
    /// The digest of a call. Lengths go in too, so that no two calls give the
    /// same bytes.
    pub fn of(route: RouteId, path: &str, body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        hash.update(format!("{route}/{}/{path}/", path.len()));
        hash.update(body);
        Digest(hash.finalize().into())
    }
}
