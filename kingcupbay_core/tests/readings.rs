//! Entries that hear from readers what the store's tables hold.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    config::model::Role,
    deployment::{catalogue::Member, readers::reads, readings::Readings},
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
fn reader(version: u64) -> Readings {
    let mut readings = Readings::default();
    readings.on_list(at(0), UPSTREAMS, version, version);
    readings
}

fn tell(readings: &mut Readings, now: Instant) -> ReadPosition {
    readings.tell(now).remove(&UPSTREAMS).unwrap()
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
            members.iter().filter(|member| reads(members.iter(), &member.host)).collect();
        assert_eq!(reading.len(), readers, "{zones} zones of {each}");
        let mut covered = BTreeMap::new();
        reading.iter().for_each(|member| *covered.entry(&member.zone).or_insert(0) += 1);
        assert_eq!(covered.len() as u64, zones);
        assert!(reads(members.iter(), "entry-unlisted"));
    }
}

#[test]
fn a_listener_takes_over_what_a_reader_tells() {
    let mut reader = reader(10);
    let mut listener = Readings::default();
    listener.on_list(at(0), UPSTREAMS, 12, 12);
    reader.on_page(at(100), UPSTREAMS, 20, [gone(11), gone(15), gone(19)]);
    let taken = listener.on_reading(at(110), UPSTREAMS, tell(&mut reader, at(105)));
    assert_eq!(versions(&taken.unwrap()), [15, 19]);
    assert_eq!(listener.known(UPSTREAMS), 20);
    let again = listener.on_reading(at(450), UPSTREAMS, tell(&mut reader, at(440)));
    assert_eq!(versions(&again.unwrap()), [0; 0]);
}

/// An upstream's departure was in a tally that got lost: the next one tells it again.
#[test]
fn one_lost_tally_hides_nothing() {
    let mut reader = reader(10);
    let mut listener = Readings::default();
    listener.on_list(at(0), UPSTREAMS, 10, 10);
    reader.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    drop(tell(&mut reader, at(110)));
    let taken = listener.on_reading(at(450), UPSTREAMS, tell(&mut reader, at(450)));
    assert_eq!(versions(&taken.unwrap()), [15]);
}

/// Two lost tallies must not pass for nothing having happened: the listener reads by
/// itself, from the last version that it knows wholly.
#[test]
fn a_listener_that_missed_changes_reads_by_itself() {
    let mut reader = reader(10);
    let mut listener = Readings::default();
    listener.on_list(at(0), UPSTREAMS, 10, 10);
    assert!(listener.on_reading(at(0), UPSTREAMS, tell(&mut reader, at(0))).is_some());
    reader.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    for now in [110, 450] {
        drop(tell(&mut reader, at(now)));
    }
    for now in (800..3_000).step_by(300) {
        reader.on_page(at(now), UPSTREAMS, now, []);
        assert!(listener.on_reading(at(now), UPSTREAMS, tell(&mut reader, at(now))).is_none());
    }
    assert_eq!(listener.known(UPSTREAMS), 10);
    let over = at(UPSTREAMS.listen().as_millis());
    assert_eq!(listener.rest(over, UPSTREAMS), None);
}

/// All engines register at once after a restart, more than a tally holds: what it leaves
/// out must not pass for known, nor wait until the last reading is old.
#[test]
fn changes_that_do_not_fit_are_read_at_once() {
    let mut reader = reader(10);
    let mut listener = Readings::default();
    listener.on_list(at(0), UPSTREAMS, 10, 10);
    assert!(listener.on_reading(at(10), UPSTREAMS, tell(&mut reader, at(10))).is_some());
    assert!(listener.rest(at(10), UPSTREAMS).is_some());
    reader.on_page(at(100), UPSTREAMS, 99, (11..90).map(gone));
    let reading = tell(&mut reader, at(110));
    assert!(reading.changes.len() < 79);
    assert!(listener.on_reading(at(110), UPSTREAMS, reading).is_none());
    assert_eq!(listener.known(UPSTREAMS), 10);
    assert_eq!(listener.rest(at(110), UPSTREAMS), None);
}

/// A reader is frozen, killed or cut off from the store: what it read last grows old,
/// and must not keep others from reading.
#[test]
fn an_old_reading_counts_for_nothing() {
    let mut reader = reader(10);
    let mut listener = Readings::default();
    listener.on_list(at(0), UPSTREAMS, 10, 10);
    let limit = UPSTREAMS.listen().as_millis();
    let reading = tell(&mut reader, at(limit - 200));
    assert!(listener.on_reading(at(limit - 200), UPSTREAMS, reading).is_some());
    assert!(listener.rest(at(limit - 200), UPSTREAMS).is_some());
    assert_eq!(listener.rest(at(limit), UPSTREAMS), None);
    assert!(reader.tell(at(limit + 1)).is_empty());
}

/// A read of the store lags behind what another reader told: passed on as new, it kept
/// listeners from reading.
#[test]
fn a_read_that_lags_is_not_told() {
    let mut reader = reader(10);
    let newer = ReadPosition { version: 30, age: Span::ZERO, since: 10, changes: Vec::new() };
    assert!(reader.on_reading(at(100), UPSTREAMS, newer).is_some());
    reader.on_page(at(200), UPSTREAMS, 20, []);
    let told = tell(&mut reader, at(300));
    assert_eq!((told.version, told.age), (10, Span::from_millis(300)));
    assert_eq!(reader.known(UPSTREAMS), 30);
}

/// What a reader was told by another one is not in its own tally, which must not claim
/// that nothing happened before it.
#[test]
fn a_reader_claims_nothing_that_another_one_told() {
    let (mut first, mut second, mut listener) = (reader(10), reader(10), reader(10));
    first.on_page(at(100), UPSTREAMS, 20, [gone(15)]);
    let told = second.on_reading(at(110), UPSTREAMS, tell(&mut first, at(110)));
    assert_eq!(versions(&told.unwrap()), [15]);
    second.on_page(at(200), UPSTREAMS, 30, [gone(25)]);
    let reading = tell(&mut second, at(210));
    assert!(listener.on_reading(at(210), UPSTREAMS, reading.clone()).is_none());
    let repeated = tell(&mut first, at(450));
    assert_eq!(versions(&listener.on_reading(at(450), UPSTREAMS, repeated).unwrap()), [15]);
    assert_eq!(versions(&listener.on_reading(at(460), UPSTREAMS, reading).unwrap()), [25]);
}

/// A newer configuration is too long for a tally: a listener that hears of it reads at
/// once, and does not wait until the reading is old.
#[test]
fn a_newer_configuration_is_read_at_once() {
    let mut reader = Readings::default();
    let mut listener = Readings::default();
    for readings in [&mut reader, &mut listener] {
        readings.on_list(at(0), Table::Operator, 10, 5);
    }
    let mut told = reader.tell(at(10));
    assert!(
        listener
            .on_reading(at(10), Table::Operator, told.remove(&Table::Operator).unwrap())
            .is_some()
    );
    assert!(listener.rest(at(10), Table::Operator).is_some());
    reader.on_page(at(20), Table::Operator, 20, []);
    reader.on_untold(Table::Operator, 19);
    let mut told = reader.tell(at(30));
    assert!(
        listener
            .on_reading(at(30), Table::Operator, told.remove(&Table::Operator).unwrap())
            .is_none()
    );
    assert_eq!(listener.rest(at(30), Table::Operator), None);
    listener.on_page(at(40), Table::Operator, 20, []);
    assert!(listener.rest(at(40), Table::Operator).is_some());
}

/// Readers and listeners in any order of reads, tallies, losses and restarts: no listener
/// ever passes over a change. Each step picks an entry and what it does by a fixed generator.
#[test]
fn nothing_is_passed_over_in_any_order() {
    for seed in 0..400 {
        let mut draw = draws(seed);
        let mut store: Vec<u64> = Vec::new();
        let mut newest = 1;
        let mut entries: Vec<(Readings, Vec<u64>)> = Vec::new();
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
                    let told = entries[who].0.tell(now);
                    for other in (0..4).filter(|&other| other != who) {
                        if draw(3) > 0 {
                            hear(now, &mut entries[other], &told);
                        }
                    }
                }
                6 => {
                    entries[who] = (Readings::default(), store.clone());
                    entries[who].0.on_list(now, UPSTREAMS, newest, newest);
                }
                _ => {}
            }
            for (readings, taken) in &entries {
                let known = readings.known(UPSTREAMS);
                let due: Vec<u64> = store.iter().copied().filter(|&seen| seen <= known).collect();
                assert_eq!(*taken, due, "seed {seed}, step {step}");
            }
        }
    }
}

fn read(now: Instant, entry: &mut (Readings, Vec<u64>), store: &[u64], newest: u64) {
    let known = entry.0.known(UPSTREAMS);
    let changes: Vec<TableChange> =
        store.iter().filter(|&&seen| seen > known).map(|&seen| gone(seen)).collect();
    entry.1.extend(versions(&changes));
    entry.0.on_page(now, UPSTREAMS, newest, changes);
}

fn hear(now: Instant, entry: &mut (Readings, Vec<u64>), told: &BTreeMap<Table, ReadPosition>) {
    for (&table, reading) in told {
        if let Some(changes) = entry.0.on_reading(now, table, reading.clone()) {
            entry.1.extend(versions(&changes));
        }
    }
}

/// Numbers below a bound, always the same for a seed.
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
fn a_reading_is_as_old_as_it_says() {
    let mut reader = reader(10);
    let reading = tell(&mut reader, at(300));
    assert_eq!(reading.age, Span::from_millis(300));
}
