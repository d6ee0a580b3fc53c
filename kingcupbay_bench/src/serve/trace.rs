//! Arrivals: five organisations, popularity that shifts, one flood.

use kingcupbay_core::{
    id::{Id, OrganisationId, VersionId},
    time::{Instant, Span},
};

use super::random::{Random, Zipf};

/// Adapters of all organisations.
pub(crate) const ADAPTERS: usize = 3_000;

/// Parts of the demand and of the adapters; two organisations are large.
const PARTS: [f64; 5] = [0.40, 0.30, 0.12, 0.10, 0.08];

/// The organisation that sends too much, one of the large ones.
pub(crate) const FLOODING: usize = 1;

/// What the flooding organisation sends, in its rates.
const FLOOD: f64 = 5.0;

/// An organisation's rate over its usual demand.
const HEADROOM: f64 = 1.25;

/// Seconds of its rate that an organisation may use at once.
const BURST: f64 = 60.0;

/// Longest wait for the first token that a caller accepts.
pub(crate) const PATIENCE: Span = Span::from_secs(30);

/// One size of the experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    /// Runners in three zones.
    pub(crate) runners: u32,
    /// Adapter slots of a runner.
    pub(crate) slots: u32,
    /// Requests that a runner generates for at once.
    pub(crate) places: usize,
    /// Loads a second that the weight store starts.
    pub(crate) loads: f64,
    /// Loads in flight of each runner; without it the fleet shares those that
    /// run at full speed.
    pub(crate) each: Option<u32>,
    /// Requests a second, all organisations together.
    pub(crate) demand: f64,
    /// Exponent of the popularity.
    pub(crate) exponent: f64,
    /// Simulated seconds.
    pub(crate) seconds: u64,
}

/// Whether one organisation floods, and whether its rate is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flood {
    /// Nobody sends more than usual.
    None,
    /// The entries refuse what exceeds rate and burst.
    Limited,
    /// Only the queue stands between the organisations.
    Free,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) organisation: OrganisationId,
    pub(crate) version: VersionId,
    pub(crate) prompt: u64,
    /// Tokens that will be generated.
    pub(crate) output: u64,
    /// Tokens that the caller permits.
    pub(crate) permitted: u64,
}

impl Setting {
    pub(crate) fn end(&self) -> Instant {
        self.part(1.0)
    }

    /// The point after `part` of the simulated time.
    pub(crate) fn part(&self, part: f64) -> Instant {
        Instant::from_micros((self.seconds as f64 * part * 1e6) as u64)
    }

    /// When every organisation's popular adapters change places with others.
    pub(crate) fn shift(&self) -> Instant {
        self.part(0.25)
    }

    /// From when to the end one organisation floods.
    pub(crate) fn flood(&self) -> Instant {
        self.part(0.5)
    }
}

/// All arrivals in the order of time.
pub(crate) fn trace(setting: &Setting, seed: u64, flood: Flood) -> Vec<Arrival> {
    let mut first = 0;
    let mut all = Vec::new();
    for (index, part) in PARTS.into_iter().enumerate() {
        let count = (ADAPTERS as f64 * part).round() as usize;
        let mut arrivals = organisation(setting, seed, index, first..first + count, flood);
        if flood != Flood::Free {
            limit(setting, &mut arrivals, part);
        }
        all.extend(arrivals);
        first += count;
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.organisation));
    all
}

fn organisation(
    setting: &Setting,
    seed: u64,
    index: usize,
    adapters: std::ops::Range<usize>,
    flood: Flood,
) -> Vec<Arrival> {
    let mut random = Random::new(seed, index as u64);
    let mut order: Vec<usize> = adapters.collect();
    random.shuffle(&mut order);
    let mut shifted = order.clone();
    random.shuffle(&mut shifted);
    let zipf = Zipf::new(order.len(), setting.exponent);
    let usual = setting.demand * PARTS[index];
    let floods = flood != Flood::None && index == FLOODING;
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        let flooding = floods && Instant::from_micros((seconds * 1e6) as u64) >= setting.flood();
        let rate = if flooding { usual * HEADROOM * FLOOD } else { usual };
        seconds += random.exponential(1.0 / rate);
        let at = Instant::from_micros((seconds * 1e6) as u64);
        if at >= setting.end() {
            return arrivals;
        }
        let rank = zipf.rank(&mut random);
        let adapter = if at < setting.shift() { order[rank] } else { shifted[rank] };
        let output = 20 + random.exponential(MEAN_OUTPUT - 20.0) as u64;
        arrivals.push(Arrival {
            at,
            organisation: OrganisationId::from_raw(index as u32),
            version: VersionId::from_raw(adapter as u32),
            prompt: 100 + random.exponential(MEAN_PROMPT - 100.0) as u64,
            output,
            permitted: output + random.exponential(100.0) as u64,
        });
    }
}

/// Mean tokens of an answer.
const MEAN_OUTPUT: f64 = 200.0;

/// Mean tokens of a prompt.
const MEAN_PROMPT: f64 = 400.0;

/// Drops what an exact bucket of the organisation's rate and burst refuses.
fn limit(setting: &Setting, arrivals: &mut Vec<Arrival>, part: f64) {
    let rate = setting.demand * part * HEADROOM * (MEAN_PROMPT + MEAN_OUTPUT);
    let mut level = rate * BURST;
    let mut last = Instant::default();
    arrivals.retain(|arrival| {
        level = (level + arrival.at.since(last).as_secs_f64() * rate).min(rate * BURST);
        last = arrival.at;
        let tokens = (arrival.prompt + arrival.output) as f64;
        let admitted = tokens <= level;
        if admitted {
            level -= tokens;
        }
        admitted
    });
}
