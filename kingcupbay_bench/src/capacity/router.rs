//! The router: its memory and its decisions.

use kingcupbay_core::{
    config::model::Config,
    id::{Id, Name, UpstreamId, VersionId},
    route::{Limits, Report, Router},
    time::Instant,
};

use super::{
    ADAPTERS, Figures, Table,
    config::{base, upstream},
    measure::{keep, mean, median, resident},
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

/// Decisions timed.
const ROUNDS: u32 = 50_000;

/// Routers whose memory is told together.
const COPIES: u32 = 32;

/// Adapter slots of each upstream.
const SLOTS: u32 = 16;

/// Adapters that one upstream answers for: 67,000 before 600.
const SHARE: u32 = 112;

/// Base models of the target.
const BASES: u32 = 3;

fn loaded(upstream: u32, adapters: u32) -> Vec<VersionId> {
    let first = upstream / BASES * SLOTS;
    let each = adapters / BASES;
    let version = |slot| (first + slot) % each * BASES + upstream % BASES;
    (0..SLOTS).map(|slot| VersionId::from_raw(version(slot))).collect()
}

fn upstreams(adapters: u32) -> u32 {
    adapters.div_ceil(SHARE).max(BASES)
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

/// KiB of one router, out of many so that pages do not blur it.
pub(super) fn memory(adapters: u32) -> f64 {
    let config = config(upstreams(adapters));
    let before = resident();
    for _ in 0..COPIES {
        keep(router(&config, adapters));
    }
    (resident() - before) / 1_024.0 / f64::from(COPIES)
}

pub(super) fn figures(adapters: u32) -> Figures {
    let upstreams = upstreams(adapters);
    let config = config(upstreams);
    let mut router = router(&config, adapters);
    let taken = median(|| router.on_config(&config));
    let bases: Vec<Name> = (0..BASES).map(base).collect();
    let now = |round: u32| Instant::from_micros(u64::from(round) * 8_000);
    // Draws are spread by a prime stride, so that no cache holds them all.
    let draw = |round: u32, below: u32| round.wrapping_mul(7_919) % below;
    let held: Vec<_> = (0..upstreams).flat_map(|upstream| loaded(upstream, adapters)).collect();
    let choose = |router: &mut Router, at: u32, version: VersionId| {
        router.choose(now(at), version, &bases[(version.raw() % BASES) as usize], &[])
    };
    let count = held.len() as u32;
    let known = mean(ROUNDS, |at| choose(&mut router, at, held[draw(at, count) as usize]));
    let any = mean(ROUNDS, |at| {
        choose(&mut router, ROUNDS + at, VersionId::from_raw(draw(at, adapters)))
    });
    let reports: Vec<_> = (0..upstreams)
        .map(|upstream| {
            let mut report = report(upstream, adapters, 2);
            report.loaded[0] = VersionId::from_raw(draw(upstream, adapters));
            report
        })
        .collect();
    let reported =
        mean(upstreams, |at| router.on_report(UpstreamId::from_raw(at), &reports[at as usize]));
    vec![known, any, reported, taken / 1e3]
}
