//! Requests that wait for a permit, and the order in which they get one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::PermitRequest,
};

use super::{
    Ticket,
    shares::{self, Shares, Usage},
};

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
    pub(super) fn deadline(&self) -> Instant {
        self.queued_at + self.request.max_wait
    }

    /// Returns its organisation. Requests that name none count as one organisation.
    fn organisation(&self) -> &str {
        self.request.organisation.as_deref().unwrap_or_default()
    }

    /// Whether it can meet its latency target with a permit granted after `wait`.
    fn can_meet_target(&self, now: Instant, wait: Span) -> bool {
        now + wait + PREFILL_TIME <= self.queued_at + self.request.latency_target
    }

    /// Returns the prompt tokens that the engine prefills for it.
    pub fn prefill_tokens(&self) -> u64 {
        if self.request.transferred { 0 } else { self.request.size.prompt }
    }
}

/// The requests that wait for a permit.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Ticket, Waiter>,
    shares: Shares,
    usage: Usage,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) {
        self.shares.retain(&self.priorities());
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

    /// Removes a request that gets a permit and counts its tokens.
    pub fn grant(&mut self, now: Instant, ticket: Ticket) {
        let Some(waiter) = self.waiters.get(&ticket) else { return };
        let tokens = waiter.prefill_tokens();
        let waiting: BTreeSet<u8> = self.waiters.values().map(|w| w.request.priority).collect();
        self.shares.on_grant(&waiting, waiter.request.priority, tokens);
        self.usage.on_grant(now, waiter.organisation(), tokens);
        self.waiters.remove(&ticket);
    }

    /// Returns the tickets in the order in which they get permits. The most urgent goes
    /// first, except for the share of less urgent ones. Within a priority, requests that
    /// can meet their latency target go before those that cannot, as a permit spent on a
    /// late request makes the next one late too; then organisations take turns, once
    /// their recently granted tokens differ by `turn`. `wait` returns the shortest wait for
    /// an adapter.
    pub fn grant_order(
        &self,
        now: Instant,
        turn: u64,
        wait: impl Fn(&AdapterName) -> Span,
    ) -> Vec<Ticket> {
        let mut lanes: BTreeMap<u8, Vec<(bool, Instant, Ticket)>> = BTreeMap::new();
        for waiter in self.waiters.values() {
            let late = !waiter.can_meet_target(now, wait(&waiter.request.name));
            let key = (late, waiter.queued_at, waiter.ticket);
            lanes.entry(waiter.request.priority).or_default().push(key);
        }
        let lanes = lanes.into_iter().map(|(priority, mut keys)| {
            keys.sort_unstable();
            let (late, in_time) = keys.into_iter().partition::<Vec<_>, _>(|(late, ..)| *late);
            // Tokens of those in time count in the turns of the late ones.
            let mut usage = self.usage.current(now);
            let mut lane = self.take_turns(&in_time, turn, &mut usage);
            lane.extend(self.take_turns(&late, turn, &mut usage));
            (priority, lane)
        });
        self.shares.merge(lanes.collect())
    }

    /// Returns requests, sorted by arrival, in the order of their organisations' turns, with
    /// their prompt tokens.
    fn take_turns(
        &self,
        keys: &[(bool, Instant, Ticket)],
        turn: u64,
        usage: &mut BTreeMap<String, u64>,
    ) -> VecDeque<(Ticket, u64)> {
        let waiters = keys.iter().filter_map(|(.., ticket)| self.get(*ticket));
        let mut lines: BTreeMap<&str, VecDeque<&Waiter>> = BTreeMap::new();
        for waiter in waiters {
            lines.entry(waiter.organisation()).or_default().push_back(waiter);
        }
        let mut turns = VecDeque::new();
        while let Some(name) = lines
            .iter()
            .filter_map(|(name, line)| Some((*name, line.front()?)))
            .min_by_key(|(name, first)| {
                (
                    usage.get(*name).copied().unwrap_or_default() / turn.max(1),
                    first.queued_at,
                    first.ticket,
                )
            })
            .map(|(name, _)| name)
        {
            let Some(waiter) = lines.get_mut(name).and_then(VecDeque::pop_front) else { break };
            let tokens = waiter.prefill_tokens();
            *usage.entry(name.to_owned()).or_default() += tokens;
            turns.push_back((waiter.ticket, tokens));
        }
        turns
    }

    /// Returns the waiting priorities, most urgent first.
    pub(super) fn priorities(&self) -> BTreeSet<u8> {
        self.waiters.values().map(|waiter| waiter.request.priority).collect()
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
        self.waiters.values().map(Waiter::prefill_tokens).sum()
    }

    /// Returns the prompt tokens that get permits before a new request of this `priority`:
    /// those of requests at least as urgent, and the share of less urgent ones meanwhile.
    pub fn prompt_tokens_before(&self, priority: u8) -> u64 {
        let (before, after): (Vec<&Waiter>, Vec<&Waiter>) =
            self.waiters.values().partition(|waiter| waiter.request.priority <= priority);
        let sum = |waiters: &[&Waiter]| waiters.iter().map(|w| w.prefill_tokens()).sum::<u64>();
        let before = sum(&before);
        before + sum(&after).min(shares::share_beside(before))
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
