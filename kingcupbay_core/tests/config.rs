//! Tests of the configuration: patches, access, ids and the INI parser.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    config::{
        change::{Change, Refusal},
        model::{Config, KeyHash, Role},
        patch::{Patch, PatchError},
    },
    id::{Name, Number, RequestId},
    ini,
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn patch(against: u64, changes: Vec<Change>) -> Patch {
    let id = RequestId([against as u8; 16]);
    Patch { id, against: Number(against), author: "ops".into(), changes }
}

fn organisation(text: &str) -> Change {
    Change::SetOrganisation { name: name(text), rate: 100, burst: 1000 }
}

fn adapter(text: &str, owner: &str, default: Option<&str>) -> Change {
    Change::SetAdapter {
        name: name(text),
        organisation: name(owner),
        base: name("base"),
        default: default.map(name),
    }
}

fn version(adapter: &str, label: &str) -> Change {
    Change::SetVersion {
        adapter: name(adapter),
        label: name(label),
        source: format!("weights/{adapter}/{label}"),
    }
}

fn sample() -> Config {
    let changes = vec![
        organisation("winery"),
        organisation("tours"),
        adapter("tasting", "winery", None),
        version("tasting", "v1"),
        adapter("tasting", "winery", Some("v1")),
    ];
    Config::default().patched(&patch(0, changes)).unwrap()
}

/// Guards against merging a patch that was made against an older number.
#[test]
fn stale_patch_names_the_number_in_force() {
    let refused = sample().patched(&patch(0, vec![])).unwrap_err();
    assert_eq!(refused, PatchError::Stale { against: Number(0), current: Number(1) });
}

/// Guards against a partly applied patch: its first change is valid, its second
/// refers to an adapter that does not exist.
#[test]
fn a_patch_with_one_bad_change_changes_nothing() {
    let config = sample();
    let bad = patch(1, vec![organisation("third"), version("nowhere", "v1")]);
    let refused = config.patched(&bad).unwrap_err();
    let refusal = Refusal::Missing { kind: "adapter".into(), name: "nowhere".into() };
    assert_eq!(refused, PatchError::Refused { index: 1, refusal });
    assert_eq!(config, sample());
}

/// Guards against access to, or knowledge of, another organisation's adapters.
#[test]
fn an_adapter_of_another_organisation_is_not_found() {
    let config = sample();
    let winery = config.organisation_names[&name("winery")];
    let tours = config.organisation_names[&name("tours")];
    assert!(config.version(winery, "tasting@v1").is_some());
    assert_eq!(config.version(winery, "tasting"), config.version(winery, "tasting@v1"));
    assert_eq!(config.version(tours, "tasting@v1"), None);
    assert_eq!(config.version(winery, "tasting@v2"), None);
    assert_eq!(config.version(winery, "Tasting@v1"), None);
}

/// Guards against a key that still gives access after it was withdrawn.
#[test]
fn a_withdrawn_key_is_unknown() {
    let issue = Change::IssueKey {
        label: name("desk"),
        organisation: name("winery"),
        hash: KeyHash::of("secret"),
    };
    let issued = sample().patched(&patch(1, vec![issue])).unwrap();
    assert!(issued.key("secret").is_some());
    let withdraw = Change::WithdrawKey { label: name("desk") };
    let withdrawn = issued.patched(&patch(2, vec![withdraw])).unwrap();
    assert!(withdrawn.key("secret").is_none());
}

/// Guards against a version name that comes to refer to other weights. Setting
/// the same source again is allowed.
#[test]
fn a_versions_source_never_changes() {
    let other = Change::SetVersion {
        adapter: name("tasting"),
        label: name("v1"),
        source: "elsewhere".into(),
    };
    assert!(matches!(
        sample().patched(&patch(1, vec![other])),
        Err(PatchError::Refused { index: 0, refusal: Refusal::Value { .. } })
    ));
    assert!(sample().patched(&patch(1, vec![version("tasting", "v1")])).is_ok());
}

/// Guards against ids that differ between daemons, which send them to each
/// other. One daemon applied every patch, another started from a snapshot; both
/// must assign the same id to the next row.
#[test]
fn ids_agree_between_replay_and_snapshot() {
    let remove = Change::RemoveAdapter { name: name("tasting") };
    let replayed = sample().patched(&patch(1, vec![remove])).unwrap();
    let text = serde_json::to_string(&replayed).unwrap();
    let restored: Config = serde_json::from_str(&text).unwrap();
    let next = patch(2, vec![adapter("seats", "tours", None), version("seats", "v1")]);
    assert_eq!(replayed.patched(&next).unwrap(), restored.patched(&next).unwrap());
}

/// Guards against mistakes reported at the wrong line: comments and blank lines
/// count too.
#[test]
fn ini_entries_have_their_line_numbers() {
    let text = "# head\n\n[daemon]\nhost = a\n\n# note\nzone = z1\n[fleet]\ntable = 127.0.0.1:1\n";
    let sections = ini::parse("x.ini", text).unwrap();
    let lines: Vec<_> = sections
        .iter()
        .flat_map(|section| section.entries.iter().map(|entry| (entry.key.as_str(), entry.line)))
        .collect();
    assert_eq!(lines, [("host", 4), ("zone", 7), ("table", 9)]);
    assert_eq!(sections[1].line, 3);
    assert_eq!(sections[2].line, 8);
}

/// Guards against a parser that stops at the first mistake.
#[test]
fn ini_mistakes_are_reported_all_at_once_with_their_line() {
    let mistakes = ini::parse("x.ini", "[a]\njunk\nk = v\n[open\n").unwrap_err();
    let lines: Vec<_> = mistakes.iter().map(|mistake| mistake.line).collect();
    assert_eq!(lines, [2, 4]);
}

/// Guards against share epochs that differ between daemons. A daemon that
/// started from a snapshot cannot derive the epoch, so the configuration stores
/// it and changes it only with rate limits and entries.
#[test]
fn share_epoch_follows_totals_and_entries_only() {
    let join = |incarnation| Change::Join {
        host: name("entry-1"),
        address: "127.0.0.1:1".into(),
        zone: name("a"),
        role: Role::Entry,
        incarnation,
    };
    let mut config = sample();
    let mut epochs = vec![(config.shares, config.left)];
    for change in [
        version("tasting", "v2"),
        join(7),
        join(7),
        organisation("tours"),
        Change::SetOrganisation { name: name("tours"), rate: 200, burst: 1000 },
        join(8),
    ] {
        config = config.patched(&patch(config.number.0, vec![change])).unwrap();
        epochs.push((config.shares, config.left));
    }
    let number = |(shares, left): &(Number, Number)| (shares.0, left.0);
    let epochs: Vec<_> = epochs.iter().map(number).collect();
    assert_eq!(epochs, [(1, 0), (1, 0), (3, 0), (3, 0), (3, 0), (6, 0), (7, 7)]);
}
