//! Measures the configuration: its memory, its snapshot and a patch.

use std::collections::BTreeSet;

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, KeyHash, Role, Serves, Upstream},
        patch::Patch,
    },
    gossip::message::Snapshot,
    id::{Name, RequestId},
    standing::accept,
};

use super::{
    ADAPTERS, Figures, Table,
    measure::{leak, mean_cpu_micros, median_cpu_micros, resident_bytes},
};

pub(super) const TABLE: Table = Table {
    title: "configuration, by adapters",
    sizes: ADAPTERS,
    names: &[
        "snapshot, MiB",
        "snapshot encoded, ms",
        "snapshot decoded, ms",
        "one patch applied, ms",
        "key looked up, us",
        "adapter version looked up, us",
        "patch between daemons, bytes",
        "patch written to the table, bytes",
    ],
};

const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Number of base models in the target fleet.
const BASE_MODELS: u32 = 3;

/// Access keys per organisation: one in use and one to change to.
const KEYS_PER_ORGANISATION: u32 = 2;

/// Number of lookups that are timed.
const TIMED_LOOKUPS: u32 = 2_000;

/// Returns the organisations, upstreams and members of a fleet with that many
/// adapters.
fn other_rows(adapters: u32) -> (u32, u32, u32) {
    match adapters {
        ..10_000 => (5, 36, 26),
        10_000..50_000 => (100, 180, 100),
        _ => (500, 600, 340),
    }
}

pub(super) fn name(text: &str) -> Name {
    text.parse().expect("names of the experiment are valid")
}

fn adapter(number: u32) -> Name {
    name(&format!("adapter-{number:06}"))
}

fn organisation(number: u32) -> Name {
    name(&format!("organisation-{number:03}"))
}

/// Returns the name of a base model.
pub(super) fn base(number: u32) -> Name {
    name(&format!("base-{}", number % BASE_MODELS))
}

/// Creates a configuration with that many adapters of one version each.
fn config(adapters: u32) -> Config {
    let (organisations, upstreams, members) = other_rows(adapters);
    let mut config = Config::default();
    for number in 0..organisations {
        let name = organisation(number);
        change(&mut config, Change::SetOrganisation { name, rate: 2_000, burst: 60_000 });
        for key in 0..KEYS_PER_ORGANISATION {
            let label = self::name(&format!("key-{number:03}-{key}"));
            let hash = KeyHash::of(label.as_str());
            let organisation = organisation(number);
            change(&mut config, Change::IssueKey { label, organisation, hash });
        }
    }
    for number in 0..upstreams {
        change(&mut config, upstream(number));
    }
    for number in 0..members {
        change(&mut config, join(number));
    }
    for number in 0..adapters {
        let organisation = organisation(number % organisations);
        let base = base(number);
        let name = adapter(number);
        change(&mut config, Change::SetAdapter { name, organisation, base, default: None });
        change(&mut config, version(number, "v1"));
    }
    config
}

fn change(config: &mut Config, change: Change) {
    config.change(&change).expect("the rows of the experiment are valid");
}

fn version(number: u32, label: &str) -> Change {
    let source = format!("weights/{}/{label}", adapter(number).as_str());
    Change::SetVersion { adapter: adapter(number), label: name(label), source }
}

/// Returns the change that adds an upstream.
pub(super) fn upstream(number: u32) -> Change {
    let upstream = Upstream {
        name: name(&format!("runner-{number:03}")),
        host: name(&format!("host-{number:03}")),
        address: format!("127.0.0.1:{}", 10_000 + number),
        zone: name(&format!("zone-{}", number / BASE_MODELS % 5)),
        serves: Serves::Model { base: base(number), slots: 16, fenced: true },
        leaving: false,
    };
    Change::SetUpstream { upstream }
}

/// Returns the change by which a member joins.
pub(super) fn join(number: u32) -> Change {
    Change::Join {
        host: name(&format!("host-{number:03}")),
        address: format!("10.0.{}.{}:7001", number / 250, number % 250),
        zone: name(&format!("zone-{}", number % 5)),
        role: Role::Upstream,
        incarnation: incarnation(number),
    }
}

/// Returns a member's incarnation, which real daemons draw at random.
pub(super) fn incarnation(number: u32) -> u64 {
    // The generator that picks peers advances its state by a constant. This factor
    // differs from it: seeds one step apart would give every daemon the peers of
    // another one, one round later.
    (u64::from(number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(32)
}

/// Returns an operator's patch with `changes` against a configuration.
pub(super) fn patch(against: &Config, changes: Vec<Change>) -> Patch {
    let author = "operator@example".to_owned();
    Patch { id: RequestId([7; 16]), against: against.number, author, changes }
}

fn snapshot(adapters: u32) -> Snapshot {
    Snapshot { config: config(adapters), before: BTreeSet::new() }
}

/// Returns the memory of a configuration decoded from a snapshot, in KiB.
pub(super) fn memory(adapters: u32) -> f64 {
    let snapshot = snapshot(adapters);
    let bytes = rmp_serde::to_vec(&snapshot).expect("a configuration serialises");
    let before = resident_bytes();
    let copy: Snapshot = rmp_serde::from_slice(&bytes).expect("it was encoded here");
    let grown = resident_bytes() - before;
    leak((snapshot, copy));
    grown / 1_024.0
}

/// Measures the figures of [`TABLE`].
pub(super) fn figures(adapters: u32) -> Figures {
    let snapshot = snapshot(adapters);
    let bytes = rmp_serde::to_vec(&snapshot).expect("a configuration serialises");
    let encoded = median_cpu_micros(|| rmp_serde::to_vec(&snapshot));
    let decoded = median_cpu_micros(|| rmp_serde::from_slice::<Snapshot>(&bytes));
    let config = &snapshot.config;
    // The patch that operators send most often: a new version of one adapter.
    let patch = patch(config, vec![version(adapters / 2, "v2")]);
    let applied = median_cpu_micros(|| config.patched(&patch));
    let (organisations, ..) = other_rows(adapters);
    let key = mean_cpu_micros(TIMED_LOOKUPS, |round| {
        config.key(&format!("key-{:03}-0", round % organisations))
    });
    let models: Vec<String> = (0..TIMED_LOOKUPS)
        .map(|at| format!("{}@v1", adapter(at * 7 % adapters).as_str()))
        .collect();
    let owner = |round| {
        let adapter = config.adapter_names[&adapter(round * 7 % adapters)];
        config.adapters.get(adapter).expect("the row exists").organisation
    };
    let owners: Vec<_> = (0..TIMED_LOOKUPS).map(owner).collect();
    let version = mean_cpu_micros(TIMED_LOOKUPS, |at| {
        config.version(owners[at as usize], &models[at as usize])
    });
    let encoded_patch = rmp_serde::to_vec(&patch).expect("a patch serialises");
    let written = accept::patch_txn(Default::default(), 1, &patch);
    let written = serde_json::to_vec(&written).expect("a transaction serialises");
    vec![
        bytes.len() as f64 / BYTES_PER_MIB,
        encoded / 1e3,
        decoded / 1e3,
        applied / 1e3,
        key,
        version,
        encoded_patch.len() as f64,
        written.len() as f64,
    ]
}
