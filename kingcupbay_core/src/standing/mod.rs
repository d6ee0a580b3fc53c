//! Freshness lease: whether this daemon may act on the configuration it holds.
//!
//! A daemon has standing, that is, may act, while it can prove that it misses
//! no patch that was acknowledged longer ago than [`Settings::bound`]. Either
//! of these is a proof:
//!
//! - a read of the configuration's head in the table, timed from when the
//!   read was *sent*;
//! - confirmations by a majority of the members of the configuration it holds,
//!   each stating "at this age I knew nothing newer than this number".
//!
//! Why a majority's confirmations suffice: a patch is acknowledged ([`accept`])
//! only once at least half of the members of the configuration before it hold
//! it, and no patch is written before its predecessor is held as widely.
//! Therefore, whichever number a daemon holds, at least half of the members it
//! counts held the next number before that number, or any later one, was
//! acknowledged. Any half and any majority of a set share a member. A member's
//! number never decreases, and a daemon that restarts becomes another member.
//! Hence, among the confirmations of a majority made after the acknowledgement,
//! at least one names a newer number and is not counted.
//!
//! While no daemon can reach the table, nothing can be acknowledged, so a
//! majority that keeps confirming may go on. A partition without a majority
//! stops.

pub mod accept;
mod membership;
mod proof;

use std::collections::BTreeMap;

use crate::{
    id::{MemberId, Number},
    time::{Instant, Span},
};

pub use membership::Membership;
use proof::Proof;

/// Maximum age of the newest proof.
///
/// A withdrawn key must stop working within 5 s on every host. 3 s leave 2 s
/// for a majority to receive the patch and for running streams to be ended.
/// 3 s are also twelve of the default pull periods of 250 ms; with one pull
/// per period a confirmation reaches 340 members in about half of that.
pub const FRESHNESS_BOUND: Span = Span::from_secs(3);

/// Settings of [`Standing`]. All daemons of a fleet must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settings {
    /// Maximum age of the newest proof.
    pub bound: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { bound: FRESHNESS_BOUND }
    }
}

/// A member's statement that it knew nothing newer than a number, as this
/// daemon received or made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Confirmation {
    /// The member that confirms. A restarted daemon is another member.
    pub member: MemberId,
    /// The member knew nothing newer than this number.
    pub number: Number,
    /// The member holds at least this number. Unlike `number`, this never expires.
    pub held: Number,
    /// Upper bound on the time since the statement was made.
    pub age: Span,
}

/// State of another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Peer {
    /// Greatest number the member is known to hold.
    held: Number,
    /// Whether the member is known to have ended. It makes no further
    /// confirmations, so it cannot confirm an old number: it counts as holding
    /// every number.
    ended: bool,
    proof: Proof,
}

/// Evidence of how recent this daemon's configuration is.
///
/// Invariant: the number of `membership` never decreases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Standing {
    settings: Settings,
    membership: Membership,
    /// This daemon's id; set once a read of the table has shown the join of this
    /// incarnation.
    me: Option<MemberId>,
    /// Newest proof from reads of the table.
    table: Proof,
    peers: BTreeMap<MemberId, Peer>,
}

impl Standing {
    /// Creates the state of a daemon that has just started.
    pub fn new(settings: Settings) -> Standing {
        Standing {
            settings,
            membership: Membership::default(),
            me: None,
            table: Proof::default(),
            peers: BTreeMap::new(),
        }
    }

    /// Moves to the configuration of `membership`. Ignores one that is not newer,
    /// so stale and duplicate answers never move the daemon back.
    pub fn advance(&mut self, membership: Membership) {
        if membership.number <= self.membership.number {
            return;
        }
        let number = membership.number;
        self.peers.retain(|id, _| membership.includes(*id));
        self.table.advance(number);
        for peer in self.peers.values_mut() {
            peer.proof.advance(number);
        }
        self.membership = membership;
    }

    /// Records that a read of the table showed this incarnation's own join as
    /// `me`.
    ///
    /// Guards against a restarted daemon that confirms under its former id: it
    /// might lack patches which that member held and which were acknowledged on
    /// the strength of that. A new id counts for nothing that was acknowledged
    /// before it joined.
    pub fn record_join(&mut self, me: MemberId) {
        self.me = Some(me);
    }

    /// Records that the head read sent at `sent` found `number` in force.
    ///
    /// The age counts from sending: the table may have answered at any time since
    /// then, and counting from the arrival would hide a patch that was
    /// acknowledged while the answer was in transit.
    pub fn record_head_read(&mut self, number: Number, sent: Instant) {
        self.table.record(number, sent, self.membership.number);
    }

    /// Records a confirmation from the answer to a pull sent at `sent`. Ignores
    /// this daemon's own confirmations and those of non-members.
    pub fn record_confirmation(&mut self, confirmation: Confirmation, sent: Instant) {
        if self.me == Some(confirmation.member) || !self.membership.includes(confirmation.member) {
            return;
        }
        let peer = self.peers.entry(confirmation.member).or_default();
        peer.held = peer.held.max(confirmation.held);
        peer.proof.record(confirmation.number, sent - confirmation.age, self.membership.number);
    }

    /// Records that `member` holds `number`. The statement has no known age: it
    /// comes from a pull, whose time in transit is unknown, or from an answer's
    /// list of silent members. So it is no proof of freshness.
    pub fn record_held(&mut self, member: MemberId, number: Number) {
        if self.me != Some(member) && self.membership.includes(member) {
            let peer = self.peers.entry(member).or_default();
            peer.held = peer.held.max(number);
        }
    }

    /// Records that `member` has ended: a pull to its address was answered by
    /// another incarnation, which can take the address only after `member` ended.
    ///
    /// Without this, a fleet that restarted as a whole could never again show that
    /// half of its former members hold a patch.
    pub fn record_end(&mut self, member: MemberId) {
        if self.me != Some(member) && self.membership.includes(member) {
            self.peers.entry(member).or_default().ended = true;
        }
    }

    /// Returns whether this daemon may act on the configuration it holds. Call it
    /// at each use and don't keep the result across an await: the process may be
    /// paused there.
    ///
    /// Only members may act. Otherwise a daemon that was removed, or that was
    /// paused and replaced, would keep acting alongside its successor.
    pub fn may_act(&self, now: Instant) -> bool {
        self.is_member() && (self.table_is_fresh(now) || self.has_majority(now))
    }

    /// Returns whether a majority of the members has confirmed recently,
    /// regardless of reads of the table.
    pub fn has_majority(&self, now: Instant) -> bool {
        let confirmed = |member: &&MemberId| {
            self.me == Some(**member) || self.confirmed_recently(**member, now)
        };
        let members = &self.membership.members;
        members.iter().filter(confirmed).count() > members.len() / 2
    }

    /// Returns whether no daemon with standing can miss `number` for longer than
    /// the bound: at least half of the members of its configuration, and of the
    /// one before it, hold it, so every majority contains such a member.
    ///
    /// Requiring a majority here would be no safer, and of two members the one
    /// that is left could never write again.
    ///
    /// A number below the one held here was stable before the next one was
    /// written; a number above it is not known here. That a member holds a number
    /// does not expire, so this needs no time.
    pub fn is_stable(&self, number: Number) -> bool {
        if number != self.number() {
            return number < self.number();
        }
        self.membership.half_of_each(|member| self.member_holds(member, number))
    }

    /// Returns the configuration number held here.
    pub fn number(&self) -> Number {
        self.membership.number
    }

    /// Returns the membership under the number held here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns this daemon's own id, once the table has shown it.
    pub fn me(&self) -> Option<MemberId> {
        self.me
    }

    /// Returns whether a number newer than the one held here is known to exist.
    pub fn is_behind(&self) -> bool {
        let ahead = |peer: &Peer| peer.proof.is_ahead() || peer.held > self.number();
        self.table.is_ahead() || self.peers.values().any(ahead)
    }

    /// Returns whether `member` has confirmed within the bound. Such members are
    /// preferred as peers to pull from.
    pub fn confirmed_recently(&self, member: MemberId, now: Instant) -> bool {
        let fresh = |peer: &Peer| peer.proof.is_fresh(now, self.settings.bound);
        self.peers.get(&member).is_some_and(fresh)
    }

    /// Returns this daemon's own confirmation, made now; `None` before it has
    /// joined and once it is no longer a member.
    pub fn own_confirmation(&self) -> Option<Confirmation> {
        let number = self.number();
        let member = self.me.filter(|_| self.is_member())?;
        Some(Confirmation { member, number, held: number, age: Span::ZERO })
    }

    /// Returns the confirmations that are no older than the bound, this daemon's
    /// own included, ordered by member id.
    pub fn confirmations(&self, now: Instant) -> Vec<Confirmation> {
        let number = self.number();
        let known = self.peers.iter().filter_map(|(&member, peer)| {
            let at = peer.proof.at()?;
            let age = now.since(at);
            let held = peer.held;
            (age <= self.settings.bound).then_some(Confirmation { member, number, held, age })
        });
        let mut all: Vec<_> = known.chain(self.own_confirmation()).collect();
        all.sort_unstable_by_key(|confirmation| confirmation.member);
        all
    }

    /// Returns whether `member` is known to hold the number held here, or to have
    /// ended.
    pub fn holds_current(&self, member: MemberId) -> bool {
        self.member_holds(member, self.number())
    }

    /// Returns the other members that hold the number held here but have not
    /// confirmed within the bound. Their confirmations are too old to be passed
    /// on, while the fact that they hold the number never expires.
    pub fn silent_holders(&self, now: Instant) -> impl Iterator<Item = MemberId> {
        let silent = move |(id, peer): &(&MemberId, &Peer)| {
            !peer.ended && peer.held >= self.number() && !self.confirmed_recently(**id, now)
        };
        self.peers.iter().filter(silent).map(|(&member, _)| member)
    }

    /// Returns the members known to have ended.
    pub fn ended_members(&self) -> impl Iterator<Item = MemberId> {
        self.peers.iter().filter(|(_, peer)| peer.ended).map(|(&member, _)| member)
    }

    fn is_member(&self) -> bool {
        self.me.is_some_and(|me| self.membership.members.contains(&me))
    }

    fn table_is_fresh(&self, now: Instant) -> bool {
        self.table.is_fresh(now, self.settings.bound)
    }

    fn member_holds(&self, member: MemberId, number: Number) -> bool {
        if self.me == Some(member) {
            return true;
        }
        let holds = |peer: &Peer| peer.ended || peer.held >= number;
        self.peers.get(&member).is_some_and(holds)
    }
}
