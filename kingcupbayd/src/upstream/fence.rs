//! Fencing numbers: which daemon may give orders to an engine.
//!
//! The number of an engine grows by one with each daemon that comes to own
//! it. Engines that check it refuse a predecessor's late orders. For those
//! that ignore it, the successor waits until the predecessor cannot act any
//! more: its standing has lapsed, and its longest order in flight has ended.

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

/// Longest time between a daemon's look at its standing and the arrival of
/// the order that it then gave.
const ORDER_FLIGHT: Span = Span::from_secs(2);

/// Pause after a failed attempt.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// Row of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Fence {
    /// The number in force.
    number: u64,
    /// The attempt that wrote it: tells a write whose answer was lost from
    /// somebody else's.
    attempt: String,
}

/// Key of the row of an engine or service. Each write of it makes the next
/// number and it is never removed, so its revision is the number.
pub(super) fn key(engine: &Name) -> String {
    format!("fence/{engine}")
}

/// Takes the next fencing number of `engine`, however long the table is away.
pub(super) async fn acquire(upstream: &Rc<Upstream>, engine: &Name, checked: bool) -> u64 {
    let attempt = new_request_id().to_string();
    loop {
        match take(upstream, engine, &attempt).await {
            Ok(Some(number)) => {
                if !checked && number > 1 {
                    // A predecessor that was paused keeps the standing that
                    // its peers vouch for until they know it is replaced, so
                    // the wait begins only when this daemon's join is in force.
                    while !upstream.fleet.is_joined() {
                        tokio::time::sleep(PAUSE).await;
                    }
                    tokio::time::sleep((FRESHNESS + ORDER_FLIGHT).into()).await;
                }
                info!(upstream.log, ""; "event" => "owned", "upstream" => %engine,
                    "fencing" => number);
                return number;
            }
            Ok(None) => {}
            Err(error) => {
                warn!(upstream.log, ""; "event" => "fence_failed", "upstream" => %engine,
                    "error" => %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn take(
    upstream: &Upstream,
    engine: &Name,
    attempt: &str,
) -> Result<Option<u64>, TableError> {
    let key = key(engine);
    let rows = upstream.table.read(&Read::Keys(vec![key.clone()])).await?;
    let row = rows.rows.first();
    let old: Option<Fence> = row.map(decode);
    // Our own write whose answer was lost.
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
