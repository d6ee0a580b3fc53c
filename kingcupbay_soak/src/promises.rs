//! What must hold, judged by what callers got and upstreams saw.
//!
//! Nothing here measures how long anything took: each breach is one on the
//! slowest machine too.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use kingcupbay_standin::{OrderIssuer, UpstreamRun};

use crate::{
    fleet::EVENTS,
    operator::{CLUB, CLUB_RATE, number_of},
    sent::{Answer, End, Kind, Sent},
};

/// Span over which an organisation's use is summed.
const WINDOW: Duration = Duration::from_secs(8);

/// Tokens that a limit may be passed by in [`WINDOW`], beside a tenth: what
/// entries may spend before their tallies meet.
const SLACK: u64 = 11_000;

/// What one upstream saw.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Its id.
    pub id: String,
    /// Requests that it ran.
    pub runs: Vec<UpstreamRun>,
    /// Orders that it accepted, by order of coming.
    pub orders: Vec<OrderIssuer>,
    /// Orders to hold more than it has places for.
    pub overloads: u32,
}

/// All that a run is judged by.
#[derive(Clone, Debug)]
pub struct Evidence<'a> {
    /// What callers sent, in that order.
    pub sent: &'a [Sent],
    /// What upstreams saw.
    pub witnesses: &'a [Witness],
    /// Rounds in which nothing failed, so that no request may be lost in them.
    pub planned: &'a BTreeSet<u32>,
    /// Numbers of all configurations.
    pub numbers: &'a BTreeSet<u64>,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which one.
    pub promise: &'static str,
    /// The request or upstream, and what was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

fn breach(promise: &'static str, seen: String) -> Breach {
    Breach { promise, seen }
}

/// Runs by the attempt that they belong to, with the upstream of each.
type Runs<'a> = BTreeMap<&'a str, Vec<(&'a str, &'a UpstreamRun)>>;

/// Every promise that was broken.
pub fn breaches(evidence: &Evidence<'_>) -> Vec<Breach> {
    let Evidence { sent, witnesses, planned, numbers } = *evidence;
    let mut runs: Runs<'_> = BTreeMap::new();
    for witness in witnesses {
        for run in &witness.runs {
            runs.entry(&run.attempt).or_default().push((&witness.id, run));
        }
    }
    let mut found = unasked(sent, &runs);
    for one in sent {
        let ran = runs.get(one.attempt.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(changed(one, ran));
        found.extend(repeated(one, ran));
        found.extend(untrue(one, ran));
        found.extend(foreign(one, ran));
        if planned.contains(&one.round) {
            found.extend(lost(one, ran));
        }
    }
    found.extend(reverted(sent));
    found.extend(unknown_keys(sent, &runs, numbers));
    found.extend(over_limit(sent, &runs));
    witnesses.iter().for_each(|witness| found.extend(disorder(witness)));
    found
}

fn unasked(sent: &[Sent], runs: &Runs<'_>) -> Vec<Breach> {
    let known: BTreeSet<&str> = sent.iter().map(|one| one.attempt.as_str()).collect();
    let strange = runs.iter().filter(|(attempt, _)| !known.contains(*attempt));
    let seen = |(attempt, ran): (&&str, &Vec<(&str, &UpstreamRun)>)| {
        let ran: Vec<_> = ran.iter().map(|(id, run)| (id, &run.method, &run.path)).collect();
        breach("nobody sent it", format!("{attempt:?} at {ran:?}"))
    };
    strange.map(seen).collect()
}

/// Upstreams get the caller's request, whose it is, and never the key.
fn changed(one: &Sent, ran: &[(&str, &UpstreamRun)]) -> Vec<Breach> {
    let same = |run: &UpstreamRun| {
        run.method.as_str() == one.kind.method().as_str()
            && run.path == one.path
            && run.body == one.body.as_bytes()
            && run.adapter() == one.adapter.as_deref()
    };
    let own = |run: &UpstreamRun| run.organisation() == Some(one.organisation) && !run.has_key();
    let mut found = Vec::new();
    for (id, run) in ran {
        if !same(run) {
            found.push(breach("the request is unchanged", format!("{} at {id}", one.attempt)));
        }
        if !own(run) {
            let seen = format!("{} at {id}: {:?}", one.attempt, run.headers);
            found.push(breach("it runs for its key's organisation", seen));
        }
    }
    found
}

fn repeated(one: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let most = if one.kind.once() { 1 } else { 2 };
    let seen = || {
        let at: Vec<&str> = ran.iter().map(|(id, _)| *id).collect();
        format!("{} {:?} ran at {at:?}, {:?}", one.attempt, one.kind, one.end)
    };
    (ran.len() > most).then(|| breach("it runs at most so often", seen()))
}

/// "Not run" is true, also later.
fn untrue(one: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let refused = matches!(one.status(), Some(408 | 421 | 429 | 503));
    let lied = refused && one.kind.once() && !ran.is_empty();
    lied.then(|| breach("what is refused has not run", format!("{} {:?}", one.attempt, one.end)))
}

/// A success is whole and the request's own.
fn foreign(one: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let Some(End::Answered(answer)) = &one.end else { return None };
    if !(200..300).contains(&answer.status) {
        return None;
    }
    let stamped = answer.stamp.as_deref() == Some(&format!("stamp-of-{}", one.attempt))
        && answer.attempt.as_deref() == Some(&one.attempt);
    let whole = match one.kind.streams() {
        true => is_whole_stream(one, answer),
        false => ran.iter().any(|(id, _)| answer.body == format!("done by {id}")),
    };
    let seen = || format!("{} {:?}: {answer:?}", one.attempt, one.kind);
    (!stamped || !whole).then(|| breach("a success is whole and its own", seen()))
}

fn is_whole_stream(one: &Sent, answer: &Answer) -> bool {
    let event = |id: u64| format!("id: {id}\ndata: event {id} of {}\n\n", one.attempt);
    answer.body == (1..=EVENTS).map(event).collect::<String>()
}

/// With nothing but planned work, a request that reached an upstream is
/// answered with what that upstream made.
fn lost(one: &Sent, ran: &[(&str, &UpstreamRun)]) -> Option<Breach> {
    let cut = match &one.end {
        Some(End::Broken(_)) => !ran.is_empty(),
        Some(End::Answered(answer)) => matches!(answer.status, 500 | 502 | 504),
        _ => false,
    };
    cut.then(|| {
        let seen = format!("{} {:?} at {}: {:?}", one.attempt, one.kind, one.entry, one.end);
        breach("planned work loses nothing", seen)
    })
}

/// Within one process, the configuration never goes back. Guests of one entry
/// ask one at a time, so the order of sending is the order of answers.
fn reverted(sent: &[Sent]) -> Vec<Breach> {
    let mut known: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut found = Vec::new();
    for one in sent.iter().filter(|one| one.kind == Kind::Guest) {
        let Some(number) = number_of(&one.key) else { continue };
        let newest = known.entry((one.entry, one.incarnation)).or_default();
        let back = match one.status() {
            Some(200) => number < *newest,
            Some(401) => number == *newest && one.newest == number,
            _ => continue,
        };
        if back {
            let seen = format!("{} with {} after {newest}: {:?}", one.attempt, one.key, one.end);
            found.push(breach("a configuration never goes back", seen));
        }
        if one.status() == Some(200) {
            *newest = number.max(*newest);
        }
    }
    found
}

/// A key that no configuration ever held opens nothing.
fn unknown_keys(sent: &[Sent], runs: &Runs<'_>, numbers: &BTreeSet<u64>) -> Vec<Breach> {
    let unknown = |one: &&Sent| number_of(&one.key).is_some_and(|of| !numbers.contains(&of));
    let ran = |one: &&Sent| runs.contains_key(one.attempt.as_str());
    let opened = sent.iter().filter(unknown).filter(ran);
    opened
        .map(|one| breach("an unknown key opens nothing", format!("{} {}", one.attempt, one.key)))
        .collect()
}

/// In no window more of the club's tokens run than its rate and burst allow.
fn over_limit(sent: &[Sent], runs: &Runs<'_>) -> Option<Breach> {
    let mut used: Vec<_> = sent
        .iter()
        .filter(|one| one.organisation == CLUB)
        .filter_map(|one| {
            let (_, run) = runs.get(one.attempt.as_str())?.first()?;
            Some((one.at, run.started, one.tokens))
        })
        .collect();
    used.sort_unstable_by_key(|&(at, ..)| at);
    let allowed = (CLUB_RATE * WINDOW.as_secs() + CLUB_RATE) * 11 / 10 + SLACK;
    let window = |start: usize| -> u64 {
        let end = used[start].0 + WINDOW;
        let inside = used[start..].iter().take_while(|(at, ..)| *at < end);
        inside.filter(|(_, ran, _)| *ran < end).map(|(_, _, tokens)| tokens).sum()
    };
    let most = (0..used.len()).map(window).max().unwrap_or_default();
    let seen = || format!("{most} tokens in {} s, allowed {allowed}", WINDOW.as_secs());
    (most > allowed).then(|| breach("rate and burst hold over all hosts", seen()))
}

/// One host orders an engine, its fencing number never goes back, and it never
/// orders more than there is room for.
fn disorder(witness: &Witness) -> Vec<Breach> {
    let id = &witness.id;
    let mut found = Vec::new();
    if witness.overloads > 0 {
        found.push(breach("no order beyond the places", format!("{} at {id}", witness.overloads)));
    }
    let holders: BTreeSet<&str> =
        witness.orders.iter().map(|order| order.holder.as_str()).collect();
    if holders.len() > 1 {
        found.push(breach("one host orders an engine", format!("{holders:?} at {id}")));
    }
    let fences: Vec<u64> = witness.orders.iter().map(|order| order.fencing).collect();
    if !fences.is_sorted() {
        found.push(breach("fencing numbers never go back", format!("{fences:?} at {id}")));
    }
    found
}
