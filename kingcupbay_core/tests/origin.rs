//! Origins of streams: which software began each.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use kingcupbay_core::{
    config::model::Role,
    deployment::{catalogue::Member, model::Instance},
    origin::{
        KEPT_FOR, Origins, keepers, possible_keepers, possible_sidecar_keepers, sidecar_keepers,
    },
    time::{Instant, Span},
    wire::origin::{Origin, OriginRecord, SoftwareId, StreamId},
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + millis * 1_000)
}

fn row(id: &str, software: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "writer".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 8,
        leaving: false,
        born: 1,
        count: 1,
        models: Vec::new(),
        version: 1,
        software: software.to_owned(),
        cold_remaining: Span::ZERO,
    }
}

fn fleet(size: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        host: format!("entry-{number}"),
        role: Role::Entry,
        address: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8006)),
        zone: "zone-a".to_owned(),
        incarnation: number as u64,
    };
    (0..size).map(member).collect()
}

/// A stream that began while one software served must still be known once another appears.
#[test]
fn streams_from_before_a_second_software_are_reported() {
    let mut origins = Origins::default();
    let (stream, v1) = (StreamId::of(Some("winery"), "a1"), SoftwareId::of("v1"));
    assert!(origins.on_instances(at(0), [row("a", "v1")].iter()).is_empty());
    origins.on_own(at(10), stream, v1);
    let rows = [row("a", "v1"), row("b", "v2")];
    assert_eq!(origins.on_instances(at(20), rows.iter()), ["writer"]);
    assert_eq!(origins.own_streams("writer"), [OriginRecord { stream, software: v1 }]);
    assert!(origins.on_instances(at(30), rows.iter()).is_empty());
}

/// The last engine of a software has left. Its streams must not go on elsewhere while callers
/// may still take them up.
#[test]
fn a_service_stays_mixed_until_the_streams_of_a_gone_software_are_over() {
    let mut origins = Origins::default();
    origins.on_instances(at(0), [row("a", "v1"), row("b", "v2")].iter());
    for secs in 1..60 {
        origins.on_instances(at(secs * 1_000), [row("b", "v2")].iter());
        assert!(origins.is_mixed(at(secs * 1_000), "writer"));
    }
    let over = at(0) + KEPT_FOR;
    origins.on_instances(over, [row("b", "v2")].iter());
    assert!(!origins.is_mixed(over, "writer"));
}

/// Entries that name different software for one stream must not make it go on at either.
#[test]
fn contradictory_origins_are_not_trusted() {
    let mut origins = Origins::default();
    let stream = StreamId::of(None, "a1");
    for text in ["v1", "v2", "v1"] {
        origins.on_report(at(0), OriginRecord { stream, software: SoftwareId::of(text) });
    }
    assert_eq!(origins.origin(at(1), stream), Origin::Contradictory);
}

/// A caller must not learn of, or change, the origin of another organisation's stream.
#[test]
fn an_attempt_of_another_organisation_is_another_stream() {
    let mut origins = Origins::default();
    origins.on_own(at(0), StreamId::of(Some("winery"), "a1"), SoftwareId::of("v1"));
    for other in [Some("brewery"), None, Some("")] {
        assert_eq!(origins.origin(at(1), StreamId::of(other, "a1")), Origin::Unknown);
    }
}

/// Origins must expire, or an entry's memory grows without end.
#[test]
fn origins_expire() {
    let mut origins = Origins::default();
    let streams = (0..10_000).map(|number| StreamId::of(None, &format!("a{number}")));
    for stream in streams {
        origins.on_own(at(0), stream, SoftwareId::of("v1"));
    }
    assert_eq!(origins.len(), 10_000);
    origins.on_instances(at(0) + KEPT_FOR, std::iter::empty());
    assert!(origins.is_empty());
}

/// The entry that began the streams is gone, the list of entries differs by some between those
/// that report and those that ask, and one more keeper has restarted empty. Nearly all origins
/// must be found.
#[test]
fn origins_are_found_without_the_entry_that_began_the_stream() {
    for (size, streams) in [(4, 2_000), (30, 2_000), (340, 2_000)] {
        let all = fleet(size);
        let mut kept: BTreeMap<SocketAddr, Origins> = BTreeMap::new();
        let mut per_keeper: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let software = SoftwareId::of("v1");
        let ids: Vec<(StreamId, usize)> = (0..streams)
            .map(|number| (StreamId::of(Some("winery"), &format!("a{number}")), number % size))
            .collect();
        for &(stream, entry) in &ids {
            for keeper in keepers(stream, all.iter(), &all[entry].host) {
                let record = OriginRecord { stream, software };
                kept.entry(keeper).or_default().on_report(at(0), record);
                *per_keeper.entry(keeper).or_default() += 1;
            }
        }
        let restarted = size / 2;
        kept.remove(&all[restarted].address);
        // An entry that has started since, which the others have not listed yet.
        let mut newer = all.clone();
        newer.push(Member { host: "entry-new".to_owned(), ..fleet(size + 1).pop().unwrap() });
        let found = |&(stream, began): &(StreamId, usize)| {
            let asking = (began + 1) % size;
            let own = kept.get(&all[asking].address).map(|own| own.origin(at(1), stream));
            let alive = |address: &SocketAddr| *address != all[began].address;
            let asked = possible_keepers(stream, newer.iter(), &all[asking].host);
            let answers = asked.iter().filter(|address| alive(address));
            let answers =
                answers.filter_map(|address| Some(kept.get(address)?.origin(at(1), stream)));
            answers.chain(own).fold(Origin::Unknown, Origin::merge) == Origin::Software(software)
        };
        let share = ids.iter().filter(|id| found(id)).count() as f64 / streams as f64;
        assert!(share >= 0.9, "{size} entries: {share}");
        if size > 4 {
            let busiest = per_keeper.values().max().copied().unwrap();
            assert!(busiest * size <= 4 * 2 * streams, "{size} entries: {busiest}");
        }
    }
}

/// All entries are lost beside a release: half of the engines of one software have left, and those
/// of another have doubled since the streams began. Guards against asking sidecars that do not
/// keep the origins.
#[test]
fn origins_are_found_without_any_entry() {
    for size in [4, 30, 600] {
        let engine = |number: usize, software: &str| Instance {
            address: SocketAddr::from(([10, 2, (number / 250) as u8, (number % 250) as u8], 80)),
            ..row(&format!("gpu-{number}"), software)
        };
        let older: Vec<Instance> = (0..size).map(|number| engine(number, "v1")).collect();
        let newer: Vec<Instance> = (size..2 * size).map(|number| engine(number, "v2")).collect();
        let (half, whole) = (&newer[..size / 2], &newer[..]);
        let before: Vec<&Instance> = older.iter().chain(half).collect();
        let after: Vec<&Instance> = older[size / 2..].iter().chain(whole).collect();
        let mut kept = BTreeMap::<IpAddr, Origins>::new();
        let streams: Vec<(StreamId, SoftwareId)> = (0..2_000)
            .map(|number| {
                let software = if number % 2 == 0 { "v1" } else { "v2" };
                (StreamId::of(None, &format!("a{number}")), SoftwareId::of(software))
            })
            .collect();
        for &(stream, software) in &streams {
            for host in sidecar_keepers(stream, before.iter().copied(), software) {
                kept.entry(host).or_default().on_report(at(0), OriginRecord { stream, software });
            }
        }
        let share = |of: &str| {
            let of = SoftwareId::of(of);
            let known = |&(stream, software): &(StreamId, SoftwareId)| {
                let asked = possible_sidecar_keepers(stream, after.iter().copied());
                assert!(asked.len() <= 6);
                let answers = asked.iter().filter_map(|host| kept.get(host));
                let origins = answers.map(|origins| origins.origin(at(1), stream));
                origins.fold(Origin::Unknown, Origin::merge) == Origin::Software(software)
            };
            let all: Vec<_> = streams.iter().filter(|(_, software)| *software == of).collect();
            all.iter().filter(|stream| known(stream)).count() as f64 / all.len() as f64
        };
        let (v1, v2) = (share("v1"), share("v2"));
        println!("{size} engines: {v1} of the older software, {v2} of the newer one");
        assert!(v1 >= 0.5 && v2 >= 0.5, "{size} engines: {v1}, {v2}");
    }
}
