//! What this daemon tells all entries about its engines, through gossip.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use kingcupbay_core::{gossip::record::Topic, id::UpstreamId, route::Report, time::Span};

use super::Upstream;

/// Shortest pause between two reports. An entry corrects a report by its own
/// requests meanwhile, so more would only cost bytes.
const PAUSE: Span = Span::from_millis(250);

/// Pause for each member. Every report reaches every entry: 300 daemons that
/// each say 100 bytes every 4 s cost an entry 7.5 KB a second.
const PAUSE_EACH: Span = Span::from_millis(12);

/// Publishes reports until the daemon ends. A record that says what the last
/// one said does not travel.
pub(super) async fn keep(upstream: Rc<Upstream>) {
    loop {
        let reports = reports(&upstream);
        let body = rmp_serde::to_vec(&reports).expect("reports serialise");
        upstream.fleet.publish(Topic::Load, Bytes::from(body));
        let members = upstream.fleet.config().members.len() as u64;
        let pause = PAUSE.as_micros().max(PAUSE_EACH.as_micros() * members);
        tokio::time::sleep(Duration::from_micros(pause)).await;
    }
}

fn reports(upstream: &Upstream) -> Vec<(UpstreamId, Report)> {
    let runners = upstream.runners.borrow();
    runners.iter().map(|(&id, runner)| (id, runner.report())).collect()
}
