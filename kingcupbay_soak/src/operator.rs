//! What the operator writes to the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use kingcupbay_standin::{
    DeclaredConfig, DeclaredOrganisation, DeclaredRoute, Registry, announcement_row,
};

use crate::fleet::PLACES;

/// The organisation whose key every configuration holds, without a limit.
pub const WINERY: &str = "winery";

/// The organisation with a limit.
pub const CLUB: &str = "club";

/// The organisation whose key each configuration replaces.
pub const GUESTS: &str = "guests";

/// Tokens a second and burst of the club.
pub const CLUB_RATE: u64 = 6_000;

/// Time after which an upstream's answer is late, in milliseconds.
const AIM: u64 = 500;

/// Longest wait of a caller, in milliseconds.
pub const TIMEOUT: u64 = 8_000;

/// The operator: numbers only grow, and a key once withdrawn never comes back.
#[derive(Default)]
pub struct Operator {
    /// Of every configuration.
    numbers: RefCell<BTreeSet<u64>>,
    versions: RefCell<BTreeMap<String, u32>>,
}

impl Operator {
    /// Number of the newest configuration.
    pub fn number(&self) -> u64 {
        self.numbers.borrow().last().copied().unwrap_or_default()
    }

    /// Numbers of all configurations.
    pub fn numbers(&self) -> BTreeSet<u64> {
        self.numbers.borrow().clone()
    }

    /// Writes a configuration that is `step` newer.
    pub fn configure(&self, store: &Registry, step: u64) {
        let number = self.number() + step;
        self.numbers.borrow_mut().insert(number);
        store.put("op", "config", &configuration(number).row());
    }

    /// Announces the next version of `adapter`; the version.
    pub fn announce(&self, store: &Registry, adapter: &str) -> u32 {
        let mut versions = self.versions.borrow_mut();
        let version = versions.entry(adapter.to_owned()).or_insert(1);
        *version += 1;
        let (key, row) = announcement_row(adapter, *version);
        store.put("op", &key, &row);
        *version
    }

    /// Newest announced version of `adapter`.
    pub fn version(&self, adapter: &str) -> u32 {
        self.versions.borrow().get(adapter).copied().unwrap_or(1)
    }
}

/// The key of the guests under the configuration `number`.
pub fn guest_key(number: u64) -> String {
    format!("{GUESTS}-key-{number}")
}

/// The configuration that [`guest_key`] made `key` for.
pub fn number_of(key: &str) -> Option<u64> {
    key.strip_prefix(GUESTS)?.strip_prefix("-key-")?.parse().ok()
}

/// The lasting key of an organisation.
pub fn lasting_key(organisation: &str) -> String {
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
            organisation(WINERY, lasting_key(WINERY), 0),
            organisation(CLUB, lasting_key(CLUB), CLUB_RATE),
            organisation(GUESTS, guest_key(number), 0),
        ],
        timeout: TIMEOUT,
        latency_target: AIM,
        adapter_slots: PLACES,
    }
}
