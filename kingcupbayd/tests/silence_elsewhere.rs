//! Daemons, callers and connections that fall silent for a while and go on.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    client,
    registered::{Fleet, KEY, config_row},
    wait_until,
};

/// A silence that ends before callers give up.
const SILENCE: Duration = Duration::from_millis(2_700);

/// Bytes of a body that no receiver's buffer holds.
const LONG_BODY_BYTES: usize = 16 << 20;

/// Guards against losing a long request because its upstream reads nothing for a while.
#[actix_rt::test]
async fn a_long_request_outlasts_an_upstream_that_does_not_read() {
    let fleet = Fleet::start(1).await;
    let mut config = config_row(2, &[KEY]);
    config["limits"]["maxBodyBytes"] = (2 * LONG_BODY_BYTES).into();
    fleet.store.put("op", "config", &config);
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    let url = format!("http://{}/book/table", fleet.entry.address("callers"));
    let request = client()
        .post(url)
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", "a1"))
        .insert_header(("x-deadline-ms", "10000"))
        .bearer_auth(KEY);
    let pause = desk.server().pause();
    let silence = async {
        tokio::time::sleep(SILENCE).await;
        drop(pause);
    };
    let (answer, ()) = tokio::join!(request.send_body(vec![b'a'; LONG_BODY_BYTES]), silence);
    assert_eq!(answer.unwrap().status(), 200);
}

/// Guards against an entry that takes its own pause for silence of the store.
#[actix_rt::test]
async fn an_entry_that_stood_still_does_not_count_the_store_as_lost() {
    let mut fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    fleet.entry.signal("-STOP");
    tokio::time::sleep(SILENCE).await;
    fleet.entry.signal("-CONT");
    fleet.store.put("op", "config", &config_row(2, &[KEY]));
    wait_until("the configuration", async || {
        fleet.entry.has_line("number=2 event=configuration").then_some(())
    })
    .await;
    assert!(!fleet.entry.has_line("event=store_lost"), "{}", fleet.entry.seen.join("\n"));
}
