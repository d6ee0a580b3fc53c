//! `[platform]`: addresses of the platform's services.

use std::net::SocketAddr;

use super::reader::Reader;

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
}

impl Platform {
    pub(crate) fn read(reader: &mut Reader) -> Platform {
        let mut address = |key| reader.required("platform", key, "IP:PORT", "127.0.0.1:0");
        Platform { table: address("table"), objects: address("objects"), hosts: address("hosts") }
    }
}
