//! Usage reports that entries of earlier builds understand.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use kingcupbay_core::{
    deployment::model::Instance,
    id::Number,
    time::Span,
    wire::{
        read_position::{ChangeKind, ReadPosition, Table, TableChange},
        usage::UsageReport,
    },
};
use serde::Deserialize;

fn row(software: &str) -> Instance {
    Instance {
        id: "gpu-1".to_owned(),
        service: "writer".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 8,
        leaving: false,
        born: 7,
        count: 1,
        models: vec!["base".to_owned()],
        version: 3,
        software: software.to_owned(),
        cold_remaining: Span::ZERO,
    }
}

fn report(software: &str) -> UsageReport {
    let change = TableChange { version: 3, kind: ChangeKind::Upstream(row(software)) };
    let position = ReadPosition { version: 3, age: Span::ZERO, since: 2, changes: vec![change] };
    UsageReport {
        host: "entry-1".to_owned(),
        number: Number(4),
        positions: BTreeMap::from([(Table::Upstreams, position)]),
        ..UsageReport::default()
    }
}

/// The registration as builds know it that do not read the software.
#[derive(Debug, Deserialize)]
struct EarlierInstance {
    id: String,
    #[allow(dead_code)]
    service: String,
    #[allow(dead_code)]
    address: std::net::SocketAddr,
    #[allow(dead_code)]
    zone: String,
    #[allow(dead_code)]
    slots: u32,
    #[allow(dead_code)]
    leaving: bool,
    born: u64,
    #[allow(dead_code)]
    count: u64,
    #[allow(dead_code)]
    models: Vec<String>,
    version: u64,
}

/// An entry of an earlier build must understand a registration with software: it is reported
/// with field names, of which that build ignores the new one.
#[test]
fn earlier_builds_understand_a_registration_with_software() {
    assert!(report("v1").is_extended());
    let named = rmp_serde::to_vec_named(&row("v1")).unwrap();
    let earlier: EarlierInstance = rmp_serde::from_slice(&named).unwrap();
    assert_eq!((earlier.id.as_str(), earlier.born, earlier.version), ("gpu-1", 7, 3));
    let named = rmp_serde::to_vec_named(&report("v1")).unwrap();
    assert_eq!(rmp_serde::from_slice::<UsageReport>(&named).unwrap(), report("v1"));
}

/// A row without software must be reported as before, as a list of values.
#[test]
fn a_registration_without_software_is_reported_as_before() {
    assert!(!report("").is_extended());
    let listed = rmp_serde::to_vec(&row("")).unwrap();
    let earlier: EarlierInstance = rmp_serde::from_slice(&listed).unwrap();
    assert_eq!(earlier.id, "gpu-1");
    assert_eq!(rmp_serde::from_slice::<Instance>(&listed).unwrap(), row(""));
}
