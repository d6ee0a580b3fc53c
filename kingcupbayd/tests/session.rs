//! Golden test of a whole session: what the caller reads and what each daemon
//! logs, from the first request for a cold adapter to the planned stop.
//!
//! `KINGCUPBAY_BLESS=1` rewrites the golden file; review the difference before
//! you commit it.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, path::Path};

use common::{Fleet, Process, build_request, completion_body, parse_pairs, send_request};
use serde_json::json;

/// Log fields whose values differ from run to run.
const VARYING_FIELDS: &[&str] =
    &["ms", "first_ms", "total_ms", "operators", "peers", "callers", "connections"];

/// Normalises a log line: fields are sorted, varying ones are removed, and
/// request ids are replaced by the position of the request in the session.
fn normalize(line: &str, ids: &BTreeMap<String, usize>) -> Option<String> {
    let mut fields = parse_pairs(line);
    let event = fields.remove("event")?;
    fields.retain(|key, _| !VARYING_FIELDS.contains(&key.as_str()) && key != "level");
    if let Some(id) = fields.get_mut("request") {
        *id = ids.get(id.as_str()).map_or("another".to_owned(), |at| format!("request-{at}"));
    }
    let host = fields.remove("host")?;
    let rest: Vec<String> = fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    Some(format!("{host} {event} {}", rest.join(" ")))
}

/// Selects the events of requests, adapter loads and the stop. Events of
/// configurations are left out, as their order depends on timing.
fn select_events(lines: &[String], ids: &BTreeMap<String, usize>) -> Vec<String> {
    let selected = ["event=request", "event=refused", "event=run", "event=load", "event=stopp"];
    let lines = lines.iter().filter(|line| selected.iter().any(|event| line.contains(event)));
    lines.filter_map(|line| normalize(line, ids)).collect()
}

/// Stops a daemon as planned and returns its log lines.
async fn stop(process: Process) -> Vec<String> {
    process.signal("-TERM");
    let (ok, lines) = process.wait();
    assert!(ok);
    lines
}

/// Guards against unintended changes of answers and log lines.
#[actix_rt::test]
async fn a_whole_session_reads_as_recorded() {
    let mut fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await;
    let mut ids = BTreeMap::new();
    let mut transcript = Vec::new();
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
        transcript.push(format!("caller asks {path} {body}"));
        let mut text = answer.body.clone();
        if let Some(id) = text.split("\"id\":\"").nth(1).and_then(|rest| rest.get(..32)) {
            let id = id.to_owned();
            text = text.replace(&id, &format!("request-{at}")).replace(&id[..8], "ID");
            ids.insert(id, at);
        }
        transcript.push(format!("caller reads {} {}", answer.status, strip_created(&text)));
    }
    let entry = stop(fleet.entries.remove(0)).await;
    let upstream = stop(fleet.upstreams.remove(0)).await;
    transcript.extend(select_events(&entry, &ids));
    transcript.extend(select_events(&upstream, &ids));
    compare_with_golden("session.txt", &(transcript.join("\n") + "\n"));
}

/// Replaces the values of `"created"` by 0.
fn strip_created(text: &str) -> String {
    let mut parts = text.split("\"created\":");
    let first = parts.next().unwrap_or("").to_owned();
    parts.fold(first, |all, part| {
        all + "\"created\":0" + part.trim_start_matches(|c: char| c.is_ascii_digit())
    })
}

/// Compares `found` with the golden file `name`, after rewriting the file with
/// `KINGCUPBAY_BLESS`.
fn compare_with_golden(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("KINGCUPBAY_BLESS").is_some() {
        std::fs::write(&path, found).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(found, golden, "the session differs from {name}");
}
