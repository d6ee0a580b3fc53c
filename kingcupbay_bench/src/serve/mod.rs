//! Routing, slots and queue against baselines, in simulated time.
//!
//! [`trace`] generates the arrivals, [`sim`] runs them through the core's router,
//! queues and slots or through the baseline ([`lru`] with random routing), with
//! models of the engines and of the weight [`store`]. Both policies receive the
//! same arrivals, restarts and failing loads. [`bound`] computes the loads of an
//! optimal cache that knows the future.

mod bound;
mod lru;
mod measure;
mod model;
mod random;
mod scheduler;
mod sim;
mod store;
mod table;
mod trace;

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use clap::ValueEnum;
use kingcupbay_core::time::Span;

use self::{
    scheduler::Tuning,
    sim::{Policy, Sim},
    table::Row,
    trace::{Flood, Setting},
};

/// Settings of the experiment.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Deployment whose runners and weight store are modelled.
    #[arg(long, value_enum, default_value_t = Size::District)]
    size: Size,
    /// Seeds, counted from 1.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Simulated seconds of each run.
    #[arg(long, default_value_t = 1_200)]
    seconds: u64,
    /// Threads, each with one seed at a time.
    #[arg(long, default_value_t = 4)]
    threads: u32,
    /// Requests that run at once on a runner.
    #[arg(long, default_value_t = 8)]
    places: usize,
    /// Adapter slots per runner.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Requests per second and runner.
    #[arg(long, default_value_t = 0.3)]
    demand: f64,
    /// Exponent of the adapters' popularity.
    #[arg(long, default_value_t = 1.5)]
    exponent: f64,
    /// Loads in flight per runner instead of eight for the fleet.
    #[arg(long)]
    each: Option<u32>,
    /// Ratio to the mean load above which a runner is passed over.
    #[arg(long)]
    bound: Option<f64>,
    /// Requests allowed in addition to that ratio.
    #[arg(long)]
    slack: Option<u32>,
    /// Milliseconds to wait for a load before a pinned slot accepts no new requests.
    #[arg(long)]
    patience: Option<u64>,
    /// Half-life in seconds of the use counts that decide which version is evicted.
    #[arg(long)]
    half_life: Option<u64>,
    /// Loads in the budget that prefetching leaves unused.
    #[arg(long)]
    reserve: Option<u32>,
}

/// Sizes of the modelled deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
enum Size {
    /// 20 runners, 4 loads per second.
    District,
    /// 10 runners, 2 loads per second.
    Zahradka,
}

impl Args {
    fn setting(&self) -> Setting {
        let (runners, load_rate) = match self.size {
            Size::District => (20, 4.0),
            Size::Zahradka => (10, 2.0),
        };
        Setting {
            runners,
            slots: self.slots,
            batch_size: self.places,
            load_rate,
            runner_loads: self.each,
            demand: self.demand * f64::from(runners),
            exponent: self.exponent,
            seconds: self.seconds,
        }
    }

    fn tuning(&self) -> Tuning {
        let mut tuning = Tuning::default();
        let Tuning { slot, route, .. } = &mut tuning;
        route.load_ratio = self.bound.unwrap_or(route.load_ratio);
        route.load_slack = self.slack.unwrap_or(route.load_slack);
        slot.half_life = self.half_life.map_or(slot.half_life, Span::from_secs);
        slot.max_wait = self.patience.map_or(slot.max_wait, Span::from_millis);
        slot.prefetch_reserve = self.reserve.unwrap_or(slot.prefetch_reserve);
        tuning
    }
}

/// Runs the experiment and prints its table.
pub(crate) fn run(args: &Args) {
    let setting = args.setting();
    let tuning = args.tuning();
    let next = AtomicU64::new(1);
    let rows = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..args.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > args.seeds {
                        return;
                    }
                    let row = run_seed(&setting, tuning, seed);
                    rows.lock().expect("no thread stops midway").insert(seed, row);
                }
            });
        }
    });
    let rows: Vec<Row> = rows.into_inner().expect("no thread stops midway").into_values().collect();
    table::print(&setting, &rows);
}

fn run_seed(setting: &Setting, tuning: Tuning, seed: u64) -> Row {
    let floods = [Flood::None, Flood::Limited, Flood::Free];
    let traces = floods.map(|flood| trace::generate(setting, seed, flood));
    let all = |policy| {
        let run = |arrivals: &Vec<_>| Sim::new(setting, arrivals, seed, policy).run();
        [run(&traces[0]), run(&traces[1]), run(&traces[2])]
    };
    let slots = (setting.runners * setting.slots) as usize;
    Row {
        core: all(Policy::Core(tuning)),
        baseline: all(Policy::Baseline),
        min_loads: bound::min_loads(&traces[1], slots),
    }
}
