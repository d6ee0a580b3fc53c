//! Evacuated availability zones: which state is the newest, and what it means for
//! upstreams.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    deployment::{catalogue::Catalogue, evacuations::Evacuations, model::Instance},
    time::{Instant, Span},
    wire::{evacuation::ZoneState, rows::version_in_era},
};

fn rows(rows: &[(&str, u64)]) -> BTreeMap<String, u64> {
    rows.iter().map(|&(zone, version)| (zone.to_owned(), version)).collect()
}

fn instance(id: &str, zone: &str) -> Instance {
    Instance {
        id: id.into(),
        service: "writer".into(),
        address: format!("10.0.0.{}:80", id.len()).parse().unwrap(),
        zone: zone.into(),
        slots: 6,
        leaving: false,
        born: 1,
        count: 1,
        models: Vec::new(),
        version: 1,
        software: String::new(),
        cold_remaining: Span::ZERO,
    }
}

/// A peer that lags, or a read that was answered late, must neither evacuate a restored
/// zone again nor restore an evacuated one.
#[test]
fn an_older_state_changes_nothing() {
    let mut zones = Evacuations::default();
    assert!(zones.on_state("a", ZoneState::evacuated(5)));
    assert!(zones.on_state("a", ZoneState::restored(7)));
    assert!(!zones.on_state("a", ZoneState::evacuated(5)));
    assert!(!zones.is_evacuated("a"));
    assert!(zones.on_state("a", ZoneState::evacuated(9)));
    assert!(!zones.on_state("a", ZoneState::restored(7)));
    assert!(zones.is_evacuated("a"));
}

/// A zone is restored while this daemon's feed is down. The list that is read afterwards
/// does not name the zone, and no other message says that it is restored.
#[test]
fn a_zone_that_is_not_listed_is_restored() {
    let mut zones = Evacuations::default();
    zones.on_list(Instant::default(), 10, &rows(&[("a", 4), ("b", 6)]));
    assert_eq!(zones.evacuated().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(zones.on_list(Instant::default(), 20, &rows(&[("b", 6)])), ["a"]);
    assert_eq!(zones.evacuated().collect::<Vec<_>>(), ["b"]);
    assert!(!zones.on_state("a", ZoneState::evacuated(4)));
}

/// Another entry has reported an evacuation that is newer than the list, which was read
/// before it.
#[test]
fn a_list_from_before_an_evacuation_does_not_restore_the_zone() {
    let mut zones = Evacuations::default();
    zones.on_state("a", ZoneState::evacuated(30));
    assert!(zones.on_list(Instant::default(), 20, &rows(&[])).is_empty());
    assert!(zones.is_evacuated("a"));
}

/// One report of a change may be lost, and a full report repeats all zones for a daemon
/// that has just become reachable.
#[test]
fn a_change_is_reported_several_times() {
    let mut zones = Evacuations::default();
    zones.on_state("a", ZoneState::evacuated(3));
    assert!(zones.report(false).zones.contains_key("a"));
    assert!(zones.report(false).zones.contains_key("a"));
    while !zones.report(false).zones.is_empty() {}
    assert!(zones.report(true).zones.contains_key("a"));
}

/// No upstream of an evacuated zone is chosen, and a service whose zones are all evacuated
/// differs from one without upstreams.
#[test]
fn upstreams_of_an_evacuated_zone_get_no_requests() {
    let mut catalogue = Catalogue::default();
    let now = Instant::default();
    catalogue.on_instance(now, instance("x", "a"));
    catalogue.on_instance(now, instance("yy", "b"));
    let serving = |catalogue: &Catalogue| -> Vec<String> {
        catalogue.listed("writer").into_iter().map(|row| row.id.clone()).collect()
    };
    catalogue.evacuations_mut().on_state("a", ZoneState::evacuated(3));
    assert_eq!(serving(&catalogue), ["yy"]);
    assert!(!catalogue.is_evacuated("writer"));
    catalogue.evacuations_mut().on_state("b", ZoneState::evacuated(4));
    assert!(serving(&catalogue).is_empty());
    assert!(catalogue.is_evacuated("writer"));
    assert!(!catalogue.is_evacuated("another"));
    catalogue.evacuations_mut().on_state("a", ZoneState::restored(5));
    assert_eq!(serving(&catalogue), ["x"]);
}

/// An entry that has just started lists no evacuated zone. A peer that lags still reports
/// one that was restored before.
#[test]
fn a_report_from_before_the_first_list_changes_nothing() {
    let mut zones = Evacuations::default();
    zones.on_list(Instant::default(), 20, &rows(&[]));
    assert!(!zones.on_state("a", ZoneState::evacuated(4)));
    assert!(!zones.is_evacuated("a"));
    assert!(zones.on_state("a", ZoneState::evacuated(21)));
}

/// The store comes back from a copy that lacks an evacuation, also for an entry that has not
/// listed the rows yet and knows of it from another. The zone stays evacuated until the
/// operator has had the time to write it again, and not for good.
#[test]
fn a_zone_stays_evacuated_until_it_is_written_again() {
    let after = |secs| Instant::default() + Span::from_secs(secs);
    let mut zones = Evacuations::default();
    zones.on_state("a", ZoneState::evacuated(version_in_era(0, 30)));
    zones.on_list(after(0), version_in_era(1, 20), &rows(&[]));
    zones.on_list(after(2), version_in_era(1, 25), &rows(&[]));
    assert!(zones.is_evacuated("a") && zones.on_tick(after(4)).is_empty());
    assert_eq!(zones.on_tick(after(5)), ["a"]);
    assert!(!zones.is_evacuated("a"));
    assert!(zones.on_state("a", ZoneState::evacuated(version_in_era(1, 26))));
}
