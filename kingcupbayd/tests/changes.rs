//! Changes of the configuration while requests are under way.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    client,
    registered::{Fleet, KEY, STREAM_HEADERS, config_row, event_ids, start_two_engines},
    wait_until,
};
use kingcupbay_standin::{Fault, Rule, UpstreamSettings};
use serde_json::{Value, json};

/// Events of each stream.
const EVENTS: u64 = 200;

/// Returns the first configuration. Its latency target lets a stream go on late at another engine.
fn first_config() -> Value {
    let mut config = config_row(2, &[KEY]);
    for route in config["routes"].as_array_mut().unwrap() {
        route["targetLatencyMs"] = json!(9_000);
    }
    config
}

/// Returns configurations that take away, one after the other, what a request of the first one
/// relies on.
fn changes() -> Vec<Value> {
    let mut config = first_config();
    let changes: [&dyn Fn(&mut Value); 7] = [
        &|config| {
            for route in config["routes"].as_array_mut().unwrap() {
                route["timeoutMs"] = json!(200);
                route["targetLatencyMs"] = json!(20);
                route["maxAttempts"] = json!(1);
            }
        },
        &|config| config["tenants"][0]["ratePerS"] = json!(1),
        &|config| config["routes"][0]["service"] = json!("writer"),
        &|config| config["routes"][2]["service"] = json!("desk"),
        &|config| config["tenants"][0]["apiKeys"] = json!(["another key of the winery"]),
        &|config| config["routes"] = json!([config["routes"][1]]),
        &|config| {
            config["tenants"] = json!([]);
            config["services"] = json!([{"name": "other", "maxConns": 200}]);
            config["routes"][0]["service"] = json!("other");
        },
    ];
    let numbered = (3..).zip(changes).map(|(number, change)| {
        change(&mut config);
        config["version"] = json!(number);
        config.clone()
    });
    numbered.collect()
}

/// Sends a request of the first configuration and returns the status and body of its answer.
async fn post(
    entry: SocketAddr,
    path: &str,
    attempt: &str,
    headers: &[(&str, &str)],
) -> (u16, String) {
    let mut request = client()
        .post(format!("http://{entry}{path}"))
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", attempt))
        .insert_header(("x-deadline-ms", "10000"))
        .bearer_auth(KEY);
    for &header in headers {
        request = request.insert_header(header);
    }
    let mut response = request.send().await.unwrap();
    let body = response.body().limit(1 << 20).await;
    let body = body
        .map_or_else(|error| error.to_string(), |body| String::from_utf8_lossy(&body).into_owned());
    (response.status().as_u16(), body)
}

/// Writes configurations, each once the entry has applied the one before.
async fn apply(fleet: &mut Fleet, configs: Vec<Value>) {
    for config in configs {
        fleet.store.put("op", "config", &config);
        let line = format!("taken=true number={} event=configuration", config["version"]);
        wait_until("the configuration", async || fleet.entry.has_line(&line).then_some(())).await;
    }
}

/// Guards against a stream that ends because the configuration changes, also if it has to go on
/// at another engine afterwards.
#[actix_rt::test]
async fn a_stream_outlasts_changes_of_the_configuration() {
    let cut = |id: &str| UpstreamSettings {
        event_interval: Duration::from_millis(25),
        cut_after: Some(EVENTS - 20),
        ..UpstreamSettings::engine(id, EVENTS)
    };
    let (mut fleet, [first, second], _sidecars) = start_two_engines(cut).await;
    let engines = [&first, &second];
    apply(&mut fleet, vec![first_config()]).await;
    let entry = fleet.entry.address("callers");
    let mut attempts = 0;
    let stream = wait_until("a stream", async || {
        attempts += 1;
        let attempt = format!("a{attempts}");
        let (status, body) = post(entry, "/tour/day", &attempt, STREAM_HEADERS).await;
        (status != 503).then_some((status, body))
    });
    let changed = async {
        wait_until("events of a stream", async || {
            let mut made = engines.iter().flat_map(|engine| engine.events_made().into_values());
            made.any(|made| made >= 5).then_some(())
        })
        .await;
        apply(&mut fleet, changes()).await;
        let made = engines.iter().flat_map(|engine| engine.events_made().into_values()).max();
        assert!(made < Some(EVENTS - 20), "the changes came too late: {made:?}");
    };
    let ((status, body), ()) = tokio::join!(stream, changed);
    assert_eq!((status, event_ids(&body)), (200, (1..=EVENTS).collect()), "{body}");
    let runs = engines.iter().flat_map(|engine| engine.runs());
    assert_eq!(runs.count(), 2);
}

/// Guards against a plain request without an answer as the configuration changes.
#[actix_rt::test]
async fn a_plain_request_outlasts_changes_of_the_configuration() {
    let mut fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    apply(&mut fleet, vec![first_config()]).await;
    let entry = fleet.entry.address("callers");
    let late = Fault::LateAnswer { millis: 4_000 };
    let rule = desk.server().add_rule(Rule::new(late).path("/book/table"));
    let changed = async {
        desk.server().wait_for_hits(rule, 1).await;
        apply(&mut fleet, changes()).await;
    };
    let (answer, ()) = tokio::join!(post(entry, "/book/table", "a1", &[]), changed);
    assert_eq!(answer, (200, "done by desk-1".to_owned()));
}
