//! The platform's list of live and leaving hosts: `GET /hosts`.

use serde::{Deserialize, Serialize};

use crate::id::Name;

/// A host in the list. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hosts {
    /// Hosts in the order of their names.
    pub hosts: Vec<Host>,
}
