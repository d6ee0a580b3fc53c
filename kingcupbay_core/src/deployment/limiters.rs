//! Limiters: the entries that keep the organisations' limits and pass on what readers report.
//!
//! In a small fleet all entries are limiters. They exchange usage reports, each with each,
//! and decide on their callers' requests themselves. If the number of limiters grew with the
//! fleet, so would the reports that each of them sends and receives, and one silent entry
//! among hundreds would restrict all of them to their shares. So a large fleet has a fixed
//! number of limiters. Every other entry, a follower, asks one of them for the tokens of each
//! request: the same one for an organisation, which knows nearly all that it uses. Two
//! limiters report to each follower what the readers have read.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::time::{Instant, Span};

use super::{catalogue::Member, ranks::by_rank};

/// Largest number of limiters. Each exchanges some 200 usage reports a second with the others,
/// whatever their number.
pub const LIMITERS_MAX: usize = 32;

/// Number of limiters that report to a follower, so that one of them may fail.
const RELAYS_PER_FOLLOWER: usize = 2;

/// How long a limiter that did not answer is asked after the others.
const UNREACHABLE_PAUSE: Span = Span::from_secs(1);

/// A follower that this entry reports to.
#[derive(Clone, Debug)]
struct Follower {
    host: String,
    /// When it last answered, or was assigned to this entry.
    answered: Instant,
}

/// The limiters, and this entry's part among them.
#[derive(Clone, Debug, Default)]
pub struct Limiters {
    own: String,
    /// Hosts and addresses of the limiters, in the order of their ranks.
    limiters: Vec<(String, SocketAddr)>,
    /// Whether this entry is one of them.
    limiter: bool,
    /// Addresses of the other limiters if this entry is one, and none otherwise.
    peers: Vec<SocketAddr>,
    /// The followers that this entry reports to, by address.
    followers: BTreeMap<SocketAddr, Follower>,
    /// Until when each limiter is asked after the others.
    unreachable: BTreeMap<SocketAddr, Instant>,
}

impl Limiters {
    /// Creates the state of the entry on `own` before the list of entries is known.
    pub fn new(own: &str) -> Limiters {
        Limiters { own: own.to_owned(), limiter: true, ..Limiters::default() }
    }

    /// Applies the list of entries. Returns whether this entry has become a limiter.
    ///
    /// An entry that is not listed counts as a limiter where there is room for one more: it
    /// reports its usage until it is listed.
    pub fn on_entries<'a>(
        &mut self,
        now: Instant,
        entries: impl Iterator<Item = &'a Member>,
    ) -> bool {
        let order = by_rank(entries);
        let rank = order.iter().position(|member| member.host == self.own);
        let is_limiter = rank.unwrap_or(order.len()) < LIMITERS_MAX;
        let promoted = is_limiter && !self.limiter;
        let (limiters, others) = order.split_at(order.len().min(LIMITERS_MAX));
        let is_relay = rank.is_some_and(|rank| rank < limiters.len());
        let follows = |member: &&&Member| is_relay && self.relays_to(limiters, member);
        let follower = |member: &&Member| {
            let known = self.followers.get(&member.address);
            let known = known.filter(|known| known.host == member.host);
            let answered = known.map_or(now, |known| known.answered);
            (member.address, Follower { host: member.host.clone(), answered })
        };
        self.followers = others.iter().filter(follows).map(follower).collect();
        self.limiter = is_limiter;
        let named = |member: &&Member| (member.host.clone(), member.address);
        self.limiters = limiters.iter().map(named).collect();
        let others = self.limiters.iter().filter(|(host, _)| is_limiter && *host != self.own);
        self.peers = others.map(|(_, address)| *address).collect();
        self.unreachable.retain(|address, _| limiters.iter().any(|row| row.address == *address));
        promoted
    }

    /// Returns whether this entry reports to `follower`: limiters of its availability zone
    /// come first.
    fn relays_to(&self, limiters: &[&Member], follower: &Member) -> bool {
        let mut order: Vec<(bool, u64, &str)> = limiters
            .iter()
            .map(|row| (row.zone != follower.zone, score(&follower.host, &row.host), &*row.host))
            .collect();
        order.sort_unstable();
        order.iter().take(RELAYS_PER_FOLLOWER).any(|(_, _, host)| *host == self.own)
    }

    /// Returns whether this entry keeps limits.
    pub fn is_limiter(&self) -> bool {
        self.limiter
    }

    /// Returns the hosts of all limiters, in the order of their ranks.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.limiters.iter().map(|(host, _)| host.as_str())
    }

    /// Returns the addresses to which this entry sends its usage reports.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Returns the addresses of the followers to which this entry passes on what the readers
    /// report.
    pub fn followers(&self) -> impl Iterator<Item = SocketAddr> {
        self.followers.keys().copied()
    }

    /// Records that the follower at `address` has answered a report.
    pub fn on_answer(&mut self, now: Instant, address: SocketAddr) {
        if let Some(follower) = self.followers.get_mut(&address) {
            follower.answered = now;
        }
    }

    /// Returns the hosts of the followers that have not answered for `limit` or longer.
    pub fn silent_followers(&self, now: Instant, limit: Span) -> impl Iterator<Item = &str> {
        let silent = self.followers.values().filter(move |row| now.since(row.answered) >= limit);
        silent.map(|follower| follower.host.as_str())
    }

    /// Returns the limiter to ask for tokens of `organisation`, which is none of `tried`.
    pub fn choose(
        &self,
        now: Instant,
        organisation: &str,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let is_unreachable =
            |address: &SocketAddr| self.unreachable.get(address).is_some_and(|&until| now < until);
        let untried = self.limiters.iter().filter(|(_, address)| !tried.contains(address));
        let key = |(host, address): &&(String, SocketAddr)| {
            (is_unreachable(address), score(organisation, host))
        };
        untried.min_by_key(key).map(|(_, address)| *address)
    }

    /// Records that the limiter at `address` has not answered.
    pub fn on_failure(&mut self, now: Instant, address: SocketAddr) {
        self.unreachable.insert(address, now + UNREACHABLE_PAUSE);
    }

    /// Returns how much longer than others this entry waits before it removes a silent entry
    /// from the list, so that usually one of them does.
    pub fn removal_delay(&self) -> Span {
        let rank = self.hosts().position(|host| host == self.own);
        Span::from_millis(500 * rank.unwrap_or(self.limiters.len()) as u64)
    }
}

/// Rendezvous hash, the same at every entry of one build.
fn score(key: &str, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, host).hash(&mut hasher);
    hasher.finish()
}
