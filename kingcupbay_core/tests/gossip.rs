//! Gossip: information reaches all members, and ages never shrink on the way.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Role},
        patch::Patch,
    },
    gossip::{
        Action, Gossip, PullId, Settings,
        message::{AGE_UNIT, Answer, Pull, Run, Snapshot, pack, unpack},
        record::Topic,
    },
    id::{Id, MemberId, Number, RequestId},
    standing::{self, Confirmation, Standing},
    time::{Instant, Span},
};
use quickcheck::{Arbitrary, Gen};

/// A daemon with its configuration, which the shell keeps beside it.
struct Daemon {
    gossip: Gossip,
    config: Config,
    /// Members whose snapshot the daemon was to fetch.
    fetches: Vec<MemberId>,
}

/// Daemons that answer each other at once, unless they are isolated.
struct Fleet {
    daemons: Vec<Daemon>,
    isolated: BTreeSet<usize>,
    now: Instant,
}

fn patch(against: Number, changes: Vec<Change>) -> Patch {
    let id = RequestId([against.0 as u8; 16]);
    Patch { id, against, author: "ops".into(), changes }
}

fn join(host: usize, incarnation: u64) -> Change {
    Change::Join {
        host: format!("host{host}").parse().unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + host),
        zone: "z1".parse().unwrap(),
        role: Role::Entry,
        incarnation,
    }
}

fn daemon(incarnation: u64) -> Daemon {
    let standing = Standing::new(standing::Settings::default());
    let gossip = Gossip::new(Settings::default(), standing, incarnation, incarnation);
    Daemon { gossip, config: Config::default(), fetches: Vec::new() }
}

impl Daemon {
    /// Applies a patch as if read from the table.
    fn apply(&mut self, patch: &Patch) {
        let next = self.config.patched(patch).unwrap();
        self.gossip.add_patch(patch.clone(), &next);
        self.config = next;
    }

    fn number(&self) -> Number {
        self.config.number
    }
}

impl Fleet {
    /// Creates `count` members that have all read the same table.
    fn new(count: usize) -> Fleet {
        let mut daemons: Vec<_> = (0..count).map(|host| daemon(host as u64 + 1)).collect();
        let now = Instant::from_micros(1_000_000);
        for daemon in &mut daemons {
            for host in 0..count {
                daemon.apply(&patch(Number(host as u64), vec![join(host, host as u64 + 1)]));
            }
            let (head, config) = (daemon.number(), daemon.config.clone());
            for action in daemon.gossip.handle_head_read(now, now, head, &config) {
                // No peer has started yet.
                if let Action::SendPull { id, .. } = action {
                    daemon.gossip.forget_pull(id);
                }
            }
        }
        Fleet { daemons, isolated: BTreeSet::new(), now }
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendPull { id, to, pull } => self.deliver(at, id, to, &pull),
                Action::Adopt(config) => self.daemons[at].config = *config,
                Action::FetchSnapshot { from } => self.daemons[at].fetches.push(from),
                Action::ReadHead => {}
            }
        }
    }

    fn deliver(&mut self, at: usize, id: PullId, to: MemberId, pull: &Pull) {
        let peer = to.raw() as usize;
        if self.isolated.contains(&at)
            || self.isolated.contains(&peer)
            || peer >= self.daemons.len()
        {
            return self.daemons[at].gossip.forget_pull(id);
        }
        let (answer, peer_actions) = self.daemons[peer].gossip.answer_pull(self.now, pull);
        let config = self.daemons[at].config.clone();
        let actions = self.daemons[at].gossip.handle_answer(self.now, id, answer, &config);
        self.carry_out(at, actions);
        self.carry_out(peer, peer_actions);
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Span::from_millis(50);
            for at in 0..self.daemons.len() {
                let actions = self.daemons[at].gossip.tick(self.now);
                self.carry_out(at, actions);
            }
        }
    }

    fn count_standing(&self) -> usize {
        let may_act = |daemon: &&Daemon| daemon.gossip.standing().may_act(self.now);
        self.daemons.iter().filter(may_act).count()
    }
}

/// The table is unavailable to every daemon for ten minutes; every member must
/// go on serving.
#[test]
fn all_members_keep_standing_through_a_table_outage() {
    let mut fleet = Fleet::new(9);
    fleet.run(5_000);
    for _ in 0..120 {
        fleet.run(5_000);
        assert_eq!(fleet.count_standing(), 9);
    }
    fleet.isolated.extend([0, 1]);
    fleet.run(4_000);
    assert_eq!(fleet.count_standing(), 7, "two that are cut off stop, the others go on");
}

/// An operator's patch reaches all connected members within a second, although
/// two members do not answer, and its writer learns that half of the members
/// hold it.
#[test]
fn a_patch_reaches_everyone_and_its_writer_knows() {
    let mut fleet = Fleet::new(26);
    fleet.run(3_000);
    fleet.isolated.extend([7, 8]);
    let patch = patch(fleet.daemons[0].number(), vec![]);
    fleet.daemons[0].apply(&patch);
    let number = fleet.daemons[0].number();
    assert!(!fleet.daemons[0].gossip.standing().is_stable(number));
    for _ in 0..2 {
        let now = fleet.now;
        let actions = fleet.daemons[0].gossip.pull_missing(now);
        fleet.carry_out(0, actions);
    }
    assert!(fleet.daemons[0].gossip.standing().is_stable(number));
    fleet.run(1_000);
    let known = fleet.daemons.iter().filter(|daemon| daemon.number() == number).count();
    assert_eq!(known, 24);
}

/// An entry restarts empty and answers its peers at once. The confirmations of
/// its former incarnation must not count for the new one.
#[test]
fn a_daemon_restarted_empty_confirms_nothing() {
    let mut fleet = Fleet::new(3);
    fleet.run(1_000);
    fleet.daemons[1] = daemon(77);
    let (answer, _) = {
        let pull = Pull { member: None, number: Number(3), brief: false, seen: None };
        fleet.daemons[1].gossip.answer_pull(fleet.now, &pull)
    };
    assert!(answer.holding.is_empty() && answer.behind.is_empty());
    fleet.run(4_000);
    let ended: Vec<_> = fleet.daemons[0].gossip.standing().ended_members().collect();
    assert_eq!(ended, [MemberId::from_raw(1)]);
    assert_eq!(fleet.count_standing(), 2, "two of three still confirm each other");
}

/// An answer arrives a second time, after its pull is no longer pending.
#[test]
fn a_duplicate_or_late_answer_changes_nothing() {
    let mut fleet = Fleet::new(3);
    let pulls: Vec<_> = fleet.daemons[0].gossip.pull_missing(fleet.now);
    let Action::SendPull { id, pull, .. } = pulls[0].clone() else { panic!() };
    let (answer, _) = fleet.daemons[1].gossip.answer_pull(fleet.now, &pull);
    let config = fleet.daemons[0].config.clone();
    let gossip = &mut fleet.daemons[0].gossip;
    gossip.handle_answer(fleet.now, id, answer.clone(), &config);
    let before = gossip.standing().clone();
    let later = fleet.now + Span::from_secs(2);
    assert_eq!(gossip.handle_answer(later, id, answer, &config), []);
    assert_eq!(*gossip.standing(), before);
}

#[test]
fn a_daemon_too_far_behind_fetches_a_snapshot() {
    let mut fleet = Fleet::new(3);
    fleet.isolated.insert(2);
    for _ in 0..70 {
        let patch = patch(fleet.daemons[0].number(), vec![]);
        (0..2).for_each(|at| fleet.daemons[at].apply(&patch));
    }
    fleet.isolated.clear();
    fleet.run(500);
    assert!(!fleet.daemons[2].fetches.is_empty());
    let Snapshot { config, before } = fleet.daemons[0].gossip.snapshot(&fleet.daemons[0].config);
    let actions = fleet.daemons[2].gossip.restore(Snapshot { config, before });
    fleet.carry_out(2, actions);
    assert_eq!(fleet.daemons[2].number(), fleet.daemons[0].number());
    fleet.run(1_000);
    assert!(fleet.daemons[2].gossip.standing().has_majority(fleet.now));
}

#[test]
fn only_changed_records_are_sent() {
    let mut fleet = Fleet::new(5);
    fleet.daemons[3].gossip.records_mut().publish(Topic::Load, "busy".into());
    fleet.run(10_000);
    for daemon in &fleet.daemons {
        let load = daemon.gossip.records().by_topic(Topic::Load);
        assert_eq!(load[&MemberId::from_raw(3)].body, "busy");
    }
    fleet.daemons[3].gossip.records_mut().publish(Topic::Load, "busy".into());
    let actions = (0..9).flat_map(|_| {
        fleet.now = fleet.now + Span::from_millis(250);
        fleet.daemons[0].gossip.tick(fleet.now)
    });
    let pulls = actions.filter_map(|action| match action {
        Action::SendPull { pull, .. } => pull.seen.is_some().then_some(pull),
        _ => None,
    });
    let pulls: Vec<_> = pulls.collect();
    assert!(!pulls.is_empty());
    for pull in pulls {
        assert_eq!(fleet.daemons[3].gossip.answer_pull(fleet.now, &pull).0.records, []);
    }
}

/// For any ages and any gaps between ids: packing never lowers an age by
/// rounding, and preserves exactly which members hold the number.
#[test]
fn packing_keeps_confirmations_and_never_lowers_their_age() {
    let mut random = Gen::from_size_and_seed(200, 7);
    for _ in 0..500 {
        let ids = BTreeSet::<u16>::arbitrary(&mut random);
        let confirmations: Vec<_> = ids
            .into_iter()
            .map(|raw| Confirmation {
                member: MemberId::from_raw(raw.into()),
                number: Number(9),
                held: Number(u64::from(u8::arbitrary(&mut random) % 3) + 7),
                age: Span::from_micros((u32::arbitrary(&mut random) % 6_000_000).into()),
            })
            .collect();
        let (holding, behind) = pack(Number(9), &confirmations);
        let mut unpacked = unpack(Number(9), &holding, &behind);
        unpacked.sort_by_key(|confirmation| confirmation.member);
        assert_eq!(unpacked.len(), confirmations.len());
        for (before, after) in confirmations.iter().zip(&unpacked) {
            assert_eq!(before.member, after.member);
            assert!(after.age >= before.age && after.age < before.age + AGE_UNIT);
            assert_eq!(after.held, if before.held == Number(9) { Number(9) } else { Number(0) });
        }
    }
}

#[test]
fn malformed_runs_in_an_answer_prove_nothing() {
    let run = |gap, ages: &'static [u8]| Run { gap, ages: ages.into() };
    let malformed = [
        vec![run(u32::MAX, &[1])],
        vec![run(u32::MAX, &[0, 0, 0])],
        vec![run(0, &[]), run(1, &[0])],
        vec![run(u32::MAX - 1, &[0]), run(7, &[0])],
    ];
    for holding in malformed {
        let mut fleet = Fleet::new(3);
        let pulls = fleet.daemons[0].gossip.pull_missing(fleet.now);
        let Action::SendPull { id, .. } = pulls[0] else { panic!() };
        let answer = Answer { incarnation: 2, number: Number(3), holding, ..Answer::default() };
        let config = fleet.daemons[0].config.clone();
        fleet.daemons[0].gossip.handle_answer(fleet.now, id, answer, &config);
        assert!(!fleet.daemons[0].gossip.standing().has_majority(fleet.now));
    }
}
