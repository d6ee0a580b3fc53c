//! Agreement of the daemons, as separate processes: outages, lost answers,
//! frozen and replaced hosts.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::{
    Answer, Fleet, ask, completion, control, daemon, finish, get, post_patch, ready, until,
};
use kingcupbay_core::{
    config::{change::Change, model::Config, patch::Patch},
    id::RequestId,
    wire::admin::{PatchRefused, PatchStored},
};
use kingcupbay_standin::{Fault, Rule};

/// Longer than the freshness bound, so that nothing read before still counts.
const LAPSE: Duration = Duration::from_millis(3_500);

/// An entry and two upstream daemons that own their engines: that takes the
/// table.
async fn three() -> Fleet {
    let mut fleet = Fleet::start(1, 2, &["--first", "1", "--gap", "0"], "").await;
    for upstream in &mut fleet.upstreams {
        upstream.wait_line("event=owned");
    }
    fleet
}

async fn answer(fleet: &Fleet) -> Answer {
    finish(ask(&fleet.entries[0], "/v1/completions"), &completion("tasting@v1", 3)).await
}

/// A patch against what is in force at the entry.
async fn patch(fleet: &Fleet, id: u8) -> Patch {
    let text = get(&fleet.entries[0], "/admin/config").await;
    let config: Config = serde_json::from_str(&text).unwrap();
    let label = common::name("desk");
    let changes = vec![Change::WithdrawKey { label }];
    let id = RequestId([id; 16]);
    Patch { id, against: config.number, author: "ops".into(), changes }
}

/// The platform's table is gone for everyone on a Saturday. Without a way to
/// vouch for each other, every entry would refuse every guest three seconds
/// later, though no key can have been withdrawn meanwhile.
#[actix_rt::test]
async fn a_table_outage_for_everyone_costs_callers_nothing() {
    let fleet = three().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    let begin = Instant::now();
    while begin.elapsed() < LAPSE {
        let answer = answer(&fleet).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

/// An entry loses the table and every peer, and nobody can tell it that a key
/// was withdrawn. It must stop, truly saying "not run", and serve again when
/// it hears from the others, with the table still gone.
#[actix_rt::test]
async fn an_entry_cut_off_from_table_and_peers_stops() {
    let fleet = three().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-STOP"));
    let entry = &fleet.entries[0];
    until("the lapse", async || (get(entry, "/ready").await == "not ready\n").then_some(())).await;
    let refused = answer(&fleet).await;
    assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("no_standing", "not_run"));
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-CONT"));
    ready(entry).await;
    // The daemons beside engines were frozen as well, and refuse until they have
    // heard that what they know is in force.
    for upstream in &fleet.upstreams {
        ready(upstream).await;
    }
    let again = answer(&fleet).await;
    assert_eq!(again.status, 200, "{}", again.body);
}

/// The table takes the withdrawal of a key and its answer is lost. The
/// operator must not be told that it failed, and a repeat must not be stale.
#[actix_rt::test]
async fn a_patch_whose_answer_was_lost_is_acknowledged_and_repeats() {
    let fleet = three().await;
    let rule = Rule::new(Fault::LoseAnswer).path("/txn").times(1);
    control(&fleet.platform).add_rule(rule).await.unwrap();
    let patch = patch(&fleet, 1).await;
    for _ in 0..2 {
        let (status, body) = post_patch(&fleet.entries[0], &patch).await;
        let taken: PatchStored = serde_json::from_value(body).unwrap();
        assert_eq!((status, taken.number, taken.acknowledged), (200, patch.against.next(), true));
    }
}

/// Two operators withdraw the same key against the same number, each at
/// another daemon. One is told that it is stale, and from where to go on.
#[actix_rt::test]
async fn of_two_racing_operators_one_is_stale() {
    let fleet = three().await;
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

/// Both other daemons are frozen when a key is withdrawn. Told "accepted", the
/// operator would believe the key dead while they, resumed, still honour it.
#[actix_rt::test]
async fn a_patch_that_too_few_hold_is_not_acknowledged() {
    let fleet = three().await;
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-STOP"));
    let patch = patch(&fleet, 1).await;
    let (_, body) = post_patch(&fleet.entries[0], &patch).await;
    assert!(!serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
    fleet.upstreams.iter().for_each(|upstream| upstream.signal("-CONT"));
    let (_, body) = post_patch(&fleet.entries[0], &patch).await;
    assert!(serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
}

/// A host dies and another takes its name under another address. The fleet
/// takes it in without the dead one, and patches go on being accepted.
#[actix_rt::test]
async fn a_replaced_host_joins_and_patches_go_on() {
    let mut fleet = three().await;
    fleet.upstreams.remove(1).kill();
    let successor = daemon("upstream", "upstream-2", &fleet.platform, "");
    ready(&successor).await;
    let patch = patch(&fleet, 1).await;
    let (status, body) = post_patch(&successor, &patch).await;
    assert_eq!(status, 200, "{body}");
    assert!(serde_json::from_value::<PatchStored>(body).unwrap().acknowledged);
}
