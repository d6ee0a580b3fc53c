//! Members that gossip in simulated time, each message through the codec.

use std::{collections::BTreeMap, rc::Rc};

use bytes::Bytes;
use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Role},
        patch::Patch,
    },
    gossip::{
        Action, Gossip, PullId, Settings,
        message::{Answer, Pull, Snapshot},
        peers::Random,
        record::Topic,
    },
    id::{Id, MemberId, Number, RequestId},
    standing::{self, Standing},
    time::{Instant, Span},
};

/// Pause between two looks of a daemon at what is due; as the daemon's.
const LOOK: Span = Span::from_millis(50);

/// Pause between two settling rounds of a patch's writer; as the daemon's.
const SETTLE: Span = Span::from_millis(20);

/// Every so many members one is an entry, which publishes its slack besides.
const ENTRY: usize = 8;

/// Bytes of an entry's slack, and the time between two changes of it.
const SLACK_BYTES: usize = 32;
const SLACK_PERIOD: Span = Span::from_secs(2);

/// What the members publish and how long messages travel.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Bytes of the record of what is resident.
    pub(crate) bytes: usize,
    /// Time between two changes of a member's record.
    pub(crate) period: Span,
    /// Time between two rounds of pulls.
    pub(crate) gossip: Span,
    /// Time of one message on its way.
    pub(crate) delay: Span,
}

struct Member {
    gossip: Gossip,
    config: Rc<Config>,
}

enum Event {
    Look(usize),
    Count,
    Publish(usize, Topic, u32),
    Pull { from: usize, to: usize, id: PullId, body: Vec<u8> },
    Answer { at: usize, id: PullId, body: Vec<u8> },
    Settle(usize),
}

/// The fleet. The first `silent` members never answer, as in a dead zone.
pub(crate) struct Fleet {
    members: Vec<Member>,
    silent: usize,
    load: Load,
    random: Random,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    /// Fewest members that had standing at a time, since the last reset.
    pub(crate) fewest: usize,
    /// Bytes of messages sent since the last reset.
    pub(crate) bytes: u64,
    /// Pulls sent since the last reset.
    pub(crate) exchanges: u64,
}

fn change(index: u32) -> Change {
    let name = |text: String| text.parse().expect("made of allowed characters");
    Change::Join {
        host: name(format!("host-{index}")),
        address: format!("10.0.{}.{}:9000", index / 250, index % 250),
        zone: name(format!("zone-{}", index % 5)),
        role: Role::Upstream,
        incarnation: u64::from(index) + 1,
    }
}

fn patch(against: Number, changes: Vec<Change>) -> Patch {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&against.0.to_le_bytes());
    Patch { id: RequestId(id), against, author: "bench".to_owned(), changes }
}

impl Fleet {
    /// `size` members that have all just read the same table, once.
    pub(crate) fn new(size: u32, silent: u32, load: Load, seed: u64) -> Fleet {
        let mut config = Config::default();
        for index in 0..size {
            config.change(&change(index)).expect("another host each time");
        }
        config.number = Number(u64::from(size));
        let before = config.members.iter().map(|(id, _)| id).collect();
        let snapshot = Snapshot { config: config.clone(), before };
        let config = Rc::new(config);
        let now = Instant::from_micros(1_000_000_000);
        let mut random = Random::new(seed);
        let settings = Settings { period: load.gossip, ..Settings::default() };
        let members = (0..size).map(|index| {
            let standing = Standing::new(standing::Settings::default());
            let seed = random.draw();
            let mut gossip = Gossip::new(settings, standing, u64::from(index) + 1, seed);
            gossip.restored(snapshot.clone());
            gossip.head_read(now, now, config.number, &config);
            Member { gossip, config: config.clone() }
        });
        let members = members.collect();
        let (events, silent) = (BTreeMap::new(), silent as usize);
        let mut fleet = Fleet {
            members,
            silent,
            load,
            random,
            now,
            events,
            count: 0,
            fewest: usize::MAX,
            bytes: 0,
            exchanges: 0,
        };
        for at in silent..size as usize {
            let look = fleet.within(LOOK);
            fleet.after(look, Event::Look(at));
            let publish = fleet.within(load.period);
            fleet.after(publish, Event::Publish(at, Topic::Load, 0));
            if at.is_multiple_of(ENTRY) {
                let publish = fleet.within(SLACK_PERIOD);
                fleet.after(publish, Event::Publish(at, Topic::Slack, 0));
            }
        }
        fleet.after(LOOK, Event::Count);
        fleet
    }

    /// Begins to count anew.
    pub(crate) fn reset(&mut self) {
        (self.bytes, self.exchanges, self.fewest) = (0, 0, usize::MAX);
    }

    /// Lets `span` pass.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    /// How many members may act on what they know.
    fn standing(&self) -> usize {
        let holds = |member: &&Member| member.gossip.standing().holds(self.now);
        self.members[self.silent..].iter().filter(holds).count()
    }

    /// One member writes a patch: seconds until it is acknowledged, and until
    /// every member that answers holds it.
    pub(crate) fn patch(&mut self) -> (f64, f64) {
        let answering = (self.members.len() - self.silent) as u64;
        let writer = self.silent + self.random.below(answering) as usize;
        let member = &mut self.members[writer];
        let patch = patch(member.config.number, Vec::new());
        let next = member.config.patched(&patch).expect("made against this configuration");
        member.gossip.patched(patch, &next);
        let number = next.number;
        member.config = Rc::new(next);
        let start = self.now;
        self.after(Span::ZERO, Event::Settle(writer));
        let (mut acknowledged, mut everywhere) = (None, None);
        while acknowledged.is_none() || everywhere.is_none() {
            self.run(Span::from_millis(5));
            let taken = self.now.since(start).as_secs_f64();
            if self.members[writer].gossip.standing().settled(number) {
                acknowledged.get_or_insert(taken);
            }
            if self.members[self.silent..].iter().all(|member| member.config.number >= number) {
                everywhere.get_or_insert(taken);
            }
        }
        (acknowledged.unwrap_or_default(), everywhere.unwrap_or_default())
    }

    fn within(&mut self, span: Span) -> Span {
        Span::from_micros(self.random.below(span.as_micros()))
    }

    fn after(&mut self, span: Span, event: Event) {
        self.count += 1;
        self.events.insert((self.now + span, self.count), event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Look(at) => {
                let actions = self.members[at].gossip.tick(self.now);
                self.act(at, actions);
                self.after(LOOK, Event::Look(at));
            }
            Event::Count => {
                self.fewest = self.fewest.min(self.standing());
                self.after(LOOK, Event::Count);
            }
            Event::Publish(at, topic, round) => self.publish(at, topic, round),
            Event::Pull { from, to, id, body } => self.pulled(from, to, id, &body),
            Event::Answer { at, id, body } => {
                let answer: Answer = rmp_serde::from_slice(&body).expect("as encoded");
                let member = &mut self.members[at];
                let actions = member.gossip.answered(self.now, id, answer, &member.config);
                self.act(at, actions);
            }
            Event::Settle(at) => {
                let gossip = &mut self.members[at].gossip;
                if !gossip.standing().settled(gossip.standing().number()) {
                    let actions = gossip.settle(self.now);
                    self.act(at, actions);
                    self.after(SETTLE, Event::Settle(at));
                }
            }
        }
    }

    fn publish(&mut self, at: usize, topic: Topic, round: u32) {
        let (bytes, period) = match topic {
            Topic::Load => (self.load.bytes, self.load.period),
            Topic::Slack => (SLACK_BYTES, SLACK_PERIOD),
        };
        let mut body = vec![0; bytes];
        body[..4].copy_from_slice(&round.to_le_bytes());
        self.members[at].gossip.records_mut().publish(topic, Bytes::from(body));
        self.after(period, Event::Publish(at, topic, round + 1));
    }

    fn pulled(&mut self, from: usize, to: usize, id: PullId, body: &[u8]) {
        let pull: Pull = rmp_serde::from_slice(body).expect("as encoded");
        let (answer, actions) = self.members[to].gossip.pulled(self.now, &pull);
        self.act(to, actions);
        let body = rmp_serde::to_vec(&answer).expect("answers serialise");
        self.bytes += body.len() as u64;
        self.after(self.load.delay, Event::Answer { at: from, id, body });
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => self.send(at, id, to, &pull),
                Action::Adopt(config) => self.members[at].config = Rc::new(*config),
                // The table is gone, and nobody falls so far behind.
                Action::ReadHead | Action::FetchSnapshot { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, id: PullId, to: MemberId, pull: &Pull) {
        let body = rmp_serde::to_vec(pull).expect("pulls serialise");
        self.bytes += body.len() as u64;
        self.exchanges += 1;
        let to = to.raw() as usize;
        if to >= self.silent {
            self.after(self.load.delay, Event::Pull { from, to, id, body });
        }
    }
}
