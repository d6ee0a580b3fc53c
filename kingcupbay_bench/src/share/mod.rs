//! Rate shares against baselines, in simulated time.
//!
//! [`load`] draws the requests, [`sim`] runs them against a policy, and [`score`]
//! compares its decisions with an exact token bucket. The policies are [`shared`],
//! which is the core's, and the baselines [`split`] and [`chunk`].

mod chunk;
mod load;
mod queue;
mod score;
mod shared;
mod sim;
mod split;

use self::{
    chunk::Chunks,
    score::Score,
    shared::Shared,
    sim::{Policy, Scenario},
    split::Split,
};

/// Time before measuring, in which the load settles.
const WARM_UP_SECONDS: u64 = 60;

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        name: "skewed 10:1",
        measured: (WARM_UP_SECONDS, WARM_UP_SECONDS + 600),
        outage: None,
        kill: None,
    },
    Scenario {
        name: "table out 10 min",
        measured: (WARM_UP_SECONDS, WARM_UP_SECONDS + 720),
        outage: Some((WARM_UP_SECONDS + 60, WARM_UP_SECONDS + 660)),
        kill: None,
    },
    Scenario {
        name: "entry killed",
        measured: (WARM_UP_SECONDS, WARM_UP_SECONDS + 60),
        outage: None,
        kill: Some(WARM_UP_SECONDS),
    },
];

/// Settings of the experiment.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Runs of each scenario and policy.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Burst in tokens of each organisation; its rate is 2,000 per second.
    #[arg(long, default_value_t = 60_000)]
    burst: u64,
}

/// Name of a policy and the function that creates it for a burst.
type PolicyFactory = (&'static str, fn(u64) -> Policy);

const POLICIES: [PolicyFactory; 3] = [
    ("conserved shares", |burst| Policy::Shared(Shared::new(burst))),
    ("equal split, lease", |burst| Policy::Split(Split::new(burst))),
    ("chunks from table", |burst| Policy::Chunks(Chunks::new(burst))),
];

/// Runs the experiment and prints its table.
pub(crate) fn run(args: &Args) {
    println!(
        "{} entries, {} organisations, {} tokens/s, burst {}, 95 % of rate, {} seeds",
        load::ENTRIES,
        load::ORGANISATIONS,
        load::TOKENS_PER_SECOND,
        args.burst,
        args.seeds
    );
    println!(
        "| scenario | policy | requests | tokens over | refused | inside the rate | % | messages/s | bytes/s of an entry | asks/s | table ops/s | longest wait ms | causes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in SCENARIOS {
        for (name, make) in POLICIES {
            let run = |seed| sim::run(scenario, args.burst, seed, make(args.burst));
            let mut score = run(0);
            (1..args.seeds).for_each(|seed| score.add(&run(seed)));
            print_row(scenario.name, name, &score, args.seeds);
        }
    }
}

fn print_row(scenario: &str, policy: &str, score: &Score, runs: u64) {
    let seconds = score.seconds() * runs as f64;
    let wrongful: u64 = score.wrongful.values().sum();
    let causes: Vec<_> =
        score.wrongful.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
    println!(
        "| {scenario} | {policy} | {} | {} | {} | {wrongful} | {:.3} | {:.1} | {:.0} | {:.2} | {:.2} | {} | {} |",
        score.requests,
        score.over_tokens,
        score.refused,
        100.0 * wrongful as f64 / score.requests as f64,
        score.messages as f64 / seconds,
        score.bytes as f64 / seconds / load::ENTRIES as f64,
        score.asks as f64 / seconds,
        score.table_operations as f64 / seconds,
        score.longest_wait.as_millis(),
        causes.join(", "),
    );
}
