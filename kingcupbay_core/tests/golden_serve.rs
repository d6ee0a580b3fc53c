//! Complete sessions of routing, queue and slots, compared with golden files.
//!
//! An unindented line is an event; the indented lines below it are the actions
//! of the core in response. `KINGCUPBAY_BLESS=1` rewrites the files.

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

/// Number of requests that a runner of these sessions runs concurrently.
const CAPACITY: usize = 2;

/// The queue and slots of one upstream, with its unanswered orders.
struct Runner {
    queue: Queue,
    slots: Slots,
    running: BTreeMap<RequestId, Pin>,
    orders: Vec<Action>,
    seq: u64,
}

/// One entry and three runners with two slots each, in three zones.
struct Session {
    now: Instant,
    router: Router,
    retries: RetryBudget,
    runners: Vec<Runner>,
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
        let runner = |_| {
            let limits = slot::Limits { prefetch_reserve: 0, ..slot::Limits::default() };
            let mut slots = Slots::new(limits, 2, 7);
            slots.on_incarnation(Instant::default(), 1);
            let queue = Queue::new(queue::Limits::default());
            Runner { queue, slots, running: BTreeMap::new(), orders: Vec::new(), seq: 0 }
        };
        let runners = (0..3).map(runner).collect();
        let (retries, entries, text) = Default::default();
        let mut session =
            Session { now: Instant::default(), router, retries, runners, entries, text };
        (0..3).for_each(|raw| session.send_report(raw));
        session
    }

    fn write_event(&mut self, millis: u64, line: &str) {
        self.now = Instant::from_micros(millis * 1_000);
        writeln!(self.text, "{:>3}.{:03} {line}", millis / 1_000, millis % 1_000).unwrap();
    }

    fn write_action(&mut self, line: &str) {
        writeln!(self.text, "            {line}").unwrap();
    }

    fn request(&mut self, millis: u64, request: u8, organisation: u32, version: u32) {
        let what = format!("request {request} of organisation {organisation}");
        self.write_event(millis, &format!("{what} for version {version}"));
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
        self.write_action(&format!("request {} goes to runner-{chosen}", number(entry.request)));
        let runner = &mut self.runners[chosen.raw() as usize];
        runner.slots.touch(self.now, entry.version);
        if let Some(given_up) = runner.queue.push(self.now, entry) {
            self.give_up(chosen.raw() as usize, given_up);
        }
        self.advance(chosen.raw() as usize);
    }

    /// Expires requests, plans loads and starts requests on a runner.
    fn advance(&mut self, raw: usize) {
        let now = self.now;
        for given_up in self.runners[raw].queue.expire(now) {
            self.give_up(raw, given_up);
        }
        let runner = &mut self.runners[raw];
        for action in runner.slots.plan(now, &runner.queue.waits(), 8) {
            self.runners[raw].orders.push(action);
            self.write_order(raw, action);
        }
        while self.runners[raw].running.len() < CAPACITY {
            let Runner { queue, slots, running, .. } = &mut self.runners[raw];
            let ready = |version| slots.is_ready(version);
            let Some(entry) = queue.start_next(now, ready) else { break };
            running.insert(entry.request, slots.pin(entry.version, entry.request).unwrap());
            let (request, version) = (number(entry.request), entry.version);
            self.write_action(&format!(
                "request {request} starts on runner-{raw}, version {version}"
            ));
        }
    }

    fn write_order(&mut self, raw: usize, action: Action) {
        let (what, version, order) = match action {
            Action::Load { version, order } => ("load", version, order),
            Action::Unload { version, order } => ("unload", version, order),
            other => panic!("{other:?} is no order"),
        };
        let slot::Order { fencing, seq } = order;
        self.write_action(&format!(
            "runner-{raw} is ordered to {what} version {version} (order {fencing}/{seq})"
        ));
    }

    /// Applies the engine's answer to its oldest order.
    fn answer(&mut self, millis: u64, raw: usize, outcome: Outcome) {
        let action = self.runners[raw].orders.remove(0);
        let how = if outcome == Outcome::Done { "done" } else { "failed" };
        let actions = match action {
            Action::Load { version, order } => {
                self.write_event(millis, &format!("runner-{raw}: load of version {version} {how}"));
                self.runners[raw].slots.on_load(self.now, order, outcome)
            }
            Action::Unload { version, order } => {
                self.write_event(
                    millis,
                    &format!("runner-{raw}: unload of version {version} {how}"),
                );
                self.runners[raw].slots.on_unload(self.now, order, outcome)
            }
            other => panic!("{other:?} is no order"),
        };
        self.apply_actions(raw, &actions);
        self.advance(raw);
    }

    /// Completes every order, in the order of the runners.
    fn complete_orders(&mut self, millis: u64) {
        let busy = |runner: &Runner| !runner.orders.is_empty();
        while let Some(raw) = self.runners.iter().position(busy) {
            self.answer(millis, raw, Outcome::Done);
        }
    }

    fn apply_actions(&mut self, raw: usize, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Failed { version, retry_after } => {
                    for given_up in self.runners[raw].queue.fail(version, retry_after) {
                        self.give_up(raw, given_up);
                    }
                }
                Action::Lost { request } => self.lose_version(raw, request),
                other => panic!("{other:?} is not a notification"),
            }
        }
    }

    fn give_up(&mut self, raw: usize, given_up: GivenUp) {
        let failure = given_up.failure();
        let (request, after) = (number(given_up.entry.request), failure.retry_after.unwrap());
        let (code, ran) = (failure.code.as_str(), failure.ran);
        self.write_action(&format!("runner-{raw} gives up on request {request}: {code}, {ran:?}"));
        let failed = UpstreamId::from_raw(raw as u32);
        if given_up.code == Code::LoadFailed {
            self.router.on_load_failed(failed, given_up.entry.version);
            self.retry(given_up.entry, failed, Progress::NotRun);
        } else {
            let millis = after.as_millis();
            self.entries.remove(&given_up.entry.request);
            self.write_action(&format!("the caller is told to come back after {millis} ms"));
        }
    }

    fn lose_version(&mut self, raw: usize, request: RequestId) {
        let runner = &mut self.runners[raw];
        runner.running.remove(&request);
        runner.queue.finish(request, 100);
        self.write_action(&format!("request {} lost its engine after 12 tokens", number(request)));
        let entry = self.entries[&request].0;
        let failed = UpstreamId::from_raw(raw as u32);
        self.retry(entry, failed, Progress::Streaming { offset: 12 });
    }

    fn retry(&mut self, entry: Entry, failed: UpstreamId, progress: Progress) {
        let retry = self.retries.retry(WorkKind::Generate, progress);
        self.write_action(&format!("request {}: {retry:?}", number(entry.request)));
        match retry {
            Retry::Again | Retry::Resume { .. } => self.route(entry, &[failed]),
            _ => drop(self.entries.remove(&entry.request)),
        }
    }

    fn finish(&mut self, millis: u64, request: u8) {
        let holds = |runner: &Runner| runner.running.contains_key(&id(request));
        let raw = self.runners.iter().position(holds).unwrap();
        self.write_event(millis, &format!("request {request} ends on runner-{raw}"));
        self.runners[raw].running.remove(&id(request));
        self.runners[raw].queue.finish(id(request), 250);
        self.entries.remove(&id(request));
        self.advance(raw);
    }

    fn restart(&mut self, millis: u64, raw: usize) {
        self.write_event(millis, &format!("runner-{raw}: the engine restarted empty"));
        self.runners[raw].orders.clear();
        let report = EngineReport { incarnation: 2, as_of: self.now, loaded: Vec::new() };
        let actions = self.runners[raw].slots.on_report(self.now, &report);
        self.apply_actions(raw, &actions);
        self.advance(raw);
    }

    fn report(&mut self, millis: u64, raw: usize) {
        let loaded = self.runners[raw].slots.loaded_versions();
        let loaded: Vec<String> = loaded.iter().map(ToString::to_string).collect();
        let line = format!("runner-{raw} reports versions [{}]", loaded.join(", "));
        self.write_event(millis, &line);
        self.send_report(raw);
    }

    /// Delivers a report of the runner to the router.
    fn send_report(&mut self, raw: usize) {
        let runner = &mut self.runners[raw];
        runner.seq += 1;
        let report = Report {
            loaded: runner.slots.loaded_versions(),
            running: runner.running.len() as u32,
            waiting: runner.queue.len() as u32,
            places: CAPACITY as u32,
            seq: runner.seq,
        };
        self.router.on_report(UpstreamId::from_raw(raw as u32), &report);
    }

    /// Returns the runner at which a request waits or runs.
    fn runner_of(&self, request: u8) -> usize {
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

/// A second request must follow the first while its adapter loads, instead of
/// loading it again elsewhere. A third would have to wait, so the adapter gets a
/// replica. Once there is free capacity, nothing more is loaded.
#[test]
fn a_cold_adapter_is_loaded_once_while_there_is_capacity() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    let runner = session.runner_of(1);
    session.request(20, 2, 1, 10);
    session.answer(250, runner, Outcome::Done);
    session.report(500, runner);
    session.request(600, 3, 1, 10);
    session.complete_orders(850);
    (1..=3).for_each(|request| session.finish(4_000 + u64::from(request), request));
    session.request(13_000, 4, 1, 10);
    session.check("serve_cold_adapter.txt");
}

/// One adapter suddenly becomes popular. Its runner has no free capacity, so the
/// adapter gets replicas in other zones, where the least used version is evicted.
#[test]
fn a_popular_adapter_gains_replicas_in_other_zones() {
    let mut session = Session::new();
    for version in 20..26 {
        let request = version as u8;
        session.request(u64::from(version) * 1_000, request, 2, version);
        session.complete_orders(u64::from(version) * 1_000 + 250);
        session.finish(u64::from(version) * 1_000 + 900, request);
    }
    (0..3).for_each(|raw| session.report(26_000, raw));
    for request in 1..=6 {
        session.request(27_000 + u64::from(request), request, 1, 10);
    }
    session.complete_orders(27_250);
    (1..=6).for_each(|request| session.finish(31_000 + u64::from(request), request));
    (0..3).for_each(|raw| session.report(32_000, raw));
    session.check("serve_hot_shift.txt");
}

/// An engine restarts empty while two requests run. They must resume elsewhere
/// after the tokens already delivered, and the used version must be loaded again
/// before a request waits for it.
#[test]
fn an_engine_restart_resumes_its_requests_elsewhere() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    let runner = session.runner_of(1);
    session.request(10, 2, 1, 10);
    session.answer(250, runner, Outcome::Done);
    session.restart(1_000, runner);
    session.complete_orders(1_250);
    session.report(1_400, runner);
    session.finish(3_000, 1);
    session.finish(3_100, 2);
    session.check("serve_engine_restart.txt");
}

/// A load fails twice. The requests that wait for it must be given up immediately,
/// and their entry retries them elsewhere, each time excluding the runner that
/// failed.
#[test]
fn a_failed_load_moves_its_requests_to_another_upstream() {
    let mut session = Session::new();
    session.request(0, 1, 1, 10);
    session.request(10, 2, 1, 10);
    for millis in [250, 500] {
        let runner = session.runner_of(1);
        session.answer(millis, runner, Outcome::Failed);
    }
    session.complete_orders(900);
    session.finish(2_000, 1);
    session.finish(2_010, 2);
    session.check("serve_failed_load.txt");
}

/// The runner is at capacity and its queue is full. The newest request of the
/// longest lane must be evicted for a small organisation's request, and a request
/// that cannot meet its deadline must be refused while its caller can still retry
/// elsewhere.
#[test]
fn a_full_queue_evicts_from_the_longest_lane() {
    let mut session = Session::new();
    let limits = queue::Limits { max_waiting: 3, ..queue::Limits::default() };
    session.runners.iter_mut().for_each(|runner| runner.queue = Queue::new(limits));
    session.runners.truncate(1);
    (1..3).for_each(|raw| session.router.set_reachable(UpstreamId::from_raw(raw), false));
    for request in 1..=5 {
        session.request(u64::from(request), request, 1, 10);
        session.complete_orders(u64::from(request));
    }
    session.request(20, 6, 2, 20);
    session.complete_orders(270);
    session.finish(4_000, 1);
    session.finish(9_980, 2);
    session.check("serve_full_queue.txt");
}
