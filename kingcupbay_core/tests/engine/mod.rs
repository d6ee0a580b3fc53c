//! Simulates a model engine behind the admission under test.

#![allow(dead_code)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        report::{Report, Run},
    },
    deployment::model::{AdapterName, Engine, Model, ResidentModel},
    random::{Random, mix},
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{EngineLoadReport, PermitRequest, Verdict},
    },
};

/// Speed of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineProfile {
    /// Milliseconds of a step without prefill.
    pub(crate) step_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub(crate) prefill: f64,
    /// Most prompt tokens prefilled in one step.
    pub(crate) chunk: u64,
    /// Tokens of an event after the first.
    pub(crate) event_tokens: u64,
    /// Latency target of the first event, in milliseconds.
    pub(crate) target_ms: u64,
}

/// How long work takes on the host of a simulated engine, compared with the profile.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HostWork {
    /// Always this many times as long.
    Steady(f64),
    /// This many times as long in 15 % of the time, in spells of about 600 ms. The
    /// seed decides when.
    Spells(f64, u64),
    /// This many times as long from the given millisecond on.
    Jump(f64, f64),
}

/// Duration of a spell, in milliseconds.
const SPELL_MS: f64 = 600.0;

/// Share of the time that spells take, in percent.
const SPELL_PERCENT: u64 = 15;

impl HostWork {
    fn factor(self, now: f64) -> f64 {
        match self {
            HostWork::Steady(factor) => factor,
            HostWork::Spells(factor, seed) => {
                let period = (now / SPELL_MS + (seed % 97) as f64 / 97.0) as u64;
                let slow = mix(mix(seed) ^ period) % 100 < SPELL_PERCENT;
                if slow { factor } else { 1.0 }
            }
            HostWork::Jump(factor, from) => {
                if now >= from {
                    factor
                } else {
                    1.0
                }
            }
        }
    }
}

/// Milliseconds from a verdict to the request's arrival at the engine, and from the
/// end of an event to its arrival at the entry.
pub(crate) const NETWORK_HOP_MS: f64 = 3.0;

/// Requests that callers send to one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Duration in seconds.
    pub(crate) seconds: f64,
    /// Mean prompt tokens; the longest prompt is four times as long.
    pub(crate) prompt: f64,
    /// Tokens of an answer.
    pub(crate) output: u64,
}

/// Result of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallResult {
    /// Milliseconds to the first event; `None` if the request was refused.
    pub(crate) first_ms: Option<f64>,
    /// Longest pause between two events, in milliseconds.
    pub(crate) pause_ms: f64,
    /// Milliseconds to the last event.
    pub(crate) end_ms: f64,
}

/// A request to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: usize,
    /// When the caller sent it, in milliseconds.
    pub(crate) at: f64,
    pub(crate) size: Size,
    pub(crate) priority: u8,
    pub(crate) target_ms: u64,
    pub(crate) max_wait_ms: u64,
    pub(crate) gap_ms: u64,
}

struct Stream {
    call: Call,
    arrives_at: f64,
    unread: u64,
    tokens: u64,
    events: u64,
    last_event: f64,
    /// Tokens in memory and events after the last complete step.
    shown: (u64, u64),
    result: CallResult,
}

/// How a call ended at an engine.
pub(crate) enum Outcome {
    Complete(Call, CallResult),
    Refused(Call),
}

/// An engine with its sidecar's admission.
pub(crate) struct SimulatedEngine {
    pub(crate) profile: EngineProfile,
    work: HostWork,
    pub(crate) admission: Admission,
    waiting: BTreeMap<Ticket, Call>,
    streams: BTreeMap<String, Stream>,
    outcomes: Vec<Outcome>,
    step_end: f64,
    reported_at: f64,
    /// Milliseconds from which on the engine sends no reports.
    pub(crate) silent_from: f64,
    /// Whether reports show the tokens of complete events only, and no run before its first
    /// event. Measurements of steady engines have been made with such reports.
    pub(crate) coarse: bool,
}

impl SimulatedEngine {
    pub(crate) fn new(profile: EngineProfile, work: HostWork) -> SimulatedEngine {
        let mut engine = SimulatedEngine {
            profile,
            work,
            admission: admission(),
            waiting: BTreeMap::new(),
            streams: BTreeMap::new(),
            outcomes: Vec::new(),
            step_end: 0.0,
            reported_at: 0.0,
            silent_from: f64::MAX,
            coarse: false,
        };
        engine.report(0.0);
        engine
    }

    /// Returns when the engine or its sidecar does something next.
    pub(crate) fn next(&self) -> f64 {
        self.step_end.min(self.next_report())
    }

    /// New requests may shorten the interval to the next report.
    fn next_report(&self) -> f64 {
        self.reported_at + self.admission.report_interval().as_micros() as f64 / 1e3
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.waiting.is_empty()
    }

    /// Sends a permit request.
    pub(crate) fn request(&mut self, now: f64, call: Call) {
        let ticket = Ticket(call.id as u64);
        self.waiting.insert(ticket, call);
        let actions =
            self.admission.on_permit_request(instant(now), ticket, permit_request(&call, now));
        self.apply(now, actions);
    }

    /// Does what is due and returns the calls that ended.
    pub(crate) fn advance(&mut self, now: f64) -> Vec<Outcome> {
        if self.step_end <= now {
            self.step_end = now + self.step(now);
            let ended = |stream: &Stream| stream.tokens >= stream.call.size.output;
            let finished: Vec<String> =
                self.streams.iter().filter(|(_, s)| ended(s)).map(|(id, _)| id.clone()).collect();
            for id in finished {
                let Some(stream) = self.streams.remove(&id) else { continue };
                let pause = Span::from_micros((stream.result.pause_ms * 1e3) as u64);
                self.admission.on_stream_complete(&id, pause);
                self.outcomes.push(Outcome::Complete(stream.call, stream.result));
                let actions = self.admission.on_request_end(instant(now), &id);
                self.apply(now, actions);
            }
        } else if self.next_report() <= now {
            self.report(now);
        }
        std::mem::take(&mut self.outcomes)
    }

    pub(crate) fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    pub(crate) fn load_report(&self, now: f64) -> EngineLoadReport {
        self.admission.load_report(instant(now))
    }

    fn report(&mut self, now: f64) {
        self.reported_at = now;
        if now < self.silent_from {
            let mut report = report(&self.streams);
            if self.coarse {
                self.coarsen(&mut report);
            }
            let actions = self.admission.on_report(instant(now), report);
            self.apply(now, actions);
        }
    }

    fn coarsen(&self, report: &mut Report) {
        report.runs.retain(|run| run.events > 0);
        for run in &mut report.runs {
            let prompt = self.streams.get(&run.attempt).map_or(0, |s| s.call.size.prompt);
            run.tokens = prompt + 1 + (run.events - 1) * self.profile.event_tokens;
        }
        report.waiting = (self.streams.len() - report.runs.len()) as u32;
    }

    fn apply(&mut self, now: f64, actions: Vec<Action>) {
        for action in actions {
            let Action::Answer(ticket, verdict) = action else { continue };
            let Some(call) = self.waiting.remove(&ticket) else { continue };
            match verdict {
                Verdict::Granted { .. } => {
                    let stream = Stream {
                        call,
                        arrives_at: now + NETWORK_HOP_MS,
                        unread: call.size.prompt,
                        tokens: 0,
                        events: 0,
                        last_event: 0.0,
                        shown: (0, 0),
                        result: CallResult::default(),
                    };
                    self.streams.insert(format!("a{}", ticket.0), stream);
                }
                Verdict::Refused { .. } => self.outcomes.push(Outcome::Refused(call)),
            }
        }
    }

    /// Simulates one step and returns its length in milliseconds.
    fn step(&mut self, now: f64) -> f64 {
        let profile = self.profile;
        let mut budget = profile.chunk;
        for stream in self.streams.values_mut() {
            let read = stream.call.size.prompt - stream.unread;
            stream.shown = (read + stream.tokens, stream.events);
        }
        let mut arrived: Vec<&mut Stream> =
            self.streams.values_mut().filter(|stream| stream.arrives_at <= now).collect();
        arrived.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
        let mut prefilled = 0;
        let mut running = Vec::new();
        for stream in arrived {
            let tokens = stream.unread.min(budget);
            stream.unread -= tokens;
            budget -= tokens;
            prefilled += tokens;
            if stream.unread == 0 {
                running.push(stream);
            }
        }
        if running.is_empty() && prefilled == 0 {
            return 1.0;
        }
        let length = self.work.factor(now) * (profile.step_ms + prefilled as f64 / profile.prefill);
        let end = now + length;
        for stream in running {
            stream.tokens += 1;
            if stream.tokens == 1
                || stream.tokens % profile.event_tokens == 1
                || stream.tokens == stream.call.size.output
            {
                let result = &mut stream.result;
                match stream.events {
                    0 => result.first_ms = Some(end + NETWORK_HOP_MS - stream.call.at),
                    _ => result.pause_ms = result.pause_ms.max(end - stream.last_event),
                }
                result.end_ms = end + NETWORK_HOP_MS - stream.call.at;
                stream.events += 1;
                stream.last_event = end;
            }
        }
        length
    }
}

/// Simulates `load` on one adapter that the engine has loaded. Each step takes
/// `slowdown` times as long as in `profile`.
pub(crate) fn simulate(
    profile: EngineProfile,
    load: Workload,
    slowdown: f64,
    seed: u64,
) -> Vec<CallResult> {
    simulate_host(profile, load, HostWork::Steady(slowdown), 300, seed, true).0
}

/// Simulates `load` on one engine whose host's speed changes as `work` says. Returns the
/// results and the admission state at the end.
pub(crate) fn simulate_host(
    profile: EngineProfile,
    load: Workload,
    work: HostWork,
    gap_ms: u64,
    seed: u64,
    coarse: bool,
) -> (Vec<CallResult>, SimulatedEngine) {
    let mut arrivals = arrivals(load, seed).into_iter().enumerate().peekable();
    let mut engine = SimulatedEngine::new(profile, work);
    engine.coarse = coarse;
    let mut results = Vec::new();
    while arrivals.peek().is_some() || !engine.is_idle() {
        let arrival = arrivals.peek().map_or(f64::MAX, |(_, (at, _))| *at);
        let now = arrival.min(engine.next());
        let outcomes = if arrival <= now {
            let Some((id, (at, size))) = arrivals.next() else { unreachable!("it was peeked") };
            let (target_ms, max_wait_ms) = (profile.target_ms, 2 * profile.target_ms);
            engine.request(now, Call { id, at, size, priority: 1, target_ms, max_wait_ms, gap_ms });
            engine.take_outcomes()
        } else {
            engine.advance(now)
        };
        results.extend(outcomes.into_iter().map(|outcome| match outcome {
            Outcome::Complete(_, result) => result,
            Outcome::Refused(_) => CallResult::default(),
        }));
    }
    (results, engine)
}

fn arrivals(load: Workload, seed: u64) -> Vec<(f64, Size)> {
    let mut random = Random::new(seed);
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < load.seconds * 1e3 {
        at += random.exponential(1e3 / load.rate);
        let prompt = random.exponential(load.prompt).min(load.prompt * 4.0) as u64 + 50;
        all.push((at, Size { prompt, output: load.output }));
    }
    all
}

pub(crate) fn instant(millis: f64) -> Instant {
    Instant::from_micros(1_000_000 + (millis * 1e3) as u64)
}

pub(crate) fn name() -> AdapterName {
    AdapterName { model: "base".into(), adapter: Some("roses".into()) }
}

fn permit_request(call: &Call, now: f64) -> PermitRequest {
    let waited = (now - call.at).max(0.0) as u64;
    PermitRequest {
        attempt: format!("a{}", call.id),
        name: name(),
        newest: None,
        priority: call.priority,
        size: call.size,
        latency_target: Span::from_millis(call.target_ms.saturating_sub(waited)),
        max_wait: Span::from_millis(call.max_wait_ms),
        event_gap: Some(Span::from_millis(call.gap_ms)),
        entry: "127.0.0.1:1".parse().expect("an address"),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: None,
        transferred: false,
    }
}

fn report(streams: &BTreeMap<String, Stream>) -> Report {
    let adapters = [("roses".to_owned(), 1)].into();
    // The chunk and the event of the current step are not made yet.
    let run = |(attempt, stream): (&String, &Stream)| Run {
        attempt: attempt.clone(),
        tokens: stream.shown.0,
        events: stream.shown.1,
    };
    let started = |stream: &Stream| stream.shown.0 > 0;
    Report {
        memory: 129_464,
        resident: vec![ResidentModel { model: "base".into(), version: 1, adapters }],
        runs: streams.iter().filter(|(_, stream)| started(stream)).map(run).collect(),
        waiting: streams.values().filter(|stream| !started(stream)).count() as u32,
        ..Report::default()
    }
}

fn admission() -> Admission {
    let mut admission = Admission::new("upstream-1");
    let model = Model { weights_mb: 50.0, adapter_mb: 1.0 };
    admission.on_spec(Engine {
        slots: 64,
        kv_tokens: 129_464,
        adapter_slots: 21,
        weights_mb: 100.0,
        models: [("base".to_owned(), model)].into(),
        load_rate: None,
        transfers: None,
    });
    admission.on_fencing(7);
    admission
}
