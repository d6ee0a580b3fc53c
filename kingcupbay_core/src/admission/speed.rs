//! Measures how fast an engine prefills prompts, makes events and finishes requests.

use crate::time::{Instant, Span};

/// Prefill rate before any measurement, in tokens per millisecond. This is the
/// rate of the users' engines less a tenth for the work other than prefill.
const INITIAL_TOKENS_PER_MS: f64 = 17.0;

/// Lowest and highest prefill rate accepted as plausible, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (2.0, 40.0);

/// Milliseconds to a first event besides the prefill of its prompt, before any
/// measurement: two network hops, one step and half the interval between reports.
const INITIAL_OFFSET_MS: f64 = 50.0;

/// Prompt tokens of one of the two points that represent the initial estimate; the
/// other point has none.
const INITIAL_PROMPT_TOKENS: f64 = 2_000.0;

/// Weight of the initial estimate, in measurements.
const INITIAL_FIT_WEIGHT: f64 = 8.0;

/// Factor applied to the weight of earlier measurements with each new one, so that
/// about the last hundred count.
const FIT_WEIGHT_DECAY: f64 = 0.99;

/// Milliseconds between two events of a stream without prefill, before any
/// measurement: three steps of 12 ms.
const INITIAL_EVENT_INTERVAL_MS: f64 = 36.0;

/// Tokens of an event before any measurement.
const INITIAL_TOKENS_PER_EVENT: f64 = 3.0;

/// Longest event interval accepted as plausible, in milliseconds.
const MAX_EVENT_INTERVAL_MS: f64 = 500.0;

/// Weight of the latest measurement in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Milliseconds between the ends of two requests before any measurement.
const INITIAL_END_INTERVAL_MS: f64 = 50.0;

/// Longest interval between the ends of two requests, in milliseconds; longer ones
/// come from times without requests.
const MAX_END_INTERVAL_MS: f64 = 1_000.0;

/// Measured speed of one engine.
#[derive(Debug)]
pub struct Speed {
    /// Milliseconds to the first event as a function of the prompt's tokens.
    fit: LineFit,
    /// Milliseconds between two events of a stream.
    event_interval: f64,
    /// Tokens of an event after the first.
    event_tokens: f64,
    /// Milliseconds between the ends of two requests.
    end_interval: f64,
    last_end: Option<Instant>,
}

/// Weighted sums of a linear regression.
#[derive(Debug)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * FIT_WEIGHT_DECAY + 1.0;
        self.x = self.x * FIT_WEIGHT_DECAY + x;
        self.y = self.y * FIT_WEIGHT_DECAY + y;
        self.xx = self.xx * FIT_WEIGHT_DECAY + x * x;
        self.xy = self.xy * FIT_WEIGHT_DECAY + x * y;
    }

    /// Returns the slope of `y` over `x`; `None` if all prompts had one length.
    fn slope(&self) -> Option<f64> {
        let spread = self.xx - self.x * self.x / self.weight;
        (spread > 0.0).then(|| (self.xy - self.x * self.y / self.weight) / spread)
    }
}

impl Default for Speed {
    fn default() -> Speed {
        let long_prompt = INITIAL_OFFSET_MS + INITIAL_PROMPT_TOKENS / INITIAL_TOKENS_PER_MS;
        let half = INITIAL_FIT_WEIGHT / 2.0;
        let fit = LineFit {
            weight: INITIAL_FIT_WEIGHT,
            x: half * INITIAL_PROMPT_TOKENS,
            y: half * (INITIAL_OFFSET_MS + long_prompt),
            xx: half * INITIAL_PROMPT_TOKENS * INITIAL_PROMPT_TOKENS,
            xy: half * INITIAL_PROMPT_TOKENS * long_prompt,
        };
        Speed {
            fit,
            event_interval: INITIAL_EVENT_INTERVAL_MS,
            event_tokens: INITIAL_TOKENS_PER_EVENT,
            end_interval: INITIAL_END_INTERVAL_MS,
            last_end: None,
        }
    }
}

impl Speed {
    /// Records the time from the permit to the first event of a prompt of `tokens`
    /// that was prefilled alone. Only the additional time of a longer prompt gives
    /// the prefill rate, as the rest is the same for all.
    pub fn on_first_event(&mut self, tokens: u64, took: Span) {
        self.fit.add(tokens as f64, took.as_millis_f64());
    }

    /// Records the `events` made in `time` while no prompt was unread, both summed
    /// over the streams.
    pub fn on_events(&mut self, events: u64, time: Span) {
        if events == 0 {
            return;
        }
        let measured = (time.as_millis_f64() / events as f64).min(MAX_EVENT_INTERVAL_MS);
        self.event_interval += SAMPLE_WEIGHT * (measured - self.event_interval);
    }

    /// Records that a stream made `events` with `tokens` in total.
    pub fn on_tokens(&mut self, events: u64, tokens: u64) {
        if events > 0 {
            self.event_tokens +=
                SAMPLE_WEIGHT * (tokens as f64 / events as f64 - self.event_tokens);
        }
    }

    /// Records the end of a request, after which `running` requests still run.
    pub fn on_request_end(&mut self, now: Instant, running: usize) {
        if let Some(previous) = self.last_end {
            let millis = now.since(previous).as_millis_f64();
            self.end_interval +=
                SAMPLE_WEIGHT * (millis.min(MAX_END_INTERVAL_MS) - self.end_interval);
        }
        self.last_end = (running > 0).then_some(now);
    }

    /// Returns the prefill rate in prompt tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        let (low, high) = TOKENS_PER_MS_BOUNDS;
        self.fit
            .slope()
            .map_or(INITIAL_TOKENS_PER_MS, |slope| (1.0 / slope.max(1.0 / high)).clamp(low, high))
    }

    /// Returns the time between two events of a stream without prefill.
    pub fn event_interval(&self) -> Span {
        Span::from_millis_f64(self.event_interval)
    }

    /// Returns the tokens of an event after the first.
    pub fn tokens_per_event(&self) -> f64 {
        self.event_tokens
    }

    /// Returns the time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span::from_millis_f64(tokens as f64 / self.prefill_rate())
    }

    /// Returns the tokens that can be prefilled in `span`.
    pub fn prefill_tokens_in(&self, span: Span) -> u64 {
        (self.prefill_rate() * span.as_millis_f64()) as u64
    }

    /// Returns the expected time until `count` more requests have ended.
    pub fn time_for_ends(&self, count: u64) -> Span {
        Span::from_millis_f64(self.end_interval * count as f64)
    }
}
