//! Tests of the rate and burst of an organisation over several entries.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, time::Instant};

use common::{
    Answer, Fleet, Process, build_request, completion_body, control, get_text, name, parse_pairs,
    send_request, start_daemon, wait_until,
};
use kingcupbay_core::{config::change::Change, standing::FRESHNESS_BOUND};
use kingcupbay_standin::{Fault, Rule};

/// Tokens per second of the organisation.
const RATE: u64 = 2;
/// Tokens of the organisation's burst.
const BURST: u64 = 1_000;
/// Tokens that each request generates.
const MAX_TOKENS: u32 = 40;

/// Starts two entries whose organisation has a small rate and burst.
async fn start_two_entries() -> Fleet {
    let mut fleet = Fleet::start(2, 1, &["--first", "1", "--gap", "0"], "").await;
    let change = Change::SetOrganisation { name: name("winery"), rate: RATE, burst: BURST };
    fleet.apply(&[change]).await;
    wait_for_whole_share(&fleet.entries.iter().collect::<Vec<_>>()).await;
    fleet
}

/// Reads rate, capacity and level from the share line of an entry's dump.
async fn read_share(entry: &Process) -> BTreeMap<&'static str, u64> {
    let dump = get_text(entry, "/admin/dump").await;
    let line = dump.lines().find(|line| line.starts_with("share organisation="));
    let pairs = line.map(parse_pairs).unwrap_or_default();
    let field = |key| (key, pairs.get(key).map_or(0, |value| value.parse().unwrap()));
    ["rate", "capacity", "level"].map(field).into()
}

/// Waits until the entries' shares add up to the organisation's rate and burst,
/// and not more. A single check proves neither, as a share may move between the
/// dumps.
async fn wait_for_whole_share(entries: &[&Process]) {
    wait_until("whole shares", async || {
        let (mut rate, mut capacity) = (0, 0);
        for entry in entries {
            let share = read_share(entry).await;
            rate += share["rate"];
            capacity += share["capacity"];
        }
        // The dump of each entry rounds its capacity down to whole tokens.
        let parts = entries.len() as u64;
        (rate == RATE && capacity <= BURST && capacity + parts > BURST).then_some(())
    })
    .await;
}

async fn send_completion(entry: &Process) -> Answer {
    send_request(
        build_request(entry, "/v1/completions"),
        &completion_body("tasting@v1", MAX_TOKENS),
    )
    .await
}

/// Sends requests to one entry until it refuses one; returns the tokens served.
async fn send_until_refused(entry: &Process) -> u64 {
    let mut served = 0;
    loop {
        let answer = send_completion(entry).await;
        if answer.status != 200 {
            assert_eq!((answer.status, answer.code().as_str()), (429, "over_rate"));
            assert_eq!(answer.ran(), "not_run");
            assert!(answer.retry_after.unwrap() >= 1);
            return served;
        }
        let usage =
            answer.events().iter().rev().find_map(|event| event["usage"].as_object().cloned());
        served += usage.unwrap()["total_tokens"].as_u64().unwrap();
    }
}

/// All callers of an organisation use the same entry. It must serve the whole
/// burst, half of which the other entry holds, and not more. Guards against
/// shares that do not move, or that both entries can use.
#[actix_rt::test]
async fn one_entry_serves_the_whole_burst_and_not_more() {
    let begin = Instant::now();
    let fleet = start_two_entries().await;
    let first = send_until_refused(&fleet.entries[0]).await;
    assert!(first > BURST * 9 / 10, "only {first} tokens served at one entry");
    let served = first + send_until_refused(&fleet.entries[1]).await;
    let bound = BURST + RATE * (begin.elapsed().as_secs() + 1);
    assert!(served <= bound, "{served} tokens served, {bound} allowed");
}

/// An entry is killed and replaced. It cannot report what it held, so the running
/// entries must get its share back, but not before its standing has lapsed.
/// Guards against a share that stays lost.
#[actix_rt::test]
async fn the_share_of_a_killed_entry_comes_back() {
    let mut fleet = start_two_entries().await;
    fleet.entries.remove(1).kill();
    let successor = start_daemon("entry", "entry-2", &fleet.platform, "");
    wait_for_whole_share(&[&fleet.entries[0], &successor]).await;
    assert_eq!(send_completion(&successor).await.status, 200);
}

/// An operator replaces a host. The stopping entry must hand its share over to
/// the others before it ends. Guards against shares that come back only after a
/// new epoch and its wait.
#[actix_rt::test]
async fn a_stopping_entry_hands_its_share_over() {
    let mut fleet = start_two_entries().await;
    fleet.entries[1].signal("-TERM");
    fleet.entries[1].wait_line("whole=true event=shares_handed_over");
    wait_for_whole_share(&[&fleet.entries[0]]).await;
    assert!(fleet.entries.remove(1).wait().0);
}

/// The platform's table is down for longer than any confirmation from it is
/// valid. Guards against requests refused meanwhile: the entries confirm each
/// other's configuration, and shares still move between them without the table.
#[actix_rt::test]
async fn shares_move_while_the_table_is_down() {
    let begin = Instant::now();
    let fleet = start_two_entries().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    // Every confirmation from the table has expired by then. No output shows
    // the expiry, so the test waits for a fixed time.
    tokio::time::sleep((FRESHNESS_BOUND + FRESHNESS_BOUND).into()).await;
    let first = send_until_refused(&fleet.entries[0]).await;
    assert!(first > BURST * 9 / 10, "only {first} tokens served at one entry");
    let served = first + send_until_refused(&fleet.entries[1]).await;
    let bound = BURST + RATE * (begin.elapsed().as_secs() + 1);
    assert!(served <= bound, "{served} tokens served, {bound} allowed");
}

/// An entry's process is paused and replaced, and its share is granted to others.
/// After it resumes, it must refuse a caller's request as not run. Guards against
/// the use of tokens that it remembers but others hold by now.
#[actix_rt::test]
async fn a_paused_entry_uses_nothing_of_what_was_reclaimed() {
    let mut fleet = start_two_entries().await;
    let paused = fleet.entries.remove(1);
    paused.signal("-STOP");
    let successor = start_daemon("entry", "entry-2", &fleet.platform, "");
    wait_for_whole_share(&[&fleet.entries[0], &successor]).await;
    paused.signal("-CONT");
    let answer = send_completion(&paused).await;
    assert_eq!((answer.status, answer.ran().as_str()), (503, "not_run"), "{}", answer.body);
}
