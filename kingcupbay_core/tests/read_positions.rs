//! Read positions: listeners that learn changes of the store's tables from readers.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    config::model::Role,
    deployment::{catalogue::Member, read_positions::ReadPositions, readers::is_reader},
    time::{Instant, Span},
    wire::read_position::{ChangeKind, ReadPosition, Table, TableChange},
};

const UPSTREAMS: Table = Table::Upstreams;

fn at(millis: u64) -> Instant {
    Instant::from_micros(5_000_000 + millis * 1_000)
}

fn gone(version: u64) -> TableChange {
    TableChange { version, kind: ChangeKind::UpstreamGone(format!("desk-{version}")) }
}

/// A reader that knows the upstreams as of `version`.
fn reader(version: u64) -> ReadPositions {
    let mut positions = ReadPositions::default();
    positions.on_list(at(0), UPSTREAMS, version);
    positions
}

fn report(positions: &mut ReadPositions, now: Instant) -> ReadPosition {
    positions.report(now).remove(&UPSTREAMS).unwrap()
}

fn versions(changes: &[TableChange]) -> Vec<u64> {
    changes.iter().map(|change| change.version).collect()
}

fn entry(zone: &str, host: &str, incarnation: u64) -> Member {
    Member {
        host: host.to_owned(),
        role: Role::Entry,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.to_owned(),
        incarnation,
    }
}

#[test]
fn each_zone_has_a_reader_and_a_small_fleet_reads_with_all() {
    for (zones, each, readers) in [(3, 1, 3), (1, 4, 4), (3, 2, 4), (5, 14, 5), (5, 68, 5)] {
        let member =
            |n: u64| entry(&format!("zone-{}", n % zones), &format!("entry-{n}"), 1_000 - n);
        let members: Vec<Member> = (0..zones * each).map(member).collect();
        let reading: Vec<&Member> =
            members.iter().filter(|member| is_reader(members.iter(), &member.host)).collect();
        assert_eq!(reading.len(), readers, "{zones} zones of {each}");
        let mut covered = BTreeMap::new();
        reading.iter().for_each(|member| *covered.entry(&member.zone).or_insert(0) += 1);
        assert_eq!(covered.len() as u64, zones);
        assert!(is_reader(members.iter(), "entry-unlisted"));
    }
}

#[test]
fn a_listener_applies_what_a_reader_reports() {
    let mut reader = reader(10);
    let mut listener = ReadPositions::default();
    listener.on_list(at(0), UPSTREAMS, 12);
    reader.on_page(at(100), UPSTREAMS, 20, [gone(11), gone(15), gone(19)]);
    let changes = listener.on_position(at(110), UPSTREAMS, report(&mut reader, at(105)));
    assert_eq!(versions(&changes.unwrap()), [15, 19]);
    assert_eq!(listener.known(UPSTREAMS), 20);
    let again = listener.on_position(at(450), UPSTREAMS, report(&mut reader, at(440)));
    assert_eq!(versions(&again.unwrap()), [0; 0]);
}

/// The usage report with an upstream's departure is lost. The next one must repeat it.
#[test]
fn one_lost_report_hides_no_change() {
    let mut reader = reader(10);
    let mut listener = ReadPositions::default();
    listener.on_list(at(0), UPSTREAMS, 10);
    reader.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    drop(report(&mut reader, at(110)));
    let changes = listener.on_position(at(450), UPSTREAMS, report(&mut reader, at(450)));
    assert_eq!(versions(&changes.unwrap()), [15]);
}

/// Two usage reports with a change are lost. The listener must notice that, and read the
/// store itself from the last version up to which it knows every change.
#[test]
fn a_listener_that_missed_changes_reads_the_store() {
    let mut reader = reader(10);
    let mut listener = ReadPositions::default();
    listener.on_list(at(0), UPSTREAMS, 10);
    assert!(listener.on_position(at(0), UPSTREAMS, report(&mut reader, at(0))).is_some());
    reader.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    for now in [110, 450] {
        drop(report(&mut reader, at(now)));
    }
    for now in (800..3_000).step_by(300) {
        reader.on_page(at(now), UPSTREAMS, now, []);
        assert!(listener.on_position(at(now), UPSTREAMS, report(&mut reader, at(now))).is_none());
    }
    assert_eq!(listener.known(UPSTREAMS), 10);
    let over = at(UPSTREAMS.max_age().as_millis());
    assert_eq!(listener.remaining(over, UPSTREAMS), None);
}

/// All engines register at once after a restart, more than one usage report can carry.
/// The changes left out must not count as known, and must be read before the last read
/// position expires.
#[test]
fn changes_that_do_not_fit_are_read_at_once() {
    let mut reader = reader(10);
    let mut listener = ReadPositions::default();
    listener.on_list(at(0), UPSTREAMS, 10);
    assert!(listener.on_position(at(10), UPSTREAMS, report(&mut reader, at(10))).is_some());
    assert!(listener.remaining(at(10), UPSTREAMS).is_some());
    reader.on_page(at(100), UPSTREAMS, 99, (11..90).map(gone));
    let position = report(&mut reader, at(110));
    assert!(position.changes.len() < 79);
    assert!(listener.on_position(at(110), UPSTREAMS, position).is_none());
    assert_eq!(listener.known(UPSTREAMS), 10);
    assert_eq!(listener.remaining(at(110), UPSTREAMS), None);
}

/// A reader is frozen, killed or cut off from the store. Its last read position must
/// expire, so that the others read the store.
#[test]
fn an_expired_read_position_is_ignored() {
    let mut reader = reader(10);
    let mut listener = ReadPositions::default();
    listener.on_list(at(0), UPSTREAMS, 10);
    let limit = UPSTREAMS.max_age().as_millis();
    let position = report(&mut reader, at(limit - 200));
    assert!(listener.on_position(at(limit - 200), UPSTREAMS, position).is_some());
    assert!(listener.remaining(at(limit - 200), UPSTREAMS).is_some());
    assert_eq!(listener.remaining(at(limit), UPSTREAMS), None);
    assert!(reader.report(at(limit + 1)).is_empty());
}

/// A read of the store lags behind what another reader has reported. If it were reported
/// as new, it would keep listeners from reading the store.
#[test]
fn a_stale_read_is_not_reported() {
    let mut reader = reader(10);
    let newer = ReadPosition { version: 30, age: Span::ZERO, since: 10, changes: Vec::new() };
    assert!(reader.on_position(at(100), UPSTREAMS, newer).is_some());
    reader.on_page(at(200), UPSTREAMS, 20, []);
    let position = report(&mut reader, at(300));
    assert_eq!((position.version, position.age), (10, Span::from_millis(300)));
    assert_eq!(reader.known(UPSTREAMS), 30);
}

/// A reader's own usage reports do not carry changes that it learned from another reader.
/// They must not claim that nothing changed at those versions.
#[test]
fn a_reader_does_not_claim_another_readers_changes() {
    let (mut first, mut second, mut listener) = (reader(10), reader(10), reader(10));
    first.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    let changes = second.on_position(at(110), UPSTREAMS, report(&mut first, at(110)));
    assert_eq!(versions(&changes.unwrap()), [15]);
    second.on_page(at(200), UPSTREAMS, 30, [gone(25)]);
    let position = report(&mut second, at(210));
    assert!(listener.on_position(at(210), UPSTREAMS, position.clone()).is_none());
    let repeated = report(&mut first, at(450));
    assert_eq!(versions(&listener.on_position(at(450), UPSTREAMS, repeated).unwrap()), [15]);
    assert_eq!(versions(&listener.on_position(at(460), UPSTREAMS, position).unwrap()), [25]);
}

/// A newer configuration is too large for a usage report. A listener that learns of it
/// must read the store at once, before the read position expires.
#[test]
fn a_newer_configuration_is_read_at_once() {
    let mut reader = ReadPositions::default();
    let mut listener = ReadPositions::default();
    for positions in [&mut reader, &mut listener] {
        positions.on_list(at(0), Table::Operator, 10);
    }
    let mut reported = reader.report(at(10));
    assert!(
        listener
            .on_position(at(10), Table::Operator, reported.remove(&Table::Operator).unwrap())
            .is_some()
    );
    assert!(listener.remaining(at(10), Table::Operator).is_some());
    reader.on_page(at(20), Table::Operator, 20, []);
    reader.on_unreported(Table::Operator, 19);
    let mut reported = reader.report(at(30));
    assert!(
        listener
            .on_position(at(30), Table::Operator, reported.remove(&Table::Operator).unwrap())
            .is_none()
    );
    assert_eq!(listener.remaining(at(30), Table::Operator), None);
    listener.on_page(at(40), Table::Operator, 20, []);
    assert!(listener.remaining(at(40), Table::Operator).is_some());
}

/// Readers and listeners with reads, usage reports, losses and restarts in any order: no
/// listener may ever skip a change. A generator with a fixed seed picks an entry and its
/// action for each step.
#[test]
fn no_change_is_skipped_in_any_order() {
    for seed in 0..400 {
        let mut draw = draws(seed);
        let mut store: Vec<u64> = Vec::new();
        let mut newest = 1;
        let mut entries: Vec<(ReadPositions, Vec<u64>)> = Vec::new();
        for _ in 0..4 {
            entries.push((reader(1), Vec::new()));
        }
        for step in 1..200_u64 {
            let now = at(step * 60);
            if draw(3) == 0 {
                newest += 1 + draw(3);
                store.push(newest);
            }
            newest += draw(2);
            let who = draw(4) as usize;
            match draw(9) {
                0..=2 => read(now, &mut entries[who], &store, newest),
                3..=5 => {
                    let reported = entries[who].0.report(now);
                    for other in (0..4).filter(|&other| other != who) {
                        if draw(3) > 0 {
                            receive(now, &mut entries[other], &reported);
                        }
                    }
                }
                6 => {
                    entries[who] = (ReadPositions::default(), store.clone());
                    entries[who].0.on_list(now, UPSTREAMS, newest);
                }
                _ => {}
            }
            for (positions, applied) in &entries {
                let known = positions.known(UPSTREAMS);
                let due: Vec<u64> = store.iter().copied().filter(|&seen| seen <= known).collect();
                assert_eq!(*applied, due, "seed {seed}, step {step}");
            }
        }
    }
}

fn read(now: Instant, entry: &mut (ReadPositions, Vec<u64>), store: &[u64], newest: u64) {
    let known = entry.0.known(UPSTREAMS);
    let changes: Vec<TableChange> =
        store.iter().filter(|&&seen| seen > known).map(|&seen| gone(seen)).collect();
    entry.1.extend(versions(&changes));
    entry.0.on_page(now, UPSTREAMS, newest, changes);
}

fn receive(
    now: Instant,
    entry: &mut (ReadPositions, Vec<u64>),
    reported: &BTreeMap<Table, ReadPosition>,
) {
    for (&table, position) in reported {
        if let Some(changes) = entry.0.on_position(now, table, position.clone()) {
            entry.1.extend(versions(&changes));
        }
    }
}

/// Returns a generator of numbers below a bound, which depend only on the seed.
fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |bound| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 33) % bound
    }
}

#[test]
fn a_read_position_states_its_age() {
    let mut reader = reader(10);
    let position = report(&mut reader, at(300));
    assert_eq!(position.age, Span::from_millis(300));
}

/// A denied request names the age of the configuration that decided. What other entries report
/// does not renew it, nor does an answer that is older than what is known.
#[test]
fn the_own_age_counts_from_the_last_answer_of_the_store() {
    let mut positions = ReadPositions::default();
    let age = |positions: &ReadPositions, now| positions.own_age(at(now), Table::Operator);
    assert_eq!(age(&positions, 0), None);
    positions.on_list(at(100), Table::Operator, 7);
    assert_eq!(age(&positions, 300), Some(Span::from_millis(200)));
    let position = ReadPosition { version: 9, age: Span::ZERO, since: 7, changes: Vec::new() };
    assert!(positions.on_position(at(400), Table::Operator, position).is_some());
    positions.on_page(at(500), Table::Operator, 8, []);
    assert_eq!(age(&positions, 500), Some(Span::from_millis(400)));
    positions.on_page(at(600), Table::Operator, 9, []);
    assert_eq!(age(&positions, 600), Some(Span::ZERO));
    assert!(!positions.is_behind(Table::Operator));
    let ahead = ReadPosition { version: 12, age: Span::ZERO, since: 11, changes: Vec::new() };
    assert!(positions.on_position(at(700), Table::Operator, ahead).is_none());
    assert!(positions.is_behind(Table::Operator));
}
