//! Streams whose engines send heads that break the grammar of HTTP/1.1.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    raw::{Change, Tampering},
    registered::{Fleet, KEY, STREAM_HEADERS, event_ids, request_tour, start_two_engines},
    wait_until,
};
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};

/// What happens to a head, with its name.
const CHANGES: &[(&str, Change)] = &[
    ("a blank before a colon", |head| insert(head, "x-note : a")),
    ("a short length", |head| insert(head, "content-length : 12")),
    ("a line that is no field", |head| insert(head, "x-note")),
    ("a control byte in a name", |head| insert(head, "x-\x01note: a")),
    ("a bare line feed", |head| insert(head, "x-note: a\nx-other: b")),
    ("identity", |head| head.replace("transfer-encoding: chunked", "transfer-encoding: identity")),
    ("status 000", |head| head.replace(" 200 OK", " 000 OK")),
    ("status 600", |head| head.replace(" 200 OK", " 600 OK")),
    ("status 204", |head| head.replace(" 200 OK", " 204 OK")),
    ("an informational head with a body", |head| {
        format!("HTTP/1.1 103 Hints\r\ncontent-length: 2\r\n\r\n{head}")
    }),
];

/// Adds a line after the first one.
fn insert(head: &str, line: &str) -> String {
    head.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

/// Puts a place in between the entry and an engine.
async fn tamper(fleet: &mut Fleet, id: &str, engine: &UpstreamServer) -> Tampering {
    let tampering = Tampering::start(engine.server().address());
    fleet.store.put("servers", id, &engine.registration_at(tampering.address, "writer", false));
    let address = format!("address={}", tampering.address);
    let quoted = format!("address=\"{}\"", tampering.address);
    wait_until("the new address", async || {
        (fleet.entry.has_line(&address) || fleet.entry.has_line(&quoted)).then_some(())
    })
    .await;
    tampering
}

/// An engine breaks the heads of its answers. Guards against passing one on, and against giving a
/// stream up that another engine can run.
#[actix_rt::test]
async fn a_stream_with_a_broken_head_is_begun_elsewhere() {
    for &(name, change) in CHANGES {
        let settings = |id: &str| UpstreamSettings::engine(id, 6);
        let (mut fleet, engines, _sidecars) = start_two_engines(settings).await;
        assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
        let tampering = tamper(&mut fleet, "gpu-1", &engines[0]).await;
        tampering.set(Some(change));
        let mut served = 0;
        for number in 0..12 {
            let adapter = format!("base/a{number}");
            let headers = [("x-model", &*adapter), STREAM_HEADERS[1]];
            let attempt = format!("b{number}");
            let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, &headers).await;
            match got.status {
                200 => {
                    let events = event_ids(&got.body.unwrap());
                    assert_eq!(events, [1, 2, 3, 4, 5, 6], "{name}, stream {number}");
                    served += 1;
                }
                502..=504 => {}
                _ => panic!("{name}, stream {number}: {got:?}"),
            }
        }
        assert!(tampering.changed() > 0, "{name}: the first engine has begun no stream");
        assert!(served > 0, "{name}: no stream was served");
    }
}

/// An engine breaks off, and the only other one breaks the head of its answer. Guards against a
/// stream that goes on with that answer's body, or looks complete.
#[actix_rt::test]
async fn a_stream_does_not_go_on_with_a_broken_head() {
    for &(name, change) in CHANGES {
        let settings = |id: &str| UpstreamSettings::engine(id, 6);
        let (mut fleet, engines, _sidecars) = start_two_engines(settings).await;
        let tampering = tamper(&mut fleet, "gpu-1", &engines[0]).await;
        let calm = request_tour(&fleet, "a1", None).await;
        assert_eq!(event_ids(&calm.body.unwrap()), [1, 2, 3, 4, 5, 6], "{name}: the calm stream");
        tampering.set(Some(change));
        for number in 0..12 {
            let adapter = format!("base/a{number}");
            let headers = [("x-model", &*adapter), STREAM_HEADERS[1]];
            let attempt = format!("b{number}");
            engines[1].set_cut(Some(3));
            let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, &headers).await;
            if got.status == 200 {
                let events = got.body.as_deref().map(event_ids).unwrap_or_default();
                assert!(events.len() <= 3, "{name}, stream {number}: {events:?}");
            }
        }
        let runs = engines[0].runs();
        let resumed = runs.iter().any(|run| run.headers.contains_key("last-event-id"));
        assert!(resumed, "{name}: no stream was taken up at the first engine");
    }
}
