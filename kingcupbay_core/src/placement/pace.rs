//! Choice among engines whose speeds differ.
//!
//! Addresses load C of docs/HARD-LOAD.md: engines at 0.6, 1.0 and 1.6 times the usual speed,
//! on hosts that are slow for 15 % of the time. A request goes where its expected first event
//! and end are earliest, by the capacity that sidecars report. As long as all known engines
//! are alike, nothing is decided here.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::{metadata::Size, sidecar::EngineCapacity},
};

use super::{EngineState, Placement, REPORT_AGE_MAX, rendezvous_hash};

/// Ratio of the rates, or percentage of usual work, from which engines count as different.
const DIFFERENCE_PERCENT: u64 = 125;

/// Bounds on a reported capacity, as a factor around the median of the engines.
const CAPACITY_BOUND: f64 = 4.0;

/// Time to load an adapter that an engine lacks, in milliseconds.
const LOAD_MS: f64 = 250.0;

/// Tokens of an event, which reports do not contain. A low value makes ends appear late.
const TOKENS_PER_EVENT: f64 = 3.0;

/// Weight of the expected end beside the expected first event. A stream that ends sooner
/// leaves its slot to another and is less likely to meet a slow period.
const END_WEIGHT: f64 = 0.2;

/// Weight of the time over which a prompt has to be spread, so that engines whose streams
/// stall easily get fewer and shorter prompts.
const STALL_WEIGHT: f64 = 0.5;

/// Advantage of an engine in the own zone, in milliseconds. Expected times that differ by
/// less are about equal.
const NEAR_MS: f64 = 20.0;

/// Engines without the adapter that are compared with its holders.
const HOMES_COMPARED: usize = 2;

/// Wait beyond the expected first event at the next best engine, for a request that is
/// already queued.
const WAIT_MARGIN: Span = Span::from_millis(100);

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds {
    /// Tokens of the generation.
    pub size: Size,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub remaining: Span,
}

/// Expected times of a request at one engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Expected {
    first: f64,
    end: f64,
    /// Whether the engine cannot keep the event gap, or the end is after the deadline.
    unfit: bool,
    /// Time over which the prompt has to be spread so that every stream keeps its event gap.
    stall: f64,
}

impl Expected {
    fn score(&self, near: bool) -> f64 {
        let bonus = if near { NEAR_MS } else { 0.0 };
        self.first + END_WEIGHT * (self.end - self.first) + STALL_WEIGHT * self.stall - bonus
    }
}

impl Placement {
    /// Records the prompt of a request sent to `engine`, in addition to [`Placement::on_send`].
    pub fn on_send_prompt(&mut self, engine: SocketAddr, tokens: u64) {
        let state = self.engines.entry(engine).or_default();
        state.sent_tokens = state.sent_tokens.saturating_add(tokens);
    }

    /// Returns whether the speeds of `candidates` differ, or the pace of one does.
    pub fn is_uneven(&self, now: Instant, candidates: &[SocketAddr]) -> bool {
        let known: Vec<EngineCapacity> =
            candidates.iter().filter_map(|&engine| self.capacity(now, engine)).collect();
        let differ = |value: fn(&EngineCapacity) -> u64| {
            let values = || known.iter().map(value);
            let (low, high) = (values().min().unwrap_or(0), values().max().unwrap_or(0));
            high.saturating_mul(100) >= low.max(1).saturating_mul(DIFFERENCE_PERCENT)
        };
        known.len() >= 2
            && (differ(|capacity| u64::from(capacity.prefill_rate))
                || known
                    .iter()
                    .any(|capacity| u64::from(capacity.work_percent) >= DIFFERENCE_PERCENT))
    }

    /// Returns the best of `candidates` for a request of `name`, and how long to wait for a
    /// permit there until the next best would start it sooner. `None` if the engines are
    /// alike. `near` are the engines in the own zone.
    pub fn choose_at_pace(
        &self,
        now: Instant,
        name: &AdapterName,
        want: &RequestNeeds,
        candidates: &[SocketAddr],
        near: &BTreeSet<SocketAddr>,
    ) -> Option<(SocketAddr, Option<Span>)> {
        if !self.is_uneven(now, candidates) {
            return None;
        }
        let median = self.median(now, candidates)?;
        let mut homes = 0;
        let mut ranked: Vec<(bool, f64, f64, SocketAddr)> = Vec::new();
        for engine in self.weighted_order(now, name, candidates, median) {
            let absent = self.resident_version(engine, name).is_none();
            homes += usize::from(absent);
            if absent && homes > HOMES_COMPARED {
                continue;
            }
            let expected = self.expect(now, engine, want, absent, median);
            let score = expected.score(near.contains(&engine));
            ranked.push((expected.unfit, score, expected.first, engine));
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.3.cmp(&b.3)));
        let next = ranked.get(1).filter(|next| !next.0);
        let wait = next.map(|next| Span::from_millis_f64(next.2) + WAIT_MARGIN);
        ranked.first().map(|best| (best.3, wait))
    }

    fn capacity(&self, now: Instant, engine: SocketAddr) -> Option<EngineCapacity> {
        let state = self.engines.get(&engine)?;
        let is_fresh = |reported: Instant| now.since(reported) < REPORT_AGE_MAX;
        state.report.capacity.filter(|_| state.reported.is_some_and(is_fresh))
    }

    /// Returns the median prefill rate and event interval, in tokens and milliseconds.
    fn median(&self, now: Instant, candidates: &[SocketAddr]) -> Option<(f64, f64)> {
        let known = || candidates.iter().filter_map(|&engine| self.capacity(now, engine));
        let mut rates: Vec<u32> = known().map(|capacity| capacity.prefill_rate).collect();
        let mut intervals: Vec<Span> = known().map(|capacity| capacity.event_interval).collect();
        rates.sort_unstable();
        intervals.sort_unstable();
        let rate = f64::from(*rates.get(rates.len() / 2)?).max(1.0) / 1e3;
        Some((rate, intervals.get(intervals.len() / 2)?.as_millis_f64().max(0.1)))
    }

    /// Returns the expected times of a request at `engine`. One without a known capacity counts
    /// as the median.
    fn expect(
        &self,
        now: Instant,
        engine: SocketAddr,
        want: &RequestNeeds,
        absent: bool,
        median: (f64, f64),
    ) -> Expected {
        let bounded =
            |value: f64, median: f64| value.clamp(median / CAPACITY_BOUND, median * CAPACITY_BOUND);
        let capacity = self.capacity(now, engine);
        let (rate, interval, work) = match capacity {
            Some(capacity) => (
                bounded(f64::from(capacity.prefill_rate) / 1e3, median.0),
                bounded(capacity.event_interval.as_millis_f64(), median.1),
                (f64::from(capacity.work_percent) / 100.0)
                    .clamp(1.0 / CAPACITY_BOUND, CAPACITY_BOUND),
            ),
            None => (median.0, median.1, 1.0),
        };
        let unknown = EngineState::default();
        let state = self.engines.get(&engine).unwrap_or(&unknown);
        let fresh = state.reported.is_some_and(|reported| now.since(reported) < REPORT_AGE_MAX);
        let report = &state.report;
        let delay = if fresh { report.delay_for(want.priority).as_millis_f64() } else { 0.0 };
        let slots = f64::from(report.running + report.waiting + state.sent)
            / f64::from(report.slots.max(1));
        let tokens = state.sent_tokens.saturating_add(want.size.prompt) as f64;
        let load = if absent { LOAD_MS } else { 0.0 };
        // Streams that run share the engine with prefill, so a fuller engine takes longer.
        let prefill = tokens / rate * work * (1.0 + if fresh { slots } else { 0.0 });
        let first = delay.max(load) + prefill;
        let events = want.size.output as f64 / TOKENS_PER_EVENT;
        let end = first + events * interval * work;
        let stalls = capacity.is_some_and(|capacity| capacity.sustained_rate == 0);
        let sustained = |capacity: EngineCapacity| f64::from(capacity.sustained_rate.max(1)) / 1e3;
        let stall = capacity.map_or(0.0, |capacity| tokens / sustained(capacity));
        Expected { stall, first, end, unfit: stalls || end > want.remaining.as_millis_f64() }
    }

    /// Sorts `candidates` by weighted rendezvous hashing: an engine of twice the rate is the home
    /// of twice as many adapters. Rates count in powers of two, so that entries agree.
    fn weighted_order(
        &self,
        now: Instant,
        name: &AdapterName,
        candidates: &[SocketAddr],
        median: (f64, f64),
    ) -> Vec<SocketAddr> {
        let key = |engine: SocketAddr| {
            let rate = self
                .capacity(now, engine)
                .map_or(median.0, |capacity| f64::from(capacity.prefill_rate.max(1)) / 1e3);
            let weight = (rate / median.0).log2().round().clamp(-2.0, 2.0).exp2();
            let unit = (rendezvous_hash(name, engine) >> 11) as f64 / (1_u64 << 53) as f64;
            -(1.0 - unit).max(f64::MIN_POSITIVE).ln() / weight
        };
        let mut order: Vec<(f64, SocketAddr)> =
            candidates.iter().map(|&engine| (key(engine), engine)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, engine)| engine).collect()
    }
}
