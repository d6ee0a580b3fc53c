//! Entries of a registered fleet: configuration, callers, plain services.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use common::{
    registered::{ANY_PORT, CallerAnswer, Fleet, KEY, config_row, start_entry},
    wait_until,
};
use kingcupbay_standin::{Fault, Registry, Rule, UpstreamServer, UpstreamSettings};
use serde_json::json;

/// A visitor asks for seats. The desk's answer reaches them with its status,
/// body and proof unchanged; the desk is told whose request it is and never
/// sees the key.
#[actix_rt::test]
async fn a_plain_answer_is_passed_on_unchanged() {
    let fleet = Fleet::start(1).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    let extra = [("x-tenant", "another"), ("x-hold", "7"), ("x-party", "2")];
    let got = fleet.send_with("POST", "/seats/today?at=noon", "a1", KEY, &extra).await;
    assert_eq!((got.status, got.signature.as_deref()), (200, Some("stamp-of-a1")), "{got:?}");
    assert_eq!(got.body.unwrap(), "done by desk-1");
    let run = &desk.runs()[0];
    assert_eq!(
        (run.path.as_str(), run.body.as_slice()),
        ("/seats/today?at=noon", &b"a table for two"[..])
    );
    assert_eq!(run.headers["x-tenant"], "winery");
    assert_eq!(run.headers["x-expect-instance"], "desk-1");
    assert_eq!(run.headers["x-party"], "2");
    assert!(!run.headers.contains_key("authorization"));
    assert!(!run.headers.contains_key("x-hold"));
}

/// Before an entry knows a configuration it cannot tell an unknown route or
/// key from one it has not read yet, so it must not call either unknown.
#[actix_rt::test]
async fn an_entry_without_a_configuration_asks_callers_to_come_back() {
    let store = Registry::start(ANY_PORT).unwrap();
    let entry = start_entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    let got = fleet.send("GET", "/seats/today", "a1").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.retry_after.is_some());
}

/// The operator withdraws a key while its holder goes on calling. As soon as
/// the store's feed has told it, the key is refused; an older configuration
/// that comes later, as from a slow read, does not revive it.
#[actix_rt::test]
async fn a_withdrawn_key_stops_working_and_stays_withdrawn() {
    let fleet = Fleet::start(1).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send("GET", "/seats/today", "a1").await.status, 200);
    fleet.store.put("op", "config", &config_row(5, &["another-key"]));
    wait_until("the refusal", async || {
        (fleet.send("GET", "/seats/today", "a2").await.status == 401).then_some(())
    })
    .await;
    fleet.store.put("op", "config", &config_row(4, &[KEY]));
    fleet.store.put("op", "config", &config_row(6, &["a-third-key"]));
    wait_until("the third key", async || {
        let got = fleet.send_with("GET", "/seats/today", "a3", "a-third-key", &[]).await;
        (got.status == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.send("GET", "/seats/today", "a4").await.status, 401);
}

/// The store drops its history while an entry follows it. The feed fails, and
/// the entry must read everything anew instead of missing what was dropped.
#[actix_rt::test]
async fn a_dropped_history_is_read_anew() {
    let fleet = Fleet::start(1).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    fleet.store.put("op", "config", &config_row(2, &["another-key"]));
    fleet.store.drop_history();
    wait_until("the new key", async || {
        let got = fleet.send_with("GET", "/seats/today", "a1", "another-key", &[]).await;
        (got.status == 200).then_some(())
    })
    .await;
}

/// More rows than fit into one answer lie among the upstreams, with characters in
/// their keys that a path may not hold. The desk stands behind them all and must
/// be found.
#[actix_rt::test]
async fn rows_on_several_pages_are_all_read() {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    for row in 0..600 {
        store.put("servers", &format!("a & {row}\u{1}%"), &json!({"state": "gone"}));
    }
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    store.put("servers", "desk-1", &desk.registration("desk", "ready"));
    let entry = start_entry("entry-1", &store, 1);
    let fleet = Fleet { store, entry };
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send("GET", "/seats/today", "a1").await.status, 200);
}

/// Another program writes a row among the upstreams that is not JSON, and one
/// without an address. They name no upstream; the good one still serves.
#[actix_rt::test]
async fn rows_of_other_writers_name_no_upstream() {
    let fleet = Fleet::start(1).await;
    fleet.store.put_bytes("servers", "bytes", &[0xff, 0x00]);
    fleet.store.put("servers", "half", &json!({"service": "desk", "state": "ready"}));
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send("GET", "/seats/today", "a1").await.status, 200);
}

/// A booking reaches the desk, which takes the seats, and its answer is lost
/// with the connection. Sent again it would book twice, and "not run" would be
/// a lie, so the caller is told neither.
#[actix_rt::test]
async fn a_booking_whose_answer_is_lost_is_not_sent_again() {
    let fleet = Fleet::start(1).await;
    let desks = ["desk-1", "desk-2"].map(|id| {
        let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        desk.server().add_rule(Rule::new(Fault::LoseAnswer).path("/book/"));
        fleet.register(id, "desk", &desk);
        desk
    });
    fleet.wait_until_ready().await;
    let got = fleet.send("POST", "/book/table", "a1").await;
    assert_eq!(got.status, 502, "{got:?}");
    let runs: usize = desks.iter().map(|desk| desk.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A seat lookup may run twice: when one desk loses its answer, the other is
/// asked, and the visitor sees nothing of it.
#[actix_rt::test]
async fn a_lookup_whose_answer_is_lost_goes_to_another_desk() {
    let fleet = Fleet::start(1).await;
    let desks = ["desk-1", "desk-2"].map(|id| {
        let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        fleet.register(id, "desk", &desk);
        desk
    });
    desks[0].server().add_rule(Rule::new(Fault::LoseAnswer).path("/seats/"));
    fleet.wait_until_ready().await;
    for attempt in ["a1", "a2", "a3", "a4"] {
        let got = fleet.send("GET", "/seats/today", attempt).await;
        assert_eq!((got.status, got.body.unwrap().as_str()), (200, "done by desk-2"));
    }
}

/// Serves each connection once with `answer` and closes it; `reset` closes it
/// with the request unread, which resets it.
fn raw_upstream(answer: &'static str, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 16];
            let size = if reset { 1 } else { 4_096 };
            let mut rest = vec![0; size];
            let _ = if reset { stream.read(&mut head[..1]) } else { stream.read(&mut rest) };
            let _ = stream.write_all(answer.as_bytes());
            std::thread::sleep(Duration::from_millis(30));
        }
    });
    address
}

async fn raw_answer(answer: &'static str, reset: bool) -> CallerAnswer {
    let fleet = Fleet::start(1).await;
    let address = raw_upstream(answer, reset).to_string();
    let row = json!({"service": "desk", "address": address, "zone": "zone-a", "state": "ready"});
    fleet.store.put("servers", "raw", &row);
    fleet.wait_until_ready().await;
    fleet.send("POST", "/book/table", "a1").await
}

/// A desk names no length and ends its answer by closing the connection. The
/// library's parser takes that for an empty body: the guest would get a proper
/// answer without its text. It must come whole.
#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_is_whole() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\r\ntwo seats";
    let got = raw_answer(answer, false).await;
    assert_eq!((got.status, got.body.unwrap().as_str()), (200, "two seats"));
}

/// The same answer, but its connection is reset: what came may be half of it,
/// and a half itinerary must not look like a whole one.
#[actix_rt::test]
async fn a_body_whose_connection_is_reset_is_not_whole() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\r\ntwo seats";
    let got = raw_answer(answer, true).await;
    assert_eq!(got.status, 502, "{got:?}");
}

/// A desk's late answer to another guest arrives where this guest's is due.
/// Passed on, it would tell one family of another's booking.
#[actix_rt::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: b7\r\nx-response-stamp: s\r\n\
        content-length: 5\r\n\r\ntheir\
        HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-stamp: s\r\n\
        content-length: 4\r\n\r\nours";
    let got = raw_answer(answer, false).await;
    assert_eq!((got.status, got.body.unwrap().as_str()), (200, "ours"));
}

/// A caller gives up while nothing comes from the desk. What was sent there must
/// not arrive later, when the way to it is back: the entry resets the
/// connection, which drops what the kernel still holds; a plain close would
/// deliver it.
#[actix_rt::test]
async fn a_request_that_is_given_up_is_reset() {
    let fleet = Fleet::start(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (heard, came) = std::sync::mpsc::channel();
    let (ended, end) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4_096];
        let end = loop {
            match stream.read(&mut bytes) {
                Ok(0) => break None,
                Ok(_) => heard.send(()).unwrap(),
                Err(error) => break Some(error.kind()),
            }
        };
        ended.send(end).unwrap();
    });
    let row = json!({"service": "desk", "address": address, "zone": "zone-a", "state": "ready"});
    fleet.store.put("servers", "mute", &row);
    fleet.wait_until_ready().await;
    // The caller leaves once the desk has heard of its request; before that
    // nothing was sent that could arrive.
    tokio::select! {
        got = fleet.send("POST", "/book/table", "a1") => panic!("an answer: {got:?}"),
        () = wait_until("the request", async || came.try_recv().ok()) => {}
    }
    let end = wait_until("the end", async || end.try_recv().ok()).await;
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// An entry was silent for so long that another took it off the list, and its
/// part of every limit with it. When it is back it must be listed again, or it
/// refuses its callers for ever.
#[actix_rt::test]
async fn an_entry_that_was_taken_off_the_list_comes_back() {
    let fleet = Fleet::start(1).await;
    let listed = || fleet.store.keys("entries") == ["entry-1"];
    wait_until("the registration", async || listed().then_some(())).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    fleet.store.put(
        "entries",
        "entry-2",
        &json!({"host": "entry-2", "role": "entry",
        "address": "127.0.0.1:1", "zone": "zone-a", "incarnation": 2}),
    );
    fleet.store.remove("entries", "entry-1");
    wait_until("the second registration", async || {
        fleet.store.keys("entries").contains(&"entry-1".to_owned()).then_some(())
    })
    .await;
    wait_until("an answer", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 200).then_some(())
    })
    .await;
}

/// Two entries share an organisation's limit. What is spent at one counts at
/// the other: together they let no more through than the burst and the rate.
#[actix_rt::test]
async fn two_entries_count_one_limit() {
    let store = Registry::start(ANY_PORT).unwrap();
    let mut limited = config_row(1, &[KEY]);
    limited["tenants"][0]["ratePerS"] = json!(1);
    limited["tenants"][0]["burst"] = json!(1_000);
    store.put("op", "config", &limited);
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    store.put("servers", "desk-1", &desk.registration("desk", "ready"));
    let fleets: Vec<Fleet> = ["entry-1", "entry-2"]
        .into_iter()
        .map(|host| Fleet {
            store: Registry::start(ANY_PORT).unwrap(),
            entry: start_entry(host, &store, 1),
        })
        .collect();
    for fleet in &fleets {
        fleet.wait_until_ready().await;
    }
    wait_until("both entries on the list", async || {
        (store.keys("entries").len() == 2).then_some(())
    })
    .await;
    let mut served = 0;
    for attempt in 0..30 {
        let got = fleets[attempt % 2].send("GET", "/seats/today", &format!("a{attempt}")).await;
        served += u32::from(got.status == 200);
        if got.status != 200 {
            assert_eq!(got.status, 429);
            assert!(got.retry_after.is_some());
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    // Ten requests of 100 tokens are the burst; each entry may spend one more
    // on what the other's next tally would have told it.
    assert!((8..=12).contains(&served), "{served}");
}

/// A booking goes to a desk that said three seconds ago that it leaves. The store
/// drops its history; the entry reads everything again and begins its feeds
/// while the store is still busy with that. Such a feed is told of nothing until
/// its wait is over, so the wait decides how long the entry does not know.
#[actix_rt::test]
async fn a_deaf_feed_tells_of_a_leaving_upstream_at_the_end_of_a_short_wait() {
    /// Within this an upstream that leaves must get nothing new.
    const LEAVING_MS: u64 = 2_000;
    let fleet = Fleet::start(1).await;
    let desk = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain("desk-1")).unwrap();
    fleet.register("desk-1", "desk", &desk);
    fleet.wait_until_ready().await;
    fleet.store.set_feeds_delayed(true);
    fleet.store.drop_history();
    wait_until("deaf feeds", async || {
        let all =
            ["op", "servers", "entries"].iter().all(|table| fleet.store.delayed_feeds(table) > 0);
        all.then_some(())
    })
    .await;
    fleet.store.set_feeds_delayed(false);
    fleet.store.put("servers", "desk-1", &desk.registration("desk", "draining"));
    wait_until("no more bookings at the desk", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 503).then_some(())
    })
    .await;
    for table in ["op", "servers"] {
        let longest = fleet.store.longest_wait(table);
        assert!(longest <= LEAVING_MS, "{table}: {longest} ms");
    }
}
