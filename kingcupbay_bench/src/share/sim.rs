//! One run: callers, one policy, one scenario.

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

/// The entry that is killed: the one with most callers of two organisations.
pub(crate) const KILLED: usize = 0;
/// How long until the successor of a killed entry is in force.
const RESTART: Span = Span::from_secs(3);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Counts are kept from here to there.
    pub(crate) counted: (u64, u64),
    /// The table is down from here to there.
    pub(crate) outage: Option<(u64, u64)>,
    /// An entry dies here.
    pub(crate) kill: Option<u64>,
}

/// How the fleet divides rates.
#[derive(Debug)]
pub(crate) enum Policy {
    Shared(Shared),
    Split(Split),
    Chunks(Chunks),
}

/// Events of the policies.
#[derive(Debug)]
pub(crate) enum Event {
    Arrive(usize),
    End(u64),
    Kill,
    /// The successor is in force.
    Replace,
    Tick(usize),
    Message(Envelope),
    /// A waiting request is looked at again.
    Wake(u64),
    /// The table answers an entry about an organisation.
    Drawn(usize, usize),
}

/// What is decided about a request at once.
#[derive(Debug)]
pub(crate) enum Outcome {
    Granted(Ticket),
    Refused(&'static str),
    Waiting,
}

/// What settles a request.
#[derive(Debug)]
pub(crate) enum Ticket {
    Shared(Holder, Reservation),
    /// When it was admitted, and the key.
    Bucket(Instant, ReservationId),
    Drawn,
}

#[derive(Debug)]
struct Running {
    request: Request,
    ticket: Ticket,
    exact: Option<ReservationId>,
}

/// The surroundings of a policy.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) score: Score,
    pub(crate) table_up: bool,
    /// Entries that the balancer gives work to.
    pub(crate) live: Vec<bool>,
    /// Requests without a decision, and when they arrived.
    pub(crate) waiting: BTreeMap<u64, (Instant, Request)>,
    running: BTreeMap<u64, Running>,
    random: Random,
    requests: u64,
}

fn at(secs: u64) -> Instant {
    Instant::default() + Span::from_secs(secs)
}

/// Runs `policy` through `scenario`.
pub(crate) fn run(scenario: Scenario, burst: u64, seed: u64, mut policy: Policy) -> Score {
    let mut world = World {
        now: Instant::default(),
        queue: Queue::new(),
        score: Score::new(burst, at(scenario.counted.0), at(scenario.counted.1)),
        table_up: true,
        live: vec![true; ENTRIES],
        waiting: BTreeMap::new(),
        running: BTreeMap::new(),
        random: Random::new(seed),
        requests: 0,
    };
    for organisation in 0..ORGANISATIONS {
        world.queue.push(at(1), Event::Arrive(organisation));
    }
    if let Some(kill) = scenario.kill {
        world.queue.push(at(kill), Event::Kill);
        world.queue.push(at(kill) + RESTART, Event::Replace);
    }
    policy.start(&mut world);
    while let Some((now, event)) = world.queue.pop() {
        if now >= at(scenario.counted.1) {
            break;
        }
        world.now = now;
        world.table_up =
            scenario.outage.is_none_or(|(from, to)| !(at(from)..at(to)).contains(&now));
        world.step(event, &mut policy);
    }
    world.score
}

impl World {
    pub(crate) fn after(&mut self, span: Span, event: Event) {
        self.queue.push(self.now + span, event);
    }

    fn step(&mut self, event: Event, policy: &mut Policy) {
        match event {
            Event::Arrive(organisation) => {
                let pause = load::pause(&mut self.random);
                self.after(pause, Event::Arrive(organisation));
                let request = load::request(&mut self.random, organisation, &self.live);
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
                self.live[KILLED] = false;
                policy.kill(self);
                // What waits at a dead entry is not answered by it.
                self.waiting.retain(|_, (_, request)| request.entry != KILLED);
            }
            Event::Replace => {
                self.live[KILLED] = true;
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
                self.after(request.length, Event::End(id));
            }
        }
        self.waiting.remove(&id);
    }

    /// Looks again at what waits at an entry for an organisation.
    pub(crate) fn wake(&mut self, entry: usize, organisation: usize) {
        let of = |request: &Request| request.entry == entry && request.organisation == organisation;
        let waiting = self.waiting.iter().filter(|(_, (_, request))| of(request));
        let ids: Vec<_> = waiting.map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.after(Span::ZERO, Event::Wake(id)));
    }

    /// Whether the scenario's killed entry is the one asked for, and dead.
    pub(crate) fn is_dead(&self, entry: usize) -> bool {
        !self.live[entry]
    }
}

impl Policy {
    fn start(&mut self, world: &mut World) {
        match self {
            Policy::Shared(policy) => policy.start(world),
            Policy::Split(policy) => policy.start(world),
            Policy::Chunks(_) => {}
        }
    }

    fn admit(&mut self, world: &mut World, id: u64, since: Instant, request: &Request) -> Outcome {
        match self {
            Policy::Shared(policy) => policy.admit(world, id, since, request),
            Policy::Split(policy) => policy.admit(world, request),
            Policy::Chunks(policy) => policy.admit(world, since, request),
        }
    }

    fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        match self {
            Policy::Shared(policy) => policy.settle(now, request, ticket),
            Policy::Split(policy) => policy.settle(now, request, ticket),
            Policy::Chunks(policy) => policy.settle(now, request, ticket),
        }
    }

    fn handle(&mut self, world: &mut World, event: Event) {
        match self {
            Policy::Shared(policy) => policy.handle(world, event),
            Policy::Split(policy) => policy.handle(world, event),
            Policy::Chunks(policy) => policy.handle(world, event),
        }
    }

    fn kill(&mut self, world: &mut World) {
        match self {
            Policy::Shared(policy) => policy.kill(world),
            Policy::Split(_) => {}
            Policy::Chunks(policy) => policy.kill(),
        }
    }

    fn replace(&mut self, world: &mut World) {
        match self {
            Policy::Shared(policy) => policy.replace(world),
            Policy::Split(policy) => policy.replace(world.now),
            Policy::Chunks(_) => {}
        }
    }
}
