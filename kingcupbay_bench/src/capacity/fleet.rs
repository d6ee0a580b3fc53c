//! Measures gossip and the freshness lease (standing) of a whole fleet, in simulated
//! time with real messages.
//!
//! There are two regions, the first with three of five zones. A message between them
//! takes [`CROSS_REGION_DELAY_MICROS`], a read of the table [`TABLE_READ_MICROS`].

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
    measure::{leak, resident_bytes, thread_cpu_micros},
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

/// Interval between two gossip ticks, as in the daemon.
const TICK_MICROS: u64 = 50_000;

/// Delay of a message within a region.
const REGION_DELAY_MICROS: u64 = 1_000;

/// Delay of a message between regions.
const CROSS_REGION_DELAY_MICROS: u64 = 35_000;

/// Time of a read of the table.
const TABLE_READ_MICROS: u64 = 5_000;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Time until the confirmations of all daemons have reached each other.
const WARM_UP_MICROS: u64 = 5 * MICROS_PER_SECOND;

/// Longest time for a patch to reach all daemons, also without the table.
const MAX_PATCH_MICROS: u64 = 20 * MICROS_PER_SECOND;

/// Shortest interval between two load records of a daemon, and the interval per
/// member of the fleet, as in upstream daemons.
const MIN_RECORD_PAUSE_MICROS: u64 = 250_000;
const RECORD_PAUSE_MICROS_PER_MEMBER: u64 = 12_000;

/// Of each group of 17 members, 15 are upstream daemons with load records: 300 of
/// 340.
const GROUP_MEMBERS: usize = 17;
const GROUP_UPSTREAMS: usize = 15;

/// Runners per upstream daemon: 600 for 300.
const RUNNERS_PER_DAEMON: u32 = 2;

/// Adapter slots per runner.
const SLOTS_PER_RUNNER: u32 = 16;

/// Simulated time in which every daemon publishes its load record at least twice.
const MEMORY_RUN_SECONDS: u64 = 20;

/// Number of daemons whose memory is measured together, rounded down to whole
/// fleets; among so many, memory that the heap retains from earlier work counts
/// little.
const MEASURED_DAEMONS: u32 = 1_400;

enum Event {
    Tick(usize),
    Record(usize),
    Pull { from: usize, to: usize, id: PullId, body: Vec<u8> },
    Answer { to: usize, id: PullId, body: Vec<u8> },
    Head { to: usize, sent: u64 },
}

struct Host {
    gossip: Gossip,
    config: Rc<Config>,
}

/// Counts since the last reset.
#[derive(Default)]
struct Counts {
    messages: u64,
    bytes: u64,
    largest: usize,
    /// Reads of the table, by the second in which they were sent.
    reads: BTreeMap<u64, u64>,
    /// Ticks at which a daemon had no standing.
    without_standing: u64,
}

struct Fleet {
    hosts: Vec<Host>,
    /// Events by time in microseconds and by sequence number.
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now: u64,
    /// Configuration in the table and the patch that led to it.
    head: (Rc<Config>, Option<Patch>),
    table_up: bool,
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
            sequence: 0,
            now: 0,
            head: (config, None),
            table_up: true,
            counts: Counts::default(),
        };
        let count = u64::from(members);
        for host in 0..members as usize {
            fleet.push(TICK_MICROS * host as u64 / count, Event::Tick(host));
            if records && host % GROUP_MEMBERS < GROUP_UPSTREAMS {
                fleet.push(fleet.pause() * host as u64 / count, Event::Record(host));
            }
        }
        fleet
    }

    /// Returns the interval between two load records of a daemon, in microseconds.
    fn pause(&self) -> u64 {
        MIN_RECORD_PAUSE_MICROS.max(RECORD_PAUSE_MICROS_PER_MEMBER * self.hosts.len() as u64)
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// Runs until the time `end` in microseconds or until `done` returns true.
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
            Event::Tick(at) => {
                let actions = self.hosts[at].gossip.tick(now);
                self.counts.without_standing +=
                    u64::from(!self.hosts[at].gossip.standing().may_act(now));
                self.execute(at, actions);
                self.push(TICK_MICROS, Event::Tick(at));
            }
            Event::Record(at) => {
                let body = record(at as u32, (self.now / MIN_RECORD_PAUSE_MICROS) as u32);
                self.hosts[at].gossip.records_mut().publish(Topic::Load, body);
                self.push(self.pause(), Event::Record(at));
            }
            Event::Pull { from, to, id, body } => {
                let pull: Pull = rmp_serde::from_slice(&body).expect("it was encoded here");
                let (answer, actions) = self.hosts[to].gossip.answer_pull(now, &pull);
                self.execute(to, actions);
                let body = rmp_serde::to_vec(&answer).expect("an answer serialises");
                self.counts.largest = self.counts.largest.max(body.len());
                self.count_message(&body);
                self.push(link_delay(to, from), Event::Answer { to: from, id, body });
            }
            Event::Answer { to, id, body } => {
                let answer: Answer = rmp_serde::from_slice(&body).expect("it was encoded here");
                let Host { gossip, config } = &mut self.hosts[to];
                let actions = gossip.handle_answer(now, id, answer, config);
                self.execute(to, actions);
            }
            Event::Head { to, sent } => self.receive_head(to, Instant::from_micros(sent)),
        }
    }

    /// Handles the table's answer to a read that was sent at `sent`.
    fn receive_head(&mut self, to: usize, sent: Instant) {
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
        self.execute(to, actions);
    }

    fn count_message(&mut self, body: &[u8]) {
        self.counts.messages += 1;
        self.counts.bytes += body.len() as u64;
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => {
                    let body = rmp_serde::to_vec(&pull).expect("a pull serialises");
                    self.count_message(&body);
                    let to = to.raw() as usize;
                    self.push(link_delay(from, to), Event::Pull { from, to, id, body });
                }
                Action::ReadHead if self.table_up => {
                    *self.counts.reads.entry(self.now / MICROS_PER_SECOND).or_default() += 1;
                    self.push(TABLE_READ_MICROS, Event::Head { to: from, sent: self.now });
                }
                Action::ReadHead => {}
                Action::Adopt(config) => self.hosts[from].config = Rc::from(config),
                Action::FetchSnapshot { .. } => unreachable!("one patch is never too many"),
            }
        }
    }

    /// Writes a patch at one daemon; returns the milliseconds until all have it.
    fn measure_patch(&mut self) -> f64 {
        let name = name("organisation");
        let change = Change::SetOrganisation { name, rate: self.now, burst: 1 };
        let patch = patch(&self.head.0, vec![change]);
        let config = Rc::new(self.head.0.patched(&patch).expect("the change is valid"));
        let number = config.number;
        self.head = (config, Some(patch));
        let began = self.now;
        self.receive_head(0, Instant::from_micros(began));
        let held = |fleet: &Fleet| fleet.hosts.iter().all(|host| host.config.number >= number);
        self.run(began + MAX_PATCH_MICROS, held);
        (self.now - began) as f64 / 1e3
    }
}

/// Encodes the load record of an upstream daemon. The load differs in each round, so
/// that every record is sent.
fn record(host: u32, round: u32) -> Bytes {
    let report = |runner: u32| {
        let first = (host * RUNNERS_PER_DAEMON + runner) * SLOTS_PER_RUNNER * 6;
        let loaded =
            (0..SLOTS_PER_RUNNER).map(|slot| VersionId::from_raw(first + slot * 6)).collect();
        Report { loaded, running: round % 100, waiting: 0, places: 256, seq: 0 }
    };
    let upstream = |runner| UpstreamId::from_raw(host * RUNNERS_PER_DAEMON + runner);
    let reports: Vec<_> =
        (0..RUNNERS_PER_DAEMON).map(|runner| (upstream(runner), report(runner))).collect();
    Bytes::from(rmp_serde::to_vec(&reports).expect("reports serialise"))
}

/// Returns the message delay between two hosts, in microseconds.
fn link_delay(from: usize, to: usize) -> u64 {
    let first = |host: usize| host % 5 < 3;
    if first(from) == first(to) { REGION_DELAY_MICROS } else { CROSS_REGION_DELAY_MICROS }
}

/// Runs a fleet after its warm-up and counts its messages; returns the processor
/// time in microseconds.
fn measure_steady_state(fleet: &mut Fleet, seconds: u64) -> f64 {
    fleet.run(WARM_UP_MICROS, |_| false);
    fleet.counts = Counts::default();
    let began = thread_cpu_micros();
    fleet.run(WARM_UP_MICROS + seconds * MICROS_PER_SECOND, |_| false);
    thread_cpu_micros() - began
}

/// Returns the memory of gossip and standing per daemon of a fleet in steady state, in KiB.
pub(super) fn memory(members: u32) -> f64 {
    let fleets = MEASURED_DAEMONS / members;
    let before = resident_bytes();
    for _ in 0..fleets {
        let mut fleet = Fleet::new(members, true);
        measure_steady_state(&mut fleet, MEMORY_RUN_SECONDS);
        leak(fleet);
    }
    (resident_bytes() - before) / 1_024.0 / f64::from(fleets * members)
}

/// Measures the figures of [`TABLE`].
pub(super) fn figures(members: u32, seconds: u64) -> Figures {
    let each = f64::from(members) * seconds as f64;
    let mut fleet = Fleet::new(members, false);
    let idle_micros = measure_steady_state(&mut fleet, seconds);
    let counts = std::mem::take(&mut fleet.counts);
    let healthy = fleet.measure_patch();
    fleet.table_up = false;
    let without_table = fleet.measure_patch();
    let mut with_records = Fleet::new(members, true);
    let record_micros = measure_steady_state(&mut with_records, seconds);
    vec![
        counts.messages as f64 / each,
        counts.bytes as f64 / each,
        with_records.counts.bytes as f64 / each,
        record(members - 1, 99).len() as f64,
        counts.largest.max(with_records.counts.largest) as f64,
        idle_micros / each,
        record_micros / each,
        counts.reads.values().sum::<u64>() as f64 / seconds as f64,
        counts.reads.values().max().copied().unwrap_or(0) as f64,
        healthy,
        without_table,
        (counts.without_standing + with_records.counts.without_standing) as f64,
    ]
}
