//! Messages to other daemons, counted by kind.

use std::net::SocketAddr;

use actix_http::Method;
use kingcupbay_core::time::Span;
use prometheus::{IntCounterVec, Opts, Registry};

use crate::{
    http::{link::LinkError, pool::Answer},
    registered::Node,
};

/// Counters of the messages that this daemon sends to others.
pub(crate) struct ControlMetrics {
    messages: IntCounterVec,
    bytes: IntCounterVec,
}

impl ControlMetrics {
    /// Creates the counters at zero.
    pub(crate) fn new() -> ControlMetrics {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
        };
        ControlMetrics {
            messages: counter(
                "kingcupbay_control_messages_total",
                "Messages sent to other daemons, by kind",
                &["kind"],
            ),
            bytes: counter(
                "kingcupbay_control_bytes_total",
                "Bytes of the bodies of these messages and of their answers, by kind",
                &["kind", "direction"],
            ),
        }
    }

    /// Adds the counters to a daemon's metrics.
    pub(crate) fn register(&self, registry: &Registry) {
        let (messages, bytes) = (Box::new(self.messages.clone()), Box::new(self.bytes.clone()));
        registry.register(messages).expect("no other metric has its name");
        registry.register(bytes).expect("no other metric has its name");
    }
}

impl Node {
    /// Sends a message to the daemon at `address` and reads its answer within `timeout`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Span,
    ) -> Result<Answer, LinkError> {
        let kind = path.trim_start_matches('/');
        self.control.messages.with_label_values(&[kind]).inc();
        self.control.bytes.with_label_values(&[kind, "out"]).inc_by(body.len() as u64);
        let answer = self.pool.call(address, method, path, body, timeout).await;
        if let Ok(answer) = &answer {
            let bytes = answer.body.len() as u64;
            self.control.bytes.with_label_values(&[kind, "in"]).inc_by(bytes);
        }
        answer
    }
}
