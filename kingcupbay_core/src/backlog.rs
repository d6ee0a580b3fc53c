//! Load shedding: which requests of plain services are refused before they are sent.
//!
//! An overloaded upstream queues requests, and once its queue is full every answer
//! misses its latency target. When the load that an upstream reports means that the
//! answer would be late, a fraction of the requests is refused at once, and the others
//! are answered in time. The later the expected answer, the larger the fraction. It is
//! never all of them: an entry learns of the load only from answers, and if all entries
//! stopped on the same report, the upstream would be idle until they all resumed.
//!
//! Example load: one upstream left of three, with six slots and 60 ms per request, gets
//! 110 requests a second from 22 entries, with a latency target of 300 ms. The test
//! `backlog.rs::the_last_upstream_serves_in_time` simulates it.

use std::collections::BTreeMap;

use crate::{
    time::{Instant, Span},
    wire::metadata::Load,
};

/// Weight of the latest answer in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Age at which a load report is ignored. An entry with a twentieth of the callers
/// gets about five reports a second from an upstream.
const REPORT_AGE_MAX: Span = Span::from_millis(600);

/// Expected time to answer, as a fraction of the time left until the latency target,
/// up to which nothing is refused. Service times vary by half, so most of these
/// answers are on time.
const SHEDDING_START: f64 = 0.6;

/// Expected time to answer, as a fraction of the time left until the latency target,
/// from which the largest fraction is refused. Between the two values, the fraction
/// grows linearly.
const SHEDDING_FULL: f64 = 1.0;

/// Largest fraction that is refused. Answers to the other requests report the load.
const REFUSED_FRACTION_MAX: f64 = 0.9;

/// Load of one upstream, as its answers report it.
#[derive(Clone, Copy, Debug)]
struct Upstream {
    load: Load,
    reported: Instant,
    /// Average service time of a request without queueing, at the usual pace of its machine,
    /// in milliseconds.
    service_ms: f64,
}

/// Load of the upstreams of plain services, by id.
#[derive(Debug, Default)]
pub struct Backlog {
    upstreams: BTreeMap<String, Upstream>,
}

impl Backlog {
    /// Records an answer that arrived `took` after its request was sent, with the load
    /// that the upstream reported.
    pub fn on_answer(&mut self, now: Instant, id: &str, load: Load, took: Span) {
        let unqueued = took.as_millis_f64() / (service_times(load) * load.work_factor());
        let upstream = self.upstreams.entry(id.to_owned()).or_insert(Upstream {
            load,
            reported: now,
            service_ms: unqueued,
        });
        upstream.service_ms += SERVICE_TIME_WEIGHT * (unqueued - upstream.service_ms);
        upstream.load = load;
        upstream.reported = now;
    }

    /// Records a refusal, with the load that the upstream reported.
    pub fn on_refusal(&mut self, now: Instant, id: &str, load: Load) {
        // The service time is known only once the upstream has answered.
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load = load;
            upstream.reported = now;
        }
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| known(id));
    }

    /// Decides whether to refuse a request that must be answered within `target`
    /// instead of sending it to `id`. Returns the time after which to retry if so.
    ///
    /// `draw` is a random number, drawn anew for each request.
    pub fn refuse(&self, now: Instant, id: &str, target: Span, draw: u64) -> Option<Span> {
        let upstream = self
            .upstreams
            .get(id)
            .filter(|upstream| now.since(upstream.reported) < REPORT_AGE_MAX)?;
        if upstream.load.waiting == 0 {
            return None;
        }
        let load = upstream.load;
        let expected = upstream.service_ms * service_times(load) * load.work_factor();
        let target = target.as_millis_f64().max(1.0);
        let fraction = ((expected / target - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START))
            .clamp(0.0, REFUSED_FRACTION_MAX);
        let drawn = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        // By then the upstream has processed what is queued now.
        (drawn < fraction).then(|| Span::from_millis_f64(expected))
    }
}

/// Returns the expected time to answer a request that queues behind those waiting, as
/// a multiple of the service time.
fn service_times(load: Load) -> f64 {
    1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
}
