//! A test's side of the requests that set faults and show records.

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

/// Longest wait for an answer; the stand-in answers these at once.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longest recording fetched.
const RECEIVED_MAX: usize = 256 << 20;

/// Sets faults of one stand-in and reads what it recorded.
pub struct Control {
    client: awc::Client,
    address: SocketAddr,
}

/// Why a [`Control`] got no answer.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    /// The request was not answered.
    #[error("no answer: {0}")]
    Send(#[from] SendRequestError),
    /// The answer is not the one expected.
    #[error("answer cannot be read: {0}")]
    Json(#[from] JsonPayloadError),
    /// The answer broke off.
    #[error("answer broke off: {0}")]
    Body(#[from] PayloadError),
}

impl Control {
    /// For the stand-in at `address`, better its control address.
    pub fn new(address: SocketAddr) -> Control {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Control { client, address }
    }

    /// Puts a rule in force.
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

    /// Freezes for good the connections open now.
    pub async fn freeze(&self) -> Result<(), ControlError> {
        self.post(&FaultOrder::Freeze).await
    }

    /// Resets the connections open now; an engine also restarts empty.
    pub async fn restart(&self) -> Result<(), ControlError> {
        self.post(&FaultOrder::Restart).await
    }

    /// The rules not cleared, with their hits.
    pub async fn faults(&self) -> Result<Faults, ControlError> {
        self.get(FAULT).await
    }

    /// Waits until a rule has hit this often.
    pub async fn wait_for_hits(&self, id: RuleId, hits: u32) -> Result<(), ControlError> {
        self.get(&format!("{HIT}?{}={hits}", id.0)).await
    }

    /// What a stand-in recorded: `/state`, or `/executions` of a service.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let mut answer = self.request(Method::GET, path).send().await?;
        Ok(answer.json().limit(RECEIVED_MAX).await?)
    }

    /// Sets the truth of a host list, or of a platform's.
    pub async fn set_hosts(&self, hosts: &Hosts) -> Result<(), ControlError> {
        self.request(Method::PUT, "/hosts").send_json(hosts).await?;
        Ok(())
    }

    /// Sets how long a host list shows the state before a change.
    pub async fn set_lag(&self, lag: Lag) -> Result<(), ControlError> {
        self.request(Method::PUT, "/hosts/lag").send_json(&lag).await?;
        Ok(())
    }

    /// Switches the recording of every byte received.
    pub async fn set_recording(&self, on: bool) -> Result<(), ControlError> {
        self.request(Method::PUT, RECEIVED).send_json(&Recording { on }).await?;
        Ok(())
    }

    /// All bytes received while recording, connection by connection.
    pub async fn received(&self) -> Result<Vec<u8>, ControlError> {
        let mut answer = self.request(Method::GET, RECEIVED).send().await?;
        Ok(answer.body().limit(RECEIVED_MAX).await?.into())
    }

    async fn post<T: DeserializeOwned>(&self, order: &impl Serialize) -> Result<T, ControlError> {
        let mut answer = self.request(Method::POST, FAULT).send_json(order).await?;
        Ok(answer.json().await?)
    }

    /// On a connection of its own: one from a pool may have been frozen or
    /// reset by the request before.
    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.client.request(method, url).force_close()
    }
}
