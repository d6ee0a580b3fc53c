//! Runners leave the proof out of a few answers. Clients get them as successes all the same.

#[path = "../standin/engine.rs"]
mod engine;
#[path = "../standin/fleet.rs"]
mod fleet;
#[path = "../standin/guests.rs"]
mod guests;
#[path = "../standin/http.rs"]
mod http;
#[path = "../standin/json.rs"]
mod json;
#[path = "../standin/store.rs"]
mod store;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fleet::{BROKEN, Case, HELD, NOT_RUN};
use guests::Clients;

/// Four runners, of which one is disrupted, a share of 0.25.
const RUNNERS: u8 = 4;

/// One in this many of its answers is spoiled: 0.02 of them.
const SPOILED: u64 = 50;

const DISRUPTED: Duration = Duration::from_secs(5);

const CLIENTS: u64 = 24;

const RUN_TIME: Duration = Duration::from_secs(9);

fn main() {
    let case = Case::start();
    let (engines, entry) = guests::start(&case, RUNNERS);
    let clients = Clients::new(&case, entry);
    let (served, unproven) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let until = Instant::now() + RUN_TIME;
    let threads = (0..CLIENTS).map(|number| {
        let (clients, case) = (clients.clone(), case.clone());
        let (served, unproven) = (served.clone(), unproven.clone());
        thread::spawn(move || {
            while Instant::now() < until {
                let Some(answer) = clients.request(&format!("a{}", 1 + number % 12), 2) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                served.fetch_add(1, Ordering::Relaxed);
                if http::header(&answer.headers, "x-response-stamp").is_none() {
                    unproven.fetch_add(1, Ordering::Relaxed);
                    let id = http::header(&answer.headers, "x-attempt-id").unwrap_or_default();
                    case.note(&format!("MIXED broken: {id} is a success without a proof"));
                }
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    thread::sleep(Duration::from_secs(3));
    if case.trouble {
        let busiest = engines.iter().max_by_key(|engine| engine.loaded()).expect("four of them");
        busiest.spoil(SPOILED, DISRUPTED);
        case.note(&format!("{} begins to spoil answers", busiest.name));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    for engine in &engines {
        let (answers, without) = engine.answers();
        case.note(&format!(
            "{}: {answers} answers while disrupted, {without} without a proof",
            engine.name
        ));
    }
    let (served, unproven) = (served.load(Ordering::Relaxed), unproven.load(Ordering::Relaxed));
    let ends = clients.ends.lock().unwrap();
    let summary =
        format!("ends of requests {ends:?}; MIXED broken by {unproven} of {served} successes");
    case.note(&summary);
    println!("{summary}");
    case.end(match (unproven, served) {
        (_, 0) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    });
}
