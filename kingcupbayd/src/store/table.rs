//! Client of the platform's transactional table.

use std::net::SocketAddr;

use kingcupbay_core::{
    time::Span,
    wire::table::{Read, Rows, Txn, TxnAnswer},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::http::client::{Call, Clients};

/// Longest answer of the table, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a call to the table has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum TableError {
    /// The call certainly did not arrive, or was refused before it took effect.
    #[error("the table cannot be reached: {0}")]
    Unreached(String),
    /// The call may have taken effect.
    #[error("the table's answer was lost: {0}")]
    Lost(String),
    /// Another writer has left a row that cannot be used.
    #[error("the row {key} cannot be used: {error}")]
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        error: String,
    },
}

/// Client of the transactional table.
#[derive(Clone)]
pub(crate) struct Table {
    clients: Clients,
    address: String,
    timeout: Span,
}

impl Table {
    /// Creates a client for the table at `address`; `timeout` covers one call.
    pub(crate) fn new(clients: Clients, address: SocketAddr, timeout: Span) -> Table {
        Table { clients, address: address.to_string(), timeout }
    }

    /// Runs a transaction. After [`TableError::Lost`], only a read shows whether
    /// it took effect.
    pub(crate) async fn txn(&self, txn: &Txn) -> Result<TxnAnswer, TableError> {
        self.post("/txn", txn).await
    }

    /// Reads rows of one consistent state.
    pub(crate) async fn read(&self, read: &Read) -> Result<Rows, TableError> {
        self.post("/read", read).await
    }

    async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, TableError> {
        let answer = tokio::time::timeout(self.timeout.into(), self.exchange(path, body)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                self.clients.forget(&self.address);
                Err(error)
            }
            Err(_) => {
                self.clients.forget(&self.address);
                Err(TableError::Lost("no answer in time".to_owned()))
            }
        }
    }

    async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, TableError> {
        let sent = self.clients.send(&self.address, Call::post_json(path, body)).await;
        let mut answer = sent.map_err(|error| match error.is_unsent() {
            true => TableError::Unreached(error.to_string()),
            false => TableError::Lost(error.to_string()),
        })?;
        // By the platform's contract, a call answered with 503 had no effect.
        if answer.status() == 503 {
            return Err(TableError::Unreached("503".to_owned()));
        }
        if !answer.status().is_success() {
            return Err(TableError::Lost(answer.status().to_string()));
        }
        let bytes = answer.read_large(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| TableError::Lost(error.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|error| TableError::Lost(error.to_string()))
    }
}
