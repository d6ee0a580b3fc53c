//! Calls of the platform's store.

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

/// Why a call of the store brought nothing.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum StoreError {
    /// No answer: a write may have taken effect, or may do so later.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// It refused; nothing was done.
    #[error("status {0}")]
    Refused(u16),
    /// The history from which to go on has been dropped.
    #[error("the history is gone")]
    HistoryDropped,
    /// The answer cannot be read.
    #[error("{0}")]
    Decode(#[from] DecodeError),
}

/// The store, and whether it answers.
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
    /// A client of the store at `address`.
    pub(crate) fn new(pool: Pool, address: SocketAddr, log: Logger) -> Store {
        Store { pool, address, unavailable_since: Cell::new(None), calls: store_calls(), log }
    }

    /// Calls by kind and table, for the metrics of this daemon.
    pub(crate) fn calls(&self) -> &IntCounterVec {
        &self.calls
    }

    /// Since when the store has not answered.
    pub(crate) fn unavailable_since(&self) -> Option<Instant> {
        self.unavailable_since.get()
    }

    /// Rows of `table` from the key `from` on.
    pub(crate) async fn read(&self, table: &str, from: &str) -> Result<RowPage, StoreError> {
        self.calls.with_label_values(&["read", table]).inc();
        let answer = self.call(&platform::encode_read(table, from), STORE_CALL_TIMEOUT).await?;
        Ok(platform::decode_page(&answer.body)?)
    }

    /// What has changed in `table` after version `after`; waits up to `wait`
    /// for a first change.
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

    /// Logs when the store is lost and when it is back.
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
