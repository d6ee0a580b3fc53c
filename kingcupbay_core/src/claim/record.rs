//! The table row that claims a key and later holds the call's outcome.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest as _, Sha256};

use crate::id::{Name, OrganisationId, RequestId, RouteId};

/// Prefix of the table keys of claim rows.
pub const ROW_PREFIX: &str = "claim/";

/// Longest answer body stored in a row, in bytes; rows of the table are small.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Returns the table key of the row for an organisation's idempotency key.
/// Organisation ids are never reused and contain no `/`.
pub fn row_key(organisation: OrganisationId, idempotency: &str) -> String {
    format!("{ROW_PREFIX}{organisation}/{idempotency}")
}

/// Content of a claim row.
///
/// Invariant: the row is never removed. A recreated row would start at
/// revision 1 again, and a late write of an old attempt, which is conditional
/// on the revision that the attempt saw, could overwrite another attempt's
/// claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Digest of the call's content.
    pub digest: Digest,
    /// Random id of the attempt that wrote the row.
    pub attempt: RequestId,
    /// Host of the daemon that made the attempt.
    pub claimer: Name,
    /// Fencing number of that daemon.
    pub fencing: u64,
    /// Progress of the call.
    pub state: State,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The call may be about to run, may be running or may have run.
    Claimed,
    /// The claimer did not send the call and will not; the key is free.
    Released,
    /// The call ran and was answered. Invariant: this state is final.
    Done(Outcome),
}

/// A service's answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Body; `None` in a row if it was longer than [`MAX_BODY_BYTES`].
    #[serde_as(as = "Option<Hex>")]
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    /// Returns the outcome as stored in a row, without a body that is too long.
    pub(super) fn for_row(&self) -> Outcome {
        let body = self.body.clone().filter(|body| body.len() <= MAX_BODY_BYTES);
        Outcome { status: self.status, body }
    }
}

/// SHA-256 of a call's content. A key that is reused for another call must not
/// be answered with the first call's outcome.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] [u8; 32]);

impl Digest {
    /// Computes the digest of a call. The path's length is included, so that no
    /// two calls hash the same bytes.
    pub fn of(route: RouteId, path: &str, body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        hash.update(format!("{route}/{}/{path}/", path.len()));
        hash.update(body);
        Digest(hash.finalize().into())
    }
}
