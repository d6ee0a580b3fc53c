//! Broken answers of services and engines where no store keeps the registrations.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    Answer, Process, apply_changes, basic_changes, build_request, completion_body, name,
    raw::{Change as HeadChange, Ending, RawUpstream, Tampering},
    send_request, service_route, start_daemon, start_standin, upstream_at, wait_for_number,
    wait_until, wait_until_ready,
};
use kingcupbay_core::config::model::Serves;
use serde_json::{Value, json};

/// Body of the services' answers, no JSON.
const BODY: &str = "the first prize goes to no. 12";

/// An answer and whether it is one.
struct Shape {
    name: &'static str,
    answer: String,
    ending: Ending,
    is_sound: bool,
}

impl Shape {
    fn broken(name: &'static str, head: &str, body: &str) -> Shape {
        let answer = format!("{head}\r\ncontent-type: text/plain\r\n\r\n{body}");
        Shape { name, answer, ending: Ending::Close, is_sound: false }
    }

    fn sound(name: &'static str, head: &str, body: &str) -> Shape {
        Shape { is_sound: true, ..Shape::broken(name, head, body) }
    }
}

fn shapes() -> Vec<Shape> {
    let ok = "HTTP/1.1 200 OK\r\n";
    let length = format!("content-length: {}", BODY.len());
    let chunked = format!("{ok}transfer-encoding: chunked");
    let broken = |name, fields: &str| Shape::broken(name, &format!("{ok}{fields}"), BODY);
    vec![
        broken("blank", "content-length : 9"),
        broken("note", &format!("x-note : a\r\n{length}")),
        broken("no-field", &format!("x-note\r\n{length}")),
        broken("control", &format!("x-\x01note: a\r\n{length}")),
        broken("identity", "transfer-encoding: identity"),
        broken("too-short", "content-length: 60"),
        Shape::broken("status-000", &format!("HTTP/1.1 000 OK\r\n{length}"), BODY),
        Shape::broken("status-600", &format!("HTTP/1.1 600 OK\r\n{length}"), BODY),
        Shape::broken("status-204", &format!("HTTP/1.1 204 None\r\n{length}"), BODY),
        Shape::broken("no-last-chunk", &chunked, &format!("1e\r\n{BODY}\r\n")),
        Shape::broken("half-a-chunk", &chunked, &format!("40\r\n{BODY}")),
        Shape::broken("long-name", &format!("{ok}{}: a\r\n{length}", "x".repeat(66_000)), BODY),
        Shape::sound("length", &format!("{ok}{length}"), BODY),
        Shape::sound("chunks", &chunked, &format!("1e\r\n{BODY}\r\n0\r\n\r\n")),
        Shape::sound("until-end", &format!("{ok}x-note: a"), BODY),
        Shape::sound("old", "HTTP/1.0 200 OK\r\nx-note: a", BODY),
        Shape::sound(
            "informational",
            &format!("HTTP/1.1 103 Hints\r\n\r\n{ok}upgrade: websocket\r\n{length}"),
            BODY,
        ),
    ]
}

/// Starts a platform, a daemon beside the upstreams and an entry.
async fn start() -> (Process, Process, Process) {
    let platform = start_standin("platform", &["--load", "1"]);
    let upstream = start_daemon("upstream", "upstream-1", &platform, "");
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&upstream).await;
    wait_until_ready(&entry).await;
    (platform, upstream, entry)
}

/// Returns whether the answer is the entry's own and promises nothing of the call.
fn is_failure_that_may_have_run(answer: &Answer) -> bool {
    let ran =
        serde_json::from_str::<Value>(&answer.body).map(|value| value["error"]["ran"].clone());
    matches!(answer.status, 409 | 502) && ran.is_ok_and(|ran| ran == "ran" || ran == "unknown")
}

/// A service breaks the heads or the bodies of its answers. Guards against passing one on, and
/// against recording it as the outcome of a call that runs at most once.
#[actix_rt::test]
async fn broken_answers_of_services_are_failures_that_may_have_run() {
    let (_platform, upstream, entry) = start().await;
    let mut changes = basic_changes();
    let mut services = Vec::new();
    for Shape { name, answer, ending, is_sound } in shapes() {
        let service_at = RawUpstream::start(move |_| answer.clone().into_bytes(), ending);
        changes.extend(service_route(name, service_at.address));
        services.push((name, is_sound, service_at));
    }
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&upstream, number).await;
    wait_for_number(&entry, number).await;
    let mut wrong = Vec::new();
    for (label, is_sound, service) in &services {
        for (route, times) in [(label.to_string(), 1), (format!("{label}-once"), 2)] {
            for _ in 0..times {
                let path = format!("/v1/call/{route}/verdict");
                let request =
                    build_request(&entry, &path).insert_header(("idempotency-key", &*route));
                let answer = send_request(request, &json!({})).await;
                let is_right = match is_sound {
                    true => answer.status == 200 && answer.body == BODY,
                    false => is_failure_that_may_have_run(&answer),
                };
                if !is_right {
                    wrong.push(format!("{route}: {} {}", answer.status, answer.body));
                }
            }
        }
        let runs = service.heads("/call/verdict").len();
        assert!(runs >= 2, "{label}: {runs} calls");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// An engine breaks the heads of its answers to generations. Guards against an answer that is taken
/// for one, and against a second failure once the engine is sound again.
#[actix_rt::test]
async fn broken_heads_of_engines_are_not_answers() {
    const CHANGES: &[(&str, HeadChange)] = &[
        ("a blank before a colon", |head| head.replacen("\r\n", "\r\nx-note : a\r\n", 1)),
        ("status 600", |head| head.replacen(" 200 OK", " 600 OK", 1)),
        ("identity", |head| head.replacen("chunked", "identity", 1)),
    ];
    let (_platform, daemon, entry) = start().await;
    let engine =
        start_standin("engine", &["--fenced", "--load", "1", "--first", "1", "--gap", "0"]);
    let tampering = Tampering::start(engine.address("address"));
    let mut changes = basic_changes();
    let serves = Serves::Model { base: name("base"), slots: 8, fenced: true };
    changes.push(upstream_at("gpu-1", "upstream-1", tampering.address.to_string(), serves));
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&daemon, number).await;
    wait_for_number(&entry, number).await;
    let complete = async || {
        let request = build_request(&entry, "/v1/completions");
        send_request(request, &completion_body("tasting@v1", 4)).await
    };
    wait_until("a completion", async || (complete().await.status == 200).then_some(())).await;
    for &(label, change) in CHANGES {
        tampering.set(Some(change));
        let before = tampering.changed();
        let answer = complete().await;
        assert_ne!(answer.status, 200, "{label}: {}", answer.body);
        assert!(tampering.changed() > before, "{label}");
        tampering.set(None);
        wait_until("a completion", async || {
            let answer = complete().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            (answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n")).then_some(())
        })
        .await;
    }
}
