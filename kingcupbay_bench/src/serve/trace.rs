//! Generates arrivals: five organisations, one of which may flood, and adapters
//! whose popularity shifts.

use kingcupbay_core::{
    id::{Id, OrganisationId, VersionId},
    time::{Instant, Span},
};

use super::random::{Random, Zipf};

/// Number of adapters of all organisations.
pub(crate) const ADAPTERS: usize = 3_000;

/// Share of each organisation in the demand and in the adapters; two are large.
const DEMAND_SHARES: [f64; 5] = [0.40, 0.30, 0.12, 0.10, 0.08];

/// Index of the organisation that floods, one of the large ones.
pub(crate) const FLOODING_ORGANISATION: usize = 1;

/// Demand of the flooding organisation as a multiple of its rate.
const FLOOD_FACTOR: f64 = 5.0;

/// An organisation's rate as a multiple of its usual demand.
const RATE_HEADROOM: f64 = 1.25;

/// Burst of an organisation, in seconds of its rate.
const BURST_SECONDS: f64 = 60.0;

/// Longest wait for the first token that a caller accepts.
pub(crate) const MAX_FIRST_TOKEN_WAIT: Span = Span::from_secs(30);

/// Parameters of the experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    /// Runners in three zones.
    pub(crate) runners: u32,
    /// Adapter slots per runner.
    pub(crate) slots: u32,
    /// Requests that run at once on a runner.
    pub(crate) batch_size: usize,
    /// Loads per second that the weight store starts.
    pub(crate) load_rate: f64,
    /// Most loads in flight per runner; if `None`, the fleet shares the number of
    /// loads that run at full speed.
    pub(crate) runner_loads: Option<u32>,
    /// Requests per second of all organisations together.
    pub(crate) demand: f64,
    /// Exponent of the Zipf distribution of popularity.
    pub(crate) exponent: f64,
    /// Simulated seconds.
    pub(crate) seconds: u64,
}

/// Whether one organisation floods, and whether its rate is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flood {
    /// No organisation sends more than usual.
    None,
    /// Entries refuse requests that exceed rate and burst.
    Limited,
    /// Rates are not enforced; only the queue isolates the organisations.
    Free,
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) organisation: OrganisationId,
    pub(crate) version: VersionId,
    pub(crate) prompt: u64,
    /// Tokens that will be generated.
    pub(crate) output: u64,
    /// Most tokens that the caller allows to be generated.
    pub(crate) permitted: u64,
}

impl Setting {
    pub(crate) fn end(&self) -> Instant {
        self.instant_at(1.0)
    }

    /// Returns the instant after `fraction` of the simulated time.
    pub(crate) fn instant_at(&self, fraction: f64) -> Instant {
        Instant::from_micros((self.seconds as f64 * fraction * 1e6) as u64)
    }

    /// When the popularity of every organisation's adapters is shuffled.
    pub(crate) fn shift_start(&self) -> Instant {
        self.instant_at(0.25)
    }

    /// When the flood starts; it lasts to the end.
    pub(crate) fn flood_start(&self) -> Instant {
        self.instant_at(0.5)
    }
}

/// Generates all arrivals, sorted by time.
pub(crate) fn generate(setting: &Setting, seed: u64, flood: Flood) -> Vec<Arrival> {
    let mut first = 0;
    let mut all = Vec::new();
    for (index, fraction) in DEMAND_SHARES.into_iter().enumerate() {
        let count = (ADAPTERS as f64 * fraction).round() as usize;
        let mut arrivals = generate_organisation(setting, seed, index, first..first + count, flood);
        if flood != Flood::Free {
            apply_limit(setting, &mut arrivals, fraction);
        }
        all.extend(arrivals);
        first += count;
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.organisation));
    all
}

fn generate_organisation(
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
    let usual = setting.demand * DEMAND_SHARES[index];
    let floods = flood != Flood::None && index == FLOODING_ORGANISATION;
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        let flooding =
            floods && Instant::from_micros((seconds * 1e6) as u64) >= setting.flood_start();
        let rate = if flooding { usual * RATE_HEADROOM * FLOOD_FACTOR } else { usual };
        seconds += random.exponential(1.0 / rate);
        let at = Instant::from_micros((seconds * 1e6) as u64);
        if at >= setting.end() {
            return arrivals;
        }
        let rank = zipf.rank(&mut random);
        let adapter = if at < setting.shift_start() { order[rank] } else { shifted[rank] };
        let output = 20 + random.exponential(MEAN_OUTPUT_TOKENS - 20.0) as u64;
        arrivals.push(Arrival {
            at,
            organisation: OrganisationId::from_raw(index as u32),
            version: VersionId::from_raw(adapter as u32),
            prompt: 100 + random.exponential(MEAN_PROMPT_TOKENS - 100.0) as u64,
            output,
            permitted: output + random.exponential(100.0) as u64,
        });
    }
}

/// Mean number of tokens of an answer.
const MEAN_OUTPUT_TOKENS: f64 = 200.0;

/// Mean number of tokens of a prompt.
const MEAN_PROMPT_TOKENS: f64 = 400.0;

/// Drops arrivals that an exact token bucket of the organisation refuses.
fn apply_limit(setting: &Setting, arrivals: &mut Vec<Arrival>, fraction: f64) {
    let rate =
        setting.demand * fraction * RATE_HEADROOM * (MEAN_PROMPT_TOKENS + MEAN_OUTPUT_TOKENS);
    let mut level = rate * BURST_SECONDS;
    let mut last = Instant::default();
    arrivals.retain(|arrival| {
        level = (level + arrival.at.since(last).as_secs_f64() * rate).min(rate * BURST_SECONDS);
        last = arrival.at;
        let tokens = (arrival.prompt + arrival.output) as f64;
        let admitted = tokens <= level;
        if admitted {
            level -= tokens;
        }
        admitted
    });
}
