//! Checks of the promises against what callers received and upstreams recorded.
//!
//! No check measures how long something took, but for whether a request has ended before its
//! deadline, so a slow machine causes no breaches.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use kingcupbay_standin::{OrderIssuer, UpstreamRun};

use crate::{
    fleet::STREAM_EVENTS,
    operator::{CLUB, CLUB_RATE, TIMEOUT_MS, guest_key_number},
    sent::{Answer, End, Kind, Sent},
};

/// Length of the window over which an organisation's tokens are summed.
const WINDOW: Duration = Duration::from_secs(8);

/// Tokens by which a limit may be exceeded in [`WINDOW`], in addition to a tenth:
/// what entries may spend before they have exchanged their usage reports.
const SLACK_TOKENS: u64 = 11_000;

/// What one upstream recorded.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: String,
    /// Version of its software.
    pub software: String,
    /// Requests that it executed.
    pub runs: Vec<UpstreamRun>,
    /// Orders that it accepted, in the order of their arrival.
    pub orders: Vec<OrderIssuer>,
    /// Number of orders to load more adapters than it has slots.
    pub overloads: u32,
    /// Number of times that it got more requests than it tolerates while cold.
    pub overheated: u32,
}

/// Everything recorded in a run.
#[derive(Clone, Debug)]
pub struct Record<'a> {
    /// Requests of all callers, in the order in which they were sent.
    pub sent: &'a [Sent],
    /// Records of all upstreams.
    pub upstreams: &'a [UpstreamRecord],
    /// Rounds with only planned work and silences, in which no request may be lost, with the
    /// entries that were asked to stop in them.
    pub sound: &'a BTreeMap<u32, BTreeSet<usize>>,
    /// Numbers of all configurations that were written.
    pub numbers: &'a BTreeSet<u64>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// The request or upstream concerned, and what was observed.
    pub details: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.details)
    }
}

fn breach(promise: &'static str, details: String) -> Breach {
    Breach { promise, details }
}

/// Runs by request id, each with the id of its upstream.
type Runs<'a> = BTreeMap<&'a str, Vec<(&'a str, &'a UpstreamRun)>>;

/// Returns all broken promises.
pub fn breaches(record: &Record<'_>) -> Vec<Breach> {
    let Record { sent, upstreams, sound, numbers } = *record;
    let mut runs: Runs<'_> = BTreeMap::new();
    for upstream in upstreams {
        for run in &upstream.runs {
            runs.entry(&run.attempt).or_default().push((&upstream.id, run));
        }
    }
    let mut found = find_unsent_runs(sent, &runs);
    for req in sent {
        let ran = runs.get(req.attempt.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(check_unchanged(req, ran));
        found.extend(check_run_count(req, ran));
        found.extend(check_refusal(req, ran));
        found.extend(check_success(req, ran));
        found.extend(check_spoilt(req));
        if let Some(stopped) = sound.get(&req.round) {
            found.extend(check_not_lost(req, ran, stopped));
        }
    }
    found.extend(check_software(sent, upstreams));
    found.extend(check_configuration_order(sent));
    found.extend(check_unknown_keys(sent, &runs, numbers));
    found.extend(check_rate_limit(sent, &runs));
    upstreams.iter().for_each(|upstream| found.extend(check_orders(upstream)));
    found
}

fn find_unsent_runs(sent: &[Sent], runs: &Runs<'_>) -> Vec<Breach> {
    let known: BTreeSet<&str> = sent.iter().map(|req| req.attempt.as_str()).collect();
    let unknown = runs.iter().filter(|(attempt, _)| !known.contains(*attempt));
    let details = |(attempt, ran): (&&str, &Vec<(&str, &UpstreamRun)>)| {
        let ran: Vec<_> = ran.iter().map(|(id, run)| (id, &run.method, &run.path)).collect();
        breach("nobody sent it", format!("{attempt:?} at {ran:?}"))
    };
    unknown.map(details).collect()
}

/// Upstreams receive the caller's request unchanged, with its organisation and
/// without the access key.
fn check_unchanged(req: &Sent, ran: &[(&str, &UpstreamRun)]) -> Vec<Breach> {
    let same = |run: &UpstreamRun| {
        run.method.as_str() == req.kind.method().as_str()
            && run.path == req.path
            && run.body == req.body.as_bytes()
            && run.adapter() == req.adapter.as_deref()
    };
    let own = |run: &UpstreamRun| run.organisation() == Some(req.organisation) && !run.has_key();
    let mut found = Vec::new();
    for (id, run) in ran {
        if !same(run) {
            found.push(breach("the request is unchanged", format!("{} at {id}", req.attempt)));
        }
        if !own(run) {
            let details = format!("{} at {id}: {:?}", req.attempt, run.headers);
            found.push(breach("it runs for its key's organisation", details));
        }
    }
    found
}

fn check_run_count(req: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let most = if req.kind.once() { 1 } else { 2 };
    let details = || {
        let at: Vec<&str> = ran.iter().map(|(id, _)| *id).collect();
        format!("{} {:?} ran at {at:?}, {:?}", req.attempt, req.kind, req.end)
    };
    (ran.len() > most).then(|| breach("it runs at most so often", details()))
}

/// A request that may run once and was refused never runs, not even later.
fn check_refusal(req: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let refused = matches!(req.status(), Some(408 | 421 | 429 | 503));
    let false_refusal = refused && req.kind.once() && !ran.is_empty();
    false_refusal
        .then(|| breach("what is refused has not run", format!("{} {:?}", req.attempt, req.end)))
}

/// A successful answer is complete and belongs to this request.
fn check_success(req: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let Some(End::Answered(answer)) = &req.end else { return None };
    if !(200..300).contains(&answer.status) {
        return None;
    }
    let signed = answer.stamp.as_deref() == Some(&format!("stamp-of-{}", req.attempt))
        && answer.attempt.as_deref() == Some(&req.attempt);
    let whole = match req.kind.streams() {
        true => is_whole_stream(req, answer),
        false => ran.iter().any(|(id, _)| answer.body == format!("done by {id}")),
    };
    let details = || format!("{} {:?}: {answer:?}", req.attempt, req.kind);
    (!signed || !whole).then(|| breach("a success is whole and its own", details()))
}

/// No answer has a line of one that was spoilt on its way.
fn check_spoilt(req: &Sent) -> Option<Breach> {
    let Some(End::Answered(answer)) = &req.end else { return None };
    let details = || format!("{} {:?}: {answer:?}", req.attempt, req.kind);
    answer.spoilt.then(|| breach("a spoilt answer reaches nobody", details()))
}

fn is_whole_stream(req: &Sent, answer: &Answer) -> bool {
    let event = |id: u64| format!("id: {id}\ndata: event {id} of {}\n\n", req.attempt);
    let first = req.takes_up.as_ref().map_or(1, |stream| stream.last + 1);
    answer.body == (first..=STREAM_EVENTS).map(event).collect::<String>()
}

/// A stream goes on only at the software that began it, in one answer and over its caller's
/// tries.
fn check_software(sent: &[Sent], upstreams: &[UpstreamRecord]) -> Vec<Breach> {
    let streams: BTreeMap<&str, &str> =
        sent.iter().map(|req| (req.attempt.as_str(), req.first_attempt())).collect();
    let mut began: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut went_on: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for upstream in upstreams {
        for run in &upstream.runs {
            let Some(stream) = streams.get(run.attempt.as_str()) else { continue };
            let last = run.headers.get("last-event-id").map(String::as_str);
            let runs = if last.is_none_or(|last| last == "0") { &mut began } else { &mut went_on };
            runs.entry(stream).or_default().insert(upstream.software.as_str());
        }
    }
    let is_mixed = |(stream, software): &(&&str, &BTreeSet<&str>)| {
        let began = began.get(**stream);
        software.len() > 1 || !began.is_some_and(|began| began.is_superset(software))
    };
    let details = |(stream, software): (&&str, &BTreeSet<&str>)| {
        let details =
            format!("{stream} began at {:?}, went on at {software:?}", began.get(*stream));
        breach("a stream keeps its software", details)
    };
    went_on.iter().filter(is_mixed).map(details).collect()
}

/// While all upstreams are sound, a request receives the whole answer of its upstream or a
/// refusal, however long the upstream is silent. `stopped` are the entries that were asked to
/// stop: these close connections on which a request may be on its way.
fn check_not_lost(
    req: &Sent,
    ran: &[(&str, &UpstreamRun)],
    stopped: &BTreeSet<usize>,
) -> Option<Breach> {
    let lost = match &req.end {
        Some(End::Broken(_)) => !ran.is_empty() || !stopped.contains(&req.entry),
        Some(End::Answered(answer)) => matches!(answer.status, 500 | 502 | 504),
        Some(End::Left) => req.lasted >= Duration::from_millis(TIMEOUT_MS),
        _ => false,
    };
    lost.then(|| {
        let Sent { attempt, kind, entry, received, lasted, end, .. } = req;
        let at: Vec<&str> = ran.iter().map(|(id, _)| *id).collect();
        let details = format!(
            "{attempt} {kind:?} at {entry}, ran at {at:?}: after event {received} and {} ms {end:?}",
            lasted.as_millis()
        );
        breach("sound upstreams lose nothing", details)
    })
}

/// Within one process, the configuration never goes back. Guest requests to one
/// entry are sent one at a time, so they are answered in the order of sending.
fn check_configuration_order(sent: &[Sent]) -> Vec<Breach> {
    let mut known: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut found = Vec::new();
    for req in sent.iter().filter(|req| req.kind == Kind::Guest) {
        let Some(number) = guest_key_number(&req.key) else { continue };
        let newest = known.entry((req.entry, req.incarnation)).or_default();
        let reverted = match req.status() {
            Some(200) => number < *newest,
            Some(401) => number == *newest && req.newest == number,
            _ => continue,
        };
        if reverted {
            let details = format!("{} with {} after {newest}: {:?}", req.attempt, req.key, req.end);
            found.push(breach("a configuration never goes back", details));
        }
        if req.status() == Some(200) {
            *newest = number.max(*newest);
        }
    }
    found
}

/// A request with a key that no configuration has ever contained never runs.
fn check_unknown_keys(sent: &[Sent], runs: &Runs<'_>, numbers: &BTreeSet<u64>) -> Vec<Breach> {
    let unknown = |req: &&Sent| guest_key_number(&req.key).is_some_and(|of| !numbers.contains(&of));
    let ran = |req: &&Sent| runs.contains_key(req.attempt.as_str());
    let opened = sent.iter().filter(unknown).filter(ran);
    opened
        .map(|req| breach("an unknown key opens nothing", format!("{} {}", req.attempt, req.key)))
        .collect()
}

/// No window runs more tokens of [`CLUB`] than its rate and burst allow.
fn check_rate_limit(sent: &[Sent], runs: &Runs<'_>) -> Option<Breach> {
    let mut used: Vec<_> = sent
        .iter()
        .filter(|req| req.organisation == CLUB)
        .filter_map(|req| {
            let (_, run) = runs.get(req.attempt.as_str())?.first()?;
            Some((req.at, run.started, req.tokens))
        })
        .collect();
    used.sort_unstable_by_key(|&(at, ..)| at);
    let allowed = (CLUB_RATE * WINDOW.as_secs() + CLUB_RATE) * 11 / 10 + SLACK_TOKENS;
    let window = |start: usize| -> u64 {
        let end = used[start].0 + WINDOW;
        let inside = used[start..].iter().take_while(|(at, ..)| *at < end);
        inside.filter(|(_, ran, _)| *ran < end).map(|(_, _, tokens)| tokens).sum()
    };
    let most = (0..used.len()).map(window).max().unwrap_or_default();
    let details = || format!("{most} tokens in {} s, allowed {allowed}", WINDOW.as_secs());
    (most > allowed).then(|| breach("rate and burst hold over all hosts", details()))
}

/// An engine receives orders of one host only, with fencing numbers that never
/// decrease, and never for more adapters than it has slots.
fn check_orders(upstream: &UpstreamRecord) -> Vec<Breach> {
    let id = &upstream.id;
    let mut found = Vec::new();
    if upstream.overloads > 0 {
        found.push(breach("no order beyond the places", format!("{} at {id}", upstream.overloads)));
    }
    if upstream.overheated > 0 {
        let details = format!("{} times at {id}", upstream.overheated);
        found.push(breach("a cold engine gets its rate", details));
    }
    let holders: BTreeSet<&str> =
        upstream.orders.iter().map(|order| order.holder.as_str()).collect();
    if holders.len() > 1 {
        found.push(breach("one host orders an engine", format!("{holders:?} at {id}")));
    }
    let fences: Vec<u64> = upstream.orders.iter().map(|order| order.fencing).collect();
    if !fences.is_sorted() {
        found.push(breach("fencing numbers never go back", format!("{fences:?} at {id}")));
    }
    found
}
