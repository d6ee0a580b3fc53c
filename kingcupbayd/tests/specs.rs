//! Sidecars that learn from permit requests and from readers what concerns their engines.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    Process, get_text,
    registered::{KEY, config_row, request_tour, start_engine_fleet},
    wait_until,
};
use kingcupbay_standin::UpstreamSettings;
use serde_json::json;

/// Returns the number of the sidecar's calls that read or follow the operator's rows.
async fn operator_calls(sidecar: &Process) -> u64 {
    let text = get_text(sidecar, "/metrics").await;
    let count = |kind: &str| {
        let name = format!("kingcupbay_store_calls_total{{call=\"{kind}\",table=\"op\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&name)?.parse::<u64>().ok());
        line.unwrap_or_default()
    };
    count("read") + count("feed")
}

/// Guards against calls of the store by every sidecar for every configuration, also those
/// that do not concern its engine.
#[actix_rt::test]
async fn a_sidecar_reads_only_configurations_that_concern_its_engine() {
    let (fleet, _engine, mut sidecar) =
        start_engine_fleet(UpstreamSettings::engine("gpu-1", 4)).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let before = operator_calls(&sidecar).await;
    for number in 2..6 {
        fleet.store.put("op", "config", &config_row(number, &[KEY]));
        let attempt = format!("a{number}");
        assert_eq!(request_tour(&fleet, &attempt, None).await.status, 200);
    }
    assert_eq!(operator_calls(&sidecar).await, before);
    let mut changed = config_row(6, &[KEY]);
    changed["services"][1]["engine"]["adapterSlots"] = json!(3);
    fleet.store.put("op", "config", &changed);
    wait_until("the new specification", async || {
        request_tour(&fleet, "b", None).await;
        sidecar.has_line("number=6 event=configuration").then_some(())
    })
    .await;
}
