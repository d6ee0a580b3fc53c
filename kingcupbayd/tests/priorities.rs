//! Limits of an organisation whose routes differ in priority.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use common::{
    client, get_text,
    registered::{ANY_PORT, Fleet, KEY, PLAIN_SERVICE, config_row, start_entry},
    wait_until,
};
use kingcupbay_core::{
    id::Number,
    time::Span,
    wire::usage::{AcquireRequest, AcquireVerdict, OrganisationUsage, RequestKind, UsageReport},
};
use kingcupbay_standin::Registry;
use serde_json::json;

/// A request of this priority to the plain service.
fn kind(priority: u8) -> RequestKind {
    let mut hasher = DefaultHasher::new();
    PLAIN_SERVICE.hash(&mut hasher);
    RequestKind { service: hasher.finish() as u32, priority }
}

/// Reports to the entry, as another one, a flood of requests of priority 0.
async fn report_flood(fleet: &Fleet) {
    let flood = OrganisationUsage {
        spent: 0,
        demand: 10_000.0,
        level: 1_000.0,
        kinds: BTreeMap::from([(kind(0), 10_000.0)]),
    };
    let report = UsageReport {
        host: "entry-9".to_owned(),
        incarnation: 1,
        number: Number(1),
        whole: true,
        uses: BTreeMap::from([("winery".to_owned(), flood)]),
        ..UsageReport::default()
    };
    let url = format!("http://{}/tally", fleet.entry.address("peers"));
    let body = rmp_serde::to_vec_named(&report).unwrap();
    let answer = client().post(&url).send_body(body).await.unwrap();
    assert_eq!(answer.status().as_u16(), 204);
}

/// Asks the entry, as a follower, for the tokens of a request of `priority`.
async fn ask(fleet: &Fleet, priority: u8) -> AcquireVerdict {
    let request = AcquireRequest {
        organisation: "winery".to_owned(),
        rate: 1,
        burst: 1_000,
        cost: 100,
        kind: Some(kind(priority)),
        remaining: Span::from_secs(3),
    };
    let url = format!("http://{}/acquire", fleet.entry.address("peers"));
    let body = rmp_serde::to_vec_named(&request).unwrap();
    let mut answer = client().post(&url).send_body(body).await.unwrap();
    rmp_serde::from_slice(&answer.body().await.unwrap()).unwrap()
}

/// Guards against priorities that are lost between the route, the usage reports, the requests
/// of followers and the answer: less urgent requests must be refused without `Retry-After`, and
/// urgent ones served, while another entry reports a flood of urgent ones.
#[actix_rt::test]
async fn a_reported_flood_of_urgent_requests_refuses_the_others() {
    let store = Registry::start(ANY_PORT).unwrap();
    let mut config = config_row(1, &[KEY]);
    config["tenants"][0]["ratePerS"] = json!(1);
    config["tenants"][0]["burst"] = json!(1_000);
    for (route, priority) in [(0, 0), (1, 2)] {
        config["routes"][route]["priority"] = json!(priority);
    }
    store.put("op", "config", &config);
    let mut fleet = Fleet { entry: start_entry("entry-1", &store, 1), store };
    let _upstream = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    let mut attempts = 0;
    let refused = wait_until("a refusal of a less urgent request", async || {
        attempts += 1;
        report_flood(&fleet).await;
        let got = fleet.send("POST", "/book/table", &format!("a{attempts}")).await;
        (got.status == 429).then_some(got)
    })
    .await;
    assert!(refused.retry_after.is_none(), "{refused:?}");
    assert!(attempts <= 4, "{attempts} less urgent requests were served");
    let verdict = ask(&fleet, 2).await;
    assert!(matches!(verdict, AcquireVerdict::OverLimit { hopeless: true, .. }), "{verdict:?}");
    let mut attempts = 0;
    wait_until("an urgent request that is served", async || {
        attempts += 1;
        report_flood(&fleet).await;
        let got = fleet.send("GET", "/seats/today", &format!("b{attempts}")).await;
        (got.status == 200).then_some(())
    })
    .await;
    let metrics = get_text(&fleet.entry, "/metrics").await;
    let hopeless = "kingcupbay_limit_requests_total{outcome=\"hopeless\",priority=\"2\"} 1";
    assert!(metrics.contains(hopeless), "{metrics}");
    let served = "kingcupbay_limit_requests_total{outcome=\"acquired\",priority=\"0\"} 1";
    assert!(metrics.contains(served), "{metrics}");
    assert!(fleet.entry.has_line("hopeless=true"));
}
