//! Measures the pace of the engine's host at the moment.
//!
//! Addresses hosts that are shared with others (load C of docs/HARD-LOAD.md), on which all
//! work takes 2.5 times as long for periods of about 600 ms. Two consecutive reports show how
//! many decode steps were made and how many prompt tokens were prefilled between them. The
//! time that this usually takes is learned slowly, as a median, so that slow periods hardly
//! count. The time that it took just now, compared with that, is the pace.
//!
//! On a host whose pace does not vary, the pace is exactly the usual one, and nothing
//! depends on this module.

use crate::time::{Instant, Span};

/// Milliseconds of a decode step, and of the prefill of a token, before any measurement.
const INITIAL_STEP_MS: f64 = 12.0;
const INITIAL_TOKEN_MS: f64 = 1.0 / 17.0;

/// Tokens of an event before any measurement.
const INITIAL_EVENT_TOKENS: f64 = 3.0;

/// Weight of the latest measurement in the moving average of the tokens of an event.
const EVENT_WEIGHT: f64 = 0.05;

/// Steps that an interval without prefill must contain to be a measurement. An interval
/// begins and ends within a step, so a shorter one is too inexact.
const STEPS_PER_SAMPLE: u64 = 3;

/// Largest and smallest relative change of a usual time with one measurement. With the
/// smallest one, a slow period of 600 ms moves it by a tenth, and a host that is slow for
/// good counts as usual after half a minute.
const GAIN_BOUNDS: (f64, f64) = (0.005, 0.2);

/// Measurements after which the usual times are known.
const SAMPLES_MIN: u32 = 40;

/// Time constant of the pace in milliseconds. It is a sixth of a slow period, and covers two
/// steps with prefill.
const PACE_TIME_MS: f64 = 100.0;

/// Time that work must take, compared with the usual time, to count as slow. Quantisation
/// by steps makes a steady host appear slower by up to a third.
const SLOW_WORK: f64 = 1.6;

/// Time for which work must be slow in a row. Any shorter one may be a single long step.
const SLOW_MIN: Span = Span::from_millis(150);

/// Time for which the pace counts as varying after a slow period. Slow periods come every
/// four seconds on the hosts of load C.
const VARYING_FOR: Span = Span::from_secs(60);

/// Bounds of the pace, as a multiple of the usual time.
const WORK_BOUNDS: (f64, f64) = (0.5, 5.0);

/// Share of the event gap that may be used. The rest is left for the network and for what
/// the pace changes within a step.
const GAP_SHARE: f64 = 0.95;

/// Decay of the largest chunk seen with each measurement of prefill.
const CHUNK_DECAY: f64 = 0.999;

/// Pace of one engine's host.
#[derive(Debug)]
pub struct Pace {
    /// Usual milliseconds of a decode step.
    step_ms: f64,
    /// Usual milliseconds to prefill a token.
    token_ms: f64,
    step_samples: u32,
    token_samples: u32,
    /// Most prompt tokens that were prefilled in one step.
    chunk: f64,
    /// Tokens of an event after the first.
    event_tokens: f64,
    /// Work since the last step or chunk that a report has shown: time, steps, tokens.
    pending: (f64, u64, u64),
    /// Time taken, and the usual time for the same work, with exponential decay.
    taken_ms: f64,
    usual_ms: f64,
    slow_since: Option<Instant>,
    /// The pace counts as varying until then.
    varying_until: Instant,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            step_ms: INITIAL_STEP_MS,
            token_ms: INITIAL_TOKEN_MS,
            step_samples: 0,
            token_samples: 0,
            chunk: 0.0,
            event_tokens: INITIAL_EVENT_TOKENS,
            pending: (0.0, 0, 0),
            taken_ms: 0.0,
            usual_ms: 0.0,
            slow_since: None,
            varying_until: Instant::default(),
        }
    }
}

impl Pace {
    /// Records that the engine, which had work all the time, made `steps` and prefilled
    /// `tokens` in the `elapsed` time between two reports.
    pub fn on_progress(&mut self, now: Instant, elapsed: Span, steps: u64, tokens: u64) {
        let (time, all_steps, all_tokens) = &mut self.pending;
        *time += elapsed.as_millis_f64();
        *all_steps += steps;
        *all_tokens += tokens;
        let (time, steps, tokens) = self.pending;
        if steps < STEPS_PER_SAMPLE && tokens == 0 {
            self.update_varying(now);
            return;
        }
        self.pending = (0.0, 0, 0);
        if tokens == 0 {
            learn(&mut self.step_ms, &mut self.step_samples, time / steps as f64);
        } else if steps > 0 {
            self.chunk = (self.chunk * CHUNK_DECAY).max(tokens as f64 / steps as f64);
            let prefill = (time - steps as f64 * self.step_ms).max(0.0);
            learn(&mut self.token_ms, &mut self.token_samples, prefill / tokens as f64);
        }
        // The steps that prefilled a prompt are unknown if no stream ran beside it.
        let least_steps = tokens as f64 / self.chunk.max(512.0);
        let usual = (steps as f64).max(least_steps) * self.step_ms + tokens as f64 * self.token_ms;
        let decay = (-time / PACE_TIME_MS).exp();
        self.taken_ms = self.taken_ms * decay + time;
        self.usual_ms = self.usual_ms * decay + usual;
        self.update_varying(now);
    }

    /// Records that the engine had no work for part of the time between two reports.
    pub fn on_idle(&mut self) {
        self.pending = (0.0, 0, 0);
    }

    /// Records that a stream made `events` with `tokens` in total. Reports show tokens within an
    /// event too, so `tokens` must be counted from the report of one event to that of another.
    pub fn on_events(&mut self, events: u64, tokens: u64) {
        let sample = tokens as f64 / events.max(1) as f64;
        self.event_tokens += EVENT_WEIGHT * (sample.min(256.0) - self.event_tokens);
    }

    fn update_varying(&mut self, now: Instant) {
        let work = self.current_work();
        if !self.is_known() || work < SLOW_WORK {
            self.slow_since = None;
            return;
        }
        let since = *self.slow_since.get_or_insert(now);
        if now.since(since) >= SLOW_MIN {
            self.varying_until = now + VARYING_FOR;
        }
    }

    /// Whether the usual times are known.
    pub fn is_known(&self) -> bool {
        self.step_samples >= SAMPLES_MIN && self.token_samples >= SAMPLES_MIN
    }

    /// Whether the pace has varied recently.
    pub fn is_varying(&self, now: Instant) -> bool {
        now < self.varying_until
    }

    /// Returns how long work takes at the moment, compared with the usual time; exactly 1 if
    /// the pace does not vary.
    pub fn work(&self, now: Instant) -> f64 {
        if self.is_varying(now) { self.current_work() } else { 1.0 }
    }

    fn current_work(&self) -> f64 {
        let recent = if self.usual_ms > 0.0 { self.taken_ms / self.usual_ms } else { 1.0 };
        // A step that takes longer than any usual one has not ended.
        let (time, steps, _) = self.pending;
        let longest = (steps + 1) as f64 * self.step_ms + self.chunk * self.token_ms;
        let (low, high) = WORK_BOUNDS;
        recent.max(time / longest.max(1.0)).clamp(low, high)
    }

    /// Returns the usual time of a decode step.
    pub fn step_time(&self) -> Span {
        Span::from_millis_f64(self.step_ms)
    }

    /// Returns the usual time between two events of a stream, without prefill.
    pub fn event_interval(&self) -> Span {
        self.step_time().scaled(self.event_tokens)
    }

    /// Returns the prompt tokens that can be prefilled within `event_gap` beside the decode
    /// steps of an event, if work takes `work` times as long as usual. `None` if the gap is
    /// kept at any prefill load, or not kept without any.
    pub fn prefill_budget(&self, event_gap: Span, work: f64) -> Option<u64> {
        if self.event_interval().scaled(work) > event_gap {
            return None;
        }
        let gap = event_gap.as_millis_f64() * GAP_SHARE / work;
        let free = (gap - self.event_tokens * self.step_ms).max(0.0) / self.token_ms;
        (free < self.event_tokens * self.chunk).then_some(free as u64)
    }

    /// Returns the usual time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span::from_millis_f64(tokens as f64 * self.token_ms)
    }

    /// Returns the usual prefill rate in tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        1.0 / self.token_ms
    }

    /// Returns the most prompt tokens that the engine prefills in one step, as far as seen.
    pub fn chunk(&self) -> u64 {
        self.chunk as u64
    }
}

/// Moves `usual` towards the median of the samples.
fn learn(usual: &mut f64, count: &mut u32, sample: f64) {
    *count = count.saturating_add(1);
    let (low, high) = GAIN_BOUNDS;
    let gain = (2.0 / f64::from(*count)).clamp(low, high);
    *usual *= if sample > *usual { 1.0 + gain } else { 1.0 - gain };
    *usual = usual.clamp(1e-3, 1e3);
}
