//! Simulates one run: arrivals, entries, runners and the weight store.

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
    measure::Measures,
    model::{EntryState, Event, Request, Runner, config, index_of, name, request_id},
    random::Random,
    scheduler::{Scheduler, Tuning},
    store::{FULL_SPEED_LOADS, Store},
    trace::{Arrival, MAX_FIRST_TOKEN_WAIT, Setting},
};

/// Number of entries; each arrival is sent to a random one.
const ENTRIES: usize = 3;

/// Time that an unload takes.
const UNLOAD_TIME: Span = Span::from_millis(10);

/// Time during which a restarting engine accepts no orders.
const RESTART_TIME: Span = Span::from_secs(3);

/// Fractions of the run after which one engine restarts empty.
const RESTART_FRACTIONS: [f64; 3] = [0.35, 0.6, 0.85];

/// Fraction of the loads that fail.
const FAILING_FRACTION: f64 = 0.02;

/// Interval between two load reports of a runner, and their delay.
const REPORT_INTERVAL: Span = Span::from_millis(500);
const REPORT_DELAY: Span = Span::from_millis(700);

/// Time per prompt token and per generated token.
const PREFILL_PER_TOKEN: Span = Span::from_micros(200);
const DECODE_PER_TOKEN: Span = Span::from_millis(40);

/// Policy of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Policy {
    /// The core's router, queue and slots.
    Core(Tuning),
    /// Random routing, first come first served, eviction of the least recently used.
    Baseline,
}

/// A run in progress.
pub(crate) struct Sim<'a> {
    setting: &'a Setting,
    arrivals: &'a [Arrival],
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    base: Name,
    random: Random,
    entries: Option<Vec<EntryState>>,
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
        let scheduler = || match &policy {
            Policy::Core(tuning) => Scheduler::core(tuning, setting.slots),
            Policy::Baseline => Scheduler::lru(setting.slots),
        };
        let runner = |_| Runner {
            scheduler: scheduler(),
            incarnation: 0,
            up: true,
            loaded: Vec::new(),
            loading: 0,
            running: BTreeMap::new(),
            seq: 0,
            counted: Instant::default(),
            due: Instant::default(),
        };
        let entry = |seed: usize, tuning: &Tuning| {
            let mut router = Router::new(tuning.route, seed as u64);
            router.on_config(&config(setting));
            EntryState { router, retries: RetryBudget::default() }
        };
        let entries = match &policy {
            Policy::Core(tuning) => Some((0..ENTRIES).map(|seed| entry(seed, tuning)).collect()),
            Policy::Baseline => None,
        };
        Sim {
            setting,
            arrivals,
            now: Instant::default(),
            events: BTreeMap::new(),
            sequence: 0,
            base: name("base"),
            random: Random::new(seed, 1_000),
            entries,
            runners: (0..setting.runners).map(runner).collect(),
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            store: Store::new(setting.load_rate),
            measures: Measures::default(),
        }
    }

    /// Runs all arrivals, and on for twice the longest wait so that the last requests
    /// are answered.
    pub(crate) fn run(mut self) -> Measures {
        for fraction in RESTART_FRACTIONS {
            let upstream = self.random.below(self.runners.len());
            self.schedule(self.setting.instant_at(fraction), Event::Restart(upstream));
        }
        for upstream in 0..self.runners.len() {
            self.schedule(self.now + REPORT_INTERVAL, Event::Tick(upstream));
        }
        self.arrive_next(0);
        let end = self.setting.end() + MAX_FIRST_TOKEN_WAIT + MAX_FIRST_TOKEN_WAIT;
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.measures
    }

    fn schedule(&mut self, when: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((when, self.sequence), event);
    }

    fn arrive_next(&mut self, index: usize) {
        if let Some(arrival) = self.arrivals.get(index) {
            self.schedule(arrival.at, Event::Arrive(index));
        }
    }

    fn handle(&mut self, event: Event) {
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
                self.run_due(upstream);
            }
            Event::Due(upstream) => self.run_due(upstream),
        }
    }

    fn on_arrive(&mut self, index: usize) {
        self.measures.requests += 1;
        self.requests[index].entry = self.random.below(ENTRIES);
        if let Some(entries) = &mut self.entries {
            entries[self.requests[index].entry].retries.record_first_attempt();
        }
        self.route(index);
    }

    /// Sends a request to an upstream, or refuses it if there is none.
    fn route(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let request = &mut self.requests[index];
        let chosen = match &mut self.entries {
            Some(entries) => {
                let router = &mut entries[request.entry].router;
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
        let cold = !self.runners[upstream].scheduler.is_ready(arrival.version);
        if cold && request.stalled.is_none() && request.done == 0 {
            request.stalled = Some(self.now);
            self.measures.stalls += 1;
        }
        // Once a part of the answer is delivered, the wait for the rest starts anew.
        let waits_since = if request.done == 0 { arrival.at } else { self.now };
        let entry = Entry {
            request: request_id(index),
            organisation: arrival.organisation,
            version: arrival.version,
            tokens: arrival.prompt + arrival.permitted,
            deadline: waits_since + MAX_FIRST_TOKEN_WAIT,
            enqueued: self.now,
        };
        self.count_usage(upstream);
        if let Some(given_up) = self.runners[upstream].scheduler.push(self.now, entry) {
            self.on_given_up(upstream, given_up);
        }
        self.run_due(upstream);
    }

    /// Executes the decisions that are due at a runner.
    fn run_due(&mut self, upstream: usize) {
        self.count_usage(upstream);
        let runner = &mut self.runners[upstream];
        if !runner.up {
            return;
        }
        let budget = match self.setting.runner_loads {
            Some(runner_loads) => runner_loads.saturating_sub(runner.loading),
            None => FULL_SPEED_LOADS.saturating_sub(self.store.in_flight),
        };
        let free = self.setting.batch_size - runner.running.len();
        let step = runner.scheduler.step(self.now, budget, free);
        for given_up in step.given_up {
            self.on_given_up(upstream, given_up);
        }
        for order in step.orders {
            self.execute_order(upstream, order);
        }
        for entry in step.started {
            self.start(upstream, entry);
        }
        let runner = &mut self.runners[upstream];
        if let Some(due) = runner.scheduler.next_due(self.now)
            && runner.due <= self.now
        {
            runner.due = due;
            self.schedule(due, Event::Due(upstream));
        }
    }

    fn execute_order(&mut self, upstream: usize, action: Action) {
        let incarnation = self.runners[upstream].incarnation;
        match action {
            Action::Load { version, order } => {
                self.measures.loads += 1;
                self.runners[upstream].loading += 1;
                let ok = self.random.unit() >= FAILING_FRACTION;
                let end = self.store.start(self.now);
                self.schedule(end, Event::Loaded { upstream, incarnation, version, order, ok });
            }
            Action::Unload { version, order } => {
                let used = self.runners[upstream].running.values().any(|&other| other == version);
                self.measures.pinned_eviction += u64::from(used);
                let when = self.now + UNLOAD_TIME;
                self.schedule(when, Event::Unloaded { upstream, incarnation, version, order });
            }
            _ => {}
        }
    }

    fn start(&mut self, upstream: usize, entry: Entry) {
        let index = index_of(entry.request);
        let arrival = self.arrivals[index];
        let runner = &mut self.runners[upstream];
        let correct = entry.version == arrival.version && runner.loaded.contains(&arrival.version);
        self.measures.wrong_version += u64::from(!correct);
        runner.running.insert(index, arrival.version);
        let request = &mut self.requests[index];
        if let Some(since) = request.stalled.take() {
            self.measures.stall_waits.push(self.now.since(since));
        }
        let prefill =
            Span::from_micros(PREFILL_PER_TOKEN.as_micros() * (arrival.prompt + request.done));
        let first = self.now + prefill;
        if request.done == 0 {
            Self::record_first_token(
                &mut self.measures,
                self.setting,
                &arrival,
                first.since(arrival.at),
            );
        }
        request.generating = Some(first);
        let left = arrival.output - request.done;
        let end = first + Span::from_micros(DECODE_PER_TOKEN.as_micros() * left);
        let incarnation = runner.incarnation;
        self.schedule(end, Event::Finish { upstream, incarnation, request: index });
    }

    fn record_first_token(
        measures: &mut Measures,
        setting: &Setting,
        arrival: &Arrival,
        span: Span,
    ) {
        if arrival.at >= setting.flood_start() {
            measures.first_tokens.entry(arrival.organisation).or_default().push(span);
        }
    }

    fn on_finish(&mut self, upstream: usize, index: usize) {
        self.count_usage(upstream);
        let arrival = self.arrivals[index];
        let runner = &mut self.runners[upstream];
        let request = &mut self.requests[index];
        let own = runner.running.remove(&index) == Some(arrival.version);
        self.measures.wrong_answers += u64::from(!own || request.answered);
        request.answered = true;
        request.guard = None;
        runner.scheduler.finish(request_id(index), arrival.prompt + arrival.output);
        self.run_due(upstream);
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
            for given_up in runner.scheduler.on_load(self.now, order, outcome) {
                self.on_given_up(upstream, given_up);
            }
        }
        self.run_due(upstream);
        // The budget allows a further load, which another runner may need.
        let count = self.runners.len();
        for other in (1..count).map(|step| (upstream + step) % count) {
            if self.runners[other].scheduler.waiting() > 0 {
                self.run_due(other);
            }
        }
    }

    fn on_unloaded(&mut self, upstream: usize, version: VersionId, order: Order) {
        let runner = &mut self.runners[upstream];
        runner.loaded.retain(|&other| other != version);
        runner.scheduler.on_unload(self.now, order);
        self.run_due(upstream);
    }

    fn on_restart(&mut self, upstream: usize) {
        self.count_usage(upstream);
        let runner = &mut self.runners[upstream];
        runner.incarnation += 1;
        runner.up = false;
        runner.loaded.clear();
        runner.loading = 0;
        runner.running.clear();
        let lost = runner.scheduler.restart(self.now, runner.incarnation);
        self.schedule(self.now + RESTART_TIME, Event::Up(upstream));
        for request in lost {
            self.on_lost(upstream, index_of(request));
        }
    }

    /// Handles the loss of a running request's engine: another engine resumes after
    /// the tokens that were delivered.
    fn on_lost(&mut self, upstream: usize, index: usize) {
        let output = self.arrivals[index].output;
        let request = &mut self.requests[index];
        if let Some(since) = request.generating.take() {
            let tokens = self.now.since(since).as_micros() / DECODE_PER_TOKEN.as_micros();
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
        if let Some(entries) = &mut self.entries {
            let router = &mut entries[self.requests[index].entry].router;
            router.on_load_failed(UpstreamId::from_raw(upstream as u32), given_up.entry.version);
        }
        self.retry(upstream, index, Progress::NotRun);
    }

    fn retry(&mut self, upstream: usize, index: usize, progress: Progress) {
        let request = &mut self.requests[index];
        request.guard = None;
        request.tried = vec![UpstreamId::from_raw(upstream as u32)];
        let verdict = match &mut self.entries {
            Some(entries) => entries[request.entry].retries.retry(WorkKind::Generate, progress),
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
        self.measures.wrong_answers += u64::from(request.answered);
        request.answered = true;
        request.guard = None;
        if let Some(since) = request.stalled.take() {
            self.measures.stall_waits.push(self.now.since(since));
        }
        if request.done == 0 {
            Self::record_first_token(
                &mut self.measures,
                self.setting,
                &arrival,
                MAX_FIRST_TOKEN_WAIT,
            );
        }
    }

    fn on_tick(&mut self, upstream: usize) {
        let runner = &mut self.runners[upstream];
        runner.seq += 1;
        if let Some(report) =
            runner.scheduler.report(runner.running.len(), self.setting.batch_size, runner.seq)
        {
            self.schedule(self.now + REPORT_DELAY, Event::Report { upstream, report });
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Tick(upstream));
        self.run_due(upstream);
    }

    fn on_report(&mut self, upstream: usize, report: &Report) {
        let upstream = UpstreamId::from_raw(upstream as u32);
        for entry in self.entries.iter_mut().flatten() {
            entry.router.on_report(upstream, report);
        }
    }

    /// Counts the use of the batch up to now; called before the use changes.
    fn count_usage(&mut self, upstream: usize) {
        let runner = &mut self.runners[upstream];
        let span = self.now.since(runner.counted).as_micros();
        runner.counted = self.now;
        let running = runner.running.len();
        if running > 0 || runner.scheduler.waiting() > 0 {
            self.measures.busy_micros += span * running as u64;
            self.measures.offered_micros += span * self.setting.batch_size as u64;
        }
    }
}
