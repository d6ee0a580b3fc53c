//! Client of the platform's object store.

use std::net::SocketAddr;

use bytes::Bytes;
use kingcupbay_core::{time::Span, wire::object::PATH};
use thiserror::Error;

use crate::http::client::{Call, Clients};

/// Longest object that is read, in bytes. A snapshot of 67,000 adapters has
/// about 20 MB.
const MAX_OBJECT_BYTES: usize = 256 << 20;

/// Why an object could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the object store: {0}")]
pub(crate) struct ObjectError(String);

/// Client of the object store.
#[derive(Clone)]
pub(crate) struct Objects {
    clients: Clients,
    address: String,
    timeout: Span,
}

impl Objects {
    /// Creates a client for the object store at `address`; `timeout` covers each
    /// step of a call: the head of the answer, and its body.
    pub(crate) fn new(clients: Clients, address: SocketAddr, timeout: Span) -> Objects {
        Objects { clients, address: address.to_string(), timeout }
    }

    /// Stores an object.
    pub(crate) async fn put(&self, key: &str, body: Bytes) -> Result<(), ObjectError> {
        let path = format!("{PATH}{key}");
        let sent = self.clients.send(&self.address, Call::put(&path, body));
        let answer = self.with_timeout(sent).await?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(ObjectError(answer.status().to_string())),
        }
    }

    /// Reads an object; `None` if it does not exist.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Bytes>, ObjectError> {
        let path = format!("{PATH}{key}");
        let sent = self.clients.send(&self.address, Call::get(&path));
        let mut answer = self.with_timeout(sent).await?;
        if answer.status() == 404 {
            return Ok(None);
        }
        if !answer.status().is_success() {
            return Err(ObjectError(answer.status().to_string()));
        }
        let body = self.with_timeout(answer.read_large(MAX_OBJECT_BYTES)).await?;
        Ok(Some(body))
    }

    async fn with_timeout<T, E: std::fmt::Display>(
        &self,
        call: impl Future<Output = Result<T, E>>,
    ) -> Result<T, ObjectError> {
        match tokio::time::timeout(self.timeout.into(), call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(ObjectError(error.to_string())),
            Err(_) => Err(ObjectError("no answer in time".to_owned())),
        }
    }
}
