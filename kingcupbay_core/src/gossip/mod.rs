//! What daemons tell each other: vouches, numbers, loads, residency.
//!
//! Each daemon pulls a few peers every period. An answer carries the patches
//! the puller lacks ([`message`]), the answerer's own vouch and the ones it
//! knows of others, and the records that changed ([`record`]). Ages of vouches
//! count from when the pull was sent, so nothing compares two clocks.
//!
//! A new number does not wait for the next period: whoever learns one pulls a
//! few peers at once, and whoever is pulled by a daemon that holds more pulls
//! back at once.
//!
//! [`Gossip`] decides; its commands return [`Action`]s for the shell to carry
//! out in order.

pub mod message;
mod news;
pub mod record;

use std::collections::BTreeMap;

use crate::{
    config::model::Config,
    id::{MemberId, Number},
    random::Random,
    standing::{Membership, Standing},
    time::{Instant, Span},
};

use message::{Answer, Pull, Snapshot, pack, unpack};
use news::News;
use record::Records;

/// Settings of [`Gossip`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two rounds of pulls. An eighth of the freshness bound at
    /// most: a vouch needs about six periods to reach half of 340 members.
    pub period: Span,
    /// Peers pulled in a round. One is enough at 340 members, and the answer's
    /// size times the rounds a second is what the byte budget is spent on.
    pub fan_out: usize,
    /// Peers pulled at once when a new number was learnt. Three reach all but
    /// some six in a hundred without waiting for a period.
    pub eager: usize,
    /// Time between two head reads while peers vouch; each daemon's share of
    /// the table's reads. Without their vouches a read goes out every period.
    pub read_period: Span,
    /// Rounds after which a pull asks for records; the list of what is known
    /// already is about as long as all vouches.
    pub record_rounds: u32,
    /// Time after which a pull without an answer is forgotten.
    pub timeout: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Span::from_millis(250),
            fan_out: 1,
            eager: 3,
            read_period: Span::from_secs(2),
            record_rounds: 4,
            timeout: Span::from_secs(1),
        }
    }
}

/// One pull in ten goes to any member, so that one whose vouches ran out is
/// found again; the others go to members that answer.
const ANY: u64 = 10;

/// Names a pull on its way; answers come back with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PullId(u64);

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this pull and report its answer under its id, or its failure.
    SendPull {
        /// The pull's name.
        id: PullId,
        /// Whom to ask; its address stands in the configuration.
        to: MemberId,
        /// What to send.
        pull: Pull,
    },
    /// Ask this member for its whole configuration: too many patches are
    /// missing to carry them.
    FetchSnapshot {
        /// Whom to ask.
        from: MemberId,
    },
    /// Read the configuration's head and what is new since.
    ReadHead,
    /// Take this configuration into use.
    Adopt(Box<Config>),
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    to: MemberId,
    sent: Instant,
}

/// The conversation of one daemon with the others.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    incarnation: u64,
    standing: Standing,
    news: News,
    records: Records,
    random: Random,
    flights: BTreeMap<PullId, Flight>,
    next: PullId,
    rounds: u32,
    pulled: Option<Instant>,
    read: Option<Instant>,
}

impl Gossip {
    /// A daemon that has just started. `incarnation` and `seed` are drawn at
    /// random by the shell.
    pub fn new(settings: Settings, standing: Standing, incarnation: u64, seed: u64) -> Gossip {
        Gossip {
            settings,
            incarnation,
            standing,
            news: News::default(),
            records: Records::default(),
            random: Random::new(seed),
            flights: BTreeMap::new(),
            next: PullId(0),
            rounds: 0,
            pulled: None,
            read: None,
        }
    }

    /// Whether this daemon may act on what it knows.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// What is known of other members, and of this one.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Publishes this daemon's own records.
    pub fn records_mut(&mut self) -> &mut Records {
        &mut self.records
    }

    /// Time passes: pulls and reads that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let timeout = self.settings.timeout;
        self.flights.retain(|_, flight| now.since(flight.sent) <= timeout);
        let mut actions = Vec::new();
        if self.due(self.pulled, self.settings.period, now) {
            self.pulled = Some(now);
            self.rounds += 1;
            let records = self.rounds.is_multiple_of(self.settings.record_rounds);
            self.round(now, self.settings.fan_out, records, &mut actions);
        }
        let vouched = self.standing.vouched_for(now) && !self.standing.behind();
        let hurried = self.settings.period.min(self.settings.read_period);
        let pause = if vouched { self.settings.read_period } else { hurried };
        if self.due(self.read, pause, now) {
            self.read = Some(now);
            actions.push(Action::ReadHead);
        }
        actions
    }

    /// Pulls every member that is not known to hold the number held here, and
    /// asks for nothing but its own vouch. For a daemon that waits for a
    /// majority: it should not take as long as gossip does.
    pub fn settle(&mut self, now: Instant) -> Vec<Action> {
        let membership = self.standing.membership();
        let both = membership.members.union(&membership.before);
        let asked = |id: MemberId| self.flights.values().any(|flight| flight.to == id);
        let lacks = |id: &MemberId| !self.standing.has(*id) && !asked(*id);
        let missing: Vec<_> = both.copied().filter(lacks).collect();
        missing.into_iter().map(|to| self.pull(now, to, true, false)).collect()
    }

    /// A peer pulls this daemon.
    pub fn pulled(&mut self, now: Instant, pull: &Pull) -> (Answer, Vec<Action>) {
        let mut actions = Vec::new();
        if let Some(member) = pull.member {
            self.standing.holding(member, pull.number);
            if pull.number > self.standing.number() {
                actions.push(self.pull(now, member, true, false));
            }
        }
        (self.answer(now, pull), actions)
    }

    /// The answer to a pull. An id that is not on its way any more, because
    /// the answer came already or too late, changes nothing.
    pub fn answered(
        &mut self,
        now: Instant,
        id: PullId,
        answer: Answer,
        config: &Config,
    ) -> Vec<Action> {
        let Some(flight) = self.flights.remove(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        self.meet(flight.to, &answer, config);
        self.take_patches(now, &answer, config, &mut actions);
        if answer.number > self.standing.number() {
            actions.push(match answer.truncated {
                true => Action::FetchSnapshot { from: flight.to },
                false => Action::ReadHead,
            });
        }
        for member in answer.silent {
            self.standing.holding(member, answer.number);
        }
        for member in answer.ended {
            self.standing.ended(member);
        }
        for vouch in unpack(answer.number, &answer.holding, &answer.behind) {
            self.standing.vouched(vouch, flight.sent);
        }
        self.records.merge(answer.records);
        actions
    }

    /// A pull got no answer.
    pub fn failed(&mut self, id: PullId) {
        self.flights.remove(&id);
    }

    /// The head read that was sent at `sent` found `head` in force and, after
    /// the configuration in use, these patches in order. `config` is the one
    /// that results; it is the same as before when there are none.
    pub fn head_read(
        &mut self,
        now: Instant,
        sent: Instant,
        head: Number,
        config: &Config,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follow(config);
        self.standing.head_read(head, sent);
        self.recognise(config);
        if self.news.moved() {
            self.round(now, self.settings.eager, false, &mut actions);
        }
        actions
    }

    /// One patch read from the table or written there: `config` results.
    pub fn patched(&mut self, patch: crate::config::patch::Patch, config: &Config) {
        if config.number == self.standing.number().next() {
            self.news.add(config.number, patch);
            self.follow(config);
        }
    }

    /// A whole configuration from a peer or the object store.
    pub fn restored(&mut self, snapshot: Snapshot) -> Vec<Action> {
        if snapshot.config.number <= self.standing.number() {
            return Vec::new();
        }
        self.news.clear();
        self.standing.advance(Membership::of(&snapshot.config, snapshot.before));
        self.records.keep(&self.standing.membership().members);
        vec![Action::Adopt(Box::new(snapshot.config))]
    }

    /// What a newcomer needs to count majorities from `config` on.
    pub fn snapshot(&self, config: &Config) -> Snapshot {
        let before = self.standing.membership().before.clone();
        Snapshot { config: config.clone(), before }
    }

    /// Who it was that answered. Another incarnation at a member's address
    /// means that the member has ended, since it gave the address free.
    fn meet(&mut self, to: MemberId, answer: &Answer, config: &Config) {
        let expected = config.members.get(to).map(|row| row.incarnation);
        if expected.is_some_and(|incarnation| incarnation != answer.incarnation) {
            self.standing.ended(to);
        }
    }

    fn take_patches(
        &mut self,
        now: Instant,
        answer: &Answer,
        config: &Config,
        actions: &mut Vec<Action>,
    ) {
        let mut newest: Option<Config> = None;
        for patch in &answer.patches {
            let current = newest.as_ref().unwrap_or(config);
            if patch.against != current.number {
                continue;
            }
            let next = current.patched(patch);
            let next = next.expect("the writer checked the patch against the same rows");
            self.patched(patch.clone(), &next);
            newest = Some(next);
        }
        if let Some(config) = newest {
            actions.push(Action::Adopt(Box::new(config)));
            self.news.moved();
            self.round(now, self.settings.eager, false, actions);
        }
    }

    fn answer(&self, now: Instant, pull: &Pull) -> Answer {
        let standing = &self.standing;
        let number = standing.number();
        let own = standing.own().into_iter().collect();
        let vouches = if pull.brief { own } else { standing.vouches(now) };
        let (holding, behind) = pack(number, &vouches);
        let (patches, truncated) = self.news.since(pull.number, number);
        Answer {
            incarnation: self.incarnation,
            number,
            patches,
            truncated,
            holding,
            behind,
            silent: standing.silent_holders(now).collect(),
            ended: standing.ended_members().collect(),
            records: pull.seen.as_ref().map(|seen| self.records.since(seen)).unwrap_or_default(),
        }
    }

    fn follow(&mut self, config: &Config) {
        if config.number > self.standing.number() {
            self.standing.advance(self.standing.membership().next(config));
            self.records.keep(&self.standing.membership().members);
        }
    }

    /// Looks for this incarnation's own join, in what the table has shown.
    fn recognise(&mut self, config: &Config) {
        let own = config.members.iter().find(|(_, row)| row.incarnation == self.incarnation);
        if let Some((id, _)) = own
            && self.standing.me() != Some(id)
        {
            self.standing.joined(id);
            self.records.joined(id);
        }
    }

    fn round(&mut self, now: Instant, count: usize, records: bool, actions: &mut Vec<Action>) {
        for to in self.choose(now, count) {
            actions.push(self.pull(now, to, false, records));
        }
    }

    fn pull(&mut self, now: Instant, to: MemberId, brief: bool, records: bool) -> Action {
        let id = self.next;
        self.next = PullId(id.0 + 1);
        self.flights.insert(id, Flight { to, sent: now });
        let pull = Pull {
            member: self.standing.own().map(|own| own.member),
            number: self.standing.number(),
            brief,
            seen: records.then(|| self.records.seen()),
        };
        Action::SendPull { id, to, pull }
    }

    fn choose(&mut self, now: Instant, count: usize) -> Vec<MemberId> {
        let me = self.standing.me();
        let others = self.standing.membership().members.iter().copied();
        let others: Vec<_> = others.filter(|id| Some(*id) != me).collect();
        let answering: Vec<_> =
            others.iter().copied().filter(|id| self.standing.answers(*id, now)).collect();
        let any = answering.is_empty() || self.random.below(ANY) == 0;
        self.random.sample(if any { others } else { answering }, count)
    }

    fn due(&self, last: Option<Instant>, period: Span, now: Instant) -> bool {
        last.is_none_or(|last| now.since(last) >= period)
    }
}
