//! Client with which tests set faults and read records.

use std::{net::SocketAddr, time::Duration};

use awc::{
    ClientRequest,
    error::{JsonPayloadError, PayloadError, SendRequestError},
    http::Method,
};
use kingcupbay_core::wire::fleet::Hosts;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    fault::{FaultOrder, Faults, Rule, RuleId},
    hosts::Lag,
    server::admin::{FAULT, HIT, RECEIVED, Recording},
};

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Sets faults of one stand-in and reads what it recorded.
pub struct Control {
    client: awc::Client,
    address: SocketAddr,
}

/// Reason why a [`Control`] got no usable answer.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    /// The request was not answered.
    #[error("no answer: {0}")]
    Send(#[from] SendRequestError),
    /// The answer is not the expected JSON.
    #[error("answer cannot be read: {0}")]
    Json(#[from] JsonPayloadError),
    /// The answer ended early.
    #[error("answer ended early: {0}")]
    Body(#[from] PayloadError),
}

impl Control {
    /// Creates a client for the stand-in at `address`, preferably its control address.
    pub fn new(address: SocketAddr) -> Control {
        let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
        Control { client, address }
    }

    /// Adds a fault rule and returns its id.
    pub async fn add_rule(&self, rule: Rule) -> Result<RuleId, ControlError> {
        self.post(&FaultOrder::Set(rule)).await
    }

    /// Clears one rule.
    pub async fn clear(&self, id: RuleId) -> Result<(), ControlError> {
        self.post(&FaultOrder::Clear(id)).await
    }

    /// Clears all rules.
    pub async fn clear_all(&self) -> Result<(), ControlError> {
        self.post(&FaultOrder::ClearAll).await
    }

    /// Freezes the connections open now permanently.
    pub async fn freeze(&self) -> Result<(), ControlError> {
        self.post(&FaultOrder::Freeze).await
    }

    /// Resets the connections open now; an engine also restarts empty.
    pub async fn restart(&self) -> Result<(), ControlError> {
        self.post(&FaultOrder::Restart).await
    }

    /// Returns the rules that are not cleared, with their hits.
    pub async fn faults(&self) -> Result<Faults, ControlError> {
        self.get(FAULT).await
    }

    /// Waits until a rule has hit at least this often. Fails after 30 s.
    pub async fn wait_for_hits(&self, id: RuleId, hits: u32) -> Result<(), ControlError> {
        self.get(&format!("{HIT}?{}={hits}", id.0)).await
    }

    /// Reads a record as JSON: `/state`, or `/executions` of a service.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let mut answer = self.request(Method::GET, path).send().await?;
        Ok(answer.json().limit(MAX_ANSWER_BYTES).await?)
    }

    /// Sets the actual hosts of a host list or of a platform.
    pub async fn set_hosts(&self, hosts: &Hosts) -> Result<(), ControlError> {
        self.request(Method::PUT, "/hosts").send_json(hosts).await?;
        Ok(())
    }

    /// Sets how long a host list keeps showing the state before a change.
    pub async fn set_lag(&self, lag: Lag) -> Result<(), ControlError> {
        self.request(Method::PUT, "/hosts/lag").send_json(&lag).await?;
        Ok(())
    }

    /// Switches the recording of all received bytes on or off.
    pub async fn set_recording(&self, on: bool) -> Result<(), ControlError> {
        self.request(Method::PUT, RECEIVED).send_json(&Recording { on }).await?;
        Ok(())
    }

    /// Returns all bytes received while recording, connection by connection.
    pub async fn received(&self) -> Result<Vec<u8>, ControlError> {
        let mut answer = self.request(Method::GET, RECEIVED).send().await?;
        Ok(answer.body().limit(MAX_ANSWER_BYTES).await?.into())
    }

    async fn post<T: DeserializeOwned>(&self, order: &impl Serialize) -> Result<T, ControlError> {
        let mut answer = self.request(Method::POST, FAULT).send_json(order).await?;
        Ok(answer.json().await?)
    }

    /// Builds a request on a new connection: a pooled one may have been frozen
    /// or reset by the previous request.
    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.client.request(method, url).force_close()
    }
}
