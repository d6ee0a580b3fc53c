//! A runner leaves and its row is removed. An earlier check-in of it, whose answer was lost, is
//! carried out by the store after that. The entry sends it bookings again.

#[path = "../standin/desk.rs"]
mod desk;
#[path = "../standin/fleet.rs"]
mod fleet;
#[path = "../standin/http.rs"]
mod http;
#[path = "../standin/json.rs"]
mod json;
#[path = "../standin/store.rs"]
mod store;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use desk::{Attempts, Desk, Schedule};
use fleet::{BROKEN, Case, HELD, NOT_RUN};
use store::Store;

const RUNNERS: u8 = 3;
const CLIENTS: usize = 24;
const PERIOD: Duration = Duration::from_millis(50);
const WORK_MILLIS: (u64, u64) = (10, 40);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Bound of the site: `drainMs`.
const DRAIN_MILLIS: u64 = 2_000;

/// Time from the start of traffic to the disruption. It lasts for one heartbeat, in which one of
/// three check-ins gets no answer.
const CALM: Duration = Duration::from_millis(2_000);

/// Times since that check-in: when the row of the runner is removed, when the store carries out the lost
/// check-in, when that row is removed for want of further ones, and when the runner exits.
const REMOVED_AFTER: Duration = Duration::from_millis(3_400);
const LATE_AFTER: Duration = Duration::from_millis(5_900);
const SILENT_AFTER: Duration = Duration::from_millis(9_500);
const EXIT_AFTER: Duration = Duration::from_millis(8_000);

const RUN_TIME: Duration = Duration::from_secs(14);

/// What becomes of the check-ins of the first runner.
#[derive(Default)]
struct CheckIns {
    /// Whether the next one gets no answer, and is carried out late.
    loses_next: bool,
    /// That check-in, and when it was sent.
    lost: Option<(String, Instant)>,
    has_left: bool,
}

fn main() {
    let case = Case::start();
    let attempts = Attempts::default();
    let (store, store_at) = Store::start(SocketAddr::new(case.ip(1), 0));
    store.put("op", "config", &desk::config("ledger"));
    let start = |number: u8| {
        Desk::start(&case, &attempts, &format!("i-{number}"), 20 + number, 0, WORK_MILLIS)
    };
    let desks: Vec<_> = (1..=RUNNERS).map(start).collect();
    let runners = Arc::new(Mutex::new(CheckIns::default()));
    {
        let (case, store) = (case.clone(), store.clone());
        let (desks, runners) = (desks.clone(), runners.clone());
        thread::spawn(move || {
            for seq in 1.. {
                for (at, desk) in desks.iter().enumerate() {
                    let row = desk.check_in("ledger", seq, 1_000, "ready");
                    let mut runners = runners.lock().unwrap();
                    if at == 0 && std::mem::take(&mut runners.loses_next) {
                        case.note(&format!("a check-in of i-1 gets no answer: {row}"));
                        runners.lost = Some((row, Instant::now()));
                    } else if at > 0 || !runners.has_left {
                        store.put("servers", &desk.id, &row);
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let (entry, ready) = desk::start_entry(&case, 11, store_at);
    case.wait_until_ready(ready);
    let began = Instant::now();
    let schedule = Schedule { entry, until: began + RUN_TIME, period: PERIOD };
    let clients = (0..CLIENTS).map(|number| {
        let (case, attempts) = (case.clone(), attempts.clone());
        thread::spawn(move || desk::book(case, attempts, schedule, number))
    });
    let clients: Vec<_> = clients.collect();

    let runner = &desks[0];
    thread::sleep(CALM);
    runners.lock().unwrap().loses_next = case.trouble;
    thread::sleep(HEARTBEAT);
    let lost = runners.lock().unwrap().lost.take();
    let sent = lost.as_ref().map_or(Instant::now(), |(_, sent)| *sent);
    let wait_until =
        |after| thread::sleep((sent + after).saturating_duration_since(Instant::now()));
    wait_until(REMOVED_AFTER);
    runners.lock().unwrap().has_left = true;
    let version = store.remove("servers", "i-1");
    let removed = case.now();
    case.note(&format!("the row of i-1 is removed, version {version}; it serves on for a while"));
    wait_until(LATE_AFTER);
    if let Some((row, _)) = &lost {
        let version = store.put("servers", "i-1", row);
        case.note(&format!("the store carries out the lost check-in, version {version}: {row}"));
    }
    wait_until(EXIT_AFTER);
    runner.exit();
    let exited = case.now();
    case.note("i-1 exits");
    wait_until(SILENT_AFTER);
    if case.trouble {
        store.remove("servers", "i-1");
        case.note("its row is removed after three heartbeats of silence");
    }
    clients.into_iter().for_each(|client| drop(client.join()));

    let known = attempts.known.lock().unwrap();
    let mut statuses = BTreeMap::new();
    let (mut late, mut lost) = (0, 0);
    for (id, attempt) in known.iter() {
        let status = attempt.answer.map_or(0, |(status, _)| status);
        *statuses.entry(status).or_insert(0) += 1;
        case.note(&format!("request {id}: answer {:?}, runs {:?}", attempt.answer, attempt.runs));
        let at_runner = attempt.runs.iter().find(|(name, _)| name == "i-1");
        if let Some((_, at)) = at_runner.filter(|(_, at)| *at > removed + DRAIN_MILLIS) {
            late += 1;
            let after = at - removed;
            case.note(&format!("DRAIN broken: {id} reached i-1 {after} ms after it was gone"));
            lost += u64::from(status != 200);
        }
    }
    let summary = format!(
        "answers by status {statuses:?}; DRAIN broken by {late} requests, {lost} of them lost; \
         i-1 exited {} ms after its row was removed",
        exited - removed
    );
    case.note(&summary);
    println!("{summary}");
    case.end(match (late, statuses.get(&200)) {
        (_, None) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    });
}
