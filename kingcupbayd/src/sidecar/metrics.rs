//! Counters and latencies of a sidecar.

use kingcupbay_core::{
    admission::order::{Reply, Target},
    time::Span,
    wire::sidecar::{EngineLoadReport, Verdict},
};
use prometheus::{Gauge, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use crate::{
    metrics::{LATENCY_BUCKETS, counters, float_gauge, gauge, gauges, histograms, text},
    registered::{control::ControlMetrics, store::Store},
};

/// Metrics of a sidecar.
pub(crate) struct Metrics {
    registry: Registry,
    verdicts: IntCounterVec,
    priorities: IntCounterVec,
    wait: HistogramVec,
    orders: IntCounterVec,
    requests: IntGaugeVec,
    movable: IntGauge,
    known_origins: IntGauge,
    limit: Gauge,
    work: Gauge,
    sustained: Gauge,
}

impl Metrics {
    /// Creates the metrics at zero and adds those of the `store`'s client and of the messages
    /// to other daemons.
    pub(crate) fn new(store: &Store, control: &ControlMetrics) -> Metrics {
        let registry = Registry::new();
        let (calls, era) = (Box::new(store.calls().clone()), Box::new(store.era_gauge().clone()));
        registry.register(calls).expect("no other metric has its name");
        registry.register(era).expect("no other metric has its name");
        let unreadable = Box::new(store.unreadable().clone());
        registry.register(unreadable).expect("no other metric has its name");
        control.register(&registry);
        Metrics {
            verdicts: counters(
                &registry,
                "kingcupbay_places_total",
                "Requests for a place by what became of them",
                &["verdict"],
            ),
            priorities: counters(
                &registry,
                "kingcupbay_places_by_priority_total",
                "Requests for a place by priority and what became of them",
                &["priority", "verdict"],
            ),
            wait: histograms(
                &registry,
                "kingcupbay_place_wait_seconds",
                "Time to a verdict on a place",
                &["verdict"],
                LATENCY_BUCKETS,
            ),
            orders: counters(
                &registry,
                "kingcupbay_orders_total",
                "Orders to the engine by its reply",
                &["target", "reply"],
            ),
            requests: gauges(
                &registry,
                "kingcupbay_engine_requests",
                "Requests that run at the engine or wait for a place there",
                &["state"],
            ),
            movable: gauge(
                &registry,
                "kingcupbay_movable_requests",
                "Requests that the sidecar keeps to move them when the engine leaves",
            ),
            known_origins: gauge(
                &registry,
                "kingcupbay_known_origins",
                "Streams whose origin this daemon keeps",
            ),
            limit: float_gauge(
                &registry,
                "kingcupbay_engine_limit",
                "Requests and orders per second that the engine takes",
            ),
            work: float_gauge(
                &registry,
                "kingcupbay_engine_work_percent",
                "Time that work takes on the engine's host, in percent of the usual time",
            ),
            sustained: float_gauge(
                &registry,
                "kingcupbay_engine_sustained_rate",
                "Prompt tokens per second at which every stream keeps its event gap",
            ),
            registry,
        }
    }

    /// Counts a verdict on a permit request of `priority` that waited for `waited`.
    pub(crate) fn on_verdict(&self, verdict: &Verdict, priority: u8, waited: Span) {
        let name = match verdict {
            Verdict::Granted { .. } => "granted",
            Verdict::Refused { why, .. } => why.as_str(),
        };
        self.verdicts.with_label_values(&[name]).inc();
        // Priorities above 9 are sent to engines as 9.
        let priority = priority.min(99).to_string();
        self.priorities.with_label_values(&[priority.as_str(), name]).inc();
        self.wait.with_label_values(&[name]).observe(waited.as_secs_f64());
    }

    /// Counts an order to the engine.
    pub(crate) fn on_order(&self, target: Target, reply: Reply) {
        let target = match target {
            Target::Load { .. } => "load",
            Target::Unload => "unload",
        };
        self.orders.with_label_values(&[target, reply.as_str()]).inc();
    }

    /// Returns all metrics in the Prometheus text format, with `now` as the current
    /// load, `limit` as the engine's current limit, `movable` requests kept for transfers and the
    /// origins of `known` streams.
    pub(crate) fn text(
        &self,
        now: &EngineLoadReport,
        limit: Option<f64>,
        movable: usize,
        known: usize,
    ) -> String {
        self.known_origins.set(i64::try_from(known).unwrap_or(i64::MAX));
        self.movable.set(i64::try_from(movable).unwrap_or(i64::MAX));
        self.limit.set(limit.unwrap_or(f64::INFINITY));
        if let Some(capacity) = now.capacity {
            self.work.set(f64::from(capacity.work_percent));
            self.sustained.set(f64::from(capacity.sustained_rate));
        }
        self.requests.with_label_values(&["running"]).set(i64::from(now.running));
        self.requests.with_label_values(&["waiting"]).set(i64::from(now.waiting));
        text(&self.registry)
    }
}
