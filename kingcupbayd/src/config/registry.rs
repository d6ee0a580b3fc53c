//! `[registry]`: a fleet whose configuration and upstreams are kept in the
//! platform's store.

use std::net::SocketAddr;

use kingcupbay_core::{config::model::Role, repeat::RepeatLimits, time::Span};

use super::reader::Reader;

/// Addresses and bounds of a daemon of a registered fleet.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The store with the configuration and the registered upstreams.
    pub store: SocketAddr,
    /// Where the balancer checks an entry's readiness; entries only.
    pub ready: Option<SocketAddr>,
    /// The engine of this sidecar; upstream daemons only.
    pub engine: Option<SocketAddr>,
    /// The service that the engine serves; upstream daemons only.
    pub service: Option<String>,
    /// Port at which the sidecars of engines receive messages; entries only.
    pub sidecars: u16,
    /// Where other daemons reach this one if that is not its listening address,
    /// as behind address translation; entries only.
    pub advertise: Option<SocketAddr>,
    /// Other daemons to ask while the store is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Bounds on sending a request to a second upstream.
    pub repeats: RepeatLimits,
    /// Whether running streams are moved away from engines that leave. The default is false, as
    /// faults are open (docs/design/transfers.md).
    pub transfers: bool,
    /// Longest time between a signal to stop and the end of the process.
    pub grace: Span,
}

impl Registry {
    pub(crate) fn read(reader: &mut Reader, role: Role) -> Registry {
        let section = "registry";
        let address = "IP:PORT";
        let entry = role == Role::Entry;
        let ready = entry.then(|| reader.required(section, "ready", address, "127.0.0.1:0"));
        let engine = (!entry).then(|| reader.required(section, "engine", address, "127.0.0.1:0"));
        let service = (!entry).then(|| reader.required(section, "service", "a name", "unnamed"));
        let percent = reader.decimal(section, "repeat_percent", 0.0..=100.0, 20.0);
        Registry {
            store: reader.required(section, "store", address, "127.0.0.1:0"),
            ready,
            engine,
            service,
            sidecars: match entry {
                true => reader.required(section, "sidecars", "a port", "0"),
                false => 0,
            },
            advertise: match entry {
                true => reader.optional(section, "advertise", address),
                false => None,
            },
            seeds: reader.list(section, "seeds", "IP:PORT, IP:PORT, ..."),
            repeats: RepeatLimits {
                ratio: percent / 100.0,
                slack: reader.decimal(section, "repeat_slack", 0.0..=1e9, 50.0),
                window: reader.millis(section, "repeat_window_ms", 100..=600_000, 10_000),
            },
            transfers: reader.flag(section, "transfers", false),
            grace: reader.span(
                section,
                ("grace_s", "grace_ms"),
                Span::from_millis(100)..=Span::from_secs(600),
                Span::from_secs(8),
            ),
        }
    }
}
