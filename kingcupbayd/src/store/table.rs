//! Client of the platform's transactional table.

use std::net::SocketAddr;

use kingcupbay_core::{
    time::Span,
    wire::table::{Read, Rows, Txn, TxnAnswer},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::http::client::{Clients, is_unsent};

/// Longest answer of the table that is read.
const ANSWER_LIMIT: usize = 64 << 20;

/// What became of a call whose answer did not come.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum TableError {
    /// The call provably never arrived, or was refused before any effect.
    #[error("the table cannot be reached: {0}")]
    Unreached(String),
    /// The call may have taken effect.
    #[error("the table's answer was lost: {0}")]
    Lost(String),
}

/// Client of the table.
#[derive(Clone)]
pub(crate) struct Table {
    clients: Clients,
    address: String,
    timeout: Span,
}

impl Table {
    /// A client for the table at `address`.
    pub(crate) fn new(clients: Clients, address: SocketAddr, timeout: Span) -> Table {
        Table { clients, address: address.to_string(), timeout }
    }

    /// Runs a transaction. After [`TableError::Lost`] only a read tells
    /// whether it took effect.
    pub(crate) async fn txn(&self, txn: &Txn) -> Result<TxnAnswer, TableError> {
        self.post("txn", txn).await
    }

    /// Reads rows in one consistent step.
    pub(crate) async fn read(&self, read: &Read) -> Result<Rows, TableError> {
        self.post("read", read).await
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
        let url = format!("http://{}/{path}", self.address);
        let sent = self.clients.get(&self.address).post(url).send_json(body).await;
        let mut response = sent.map_err(|error| match is_unsent(&error) {
            true => TableError::Unreached(error.to_string()),
            false => TableError::Lost(error.to_string()),
        })?;
        // The platform's contract: an answer of 503 took no effect.
        if response.status() == 503 {
            return Err(TableError::Unreached("503".to_owned()));
        }
        if !response.status().is_success() {
            return Err(TableError::Lost(response.status().to_string()));
        }
        let bytes = response.body().limit(ANSWER_LIMIT).await;
        let bytes = bytes.map_err(|error| TableError::Lost(error.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|error| TableError::Lost(error.to_string()))
    }
}
