//! Agreement of daemons in separate processes across outages, lost answers, and
//! suspended and replaced hosts.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::{
    Answer, Fleet, build_request, completion_body, control, get_text, post_patch, send_request,
    start_daemon, wait_until, wait_until_ready,
};
use kingcupbay_core::{
    config::{change::Change, model::Config, patch::Patch},
    id::RequestId,
    wire::admin::{PatchRefused, PatchStored},
};
use kingcupbay_standin::{Fault, Rule};

/// Longer than the freshness bound, so that what was read before has lapsed.
const PAST_FRESHNESS: Duration = Duration::from_millis(3_500);

/// Starts an entry and two upstream daemons, and waits until these own their
/// engines, for which they need the table.
async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(1, 2, &["--first", "1", "--gap", "0"], "").await;
    for upstream in &mut fleet.upstreams {
        upstream.wait_line("event=owned");
    }
    fleet
}

async fn answer(fleet: &Fleet) -> Answer {
    send_request(
        build_request(&fleet.entries[0], "/v1/completions"),
        &completion_body("tasting@v1", 3),
    )
    .await
}

/// Builds a patch against the configuration of the entry.
async fn patch(fleet: &Fleet, id: u8) -> Patch {
    let text = get_text(&fleet.entries[0], "/admin/config").await;
    let config: Config = serde_json::from_str(&text).unwrap();
    let label = common::name("desk");
    let changes = vec![Change::WithdrawKey { label }];
    let id = RequestId([id; 16]);
    Patch { id, against: config.number, author: "ops".into(), changes }
}

/// The platform's table fails for all daemons. If they could not confirm each
/// other, every entry would refuse all requests three seconds later, though no
/// key can be withdrawn without the table.
#[actix_rt::test]
async fn a_table_outage_does_not_affect_callers() {
    let fleet = start_fleet().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    let begin = Instant::now();
    while begin.elapsed() < PAST_FRESHNESS {
        let answer = answer(&fleet).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

/// An entry loses the table and all peers, so it cannot learn that a key was
/// withdrawn. It must refuse requests as not run, and serve again when it
/// reaches its peers, with the table still unreachable.
#[actix_rt::test]
async fn an_entry_cut_off_from_table_and_peers_refuses_requests() {
    let fleet = start_fleet().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-STOP"));
    let entry = &fleet.entries[0];
    wait_until("the lapse of the standing", async || {
        (get_text(entry, "/ready").await == "not ready\n").then_some(())
    })
    .await;
    let refused = answer(&fleet).await;
    assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("no_standing", "not_run"));
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-CONT"));
    wait_until_ready(entry).await;
    // The upstream daemons were suspended as well, and refuse requests until their
    // own configuration is confirmed.
    for upstream in &fleet.upstreams {
        wait_until_ready(upstream).await;
    }
    let again = answer(&fleet).await;
    assert_eq!(again.status, 200, "{}", again.body);
}

/// The table commits the withdrawal of a key, and its answer is lost. The
/// operator must not get a failure, and a repeat must not be stale.
#[actix_rt::test]
async fn a_patch_whose_answer_was_lost_is_acknowledged_and_can_be_repeated() {
    let fleet = start_fleet().await;
    let rule = Rule::new(Fault::LoseAnswer).path("/txn").times(1);
    control(&fleet.platform).add_rule(rule).await.unwrap();
    let patch = patch(&fleet, 1).await;
    for _ in 0..2 {
        let (status, body) = post_patch(&fleet.entries[0], &patch).await;
        let taken: PatchStored = serde_json::from_value(body).unwrap();
        assert_eq!((status, taken.number, taken.acknowledged), (200, patch.against.next(), true));
    }
}

/// Two operators withdraw the same key against the same number, each at another
/// daemon. One patch must be refused as stale, with the current number.
#[actix_rt::test]
async fn one_of_two_concurrent_patches_is_stale() {
    let fleet = start_fleet().await;
    let (one, two) = (patch(&fleet, 1).await, patch(&fleet, 2).await);
    let answers =
        tokio::join!(post_patch(&fleet.entries[0], &one), post_patch(&fleet.upstreams[0], &two));
    let mut answers = [answers.0, answers.1];
    answers.sort_by_key(|(status, _)| *status);
    let [(200, _), (409, refused)] = answers else { panic!("{answers:?}") };
    let refused: PatchRefused = serde_json::from_value(refused).unwrap();
    let current = one.against.next();
    let stale = kingcupbay_core::config::patch::PatchError::Stale { against: one.against, current };
    assert_eq!(refused.error, stale);
}

/// Both upstream daemons are suspended when a key is withdrawn. If the patch were
/// acknowledged, the operator would consider the key invalid while they still
/// accept it after they continue.
#[actix_rt::test]
async fn a_patch_held_by_too_few_members_is_not_acknowledged() {
    let fleet = start_fleet().await;
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-STOP"));
    let patch = patch(&fleet, 1).await;
    let (_, body) = post_patch(&fleet.entries[0], &patch).await;
    assert!(!serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-CONT"));
    let (_, body) = post_patch(&fleet.entries[0], &patch).await;
    assert!(serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
}

/// A host dies, and another one joins with the same name and another address. It
/// must become a member without the dead one, and patches must be accepted.
#[actix_rt::test]
async fn a_replaced_host_joins_and_patches_are_accepted() {
    let mut fleet = start_fleet().await;
    fleet.upstreams.remove(1).kill();
    let successor = start_daemon("upstream", "upstream-2", &fleet.platform, "");
    wait_until_ready(&successor).await;
    let patch = patch(&fleet, 1).await;
    let (status, body) = post_patch(&successor, &patch).await;
    assert_eq!(status, 200, "{body}");
    assert!(serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
}
