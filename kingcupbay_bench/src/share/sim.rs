//! Simulates one run of callers with a policy in a scenario.

use std::collections::BTreeMap;

use kingcupbay_core::{
    random::Random,
    share::{bucket::ReservationId, message::Envelope, plan::Holder, shares::Reservation},
    time::{Instant, Span},
};

use super::{
    chunk::Chunks,
    load::{self, ENTRIES, ORGANISATIONS, Request},
    queue::Queue,
    score::Score,
    shared::Shared,
    split::Split,
};

/// Entry that is killed: the main entry of two organisations.
pub(crate) const KILLED_ENTRY: usize = 0;
/// Time until the replacement of a killed entry is in service.
const REPLACEMENT_TIME: Span = Span::from_secs(3);

/// Failures during a run; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Start and end of the measurement.
    pub(crate) measured: (u64, u64),
    /// Start and end of an outage of the table.
    pub(crate) outage: Option<(u64, u64)>,
    /// When [`KILLED_ENTRY`] is killed.
    pub(crate) kill: Option<u64>,
}

/// Policy by which the entries share rates.
#[derive(Debug)]
pub(crate) enum Policy {
    Shared(Shared),
    Split(Split),
    Chunks(Chunks),
}

/// Events of a run.
#[derive(Debug)]
pub(crate) enum Event {
    Arrive(usize),
    End(u64),
    Kill,
    /// The replacement of the killed entry is in service.
    Replace,
    Tick(usize),
    Message(Envelope),
    /// A waiting request is decided again.
    Wake(u64),
    /// The table answers an entry's draw for an organisation.
    Drawn(usize, usize),
}

/// Decision about a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    Granted(Ticket),
    Refused(&'static str),
    Waiting,
}

/// Identifies an admitted request when it is settled.
#[derive(Debug)]
pub(crate) enum Ticket {
    Shared(Holder, Reservation),
    /// When the request was admitted, and its reservation.
    Bucket(Instant, ReservationId),
    Drawn,
}

#[derive(Debug)]
struct Running {
    request: Request,
    ticket: Ticket,
    exact: Option<ReservationId>,
}

/// State of a run outside the policy.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) score: Score,
    pub(crate) table_up: bool,
    /// Whether the balancer sends requests to each entry.
    pub(crate) live: Vec<bool>,
    /// Requests without a decision, with their arrival times.
    pub(crate) waiting: BTreeMap<u64, (Instant, Request)>,
    running: BTreeMap<u64, Running>,
    random: Random,
    requests: u64,
}

fn at_second(secs: u64) -> Instant {
    Instant::default() + Span::from_secs(secs)
}

/// Runs `policy` through `scenario`.
pub(crate) fn run(scenario: Scenario, burst: u64, seed: u64, mut policy: Policy) -> Score {
    let mut sim = Simulation {
        now: Instant::default(),
        queue: Queue::new(),
        score: Score::new(burst, at_second(scenario.measured.0), at_second(scenario.measured.1)),
        table_up: true,
        live: vec![true; ENTRIES],
        waiting: BTreeMap::new(),
        running: BTreeMap::new(),
        random: Random::new(seed),
        requests: 0,
    };
    for organisation in 0..ORGANISATIONS {
        sim.queue.push(at_second(1), Event::Arrive(organisation));
    }
    if let Some(kill) = scenario.kill {
        sim.queue.push(at_second(kill), Event::Kill);
        sim.queue.push(at_second(kill) + REPLACEMENT_TIME, Event::Replace);
    }
    policy.start(&mut sim);
    while let Some((now, event)) = sim.queue.pop() {
        if now >= at_second(scenario.measured.1) {
            break;
        }
        sim.now = now;
        sim.table_up = scenario
            .outage
            .is_none_or(|(from, to)| !(at_second(from)..at_second(to)).contains(&now));
        sim.step(event, &mut policy);
    }
    sim.score
}

impl Simulation {
    pub(crate) fn schedule(&mut self, span: Span, event: Event) {
        self.queue.push(self.now + span, event);
    }

    fn step(&mut self, event: Event, policy: &mut Policy) {
        match event {
            Event::Arrive(organisation) => {
                let pause = load::draw_pause(&mut self.random);
                self.schedule(pause, Event::Arrive(organisation));
                let request = load::draw_request(&mut self.random, organisation, &self.live);
                self.requests += 1;
                self.score.arrived(self.now);
                self.waiting.insert(self.requests, (self.now, request));
                self.decide(self.requests, policy);
            }
            Event::End(id) => {
                let running = self.running.remove(&id).expect("ends once");
                self.score.settled(self.now, &running.request, running.exact);
                policy.settle(self.now, &running.request, running.ticket);
            }
            Event::Wake(id) => self.decide(id, policy),
            Event::Kill => {
                self.live[KILLED_ENTRY] = false;
                policy.kill(self);
                // A dead entry does not answer the requests that wait at it.
                self.waiting.retain(|_, (_, request)| request.entry != KILLED_ENTRY);
            }
            Event::Replace => {
                self.live[KILLED_ENTRY] = true;
                policy.replace(self);
            }
            event => {
                policy.handle(self, event);
            }
        }
    }

    fn decide(&mut self, id: u64, policy: &mut Policy) {
        let Some(&(since, request)) = self.waiting.get(&id) else {
            return;
        };
        let outcome = policy.admit(self, id, since, &request);
        match outcome {
            Outcome::Waiting => return,
            Outcome::Refused(cause) => self.score.refused(self.now, &request, cause),
            Outcome::Granted(ticket) => {
                let exact = self.score.admitted(self.now, since, &request);
                self.running.insert(id, Running { request, ticket, exact });
                self.schedule(request.length, Event::End(id));
            }
        }
        self.waiting.remove(&id);
    }

    /// Decides again on the requests that wait at an entry for an organisation.
    pub(crate) fn wake(&mut self, entry: usize, organisation: usize) {
        let of = |request: &Request| request.entry == entry && request.organisation == organisation;
        let waiting = self.waiting.iter().filter(|(_, (_, request))| of(request));
        let ids: Vec<_> = waiting.map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.schedule(Span::ZERO, Event::Wake(id)));
    }

    /// Whether an entry is dead.
    pub(crate) fn is_dead(&self, entry: usize) -> bool {
        !self.live[entry]
    }
}

impl Policy {
    fn start(&mut self, sim: &mut Simulation) {
        match self {
            Policy::Shared(policy) => policy.start(sim),
            Policy::Split(policy) => policy.start(sim),
            Policy::Chunks(_) => {}
        }
    }

    fn admit(
        &mut self,
        sim: &mut Simulation,
        id: u64,
        since: Instant,
        request: &Request,
    ) -> Outcome {
        match self {
            Policy::Shared(policy) => policy.admit(sim, id, since, request),
            Policy::Split(policy) => policy.admit(sim, request),
            Policy::Chunks(policy) => policy.admit(sim, since, request),
        }
    }

    fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        match self {
            Policy::Shared(policy) => policy.settle(now, request, ticket),
            Policy::Split(policy) => policy.settle(now, request, ticket),
            Policy::Chunks(policy) => policy.settle(now, request, ticket),
        }
    }

    fn handle(&mut self, sim: &mut Simulation, event: Event) {
        match self {
            Policy::Shared(policy) => policy.handle(sim, event),
            Policy::Split(policy) => policy.handle(sim, event),
            Policy::Chunks(policy) => policy.handle(sim, event),
        }
    }

    fn kill(&mut self, sim: &mut Simulation) {
        match self {
            Policy::Shared(policy) => policy.kill(sim),
            Policy::Split(_) => {}
            Policy::Chunks(policy) => policy.kill(),
        }
    }

    fn replace(&mut self, sim: &mut Simulation) {
        match self {
            Policy::Shared(policy) => policy.replace(sim),
            Policy::Split(policy) => policy.replace(sim.now),
            Policy::Chunks(_) => {}
        }
    }
}
