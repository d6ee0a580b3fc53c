//! Tests of declarations: reported mistakes, plans, exports and diffs.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    config::{
        change::{Change, Refusal},
        model::{Config, KeyHash, Serves, Upstream},
        patch::{Patch, PatchError},
    },
    declare::{self, Declaration, export, plan, read::File},
    id::{Name, RequestId},
};
use quickcheck::{Arbitrary as _, Gen};

const COMPLETE: &str = "\
[organisation winery]
rate = 100
burst = 1000

[adapter tasting]
organisation = winery
base = small
default = v2

[version tasting@v1]
source = weights/tasting/1

[version tasting@v2]
source = \" edge\\n\"

[upstream gpu1]
host = h1
address = 10.0.0.1:8000
zone = z1
base = small
slots = 4
fenced = true
leaving = false

[upstream desk]
host = h2
address = 10.0.0.2:8000
zone = z2
service = booking
leaving = true

[route booking]
organisation = winery
service = booking
once = true

[key desk]
organisation = winery
hash = 00000000000000000000000000000000000000000000000000000000000000ff
";

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn declared(text: &str) -> Declaration {
    declare::read(&[File { name: "x.ini", text }]).unwrap()
}

fn patched(config: &Config, changes: Vec<Change>) -> Result<Config, PatchError> {
    let patch =
        Patch { id: RequestId([1; 16]), against: config.number, author: "a".into(), changes };
    config.patched(&patch)
}

fn applied(config: &Config, text: &str) -> Config {
    patched(config, plan(config, &declared(text))).unwrap()
}

/// Guards against exports that lose a value, such as a source that needs quotes.
#[test]
fn a_complete_declaration_survives_plan_and_export() {
    let config = applied(&Config::default(), COMPLETE);
    let winery = config.organisation_names[&name("winery")];
    assert!(config.version(winery, "tasting").is_some());
    let version = config.version(winery, "tasting@v2").unwrap();
    assert_eq!(config.versions.get(version).unwrap().source, " edge\n");
    assert_eq!(plan(&config, &declared(&export(&config))), []);
    assert_eq!(plan(&config, &declared(COMPLETE)), []);
}

/// Guards against mistakes that are reported only after others are corrected, or
/// with the wrong file, line or key.
#[test]
fn every_mistake_of_every_file_is_reported_at_once() {
    let first = "\
stray = 1
[organisation winery]
rate = 0
burst = much
burst = 5
colour = red
[organisation Winery]
[adapter tasting]
organisation = tours
default = v9
[vineyard x]
[version tasting]
[key desk]
organisation = winery
hash = abc
";
    let second = "\
[organisation winery]
rate = 1
burst = 1
[upstream gpu1]
host = h1
address = localhost:80
zone = z1
service = booking
slots = 4
[route booking]
organisation = winery
service = booking
once = maybe
leaving = perhaps
[version seats@v1]
source = \"open
";
    let files = [File { name: "a.ini", text: first }, File { name: "b.ini", text: second }];
    let mistakes = declare::read(&files).unwrap_err();
    let found: Vec<_> = mistakes
        .iter()
        .map(|m| format!("{}:{} [{}] {} {:?}", m.file, m.line, m.section, m.key, m.found))
        .collect();
    let expected = [
        "a.ini:1 []  \"\"",
        "a.ini:3 [organisation winery] rate \"0\"",
        "a.ini:4 [organisation winery] burst \"much\"",
        "a.ini:5 [organisation winery] burst \"5\"",
        "a.ini:6 [organisation winery] colour \"red\"",
        "a.ini:7 [organisation Winery]  \"organisation Winery\"",
        "a.ini:8 [adapter tasting] base \"\"",
        "a.ini:9 [adapter tasting] organisation \"tours\"",
        "a.ini:10 [adapter tasting] default \"v9\"",
        "a.ini:11 [vineyard x]  \"vineyard x\"",
        "a.ini:12 [version tasting]  \"version tasting\"",
        "a.ini:15 [key desk] hash \"abc\"",
        "b.ini:1 [organisation winery]  \"organisation winery\"",
        "b.ini:6 [upstream gpu1] address \"localhost:80\"",
        "b.ini:9 [upstream gpu1] slots \"4\"",
        "b.ini:13 [route booking] once \"maybe\"",
        "b.ini:14 [route booking] leaving \"perhaps\"",
        "b.ini:15 [version seats@v1]  \"version seats@v1\"",
        "b.ini:16 [version seats@v1] source \"\\\"open\"",
    ];
    assert_eq!(found, expected);
    let allowed = |index: usize| mistakes[index].allowed.as_str();
    assert_eq!(allowed(3), "each key once; it stands in line 4 already");
    assert_eq!(allowed(4), "one of the keys rate, burst");
    assert_eq!(allowed(8), "what is declared; there is no [version tasting@v9]");
    assert_eq!(allowed(12), "each row once; it stands at a.ini:2 already");
}

/// Guards against a plan whose changes are refused because of their order. An
/// operator moves a route and a default and drops the rows they used, in one
/// file. If old rows were removed first they would still be in use; if new rows
/// were added last they would be missing.
#[test]
fn a_plan_adds_rows_before_use_and_removes_them_after() {
    let config = applied(&Config::default(), COMPLETE);
    let moved = "\
[organisation tours]
rate = 1
burst = 1
[adapter seats]
organisation = tours
base = small
default = v1
[version seats@v1]
source = s
[route booking]
organisation = tours
service = booking
once = true
[key front]
organisation = tours
hash = 00000000000000000000000000000000000000000000000000000000000000ff
";
    let next = applied(&config, moved);
    assert_eq!(plan(&next, &declared(moved)), []);
    assert_eq!(next.organisation_names.len(), 1);
    let other = COMPLETE.replace("default = v2", "default = v1");
    let other = other.split("[version tasting@v2]").next().unwrap();
    let next =
        applied(&config, &format!("{other}{}", &COMPLETE[COMPLETE.find("[upstream").unwrap()..]));
    let winery = next.organisation_names[&name("winery")];
    assert_eq!(next.version(winery, "tasting"), next.version(winery, "tasting@v1"));
    assert_eq!(next.version(winery, "tasting@v2"), None);
}

/// Guards against files without keys that withdraw the keys issued by command.
#[test]
fn keys_stay_when_no_file_declares_one() {
    let config = applied(&Config::default(), COMPLETE);
    let without = COMPLETE.split("[key").next().unwrap();
    assert_eq!(plan(&config, &declared(without)), []);
    assert_eq!(declare::text::diff(&Declaration::of(&config), &declared(without)), "");
    let other = COMPLETE.replace("[key desk]", "[key front]");
    let kinds: Vec<_> = plan(&config, &declared(&other));
    assert!(matches!(&kinds[..], [Change::WithdrawKey { .. }, Change::IssueKey { .. }]));
}

/// Guards against an edited source that has no effect. Engines identify a
/// version by its name and would keep serving the old weights, so the plan is
/// refused and the section that caused it can be located.
#[test]
fn a_source_edited_in_place_is_refused_with_its_line() {
    let config = applied(&Config::default(), COMPLETE);
    let edited = declared(&COMPLETE.replace("weights/tasting/1", "weights/tasting/other"));
    let changes = plan(&config, &edited);
    let location = edited.location(&changes[0]).unwrap().to_string();
    assert_eq!(location, "x.ini:10");
    let refused = patched(&config, changes).unwrap_err();
    assert!(matches!(refused, PatchError::Refused { index: 0, refusal: Refusal::Value { .. } }));
}

/// Guards against a diff that hides a change or shows unchanged sections.
#[test]
fn a_diff_shows_removed_and_added_lines() {
    let config = applied(&Config::default(), COMPLETE);
    let other =
        COMPLETE.replace("burst = 1000", "burst = 50").replace("[route booking]", "[route b]");
    let diff = declare::text::diff(&Declaration::of(&config), &declared(&other));
    let route = "organisation = winery\n{}service = booking\n{}once = true\n";
    let expected = format!(
        " [organisation winery]\n-burst = 1000\n+burst = 50\n+[route b]\n+{}-[route booking]\n-{}",
        route.replace("{}", "+"),
        route.replace("{}", "-"),
    );
    assert_eq!(diff, expected);
}

fn pick(g: &mut Gen, of: &[&str]) -> Name {
    name(g.choose(of).unwrap())
}

/// Makes a random change. The owner of an adapter and the source of a version
/// are derived from their names, because neither may change.
fn arbitrary_change(g: &mut Gen) -> Change {
    let adapter = pick(g, &["a0", "a1", "a2"]);
    let owner = name(if adapter.as_str() == "a2" { "o1" } else { "o0" });
    let organisation = pick(g, &["o0", "o1", "o2"]);
    let label = pick(g, &["v0", "v1", "v2"]);
    let other = pick(g, &["x0", "x1", "x2"]);
    let number = u64::from(u8::arbitrary(g)) + 1;
    match u8::arbitrary(g) % 12 {
        0 => Change::RemoveOrganisation { name: organisation },
        1 => Change::RemoveAdapter { name: adapter },
        2 => Change::RemoveVersion { adapter, label },
        3 => Change::RemoveUpstream { name: other },
        4 => Change::WithdrawKey { label: other },
        5 => Change::SetOrganisation { name: organisation, rate: number, burst: number + 7 },
        6 => Change::IssueKey {
            label: other,
            organisation,
            hash: KeyHash::of(&(number % 8).to_string()),
        },
        7 => Change::SetAdapter {
            name: adapter,
            organisation: owner,
            base: pick(g, &["small", "large"]),
            default: bool::arbitrary(g).then_some(label),
        },
        8 | 9 => {
            let odd = match label.as_str() {
                "v0" => "w",
                "v1" => "\"\n",
                _ => " # = [",
            };
            let source = format!("{odd}{adapter}@{label}");
            Change::SetVersion { adapter, label, source }
        }
        10 => Change::SetUpstream { upstream: upstream(g, other) },
        _ => Change::SetRoute {
            name: other,
            organisation,
            service: pick(g, &["s0", "s1"]),
            once: bool::arbitrary(g),
        },
    }
}

fn upstream(g: &mut Gen, name: Name) -> Upstream {
    let serves = match bool::arbitrary(g) {
        true => Serves::Service { service: pick(g, &["s0", "s1"]) },
        false => Serves::Model {
            base: pick(g, &["small", "large"]),
            slots: u32::from(u8::arbitrary(g)) + 1,
            fenced: bool::arbitrary(g),
        },
    };
    let address = if bool::arbitrary(g) { "10.0.0.1:1" } else { "[::1]:2" }.to_owned();
    Upstream {
        name,
        host: pick(g, &["h0"]),
        address,
        zone: pick(g, &["z0"]),
        serves,
        leaving: bool::arbitrary(g),
    }
}

/// Makes a random configuration with at least one key, so that a declaration of
/// it manages the keys.
fn arbitrary_config(g: &mut Gen) -> Config {
    let mut config = Config::default();
    let _ = config.change(&Change::SetOrganisation { name: name("o0"), rate: 1, burst: 1 });
    let hash = KeyHash::of("always");
    let always = Change::IssueKey { label: name("always"), organisation: name("o0"), hash };
    config.change(&always).unwrap();
    for _ in 0..60 {
        // A refused change leaves the configuration unchanged.
        let _ = config.change(&arbitrary_change(g));
    }
    config
}

/// Guards against plans that are refused, or that miss or repeat a change, for
/// pairs of random configurations.
#[test]
fn planning_an_export_changes_nothing_and_planning_another_reaches_it() {
    let mut planned = 0;
    for seed in 0..300 {
        let mut g = Gen::from_size_and_seed(32, seed);
        let (old, new) = (arbitrary_config(&mut g), arbitrary_config(&mut g));
        assert_eq!(plan(&old, &declared(&export(&old))), [], "seed {seed}");
        let changes = plan(&old, &declared(&export(&new)));
        planned += changes.len();
        let reached = patched(&old, changes).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!(export(&reached), export(&new), "seed {seed}");
    }
    assert!(planned > 1_000, "the generator produced too few changes: {planned}");
}

/// Guards against a sample file that no longer matches the declaration format.
#[test]
fn the_shipped_sample_can_be_applied() {
    let config = applied(&Config::default(), include_str!("../../extra/examples/sample.ini"));
    assert!(config.key("kcb_sample").is_some());
}
