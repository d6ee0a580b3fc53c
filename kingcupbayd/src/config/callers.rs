//! `[callers]`: where and how callers connect to an entry.

use std::net::SocketAddr;

use kingcupbay_core::time::Span;

use super::reader::Reader;

/// Default limit of a body; a long conversation fits.
const DEFAULT_BODY_LIMIT_BYTES: usize = 1 << 20;

/// Address for callers, and bounds on what they send.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Address to listen at; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Longest body in bytes.
    pub body_limit: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Span,
    /// Time for a request's body to arrive.
    pub body_timeout: Span,
    /// Default deadline of a request; zero refuses requests without a deadline.
    pub deadline: Span,
    /// Default limit of generated tokens.
    pub max_tokens: u32,
    /// Most descriptors that the process may open, if the system allows as many.
    pub descriptors: usize,
}

impl Callers {
    pub(crate) fn read(reader: &mut Reader) -> Callers {
        let section = "callers";
        Callers {
            listen: reader.required(section, "listen", "IP:PORT", "127.0.0.1:0"),
            body_limit: reader.number(
                section,
                "body_limit",
                1_024..=64 << 20,
                DEFAULT_BODY_LIMIT_BYTES,
            ),
            head_timeout: reader.millis(section, "head_timeout_ms", 100..=60_000, 5_000),
            body_timeout: reader.millis(section, "body_timeout_ms", 100..=60_000, 10_000),
            deadline: reader.millis(section, "deadline_ms", 0..=3_600_000, 0),
            max_tokens: reader.number(section, "max_tokens", 1..=1_000_000, 256),
            descriptors: reader.decimal(section, "descriptors", 64.0..=1e9, 1e9) as usize,
        }
    }
}
