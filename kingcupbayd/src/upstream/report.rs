//! Publishes load reports of the engines to all entries through gossip.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use kingcupbay_core::{gossip::record::Topic, id::UpstreamId, route::Report, time::Span};

use super::Upstream;

/// Shortest pause between two reports. An entry adjusts a report by its own
/// requests in the meantime, so more reports would only cost bandwidth.
const MIN_PAUSE: Span = Span::from_millis(250);

/// Pause per member of the fleet. Every report reaches every entry: 300 daemons
/// that each publish 100 bytes every 4 s cost an entry 7.5 KB/s.
const PAUSE_PER_MEMBER: Span = Span::from_millis(12);

/// Publishes load reports until the daemon ends. A report equal to the previous
/// one is not sent.
pub(super) async fn publish_periodically(upstream: Rc<Upstream>) {
    loop {
        let reports = load_reports(&upstream);
        let body = rmp_serde::to_vec(&reports).expect("reports serialise");
        upstream.fleet.publish(Topic::Load, Bytes::from(body));
        let members = upstream.fleet.config().members.len() as u64;
        let pause = MIN_PAUSE.as_micros().max(PAUSE_PER_MEMBER.as_micros() * members);
        tokio::time::sleep(Duration::from_micros(pause)).await;
    }
}

fn load_reports(upstream: &Upstream) -> Vec<(UpstreamId, Report)> {
    let runners = upstream.runners.borrow();
    runners.iter().map(|(&id, runner)| (id, runner.report())).collect()
}
