//! Prometheus metrics of one daemon.

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::http::budget::ConnectionMemory;

/// Bucket bounds of latencies in seconds, from a relayed request to a cold start
/// behind a queue.
pub(crate) const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Bucket bounds of gaps between tokens or events in seconds, dense around the
/// target of 43 ms.
pub(crate) const EVENT_GAP_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.035, 0.043, 0.06, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Every metric of a daemon; those of the other role stay at zero.
pub(crate) struct Metrics {
    registry: Registry,
    /// Memory for what callers send.
    pub(crate) memory: ConnectionMemory,
    /// Requests by organisation and code; `ok` is a complete answer.
    pub(crate) requests: IntCounterVec,
    /// Answers that could not be delivered completely, by organisation.
    pub(crate) undelivered: IntCounterVec,
    /// Attempts beyond the first, by reason.
    pub(crate) retries: IntCounterVec,
    /// Time to the first token by organisation.
    pub(crate) first_token: HistogramVec,
    /// Time between tokens.
    pub(crate) gap: Histogram,
    /// Tokens relayed.
    pub(crate) tokens: IntCounter,
    /// Requests that waited on an adapter cold start.
    pub(crate) load_stalls: IntCounter,
    /// Time that such requests waited.
    pub(crate) stall_wait: Histogram,
    /// Adapter loads by outcome.
    pub(crate) loads: IntCounterVec,
    /// Streams running now.
    pub(crate) streams: IntGauge,
    /// Requests that run on an upstream's engine.
    pub(crate) running: IntGaugeVec,
    /// Requests that wait for an upstream's engine.
    pub(crate) waiting: IntGaugeVec,
    /// Requests that an upstream's engine may run at once.
    pub(crate) places: IntGaugeVec,
    /// Configuration number in use.
    pub(crate) config_number: IntGauge,
    /// Whether this daemon may act on what it knows.
    pub(crate) standing: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero and adds those of `memory`.
    pub(crate) fn new(memory: ConnectionMemory) -> Metrics {
        let registry = Registry::new();
        memory.register(&registry);
        let counters =
            |name: &str, help: &str, labels: &[&str]| counters(&registry, name, help, labels);
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            registered(&registry, Histogram::with_opts(options))
        };
        let gauge = |name: &str, help: &str| registered(&registry, IntGauge::new(name, help));
        let gauges = |name: &str, help: &str| gauges(&registry, name, help, &["upstream"]);
        let counter = |name: &str, help: &str| counter(&registry, name, help);
        let first_token = histograms(
            &registry,
            "kingcupbay_first_token_seconds",
            "Time to first token",
            &["organisation"],
            LATENCY_BUCKETS,
        );
        Metrics {
            requests: counters(
                "kingcupbay_requests_total",
                "Requests by organisation and code",
                &["organisation", "code"],
            ),
            undelivered: counters(
                "kingcupbay_undelivered_total",
                "Answers not delivered whole",
                &["organisation"],
            ),
            retries: counters("kingcupbay_retries_total", "Attempts beyond the first", &["reason"]),
            first_token,
            gap: histogram(
                "kingcupbay_token_gap_seconds",
                "Time between tokens",
                EVENT_GAP_BUCKETS,
            ),
            tokens: counter("kingcupbay_tokens_total", "Tokens relayed"),
            load_stalls: counter(
                "kingcupbay_load_stalls_total",
                "Requests that waited on an adapter cold start",
            ),
            stall_wait: histogram(
                "kingcupbay_stall_wait_seconds",
                "Wait of stalled requests",
                LATENCY_BUCKETS,
            ),
            loads: counters("kingcupbay_loads_total", "Adapter loads by outcome", &["outcome"]),
            running: gauges("kingcupbay_upstream_running", "Requests that run"),
            waiting: gauges("kingcupbay_upstream_waiting", "Requests that wait"),
            places: gauges("kingcupbay_upstream_places", "Requests that may run at once"),
            streams: gauge("kingcupbay_streams", "Streams running now"),
            config_number: gauge("kingcupbay_config_number", "Configuration in use"),
            standing: gauge("kingcupbay_standing", "1 while this daemon may act on what it knows"),
            registry,
            memory,
        }
    }

    /// Exports the undelivered answers of every organisation from zero on. In a
    /// series that begins at one, the first undelivered answer is no increase,
    /// so an alert on the increase would miss it.
    pub(crate) fn on_organisations<'a>(&self, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.undelivered.with_label_values(&[name]);
        }
    }

    /// Returns all metrics in Prometheus's text format.
    pub(crate) fn text(&self) -> String {
        text(&self.registry)
    }
}

/// Registers a counter for each set of labels.
pub(crate) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    registered(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

/// Creates a counter of calls to the platform's store, for the registry of either
/// role.
pub(crate) fn store_calls() -> IntCounterVec {
    let options = Opts::new("kingcupbay_store_calls_total", "Calls of the platform's store");
    let calls = IntCounterVec::new(options, &["call", "table"]);
    calls.expect("the name and the labels are valid")
}

/// Creates a counter of rows of the store that cannot be read, for the registry of either role.
pub(crate) fn unreadable_rows() -> IntCounterVec {
    let options =
        Opts::new("kingcupbay_unreadable_rows_total", "Rows of the store that could not be read");
    let rows = IntCounterVec::new(options, &["table"]);
    rows.expect("the name and the label are valid")
}

/// Creates a gauge of the store's era, for the registry of either role.
pub(crate) fn store_era() -> IntGauge {
    let gauge = IntGauge::new("kingcupbay_store_era", "Returns of the store from an older copy");
    gauge.expect("the name is valid")
}

/// Registers a gauge for each set of labels.
pub(crate) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    registered(registry, IntGaugeVec::new(Opts::new(name, help), labels))
}

/// Registers a gauge.
pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    registered(registry, IntGauge::new(name, help))
}

/// Registers a gauge of a number with a fraction.
pub(crate) fn float_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    registered(registry, Gauge::new(name, help))
}

/// Registers a counter.
pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    registered(registry, IntCounter::new(name, help))
}

/// Registers a histogram for each set of labels.
pub(crate) fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
    bounds: &[f64],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    registered(registry, HistogramVec::new(options, labels))
}

/// Returns all metrics of `registry` in Prometheus's text format.
pub(crate) fn text(registry: &Registry) -> String {
    let mut out = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut out).expect("writing to memory cannot fail");
    String::from_utf8(out).expect("the text format is UTF-8")
}

fn registered<M>(registry: &Registry, metric: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("the metric's name and labels are valid");
    registry.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}
