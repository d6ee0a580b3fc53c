//! Gossip between daemons: confirmations, patches and records.
//!
//! Each daemon pulls from a few peers every period. An answer carries the
//! patches that the puller lacks ([`message`]), the confirmations of the
//! answerer and of the members it knows of, and the records that changed
//! ([`record`]). The age of a confirmation counts from when the pull was sent,
//! so the clocks of two hosts are never compared.
//!
//! A new number does not wait for the next period: a daemon that receives one
//! pulls from a few peers at once, and a daemon that is pulled by a peer that
//! holds a newer number pulls back at once.
//!
//! [`Gossip`] decides; its methods return [`Action`]s for the shell to carry
//! out in order.

pub mod message;
mod patches;
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
use patches::RecentPatches;
use record::Records;

/// Settings of [`Gossip`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two rounds of pulls. At most an eighth of the freshness
    /// bound: a confirmation needs about six periods to reach half of 340 members.
    pub period: Span,
    /// Peers pulled in a round. One is enough at 340 members, and the answer's
    /// size times the rounds a second is most of the traffic.
    pub fan_out: usize,
    /// Peers pulled at once when a new number arrives. Three spread it to all but
    /// about six in a hundred members without waiting for a period.
    pub eager_pulls: usize,
    /// Time between two head reads while a majority confirms; this bounds each
    /// daemon's load on the table. Otherwise a read is sent every period.
    pub read_period: Span,
    /// Every how many rounds a pull asks for records. The list of known records
    /// that it then carries is about as long as all confirmations.
    pub record_rounds: u32,
    /// Time after which an unanswered pull is forgotten.
    pub timeout: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Span::from_millis(250),
            fan_out: 1,
            eager_pulls: 3,
            read_period: Span::from_secs(2),
            record_rounds: 4,
            timeout: Span::from_secs(1),
        }
    }
}

/// One pull in ten, on average, picks among all members, so that a member
/// without a recent confirmation is found again; the others pick among members
/// that confirmed recently.
const ANY_MEMBER_PERIOD: u64 = 10;

/// Id of a pull, to match its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PullId(u64);

/// An action for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this pull, and report its answer or its failure under its id.
    SendPull {
        /// Id of the pull.
        id: PullId,
        /// Member to ask; its address is in the configuration.
        to: MemberId,
        /// Message to send.
        pull: Pull,
    },
    /// Fetch the whole configuration from this member: more patches are missing
    /// than it keeps.
    FetchSnapshot {
        /// Member to ask.
        from: MemberId,
    },
    /// Read the configuration's head and the patches since.
    ReadHead,
    /// Start using this configuration.
    Adopt(Box<Config>),
}

#[derive(Clone, Copy, Debug)]
struct PendingPull {
    to: MemberId,
    sent: Instant,
}

/// Gossip state of one daemon.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    incarnation: u64,
    standing: Standing,
    patches: RecentPatches,
    records: Records,
    random: Random,
    pending: BTreeMap<PullId, PendingPull>,
    next_id: PullId,
    rounds: u32,
    last_round: Option<Instant>,
    last_read: Option<Instant>,
}

impl Gossip {
    /// Creates the state of a daemon that has just started. The shell draws
    /// `incarnation` and `seed` at random.
    pub fn new(settings: Settings, standing: Standing, incarnation: u64, seed: u64) -> Gossip {
        Gossip {
            settings,
            incarnation,
            standing,
            patches: RecentPatches::default(),
            records: Records::default(),
            random: Random::new(seed),
            pending: BTreeMap::new(),
            next_id: PullId(0),
            rounds: 0,
            last_round: None,
            last_read: None,
        }
    }

    /// Returns the state that decides whether this daemon may act.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// Returns the known records of all members, this one included.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns the records, to publish this daemon's own.
    pub fn records_mut(&mut self) -> &mut Records {
        &mut self.records
    }

    /// Forgets pulls that timed out and returns the pulls and reads that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let timeout = self.settings.timeout;
        self.pending.retain(|_, pull| now.since(pull.sent) <= timeout);
        let mut actions = Vec::new();
        if self.is_due(self.last_round, self.settings.period, now) {
            self.last_round = Some(now);
            self.rounds += 1;
            let records = self.rounds.is_multiple_of(self.settings.record_rounds);
            self.pull_peers(now, self.settings.fan_out, records, &mut actions);
        }
        let confirmed = self.standing.has_majority(now) && !self.standing.is_behind();
        let short = self.settings.period.min(self.settings.read_period);
        let interval = if confirmed { self.settings.read_period } else { short };
        if self.is_due(self.last_read, interval, now) {
            self.last_read = Some(now);
            actions.push(Action::ReadHead);
        }
        actions
    }

    /// Pulls every member that is not known to hold the number held here and has
    /// no pull pending, and asks for its own confirmation only. A daemon that
    /// waits for a majority uses this, since gossip would take longer.
    pub fn pull_missing(&mut self, now: Instant) -> Vec<Action> {
        let membership = self.standing.membership();
        let both = membership.members.union(&membership.before);
        let asked = |id: MemberId| self.pending.values().any(|pull| pull.to == id);
        let lacks = |id: &MemberId| !self.standing.holds_current(*id) && !asked(*id);
        let missing: Vec<_> = both.copied().filter(lacks).collect();
        missing.into_iter().map(|to| self.start_pull(now, to, true, false)).collect()
    }

    /// Answers a peer's pull. Pulls back if the peer holds a newer number.
    pub fn answer_pull(&mut self, now: Instant, pull: &Pull) -> (Answer, Vec<Action>) {
        let mut actions = Vec::new();
        if let Some(member) = pull.member {
            self.standing.record_held(member, pull.number);
            if pull.number > self.standing.number() {
                actions.push(self.start_pull(now, member, true, false));
            }
        }
        (self.build_answer(now, pull), actions)
    }

    /// Handles the answer to a pull. Ignores an id that is not pending, because
    /// the answer is a duplicate or came after the timeout.
    pub fn handle_answer(
        &mut self,
        now: Instant,
        id: PullId,
        answer: Answer,
        config: &Config,
    ) -> Vec<Action> {
        let Some(pull) = self.pending.remove(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        self.check_incarnation(pull.to, &answer, config);
        self.apply_patches(now, &answer, config, &mut actions);
        if answer.number > self.standing.number() {
            actions.push(match answer.truncated {
                true => Action::FetchSnapshot { from: pull.to },
                false => Action::ReadHead,
            });
        }
        for member in answer.silent {
            self.standing.record_held(member, answer.number);
        }
        for member in answer.ended {
            self.standing.record_end(member);
        }
        for confirmation in unpack(answer.number, &answer.holding, &answer.behind) {
            self.standing.record_confirmation(confirmation, pull.sent);
        }
        self.records.merge(answer.records);
        actions
    }

    /// Forgets a pull that got no answer.
    pub fn forget_pull(&mut self, id: PullId) {
        self.pending.remove(&id);
    }

    /// Handles the result of the head read sent at `sent`, which found `head` in
    /// force. `config` is the configuration after all patches that the read
    /// brought, or the unchanged one if there were none.
    pub fn handle_head_read(
        &mut self,
        now: Instant,
        sent: Instant,
        head: Number,
        config: &Config,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(config);
        self.standing.record_head_read(head, sent);
        self.find_own_join(config);
        if self.patches.take_changed() {
            self.pull_peers(now, self.settings.eager_pulls, false, &mut actions);
        }
        actions
    }

    /// Adds a patch that was read from the table, written there or received from
    /// a peer; `config` is the resulting configuration.
    pub fn add_patch(&mut self, patch: crate::config::patch::Patch, config: &Config) {
        if config.number == self.standing.number().next() {
            self.patches.add(config.number, patch);
            self.advance(config);
        }
    }

    /// Adopts a whole configuration from a peer or the object store if it is
    /// newer.
    pub fn restore(&mut self, snapshot: Snapshot) -> Vec<Action> {
        if snapshot.config.number <= self.standing.number() {
            return Vec::new();
        }
        self.patches.clear();
        self.standing.advance(Membership::from_config(&snapshot.config, snapshot.before));
        self.records.retain(&self.standing.membership().members);
        vec![Action::Adopt(Box::new(snapshot.config))]
    }

    /// Returns what another daemon needs to count majorities from `config` on.
    pub fn snapshot(&self, config: &Config) -> Snapshot {
        let before = self.standing.membership().before.clone();
        Snapshot { config: config.clone(), before }
    }

    /// Checks which incarnation answered. Another one at a member's address means
    /// that the member has ended, since it has given up the address.
    fn check_incarnation(&mut self, to: MemberId, answer: &Answer, config: &Config) {
        let expected = config.members.get(to).map(|row| row.incarnation);
        if expected.is_some_and(|incarnation| incarnation != answer.incarnation) {
            self.standing.record_end(to);
        }
    }

    fn apply_patches(
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
            self.add_patch(patch.clone(), &next);
            newest = Some(next);
        }
        if let Some(config) = newest {
            actions.push(Action::Adopt(Box::new(config)));
            self.patches.take_changed();
            self.pull_peers(now, self.settings.eager_pulls, false, actions);
        }
    }

    fn build_answer(&self, now: Instant, pull: &Pull) -> Answer {
        let standing = &self.standing;
        let number = standing.number();
        let own = standing.own_confirmation().into_iter().collect();
        let confirmations = if pull.brief { own } else { standing.confirmations(now) };
        let (holding, behind) = pack(number, &confirmations);
        let (patches, truncated) = self.patches.since(pull.number, number);
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

    fn advance(&mut self, config: &Config) {
        if config.number > self.standing.number() {
            self.standing.advance(self.standing.membership().next(config));
            self.records.retain(&self.standing.membership().members);
        }
    }

    /// Looks for this incarnation's own join in the configuration read from the
    /// table.
    fn find_own_join(&mut self, config: &Config) {
        let own = config.members.iter().find(|(_, row)| row.incarnation == self.incarnation);
        if let Some((id, _)) = own
            && self.standing.me() != Some(id)
        {
            self.standing.record_join(id);
            self.records.set_own_id(id);
        }
    }

    fn pull_peers(&mut self, now: Instant, count: usize, records: bool, actions: &mut Vec<Action>) {
        for to in self.choose_peers(now, count) {
            actions.push(self.start_pull(now, to, false, records));
        }
    }

    fn start_pull(&mut self, now: Instant, to: MemberId, brief: bool, records: bool) -> Action {
        let id = self.next_id;
        self.next_id = PullId(id.0 + 1);
        self.pending.insert(id, PendingPull { to, sent: now });
        let pull = Pull {
            member: self.standing.own_confirmation().map(|own| own.member),
            number: self.standing.number(),
            brief,
            seen: records.then(|| self.records.known_sequences()),
        };
        Action::SendPull { id, to, pull }
    }

    fn choose_peers(&mut self, now: Instant, count: usize) -> Vec<MemberId> {
        let me = self.standing.me();
        let others = self.standing.membership().members.iter().copied();
        let others: Vec<_> = others.filter(|id| Some(*id) != me).collect();
        let recent: Vec<_> = others
            .iter()
            .copied()
            .filter(|id| self.standing.confirmed_recently(*id, now))
            .collect();
        let any = recent.is_empty() || self.random.below(ANY_MEMBER_PERIOD) == 0;
        self.random.sample(if any { others } else { recent }, count)
    }

    fn is_due(&self, last: Option<Instant>, period: Span, now: Instant) -> bool {
        last.is_none_or(|last| now.since(last) >= period)
    }
}
