//! Denials by a configuration that the store has not confirmed for a while.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    get_text,
    registered::{Fleet, KEY, config_row},
    wait_until,
};
use kingcupbay_standin::{Fault, FaultOrder, Rule, UpstreamServer};

/// A key that is added while the entry hears nothing of it.
const ADDED_KEY: &str = "key-of-the-new-cellar";

/// Time in which every feed that was answered before has ended.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Time after which the added key must be in force.
const PROPAGATION_MAX: Duration = Duration::from_millis(2_000);

/// Starts an entry with one upstream that serves the usual key only.
async fn start() -> (Fleet, UpstreamServer) {
    let fleet = Fleet::start(1).await;
    let upstream = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    wait_until("the usual key", async || {
        (fleet.send("GET", "/seats/today", "a1").await.status == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.send_with("GET", "/seats/today", "a2", ADDED_KEY, &[]).await.status, 401);
    (fleet, upstream)
}

/// An entry that the store no longer answers denies a key or route that has been added since.
#[actix_rt::test]
async fn an_unconfirmed_configuration_denies_nothing() {
    let (fleet, _upstream) = start().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent));
    tokio::time::sleep(FEED_WAIT).await;
    fleet.store.put("op", "config", &config_row(2, &[KEY, ADDED_KEY]));
    tokio::time::sleep(PROPAGATION_MAX).await;
    for path in ["/seats/today", "/new-route/today"] {
        let got = fleet.send_with("GET", path, "a3", ADDED_KEY, &[]).await;
        assert_eq!(got.status, 503, "{path}: {got:?}");
        assert!(got.retry_after.is_some(), "{path}");
    }
    assert_eq!(fleet.send("GET", "/seats/today", "a4").await.status, 200);
    let metrics = get_text(&fleet.entry, "/metrics").await;
    assert!(metrics.contains("kingcupbay_denials_total{confirmed=\"nobody\"} 2"), "{metrics}");
}

/// An entry whose feed has died denies a key that has been added since, although the store
/// answers other calls.
#[actix_rt::test]
async fn an_entry_with_a_dead_feed_asks_before_it_denies() {
    let (fleet, _upstream) = start().await;
    fleet.store.server().add_rule(Rule::new(Fault::Silent).path("/v1/rows-feed"));
    tokio::time::sleep(FEED_WAIT).await;
    fleet.store.put("op", "config", &config_row(2, &[KEY, ADDED_KEY]));
    fleet.store.server().apply(FaultOrder::ClearAll);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let got = fleet.send_with("GET", "/seats/today", "a3", ADDED_KEY, &[]).await;
    assert_eq!(got.status, 200, "{got:?}");
}

/// An unknown key is denied as long as the store confirms that nothing has changed.
#[actix_rt::test]
async fn a_confirmed_configuration_denies_at_once() {
    let (fleet, _upstream) = start().await;
    for number in 0..20 {
        let attempt = format!("b{number}");
        let got = fleet.send_with("GET", "/seats/today", &attempt, ADDED_KEY, &[]).await;
        assert_eq!(got.status, 401, "{got:?}");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}
