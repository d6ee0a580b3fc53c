//! Whole sessions of routing, queue and slots, compared line by line.
//!
//! A line without an indent is an event, the indented ones below it are what
//! the core does about it. `KINGCUPBAY_BLESS=1` writes the files anew.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, fmt::Write, fs, path::Path};

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Serves, Upstream},
    },
    id::{Id, Name, OrganisationId, RequestId, UpstreamId, VersionId},
    queue::{self, Entry, GivenUp, Queue},
    route::{self, InFlight, Progress, Report, Retry, RetryBudget, Router, WorkKind},
    slot::{self, Action, EngineReport, Outcome, Pin, Slots},
    time::{Instant, Span},
    wire::error::Code,
};

/// Requests that a runner of these sessions runs at once.
const PLACES: usize = 2;

struct Side {
    queue: Queue,
    slots: Slots,
    running: BTreeMap<RequestId, Pin>,
    orders: Vec<Action>,
    seq: u64,
}

/// One entry and three runners with two slots, in three zones.
struct Session {
    now: Instant,
    router: Router,
    retries: RetryBudget,
    sides: Vec<Side>,
    entries: BTreeMap<RequestId, (Entry, Option<InFlight>)>,
    text: String,
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn id(number: u8) -> RequestId {
    RequestId([number; 16])
}

fn number(id: RequestId) -> u8 {
    id.0[0]
}

impl Session {
    fn new() -> Session {
        let mut config = Config::default();
        for number in 0..3 {
            let upstream = Upstream {
                name: name(&format!("runner-{number}")),
                host: name(&format!("host-{number}")),
                address: format!("127.0.0.1:{}", 9_000 + number),
                zone: name(&format!("zone-{number}")),
                serves: Serves::Model { base: name("base"), slots: 2, fenced: true },
                leaving: false,
            };
            config.change(&Change::SetUpstream { upstream }).unwrap();
        }
        let mut router = Router::new(route::Limits::default(), 1);
        router.on_config(&config);
        let side = |_| {
            let limits = slot::Limits { prefetch_reserve: 0, ..slot::Limits::default() };
            let mut slots = Slots::new(limits, 2, 7);
            slots.on_incarnation(Instant::default(), 1);
            let queue = Queue::new(queue::Limits::default());
            Side { queue, slots, running: BTreeMap::new(), orders: Vec::new(), seq: 0 }
        };
        let sides = (0..3).map(side).collect();
        let (retries, entries, text) = Default::default();
        let mut session =
            Session { now: Instant::default(), router, retries, sides, entries, text };
        (0..3).for_each(|raw| session.tell(raw));
        session
    }

    fn event(&mut self, millis: u64, line: &str) {
        self.now = Instant::from_micros(millis * 1_000);
        writeln!(self.text, "{:>3}.{:03} {line}", millis / 1_000, millis % 1_000).unwrap();
    }

    fn action(&mut self, line: &str) {
        writeln!(self.text, "            {line}").unwrap();
    }

    fn request(&mut self, millis: u64, request: u8, organisation: u32, version: u32) {
        let what = format!("request {request} of organisation {organisation}");
        self.event(millis, &format!("{what} for version {version}"));
        self.retries.record_first_attempt();
        let entry = Entry {
            request: id(request),
            organisation: OrganisationId::from_raw(organisation),
            version: VersionId::from_raw(version),
            tokens: 300,
            deadline: self.now + Span::from_secs(10),
            enqueued: self.now,
        };
        self.route(entry, &[]);
    }

    fn route(&mut self, entry: Entry, tried: &[UpstreamId]) {
        let chosen = self.router.choose(self.now, entry.version, &name("base"), tried).unwrap();
        let guard = self.router.begin(chosen);
        self.entries.insert(entry.request, (entry, guard));
        self.action(&format!("request {} goes to runner-{chosen}", number(entry.request)));
        let side = &mut self.sides[chosen.raw() as usize];
        side.slots.touch(self.now, entry.version);
        if let Some(given_up) = side.queue.push(self.now, entry) {
            self.give_up(chosen.raw() as usize, given_up);
        }
        self.pump(chosen.raw() as usize);
    }

    fn pump(&mut self, raw: usize) {
        let now = self.now;
        for given_up in self.sides[raw].queue.expire(now) {
            self.give_up(raw, given_up);
        }
        let side = &mut self.sides[raw];
        for action in side.slots.plan(now, &side.queue.waits(), 8) {
            self.sides[raw].orders.push(action);
            self.order(raw, action);
        }
        while self.sides[raw].running.len() < PLACES {
            let Side { queue, slots, running, .. } = &mut self.sides[raw];
            let ready = |version| slots.is_ready(version);
            let Some(entry) = queue.start_next(now, ready) else { break };
            running.insert(entry.request, slots.pin(entry.version, entry.request).unwrap());
            let (request, version) = (number(entry.request), entry.version);
            self.action(&format!("request {request} starts on runner-{raw}, version {version}"));
        }
    }

    fn order(&mut self, raw: usize, action: Action) {
        let (what, version, order) = match action {
            Action::Load { version, order } => ("load", version, order),
            Action::Unload { version, order } => ("unload", version, order),
            other => panic!("{other:?} is no order"),
        };
        let slot::Order { fencing, seq } = order;
        self.action(&format!(
            "runner-{raw} is ordered to {what} version {version} (order {fencing}/{seq})"
        ));
    }

    /// The engine answers its oldest order.
    fn answer(&mut self, millis: u64, raw: usize, outcome: Outcome) {
        let action = self.sides[raw].orders.remove(0);
        let how = if outcome == Outcome::Done { "done" } else { "failed" };
        let told = match action {
            Action::Load { version, order } => {
                self.event(millis, &format!("runner-{raw}: load of version {version} {how}"));
                self.sides[raw].slots.on_load(self.now, order, outcome)
            }
            Action::Unload { version, order } => {
                self.event(millis, &format!("runner-{raw}: unload of version {version} {how}"));
                self.sides[raw].slots.on_unload(self.now, order, outcome)
            }
            other => panic!("{other:?} is no order"),
        };
        self.tell_waiters(raw, &told);
        self.pump(raw);
    }

    /// Every order is carried out, in the order of the runners.
    fn settle(&mut self, millis: u64) {
        let busy = |side: &Side| !side.orders.is_empty();
        while let Some(raw) = self.sides.iter().position(busy) {
            self.answer(millis, raw, Outcome::Done);
        }
    }

    fn tell_waiters(&mut self, raw: usize, told: &[Action]) {
        for action in told {
            match *action {
                Action::Failed { version, retry_after } => {
                    for given_up in self.sides[raw].queue.fail(version, retry_after) {
                        self.give_up(raw, given_up);
                    }
                }
                Action::Lost { request } => self.lose(raw, request),
                other => panic!("{other:?} is not for those who wait"),
            }
        }
    }

    fn give_up(&mut self, raw: usize, given_up: GivenUp) {
        let failure = given_up.failure();
        let (request, after) = (number(given_up.entry.request), failure.retry_after.unwrap());
        let (code, ran) = (failure.code.as_str(), failure.ran);
        self.action(&format!("runner-{raw} gives up on request {request}: {code}, {ran:?}"));
        let here = UpstreamId::from_raw(raw as u32);
        if given_up.code == Code::LoadFailed {
            self.router.on_load_failed(here, given_up.entry.version);
            self.again(given_up.entry, here, Progress::NotRun);
        } else {
            let millis = after.as_millis();
            self.entries.remove(&given_up.entry.request);
            self.action(&format!("the caller is told to come back after {millis} ms"));
        }
    }

    fn lose(&mut self, raw: usize, request: RequestId) {
        let side = &mut self.sides[raw];
        side.running.remove(&request);
        side.queue.finish(request, 100);
        self.action(&format!("request {} lost its engine after 12 tokens", number(request)));
        let entry = self.entries[&request].0;
        let here = UpstreamId::from_raw(raw as u32);
        self.again(entry, here, Progress::Streaming { offset: 12 });
    }

    fn again(&mut self, entry: Entry, failed: UpstreamId, progress: Progress) {
        let retry = self.retries.retry(WorkKind::Generate, progress);
        self.action(&format!("request {}: {retry:?}", number(entry.request)));
        match retry {
            Retry::Again | Retry::Resume { .. } => self.route(entry, &[failed]),
            _ => drop(self.entries.remove(&entry.request)),
        }
    }

    fn finish(&mut self, millis: u64, request: u8) {
        let holds = |side: &Side| side.running.contains_key(&id(request));
        let raw = self.sides.iter().position(holds).unwrap();
        self.event(millis, &format!("request {request} ends on runner-{raw}"));
        self.sides[raw].running.remove(&id(request));
        self.sides[raw].queue.finish(id(request), 250);
        self.entries.remove(&id(request));
        self.pump(raw);
    }

    fn restart(&mut self, millis: u64, raw: usize) {
        self.event(millis, &format!("runner-{raw}: the engine restarted empty"));
        self.sides[raw].orders.clear();
        let report = EngineReport { incarnation: 2, as_of: self.now, loaded: Vec::new() };
        let told = self.sides[raw].slots.on_report(self.now, &report);
        self.tell_waiters(raw, &told);
        self.pump(raw);
    }

    fn report(&mut self, millis: u64, raw: usize) {
        let loaded = self.sides[raw].slots.loaded_versions();
        let loaded: Vec<String> = loaded.iter().map(ToString::to_string).collect();
        let line = format!("runner-{raw} reports versions [{}]", loaded.join(", "));
        self.event(millis, &line);
        self.tell(raw);
    }

    /// Brings the entry a report.
    fn tell(&mut self, raw: usize) {
        let side = &mut self.sides[raw];
        side.seq += 1;
        let report = Report {
            loaded: side.slots.loaded_versions(),
            running: side.running.len() as u32,
            waiting: side.queue.len() as u32,
            places: PLACES as u32,
            seq: side.seq,
        };
        self.router.on_report(UpstreamId::from_raw(raw as u32), &report);
    }

    /// The runner that a request waits or runs at.
    fn place(&self, request: u8) -> usize {
        let guard = self.entries[&id(request)].1.as_ref().unwrap();
        guard.upstream().raw() as usize
    }

    fn check(self, file: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
        if std::env::var_os("KINGCUPBAY_BLESS").is_some() {
            fs::write(&path, &self.text).unwrap();
        }
        let golden = fs::read_to_string(&path).unwrap();
        assert_eq!(self.text, golden, "{file} differs; see the head of this test");
    }
}

/// A second request follows the first while its adapter loads, instead of
/// loading it again elsewhere. A third would wait for a place, so it gets a
/// copy. Once there are places nothing needs to be loaded.
#[test]
fn a_cold_adapter_is_loaded_once_while_there_is_capacity() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    let runner = session.place(1);
    session.request(20, 2, 1, 10);
    session.answer(250, runner, Outcome::Done);
    session.report(500, runner);
    session.request(600, 3, 1, 10);
    session.settle(850);
    (1..=3).for_each(|request| session.finish(4_000 + u64::from(request), request));
    session.request(13_000, 4, 1, 10);
    session.check("serve_cold_adapter.txt");
}

/// One adapter becomes popular from one second to the next. Its runner has no
/// place left, so it gets copies in other zones, and there the version used
/// least makes room.
#[test]
fn a_popular_adapter_gains_replicas_in_other_zones() {
    let mut session = Session::new();
    for version in 20..26 {
        let request = version as u8;
        session.request(u64::from(version) * 1_000, request, 2, version);
        session.settle(u64::from(version) * 1_000 + 250);
        session.finish(u64::from(version) * 1_000 + 900, request);
    }
    (0..3).for_each(|raw| session.report(26_000, raw));
    for request in 1..=6 {
        session.request(27_000 + u64::from(request), request, 1, 10);
    }
    session.settle(27_250);
    (1..=6).for_each(|request| session.finish(31_000 + u64::from(request), request));
    (0..3).for_each(|raw| session.report(32_000, raw));
    session.check("serve_hot_shift.txt");
}

/// An engine restarts empty under two running requests. They resume elsewhere
/// after the tokens their callers have, and the version that was asked for is
/// loaded again before anybody waits for it.
#[test]
fn an_engine_restart_resumes_its_requests_elsewhere() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    let runner = session.place(1);
    session.request(10, 2, 1, 10);
    session.answer(250, runner, Outcome::Done);
    session.restart(1_000, runner);
    session.settle(1_250);
    session.report(1_400, runner);
    session.finish(3_000, 1);
    session.finish(3_100, 2);
    session.check("serve_engine_restart.txt");
}

/// A load fails twice. Those who wait for it are told at once and their entry
/// tries another runner, each time with the runner that failed left out.
#[test]
fn a_failed_load_moves_its_requests_to_another_upstream() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    session.request(10, 2, 1, 10);
    for millis in [250, 500] {
        let runner = session.place(1);
        session.answer(millis, runner, Outcome::Failed);
    }
    session.settle(900);
    session.finish(2_000, 1);
    session.finish(2_010, 2);
    session.check("serve_failed_load.txt");
}

/// Every place is taken and many wait: the newest of the longest lane makes
/// room for a small organisation's request, and a request whose deadline is
/// out of reach is answered while its caller can still go elsewhere.
#[test]
fn a_full_queue_evicts_from_the_longest_lane() {
    let mut session = Session::new();
    let limits = queue::Limits { max_waiting: 3, ..queue::Limits::default() };
    session.sides.iter_mut().for_each(|side| side.queue = Queue::new(limits));
    session.sides.truncate(1);
    (1..3).for_each(|raw| session.router.set_reachable(UpstreamId::from_raw(raw), false));
    for request in 1..=5 {
        session.request(u64::from(request), request, 1, 10);
        session.settle(u64::from(request));
    }
    session.request(20, 6, 2, 20);
    session.settle(270);
    session.finish(4_000, 1);
    session.finish(9_980, 2);
    session.check("serve_full_queue.txt");
}
