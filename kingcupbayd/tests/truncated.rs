//! A plain service's truncated answer is never passed on as complete.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};

use common::{
    apply_changes, basic_changes, build_request, name, send_request, start_daemon, start_standin,
    wait_for_number, wait_until_ready,
};
use kingcupbay_core::config::{
    change::Change,
    model::{Serves, Upstream},
};
use serde_json::json;

/// Starts a service that answers every call with `answer` and closes the connection.
fn service(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(answer);
        }
    });
    address
}

/// A service's host fails while it writes an answer: the connection ends after half of
/// it, and the client library reports a normal end. The caller must not get half an
/// answer as if it were complete.
#[actix_rt::test]
async fn a_truncated_answer_is_a_failure_that_ran() {
    let announced = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
        content-length: 40\r\n\r\n{\"verdict\": \"first pr";
    let chunked = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
        transfer-encoding: chunked\r\n\r\n40\r\n{\"verdict\": \"first pr";
    let platform = start_standin("platform", &[]);
    let upstream = start_daemon("upstream", "upstream-1", &platform, "");
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&upstream).await;
    wait_until_ready(&entry).await;
    let mut changes = basic_changes();
    for (text, answer) in [("announced", &announced[..]), ("chunked", &chunked[..])] {
        changes.extend(route(text, service(answer)));
    }
    let number = apply_changes(&entry, &changes).await;
    wait_for_number(&upstream, number).await;
    wait_for_number(&entry, number).await;
    for route in ["announced", "chunked", "announced-once", "chunked-once"] {
        let path = format!("/v1/call/{route}/verdict");
        let request = build_request(&entry, &path).insert_header(("idempotency-key", route));
        let answer = send_request(request, &json!({})).await;
        assert_ne!(answer.status, 200, "{route}: {}", answer.body);
        assert_ne!(answer.ran(), "not_run", "{route}: {}", answer.body);
    }
}

/// Returns a service at `address` with a repeatable route and a once-only route.
fn route(text: &str, address: SocketAddr) -> Vec<Change> {
    let upstream = Upstream {
        name: name(text),
        host: name("upstream-1"),
        address: address.to_string(),
        zone: name("zone-a"),
        serves: Serves::Service { service: name(text) },
        leaving: false,
    };
    let route = |label: String, once| Change::SetRoute {
        name: name(&label),
        organisation: name("winery"),
        service: name(text),
        once,
    };
    vec![
        Change::SetUpstream { upstream },
        route(text.to_owned(), false),
        route(format!("{text}-once"), true),
    ]
}
