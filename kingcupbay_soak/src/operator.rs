//! Configurations and adapter versions that the operator writes to the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use kingcupbay_standin::{
    DeclaredConfig, DeclaredOrganisation, DeclaredRoute, Registry, announcement_row, evacuation_key,
};

use crate::fleet::ENGINE_SLOTS;

/// Organisation without a limit, whose key every configuration contains.
pub const WINERY: &str = "winery";

/// Organisation with a rate limit.
pub const CLUB: &str = "club";

/// Organisation whose key each configuration replaces.
pub const GUESTS: &str = "guests";

/// Rate of [`CLUB`] in tokens per second.
pub const CLUB_RATE: u64 = 6_000;

/// Time after which an upstream's answer is late.
const LATENCY_TARGET_MS: u64 = 500;

/// Requests per second to a cold engine.
pub const COLD_RATE: u64 = 10;

/// How long an engine is cold after it has started.
pub const COLD_SECS: u64 = 2;

/// Idle timeout of callers' connections.
pub const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Deadline of a request.
pub const TIMEOUT_MS: u64 = 8_000;

/// The operator: configuration numbers only grow, and a withdrawn key is never
/// issued again.
#[derive(Default)]
pub struct Operator {
    /// Numbers of all configurations.
    numbers: RefCell<BTreeSet<u64>>,
    versions: RefCell<BTreeMap<String, u32>>,
    /// Evacuated availability zones.
    evacuated: RefCell<BTreeSet<String>>,
}

impl Operator {
    /// Returns the number of the newest configuration.
    pub fn number(&self) -> u64 {
        self.numbers.borrow().last().copied().unwrap_or_default()
    }

    /// Returns the numbers of all configurations.
    pub fn numbers(&self) -> BTreeSet<u64> {
        self.numbers.borrow().clone()
    }

    /// Writes a configuration whose number is greater by `step`.
    pub fn configure(&self, store: &Registry, step: u64) {
        let number = self.number() + step;
        self.numbers.borrow_mut().insert(number);
        store.put("op", "config", &configuration(number).row());
    }

    /// Announces the next version of `adapter` and returns it.
    pub fn announce(&self, store: &Registry, adapter: &str) -> u32 {
        let mut versions = self.versions.borrow_mut();
        let version = versions.entry(adapter.to_owned()).or_insert(1);
        *version += 1;
        let (key, row) = announcement_row(adapter, *version);
        store.put("op", &key, &row);
        *version
    }

    /// Evacuates the availability zone `zone`, or restores it.
    pub fn evacuate(&self, store: &Registry, zone: &str, evacuated: bool) {
        let mut zones = self.evacuated.borrow_mut();
        if evacuated {
            zones.insert(zone.to_owned());
            store.put_bytes("op", &evacuation_key(zone), b"{}");
        } else {
            zones.remove(zone);
            store.remove("op", &evacuation_key(zone));
        }
    }

    /// Writes everything again, once the store has come back from an older copy.
    pub fn write_again(&self, store: &Registry) {
        store.put("op", "config", &configuration(self.number()).row());
        for (adapter, version) in &*self.versions.borrow() {
            let (key, row) = announcement_row(adapter, *version);
            store.put("op", &key, &row);
        }
        let written = store.keys("op");
        for key in written.iter().filter_map(|key| key.strip_prefix("evacuate/")) {
            if !self.evacuated.borrow().contains(key) {
                store.remove("op", &evacuation_key(key));
            }
        }
        for zone in &*self.evacuated.borrow() {
            store.put_bytes("op", &evacuation_key(zone), b"{}");
        }
    }

    /// Returns the newest announced version of `adapter`.
    pub fn version(&self, adapter: &str) -> u32 {
        self.versions.borrow().get(adapter).copied().unwrap_or(1)
    }
}

/// Returns the key of [`GUESTS`] in the configuration `number`.
pub fn guest_key(number: u64) -> String {
    format!("{GUESTS}-key-{number}")
}

/// Returns the number of the configuration that contains a guest key.
pub fn guest_key_number(key: &str) -> Option<u64> {
    key.strip_prefix(GUESTS)?.strip_prefix("-key-")?.parse().ok()
}

/// Returns the key that an organisation keeps in all configurations.
pub fn permanent_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

fn configuration(number: u64) -> DeclaredConfig {
    let route = |name, kind, service, max_attempts| DeclaredRoute {
        name,
        kind,
        resumable: name == "tour",
        service,
        max_attempts,
    };
    let organisation = |name: &str, key: String, rate: u64| DeclaredOrganisation {
        name: name.to_owned(),
        keys: vec![key],
        rate,
        plain_tokens: 10,
    };
    DeclaredConfig {
        number,
        routes: vec![
            route("seats", "idempotent", "desk", 2),
            route("book", "non_idempotent", "desk", 1),
            route("tour", "stream", "writer", 2),
            route("note", "stream", "writer", 1),
        ],
        organisations: vec![
            organisation(WINERY, permanent_key(WINERY), 0),
            organisation(CLUB, permanent_key(CLUB), CLUB_RATE),
            organisation(GUESTS, guest_key(number), 0),
        ],
        timeout: TIMEOUT_MS,
        latency_target: LATENCY_TARGET_MS,
        adapter_slots: ENGINE_SLOTS,
        cold_rate: COLD_RATE,
        cold_secs: COLD_SECS,
        idle_timeout: IDLE_TIMEOUT_MS,
    }
}
