//! Parts of an organisation's rate that its kinds of requests get at one entry.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    allowance::{Allowance, OverLimit, TokenRequest},
    deployment::model::Organisation,
    id::Number,
    time::{Instant, Span},
    wire::usage::{OrganisationUsage, RequestKind, UsageReport},
};

const ENGINE: u32 = 11;
const CONTACT: u32 = 22;

fn at(millis: u64) -> Instant {
    Instant::from_micros(5_000_000 + millis * 1_000)
}

fn society(burst: u64) -> Organisation {
    Organisation {
        name: "society".into(),
        priority: None,
        rate: 10_000,
        burst,
        plain_cost: 200,
        counts_tokens: true,
    }
}

fn entry(hosts: &[&str]) -> Allowance {
    let mut entry = Allowance::new("entry-0", 1, at(0));
    entry.on_entries(hosts.iter().copied());
    entry
}

fn request(service: u32, priority: u8, cost: u64) -> TokenRequest {
    let kind = Some(RequestKind { service, priority });
    TokenRequest { cost, kind, remaining: Span::from_secs(12), draw: 0 }
}

/// Guards against a kind that is charged for requests that did not run. It would be refused
/// once the bucket runs low, with a delay that callers do not wait for.
#[test]
fn a_refund_is_credited_to_the_kind() {
    let (who, mut entry) = (society(10_000), entry(&["entry-0"]));
    let refunded = |entry: &mut Allowance, now| {
        let draft = request(ENGINE, 1, 2_000);
        if entry.acquire(at(now), &who, &draft).is_ok() {
            entry.refund_request(at(now), &who, &draft);
        }
    };
    for now in (0..5_000).step_by(100) {
        let _: Result<(), OverLimit> = entry.acquire(at(now), &who, &request(ENGINE, 0, 100));
        refunded(&mut entry, now);
    }
    for _ in 0..10 {
        refunded(&mut entry, 5_000);
    }
    // Another service leaves 2,000 tokens in the bucket.
    entry.acquire(at(5_000), &who, &request(CONTACT, 2, 8_000)).unwrap();
    let draft = request(ENGINE, 1, 500);
    let verdicts: Vec<_> = (0..4).map(|_| entry.acquire(at(5_000), &who, &draft)).collect();
    assert!(verdicts.iter().take(3).all(Result::is_ok), "{verdicts:?}");
    let over = entry.acquire(at(5_000), &who, &request(ENGINE, 1, 600)).unwrap_err();
    assert!(!over.hopeless, "{over:?}");
}

/// Guards against a kind that owes without bound the tokens which others had left. Once the
/// bucket is empty, it would be told that a retry is in vain.
#[test]
fn a_kind_owes_little_of_what_others_leave() {
    let (who, mut entry) = (society(100_000), entry(&["entry-0", "entry-1"]));
    let report = |entry: &mut Allowance, now, spent| {
        // It asks for much and spends nothing at first.
        let kind = RequestKind { service: CONTACT, priority: 2 };
        let kinds = BTreeMap::from([(kind, 20_000.0)]);
        let used = OrganisationUsage { spent, demand: 20_000.0, level: 100_000.0, kinds };
        let uses = BTreeMap::from([("society".to_owned(), used)]);
        let report = UsageReport {
            host: "entry-1".into(),
            incarnation: 2,
            number: Number(1),
            whole: true,
            uses,
            ..UsageReport::default()
        };
        assert!(entry.on_usage_report(at(now), report));
    };
    for now in (0..10_000).step_by(100) {
        report(&mut entry, now, 0);
        entry.acquire(at(now), &who, &request(ENGINE, 0, 50)).unwrap();
        entry.acquire(at(now), &who, &request(ENGINE, 1, 900)).unwrap();
    }
    report(&mut entry, 10_000, 150_000);
    let mut refused = Vec::new();
    for now in (10_000..10_500).step_by(100) {
        report(&mut entry, now, 150_000);
        refused.extend(entry.acquire(at(now), &who, &request(ENGINE, 1, 900)).err());
    }
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|over| !over.hopeless), "{refused:?}");
}

/// Guards against kinds that are known for ever once their demand has ceased. The reports would
/// stay longer, and the rate would be divided for requests that nobody makes.
#[test]
fn kinds_without_demand_are_forgotten() {
    // Kinds are named from 0.6 of the rate on, which the requests of one entry reach alone.
    let who = Organisation { rate: 1_600, ..society(10_000) };
    let hosts = ["entry-0", "entry-1"];
    let mut entries = hosts.map(|host| {
        let mut entry = Allowance::new(host, 1, at(0));
        entry.on_entries(hosts.into_iter());
        entry
    });
    let mut extended = Vec::new();
    for now in (0..40_000).step_by(100) {
        if now < 1_000 {
            entries[0].acquire(at(now), &who, &request(ENGINE, 0, 100)).unwrap();
            // It may be refused: while both entries send, the demand exceeds the rate.
            let _: Result<(), OverLimit> =
                entries[0].acquire(at(now), &who, &request(ENGINE, 1, 100));
        }
        entries[1].acquire(at(now), &who, &request(ENGINE, 0, 100)).unwrap();
        for from in 0..2 {
            let report = entries[from].usage_report(at(now), Number(1));
            extended.extend(report.is_extended().then_some((now, from)));
            entries[1 - from].on_usage_report(at(now), report);
        }
    }
    assert!(extended.contains(&(500, 0)) && extended.contains(&(500, 1)), "{extended:?}");
    assert!(extended.iter().all(|(now, _)| *now < 20_000), "{:?}", extended.last());
}

/// Guards against refusals of requests that cost nothing.
#[test]
fn a_request_without_cost_is_granted() {
    let (who, mut entry) = (society(10_000), entry(&["entry-0"]));
    for _ in 0..30 {
        let _: Result<(), OverLimit> = entry.acquire(at(0), &who, &request(ENGINE, 0, 600));
        let _: Result<(), OverLimit> = entry.acquire(at(0), &who, &request(ENGINE, 1, 600));
    }
    assert!(entry.acquire(at(0), &who, &request(ENGINE, 1, 600)).is_err());
    assert_eq!(entry.acquire(at(0), &who, &request(ENGINE, 1, 0)), Ok(()));
    assert_eq!(entry.acquire(at(0), &who, &request(ENGINE, 2, 0)), Ok(()));
}
