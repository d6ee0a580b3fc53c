//! Client of the platform's store.

use std::{cell::Cell, net::SocketAddr};

use actix_http::Method;
use kingcupbay_core::{
    deployment::waits::STORE_CALL_TIMEOUT,
    time::{Instant, Span},
    wire::rows::{RowPage, Txn, TxnAnswer},
};
use kingcupbay_platform::{Call, DecodeError, store as platform};
use prometheus::IntCounterVec;
use slog::{Logger, info, warn};
use thiserror::Error;

use crate::{
    clock,
    http::{
        link::LinkError,
        pool::{Answer, Pool},
    },
    metrics::store_calls,
};

/// Why a call of the store failed.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum StoreError {
    /// There was no answer. A write may have taken effect, or may do so later.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// The store refused the call, which had no effect.
    #[error("status {0}")]
    Refused(u16),
    /// The store has dropped the history from the requested version on.
    #[error("the history is gone")]
    HistoryDropped,
    /// The answer cannot be decoded.
    #[error("{0}")]
    Decode(#[from] DecodeError),
}

/// Client of the store, which tracks whether it answers.
pub(crate) struct Store {
    pool: Pool,
    address: SocketAddr,
    /// Since when no call has been answered.
    unavailable_since: Cell<Option<Instant>>,
    /// Calls by kind and table.
    calls: IntCounterVec,
    log: Logger,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub(crate) fn new(pool: Pool, address: SocketAddr, log: Logger) -> Store {
        Store { pool, address, unavailable_since: Cell::new(None), calls: store_calls(), log }
    }

    /// Returns the counter of calls by kind and table, for this daemon's metrics.
    pub(crate) fn calls(&self) -> &IntCounterVec {
        &self.calls
    }

    /// Returns since when the store has not answered, if so.
    pub(crate) fn unavailable_since(&self) -> Option<Instant> {
        self.unavailable_since.get()
    }

    /// Returns a page of rows of `table`, from the key `from` on.
    pub(crate) async fn read(&self, table: &str, from: &str) -> Result<RowPage, StoreError> {
        self.calls.with_label_values(&["read", table]).inc();
        let answer = self.call(&platform::encode_read(table, from), STORE_CALL_TIMEOUT).await?;
        Ok(platform::decode_page(&answer.body)?)
    }

    /// Returns the changes of `table` after version `after`. Waits up to `wait` for a
    /// first change.
    pub(crate) async fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Span,
    ) -> Result<RowPage, StoreError> {
        self.calls.with_label_values(&["feed", table]).inc();
        let answer = self
            .call(&platform::encode_feed(table, after, wait), wait + STORE_CALL_TIMEOUT)
            .await?;
        Ok(platform::decode_page(&answer.body)?)
    }

    /// Runs a transaction.
    pub(crate) async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let table = txn.writes.first().map_or("", |(row, _)| &row.table);
        self.calls.with_label_values(&["transact", table]).inc();
        let answer = self.call(&platform::encode_transaction(txn), STORE_CALL_TIMEOUT).await?;
        Ok(platform::decode_transaction(answer.status == 412, &answer.body)?)
    }

    /// Calls the store with the timeout `time`.
    async fn call(&self, call: &Call, time: Span) -> Result<Answer, StoreError> {
        let method = if call.method == "GET" { Method::GET } else { Method::POST };
        let answered = self.pool.call(self.address, method, &call.path, &call.body, time).await;
        let result = match answered {
            Ok(answer) => match answer.status {
                200 | 412 => Ok(answer),
                410 => Err(StoreError::HistoryDropped),
                status => Err(StoreError::Refused(status)),
            },
            Err(error) => Err(error.into()),
        };
        self.log_availability(&result);
        result
    }

    /// Records and logs when the store is lost and when it is back.
    fn log_availability(&self, result: &Result<Answer, StoreError>) {
        let now = clock::now();
        match (result, self.unavailable_since.get()) {
            (Ok(_) | Err(StoreError::HistoryDropped), Some(since)) => {
                self.unavailable_since.set(None);
                let duration = now.since(since).as_millis();
                info!(self.log, ""; "event" => "store_back", "away_ms" => duration);
            }
            (Err(error), None) if !matches!(error, StoreError::HistoryDropped) => {
                self.unavailable_since.set(Some(now));
                warn!(self.log, ""; "event" => "store_lost", "error" => %error);
            }
            _ => {}
        }
    }
}
