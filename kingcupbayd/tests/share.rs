//! Rate and burst of an organisation over several entries.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, time::Instant};

use common::{
    Answer, Fleet, Process, ask, completion, control, daemon, finish, get, name, pairs, until,
};
use kingcupbay_core::{config::change::Change, standing::FRESHNESS_BOUND};
use kingcupbay_standin::{Fault, Rule};

const RATE: u64 = 2;
const BURST: u64 = 1_000;
const TOKENS: u32 = 40;

/// Two entries, whose organisation has a small rate and burst.
async fn pair() -> Fleet {
    let mut fleet = Fleet::start(2, 1, &["--first", "1", "--gap", "0"], "").await;
    let change = Change::SetOrganisation { name: name("winery"), rate: RATE, burst: BURST };
    fleet.apply(&[change]).await;
    whole(&fleet.entries.iter().collect::<Vec<_>>()).await;
    fleet
}

/// The share lines of an entry's dump: rate, capacity and level.
async fn share(entry: &Process) -> BTreeMap<&'static str, u64> {
    let dump = get(entry, "/admin/dump").await;
    let line = dump.lines().find(|line| line.starts_with("share organisation="));
    let pairs = line.map(pairs).unwrap_or_default();
    let field = |key| (key, pairs.get(key).map_or(0, |value| value.parse().unwrap()));
    ["rate", "capacity", "level"].map(field).into()
}

/// Waits until the entries' shares are the organisation's whole allowance, and
/// not more. A single look proves neither: a share may move between the dumps.
async fn whole(entries: &[&Process]) {
    until("whole shares", async || {
        let (mut rate, mut capacity) = (0, 0);
        for entry in entries {
            let share = share(entry).await;
            rate += share["rate"];
            capacity += share["capacity"];
        }
        // A part of a token at each entry is cut off in the dump.
        let parts = entries.len() as u64;
        (rate == RATE && capacity <= BURST && capacity + parts > BURST).then_some(())
    })
    .await;
}

async fn answer(entry: &Process) -> Answer {
    finish(ask(entry, "/v1/completions"), &completion("tasting@v1", TOKENS)).await
}

/// Sends to one entry until it refuses; returns the tokens served.
async fn exhaust(entry: &Process) -> u64 {
    let mut served = 0;
    loop {
        let answer = answer(entry).await;
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

/// All guests of a winery reach the same entry. It must serve them the whole
/// burst, of which half lies at the other entry, and nothing beyond; the other
/// entry must not have that half still.
#[actix_rt::test]
async fn one_entry_serves_the_whole_burst_and_not_more() {
    let begin = Instant::now();
    let fleet = pair().await;
    let first = exhaust(&fleet.entries[0]).await;
    assert!(first > BURST * 9 / 10, "only {first} tokens served at one entry");
    let served = first + exhaust(&fleet.entries[1]).await;
    let bound = BURST + RATE * (begin.elapsed().as_secs() + 1);
    assert!(served <= bound, "{served} tokens served, {bound} allowed");
}

/// An entry dies and is replaced. Nobody can ask it what it held; its part
/// must come back to those that live, and not before its standing has lapsed.
#[actix_rt::test]
async fn the_share_of_a_killed_entry_comes_back() {
    let mut fleet = pair().await;
    fleet.entries.remove(1).kill();
    let successor = daemon("entry", "entry-2", &fleet.platform, "");
    whole(&[&fleet.entries[0], &successor]).await;
    assert_eq!(answer(&successor).await.status, 200);
}

/// An operator replaces a host. What the stopping entry holds must be at the
/// others when it ends, without a new epoch and its wait.
#[actix_rt::test]
async fn a_stopping_entry_hands_its_share_over() {
    let mut fleet = pair().await;
    fleet.entries[1].signal("-TERM");
    fleet.entries[1].wait_line("whole=true event=shares_handed_over");
    whole(&[&fleet.entries[0]]).await;
    assert!(fleet.entries.remove(1).wait().0);
}

/// The platform's table is down for longer than any proof from it lasts. Guests
/// must notice nothing: the entries vouch for each other, and the tokens of
/// one still reach the other without the table.
#[actix_rt::test]
async fn shares_move_while_the_table_is_down() {
    let begin = Instant::now();
    let fleet = pair().await;
    control(&fleet.platform).add_rule(Rule::new(Fault::Outage)).await.unwrap();
    // No proof from the table lasts as long; that it ended shows nowhere.
    tokio::time::sleep((FRESHNESS_BOUND + FRESHNESS_BOUND).into()).await;
    let first = exhaust(&fleet.entries[0]).await;
    assert!(first > BURST * 9 / 10, "only {first} tokens served at one entry");
    let served = first + exhaust(&fleet.entries[1]).await;
    let bound = BURST + RATE * (begin.elapsed().as_secs() + 1);
    assert!(served <= bound, "{served} tokens served, {bound} allowed");
}

/// An entry's host freezes and is replaced, and the successor has its share.
/// Then the old one thaws: a caller it still has must be refused, truly as not
/// run, since the tokens it remembers are somebody else's.
#[actix_rt::test]
async fn a_paused_entry_uses_nothing_of_what_was_reclaimed() {
    let mut fleet = pair().await;
    let paused = fleet.entries.remove(1);
    paused.signal("-STOP");
    let successor = daemon("entry", "entry-2", &fleet.platform, "");
    whole(&[&fleet.entries[0], &successor]).await;
    paused.signal("-CONT");
    let answer = answer(&paused).await;
    assert_eq!((answer.status, answer.ran().as_str()), (503, "not_run"), "{}", answer.body);
}
