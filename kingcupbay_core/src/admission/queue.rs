//! Requests that wait for a place, and the order in which they get it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::PermitRequest,
};

use super::Ticket;

/// What one step of rank is worth in waiting time. An urgent request passes
/// those that came up to this long before it; one that has waited longer goes
/// first whatever its rank, so no rank is starved.
const RANK_STEP: Span = Span::from_millis(300);

/// Time from a place to the first event: reading the prompt.
const FIRST_EVENT: Span = Span::from_millis(150);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Its key.
    pub ticket: Ticket,
    /// What it wants.
    pub want: PermitRequest,
    /// When it came.
    since: Instant,
}

impl Waiter {
    /// A request that came at `now`.
    pub fn new(now: Instant, ticket: Ticket, want: PermitRequest) -> Waiter {
        Waiter { ticket, want, since: now }
    }

    /// Until when a place is of use.
    fn until(&self) -> Instant {
        self.since + self.want.max_wait
    }

    /// Whether it can still be on time if it gets its place in `wait`.
    fn on_time(&self, now: Instant, wait: Span) -> bool {
        now + wait + FIRST_EVENT <= self.since + self.want.latency_target
    }

    /// Its turn: the smaller goes first.
    fn turn(&self) -> Instant {
        self.since + Span::from_micros(RANK_STEP.as_micros() * u64::from(self.want.priority))
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Ticket, Waiter>,
}

impl Queue {
    /// Takes a request in.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.insert(waiter.ticket, waiter);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(&ticket)
    }

    /// Takes all requests out.
    pub fn clear(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiters).into_values().collect()
    }

    /// Takes out those that a place would not help any more.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        let over = |waiter: &Waiter| waiter.until() <= now;
        let gone: Vec<Ticket> =
            self.waiters.values().filter(|waiter| over(waiter)).map(|w| w.ticket).collect();
        gone.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// A request by its key.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiter> {
        self.waiters.get(&ticket)
    }

    /// Keys in the order in which they get places: those that can be on time
    /// before those that cannot, as a place spent on a late one makes the
    /// next one late too. `wait` says how long each has to wait at least.
    pub fn order(&self, now: Instant, wait: impl Fn(&AdapterName) -> Span) -> Vec<Ticket> {
        let turn = |waiter: &Waiter| {
            let late = !waiter.on_time(now, wait(&waiter.want.name));
            (late, waiter.turn(), waiter.ticket)
        };
        let mut order: Vec<_> = self.waiters.values().map(turn).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    /// Adapters that are waited for, in the order in which to load them: those
    /// that most wait for first, as one load serves them all; among equals in
    /// the order of `tickets`.
    pub fn names(&self, tickets: &[Ticket]) -> Vec<AdapterName> {
        let mut counts: BTreeMap<&AdapterName, (usize, usize)> = BTreeMap::new();
        let waiters = tickets.iter().filter_map(|ticket| self.get(*ticket));
        for (turn, waiter) in waiters.enumerate() {
            counts.entry(&waiter.want.name).or_insert((0, turn)).0 += 1;
        }
        let mut names: Vec<_> = counts.into_iter().collect();
        names.sort_unstable_by_key(|&(_, (count, turn))| (std::cmp::Reverse(count), turn));
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Adapters that are waited for, each once.
    pub fn wanted(&self) -> BTreeSet<&AdapterName> {
        self.waiters.values().map(|waiter| &waiter.want.name).collect()
    }

    /// Prompt tokens of all that wait.
    pub fn tokens(&self) -> u64 {
        self.waiters.values().map(|waiter| waiter.want.size.prompt).sum()
    }

    /// Prompt tokens of those that go before a new request of `rank`.
    pub fn tokens_before(&self, rank: u8) -> u64 {
        let before = self.waiters.values().filter(|waiter| waiter.want.priority <= rank);
        before.map(|waiter| waiter.want.size.prompt).sum()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
