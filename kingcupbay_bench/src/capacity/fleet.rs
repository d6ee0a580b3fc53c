//! Gossip and standing of a whole fleet, in simulated time with real messages.
//!
//! Two regions lie [`APART`] from each other; three of five zones are in the
//! first. The table answers after [`TABLE_TIME`].

use std::{collections::BTreeMap, rc::Rc};

use bytes::Bytes;
use kingcupbay_core::{
    config::{change::Change, model::Config, patch::Patch},
    gossip::{
        Action, Gossip, PullId, Settings,
        message::{Answer, Pull, Snapshot},
        record::Topic,
    },
    id::{Id, UpstreamId, VersionId},
    route::Report,
    standing::{self, Standing},
    time::Instant,
};

use super::{
    Figures, MEMBERS, Table,
    config::{incarnation, join, name, patch},
    measure::{keep, processor, resident},
};

pub(super) const TABLE: Table = Table {
    title: "gossip and standing, by members",
    sizes: MEMBERS,
    names: &[
        "messages sent by a daemon, 1/s",
        "message bodies sent by a daemon, bytes/s",
        "message bodies sent with load records, bytes/s",
        "one load record, bytes",
        "largest answer, bytes",
        "processor time of a daemon, us/s",
        "processor time with load records, us/s",
        "table reads of all daemons, 1/s",
        "table reads of all daemons, most in a second",
        "patch held by all daemons, ms",
        "patch held by all daemons, table gone, ms",
        "daemons without standing at any look",
    ],
};

/// Between two looks of a daemon at what is due, as the daemon has it.
const LOOK: u64 = 50_000;

/// One way within a region.
const NEAR: u64 = 1_000;

/// One way between regions.
const APART: u64 = 35_000;

/// Until a read of the table is answered.
const TABLE_TIME: u64 = 5_000;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Until all vouches have gone round.
const WARM: u64 = 5 * SECOND;

/// Until a fleet without the table has to hold a patch.
const LONGEST: u64 = 20 * SECOND;

/// Shortest time between two records of a daemon, and the time for each
/// member, as upstream daemons have them.
const RECORD_PAUSE: u64 = 250_000;
const RECORD_EACH: u64 = 12_000;

/// Of 17 members 15 are upstream daemons with records: 300 of 340.
const GROUP: usize = 17;
const UPSTREAMS: usize = 15;

/// Runners of each upstream daemon: 600 before 300.
const RUNNERS: u32 = 2;

/// Adapter slots of each runner.
const SLOTS: u32 = 16;

/// Seconds of simulated time until every daemon has told its records twice.
const SETTLED: u64 = 20;

/// Daemons whose memory is told together, at least; what the heap keeps back
/// from earlier work counts little among so many.
const DAEMONS: u32 = 1_400;

enum Event {
    Look(usize),
    Record(usize),
    Pull { from: usize, to: usize, id: PullId, body: Vec<u8> },
    Answer { to: usize, id: PullId, body: Vec<u8> },
    Head { to: usize, sent: u64 },
}

struct Host {
    gossip: Gossip,
    config: Rc<Config>,
}

/// What was counted since the last reset.
#[derive(Default)]
struct Counts {
    messages: u64,
    bytes: u64,
    largest: usize,
    /// Reads of the table by the second they were sent in.
    reads: BTreeMap<u64, u64>,
    /// Looks at which a daemon had no standing.
    fallen: u64,
}

struct Fleet {
    hosts: Vec<Host>,
    /// Events by time; the second number keeps their order.
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    now: u64,
    /// What the table holds, with the patch that made it.
    head: (Rc<Config>, Option<Patch>),
    table: bool,

    counts: Counts,
}

impl Fleet {
    fn new(members: u32, records: bool) -> Fleet {
        let mut config = Config::default();
        for number in 0..members {
            let patch = patch(&config, vec![join(number)]);
            config = config.patched(&patch).expect("a join is valid");
        }
        let config = Rc::new(config);
        let before = config.members.iter().map(|(id, _)| id).collect();
        let snapshot = Snapshot { config: (*config).clone(), before };
        let hosts = (0..members).map(|number| {
            let standing = Standing::new(standing::Settings::default());
            let number = incarnation(number);
            let mut gossip = Gossip::new(Settings::default(), standing, number, number);
            gossip.restore(snapshot.clone());
            gossip.handle_head_read(Instant::default(), Instant::default(), config.number, &config);
            Host { gossip, config: config.clone() }
        });
        let hosts: Vec<Host> = hosts.collect();
        let mut fleet = Fleet {
            hosts,
            queue: BTreeMap::new(),
            next: 0,
            now: 0,
            head: (config, None),
            table: true,

            counts: Counts::default(),
        };
        let count = u64::from(members);
        for host in 0..members as usize {
            fleet.push(LOOK * host as u64 / count, Event::Look(host));
            if records && host % GROUP < UPSTREAMS {
                fleet.push(fleet.pause() * host as u64 / count, Event::Record(host));
            }
        }
        fleet
    }

    /// Between two records of one daemon.
    fn pause(&self) -> u64 {
        RECORD_PAUSE.max(RECORD_EACH * self.hosts.len() as u64)
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), event);
    }

    /// Runs until `end` or until `done`.
    fn run(&mut self, end: u64, done: impl Fn(&Fleet) -> bool) {
        while !done(self) {
            let Some(entry) = self.queue.first_entry() else { return };
            if entry.key().0 > end {
                self.now = end;
                return;
            }
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::from_micros(self.now);
        match event {
            Event::Look(at) => {
                let actions = self.hosts[at].gossip.tick(now);
                self.counts.fallen += u64::from(!self.hosts[at].gossip.standing().may_act(now));
                self.act(at, actions);
                self.push(LOOK, Event::Look(at));
            }
            Event::Record(at) => {
                let body = record(at as u32, (self.now / RECORD_PAUSE) as u32);
                self.hosts[at].gossip.records_mut().publish(Topic::Load, body);
                self.push(self.pause(), Event::Record(at));
            }
            Event::Pull { from, to, id, body } => {
                let pull: Pull = rmp_serde::from_slice(&body).expect("it was encoded here");
                let (answer, actions) = self.hosts[to].gossip.answer_pull(now, &pull);
                self.act(to, actions);
                let body = rmp_serde::to_vec(&answer).expect("an answer serialises");
                self.counts.largest = self.counts.largest.max(body.len());
                self.count(&body);
                self.push(way(to, from), Event::Answer { to: from, id, body });
            }
            Event::Answer { to, id, body } => {
                let answer: Answer = rmp_serde::from_slice(&body).expect("it was encoded here");
                let Host { gossip, config } = &mut self.hosts[to];
                let actions = gossip.handle_answer(now, id, answer, config);
                self.act(to, actions);
            }
            Event::Head { to, sent } => self.read(to, Instant::from_micros(sent)),
        }
    }

    /// The table's answer arrives.
    fn read(&mut self, to: usize, sent: Instant) {
        let now = Instant::from_micros(self.now);
        let (config, patch) = &self.head;
        let host = &mut self.hosts[to];
        if let Some(patch) = patch
            && host.config.number < config.number
        {
            host.gossip.add_patch(patch.clone(), config);
            host.config = config.clone();
        }
        let actions = host.gossip.handle_head_read(now, sent, config.number, &host.config);
        self.act(to, actions);
    }

    fn count(&mut self, body: &[u8]) {
        self.counts.messages += 1;
        self.counts.bytes += body.len() as u64;
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => {
                    let body = rmp_serde::to_vec(&pull).expect("a pull serialises");
                    self.count(&body);
                    let to = to.raw() as usize;
                    self.push(way(from, to), Event::Pull { from, to, id, body });
                }
                Action::ReadHead if self.table => {
                    *self.counts.reads.entry(self.now / SECOND).or_default() += 1;
                    self.push(TABLE_TIME, Event::Head { to: from, sent: self.now });
                }
                Action::ReadHead => {}
                Action::Adopt(config) => self.hosts[from].config = Rc::from(config),
                Action::FetchSnapshot { .. } => unreachable!("one patch is never too many"),
            }
        }
    }

    /// One daemon writes a patch; milliseconds until all hold it.
    fn patch(&mut self) -> f64 {
        let name = name("organisation");
        let change = Change::SetOrganisation { name, rate: self.now, burst: 1 };
        let patch = patch(&self.head.0, vec![change]);
        let config = Rc::new(self.head.0.patched(&patch).expect("the change is valid"));
        let number = config.number;
        self.head = (config, Some(patch));
        let began = self.now;
        self.read(0, Instant::from_micros(began));
        let held = |fleet: &Fleet| fleet.hosts.iter().all(|host| host.config.number >= number);
        self.run(began + LONGEST, held);
        (self.now - began) as f64 / 1e3
    }
}

/// What an upstream daemon tells of its runners. The load differs each time,
/// so that every record travels.
fn record(host: u32, round: u32) -> Bytes {
    let report = |runner: u32| {
        let first = (host * RUNNERS + runner) * SLOTS * 6;
        let loaded = (0..SLOTS).map(|slot| VersionId::from_raw(first + slot * 6)).collect();
        Report { loaded, running: round % 100, waiting: 0, places: 256, seq: 0 }
    };
    let upstream = |runner| UpstreamId::from_raw(host * RUNNERS + runner);
    let reports: Vec<_> = (0..RUNNERS).map(|runner| (upstream(runner), report(runner))).collect();
    Bytes::from(rmp_serde::to_vec(&reports).expect("reports serialise"))
}

/// Time on the way between two hosts.
fn way(from: usize, to: usize) -> u64 {
    let first = |host: usize| host % 5 < 3;
    if first(from) == first(to) { NEAR } else { APART }
}

/// Counts of a settled fleet, and its processor time in microseconds.
fn settled(fleet: &mut Fleet, seconds: u64) -> f64 {
    fleet.run(WARM, |_| false);
    fleet.counts = Counts::default();
    let began = processor();
    fleet.run(WARM + seconds * SECOND, |_| false);
    processor() - began
}

/// KiB of gossip and standing in one daemon; a settled fleet tells it best.
pub(super) fn memory(members: u32) -> f64 {
    let fleets = DAEMONS / members;
    let before = resident();
    for _ in 0..fleets {
        let mut fleet = Fleet::new(members, true);
        settled(&mut fleet, SETTLED);
        keep(fleet);
    }
    (resident() - before) / 1_024.0 / f64::from(fleets * members)
}

pub(super) fn figures(members: u32, seconds: u64) -> Figures {
    let each = f64::from(members) * seconds as f64;
    let mut fleet = Fleet::new(members, false);
    let spent = settled(&mut fleet, seconds);
    let counts = std::mem::take(&mut fleet.counts);
    let healthy = fleet.patch();
    fleet.table = false;
    let alone = fleet.patch();
    let mut carrying = Fleet::new(members, true);
    let busy = settled(&mut carrying, seconds);
    vec![
        counts.messages as f64 / each,
        counts.bytes as f64 / each,
        carrying.counts.bytes as f64 / each,
        record(members - 1, 99).len() as f64,
        counts.largest.max(carrying.counts.largest) as f64,
        spent / each,
        busy / each,
        counts.reads.values().sum::<u64>() as f64 / seconds as f64,
        counts.reads.values().max().copied().unwrap_or(0) as f64,
        healthy,
        alone,
        (counts.fallen + carrying.counts.fallen) as f64,
    ]
}
