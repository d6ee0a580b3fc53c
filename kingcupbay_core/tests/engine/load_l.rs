//! Plays the engine requests of load L (docs/HARD-LOAD.md) on engines behind [`Admission`].

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

/// Rate per second at 43 engines, mean prompt, mean output, latency target and deadline in
/// milliseconds, by priority.
const KINDS: [(f64, f64, f64, u64, u64); 3] = [
    (150.0, 1_460.0, 172.0, 800, 12_000),
    (92.6, 646.0, 68.0, 800, 8_000),
    (36.2, 1_460.0, 172.0, 2_000, 20_000),
];

/// One of three engines is faster than the others.
const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];

const MEMORY: u64 = 126_089;
const STEP_MS: f64 = 6.8;
const PREFILL_PER_MS: f64 = 22.1;
const CHUNK: u64 = 2_048;
const EVENT_TOKENS: u64 = 4;
/// Standard deviation of the logarithm of sizes, for a spread of 1.3 times the mean.
const SIGMA: f64 = 1.0;
const HOP_MS: f64 = 3.0;

/// Requests of one priority by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Counts {
    /// Returns the fraction whose first event was on time.
    pub(crate) fn value(self) -> f64 {
        f64::from(self.on_time) / f64::from((self.on_time + self.late + self.refused).max(1))
    }
}

struct Call {
    priority: u8,
    /// Time of the first attempt.
    began: f64,
    /// Time of the latest attempt, from which its latency target counts.
    attempted: f64,
    size: Size,
    organisation: String,
    /// Engines asked in this attempt.
    asked: Vec<usize>,
    retried: bool,
    /// Shortest `after` of the refusals of this attempt.
    after: f64,
}

struct Stream {
    call: usize,
    arrives_at: f64,
    unread: u64,
    tokens: u64,
    last_event: f64,
}

struct SimEngine {
    admission: Admission,
    speed: f64,
    streams: BTreeMap<String, Stream>,
    step_end: f64,
    reported_at: f64,
}

impl SimEngine {
    fn next_report(&self) -> f64 {
        self.reported_at + self.admission.report_interval().as_micros() as f64 / 1e3
    }
}

fn instant(millis: f64) -> Instant {
    Instant::from_micros(1_000_000 + (millis * 1e3) as u64)
}

fn normal(random: &mut Random) -> f64 {
    (-2.0 * (1.0 - random.unit()).ln()).sqrt() * (std::f64::consts::TAU * random.unit()).cos()
}

fn log_normal(random: &mut Random, mean: f64) -> u64 {
    (mean * (SIGMA * normal(random) - SIGMA * SIGMA / 2.0).exp()).clamp(8.0, mean * 8.0) as u64
}

fn engine(speed: f64) -> SimEngine {
    let mut admission = Admission::new("upstream-1");
    admission.on_spec(Engine {
        slots: 64,
        kv_tokens: MEMORY,
        adapter_slots: 20,
        weights_mb: 100.0,
        models: [("base".to_owned(), Model { weights_mb: 50.0, adapter_mb: 1.0 })].into(),
        load_rate: None,
        transfers: None,
    });
    admission.on_fencing(7);
    let streams = BTreeMap::new();
    let mut engine = SimEngine { admission, speed, streams, step_end: 0.0, reported_at: 0.0 };
    let first = report(&engine, 0.0);
    engine.admission.on_report(instant(0.0), first);
    engine
}

fn events(stream: &Stream, now: f64) -> u64 {
    let events = stream.tokens.min(1) + stream.tokens.saturating_sub(1) / EVENT_TOKENS;
    events - u64::from(events > 0 && stream.last_event > now)
}

fn report(engine: &SimEngine, now: f64) -> Report {
    let shown = engine.streams.iter().filter(|(_, stream)| events(stream, now) > 0);
    let run = |(attempt, stream): (&String, &Stream)| Run {
        attempt: attempt.clone(),
        tokens: 1_000 + stream.tokens,
        events: events(stream, now),
    };
    let runs: Vec<Run> = shown.map(run).collect();
    let adapters = [("roses".to_owned(), 1)].into();
    Report {
        memory: MEMORY,
        resident: vec![ResidentModel { model: "base".into(), version: 1, adapters }],
        waiting: (engine.streams.len() - runs.len()) as u32,
        runs,
        ..Report::default()
    }
}

/// Plays `seconds` of load L with `callers` times its rate and returns the counts by priority.
pub(crate) fn play(callers: f64, seconds: f64, seed: u64) -> [Counts; 3] {
    let mut random = Random::new(seed);
    let mut calls: Vec<Call> = Vec::new();
    let mut due: Vec<(f64, usize)> = Vec::new();
    for (priority, (rate, prompt, output, ..)) in KINDS.into_iter().enumerate() {
        let rate = rate * callers * SPEEDS.len() as f64 / 43.0;
        let mut at = random.exponential(1e3 / rate);
        while at < seconds * 1e3 {
            let size = Size {
                prompt: log_normal(&mut random, prompt),
                output: log_normal(&mut random, output),
            };
            due.push((at, calls.len()));
            // A few of the 16 organisations are large.
            let organisation = format!("o{}", (random.unit() * random.unit() * 16.0) as u32);
            let (asked, after, priority) = (Vec::new(), f64::MAX, priority as u8);
            calls.push(Call {
                priority,
                began: at,
                attempted: at,
                size,
                organisation,
                asked,
                retried: false,
                after,
            });
            at += random.exponential(1e3 / rate);
        }
    }
    let mut engines: Vec<SimEngine> = SPEEDS.into_iter().map(engine).collect();
    let mut counts = [Counts::default(); 3];
    let mut now = 0.0_f64;
    while now < seconds * 1e3 + 30_000.0 {
        let next_due = due.iter().map(|(at, _)| *at).fold(f64::MAX, f64::min);
        let next = engines.iter().map(|engine| engine.step_end.min(engine.next_report()));
        now = next.fold(next_due, f64::min).max(now);
        let mut answers: Vec<(usize, Vec<Action>)> = Vec::new();
        for (index, engine) in engines.iter_mut().enumerate() {
            if engine.step_end <= now {
                answers.push((index, step(engine, now, &calls, &mut counts)));
            }
            if engine.next_report() <= now {
                let shown = report(engine, now);
                answers.push((index, engine.admission.on_report(instant(now), shown)));
                engine.reported_at = now;
            }
        }
        let arrived: Vec<usize> =
            due.iter().filter(|(at, _)| *at <= now).map(|(_, call)| *call).collect();
        due.retain(|(at, _)| *at > now);
        for call in arrived {
            answers.extend(ask(&mut engines, &mut calls[call], call, now));
        }
        while let Some((index, actions)) = answers.pop() {
            for action in actions {
                let Action::Answer(Ticket(ticket), verdict) = action else { continue };
                let id = ticket as usize;
                let call = &mut calls[id];
                let after = match verdict {
                    Verdict::Granted { .. } => {
                        let stream = Stream {
                            call: id,
                            arrives_at: now + HOP_MS,
                            unread: call.size.prompt,
                            tokens: 0,
                            last_event: 0.0,
                        };
                        engines[index].streams.insert(attempt(id, call), stream);
                        continue;
                    }
                    Verdict::Refused { after, .. } => after.as_millis_f64(),
                };
                call.after = call.after.min(after);
                if let Some(asked) = ask(&mut engines, call, id, now) {
                    answers.push(asked);
                    continue;
                }
                let left = call.began + KINDS[call.priority as usize].4 as f64 - now;
                if call.retried || call.after > left / 3.0 {
                    counts[call.priority as usize].refused += 1;
                } else {
                    call.attempted = now + call.after;
                    due.push((call.attempted, id));
                    call.retried = true;
                    (call.asked, call.after) = (Vec::new(), f64::MAX);
                }
            }
        }
    }
    counts
}

fn attempt(id: usize, call: &Call) -> String {
    format!("a{id}-{}", call.retried)
}

/// Asks the engine with the shortest expected wait that this attempt has not asked.
fn ask(
    engines: &mut [SimEngine],
    call: &mut Call,
    id: usize,
    now: f64,
) -> Option<(usize, Vec<Action>)> {
    let target = KINDS[call.priority as usize].3 as f64;
    let max_wait = (2.0 * target - (now - call.attempted)).max(60.0);
    let untried = (0..engines.len()).filter(|index| !call.asked.contains(index));
    let index = untried.min_by_key(|&index| {
        let report = engines[index].admission.load_report(instant(now));
        (report.delay_for(call.priority), report.running)
    })?;
    call.asked.push(index);
    let request = PermitRequest {
        attempt: attempt(id, call),
        name: AdapterName { model: "base".into(), adapter: Some("roses".into()) },
        newest: None,
        priority: call.priority,
        size: call.size,
        latency_target: Span::from_millis_f64((target - (now - call.attempted)).max(0.0)),
        max_wait: Span::from_millis_f64(max_wait),
        event_gap: Some(Span::from_millis(300)),
        entry: "127.0.0.1:1".parse().expect("an address"),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: Some(call.organisation.clone()),
        transferred: false,
    };
    let ticket = Ticket(id as u64);
    Some((index, engines[index].admission.on_permit_request(instant(now), ticket, request)))
}

/// Simulates one step of an engine, and ends streams.
fn step(engine: &mut SimEngine, now: f64, calls: &[Call], counts: &mut [Counts; 3]) -> Vec<Action> {
    let ended: Vec<String> = engine
        .streams
        .iter()
        .filter(|(_, stream)| stream.tokens >= calls[stream.call].size.output)
        .map(|(attempt, _)| attempt.clone())
        .collect();
    let mut actions = Vec::new();
    for attempt in ended {
        engine.streams.remove(&attempt);
        engine.admission.on_stream_complete(&attempt, Span::from_millis(200));
        actions.extend(engine.admission.on_request_end(instant(now), &attempt));
    }
    let mut arrived: Vec<&mut Stream> =
        engine.streams.values_mut().filter(|stream| stream.arrives_at <= now).collect();
    arrived.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
    let (mut prefilled, mut running) = (0, Vec::new());
    for stream in arrived {
        let tokens = stream.unread.min(CHUNK - prefilled);
        stream.unread -= tokens;
        prefilled += tokens;
        if stream.unread == 0 {
            running.push(stream);
        }
    }
    let busy = !running.is_empty() || prefilled > 0;
    let length =
        if busy { (STEP_MS + prefilled as f64 / PREFILL_PER_MS) / engine.speed } else { 1.0 };
    engine.step_end = now + length;
    for stream in running {
        stream.tokens += 1;
        if stream.tokens % EVENT_TOKENS == 1 {
            stream.last_event = engine.step_end;
        }
        if stream.tokens == 1 {
            let call = &calls[stream.call];
            let kind = &mut counts[call.priority as usize];
            let target = KINDS[call.priority as usize].3 as f64;
            let on_time = engine.step_end + HOP_MS - call.attempted <= target;
            kind.on_time += u32::from(on_time);
            kind.late += u32::from(!on_time);
        }
    }
    actions
}
