//! Load shedding: which requests of plain services are refused before they are sent.
//!
//! An overloaded upstream queues requests, and once its queue is full every answer
//! misses its latency target. When the load that an upstream reports means that the
//! answer would be late, a fraction of the requests is refused at once, and the others
//! are answered in time. The later the expected answer, the larger the fraction. It is
//! never all of them: an entry learns of the load only from answers, and if all entries
//! stopped on the same report, the upstream would be idle until they all resumed.
//!
//! Where requests of an upstream differ in priority, the fraction is taken from the less
//! urgent ones first (load L of docs/HARD-LOAD.md).
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

/// Half-life of the number of requests by priority. It covers several reports of an
/// upstream, and follows a change of the load within a few seconds.
const DEMAND_HALF_LIFE: Span = Span::from_secs(2);

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
    /// Recent requests by upstream and priority, as of the given time.
    demand: BTreeMap<String, BTreeMap<u8, (Instant, f64)>>,
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
        self.demand.retain(|id, _| known(id));
    }

    /// Counts a request of `priority` for `id`, whether or not it is refused.
    pub fn on_request(&mut self, now: Instant, id: &str, priority: u8) {
        let demand = self.demand.entry(id.to_owned()).or_default();
        let (at, count) = demand.entry(priority).or_insert((now, 0.0));
        *count = decayed(now, *at, *count) + 1.0;
        *at = now;
    }

    /// Decides as [`Backlog::refuse`] for a request of `priority`. The fraction is refused
    /// from the least urgent requests first.
    pub fn refuse_by_priority(
        &self,
        now: Instant,
        id: &str,
        target: Span,
        priority: u8,
        draw: u64,
    ) -> Option<Span> {
        let (fraction, expected) = self.refused_fraction(now, id, target)?;
        let own = self.own_fraction(now, id, priority, fraction);
        (unit(draw) < own).then_some(expected)
    }

    /// Returns the fraction refused of the requests of `priority` if `fraction` of all are.
    fn own_fraction(&self, now: Instant, id: &str, priority: u8, fraction: f64) -> f64 {
        let Some(demand) = self.demand.get(id).filter(|demand| demand.len() > 1) else {
            return fraction;
        };
        let count = |(_, (at, count)): (&u8, &(Instant, f64))| decayed(now, *at, *count);
        let all: f64 = demand.iter().map(count).sum();
        let own: f64 = demand.iter().filter(|row| *row.0 == priority).map(count).sum();
        if own <= 0.0 {
            return fraction;
        }
        let less: f64 = demand.iter().filter(|row| *row.0 > priority).map(count).sum();
        ((fraction * all - REFUSED_FRACTION_MAX * less) / own).clamp(0.0, REFUSED_FRACTION_MAX)
    }

    /// Decides whether to refuse a request that must be answered within `target`
    /// instead of sending it to `id`. Returns the time after which to retry if so.
    ///
    /// `draw` is a random number, drawn anew for each request.
    pub fn refuse(&self, now: Instant, id: &str, target: Span, draw: u64) -> Option<Span> {
        let (fraction, expected) = self.refused_fraction(now, id, target)?;
        (unit(draw) < fraction).then_some(expected)
    }

    /// Returns the fraction of requests with this `target` to refuse, and the time until the
    /// upstream has processed what is queued now.
    fn refused_fraction(&self, now: Instant, id: &str, target: Span) -> Option<(f64, Span)> {
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
        Some((fraction, Span::from_millis_f64(expected)))
    }
}

/// Returns a drawn number as one between 0 and 1.
fn unit(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1_u64 << 53) as f64
}

fn decayed(now: Instant, at: Instant, count: f64) -> f64 {
    count * (-now.since(at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns the expected time to answer a request that queues behind those waiting, as
/// a multiple of the service time.
fn service_times(load: Load) -> f64 {
    1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
}
