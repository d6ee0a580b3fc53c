//! Tests of the settings check, which reports every mistake with its file, line,
//! section and key.

#![allow(clippy::unwrap_used)]

mod common;

use std::path::Path;

use common::Process;
use kingcupbay_core::time::Span;
use kingcupbayd::config::{ConfigSource, Registry, Settings};

/// The path of a shipped example of a settings file.
fn example_path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples").join(name)
}

/// Guards against shipped examples that the daemon refuses or reads wrongly.
#[test]
fn shipped_examples_pass_the_check() {
    let entry = Settings::load(&example_path("entry.ini")).unwrap();
    assert_eq!(entry.daemon.host.as_str(), "entry-1");
    assert_eq!(entry.callers.unwrap().body_limit, 1 << 20);
    let upstream = Settings::load(&example_path("upstream.ini")).unwrap();
    assert!(upstream.callers.is_none());
    assert_eq!(upstream.tuning.batch, 256);
}

/// Guards against a check that stops at the first mistake: missing keys, values
/// out of bounds, unknown keys and sections, and repeated sections must all be
/// reported, in the order of lines.
#[test]
fn every_mistake_is_reported_at_once() {
    let text = "\
[daemon]
host = Entry 1
zone = a
role = king
[peers]
listen = nowhere
[operators]
listen = 127.0.0.1:0
[platform]
table = 127.0.0.1:1
objects = 127.0.0.1:1
[tuning]
batch = 0
speed = 9
[extras]
[daemon]
";
    let mistakes = Settings::parse("bad.ini", text).unwrap_err();
    let messages: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    let place = |at: usize| messages[at].split(": found").next().unwrap().to_owned();
    let places: Vec<String> = (0..messages.len()).map(place).collect();
    assert_eq!(
        places,
        [
            "bad.ini:0: [callers] listen",
            "bad.ini:2: [daemon] host",
            "bad.ini:4: [daemon] role",
            "bad.ini:6: [peers] listen",
            "bad.ini:9: [platform] hosts",
            "bad.ini:13: [tuning] batch",
            "bad.ini:14: [tuning] speed",
            "bad.ini:15: [extras] ",
            "bad.ini:16: [daemon] ",
        ]
    );
    assert!(messages[5].ends_with("found \"0\", allowed: a whole number from 1 to 4096"));
}

/// Guards against an error without the name of the file that is missing.
#[test]
fn a_missing_file_is_a_mistake_that_names_it() {
    let mistakes = Settings::load(Path::new("no-such.ini")).unwrap_err();
    assert!(mistakes[0].to_string().starts_with("no-such.ini:0:"));
}

/// Fills the placeholders of a template in `deploy/` with `bounds` and usual values; those
/// without a value become empty.
fn render_template(name: &str, bounds: &[(&str, &str)]) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(name);
    let mut text = std::fs::read_to_string(path).unwrap();
    let usual = [
        ("node", "host-1"),
        ("zone", "zone-a"),
        ("ip", "127.0.0.1"),
        ("listen.front", "127.0.0.1:0"),
        ("listen.ready", "127.0.0.1:0"),
        ("listen.control", "127.0.0.1:0"),
        ("internalPorts.0", "0"),
        ("internalPorts.1", "0"),
        ("platform.address", "127.0.0.1:1"),
        ("seeds", "127.0.0.1:1,127.0.0.1:2"),
        ("app", "127.0.0.1:1"),
        ("service", "writer"),
    ];
    for (key, value) in usual.iter().chain(bounds) {
        text = text.replace(&format!("{{{{{key}}}}}"), value);
    }
    while let Some(from) = text.find("{{") {
        let to = from + text[from..].find("}}").unwrap() + 2;
        text.replace_range(from..to, "");
    }
    text
}

/// The registry settings that a template gives with `bounds`.
fn rendered_registry(name: &str, bounds: &[(&str, &str)]) -> Registry {
    match Settings::parse(name, &render_template(name, bounds)).unwrap().config_source {
        ConfigSource::Registry(registry) => registry,
        ConfigSource::Patches(_) => panic!("{name} has no [registry]"),
    }
}

/// Guards against daemons that do not start as a number of the platform is a fraction, has an
/// exponent, is large or is missing.
#[test]
fn templates_take_any_number_of_the_platform() {
    let cases = [
        ("36.1764705882353", "7.5", 36.1764705882353, 7_500),
        ("1040", "8", 1_040.0, 8_000),
        ("2.5e6", "8.0", 2_500_000.0, 8_000),
        ("0", "1.25e1", 0.0, 12_500),
        ("", "", 50.0, 8_000),
    ];
    for template in ["entry.ini", "upstream.ini"] {
        for (slack, grace, expected_slack, expected_ms) in cases {
            let bounds = [("bounds.budgetSlack", slack), ("bounds.graceS", grace)];
            let registry = rendered_registry(template, &bounds);
            assert_eq!(registry.repeats.slack, expected_slack, "{template}: {slack:?}");
            assert_eq!(registry.grace.as_millis(), expected_ms, "{template}: {grace:?}");
        }
        for bad in ["-1", "NaN", "inf", "many"] {
            let text = render_template(template, &[("bounds.budgetSlack", bad)]);
            let mistakes = Settings::parse(template, &text).unwrap_err();
            assert_eq!(mistakes.len(), 1, "{template}: {mistakes:?}");
            let allowed = format!("found {bad:?}, allowed: a number from 0 to 1000000000");
            assert!(mistakes[0].to_string().ends_with(&allowed), "{}", mistakes[0]);
        }
    }
}

/// Guards against a daemon that refuses the older key of the grace period.
#[test]
fn the_grace_period_in_milliseconds_is_understood() {
    let grace = |line: &str| {
        let text = render_template("entry.ini", &[]).replace("grace_s =", line);
        match Settings::parse("entry.ini", &text).unwrap().config_source {
            ConfigSource::Registry(registry) => registry.grace,
            ConfigSource::Patches(_) => panic!("no [registry]"),
        }
    };
    assert_eq!(grace("grace_ms = 7500"), Span::from_millis(7_500));
}

/// Guards against templates that pass the check but do not start a daemon.
#[test]
fn daemons_of_both_roles_start_with_fractions() {
    for (template, role) in [("entry.ini", "entry"), ("upstream.ini", "upstream")] {
        let bounds = [("bounds.budgetSlack", "36.1764705882353"), ("bounds.graceS", "7.5")];
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("rendered-{}-{template}", std::process::id()));
        std::fs::write(&file, render_template(template, &bounds)).unwrap();
        let args = ["--config".to_owned(), file.display().to_string()];
        let process = Process::start("kingcupbayd", &args);
        assert_eq!(process.listening["role"].to_lowercase(), role);
        std::fs::remove_file(&file).unwrap();
    }
}

/// Guards against a memory that leaves no room for any body, and against another default.
#[test]
fn the_memory_is_checked() {
    let text = std::fs::read_to_string(example_path("upstream.ini")).unwrap();
    let line = "memory_mb = 256\n";
    assert!(text.contains(line));
    let parse = |line: &str| Settings::parse("a.ini", &text.replace("memory_mb = 256\n", line));
    assert_eq!(parse(line).unwrap().daemon.memory, 256 << 20);
    assert_eq!(parse("").unwrap().daemon.memory, 256 << 20);
    assert_eq!(parse("memory_mb = 96.0\n").unwrap().daemon.memory, 96 << 20);
    let mistakes = parse("memory_mb = 1\n").unwrap_err();
    assert!(mistakes[0].to_string().contains("[daemon] memory_mb"), "{}", mistakes[0]);
}
