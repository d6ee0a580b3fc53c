//! Simulates a model engine behind the admission under test.

use std::collections::BTreeMap;

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        report::{Report, Run},
    },
    deployment::model::{AdapterName, Engine, Model, ResidentModel},
    random::Random,
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Verdict},
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

/// Milliseconds from a verdict to the request's arrival at the engine, and from the
/// end of an event to its arrival at the entry.
const NETWORK_HOP_MS: f64 = 3.0;

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
}

struct Stream {
    requested_at: f64,
    arrives_at: f64,
    prompt: u64,
    unread: u64,
    output: u64,
    tokens: u64,
    events: u64,
    last_event: f64,
    result: CallResult,
}

/// Simulates `load` on one adapter that the engine has loaded. Each step takes
/// `slowdown` times as long as in `profile`.
pub(crate) fn simulate(
    profile: EngineProfile,
    load: Workload,
    slowdown: f64,
    seed: u64,
) -> Vec<CallResult> {
    let mut arrivals = arrivals(load, seed).into_iter().enumerate().peekable();
    let mut admission = admission();
    let mut waiting: BTreeMap<Ticket, (f64, Size)> = BTreeMap::new();
    let mut streams: BTreeMap<String, Stream> = BTreeMap::new();
    let mut results = Vec::new();
    let (mut now, mut step_end) = (0.0_f64, 0.0_f64);
    let (mut reported_at, mut next_report) = (0.0_f64, 0.0_f64);
    admission.on_report(instant(now), report(profile, now, &streams));
    while arrivals.peek().is_some() || !streams.is_empty() || !waiting.is_empty() {
        let arrival = arrivals.peek().map_or(f64::MAX, |(_, (at, _))| *at);
        now = arrival.min(step_end).min(next_report);
        let mut actions = Vec::new();
        if arrival <= now {
            let Some((id, (at, size))) = arrivals.next() else { unreachable!("it was peeked") };
            let ticket = Ticket(id as u64);
            waiting.insert(ticket, (at, size));
            let request = permit_request(id, size, profile.target_ms);
            actions.extend(admission.on_permit_request(instant(now), ticket, request));
        } else if step_end <= now {
            step_end = now + step(profile, now, slowdown, &mut streams);
            let ended = |stream: &Stream| stream.tokens >= stream.output;
            let finished: Vec<String> =
                streams.iter().filter(|(_, s)| ended(s)).map(|(id, _)| id.clone()).collect();
            for id in finished {
                let Some(stream) = streams.remove(&id) else { continue };
                let pause = Span::from_micros((stream.result.pause_ms * 1e3) as u64);
                admission.on_stream_complete(&id, pause);
                results.push(stream.result);
                actions.extend(admission.on_request_end(instant(now), &id));
            }
        } else {
            actions.extend(admission.on_report(instant(now), report(profile, now, &streams)));
        }
        for action in actions {
            let Action::Answer(ticket, verdict) = action else { continue };
            let Some((requested_at, size)) = waiting.remove(&ticket) else { continue };
            match verdict {
                Verdict::Granted { .. } => {
                    let stream = Stream {
                        requested_at,
                        arrives_at: now + NETWORK_HOP_MS,
                        prompt: size.prompt,
                        unread: size.prompt,
                        output: size.output,
                        tokens: 0,
                        events: 0,
                        last_event: 0.0,
                        result: CallResult::default(),
                    };
                    streams.insert(format!("a{}", ticket.0), stream);
                }
                Verdict::Refused { .. } => results.push(CallResult::default()),
            }
        }
        if next_report <= now {
            reported_at = now;
        }
        // New requests may shorten the interval to the next report.
        next_report = reported_at + admission.report_interval().as_micros() as f64 / 1e3;
    }
    results
}

/// Simulates one step and returns its length in milliseconds.
fn step(
    profile: EngineProfile,
    now: f64,
    slowdown: f64,
    streams: &mut BTreeMap<String, Stream>,
) -> f64 {
    let mut budget = profile.chunk;
    let mut arrived: Vec<&mut Stream> =
        streams.values_mut().filter(|stream| stream.arrives_at <= now).collect();
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
    let length = slowdown * (profile.step_ms + prefilled as f64 / profile.prefill);
    let end = now + length;
    for stream in running {
        stream.tokens += 1;
        if stream.tokens == 1
            || stream.tokens % profile.event_tokens == 1
            || stream.tokens == stream.output
        {
            match stream.events {
                0 => stream.result.first_ms = Some(end + NETWORK_HOP_MS - stream.requested_at),
                _ => stream.result.pause_ms = stream.result.pause_ms.max(end - stream.last_event),
            }
            stream.events += 1;
            stream.last_event = end;
        }
    }
    length
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

fn instant(millis: f64) -> Instant {
    Instant::from_micros(1_000_000 + (millis * 1e3) as u64)
}

fn name() -> AdapterName {
    AdapterName { model: "base".into(), adapter: Some("roses".into()) }
}

fn permit_request(id: usize, size: Size, target: u64) -> PermitRequest {
    PermitRequest {
        attempt: format!("a{id}"),
        name: name(),
        newest: None,
        priority: 1,
        size,
        latency_target: Span::from_millis(target),
        max_wait: Span::from_millis(2 * target),
        event_gap: Some(Span::from_millis(300)),
        entry: "127.0.0.1:1".parse().expect("an address"),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: None,
        transferred: false,
    }
}

fn report(profile: EngineProfile, now: f64, streams: &BTreeMap<String, Stream>) -> Report {
    let adapters = [("roses".to_owned(), 1)].into();
    // The event of the current step is not made yet.
    let events = |stream: &Stream| stream.events - u64::from(stream.last_event > now);
    let run = |(attempt, stream): (&String, &Stream)| Run {
        attempt: attempt.clone(),
        tokens: stream.prompt + 1 + (events(stream).max(1) - 1) * profile.event_tokens,
        events: events(stream),
    };
    Report {
        memory: 129_464,
        resident: vec![ResidentModel { model: "base".into(), version: 1, adapters }],
        runs: streams.iter().filter(|(_, stream)| events(stream) > 0).map(run).collect(),
        waiting: streams.values().filter(|stream| events(stream) == 0).count() as u32,
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
