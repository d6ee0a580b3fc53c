//! `[peers]` and `[operators]`: where other daemons and operators connect.

use std::net::SocketAddr;

use super::reader::Reader;

/// An address to listen at.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Address to listen at; port 0 lets the kernel choose.
    pub listen: SocketAddr,
}

impl Listener {
    pub(crate) fn read(reader: &mut Reader, section: &'static str) -> Listener {
        Listener { listen: reader.required(section, "listen", "IP:PORT", "127.0.0.1:0") }
    }
}
