//! Measures the router: its memory and the time of its decisions.

use kingcupbay_core::{
    config::model::Config,
    id::{Id, Name, UpstreamId, VersionId},
    route::{Limits, Report, Router},
    time::Instant,
};

use super::{
    ADAPTERS, Figures, Table,
    config::{base, upstream},
    measure::{leak, mean_cpu_micros, median_cpu_micros, resident_bytes},
};

pub(super) const TABLE: Table = Table {
    title: "router, by adapters",
    sizes: ADAPTERS,
    names: &[
        "route of a held version, us",
        "route of any version, us",
        "load report taken in, us",
        "configuration taken in, ms",
    ],
};

/// Number of decisions that are timed.
const TIMED_DECISIONS: u32 = 50_000;

/// Number of routers whose memory is measured together.
const MEASURED_ROUTERS: u32 = 32;

/// Adapter slots per upstream.
const SLOTS_PER_UPSTREAM: u32 = 16;

/// Adapters per upstream: 67,000 for 600 upstreams.
const ADAPTERS_PER_UPSTREAM: u32 = 112;

/// Number of base models in the target fleet.
const BASE_MODELS: u32 = 3;

fn loaded(upstream: u32, adapters: u32) -> Vec<VersionId> {
    let first = upstream / BASE_MODELS * SLOTS_PER_UPSTREAM;
    let each = adapters / BASE_MODELS;
    let version = |slot| (first + slot) % each * BASE_MODELS + upstream % BASE_MODELS;
    (0..SLOTS_PER_UPSTREAM).map(|slot| VersionId::from_raw(version(slot))).collect()
}

fn upstreams(adapters: u32) -> u32 {
    adapters.div_ceil(ADAPTERS_PER_UPSTREAM).max(BASE_MODELS)
}

fn config(upstreams: u32) -> Config {
    let mut config = Config::default();
    for number in 0..upstreams {
        config.change(&upstream(number)).expect("the row is valid");
    }
    config
}

fn report(upstream: u32, adapters: u32, seq: u64) -> Report {
    let loaded = loaded(upstream, adapters);
    Report { loaded, running: 4 + upstream % 5, waiting: 0, places: 16, seq }
}

fn router(config: &Config, adapters: u32) -> Router {
    let mut router = Router::new(Limits::default(), 1);
    router.on_config(config);
    for upstream in 0..upstreams(adapters) {
        router.on_report(UpstreamId::from_raw(upstream), &report(upstream, adapters, 1));
    }
    router
}

/// Returns the memory of a router in KiB, averaged over many because memory is
/// counted in whole pages.
pub(super) fn memory(adapters: u32) -> f64 {
    let config = config(upstreams(adapters));
    let before = resident_bytes();
    for _ in 0..MEASURED_ROUTERS {
        leak(router(&config, adapters));
    }
    (resident_bytes() - before) / 1_024.0 / f64::from(MEASURED_ROUTERS)
}

/// Measures the figures of [`TABLE`].
pub(super) fn figures(adapters: u32) -> Figures {
    let upstreams = upstreams(adapters);
    let config = config(upstreams);
    let mut router = router(&config, adapters);
    let config_micros = median_cpu_micros(|| router.on_config(&config));
    let bases: Vec<Name> = (0..BASE_MODELS).map(base).collect();
    let now = |round: u32| Instant::from_micros(u64::from(round) * 8_000);
    // A prime stride spreads the draws, so that no processor cache holds them all.
    let draw = |round: u32, bound: u32| round.wrapping_mul(7_919) % bound;
    let loaded_versions: Vec<_> =
        (0..upstreams).flat_map(|upstream| loaded(upstream, adapters)).collect();
    let choose = |router: &mut Router, at: u32, version: VersionId| {
        router.choose(now(at), version, &bases[(version.raw() % BASE_MODELS) as usize], &[])
    };
    let count = loaded_versions.len() as u32;
    let known = mean_cpu_micros(TIMED_DECISIONS, |at| {
        choose(&mut router, at, loaded_versions[draw(at, count) as usize])
    });
    let any = mean_cpu_micros(TIMED_DECISIONS, |at| {
        choose(&mut router, TIMED_DECISIONS + at, VersionId::from_raw(draw(at, adapters)))
    });
    let reports: Vec<_> = (0..upstreams)
        .map(|upstream| {
            let mut report = report(upstream, adapters, 2);
            report.loaded[0] = VersionId::from_raw(draw(upstream, adapters));
            report
        })
        .collect();
    let reported = mean_cpu_micros(upstreams, |at| {
        router.on_report(UpstreamId::from_raw(at), &reports[at as usize]);
    });
    vec![known, any, reported, config_micros / 1e3]
}
