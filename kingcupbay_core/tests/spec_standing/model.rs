//! Steps that are enabled in a state, and violations of the specification.

use std::{
    collections::BTreeSet,
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
};

use kingcupbay_core::{
    id::{Id, MemberId, Number},
    standing::accept::Step as Next,
    wire::table::TxnAnswer,
};

use crate::{
    shared::Shared,
    state::{BOUND, Daemon, MEMBERS, Pull, Read, State, Write, tick},
};

/// Bounds that keep the state space finite.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    ticks: u64,
    pulls: u8,
    reads: u8,
    crashes: u8,
    /// Answers that are delivered a second time.
    duplicates: u8,
}

impl Bounds {
    const fn new(ticks: u64, pulls: u8, reads: u8, crashes: u8, duplicates: u8) -> Bounds {
        Bounds { ticks, pulls, reads, crashes, duplicates }
    }

    /// Returns `deep` if the environment asks for it, else `shallow`.
    fn choose(shallow: Bounds, deep: Bounds) -> Bounds {
        let asked = std::env::var("SPEC_STANDING").is_ok_and(|value| value == "deep");
        if asked { deep } else { shallow }
    }

    pub(crate) fn no_crash() -> Bounds {
        Bounds::choose(Bounds::new(3, 2, 1, 0, 0), Bounds::new(3, 2, 2, 0, 0))
    }

    pub(crate) fn duplicated() -> Bounds {
        Bounds::choose(Bounds::new(2, 1, 2, 0, 1), Bounds::new(2, 2, 1, 0, 1))
    }

    pub(crate) fn one_crash() -> Bounds {
        Bounds::choose(Bounds::new(2, 1, 2, 1, 0), Bounds::new(2, 2, 2, 1, 0))
    }

    /// The smallest bounds in which a patch is acknowledged during a read.
    pub(crate) fn late_read() -> Bounds {
        Bounds::new(2, 2, 1, 0, 0)
    }

    pub(crate) fn restart_empty() -> Bounds {
        Bounds::new(2, 3, 0, 1, 0)
    }
}

/// A fault added to the daemons on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// Acknowledges once the table has the patch.
    EarlyAck,
    /// Counts a read's age from when its answer arrived.
    ReadFromAnswer,
    /// Restarts as the same member with the first configuration.
    RestartEmpty,
    /// Accepts every configuration that arrives, older ones too.
    AcceptOlder,
}

/// A violation of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A daemon with standing holds a lower number than one that was acknowledged
    /// longer ago than the bound.
    ServedStale { host: usize, holds: Number, acked: Number },
    /// A daemon's number decreased.
    WentBack { host: usize },
    /// A number was acknowledged, but fewer than half of the members of its
    /// configuration, or of the one before it, hold it.
    AckedByMinority(Number),
}

/// One step of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Tick,
    Crash(usize),
    AnswerPull(usize, usize),
    ReceivePull(usize, Arrival),
    AnswerRead(usize),
    ReceiveRead(usize, Arrival),
    SendWrite(usize),
    AnswerWrite(usize),
    ReceiveWrite(usize),
    GiveUpWrite(usize),
    Resolve(usize),
    Acknowledge(usize),
}

/// Which copy of an answer is delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Arrival {
    /// A duplicate is still in transit.
    First,
    Last,
}

impl fmt::Display for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Arrival::First => "of which a duplicate follows",
            Arrival::Last => "of which no duplicate follows",
        })
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => write!(f, "time passes"),
            Step::Crash(i) => write!(f, "daemon {i} restarts"),
            Step::AnswerPull(i, j) => write!(f, "daemon {i} pulls daemon {j}, which answers"),
            Step::ReceivePull(i, arrival) => {
                write!(f, "daemon {i} receives its pull's answer, {arrival}")
            }
            Step::AnswerRead(i) => write!(f, "daemon {i} reads the table, which answers"),
            Step::ReceiveRead(i, arrival) => {
                write!(f, "daemon {i} receives its read's answer, {arrival}")
            }
            Step::SendWrite(i) => write!(f, "daemon {i} writes its patch"),
            Step::AnswerWrite(i) => write!(f, "daemon {i}'s write reaches the table"),
            Step::ReceiveWrite(i) => write!(f, "daemon {i} receives its write's answer"),
            Step::GiveUpWrite(i) => write!(f, "daemon {i} gives up on its write's answer"),
            Step::Resolve(i) => write!(f, "daemon {i} reads whether its patch was taken"),
            Step::Acknowledge(i) => write!(f, "daemon {i} acknowledges its patch"),
        }
    }
}

/// A state with the step that led to it. Equality and hash ignore the step.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) step: Option<Step>,
    pub(crate) depth: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl Node {
    pub(crate) fn start() -> Node {
        Node { state: State::start(), step: None, depth: 0 }
    }

    pub(crate) fn successors(&self, bounds: Bounds, mutation: Mutation) -> Vec<Node> {
        let mut nodes = Vec::new();
        for step in steps(&self.state, bounds, mutation) {
            let mut state = self.state.clone();
            state.apply(step, mutation);
            nodes.push(Node { state, step: Some(step), depth: self.depth + 1 });
        }
        nodes
    }
}

/// Returns the steps that are enabled in `state`.
fn steps(state: &State, bounds: Bounds, mutation: Mutation) -> Vec<Step> {
    let mut steps = Vec::new();
    if state.now < bounds.ticks {
        steps.push(Step::Tick);
    }
    let done = state.crashes == bounds.crashes && state.no_patch_pending();
    for host in 0..MEMBERS {
        let daemon = state.daemon(host);
        // No patch is left to be written or acknowledged. The steps of a
        // daemon that holds all of them can't lead to a violation, neither its
        // own nor a peer's: a peer that receives its answer holds all of them
        // too.
        if done && daemon.standing.number() == state.head() {
            continue;
        }
        if state.crashes < bounds.crashes && host < 2 {
            steps.push(Step::Crash(host));
        }
        if state.pulls < bounds.pulls {
            let others = (0..MEMBERS).filter(|other| *other != host);
            steps.extend(others.map(|other| Step::AnswerPull(host, other)));
        }
        let duplicate = state.duplicates < bounds.duplicates;
        if daemon.pull.is_some() {
            steps.push(Step::ReceivePull(host, Arrival::Last));
            steps.extend(duplicate.then_some(Step::ReceivePull(host, Arrival::First)));
        }
        if state.reads < bounds.reads {
            steps.push(Step::AnswerRead(host));
        }
        if daemon.read.is_some() {
            steps.push(Step::ReceiveRead(host, Arrival::Last));
            steps.extend(duplicate.then_some(Step::ReceiveRead(host, Arrival::First)));
        }
        if let Some(write) = &daemon.write {
            steps.push(if write.committed.is_some() {
                Step::ReceiveWrite(host)
            } else {
                Step::AnswerWrite(host)
            });
            steps.push(Step::GiveUpWrite(host));
        }
        steps.extend(acceptance_step(&daemon, host, mutation));
    }
    steps
}

fn acceptance_step(daemon: &Daemon, host: usize, mutation: Mutation) -> Option<Step> {
    let early = mutation == Mutation::EarlyAck;
    let acceptance = daemon.acceptance.as_ref()?;
    match acceptance.next_step(&daemon.standing) {
        Next::Write => Some(Step::SendWrite(host)),
        Next::Resolve(_) => Some(Step::Resolve(host)),
        Next::Acknowledge(_) => Some(Step::Acknowledge(host)),
        Next::Wait if early && daemon.standing.number() == acceptance.number() => {
            Some(Step::Acknowledge(host))
        }
        Next::Wait | Next::CatchUp | Next::Stale => None,
    }
}

const STEP_ENABLED: &str = "the step is enabled only in such states";

impl State {
    fn update<R>(&mut self, host: usize, change: impl FnOnce(&mut Daemon) -> R) -> R {
        self.daemons[host].update(change)
    }

    fn apply(&mut self, step: Step, mutation: Mutation) {
        match step {
            Step::Tick => self.now += 1,
            Step::Crash(host) => self.crash(host, mutation),
            Step::AnswerPull(host, to) => self.answer_pull(host, to),
            Step::ReceivePull(host, arrival) => {
                self.receive_pull(host, mutation);
                self.arrived(arrival, host, |daemon| daemon.pull = None);
            }
            Step::AnswerRead(host) => {
                self.reads += 1;
                let read = Read { sent: self.now, answer: self.head() };
                self.update(host, |daemon| daemon.read = Some(read));
            }
            Step::ReceiveRead(host, arrival) => {
                self.receive_read(host, mutation);
                self.arrived(arrival, host, |daemon| daemon.read = None);
            }
            Step::SendWrite(host) => self.update(host, |daemon| {
                let against = daemon.standing.number();
                daemon.write = Some(Write { against, committed: None });
                daemon.acceptance.as_mut().expect(STEP_ENABLED).begin_write();
            }),
            Step::AnswerWrite(host) => self.answer_write(host),
            Step::ReceiveWrite(host) => self.receive_write(host),
            Step::GiveUpWrite(host) => self.update(host, |daemon| {
                daemon.acceptance.iter_mut().for_each(|acceptance| acceptance.finish_write(None));
            }),
            Step::Resolve(host) => {
                let number = self.daemon(host).acceptance.expect(STEP_ENABLED).number();
                let found = self.delta(number).map(|delta| delta.id);
                self.update(host, |daemon| {
                    daemon.acceptance.as_mut().expect(STEP_ENABLED).resolve(found);
                });
            }
            Step::Acknowledge(host) => self.acknowledge(host),
        }
    }

    fn arrived(&mut self, arrival: Arrival, host: usize, clear: impl FnOnce(&mut Daemon)) {
        match arrival {
            Arrival::First => self.duplicates += 1,
            Arrival::Last => self.update(host, clear),
        }
    }

    fn crash(&mut self, host: usize, mutation: Mutation) {
        self.crashes += 1;
        let mut daemon = Daemon::new(1);
        if mutation == Mutation::RestartEmpty {
            daemon.standing.advance(State::start().membership(Number(1)));
            daemon.standing.record_join(MemberId::from_raw(host as u32));
            daemon.top = Number(1);
        }
        self.daemons[host] = Shared::new(daemon);
    }

    fn answer_pull(&mut self, host: usize, to: usize) {
        self.pulls += 1;
        let sender = self.daemon(host);
        let number = sender.standing.number();
        if let Some(me) = sender.standing.me() {
            self.update(to, |peer| peer.standing.record_held(me, number));
        }
        let peer = self.daemon(to);
        let pull = Pull {
            sent: self.now,
            member: self.joined_id(to, number).unwrap_or(MemberId::from_raw(to as u32)),
            incarnation: peer.incarnation,
            number: peer.standing.number(),
            confirmations: peer.standing.confirmations(tick(self.now)),
        };
        self.update(host, |daemon| daemon.pull = Some(pull));
    }

    fn receive_pull(&mut self, host: usize, mutation: Mutation) {
        let pull = self.daemon(host).pull.clone().expect(STEP_ENABLED);
        let membership = self.membership(pull.number);
        let expected = u64::from(pull.member.raw() >= MEMBERS as u32);
        self.update(host, |daemon| {
            daemon.advance(membership, pull.number, mutation == Mutation::AcceptOlder);
            if pull.incarnation != expected && mutation != Mutation::RestartEmpty {
                daemon.standing.record_end(pull.member);
            }
            for confirmation in pull.confirmations {
                daemon.standing.record_confirmation(confirmation, tick(pull.sent));
            }
        });
    }

    fn receive_read(&mut self, host: usize, mutation: Mutation) {
        let read = self.daemon(host).read.clone().expect(STEP_ENABLED);
        let head = read.answer;
        let membership = self.membership(head);
        let sent = if mutation == Mutation::ReadFromAnswer { self.now } else { read.sent };
        let me = self.joined_id(host, head);
        self.update(host, |daemon| {
            daemon.advance(membership, head, mutation == Mutation::AcceptOlder);
            daemon.standing.record_head_read(head, tick(sent));
            if daemon.incarnation == 0 || mutation == Mutation::RestartEmpty {
                return;
            }
            match me {
                Some(me) => daemon.standing.record_join(me),
                // The daemon has read the table and now writes its join.
                None if daemon.acceptance.is_none() => daemon.begin(host, head),
                None => {}
            }
        });
    }

    fn answer_write(&mut self, host: usize) {
        let write = self.daemon(host).write.clone().expect(STEP_ENABLED);
        let committed = write.against == self.head();
        if committed {
            self.append(host);
        }
        let write = Write { committed: Some(committed), ..write };
        self.update(host, |daemon| daemon.write = Some(write));
    }

    fn receive_write(&mut self, host: usize) {
        let write = self.daemon(host).write.clone().expect(STEP_ENABLED);
        let membership = self.membership(write.against.next());
        self.update(host, |daemon| {
            daemon.write = None;
            let Some(acceptance) = &mut daemon.acceptance else { return };
            if write.committed == Some(true) {
                acceptance.finish_write(Some(&TxnAnswer::Committed));
                daemon.advance(membership, write.against.next(), false);
            } else {
                acceptance.finish_write(Some(&TxnAnswer::Conflict(vec![])));
            }
        });
    }

    fn acknowledge(&mut self, host: usize) {
        let number = self.daemon(host).acceptance.expect(STEP_ENABLED).number();
        self.acked[number.0 as usize - 2].get_or_insert(self.now as u8);
        self.update(host, |daemon| daemon.acceptance = None);
    }

    /// Returns whether no daemon has a patch to write or to acknowledge, or a join
    /// to write.
    fn no_patch_pending(&self) -> bool {
        let done = |daemon: Rc<Daemon>| {
            let joined = daemon.incarnation == 0 || daemon.standing.me().is_some();
            joined && daemon.acceptance.is_none() && daemon.write.is_none()
        };
        self.daemons.iter().all(|daemon| done(daemon.get()))
    }

    /// Returns the violations in this state.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (index, at) in self.acked.iter().enumerate() {
            let number = Number(2 + index as u64);
            let Some(at) = at.map(u64::from) else { continue };
            if !self.is_actually_stable(number) {
                found.push(Violation::AckedByMinority(number));
            }
            if self.now > at + BOUND {
                found.extend(self.find_stale(number));
            }
        }
        let back = |daemon: Rc<Daemon>| daemon.standing.number() < daemon.top;
        let host = self.daemons.iter().map(|daemon| daemon.get()).position(back);
        found.extend(host.map(|host| Violation::WentBack { host }));
        found
    }

    fn is_actually_stable(&self, number: Number) -> bool {
        let membership = self.membership(number);
        let half = |set: &BTreeSet<MemberId>| {
            set.iter().filter(|id| self.actually_holds(**id, number)).count()
                >= set.len().div_ceil(2)
        };
        half(&membership.members) && half(&membership.before)
    }

    fn find_stale(&self, acked: Number) -> Option<Violation> {
        let stale = |daemon: Rc<Daemon>| {
            daemon.standing.number() < acked && daemon.standing.may_act(tick(self.now))
        };
        let host = self.daemons.iter().map(|daemon| daemon.get()).position(stale)?;
        let holds = self.daemon(host).standing.number();
        Some(Violation::ServedStale { host, holds, acked })
    }
}
