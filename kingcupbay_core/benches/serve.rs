//! Time and memory of the serving decisions at the target size of a fleet.

use std::{fs, hint::black_box, time};

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Serves, Upstream},
    },
    id::{Id, Name, OrganisationId, RequestId, UpstreamId, VersionId},
    queue::{self, Entry, Queue, Wait},
    route::{self, Report, Router},
    slot::{self, Action, Outcome, Slots},
    time::Instant,
};

const ADAPTERS: u32 = 67_000;
const UPSTREAMS: u32 = 600;
const BASES: u32 = 3;
const ZONES: u32 = 5;

/// Number of decisions timed for each line of output.
const ROUNDS: u64 = 200_000;

fn main() {
    println!("{ADAPTERS} adapters, {UPSTREAMS} upstreams, {BASES} base models, {ZONES} zones\n");
    // With 112 slots, the fleet holds every adapter about once.
    for slots in [16, 112] {
        bench_router(slots);
    }
    bench_queue();
    bench_slots();
}

fn name(text: &str) -> Name {
    text.parse().expect("names of the bench are valid")
}

fn base(raw: u32) -> Name {
    name(&format!("base-{}", raw % BASES))
}

fn config() -> Config {
    let mut config = Config::default();
    for number in 0..UPSTREAMS {
        let upstream = Upstream {
            name: name(&format!("runner-{number}")),
            host: name(&format!("host-{number}")),
            address: format!("127.0.0.1:{}", 10_000 + number),
            zone: name(&format!("zone-{}", number / BASES % ZONES)),
            serves: Serves::Model { base: base(number), slots: 16, fenced: true },
            leaving: false,
        };
        config.change(&Change::SetUpstream { upstream }).expect("the upstream is valid");
    }
    config
}

/// Returns the versions resident on an upstream, taken from its base model in turn.
fn loaded(upstream: u32, slots: u32) -> Vec<VersionId> {
    let first = upstream / BASES * slots;
    let each = ADAPTERS / BASES;
    let version = |slot| ((first + slot) % each) * BASES + upstream % BASES;
    (0..slots).map(|slot| VersionId::from_raw(version(slot))).collect()
}

fn report(upstream: u32, slots: u32, seq: u64) -> Report {
    let running = 4 + upstream % 5;
    Report { loaded: loaded(upstream, slots), running, waiting: 0, places: 16, seq }
}

fn bench_router(slots: u32) {
    let before = resident_kib();
    let mut router = Router::new(route::Limits::default(), 1);
    router.on_config(&config());
    for upstream in 0..UPSTREAMS {
        router.on_report(UpstreamId::from_raw(upstream), &report(upstream, slots, 1));
    }
    let bases: Vec<Name> = (0..BASES).map(base).collect();
    let resident_versions = UPSTREAMS * slots;
    let mut draw = random_numbers();
    // One request per 8 ms, as 120 entries share 15,000 requests per second.
    let now = |round: u64| Instant::from_micros(round * 8_000);
    print_timings(&format!("route, {slots} slots, held version"), |round| {
        let upstream = draw(u64::from(UPSTREAMS)) as u32;
        let version = loaded(upstream, slots)[draw(u64::from(slots)) as usize];
        let (base, now) = (&bases[(version.raw() % BASES) as usize], now(round));
        measure(|| router.choose(now, version, base, &[]))
    });
    print_timings(&format!("route, {slots} slots, any version"), |round| {
        let version = VersionId::from_raw(draw(u64::from(ADAPTERS)) as u32);
        let (base, now) = (&bases[(version.raw() % BASES) as usize], now(ROUNDS + round));
        measure(|| router.choose(now, version, base, &[]))
    });
    print_timings(&format!("report, {slots} slots, two changes"), |round| {
        let upstream = (round % u64::from(UPSTREAMS)) as u32;
        let mut report = report(upstream, slots, 2 + round);
        report.loaded[0] = VersionId::from_raw(draw(u64::from(ADAPTERS)) as u32);
        measure(|| router.on_report(UpstreamId::from_raw(upstream), &report))
    });
    println!(
        "resident versions {resident_versions}, router's memory {} KiB\n",
        resident_kib() - before
    );
    drop(router);
}

fn bench_queue() {
    let limits = queue::Limits { max_waiting: 2_000, ..queue::Limits::default() };
    let mut queue = Queue::new(limits);
    let mut draw = random_numbers();
    let entry = |round: u64, draw: &mut dyn FnMut(u64) -> u64| Entry {
        request: RequestId(u128::from(round).to_be_bytes()),
        organisation: OrganisationId::from_raw(draw(50) as u32),
        version: VersionId::from_raw(draw(200) as u32),
        tokens: 600,
        deadline: Instant::from_micros(u64::MAX / 2),
        enqueued: Instant::from_micros(round),
    };
    for round in 0..1_000 {
        queue.push(Instant::from_micros(round), entry(round, &mut draw));
    }
    let mut started = Vec::new();
    print_timings("queue, 1,000 wait: push and start", |round| {
        let now = Instant::from_micros(1_000 + round);
        let entry = entry(1_000 + round, &mut draw);
        let duration = measure(|| {
            queue.push(now, entry);
            started.extend(queue.start_next(now, |version| version.raw() % 8 != 0));
        });
        if let Some(done) = started.pop() {
            queue.finish(done.request, 500);
        }
        duration
    });
    print_timings("queue, 1,000 wait: expire", |round| {
        measure(|| queue.expire(Instant::from_micros(ROUNDS + round)))
    });
    println!("requests that wait at the end {}\n", queue.len());
}

fn bench_slots() {
    let mut slots = Slots::new(slot::Limits::default(), 16, 1);
    let mut draw = random_numbers();
    print_timings("slots, 16: plan and answers for one wait", |round| {
        let now = Instant::from_micros(round * 8_000);
        let version = VersionId::from_raw((draw(60) * draw(60) / 60) as u32);
        let organisation = OrganisationId::from_raw(version.raw() % 5);
        let waits = [Wait { version, organisation, count: 1, oldest: now }];
        slots.touch(now, version);
        measure(|| {
            for _ in 0..2 {
                for action in slots.plan(now, &waits, 1) {
                    match action {
                        Action::Load { order, .. } => slots.on_load(now, order, Outcome::Done),
                        Action::Unload { order, .. } => slots.on_unload(now, order, Outcome::Done),
                        _ => Vec::new(),
                    };
                }
            }
        })
    });
}

/// Returns a generator of numbers below a bound, the same in every run.
fn random_numbers() -> impl FnMut(u64) -> u64 {
    let mut state: u64 = 1;
    move |below| {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    }
}

/// Returns how long `decide` takes.
fn measure<T>(decide: impl FnOnce() -> T) -> time::Duration {
    let start = time::Instant::now();
    black_box(decide());
    start.elapsed()
}

/// Runs `round` [`ROUNDS`] times and prints the median, the 99th percentile and the
/// maximum duration.
fn print_timings(label: &str, mut round: impl FnMut(u64) -> time::Duration) {
    let mut durations: Vec<time::Duration> = (0..ROUNDS).map(&mut round).collect();
    durations.sort_unstable();
    let at = |quantile: f64| durations[((ROUNDS - 1) as f64 * quantile) as usize];
    let (median, p99, most) = (at(0.5), at(0.99), at(1.0));
    println!("{label:<44} median {median:>9.2?}   p99 {p99:>9.2?}   most {most:>9.2?}");
}

/// Returns the resident set size of this process in KiB, or 0 if it is unknown.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
