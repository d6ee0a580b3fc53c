//! State of the model: the table, the daemons and the messages in transit.

use std::{collections::BTreeSet, rc::Rc};

use kingcupbay_core::{
    config::patch::Patch,
    id::{Id, MemberId, Number, RequestId},
    standing::{Confirmation, Membership, Settings, Standing, accept::Acceptance},
    time::{Instant, Span},
};

use crate::shared::{Pool, Pooled, Shared};

/// Number of members at the start.
pub(crate) const MEMBERS: usize = 3;

/// Maximum age of a proof, in ticks.
pub(crate) const BOUND: u64 = 1;

/// Configuration number that all daemons hold at the start.
const FIRST: u64 = 1;

pub(crate) fn tick(now: u64) -> Instant {
    // Starts after the clock's origin, so that ages can reach back before the
    // start.
    Instant::from_micros(100 + now)
}

/// An answer to a pull, which may be delivered late, twice or never.
///
/// Sending and answering are a single step. A pull that is answered later than
/// it was sent proves less than one sent at that later moment, so the states
/// that it leads to allow no more than those explored here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pull {
    pub(crate) sent: u64,
    /// Member that the sender expected at the address.
    pub(crate) member: MemberId,
    pub(crate) incarnation: u64,
    pub(crate) number: Number,
    pub(crate) confirmations: Vec<Confirmation>,
}

/// An answer to a read of the head with all deltas; see [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Read {
    pub(crate) sent: u64,
    pub(crate) answer: Number,
}

/// A conditional write. It may take effect after its sender gave up on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Write {
    pub(crate) against: Number,
    pub(crate) committed: Option<bool>,
}

/// One daemon of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Daemon {
    pub(crate) incarnation: u64,
    pub(crate) standing: Standing,
    /// Greatest number that this incarnation ever held.
    pub(crate) top: Number,
    pub(crate) pull: Option<Pull>,
    pub(crate) read: Option<Read>,
    pub(crate) write: Option<Write>,
    pub(crate) acceptance: Option<Acceptance>,
}

impl Daemon {
    pub(crate) fn new(incarnation: u64) -> Daemon {
        let bound = Span::from_micros(BOUND);
        Daemon {
            incarnation,
            standing: Standing::new(Settings { bound }),
            top: Number(0),
            pull: None,
            read: None,
            write: None,
            acceptance: None,
        }
    }

    /// Receives the configuration `number`, content included. With `back` it
    /// accepts an older one too.
    pub(crate) fn advance(&mut self, membership: Membership, number: Number, back: bool) {
        if back && number < self.standing.number() {
            let me = self.standing.me();
            self.standing = Daemon::new(0).standing;
            me.into_iter().for_each(|me| self.standing.record_join(me));
        }
        if number.0 > 0 {
            self.standing.advance(membership);
        }
        self.top = self.top.max(self.standing.number());
    }

    /// Begins to write a patch against `against`.
    pub(crate) fn begin(&mut self, host: usize, against: Number) {
        let patch = Patch { id: patch_id(host), against, author: String::new(), changes: vec![] };
        self.acceptance = Some(Acceptance::new(&patch));
    }
}

pub(crate) fn patch_id(host: usize) -> RequestId {
    RequestId([host as u8; 16])
}

thread_local! {
    static DAEMONS: Pool<Daemon> = Pool::default();
    static LOGS: Pool<Vec<Delta>> = Pool::default();
}

impl Pooled for Daemon {
    fn pool<T>(run: impl FnOnce(&Pool<Daemon>) -> T) -> T {
        DAEMONS.with(run)
    }
}

impl Pooled for Vec<Delta> {
    fn pool<T>(run: impl FnOnce(&Pool<Vec<Delta>>) -> T) -> T {
        LOGS.with(run)
    }
}

/// One row of the table's log: the id of its patch and the resulting
/// membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Delta {
    pub(crate) id: RequestId,
    pub(crate) membership: Membership,
    /// The host whose new incarnation joins by this row, and its new id.
    pub(crate) joins: Option<(usize, MemberId)>,
}

/// Maximum number of deltas in the table: the operator's and a join.
pub(crate) const DELTAS: usize = 2;

/// The whole state. Parts that many states have in common are interned; see
/// [`Shared`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) now: u64,
    /// The table's deltas after the first configuration.
    pub(crate) log: Shared<Vec<Delta>>,
    pub(crate) daemons: [Shared<Daemon>; MEMBERS],
    /// Tick at which each delta was acknowledged.
    pub(crate) acked: [Option<u8>; DELTAS],
    pub(crate) pulls: u8,
    pub(crate) reads: u8,
    pub(crate) crashes: u8,
    pub(crate) duplicates: u8,
}

impl State {
    /// Returns the initial state: all daemons hold the first configuration, know
    /// that the others hold it, and have just read the table; member 0 has received
    /// an operator's patch.
    pub(crate) fn start() -> State {
        let daemon = |host: usize| {
            let mut daemon = Daemon::new(0);
            let standing = &mut daemon.standing;
            standing.advance(first());
            standing.record_join(MemberId::from_raw(host as u32));
            for member in first().members {
                standing.record_held(member, Number(FIRST));
            }
            standing.record_head_read(Number(FIRST), tick(0));
            daemon.top = Number(FIRST);
            if host == 0 {
                daemon.begin(host, Number(FIRST));
            }
            Shared::new(daemon)
        };
        State {
            now: 0,
            log: Shared::new(Vec::new()),
            daemons: std::array::from_fn(daemon),
            acked: [None; DELTAS],
            pulls: 0,
            reads: 0,
            crashes: 0,
            duplicates: 0,
        }
    }

    pub(crate) fn daemon(&self, host: usize) -> Rc<Daemon> {
        self.daemons[host].get()
    }

    /// Returns the number in force in the table.
    pub(crate) fn head(&self) -> Number {
        Number(FIRST + self.log.get().len() as u64)
    }

    pub(crate) fn delta(&self, number: Number) -> Option<Delta> {
        self.log.get().get(number.0.checked_sub(FIRST + 1)? as usize).cloned()
    }

    pub(crate) fn membership(&self, number: Number) -> Membership {
        self.delta(number).map_or_else(first, |delta| delta.membership)
    }

    /// Appends the delta that `host` asked for.
    pub(crate) fn append(&mut self, host: usize) {
        let last = self.membership(self.head());
        let mut members = last.members.clone();
        let mut joins = None;
        if self.daemon(host).incarnation > 0 {
            let id = MemberId::from_raw((MEMBERS + host) as u32);
            members.remove(&MemberId::from_raw(host as u32));
            members.insert(id);
            joins = Some((host, id));
        }
        let membership = Membership { number: self.head().next(), members, before: last.members };
        let delta = Delta { id: patch_id(host), membership, joins };
        self.log.update(|log| log.push(delta));
    }

    /// Returns the id under which `host`'s current incarnation joined, as far as
    /// the configuration `number` shows it.
    pub(crate) fn joined_id(&self, host: usize, number: Number) -> Option<MemberId> {
        let known = number.0.saturating_sub(FIRST) as usize;
        let log = self.log.get();
        let mut joins = log.iter().take(known).rev().filter_map(|delta| delta.joins);
        joins.find(|(joined, _)| *joined == host).map(|(_, id)| id)
    }

    /// Returns whether `member` actually holds `number` or has ended.
    pub(crate) fn actually_holds(&self, member: MemberId, number: Number) -> bool {
        let mut daemons = self.daemons.iter().map(|daemon| daemon.get());
        let daemon = daemons.find(|daemon| daemon.standing.me() == Some(member));
        daemon.is_none_or(|daemon| daemon.standing.number() >= number)
    }
}

fn first() -> Membership {
    let members: BTreeSet<_> = (0..MEMBERS as u32).map(MemberId::from_raw).collect();
    Membership { number: Number(FIRST), before: members.clone(), members }
}
