//! Counters and latencies of an entry of a registered fleet.

use kingcupbay_core::{
    time::Span,
    wire::{error::Code, sidecar::TransferReason},
};
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};

use crate::{
    gateway::admit::Hold,
    http::budget::ConnectionMemory,
    metrics::{EVENT_GAP_BUCKETS, LATENCY_BUCKETS, counter, counters, gauge, histograms, text},
    registered::{control::ControlMetrics, store::Store},
};

/// Metrics of an entry.
pub(crate) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    denials: IntCounterVec,
    configuration_age: IntGauge,
    priorities: IntCounterVec,
    sends: IntCounterVec,
    latency: HistogramVec,
    first_event: HistogramVec,
    gap: HistogramVec,
    resumed: IntCounter,
    broken: IntCounterVec,
    not_resumed: IntCounterVec,
    silences: IntCounterVec,
    transfers: IntCounterVec,
    transfer_pause: HistogramVec,
    evacuated: IntGauge,
    zone_left: IntCounter,
    wait_left: IntCounterVec,
    limited: IntGauge,
    limiters_asked: IntCounterVec,
    limit_requests: IntCounterVec,
    limit_tokens: IntCounterVec,
    origins: IntCounterVec,
    known_origins: IntGauge,
    mixed: IntGauge,
    part_crashes: IntCounter,
    part_refusals: IntCounter,
    abandoned: IntCounterVec,
    malformed: IntCounter,
    request_ends: IntCounter,
    late_ends: IntCounterVec,
    fatal_refusals: IntCounter,
    suspects: IntGauge,
    quarantined: IntGauge,
}

impl Metrics {
    /// Creates the metrics at zero and adds those of the `store`'s client, of the messages to
    /// other daemons and of the memory for callers.
    pub(crate) fn new(
        store: &Store,
        control: &ControlMetrics,
        memory: &ConnectionMemory,
    ) -> Metrics {
        let registry = Registry::new();
        memory.register(&registry);
        let (calls, era) = (Box::new(store.calls().clone()), Box::new(store.era_gauge().clone()));
        let unreadable = Box::new(store.unreadable().clone());
        registry.register(unreadable).expect("no other metric has its name");
        registry.register(calls).expect("no other metric has its name");
        registry.register(era).expect("no other metric has its name");
        control.register(&registry);
        let (answers, refusals) = (
            counters(
                &registry,
                "kingcupbay_answers_total",
                "Upstreams' answers passed on",
                &["route", "status"],
            ),
            counters(&registry, "kingcupbay_refusals_total", "Requests refused", &["code"]),
        );
        Metrics {
            answers,
            refusals,
            denials: counters(
                &registry,
                "kingcupbay_denials_total",
                "Requests whose route or key is unknown, by who confirmed the configuration",
                &["confirmed"],
            ),
            configuration_age: gauge(
                &registry,
                "kingcupbay_configuration_age_ms",
                "Time since the store last confirmed the configuration to this entry",
            ),
            priorities: counters(
                &registry,
                "kingcupbay_refusals_by_priority_total",
                "Admitted requests refused, by priority",
                &["priority", "code"],
            ),
            sends: counters(
                &registry,
                "kingcupbay_sends_total",
                "Attempts at upstreams by outcome",
                &["outcome"],
            ),
            latency: histograms(
                &registry,
                "kingcupbay_answer_seconds",
                "Time to a whole answer of a plain service",
                &["route"],
                LATENCY_BUCKETS,
            ),
            first_event: histograms(
                &registry,
                "kingcupbay_first_event_seconds",
                "Time to the first event of a stream",
                &["route"],
                LATENCY_BUCKETS,
            ),
            gap: histograms(
                &registry,
                "kingcupbay_event_gap_seconds",
                "Longest time between two events of a whole stream",
                &["route"],
                EVENT_GAP_BUCKETS,
            ),
            resumed: counter(
                &registry,
                "kingcupbay_resumed_total",
                "Streams that went on at another engine",
            ),
            broken: counters(
                &registry,
                "kingcupbay_broken_total",
                "Streams that ended early",
                &["route"],
            ),
            not_resumed: counters(
                &registry,
                "kingcupbay_not_resumed_total",
                "Searches for another engine that ended without one, by reason",
                &["why"],
            ),
            silences: counters(
                &registry,
                "kingcupbay_silences_total",
                "Silences of upstreams that hold a request, by what was silent or ended them",
                &["what"],
            ),
            transfers: counters(
                &registry,
                "kingcupbay_transfers_total",
                "Transfers of running streams to other engines, by reason and outcome",
                &["why", "outcome"],
            ),
            transfer_pause: histograms(
                &registry,
                "kingcupbay_transfer_pause_seconds",
                "Time without an event while a stream moved",
                &["why"],
                EVENT_GAP_BUCKETS,
            ),
            evacuated: gauge(
                &registry,
                "kingcupbay_evacuated_zones",
                "Availability zones that are evacuated",
            ),
            zone_left: counter(
                &registry,
                "kingcupbay_zone_left_total",
                "Waits for a permit that ended as their zone was evacuated",
            ),
            wait_left: counters(
                &registry,
                "kingcupbay_wait_left_total",
                "Waits for a permit that ended as the engine gets no more requests",
                &["why"],
            ),
            limited: gauge(
                &registry,
                "kingcupbay_limited_upstreams",
                "Upstreams that limit their requests",
            ),
            limiters_asked: counters(
                &registry,
                "kingcupbay_limiters_asked_total",
                "Requests for tokens of a limit to other entries, by outcome",
                &["outcome"],
            ),
            limit_requests: counters(
                &registry,
                "kingcupbay_limit_requests_total",
                "Requests for tokens of organisations' limits, by priority and outcome",
                &["priority", "outcome"],
            ),
            limit_tokens: counters(
                &registry,
                "kingcupbay_limit_tokens_total",
                "Tokens requested of organisations' limits, by priority and outcome",
                &["priority", "outcome"],
            ),
            origins: counters(
                &registry,
                "kingcupbay_origins_total",
                "Streams that callers took up, by what was known of their origin",
                &["outcome"],
            ),
            known_origins: gauge(
                &registry,
                "kingcupbay_known_origins",
                "Streams whose origin this entry keeps",
            ),
            mixed: gauge(
                &registry,
                "kingcupbay_mixed_services",
                "Services with upstreams of different software",
            ),
            part_crashes: counter(
                &registry,
                "kingcupbay_part_crashes_total",
                "Requests that an engine was about to answer when it crashed",
            ),
            part_refusals: counter(
                &registry,
                "kingcupbay_part_refusals_total",
                "Requests refused for a quarantined part of their prompt",
            ),
            abandoned: counters(
                &registry,
                "kingcupbay_abandoned_requests_total",
                "Requests whose caller had left before a step for them, by that step",
                &["step"],
            ),
            request_ends: counter(
                &registry,
                "kingcupbay_request_ends_total",
                "Upstreams that ended while they ran a request",
            ),
            malformed: counter(
                &registry,
                "kingcupbay_malformed_answers_total",
                "Answers of upstreams that HTTP does not allow",
            ),
            late_ends: counters(
                &registry,
                "kingcupbay_late_ends_total",
                "Upstreams that ended under a request that was given up before, by how that showed",
                &["why"],
            ),
            fatal_refusals: counter(
                &registry,
                "kingcupbay_fatal_refusals_total",
                "Requests refused because upstreams end under them",
            ),
            suspects: gauge(
                &registry,
                "kingcupbay_suspect_parts",
                "Parts of prompts that engines may have crashed on",
            ),
            quarantined: gauge(
                &registry,
                "kingcupbay_quarantined_parts",
                "Parts of prompts that requests are refused for",
            ),
            registry,
        }
    }

    /// Counts an upstream's complete answer, which took `took`.
    pub(crate) fn on_answer(&self, route: &str, status: u16, took: Span) {
        self.answers.with_label_values(&[route, &status.to_string()]).inc();
        self.latency.with_label_values(&[route]).observe(took.as_secs_f64());
    }

    /// Records the time from a request's arrival to the first event of its stream.
    pub(crate) fn on_first_event(&self, route: &str, took: Span) {
        self.first_event.with_label_values(&[route]).observe(took.as_secs_f64());
    }

    /// Counts a complete stream. `pause` is the longest time between two of its events.
    pub(crate) fn on_stream(&self, route: &str, pause: Span) {
        self.answers.with_label_values(&[route, "200"]).inc();
        self.gap.with_label_values(&[route]).observe(pause.as_secs_f64());
    }

    /// Counts a stream that was resumed at another engine.
    pub(crate) fn on_resumed(&self) {
        self.resumed.inc();
    }

    /// Records the number of evacuated zones.
    pub(crate) fn set_evacuated(&self, zones: usize) {
        self.evacuated.set(zones as i64);
    }

    /// Counts a wait for a permit that ended as its engine gets no more requests.
    pub(crate) fn on_withdrawal(&self, why: Hold) {
        if why == Hold::Evacuated {
            self.zone_left.inc();
        }
        self.wait_left.with_label_values(&[why.label()]).inc();
    }

    /// Records the number of upstreams that limit their requests.
    pub(crate) fn set_limited(&self, upstreams: usize) {
        self.limited.set(upstreams as i64);
    }

    /// Counts a request that an engine was about to answer when it crashed.
    pub(crate) fn on_part_crash(&self) {
        self.part_crashes.inc();
    }

    /// Counts a request refused for a quarantined part of its prompt.
    pub(crate) fn on_part_refusal(&self) {
        self.part_refusals.inc();
    }

    /// Counts a request whose caller had left before `step`.
    pub(crate) fn on_abandoned(&self, step: &str) {
        self.abandoned.with_label_values(&[step]).inc();
    }

    /// Counts an upstream that ended while it ran a request.
    pub(crate) fn on_request_end(&self) {
        self.request_ends.inc();
    }

    /// Counts an answer that HTTP does not allow.
    pub(crate) fn on_malformed(&self) {
        self.malformed.inc();
    }

    /// Counts an upstream that ended under a request that was given up before.
    pub(crate) fn on_late_end(&self, why: &str) {
        self.late_ends.with_label_values(&[why]).inc();
    }

    /// Counts a request refused because upstreams end under it.
    pub(crate) fn on_fatal_refusal(&self) {
        self.fatal_refusals.inc();
    }

    /// Records the numbers of suspect and of quarantined parts.
    pub(crate) fn set_parts(&self, suspects: usize, quarantined: usize) {
        self.suspects.set(suspects as i64);
        self.quarantined.set(quarantined as i64);
    }

    /// Counts a stream that a caller took up.
    pub(crate) fn on_origin(&self, outcome: &str) {
        self.origins.with_label_values(&[outcome]).inc();
    }

    /// Records the number of services with upstreams of different software, and that of the
    /// streams whose origin is known.
    pub(crate) fn set_origins(&self, mixed: usize, known: usize) {
        self.mixed.set(mixed as i64);
        self.known_origins.set(known as i64);
    }

    /// Counts a request for tokens to a limiter.
    pub(crate) fn on_limiter_asked(&self, outcome: &str) {
        self.limiters_asked.with_label_values(&[outcome]).inc();
    }

    /// Counts a request whose `tokens` were taken off its organisation's limit.
    pub(crate) fn on_acquired(&self, priority: u8, tokens: u64) {
        self.on_limit_request(priority, "acquired", tokens);
    }

    /// Counts a request that its organisation's limit does not allow. It is `hopeless` if the
    /// caller is not told to retry.
    pub(crate) fn on_over_rate(&self, priority: u8, tokens: u64, hopeless: bool) {
        let outcome = if hopeless { "hopeless" } else { "refused" };
        self.on_limit_request(priority, outcome, tokens);
    }

    fn on_limit_request(&self, priority: u8, outcome: &str, tokens: u64) {
        let priority = priority.to_string();
        let labels = [priority.as_str(), outcome];
        self.limit_requests.with_label_values(&labels).inc();
        self.limit_tokens.with_label_values(&labels).inc_by(tokens);
    }

    /// Counts a stream that ended early.
    pub(crate) fn on_broken(&self, route: &str) {
        self.broken.with_label_values(&[route]).inc();
    }

    /// Counts a stream that no other engine took.
    pub(crate) fn on_not_resumed(&self, why: &str) {
        self.not_resumed.with_label_values(&[why]).inc();
    }

    /// Counts a silence, or its end.
    pub(crate) fn on_silence(&self, what: &str) {
        self.silences.with_label_values(&[what]).inc();
    }

    /// Counts a transfer.
    pub(crate) fn on_transfer(&self, why: TransferReason, outcome: &str) {
        self.transfers.with_label_values(&[why.as_str(), outcome]).inc();
    }

    /// Records the time without an event while a stream moved.
    pub(crate) fn on_transfer_pause(&self, why: TransferReason, pause: Span) {
        self.transfer_pause.with_label_values(&[why.as_str()]).observe(pause.as_secs_f64());
    }

    /// Counts a request whose route or key is unknown.
    pub(crate) fn on_denial(&self, confirmed: &str) {
        self.denials.with_label_values(&[confirmed]).inc();
    }

    /// Records how long ago the store last confirmed the configuration, if it ever has.
    pub(crate) fn set_configuration_age(&self, age: Option<Span>) {
        self.configuration_age.set(age.map_or(-1, |age| age.as_millis() as i64));
    }

    /// Counts a refused request.
    pub(crate) fn on_refusal(&self, code: Code) {
        self.refusals.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a refused request of `priority` that was within its organisation's limit.
    pub(crate) fn on_refusal_at(&self, priority: u8, code: Code) {
        let priority = priority.min(99).to_string();
        self.priorities.with_label_values(&[priority.as_str(), code.as_str()]).inc();
    }

    /// Counts an attempt at an upstream.
    pub(crate) fn on_send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        text(&self.registry)
    }
}
