//! Tests of the settings check, which reports every mistake with its file, line,
//! section and key.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use kingcupbayd::config::Settings;

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
