//! Invalid input of callers is refused clearly, runs nothing and leaks nothing.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use common::{
    Fleet, SECRET, apply_changes, build_request, client, completion_body, control, get_text, name,
    send_request, wait_for_number,
};
use kingcupbay_core::config::{change::Change, model::KeyHash};
use kingcupbay_standin::{EngineRecord, Outcome};
use serde_json::{Value, json};

/// Starts one entry and one upstream.
async fn start_small_fleet() -> Fleet {
    Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await
}

/// Returns the changes that declare a second organisation with a key and an
/// adapter.
fn other_organisation() -> Vec<Change> {
    vec![
        Change::SetOrganisation { name: name("tours"), rate: 1_000, burst: 1_000 },
        Change::IssueKey {
            label: name("bus"),
            organisation: name("tours"),
            hash: KeyHash::of("kcb_bus"),
        },
        Change::SetAdapter {
            name: name("route"),
            organisation: name("tours"),
            base: name("base"),
            default: None,
        },
    ]
}

/// An attacker must not learn from an answer which keys or adapters exist. The
/// answers to an unknown and a withdrawn key, and to an unknown adapter and one of
/// another organisation, must be equal to the byte.
#[actix_rt::test]
async fn refusals_do_not_reveal_what_exists() {
    let mut fleet = start_small_fleet().await;
    fleet.apply(&other_organisation()).await;
    let entry = &fleet.entries[0];
    let with_key = |key: &str| {
        let url = format!("http://{}/v1/completions", entry.address("callers"));
        client().post(url).insert_header(("x-deadline-ms", "5000")).bearer_auth(key)
    };
    let body = completion_body("tasting@v1", 4);
    let unknown = send_request(with_key("kcb_never"), &body).await;
    let number = apply_changes(entry, &[Change::WithdrawKey { label: name("bus") }]).await;
    wait_for_number(entry, number).await;
    let withdrawn = send_request(with_key("kcb_bus"), &body).await;
    assert_eq!((unknown.status, unknown.code().as_str()), (401, "bad_key"));
    assert_eq!((withdrawn.status, withdrawn.body), (401, unknown.body));

    let nobodys =
        send_request(build_request(entry, "/v1/completions"), &completion_body("royte", 4)).await;
    let others =
        send_request(build_request(entry, "/v1/completions"), &completion_body("route", 4)).await;
    assert_eq!((nobodys.status, nobodys.code().as_str()), (404, "not_found"));
    assert_eq!(others.body, nobodys.body.replace("royte", "route"));
    let version =
        send_request(build_request(entry, "/v1/completions"), &completion_body("tasting@v9", 4))
            .await;
    assert_eq!((version.status, version.ran().as_str()), (404, "not_run"));
}

/// The refusal of a malformed request must name the field or header at fault.
#[actix_rt::test]
async fn malformed_requests_name_what_is_wrong() {
    let fleet = start_small_fleet().await;
    let entry = &fleet.entries[0];
    let path = "/v1/completions";
    let refused = async |body: Value, field: &str| {
        let answer = send_request(build_request(entry, path), &body).await;
        assert_eq!((answer.status, answer.ran().as_str()), (400, "not_run"), "{body}");
        assert!(answer.body.contains(field), "{}", answer.body);
    };
    refused(json!({"prompt": "x"}), "model").await;
    refused(json!({"model": "tasting"}), "prompt").await;
    refused(json!({"model": "tasting", "prompt": "x", "max_tokens": 0}), "max_tokens").await;
    refused(json!({"model": "tasting", "prompt": "x", "n": 2}), "field n").await;
    refused(json!({"model": "tasting", "prompt": "x", "logprobs": 3}), "logprobs").await;

    let no_deadline = client().post(format!("http://{}{path}", entry.address("callers")));
    let answer =
        send_request(no_deadline.bearer_auth(SECRET), &completion_body("tasting", 4)).await;
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("x-deadline-ms"));

    let long = json!({"model": "tasting", "prompt": "x".repeat(2 << 20)});
    let answer = send_request(build_request(entry, path), &long).await;
    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
}

/// Sends `text` on a new connection, leaves it open, and returns all that is
/// received.
fn send_raw(fleet: &Fleet, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.entries[0].address("callers")).unwrap();
    stream.write_all(text).unwrap();
    let mut answer = Vec::new();
    // The connection of an endless header is reset, which ends the read too.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A caller stops sending in the middle of a body and the connection stays open.
/// Without a time limit each such caller would hold memory for ever.
#[actix_rt::test]
async fn a_body_that_stalls_is_answered_and_closed() {
    let fleet = start_small_fleet().await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n\
         x-deadline-ms: 9000\r\ncontent-length: 100\r\n\r\n{{\"model\""
    );
    let answer = send_raw(&fleet, head.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"code\":\"body_timeout\",\"ran\":\"not_run\""), "{answer}");
}

/// Thousands of headers, or one endless header, must end the connection but not
/// the daemon, which must serve the next caller.
#[actix_rt::test]
async fn oversized_headers_end_only_their_connection() {
    let fleet = start_small_fleet().await;
    let mut many = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n".to_vec();
    for at in 0..5_000 {
        many.extend_from_slice(format!("x-{at}: y\r\n").as_bytes());
    }
    many.extend_from_slice(b"\r\n");
    let answer = send_raw(&fleet, &many);
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    let mut endless = b"POST /v1/completions HTTP/1.1\r\nx-long: ".to_vec();
    endless.extend(std::iter::repeat_n(b'y', 1 << 20));
    let answer = send_raw(&fleet, &endless);
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    let answer = send_request(
        build_request(&fleet.entries[0], "/v1/completions"),
        &completion_body("tasting", 2),
    )
    .await;
    assert_eq!(answer.status, 200);
}

/// A caller disconnects in the middle of an answer. The engine's stream must end
/// too, or it would generate for no caller, and the answer must be counted as
/// undelivered for the operators.
#[actix_rt::test]
async fn a_caller_that_leaves_midway_cancels_the_engines_stream() {
    let fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "20"], "").await;
    let entry = &fleet.entries[0];
    let body = completion_body("tasting@v1", 5_000);
    let response = build_request(entry, "/v1/completions").send_json(&body).await.unwrap();
    assert_eq!(response.status(), 200);
    drop(response);
    let engine = control(&fleet.engines[0]);
    common::wait_until("the cancelled stream", async || {
        let record: EngineRecord = engine.get("/state").await.unwrap();
        let ended = record.count(Outcome::Cancelled) + record.count(Outcome::Dropped);
        (ended == 1 && record.ran.len() == 1).then_some(())
    })
    .await;
    common::wait_until("the released pin", async || {
        let dump = get_text(&fleet.upstreams[0], "/admin/dump").await;
        (dump.contains("running=0") && dump.contains("pins=0")).then_some(())
    })
    .await;
    let metrics = get_text(entry, "/metrics").await;
    assert!(metrics.contains("kingcupbay_undelivered_total{organisation=\"winery\"} 1"));
}

/// No upstream may receive a key. The test searches for its bytes, and for those
/// of its hash, in everything that an engine received on its socket.
#[actix_rt::test]
async fn no_byte_of_a_key_reaches_an_engine() {
    let fleet = start_small_fleet().await;
    let engine = control(&fleet.engines[0]);
    engine.set_recording(true).await.unwrap();
    let answer = send_request(
        build_request(&fleet.entries[0], "/v1/completions"),
        &completion_body("tasting", 8),
    )
    .await;
    assert_eq!(answer.status, 200);
    let received = engine.received().await.unwrap();
    let find = |text: &str| received.windows(text.len()).any(|part| part == text.as_bytes());
    assert!(find("two wineries"), "the recording holds the prompt");
    assert!(!find(SECRET) && !find(&SECRET[4..]));
    let hash = hex::encode(KeyHash::of(SECRET).0);
    assert!(!find(&hash));
}

/// No plain service may receive a key, neither through a route whose calls may be
/// repeated nor through one whose calls run at most once.
#[actix_rt::test]
async fn no_byte_of_a_key_reaches_a_service() {
    let mut fleet = start_small_fleet().await;
    let service = common::start_standin("service", &[]);
    let mut changes = vec![common::service_upstream("desk-1", "upstream-1", &service)];
    for (route, once) in [("book", true), ("look", false)] {
        changes.push(Change::SetRoute {
            name: name(route),
            organisation: name("winery"),
            service: name("booking"),
            once,
        });
    }
    fleet.apply(&changes).await;
    let recorder = control(&service);
    recorder.set_recording(true).await.unwrap();
    for route in ["book", "look"] {
        let request = build_request(&fleet.entries[0], &format!("/v1/call/{route}/seats"));
        let request = request.insert_header(("idempotency-key", route));
        let answer = send_request(request, &json!({"seat": "the one by the window"})).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let received = recorder.received().await.unwrap();
    let find = |text: &str| received.windows(text.len()).any(|part| part == text.as_bytes());
    assert!(find("by the window"), "the recording holds the calls");
    assert!(!find(SECRET) && !find(&SECRET[4..]) && !find("uthorization"));
}

/// The list of models must hold the models of the key's organisation only.
#[actix_rt::test]
async fn models_are_listed_by_key() {
    let mut fleet = start_small_fleet().await;
    fleet.apply(&other_organisation()).await;
    let entry = &fleet.entries[0];
    let url = format!("http://{}/v1/models", entry.address("callers"));
    let mut response = client().get(url).bearer_auth(SECRET).send().await.unwrap();
    let list: Value = response.json().await.unwrap();
    let ids: Vec<_> = list["data"].as_array().unwrap().iter().map(|m| &m["id"]).collect();
    assert_eq!(ids, ["tasting@v1", "tasting@v2"]);
}

/// Hundreds of callers connect at once while the entry is busy. If the listen
/// backlog were short, the kernel would drop connections, which succeed a second
/// later or time out. Upstream daemons have the same backlog, and an entry would
/// consider one of them dead.
#[actix_rt::test]
async fn a_burst_of_connections_waits_for_a_busy_entry() {
    let fleet = start_small_fleet().await;
    let at = fleet.entries[0].address("callers");
    fleet.entries[0].signal("-STOP");
    let connect = |_| TcpStream::connect_timeout(&at, Duration::from_secs(5)).ok();
    let connected = (0..600).map_while(connect).collect::<Vec<_>>().len();
    fleet.entries[0].signal("-CONT");
    assert_eq!(connected, 600);
}
