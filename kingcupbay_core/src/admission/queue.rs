//! Requests that wait for a permit, and the order in which they get one.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::PermitRequest,
};

use super::Ticket;

/// Waiting time that one step of priority is worth. A more urgent request overtakes
/// those that arrived up to this long before it. One that has waited longer goes
/// first regardless of priority, so no priority is starved.
const PRIORITY_STEP: Span = Span::from_millis(300);

/// Expected time from a permit to the first event, spent on prefill.
const PREFILL_TIME: Span = Span::from_millis(150);

/// A request that waits for a permit.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Identifies the permit request.
    pub ticket: Ticket,
    /// The permit request.
    pub request: PermitRequest,
    /// Arrival time.
    queued_at: Instant,
}

impl Waiter {
    /// Creates a waiter that arrived at `now`.
    pub fn new(now: Instant, ticket: Ticket, request: PermitRequest) -> Waiter {
        Waiter { ticket, request, queued_at: now }
    }

    /// Returns the time after which a permit is no longer useful.
    fn deadline(&self) -> Instant {
        self.queued_at + self.request.max_wait
    }

    /// Whether it can meet its latency target with a permit granted after `wait`.
    fn can_meet_target(&self, now: Instant, wait: Span) -> bool {
        now + wait + PREFILL_TIME <= self.queued_at + self.request.latency_target
    }

    /// Returns its position in the order of priority; the earlier time goes first.
    fn priority_time(&self) -> Instant {
        self.queued_at
            + Span::from_micros(PRIORITY_STEP.as_micros() * u64::from(self.request.priority))
    }
}

/// The requests that wait for a permit.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Ticket, Waiter>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.insert(waiter.ticket, waiter);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(&ticket)
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiters).into_values().collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        let expired = |waiter: &Waiter| waiter.deadline() <= now;
        let tickets: Vec<Ticket> =
            self.waiters.values().filter(|waiter| expired(waiter)).map(|w| w.ticket).collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// Returns a request by its ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiter> {
        self.waiters.get(&ticket)
    }

    /// Returns the tickets in the order in which they get permits. Requests that can
    /// meet their latency target go before those that cannot, as a permit spent on a
    /// late request makes the next one late too. `wait` returns the shortest wait
    /// for an adapter.
    pub fn grant_order(&self, now: Instant, wait: impl Fn(&AdapterName) -> Span) -> Vec<Ticket> {
        let sort_key = |waiter: &Waiter| {
            let late = !waiter.can_meet_target(now, wait(&waiter.request.name));
            (late, waiter.priority_time(), waiter.ticket)
        };
        let mut order: Vec<_> = self.waiters.values().map(sort_key).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    /// Returns the adapters that requests wait for in the order in which to load
    /// them. The one with the most waiting requests goes first, as one load serves
    /// them all; ties follow the order of `tickets`.
    pub fn load_order(&self, tickets: &[Ticket]) -> Vec<AdapterName> {
        let mut counts: BTreeMap<&AdapterName, (usize, usize)> = BTreeMap::new();
        let waiters = tickets.iter().filter_map(|ticket| self.get(*ticket));
        for (turn, waiter) in waiters.enumerate() {
            counts.entry(&waiter.request.name).or_insert((0, turn)).0 += 1;
        }
        let mut names: Vec<_> = counts.into_iter().collect();
        names.sort_unstable_by_key(|&(_, (count, turn))| (std::cmp::Reverse(count), turn));
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the adapters that requests wait for, without duplicates.
    pub fn awaited_adapters(&self) -> BTreeSet<&AdapterName> {
        self.waiters.values().map(|waiter| &waiter.request.name).collect()
    }

    /// Returns the prompt tokens of all waiting requests.
    pub fn prompt_tokens(&self) -> u64 {
        self.waiters.values().map(|waiter| waiter.request.size.prompt).sum()
    }

    /// Returns the prompt tokens of requests of this `priority` or a more urgent one.
    pub fn prompt_tokens_before(&self, priority: u8) -> u64 {
        let before = self.waiters.values().filter(|waiter| waiter.request.priority <= priority);
        before.map(|waiter| waiter.request.size.prompt).sum()
    }

    /// Returns the number of requests of this `priority` or a more urgent one.
    pub fn len_before(&self, priority: u8) -> usize {
        self.waiters.values().filter(|waiter| waiter.request.priority <= priority).count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
