//! The runners of a service are replaced by ones of another software version. Then all entries are
//! killed. Clients take their streams up, and these go on at the other version.

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
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use engine::MODEL;
use fleet::{BROKEN, Case, HELD, NOT_RUN};
use guests::{Clients, Fleet, Plan, adapters_of};
use http::{Conn, header};

/// Runners at the start. Most have been replaced before; the last two are of the first version, a
/// share of 0.125.
const OLD: usize = 2;
const NEW: usize = 14;

/// Runners that replace the last two, one after the other.
const REPLACING: usize = 2;

const CLIENTS: usize = 24;

/// Adapters of each old runner that clients ask for.
const ADAPTERS: usize = 3;

/// Events of each stream. It takes 20 ms to make one.
const EVENTS: u64 = 300;

/// Time limit of a client's request, and its tries within it.
const TIME_LIMIT: Duration = Duration::from_secs(15);
const TRIES: u32 = 5;

/// Bound of the rule: more streams than this break it.
const STREAMS_MAX: usize = 2;

/// Times from the start of the streams: when the first replacing runner starts, how much later the
/// old one leaves, the pause between two replacements, and when all entries are killed.
const START: Duration = Duration::from_millis(500);
const LEAVE_AFTER: Duration = Duration::from_millis(1_000);
const GAP: Duration = Duration::from_millis(1_000);
const KILL: Duration = Duration::from_millis(4_000);

/// How long the entries are down.
const DOWN: Duration = Duration::from_secs(1);

/// What a client has got of one stream.
#[derive(Clone, Default)]
struct Stream {
    /// Events with the versions of the software that made them.
    versions: BTreeSet<String>,
    last: u64,
    tries: Vec<String>,
    is_whole: bool,
}

/// Asks for a stream and takes it up where it breaks off.
fn follow(case: &Case, entries: &[SocketAddr], adapter: &str, number: usize) -> Stream {
    let began = Instant::now();
    let mut stream = Stream::default();
    let (model, first) = (format!("{MODEL}/{adapter}"), format!("c{number}"));
    let (tokens, mut resumes) = (format!("200,{EVENTS}"), String::new());
    for at in 0..TRIES {
        let rest = TIME_LIMIT.saturating_sub(began.elapsed());
        let id = if at == 0 { first.clone() } else { format!("{first}-{at}") };
        let (millis, last) = (rest.as_millis().to_string(), stream.last.to_string());
        let mut headers = vec![
            ("Host", "desk.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Model", model.as_str()),
            ("X-Token-Usage", tokens.as_str()),
            ("X-Deadline-Ms", millis.as_str()),
            ("Authorization", "Bearer key-of-the-winery"),
        ];
        if stream.last > 0 {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", resumes.as_str())]);
        }
        let entry = entries[(number + at as usize) % entries.len()];
        let conn = Conn::open(entry, rest + Duration::from_millis(1));
        let answer = conn.and_then(|mut conn| conn.call("POST", "/pairing/one", &headers, b"wine"));
        let mut pause = Duration::from_millis(700);
        let end = match &answer {
            Ok(answer) if answer.status == 200 => {
                let before = stream.last;
                for line in String::from_utf8_lossy(&answer.body).lines() {
                    if let Some(event) = line.strip_prefix("id: ") {
                        stream.last = event.parse().unwrap_or(stream.last);
                    } else if let Some((version, _)) =
                        line.strip_prefix("data: ").and_then(|data| data.split_once(' '))
                    {
                        stream.versions.insert(version.to_owned());
                    }
                }
                if before == 0 && stream.last > 0 {
                    resumes = id.clone();
                }
                stream.is_whole = answer.is_whole;
                let end = if answer.is_whole { "whole" } else { "cut" };
                format!("200, events {} to {}, {end}", before + 1, stream.last)
            }
            Ok(answer) => {
                let after = header(&answer.headers, "retry-after");
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0.7);
                pause = Duration::from_secs_f64(after);
                answer.status.to_string()
            }
            Err(error) => error.to_string(),
        };
        case.note(&format!("request {id} to {entry}: {end}"));
        stream.tries.push(format!("{id}: {end}"));
        if stream.is_whole {
            break;
        }
        thread::sleep(pause);
    }
    stream
}

fn main() {
    let case = Case::start();
    let mut runners = vec![("v1", false); OLD];
    runners.extend([("v2", false); NEW]);
    runners.extend([("v2", true); REPLACING]);
    let plan = Plan { entries: 2, runners: &runners, is_resumable: true };
    let fleet = Fleet::start(&case, &plan);
    let (old, later) = (&fleet.engines[..OLD], &fleet.engines[OLD + NEW..]);
    // Clients ask for adapters that the old runners hold.
    let addresses: Vec<SocketAddr> =
        fleet.engines[..OLD + NEW].iter().map(|engine| engine.address).collect();
    let adapters = old
        .iter()
        .flat_map(|engine| adapters_of(engine.address, &addresses).into_iter().take(ADAPTERS));
    let adapters: Vec<String> = adapters.collect();
    for adapter in &adapters {
        Clients::new(&case, fleet.entries[0]).request(adapter, 1);
    }
    let streams: Arc<Mutex<BTreeMap<usize, Stream>>> = Arc::default();
    let began = Instant::now();
    let threads = (0..CLIENTS).map(|number| {
        let (case, entries, streams) = (case.clone(), fleet.entries.clone(), streams.clone());
        let adapter = adapters[number % adapters.len()].clone();
        thread::spawn(move || {
            let stream = follow(&case, &entries, &adapter, number);
            streams.lock().unwrap().insert(number, stream);
        })
    });
    let threads: Vec<_> = threads.collect();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    for (number, (old, later)) in old.iter().zip(later).enumerate() {
        let start = START + GAP * number as u32;
        wait_until(start);
        later.is_listed.store(true, Ordering::Relaxed);
        case.note(&format!("{} of {} starts", later.name, later.version));
        wait_until(start + LEAVE_AFTER);
        old.is_listed.store(false, Ordering::Relaxed);
        case.note(&format!("the row of {} is removed; it serves on for a while", old.name));
    }
    wait_until(KILL);
    if case.trouble {
        fleet.kill_entries();
        case.note("all entries are killed");
        thread::sleep(DOWN);
        fleet.start_entries();
        fleet.wait_until_ready();
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let streams = streams.lock().unwrap();
    let (mut mixed, mut whole) = (0, 0);
    for (number, stream) in streams.iter() {
        whole += usize::from(stream.is_whole);
        if stream.versions.len() > 1 {
            mixed += 1;
            case.note(&format!(
                "stream {number} holds events of {:?}: {}",
                stream.versions,
                stream.tries.join("; ")
            ));
        }
    }
    let summary = format!(
        "{whole} of {CLIENTS} streams are whole; {mixed} hold events of two versions, allowed \
         {STREAMS_MAX}"
    );
    case.note(&summary);
    println!("{summary}");
    case.end(match (mixed > STREAMS_MAX, whole) {
        (true, _) => BROKEN,
        (false, 0) if !case.trouble => NOT_RUN,
        (false, _) => HELD,
    });
}
