//! A model engine in simulated time, behind the admission under test.

use std::collections::BTreeMap;

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        report::{Report, Run},
    },
    deployment::model::{AdapterName, Engine, Held, Model},
    random::Random,
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Verdict},
    },
};

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// Milliseconds of a step that reads no prompt.
    pub(crate) step: f64,
    /// Prompt tokens read in a millisecond.
    pub(crate) read: f64,
    /// Most prompt tokens read in one step.
    pub(crate) piece: u64,
    /// Tokens of an event after the first.
    pub(crate) stride: u64,
    /// Time until a first event is late, in milliseconds.
    pub(crate) aim: u64,
}

/// Milliseconds from a verdict to the request's arrival at the engine, and
/// from an event's end to the entry.
const HOP: f64 = 3.0;

/// What the callers of one engine send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Seconds.
    pub(crate) time: f64,
    /// Mean length of a prompt in tokens; the longest is four times as long.
    pub(crate) prompt: f64,
    /// Tokens of an answer.
    pub(crate) output: u64,
}

/// What one caller got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Got {
    /// Milliseconds to the first event; none if it was refused.
    pub(crate) first: Option<f64>,
    /// Longest pause between two events in milliseconds.
    pub(crate) pause: f64,
}

struct Stream {
    asked: f64,
    arrives: f64,
    prompt: u64,
    unread: u64,
    output: u64,
    made: u64,
    events: u64,
    event: f64,
    got: Got,
}

/// Plays `load` of one adapter that the engine holds; `slow` is how many times
/// as long each of its steps takes.
pub(crate) fn play(kind: Kind, load: Load, slow: f64, seed: u64) -> Vec<Got> {
    let mut arrivals = arrivals(load, seed).into_iter().enumerate().peekable();
    let mut admission = admission();
    let mut waiting: BTreeMap<Ticket, (f64, Size)> = BTreeMap::new();
    let mut streams: BTreeMap<String, Stream> = BTreeMap::new();
    let mut got = Vec::new();
    let (mut now, mut step_end) = (0.0_f64, 0.0_f64);
    let (mut reported, mut report_at) = (0.0_f64, 0.0_f64);
    admission.on_report(instant(now), report(kind, now, &streams));
    while arrivals.peek().is_some() || !streams.is_empty() || !waiting.is_empty() {
        let arrival = arrivals.peek().map_or(f64::MAX, |(_, (at, _))| *at);
        now = arrival.min(step_end).min(report_at);
        let mut actions = Vec::new();
        if arrival <= now {
            let Some((id, (at, size))) = arrivals.next() else { unreachable!("it was peeked") };
            let ticket = Ticket(id as u64);
            waiting.insert(ticket, (at, size));
            let want = want(id, size, kind.aim);
            actions.extend(admission.on_want(instant(now), ticket, want));
        } else if step_end <= now {
            step_end = now + step(kind, now, slow, &mut streams);
            let ended = |stream: &Stream| stream.made >= stream.output;
            let gone: Vec<String> =
                streams.iter().filter(|(_, s)| ended(s)).map(|(id, _)| id.clone()).collect();
            for id in gone {
                let Some(stream) = streams.remove(&id) else { continue };
                let pause = Span::from_micros((stream.got.pause * 1e3) as u64);
                admission.on_stream(&id, pause);
                got.push(stream.got);
                actions.extend(admission.on_done(instant(now), &id));
            }
        } else {
            actions.extend(admission.on_report(instant(now), report(kind, now, &streams)));
        }
        for action in actions {
            let Action::Answer(ticket, verdict) = action else { continue };
            let Some((asked, size)) = waiting.remove(&ticket) else { continue };
            match verdict {
                Verdict::Granted { .. } => {
                    let stream = Stream {
                        asked,
                        arrives: now + HOP,
                        prompt: size.prompt,
                        unread: size.prompt,
                        output: size.output,
                        made: 0,
                        events: 0,
                        event: 0.0,
                        got: Got::default(),
                    };
                    streams.insert(format!("a{}", ticket.0), stream);
                }
                Verdict::Refused { .. } => got.push(Got::default()),
            }
        }
        if report_at <= now {
            reported = now;
        }
        // What has come meanwhile may want the next report sooner.
        report_at = reported + admission.next_report().as_micros() as f64 / 1e3;
    }
    got
}

/// One step; its length.
fn step(kind: Kind, now: f64, slow: f64, streams: &mut BTreeMap<String, Stream>) -> f64 {
    let mut left = kind.piece;
    let mut there: Vec<&mut Stream> =
        streams.values_mut().filter(|stream| stream.arrives <= now).collect();
    there.sort_by(|a, b| a.arrives.total_cmp(&b.arrives));
    let mut read = 0;
    let mut running = Vec::new();
    for stream in there {
        let part = stream.unread.min(left);
        stream.unread -= part;
        left -= part;
        read += part;
        if stream.unread == 0 {
            running.push(stream);
        }
    }
    if running.is_empty() && read == 0 {
        return 1.0;
    }
    let length = slow * (kind.step + read as f64 / kind.read);
    let end = now + length;
    for stream in running {
        stream.made += 1;
        if stream.made == 1 || stream.made % kind.stride == 1 || stream.made == stream.output {
            match stream.events {
                0 => stream.got.first = Some(end + HOP - stream.asked),
                _ => stream.got.pause = stream.got.pause.max(end - stream.event),
            }
            stream.events += 1;
            stream.event = end;
        }
    }
    length
}

fn arrivals(load: Load, seed: u64) -> Vec<(f64, Size)> {
    let mut random = Random::new(seed);
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < load.time * 1e3 {
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

fn want(id: usize, size: Size, aim: u64) -> PermitRequest {
    PermitRequest {
        attempt: format!("a{id}"),
        name: name(),
        newest: None,
        priority: 1,
        size,
        latency_target: Span::from_millis(aim),
        max_wait: Span::from_millis(2 * aim),
        event_gap: Some(Span::from_millis(300)),
        entry: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn report(kind: Kind, now: f64, streams: &BTreeMap<String, Stream>) -> Report {
    let adapters = [("roses".to_owned(), 1)].into();
    // The event of the step that runs is not made yet.
    let events = |stream: &Stream| stream.events - u64::from(stream.event > now);
    let run = |(attempt, stream): (&String, &Stream)| Run {
        attempt: attempt.clone(),
        tokens: stream.prompt + 1 + (events(stream).max(1) - 1) * kind.stride,
        events: events(stream),
    };
    Report {
        memory: 129_464,
        held: vec![Held { model: "base".into(), version: 1, adapters }],
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
        memory: 129_464,
        places: 21,
        weights_mb: 100.0,
        models: [("base".to_owned(), model)].into(),
        loads: None,
    });
    admission.on_fencing(7);
    admission
}
