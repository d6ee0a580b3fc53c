//! Whether this daemon may act on what it knows.
//!
//! A daemon stands while it can show that no patch acknowledged longer ago
//! than [`Settings::bound`] is unknown to it. It shows that by either of
//!
//! - a read of the configuration's head in the table, timed from when the
//!   read was *sent*;
//! - the vouches of a majority of the members of the configuration it holds,
//!   each saying "at this age I knew nothing newer than this number".
//!
//! Why that holds: a patch is acknowledged ([`accept`]) only once half of the
//! members of the configuration before it, or more, hold it, and no patch is
//! written before the one before it has got that far. So for whichever number
//! a daemon holds, half of the very members it counts held the next one before
//! that one, or any later one, was acknowledged. A half and a majority share a
//! member, a member's number never goes back, and a member that restarts is
//! another member. Hence one of the vouches that were made after the
//! acknowledgement names a newer number, and is not counted.
//!
//! With the table gone for everyone nothing can be acknowledged, the majority
//! keeps vouching and work goes on; an island without a majority stops.

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

/// How old the newest proof may be.
///
/// A withdrawn key must be dead within 5 s at the worst-placed host. 3 s leave
/// 2 s for the patch to be held by a majority and for running streams to be
/// ended, and are twelve of today's pull periods of 250 ms: a vouch reaches
/// 340 members by pulls of one peer a period in about half of that.
pub const FRESHNESS_BOUND: Span = Span::from_secs(3);

/// Settings of [`Standing`]; the same for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settings {
    /// How old the newest proof may be.
    pub bound: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { bound: FRESHNESS_BOUND }
    }
}

/// What one daemon can say about a member, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Confirmation {
    /// Who vouches. A restarted daemon is another member.
    pub member: MemberId,
    /// It knew nothing newer than this.
    pub number: Number,
    /// It holds at least this. Unlike `number` this stays true for ever.
    pub held: Number,
    /// How long ago, at most: never less than the true age.
    pub age: Span,
}

/// What is known about another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Peer {
    /// The greatest number it is known to hold.
    held: Number,
    /// Whether it is known to have ended. It will vouch for nothing any more,
    /// so it cannot vouch for an old number: it counts as holding every one.
    ended: bool,
    proof: Proof,
}

/// What this daemon knows about how recent its knowledge is.
///
/// Invariant: `membership` only moves to greater numbers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Standing {
    settings: Settings,
    membership: Membership,
    /// Set once a read of the table has shown this incarnation's own join.
    me: Option<MemberId>,
    /// Reads of the table.
    table: Proof,
    peers: BTreeMap<MemberId, Peer>,
}

impl Standing {
    /// A daemon that has just started and knows nothing.
    pub fn new(settings: Settings) -> Standing {
        Standing {
            settings,
            membership: Membership::default(),
            me: None,
            table: Proof::default(),
            peers: BTreeMap::new(),
        }
    }

    /// This daemon now holds `membership`'s configuration. An older one is
    /// ignored, so answers that come late or twice never take it back.
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

    /// A read of the table showed this incarnation's own join as `me`.
    ///
    /// Guards against a restarted daemon that vouches as the member it was:
    /// patches that the member held, and which were acknowledged on its word,
    /// would be missing from what it vouches for. A new id vouches for nothing
    /// that was acknowledged before it joined.
    pub fn record_join(&mut self, me: MemberId) {
        self.me = Some(me);
    }

    /// The head read that was sent at `sent` found `number` in force.
    ///
    /// Timed from the sending: the answer may be as old as that, and a read
    /// timed from its answer would hide a patch acknowledged while it travelled.
    pub fn record_head_read(&mut self, number: Number, sent: Instant) {
        self.table.record(number, sent, self.membership.number);
    }

    /// A vouch out of the answer to a pull that was sent at `sent`.
    pub fn record_confirmation(&mut self, vouch: Confirmation, sent: Instant) {
        if self.me == Some(vouch.member) || !self.membership.includes(vouch.member) {
            return;
        }
        let peer = self.peers.entry(vouch.member).or_default();
        peer.held = peer.held.max(vouch.held);
        peer.proof.record(vouch.number, sent - vouch.age, self.membership.number);
    }

    /// `member` holds `number`, said without an age: out of a pull itself,
    /// whose time on the way nobody knows.
    pub fn record_held(&mut self, member: MemberId, number: Number) {
        if self.me != Some(member) && self.membership.includes(member) {
            let peer = self.peers.entry(member).or_default();
            peer.held = peer.held.max(number);
        }
    }

    /// `member` has ended: a pull to its address was answered by another
    /// incarnation, which could take the address only after it.
    ///
    /// Guards against a fleet that restarted as a whole and could never again
    /// show that a majority of its former members holds a patch.
    pub fn record_end(&mut self, member: MemberId) {
        if self.me != Some(member) && self.membership.includes(member) {
            self.peers.entry(member).or_default().ended = true;
        }
    }

    /// Whether this daemon may act on what it knows. To be asked at each use
    /// and never kept across an await: the process may be paused there.
    ///
    /// Only members may: one that was paused and replaced meanwhile, or was
    /// removed, would otherwise go on beside its successor.
    pub fn may_act(&self, now: Instant) -> bool {
        self.is_member() && (self.table_is_fresh(now) || self.has_majority(now))
    }

    /// Whether a majority vouches, whatever the table says.
    pub fn has_majority(&self, now: Instant) -> bool {
        let vouching = |member: &&MemberId| {
            self.me == Some(**member) || self.confirmed_recently(**member, now)
        };
        let members = &self.membership.members;
        members.iter().filter(vouching).count() > members.len() / 2
    }

    /// Whether `number` can no longer be missed: half or more of the members
    /// of the configuration before it, and of its own, hold it. Any majority
    /// has one of them. A majority here too would not be safer, and of two
    /// members the one that is left could never write again.
    ///
    /// A number below the one held here got that far before the next one was
    /// written; one above is not known here. Holding does not age, so this
    /// needs no time.
    pub fn is_stable(&self, number: Number) -> bool {
        if number != self.number() {
            return number < self.number();
        }
        self.membership.half_of_each(|member| self.member_holds(member, number))
    }

    /// The number held here.
    pub fn number(&self) -> Number {
        self.membership.number
    }

    /// Who counts under the number held here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// This daemon's own id, once the table has shown it.
    pub fn me(&self) -> Option<MemberId> {
        self.me
    }

    /// Whether anything newer than the number held here is known to exist.
    pub fn is_behind(&self) -> bool {
        let ahead = |peer: &Peer| peer.proof.is_ahead() || peer.held > self.number();
        self.table.is_ahead() || self.peers.values().any(ahead)
    }

    /// Whether `member` has vouched lately: whom to rather ask.
    pub fn confirmed_recently(&self, member: MemberId, now: Instant) -> bool {
        let fresh = |peer: &Peer| peer.proof.is_fresh(now, self.settings.bound);
        self.peers.get(&member).is_some_and(fresh)
    }

    /// This daemon's own vouch, as of now. None before it has joined.
    pub fn own_confirmation(&self) -> Option<Confirmation> {
        let number = self.number();
        let member = self.me.filter(|_| self.is_member())?;
        Some(Confirmation { member, number, held: number, age: Span::ZERO })
    }

    /// What this daemon can say about every member: its own vouch and the
    /// ones it knows of others, in the order of their ids.
    pub fn confirmations(&self, now: Instant) -> Vec<Confirmation> {
        let number = self.number();
        let known = self.peers.iter().filter_map(|(&member, peer)| {
            let at = peer.proof.at()?;
            let age = now.since(at);
            let held = peer.held;
            (age <= self.settings.bound).then_some(Confirmation { member, number, held, age })
        });
        let mut all: Vec<_> = known.chain(self.own_confirmation()).collect();
        all.sort_unstable_by_key(|vouch| vouch.member);
        all
    }

    /// Whether `member` is known to hold the number held here, or has ended.
    pub fn holds_current(&self, member: MemberId) -> bool {
        self.member_holds(member, self.number())
    }

    /// Other members that hold the number held here, but whose vouch is too
    /// old to be passed on. That they hold it stays true all the same.
    pub fn silent_holders(&self, now: Instant) -> impl Iterator<Item = MemberId> {
        let silent = move |(id, peer): &(&MemberId, &Peer)| {
            !peer.ended && peer.held >= self.number() && !self.confirmed_recently(**id, now)
        };
        self.peers.iter().filter(silent).map(|(&member, _)| member)
    }

    /// The members known to have ended.
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
