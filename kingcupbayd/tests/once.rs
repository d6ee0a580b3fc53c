//! Calls that run at most once, through separate processes; the service's own
//! count of executions decides.

#![allow(clippy::unwrap_used)]

mod common;

use common::{
    Answer, Process, apply, ask, basics, control, daemon, finish, knows, name, ready,
    service_upstream, standin, until,
};
use kingcupbay_core::config::change::Change;
use kingcupbay_standin::{ExecutionCounts, Fault, Rule};
use serde_json::json;

/// A platform, one service behind one upstream daemon, and an entry.
struct Desk {
    platform: Process,
    service: Process,
    upstream: Process,
    entry: Process,
}

impl Desk {
    /// Everything ready, and the upstream daemon's fencing number taken.
    async fn start() -> Desk {
        let desk = Desk::fresh().await;
        assert_eq!(desk.book("first").await.status, 200);
        desk
    }

    /// Everything ready, but no call made yet.
    async fn fresh() -> Desk {
        let platform = standin("platform", &[]);
        let service = standin("service", &[]);
        let upstream = daemon("upstream", "upstream-1", &platform, "");
        let entry = daemon("entry", "entry-1", &platform, "");
        let mut changes = basics();
        changes.push(service_upstream("desk-1", "upstream-1", &service));
        changes.push(Change::SetRoute {
            name: name("book"),
            organisation: name("winery"),
            service: name("booking"),
            once: true,
        });
        ready(&upstream).await;
        ready(&entry).await;
        let number = apply(&entry, &changes).await;
        knows(&upstream, number).await;
        knows(&entry, number).await;
        Desk { platform, service, upstream, entry }
    }

    async fn book(&self, key: &str) -> Answer {
        self.call(key, "30000", "seat").await
    }

    async fn call(&self, key: &str, deadline: &str, seat: &str) -> Answer {
        let request = ask(&self.entry, "/v1/call/book/seats")
            .insert_header(("x-deadline-ms", deadline))
            .insert_header(("idempotency-key", key));
        finish(request, &json!({ "seat": seat })).await
    }

    /// How often the service executed the call with this key.
    async fn ran(&self, key: &str) -> u64 {
        let counts: ExecutionCounts = control(&self.service).get("/executions").await.unwrap();
        counts.keys.get(key).copied().unwrap_or(0)
    }

    /// Puts a rule of the table's transactions in force, once.
    async fn table(&self, fault: Fault, skip: u32) {
        let rule = Rule::new(fault).path("/txn").skip(skip).times(1);
        control(&self.platform).add_rule(rule).await.unwrap();
    }

    /// Puts another upstream daemon on the host; gives back the old one.
    async fn succeed(&mut self) -> Process {
        let next = daemon("upstream", "upstream-1", &self.platform, "");
        ready(&next).await;
        let status = common::get(&next, "/admin/status").await;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        knows(&self.entry, status["number"].as_u64().unwrap()).await;
        std::mem::replace(&mut self.upstream, next)
    }

    /// Whether the claim's rule has hit.
    async fn committed(&self) -> u32 {
        let faults = control(&self.platform).faults().await.unwrap();
        faults.rules.values().map(|active| active.hits).sum()
    }

    async fn service(&self, fault: Fault) {
        control(&self.service).add_rule(Rule::new(fault).path("/call").times(1)).await.unwrap();
    }
}

#[actix_rt::test]
async fn a_repeat_is_answered_with_the_recorded_outcome() {
    let desk = Desk::start().await;
    let (first, repeat) = (desk.book("a").await, desk.book("a").await);
    assert_eq!((first.status, &first.body), (repeat.status, &repeat.body));
    assert_eq!(desk.ran("a").await, 1);
    let other = desk.call("a", "30000", "another seat").await;
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    assert_eq!((other.ran().as_str(), desk.ran("a").await), ("not_run", 1));
    let without = finish(ask(&desk.entry, "/v1/call/book/seats"), &json!({})).await;
    assert_eq!((without.status, without.code().as_str()), (400, "bad_request"));
}

/// The table takes the claim, or the outcome, and the connection breaks
/// before its answer. The family gets its booking all the same, once.
#[actix_rt::test]
async fn a_lost_answer_of_the_table_costs_nobody_anything() {
    let desk = Desk::start().await;
    for (key, skip) in [("claim", 0), ("outcome", 1)] {
        for fault in [Fault::LoseAnswer, Fault::Reset] {
            let key = format!("{key}-{fault:?}").to_lowercase();
            desk.table(fault, skip).await;
            let (first, repeat) = (desk.book(&key).await, desk.book(&key).await);
            assert_eq!((first.status, &first.body), (200, &repeat.body), "{key}");
            assert_eq!(desk.ran(&key).await, 1, "{key}");
            control(&desk.platform).clear_all().await.unwrap();
        }
    }
}

/// The table is down. The booking is refused as not run, which is true, and
/// the family may come back with the same key.
#[actix_rt::test]
async fn a_table_that_is_down_refuses_truly() {
    let desk = Desk::start().await;
    let rule = Rule::new(Fault::Outage).path("/txn");
    control(&desk.platform).add_rule(rule).await.unwrap();
    let refused = desk.book("a").await;
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_down"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(desk.ran("a").await, 0);
    control(&desk.platform).clear_all().await.unwrap();
    assert_eq!((desk.book("a").await.status, desk.ran("a").await), (200, 1));
}

/// The table is away when the first booking of the day comes, so the daemon
/// has no fencing number. The caller must soon be told to come back, not be
/// held to a deadline of ten minutes.
#[actix_rt::test]
async fn a_first_call_without_the_table_is_refused_soon() {
    let desk = Desk::fresh().await;
    control(&desk.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    let refused = tokio::time::timeout(common::PATIENCE, desk.call("a", "600000", "seat")).await;
    let refused = refused.unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_down"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(desk.ran("a").await, 0);
}

/// The service books the seat and its answer is lost; or the call is lost on
/// its way. Nobody can tell the two apart, so neither is called "not run",
/// and neither is sent again.
#[actix_rt::test]
async fn a_lost_answer_of_the_service_is_unknown_for_ever() {
    let desk = Desk::start().await;
    for (key, fault, ran) in [("ran", Fault::LoseAnswer, 1), ("lost", Fault::Reset, 0)] {
        desk.service(fault).await;
        for _ in 0..2 {
            let answer = desk.book(key).await;
            assert_eq!((answer.status, answer.code().as_str()), (409, "outcome_unknown"), "{key}");
            assert_eq!((answer.ran().as_str(), desk.ran(key).await), ("unknown", ran), "{key}");
        }
    }
}

/// The service's host is down: the call never left, so the key is free again.
#[actix_rt::test]
async fn a_call_that_never_left_frees_its_key() {
    let desk = Desk::start().await;
    control(&desk.service).add_rule(Rule::new(Fault::Refuse)).await.unwrap();
    let refused = desk.book("a").await;
    assert_eq!((refused.status, refused.code().as_str()), (502, "upstream_failed"));
    assert_eq!((refused.ran().as_str(), refused.retry_after), ("not_run", Some(1)));
    assert_eq!(desk.ran("a").await, 0);
    control(&desk.service).clear_all().await.unwrap();
    assert_eq!((desk.book("a").await.status, desk.ran("a").await), (200, 1));
}

/// A firewall forgets the open connections to the service without a word. A
/// booking sent on one of them would be gone, its outcome unknown for ever.
#[actix_rt::test]
async fn a_connection_that_went_silent_carries_no_booking() {
    let desk = Desk::start().await;
    control(&desk.service).freeze().await.unwrap();
    let answer = desk.call("a", "3000", "seat").await;
    assert_eq!((answer.status, desk.ran("a").await), (200, 1), "{}", answer.body);
}

/// The caller stops waiting while the service works. "Not run" would be
/// false; the outcome is recorded all the same, and a repeat gets it.
#[actix_rt::test]
async fn a_call_outlives_its_callers_deadline() {
    let desk = Desk::start().await;
    desk.service(Fault::LateAnswer { millis: 600 }).await;
    let late = desk.call("a", "300", "seat").await;
    assert_eq!(late.ran(), "unknown", "{}", late.body);
    let replayed = until("the outcome", async || {
        let repeat = desk.book("a").await;
        (repeat.status == 200).then_some(repeat)
    })
    .await;
    assert!(replayed.body.contains("seat"), "{}", replayed.body);
    assert_eq!(desk.ran("a").await, 1);
}

/// The upstream daemon dies between claim and outcome, while the service
/// books. Its successor must neither run the call again nor call it not run.
#[actix_rt::test]
async fn a_successor_never_runs_a_claimed_call_again() {
    let mut desk = Desk::start().await;
    desk.service(Fault::LateAnswer { millis: 600_000 }).await;
    let killed = async {
        until("the execution", async || (desk.ran("a").await == 1).then_some(())).await;
        desk.upstream.signal("-KILL");
    };
    let (cut, ()) = futures_util::future::join(desk.book("a"), killed).await;
    assert_eq!((cut.code().as_str(), cut.ran().as_str()), ("outcome_unknown", "unknown"));
    desk.succeed().await;
    let repeat = desk.book("a").await;
    assert_eq!((repeat.code().as_str(), repeat.ran().as_str()), ("outcome_unknown", "unknown"));
    assert_eq!(desk.ran("a").await, 1);
    assert_eq!((desk.book("b").await.status, desk.ran("b").await), (200, 1));
}

/// The daemon is paused with its claim on its way; the family presses again
/// and the successor answers. When the daemon resumes, the call must not run
/// beside another run of it, whoever was told what.
#[actix_rt::test]
async fn a_paused_daemon_that_resumes_beside_its_successor_runs_nothing_twice() {
    let mut desk = Desk::start().await;
    desk.table(Fault::LateAnswer { millis: 300 }, 0).await;
    let paused = async {
        until("the claim", async || (desk.committed().await > 0).then_some(())).await;
        desk.upstream.signal("-STOP");
    };
    let first = desk.call("a", "1000", "seat");
    let (first, ()) = futures_util::future::join(first, paused).await;
    assert_eq!(first.ran(), "unknown", "{}", first.body);
    let old = desk.succeed().await;
    let repeat = desk.book("a").await;
    assert_eq!((repeat.code().as_str(), repeat.ran().as_str()), ("outcome_unknown", "unknown"));
    old.signal("-CONT");
    // It has nothing left to do once it ends its attempt.
    let (_, lines) = {
        old.signal("-TERM");
        old.wait()
    };
    assert!(lines.iter().any(|line| line.contains("event=once")), "{}", lines.join("\n"));
    assert!(desk.ran("a").await <= 1);
    let again = desk.book("a").await;
    assert!(desk.ran("a").await <= 1, "{}", again.body);
}
