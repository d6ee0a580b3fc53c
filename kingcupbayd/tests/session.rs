//! Golden file of a whole session: what the caller reads and what each daemon
//! logs, from the first request for a cold adapter to the planned stop.
//!
//! `KINGCUPBAY_BLESS=1` writes the file anew; read the difference before it
//! is committed.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, path::Path};

use common::{Fleet, Process, build_request, completion_body, parse_pairs, send_request};
use serde_json::json;

/// Fields whose values differ from run to run.
const VARYING: &[&str] =
    &["ms", "first_ms", "total_ms", "operators", "peers", "callers", "connections"];

/// A log line in a stable form: fields sorted, what varies left out, request
/// ids replaced by the order in which the caller met them.
fn stable(line: &str, ids: &BTreeMap<String, usize>) -> Option<String> {
    let mut fields = parse_pairs(line);
    let event = fields.remove("event")?;
    fields.retain(|key, _| !VARYING.contains(&key.as_str()) && key != "level");
    if let Some(id) = fields.get_mut("request") {
        *id = ids.get(id.as_str()).map_or("another".to_owned(), |at| format!("request-{at}"));
    }
    let host = fields.remove("host")?;
    let rest: Vec<String> = fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    Some(format!("{host} {event} {}", rest.join(" ")))
}

/// Events of the requests and adapters; when configurations arrive depends on
/// the moment, so those are left out.
fn told(lines: &[String], ids: &BTreeMap<String, usize>) -> Vec<String> {
    let wanted = ["event=request", "event=refused", "event=run", "event=load", "event=stopp"];
    let lines = lines.iter().filter(|line| wanted.iter().any(|event| line.contains(event)));
    lines.filter_map(|line| stable(line, ids)).collect()
}

async fn stop(process: Process) -> Vec<String> {
    process.signal("-TERM");
    let (ok, lines) = process.wait();
    assert!(ok);
    lines
}

#[actix_rt::test]
async fn a_whole_session_reads_as_recorded() {
    let mut fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await;
    let mut ids = BTreeMap::new();
    let mut story = Vec::new();
    let asks = [
        ("/v1/completions", completion_body("tasting@v1", 3)),
        ("/v1/completions", completion_body("tasting", 2)),
        ("/v1/completions", completion_body("tasting@v2", 2)),
        (
            "/v1/chat/completions",
            json!({"model": "tasting@v2", "max_tokens": 2,
                "messages": [{"role": "user", "content": "which room has a seat left"}]}),
        ),
        ("/v1/completions", completion_body("nobodys@v1", 2)),
        ("/v1/completions", json!({"model": "tasting@v1"})),
    ];
    for (at, (path, body)) in asks.iter().enumerate() {
        let answer = send_request(build_request(&fleet.entries[0], path), body).await;
        story.push(format!("caller asks {path} {body}"));
        let mut text = answer.body.clone();
        if let Some(id) = text.split("\"id\":\"").nth(1).and_then(|rest| rest.get(..32)) {
            let id = id.to_owned();
            text = text.replace(&id, &format!("request-{at}")).replace(&id[..8], "ID");
            ids.insert(id, at);
        }
        story.push(format!("caller reads {} {}", answer.status, without_time(&text)));
    }
    let entry = stop(fleet.entries.remove(0)).await;
    let upstream = stop(fleet.upstreams.remove(0)).await;
    story.extend(told(&entry, &ids));
    story.extend(told(&upstream, &ids));
    compare("session.txt", &(story.join("\n") + "\n"));
}

/// The text without the values of `"created"`.
fn without_time(text: &str) -> String {
    let mut parts = text.split("\"created\":");
    let first = parts.next().unwrap_or("").to_owned();
    parts.fold(first, |all, part| {
        all + "\"created\":0" + part.trim_start_matches(|c: char| c.is_ascii_digit())
    })
}

fn compare(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("KINGCUPBAY_BLESS").is_some() {
        std::fs::write(&path, found).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(found, golden, "the session differs from {name}");
}
