//! Calls that run at most once, in separate processes. The service counts its
//! executions.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    Answer, Process, apply_changes, basic_changes, build_request, control, name, send_request,
    service_upstream, start_daemon, start_standin, wait_for_number, wait_until, wait_until_ready,
};
use kingcupbay_core::config::change::Change;
use kingcupbay_standin::{ExecutionCounts, Fault, Rule};
use serde_json::json;

/// A platform, one service behind one upstream daemon, and an entry.
struct Setup {
    platform: Process,
    service: Process,
    upstream: Process,
    entry: Process,
}

impl Setup {
    /// Starts everything and makes a first call, so that the upstream daemon has
    /// its fencing number.
    async fn start() -> Setup {
        let setup = Setup::start_without_call().await;
        assert_eq!(setup.call("first").await.status, 200);
        setup
    }

    /// Starts everything, without a call.
    async fn start_without_call() -> Setup {
        let platform = start_standin("platform", &[]);
        let service = start_standin("service", &[]);
        let upstream = start_daemon("upstream", "upstream-1", &platform, "");
        let entry = start_daemon("entry", "entry-1", &platform, "");
        let mut changes = basic_changes();
        changes.push(service_upstream("desk-1", "upstream-1", &service));
        changes.push(Change::SetRoute {
            name: name("book"),
            organisation: name("winery"),
            service: name("booking"),
            once: true,
        });
        wait_until_ready(&upstream).await;
        wait_until_ready(&entry).await;
        let number = apply_changes(&entry, &changes).await;
        wait_for_number(&upstream, number).await;
        wait_for_number(&entry, number).await;
        Setup { platform, service, upstream, entry }
    }

    /// Makes a call with a long deadline and a fixed body.
    async fn call(&self, key: &str) -> Answer {
        self.call_with(key, "30000", "seat").await
    }

    async fn call_with(&self, key: &str, deadline: &str, seat: &str) -> Answer {
        let request = build_request(&self.entry, "/v1/call/book/seats")
            .insert_header(("x-deadline-ms", deadline))
            .insert_header(("idempotency-key", key));
        send_request(request, &json!({ "seat": seat })).await
    }

    /// Returns how often the service executed the call with this key.
    async fn executions(&self, key: &str) -> u64 {
        let counts: ExecutionCounts = control(&self.service).get("/executions").await.unwrap();
        counts.keys.get(key).copied().unwrap_or(0)
    }

    /// Sets a fault for one transaction of the table, after `skip` others.
    async fn fail_table(&self, fault: Fault, skip: u32) {
        let rule = Rule::new(fault).path("/txn").skip(skip).times(1);
        control(&self.platform).add_rule(rule).await.unwrap();
    }

    /// Starts another upstream daemon on the host; returns the old one.
    async fn replace_daemon(&mut self) -> Process {
        let next = start_daemon("upstream", "upstream-1", &self.platform, "");
        wait_until_ready(&next).await;
        let status = common::get_text(&next, "/admin/status").await;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        wait_for_number(&self.entry, status["number"].as_u64().unwrap()).await;
        std::mem::replace(&mut self.upstream, next)
    }

    /// Returns how often the rules of the table have applied.
    async fn rule_hits(&self) -> u32 {
        let faults = control(&self.platform).faults().await.unwrap();
        faults.rules.values().map(|active| active.hits).sum()
    }

    /// Sets a fault for one call of the service.
    async fn fail_service(&self, fault: Fault) {
        control(&self.service).add_rule(Rule::new(fault).path("/call").times(1)).await.unwrap();
    }
}

/// A repeat with the same key must get the recorded outcome and must not run the
/// call again. A key with another body, and a call without a key, must be refused.
#[actix_rt::test]
async fn a_repeat_is_answered_with_the_recorded_outcome() {
    let setup = Setup::start().await;
    let (first, repeat) = (setup.call("a").await, setup.call("a").await);
    assert_eq!((first.status, &first.body), (repeat.status, &repeat.body));
    assert_eq!(setup.executions("a").await, 1);
    let other = setup.call_with("a", "30000", "another seat").await;
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    assert_eq!((other.ran().as_str(), setup.executions("a").await), ("not_run", 1));
    let without =
        send_request(build_request(&setup.entry, "/v1/call/book/seats"), &json!({})).await;
    assert_eq!((without.status, without.code().as_str()), (400, "bad_request"));
}

/// The table commits the claim, or the outcome, and the connection fails before
/// its answer arrives. The call must still succeed, and run once.
#[actix_rt::test]
async fn a_lost_answer_of_the_table_fails_no_call() {
    let setup = Setup::start().await;
    for (key, skip) in [("claim", 0), ("outcome", 1)] {
        for fault in [Fault::LoseAnswer, Fault::Reset] {
            let key = format!("{key}-{fault:?}").to_lowercase();
            setup.fail_table(fault, skip).await;
            let (first, repeat) = (setup.call(&key).await, setup.call(&key).await);
            assert_eq!((first.status, &first.body), (200, &repeat.body), "{key}");
            assert_eq!(setup.executions(&key).await, 1, "{key}");
            control(&setup.platform).clear_all().await.unwrap();
        }
    }
}

/// The table is down, so no claim can be written. The call must be refused as not
/// run, and a repeat with the same key must succeed later.
#[actix_rt::test]
async fn a_call_without_the_table_is_refused_as_not_run() {
    let setup = Setup::start().await;
    let rule = Rule::new(Fault::Outage).path("/txn");
    control(&setup.platform).add_rule(rule).await.unwrap();
    let refused = setup.call("a").await;
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_down"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(setup.executions("a").await, 0);
    control(&setup.platform).clear_all().await.unwrap();
    assert_eq!((setup.call("a").await.status, setup.executions("a").await), (200, 1));
}

/// The table is unreachable at the first call, so the daemon cannot take a fencing
/// number. The call must soon be refused with a time to retry, not wait until its
/// deadline of ten minutes.
#[actix_rt::test]
async fn a_first_call_without_the_table_is_refused_soon() {
    let setup = Setup::start_without_call().await;
    control(&setup.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    let refused =
        tokio::time::timeout(common::EVENT_TIMEOUT, setup.call_with("a", "600000", "seat")).await;
    let refused = refused.unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_down"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(setup.executions("a").await, 0);
}

/// The service runs the call and its answer is lost, or the call itself is lost.
/// The daemon cannot distinguish the two, so it must report neither as not run
/// and must send neither again.
#[actix_rt::test]
async fn a_lost_answer_of_the_service_leaves_the_outcome_unknown() {
    let setup = Setup::start().await;
    for (key, fault, ran) in [("ran", Fault::LoseAnswer, 1), ("lost", Fault::Reset, 0)] {
        setup.fail_service(fault).await;
        for _ in 0..2 {
            let answer = setup.call(key).await;
            assert_eq!((answer.status, answer.code().as_str()), (409, "outcome_unknown"), "{key}");
            assert_eq!(
                (answer.ran().as_str(), setup.executions(key).await),
                ("unknown", ran),
                "{key}"
            );
        }
    }
}

/// The host of the service refuses connections, so the call was not sent. Its key
/// must be usable again.
#[actix_rt::test]
async fn a_call_that_was_not_sent_releases_its_key() {
    let setup = Setup::start().await;
    control(&setup.service).add_rule(Rule::new(Fault::Refuse)).await.unwrap();
    let refused = setup.call("a").await;
    assert_eq!((refused.status, refused.code().as_str()), (502, "upstream_failed"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(setup.executions("a").await, 0);
    control(&setup.service).clear_all().await.unwrap();
    assert_eq!((setup.call("a").await.status, setup.executions("a").await), (200, 1));
}

/// A firewall silently drops the open connections to the service. A call sent on
/// one of them would be lost, with an unknown outcome that never changes.
#[actix_rt::test]
async fn a_call_is_not_sent_on_a_silent_connection() {
    let setup = Setup::start().await;
    control(&setup.service).freeze().await.unwrap();
    let answer = setup.call_with("a", "3000", "seat").await;
    assert_eq!((answer.status, setup.executions("a").await), (200, 1), "{}", answer.body);
}

/// The caller stops waiting while the service still runs the call. It must not be
/// reported as not run. Its outcome must be recorded, and a repeat must get it.
#[actix_rt::test]
async fn the_outcome_is_recorded_after_the_callers_deadline() {
    let setup = Setup::start().await;
    setup.fail_service(Fault::LateAnswer { millis: 600 }).await;
    let late = setup.call_with("a", "300", "seat").await;
    assert_eq!(late.ran(), "unknown", "{}", late.body);
    let replayed = wait_until("the outcome", async || {
        let repeat = setup.call("a").await;
        (repeat.status == 200).then_some(repeat)
    })
    .await;
    assert!(replayed.body.contains("seat"), "{}", replayed.body);
    assert_eq!(setup.executions("a").await, 1);
}

/// The upstream daemon dies between claim and outcome, while the service runs the
/// call. Its successor must neither run the call again nor report it as not run.
#[actix_rt::test]
async fn a_successor_never_runs_a_claimed_call_again() {
    let mut setup = Setup::start().await;
    setup.fail_service(Fault::LateAnswer { millis: 600_000 }).await;
    let killed = async {
        wait_until("the execution", async || (setup.executions("a").await == 1).then_some(()))
            .await;
        setup.upstream.signal("-KILL");
    };
    let (cut, ()) = futures_util::future::join(setup.call("a"), killed).await;
    assert_eq!((cut.code().as_str(), cut.ran().as_str()), ("outcome_unknown", "unknown"));
    setup.replace_daemon().await;
    let repeat = setup.call("a").await;
    assert_eq!((repeat.code().as_str(), repeat.ran().as_str()), ("outcome_unknown", "unknown"));
    assert_eq!(setup.executions("a").await, 1);
    assert_eq!((setup.call("b").await.status, setup.executions("b").await), (200, 1));
}

/// The daemon is suspended while its claim is being written, and its successor
/// answers a repeat of the call. When the daemon continues, the call must not run
/// a second time.
#[actix_rt::test]
async fn a_daemon_resumed_beside_its_successor_runs_no_call_twice() {
    let mut setup = Setup::start().await;
    setup.fail_table(Fault::LateAnswer { millis: 300 }, 0).await;
    let paused = async {
        wait_until("the claim", async || (setup.rule_hits().await > 0).then_some(())).await;
        setup.upstream.signal("-STOP");
    };
    let first = setup.call_with("a", "1000", "seat");
    let (first, ()) = futures_util::future::join(first, paused).await;
    assert_eq!(first.ran(), "unknown", "{}", first.body);
    let old = setup.replace_daemon().await;
    let repeat = setup.call("a").await;
    assert_eq!((repeat.code().as_str(), repeat.ran().as_str()), ("outcome_unknown", "unknown"));
    old.signal("-CONT");
    // It exits after its attempt has ended.
    let (_, lines) = {
        old.signal("-TERM");
        old.wait()
    };
    assert!(lines.iter().any(|line| line.contains("event=once")), "{}", lines.join("\n"));
    assert!(setup.executions("a").await <= 1);
    let again = setup.call("a").await;
    assert!(setup.executions("a").await <= 1, "{}", again.body);
}
