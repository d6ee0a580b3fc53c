//! Client of the platform's store.

use std::{cell::Cell, net::SocketAddr};

use actix_http::Method;
use kingcupbay_core::{
    deployment::waits::{STORE_CALL_TIMEOUT, STORE_WRITE_TIMEOUT},
    time::{Instant, Span},
    wire::rows::{self, RowChange, RowPage, Txn, TxnAnswer},
};
use kingcupbay_platform::{Call, DecodeError, store as platform};
use prometheus::{IntCounterVec, IntGauge};
use slog::{Logger, info, warn};
use thiserror::Error;

use crate::{
    clock,
    http::{
        link::LinkError,
        pool::{Answer, Pool},
    },
    metrics::{store_calls, store_era, unreadable_rows},
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
    /// The store has come back from an older copy since the requested version.
    #[error("the store came back from an older copy")]
    Rewound,
    /// The answer is from before the store came back from an older copy. What it says may
    /// be gone; a write may have been lost.
    #[error("the answer is from before the store came back")]
    Outdated,
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
    /// Greatest era that an answer has stated; `None` before the first answer.
    era: Cell<Option<u64>>,
    /// The same as a metric.
    era_gauge: IntGauge,
    /// Calls by kind and table.
    calls: IntCounterVec,
    /// Rows that could not be read, by table.
    unreadable: IntCounterVec,
    log: Logger,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub(crate) fn new(pool: Pool, address: SocketAddr, log: Logger) -> Store {
        Store {
            pool,
            address,
            unavailable_since: Cell::new(None),
            era: Cell::new(None),
            era_gauge: store_era(),
            calls: store_calls(),
            unreadable: unreadable_rows(),
            log,
        }
    }

    /// Returns the counter of calls by kind and table, for this daemon's metrics.
    pub(crate) fn calls(&self) -> &IntCounterVec {
        &self.calls
    }

    /// Returns the counter of rows that could not be read, for this daemon's metrics.
    pub(crate) fn unreadable(&self) -> &IntCounterVec {
        &self.unreadable
    }

    /// Returns the era as a metric, for this daemon's metrics.
    pub(crate) fn era_gauge(&self) -> &IntGauge {
        &self.era_gauge
    }

    /// Returns since when the store has not answered, if so.
    pub(crate) fn unavailable_since(&self) -> Option<Instant> {
        self.unavailable_since.get()
    }

    /// Returns a page of rows of `table`, from the key `from` on.
    pub(crate) async fn read(&self, table: &str, from: &str) -> Result<RowPage, StoreError> {
        self.calls.with_label_values(&["read", table]).inc();
        let call = platform::encode_read(table, from);
        let (era, answer) = self.call(&call, STORE_CALL_TIMEOUT).await?;
        self.decode_page(table, era, &answer)
    }

    /// Returns the changes of `table` after version `after`. Waits up to `wait` for a
    /// first change. Fails if the store comes back from an older copy meanwhile, as it has
    /// changes then that have lower versions.
    pub(crate) async fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Span,
    ) -> Result<RowPage, StoreError> {
        self.calls.with_label_values(&["feed", table]).inc();
        let call = platform::encode_feed(table, after, wait);
        let (era, answer) = self.call(&call, wait + STORE_CALL_TIMEOUT).await?;
        if rows::era(after) < era {
            return Err(StoreError::Rewound);
        }
        self.decode_page(table, era, &answer)
    }

    /// Decodes a page of `table`, and logs and counts its rows that cannot be read.
    fn decode_page(&self, table: &str, era: u64, answer: &Answer) -> Result<RowPage, StoreError> {
        let page = platform::decode_page(era, &answer.body)?;
        let unreadable = page.rows.iter().filter_map(|change| match change {
            RowChange::Put(row) if row.is_unreadable() => Some(row),
            RowChange::Put(_) | RowChange::Removed(..) => None,
        });
        let mut count = page.nameless;
        for row in unreadable {
            count += 1;
            warn!(self.log, ""; "event" => "row_undecoded", "table" => table,
                "key" => &row.key.key, "version" => row.version);
        }
        if page.nameless > 0 {
            warn!(self.log, ""; "event" => "rows_nameless", "table" => table,
                "count" => page.nameless);
        }
        self.unreadable.with_label_values(&[table]).inc_by(count as u64);
        Ok(page)
    }

    /// Runs a transaction.
    pub(crate) async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let table = txn.writes.first().map_or("", |(row, _)| &row.table);
        self.calls.with_label_values(&["transact", table]).inc();
        let call = platform::encode_transaction(txn);
        let (era, answer) = self.call(&call, STORE_WRITE_TIMEOUT).await?;
        Ok(platform::decode_transaction(era, answer.status == 412, &answer.body)?)
    }

    /// Calls the store with the timeout `time`. Returns the answer with its era.
    async fn call(&self, call: &Call, time: Span) -> Result<(u64, Answer), StoreError> {
        let method = if call.method == "GET" { Method::GET } else { Method::POST };
        let answered = self.pool.call(self.address, method, &call.path, &call.body, time).await;
        let result = match answered {
            Ok(answer) => match (self.on_era(&answer), answer.status) {
                (None, _) => Err(StoreError::Outdated),
                (Some(era), 200 | 412) => Ok((era, answer)),
                (Some(_), 410) => Err(StoreError::HistoryDropped),
                (Some(_), status) => Err(StoreError::Refused(status)),
            },
            Err(error) => Err(error.into()),
        };
        self.log_availability(&result);
        result
    }

    /// Returns the era of an answer; `None` if a later one is known. An answer that states
    /// none is of the last one: a store without eras never comes back from a copy.
    fn on_era(&self, answer: &Answer) -> Option<u64> {
        let known = self.era.get();
        let era = platform::decode_era(&answer.headers).or(known).unwrap_or_default();
        if known.is_some_and(|known| era < known) {
            return None;
        }
        if let Some(before) = known.filter(|&known| known < era) {
            warn!(self.log, ""; "event" => "store_era", "era" => era, "before" => before);
        }
        self.era.set(Some(era));
        self.era_gauge.set(era as i64);
        Some(era)
    }

    /// Records and logs when the store is lost and when it is back.
    fn log_availability<T>(&self, result: &Result<T, StoreError>) {
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
