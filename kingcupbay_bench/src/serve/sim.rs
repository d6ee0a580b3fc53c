//! One run: arrivals, entries, runners and the weight store in simulated time.

use std::collections::BTreeMap;

use kingcupbay_core::{
    id::{Id, Name, UpstreamId, VersionId},
    queue::{Entry, GivenUp},
    route::{Progress, Report, Retry, RetryBudget, Router, WorkKind},
    slot::{Action, Order, Outcome},
    time::{Instant, Span},
    wire::error::Code,
};

use super::{
    desk::{Desk, Tuning},
    measure::Measures,
    model::{Entrance, Event, Request, Runner, config, index_of, name, request_id},
    random::Random,
    store::{FULL_SPEED, Store},
    trace::{Arrival, PATIENCE, Setting},
};

/// Entries, over which arrivals are spread at random.
const ENTRIES: usize = 3;

/// Time of an unload.
const UNLOAD: Span = Span::from_millis(10);

/// Time in which a restarting engine takes no orders.
const RESTART: Span = Span::from_secs(3);

/// Parts of the run at which one engine restarts empty.
const RESTARTS: [f64; 3] = [0.35, 0.6, 0.85];

/// Part of the loads that fail.
const FAILING: f64 = 0.02;

/// Time between two reports of a runner, and the time they take.
const REPORT: Span = Span::from_millis(500);
const REPORT_LAG: Span = Span::from_millis(700);

/// Time of one prompt token and of one generated token.
const PREFILL: Span = Span::from_micros(200);
const DECODE: Span = Span::from_millis(40);

/// Policy of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Policy {
    /// The core's router, queue and slots.
    Core(Tuning),
    /// Random routing, first come first served, least recently used.
    Baseline,
}

/// A run in progress.
pub(crate) struct Sim<'a> {
    setting: &'a Setting,
    arrivals: &'a [Arrival],
    now: Instant,
    calendar: BTreeMap<(Instant, u64), Event>,
    events: u64,
    base: Name,
    random: Random,
    entrances: Option<Vec<Entrance>>,
    runners: Vec<Runner>,
    requests: Vec<Request>,
    store: Store,
    measures: Measures,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(
        setting: &'a Setting,
        arrivals: &'a [Arrival],
        seed: u64,
        policy: Policy,
    ) -> Sim<'a> {
        let desk = || match &policy {
            Policy::Core(tuning) => Desk::core(tuning, setting.slots),
            Policy::Baseline => Desk::lru(setting.slots),
        };
        let runner = |_| Runner {
            desk: desk(),
            incarnation: 0,
            up: true,
            loaded: Vec::new(),
            loading: 0,
            running: BTreeMap::new(),
            seq: 0,
            counted: Instant::default(),
            due: Instant::default(),
        };
        let entrance = |seed: usize, tuning: &Tuning| {
            let mut router = Router::new(tuning.route, seed as u64);
            router.on_config(&config(setting));
            Entrance { router, retries: RetryBudget::default() }
        };
        let entrances = match &policy {
            Policy::Core(tuning) => Some((0..ENTRIES).map(|seed| entrance(seed, tuning)).collect()),
            Policy::Baseline => None,
        };
        Sim {
            setting,
            arrivals,
            now: Instant::default(),
            calendar: BTreeMap::new(),
            events: 0,
            base: name("base"),
            random: Random::new(seed, 1_000),
            entrances,
            runners: (0..setting.runners).map(runner).collect(),
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            store: Store::new(setting.loads),
            measures: Measures::default(),
        }
    }

    /// Runs to the end, until the last request is answered.
    pub(crate) fn run(mut self) -> Measures {
        for part in RESTARTS {
            let upstream = self.random.below(self.runners.len());
            self.at(self.setting.part(part), Event::Restart(upstream));
        }
        for upstream in 0..self.runners.len() {
            self.at(self.now + REPORT, Event::Tick(upstream));
        }
        self.arrive_next(0);
        let end = self.setting.end() + PATIENCE + PATIENCE;
        while let Some(((now, _), event)) = self.calendar.pop_first() {
            if now > end {
                break;
            }
            self.now = now;
            self.on(event);
        }
        self.measures
    }

    fn at(&mut self, when: Instant, event: Event) {
        self.events += 1;
        self.calendar.insert((when, self.events), event);
    }

    fn arrive_next(&mut self, index: usize) {
        if let Some(arrival) = self.arrivals.get(index) {
            self.at(arrival.at, Event::Arrive(index));
        }
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                self.arrive_next(index + 1);
                self.on_arrive(index);
            }
            Event::Tick(upstream) => self.on_tick(upstream),
            Event::Report { upstream, report } => self.on_report(upstream, &report),
            Event::Loaded { upstream, incarnation, version, order, ok } => {
                self.on_loaded(upstream, incarnation, version, order, ok);
            }
            Event::Unloaded { upstream, incarnation, version, order } => {
                if self.runners[upstream].incarnation == incarnation {
                    self.on_unloaded(upstream, version, order);
                }
            }
            Event::Finish { upstream, incarnation, request } => {
                if self.runners[upstream].incarnation == incarnation {
                    self.on_finish(upstream, request);
                }
            }
            Event::Restart(upstream) => self.on_restart(upstream),
            Event::Up(upstream) => {
                self.runners[upstream].up = true;
                self.pump(upstream);
            }
            Event::Due(upstream) => self.pump(upstream),
        }
    }

    fn on_arrive(&mut self, index: usize) {
        self.measures.requests += 1;
        self.requests[index].entrance = self.random.below(ENTRIES);
        if let Some(entrances) = &mut self.entrances {
            entrances[self.requests[index].entrance].retries.record_first_attempt();
        }
        self.route(index);
    }

    /// Sends a request to an upstream, or refuses it when there is none.
    fn route(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let request = &mut self.requests[index];
        let chosen = match &mut self.entrances {
            Some(entrances) => {
                let router = &mut entrances[request.entrance].router;
                let chosen = router.choose(self.now, arrival.version, &self.base, &request.tried);
                request.guard = chosen.and_then(|upstream| router.begin(upstream));
                chosen
            }
            None => loop {
                let upstream = UpstreamId::from_raw(self.random.below(self.runners.len()) as u32);
                if !request.tried.contains(&upstream) {
                    break Some(upstream);
                }
            },
        };
        let Some(upstream) = chosen else { return self.refuse(index) };
        let upstream = upstream.raw() as usize;
        request.upstream = upstream;
        let cold = !self.runners[upstream].desk.is_ready(arrival.version);
        if cold && request.stalled.is_none() && request.done == 0 {
            request.stalled = Some(self.now);
            self.measures.stalls += 1;
        }
        // A caller who has the beginning of an answer waits anew for the rest.
        let waits_since = if request.done == 0 { arrival.at } else { self.now };
        let entry = Entry {
            request: request_id(index),
            organisation: arrival.organisation,
            version: arrival.version,
            tokens: arrival.prompt + arrival.permitted,
            deadline: waits_since + PATIENCE,
            enqueued: self.now,
        };
        self.count(upstream);
        if let Some(given_up) = self.runners[upstream].desk.push(self.now, entry) {
            self.on_given_up(upstream, given_up);
        }
        self.pump(upstream);
    }

    /// Carries out what is due at a runner.
    fn pump(&mut self, upstream: usize) {
        self.count(upstream);
        let runner = &mut self.runners[upstream];
        if !runner.up {
            return;
        }
        let budget = match self.setting.each {
            Some(each) => each.saturating_sub(runner.loading),
            None => FULL_SPEED.saturating_sub(self.store.in_flight),
        };
        let free = self.setting.places - runner.running.len();
        let step = runner.desk.step(self.now, budget, free);
        for given_up in step.given_up {
            self.on_given_up(upstream, given_up);
        }
        for order in step.orders {
            self.order(upstream, order);
        }
        for entry in step.started {
            self.start(upstream, entry);
        }
        let runner = &mut self.runners[upstream];
        if let Some(due) = runner.desk.next_due(self.now)
            && runner.due <= self.now
        {
            runner.due = due;
            self.at(due, Event::Due(upstream));
        }
    }

    fn order(&mut self, upstream: usize, action: Action) {
        let incarnation = self.runners[upstream].incarnation;
        match action {
            Action::Load { version, order } => {
                self.measures.loads += 1;
                self.runners[upstream].loading += 1;
                let ok = self.random.unit() >= FAILING;
                let end = self.store.start(self.now);
                self.at(end, Event::Loaded { upstream, incarnation, version, order, ok });
            }
            Action::Unload { version, order } => {
                let used = self.runners[upstream].running.values().any(|&one| one == version);
                self.measures.pinned_eviction += u64::from(used);
                let when = self.now + UNLOAD;
                self.at(when, Event::Unloaded { upstream, incarnation, version, order });
            }
            _ => {}
        }
    }

    fn start(&mut self, upstream: usize, entry: Entry) {
        let index = index_of(entry.request);
        let arrival = self.arrivals[index];
        let runner = &mut self.runners[upstream];
        let right = entry.version == arrival.version && runner.loaded.contains(&arrival.version);
        self.measures.wrong_version += u64::from(!right);
        runner.running.insert(index, arrival.version);
        let request = &mut self.requests[index];
        if let Some(since) = request.stalled.take() {
            self.measures.stall_waits.push(self.now.since(since));
        }
        let prefill = Span::from_micros(PREFILL.as_micros() * (arrival.prompt + request.done));
        let first = self.now + prefill;
        if request.done == 0 {
            Self::note_first(&mut self.measures, self.setting, &arrival, first.since(arrival.at));
        }
        request.generating = Some(first);
        let left = arrival.output - request.done;
        let end = first + Span::from_micros(DECODE.as_micros() * left);
        let incarnation = runner.incarnation;
        self.at(end, Event::Finish { upstream, incarnation, request: index });
    }

    fn note_first(measures: &mut Measures, setting: &Setting, arrival: &Arrival, span: Span) {
        if arrival.at >= setting.flood() {
            measures.first_tokens.entry(arrival.organisation).or_default().push(span);
        }
    }

    fn on_finish(&mut self, upstream: usize, index: usize) {
        self.count(upstream);
        let arrival = self.arrivals[index];
        let runner = &mut self.runners[upstream];
        let request = &mut self.requests[index];
        let own = runner.running.remove(&index) == Some(arrival.version);
        self.measures.crossed += u64::from(!own || request.answered);
        request.answered = true;
        request.guard = None;
        runner.desk.finish(request_id(index), arrival.prompt + arrival.output);
        self.pump(upstream);
    }

    fn on_loaded(
        &mut self,
        upstream: usize,
        incarnation: u64,
        version: VersionId,
        order: Order,
        ok: bool,
    ) {
        self.store.end();
        let runner = &mut self.runners[upstream];
        if runner.incarnation == incarnation {
            runner.loading -= 1;
            if ok {
                runner.loaded.push(version);
            }
            let outcome = if ok { Outcome::Done } else { Outcome::Failed };
            for given_up in runner.desk.on_load(self.now, order, outcome) {
                self.on_given_up(upstream, given_up);
            }
        }
        self.pump(upstream);
        // The budget has room again: whoever waits may use it.
        let count = self.runners.len();
        for other in (1..count).map(|step| (upstream + step) % count) {
            if self.runners[other].desk.waiting() > 0 {
                self.pump(other);
            }
        }
    }

    fn on_unloaded(&mut self, upstream: usize, version: VersionId, order: Order) {
        let runner = &mut self.runners[upstream];
        runner.loaded.retain(|&other| other != version);
        runner.desk.on_unload(self.now, order);
        self.pump(upstream);
    }

    fn on_restart(&mut self, upstream: usize) {
        self.count(upstream);
        let runner = &mut self.runners[upstream];
        runner.incarnation += 1;
        runner.up = false;
        runner.loaded.clear();
        runner.loading = 0;
        runner.running.clear();
        let lost = runner.desk.restart(self.now, runner.incarnation);
        self.at(self.now + RESTART, Event::Up(upstream));
        for request in lost {
            self.on_lost(upstream, index_of(request));
        }
    }

    /// A running request lost its engine: another resumes after the tokens
    /// that were delivered.
    fn on_lost(&mut self, upstream: usize, index: usize) {
        let output = self.arrivals[index].output;
        let request = &mut self.requests[index];
        if let Some(since) = request.generating.take() {
            let tokens = self.now.since(since).as_micros() / DECODE.as_micros();
            request.done = (request.done + tokens).min(output - 1);
        }
        let progress = match request.done {
            0 => Progress::Sent,
            done => Progress::Streaming { offset: done as u32 },
        };
        self.retry(upstream, index, progress);
    }

    fn on_given_up(&mut self, upstream: usize, given_up: GivenUp) {
        let index = index_of(given_up.entry.request);
        if given_up.code != Code::LoadFailed {
            return self.refuse(index);
        }
        if let Some(entrances) = &mut self.entrances {
            let router = &mut entrances[self.requests[index].entrance].router;
            router.on_load_failed(UpstreamId::from_raw(upstream as u32), given_up.entry.version);
        }
        self.retry(upstream, index, Progress::NotRun);
    }

    fn retry(&mut self, upstream: usize, index: usize, progress: Progress) {
        let request = &mut self.requests[index];
        request.guard = None;
        request.tried = vec![UpstreamId::from_raw(upstream as u32)];
        let verdict = match &mut self.entrances {
            Some(entrances) => {
                entrances[request.entrance].retries.retry(WorkKind::Generate, progress)
            }
            None => Retry::Again,
        };
        match verdict {
            Retry::Again | Retry::Resume { .. } => self.route(index),
            Retry::Never | Retry::Spent => self.refuse(index),
        }
    }

    fn refuse(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let request = &mut self.requests[index];
        self.measures.refusals += 1;
        self.measures.refusal_waits.push(self.now.since(arrival.at));
        self.measures.crossed += u64::from(request.answered);
        request.answered = true;
        request.guard = None;
        if let Some(since) = request.stalled.take() {
            self.measures.stall_waits.push(self.now.since(since));
        }
        if request.done == 0 {
            Self::note_first(&mut self.measures, self.setting, &arrival, PATIENCE);
        }
    }

    fn on_tick(&mut self, upstream: usize) {
        let runner = &mut self.runners[upstream];
        runner.seq += 1;
        if let Some(report) =
            runner.desk.report(runner.running.len(), self.setting.places, runner.seq)
        {
            self.at(self.now + REPORT_LAG, Event::Report { upstream, report });
        }
        self.at(self.now + REPORT, Event::Tick(upstream));
        self.pump(upstream);
    }

    fn on_report(&mut self, upstream: usize, report: &Report) {
        let upstream = UpstreamId::from_raw(upstream as u32);
        for entrance in self.entrances.iter_mut().flatten() {
            entrance.router.on_report(upstream, report);
        }
    }

    /// Counts places up to now, before their use changes.
    fn count(&mut self, upstream: usize) {
        let runner = &mut self.runners[upstream];
        let span = self.now.since(runner.counted).as_micros();
        runner.counted = self.now;
        let running = runner.running.len();
        if running > 0 || runner.desk.waiting() > 0 {
            self.measures.used += span * running as u64;
            self.measures.offered += span * self.setting.places as u64;
        }
    }
}
