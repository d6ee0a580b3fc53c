//! Fencing numbers, which decide which daemon may send orders to an engine.
//!
//! The number of an engine grows by one with each daemon that becomes its
//! owner. Engines that check the number refuse late orders of a previous owner.
//! For engines that ignore it, the new owner waits until the previous one can
//! no longer act: its standing has lapsed and its last order has arrived.

use std::rc::Rc;

use kingcupbay_core::{
    id::Name,
    time::Span,
    wire::table::{Condition, Read, Txn, TxnAnswer, Write},
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::Upstream;
use crate::{
    entry::new_request_id,
    fleet::{FRESHNESS, decode, encode},
    store::table::TableError,
};

/// Longest time between a daemon's check of its standing and the arrival of
/// the order that it then sends.
const MAX_ORDER_DELAY: Span = Span::from_secs(2);

/// Pause after a failed attempt, and between two checks of the own join.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// Row of one engine or service in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Fence {
    /// The current number.
    number: u64,
    /// Identity of the attempt that wrote the row. A daemon recognises its own
    /// write by it when the answer of the table was lost.
    attempt: String,
}

/// Returns the key of the row of an engine or service. Each write of the row
/// stores the next number and the row is never removed, so its revision equals
/// the number.
pub(super) fn row_key(engine: &Name) -> String {
    format!("fence/{engine}")
}

/// Takes the next fencing number of `engine` and returns it. Retries for as long
/// as the table is unreachable.
///
/// `enforced` says whether stale orders are refused by the number itself.
/// Otherwise this also waits until a previous owner can no longer act.
pub(super) async fn acquire(upstream: &Rc<Upstream>, engine: &Name, enforced: bool) -> u64 {
    let attempt = new_request_id().to_string();
    loop {
        match try_acquire(upstream, engine, &attempt).await {
            Ok(Some(number)) => {
                if !enforced && number > 1 {
                    // A previous owner that was paused may keep its standing,
                    // confirmed by its peers, until they know that it is
                    // replaced. So the wait starts only when the join of this
                    // daemon is in force.
                    while !upstream.fleet.is_joined() {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                    tokio::time::sleep((FRESHNESS + MAX_ORDER_DELAY).into()).await;
                }
                info!(upstream.log, ""; "event" => "owned", "upstream" => %engine,
                    "fencing" => number);
                return number;
            }
            Ok(None) => {}
            Err(error) => {
                warn!(upstream.log, ""; "event" => "fence_failed", "upstream" => %engine,
                    "error" => %error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Makes one attempt to write the next number. Returns `None` if another daemon
/// wrote the row meanwhile.
async fn try_acquire(
    upstream: &Upstream,
    engine: &Name,
    attempt: &str,
) -> Result<Option<u64>, TableError> {
    let key = row_key(engine);
    let rows = upstream.table.read(&Read::Keys(vec![key.clone()])).await?;
    let row = rows.rows.first();
    // Without the last number, none is known to be higher than those that the engine has seen.
    let old: Option<Fence> = row.map(decode).transpose()?;
    // An earlier write of this attempt whose answer was lost.
    if let Some(own) = old.as_ref().filter(|fence| fence.attempt == attempt) {
        return Ok(Some(own.number));
    }
    let number = old.map_or(0, |fence| fence.number) + 1;
    let fence = Fence { number, attempt: attempt.to_owned() };
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), revision: row.map_or(0, |r| r.revision) }],
        writes: vec![Write { key, value: Some(encode(&fence)) }],
    };
    match upstream.table.txn(&txn).await? {
        TxnAnswer::Committed => Ok(Some(number)),
        TxnAnswer::Conflict(_) => Ok(None),
    }
}
