//! A runner leaves a load unanswered and carries it out late, after it has crashed and started
//! again. It then gets one adapter more than it has places for, and crashes.

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
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use engine::ADAPTER_SLOTS;
use fleet::{BROKEN, Case, HELD, NOT_RUN};
use guests::{Clients, Fleet, Plan, adapters_of};

/// Four runners, of which one is disrupted: the share of 0.25 that the pages allow.
const RUNNERS: usize = 4;

/// Time from the request whose order stays unanswered to the next request for another adapter. By
/// then the daemon has given up waiting.
const NEXT_DELAY: Duration = Duration::from_millis(1_000);

/// Time from that request to the crash, and how long the runner is down.
const CRASH_DELAY: Duration = Duration::from_millis(1_600);
const DOWN: Duration = Duration::from_millis(500);

/// Time from that order until clients ask for other adapters.
const SHIFT_DELAY: Duration = Duration::from_millis(3_500);

fn main() {
    let case = Case::start();
    let runners = [("v1", false); RUNNERS];
    let plan = Plan { entries: 1, runners: &runners, is_resumable: false };
    let Fleet { engines, entries, .. } = Fleet::start(&case, &plan);
    let entry = entries[0];
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let target = engines[0].clone();
    let adapters = adapters_of(target.address, &addresses);
    let clients = Clients::new(&case, entry);
    case.note(&format!("{} gets the requests for {} adapters first", target.name, adapters.len()));

    // Clients ask for adapters of the first runner until all of its places are taken.
    let mut rest = adapters.iter();
    while target.loaded() < ADAPTER_SLOTS && case.now() < 40_000 {
        let Some(adapter) = rest.next() else { break };
        clients.request(adapter, 3);
    }
    case.note(&format!(
        "{} holds {} adapters after {} orders",
        target.name,
        target.loaded(),
        target.orders()
    ));
    if target.loaded() < ADAPTER_SLOTS {
        case.end(NOT_RUN);
    }
    if case.trouble {
        target.leave_unanswered(target.orders());
    }
    // One client asks for another one, for which an adapter has to make way.
    let rare = rest.next().expect("thousands of adapters").clone();
    let began = Instant::now();
    {
        let (clients, rare) = (clients.clone(), rare.clone());
        thread::spawn(move || clients.request(&rare, 3));
    }
    if case.trouble {
        while target.unanswered().is_none() && began.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(5));
        }
        if target.unanswered().is_none() {
            case.note("no order came");
            case.end(NOT_RUN);
        }
    }
    // A second client asks for one more a little later.
    thread::sleep(NEXT_DELAY.saturating_sub(began.elapsed()));
    clients.request(rest.next().expect("thousands of adapters"), 3);
    if case.trouble {
        thread::sleep(CRASH_DELAY.saturating_sub(began.elapsed()));
        target.crash(DOWN);
    }
    thread::sleep(SHIFT_DELAY.saturating_sub(began.elapsed()));

    // Then clients ask for others of its adapters, each a few times.
    let end = began + Duration::from_secs(14);
    let mut asked: Vec<String> = Vec::new();
    while Instant::now() < end && (asked.len() < ADAPTER_SLOTS || target.loaded() < ADAPTER_SLOTS) {
        let Some(adapter) = rest.next() else { break };
        if clients.request(adapter, 1).is_some() {
            asked.push(adapter.clone());
        }
    }
    case.note(&format!(
        "{} holds {} adapters after {} orders",
        target.name,
        target.loaded(),
        target.orders()
    ));
    let held: Vec<String> = asked.into_iter().filter(|name| target.holds(name)).collect();
    let streams = held.iter().map(|name| {
        let (clients, name) = (clients.clone(), name.clone());
        thread::spawn(move || drop(clients.request(&name, 100)))
    });
    let streams: Vec<_> = streams.collect();
    streams.into_iter().for_each(|stream| drop(stream.join()));
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let (mut overfilled, mut cut) = (0, 0);
    for engine in &engines {
        let losses = engine.losses();
        (overfilled, cut) = (overfilled + losses.0, cut + losses.1);
    }
    let ends = clients.ends.lock().unwrap();
    let summary = format!(
        "ends of requests {ends:?}; LIMIT broken by {overfilled}, {cut} streams cut by crashes"
    );
    case.note(&summary);
    println!("{summary}");
    case.end(match overfilled {
        0 => HELD,
        _ => BROKEN,
    });
}
