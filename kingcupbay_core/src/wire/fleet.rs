//! The platform's list of live and leaving hosts: `GET /hosts`.

use serde::{Deserialize, Serialize};

use crate::id::Name;

/// One host as the list shows it. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: Name,
    /// The host's availability zone.
    pub zone: Name,
    /// Whether the host is about to be taken away.
    pub leaving: bool,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hosts {
    /// Hosts in the order of their names.
    pub hosts: Vec<Host>,
}
