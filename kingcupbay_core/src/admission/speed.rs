//! How fast an engine reads prompts, makes events and finishes requests,
//! learned from what it does.

use crate::time::{Instant, Span};

/// Prompt tokens read in a millisecond before anything was measured. What the
/// users' engines read, less a tenth for what is read beside.
const FIRST_PACE: f64 = 17.0;

/// Bounds on what is believed of a measurement, in tokens a millisecond.
const PACE_BOUNDS: (f64, f64) = (2.0, 40.0);

/// Milliseconds to a first event beside the reading of its prompt, before
/// anything was measured: two hops, a step, and half the time between reports.
const FIRST_OFFSET: f64 = 50.0;

/// Prompt tokens of the second of the two measurements that the first belief is
/// worth; the other one has none.
const FIRST_PROMPT: f64 = 2_000.0;

/// How many measurements the first belief is worth.
const FIRST_WEIGHT: f64 = 8.0;

/// Part of the weight that earlier measurements keep with each new one: the
/// last hundred count.
const KEEP: f64 = 0.99;

/// Milliseconds between two events of a stream while no prompt is read, before
/// any was measured: three steps of 12 ms.
const FIRST_EVENT: f64 = 36.0;

/// Tokens of an event before any was counted.
const FIRST_STRIDE: f64 = 3.0;

/// Longest time for an event that is believed, in milliseconds.
const EVENT_MAX: f64 = 500.0;

/// Weight of one measurement against all before it.
const WEIGHT: f64 = 0.1;

/// Time between two ends before any was measured.
const FIRST_INTERVAL: f64 = 50.0;

/// Longest time between two ends that is believed, in milliseconds; longer
/// ones are pauses without requests.
const INTERVAL_MAX: f64 = 1_000.0;

/// PrefillScale pace of one engine.
#[derive(Debug)]
pub struct Speed {
    /// Time to a first event against the length of its prompt.
    fit: Fit,
    /// Milliseconds between two events of a stream.
    event: f64,
    /// Tokens of an event after the first.
    stride: f64,
    /// Milliseconds between two ends.
    interval: f64,
    ended: Option<Instant>,
}

/// Weighted sums of a straight line through measurements.
#[derive(Debug)]
struct Fit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * KEEP + 1.0;
        self.x = self.x * KEEP + x;
        self.y = self.y * KEEP + y;
        self.xx = self.xx * KEEP + x * x;
        self.xy = self.xy * KEEP + x * y;
    }

    /// How much `y` grows with `x`. Prompts of one length tell nothing.
    fn slope(&self) -> Option<f64> {
        let spread = self.xx - self.x * self.x / self.weight;
        (spread > 0.0).then(|| (self.xy - self.x * self.y / self.weight) / spread)
    }
}

impl Default for Speed {
    fn default() -> Speed {
        let late = FIRST_OFFSET + FIRST_PROMPT / FIRST_PACE;
        let half = FIRST_WEIGHT / 2.0;
        let fit = Fit {
            weight: FIRST_WEIGHT,
            x: half * FIRST_PROMPT,
            y: half * (FIRST_OFFSET + late),
            xx: half * FIRST_PROMPT * FIRST_PROMPT,
            xy: half * FIRST_PROMPT * late,
        };
        Speed {
            fit,
            event: FIRST_EVENT,
            stride: FIRST_STRIDE,
            interval: FIRST_INTERVAL,
            ended: None,
        }
    }
}

impl Speed {
    /// A prompt of `tokens`, before which no other was unread, had its first
    /// event `took` after it was let through. Only how much longer a longer one
    /// takes tells the pace; what all take beside is the same.
    pub fn on_first(&mut self, tokens: u64, took: Span) {
        self.fit.add(tokens as f64, took.as_millis_f64());
    }

    /// While no prompt was unread, streams made `events` in `time`, both summed
    /// over them.
    pub fn on_events(&mut self, events: u64, time: Span) {
        if events == 0 {
            return;
        }
        let measured = (time.as_millis_f64() / events as f64).min(EVENT_MAX);
        self.event += WEIGHT * (measured - self.event);
    }

    /// A stream made `events` of `tokens` in all.
    pub fn on_tokens(&mut self, events: u64, tokens: u64) {
        if events > 0 {
            self.stride += WEIGHT * (tokens as f64 / events as f64 - self.stride);
        }
    }

    /// A request ended, after which `running` still run.
    pub fn on_end(&mut self, now: Instant, running: usize) {
        if let Some(before) = self.ended {
            let millis = now.since(before).as_millis_f64();
            self.interval += WEIGHT * (millis.min(INTERVAL_MAX) - self.interval);
        }
        self.ended = (running > 0).then_some(now);
    }

    /// Prompt tokens a millisecond.
    pub fn tokens(&self) -> f64 {
        let (low, high) = PACE_BOUNDS;
        self.fit.slope().map_or(FIRST_PACE, |slope| (1.0 / slope.max(1.0 / high)).clamp(low, high))
    }

    /// Time between two events of a stream while no prompt is read.
    pub fn event(&self) -> Span {
        Span::from_millis_f64(self.event)
    }

    /// Tokens of an event after the first.
    pub fn stride(&self) -> f64 {
        self.stride
    }

    /// Time to read `tokens`.
    pub fn time(&self, tokens: u64) -> Span {
        Span::from_millis_f64(tokens as f64 / self.tokens())
    }

    /// Tokens read in `span`.
    pub fn tokens_in(&self, span: Span) -> u64 {
        (self.tokens() * span.as_millis_f64()) as u64
    }

    /// Time until `count` more have ended.
    pub fn ends(&self, count: u64) -> Span {
        Span::from_millis_f64(self.interval * count as f64)
    }
}
