//! Grants permits, refuses waiting requests, and plans the next order to the engine.

use crate::{
    deployment::model::AdapterName,
    time::{Instant, Span},
    wire::sidecar::{Refusal, Verdict},
};

use super::{
    Action, Admission, MIN_RETRY, Ticket, order::Order, orders, refuse, report::Report,
    shares::TURN_TIME,
};

/// Percentage of the engine's memory that permits may reserve. The rest is left for
/// the engine's rounding of each request up to whole blocks.
const USABLE_MEMORY_PERCENT: u64 = 95;

impl Admission {
    /// Refuses expired and unservable requests, grants permits, and plans the next
    /// order.
    pub(super) fn schedule(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for waiter in self.queue.expire(now) {
            let after = self.estimate_wait(now, &waiter.request).max(MIN_RETRY);
            actions.push(refuse(waiter.ticket, Refusal::Busy, after));
        }
        self.refuse_unservable(&mut actions);
        let order = self.grant_order(now);
        self.grant_permits(now, &order, &mut actions);
        let Some(report) = self.report.as_ref().filter(|_| !self.evacuated) else {
            return actions;
        };
        let Some(fencing) = self.fencing else { return actions };
        if !self.limit.may_send(now) || self.rest(now) > Span::ZERO {
            return actions;
        }
        let used: Vec<&AdapterName> = self.running.adapters().collect();
        let input = orders::PlanInput {
            spec: &self.spec,
            report,
            newest: &self.newest_versions,
            used: &used,
            awaited: &self.queue.load_order(&order),
            loads: &self.loads,
        };
        if let Some((name, target)) = self.orders.plan(now, &input) {
            self.limit.on_send(now);
            let (holder, after) = (self.holder.clone(), Some(report.orders));
            actions.push(Action::Order(Order { name, target, after, holder, fencing }));
        }
        actions
    }

    /// Refuses waiting requests that are less urgent than a new one of `priority` and cannot
    /// get a permit within their `max_wait` any more, the least urgent first. The caller has
    /// more time left for a retry than after waiting in vain.
    pub(super) fn refuse_hopeless(&mut self, now: Instant, priority: u8) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.queue.priorities().last().is_some_and(|&last| last > priority) {
            let Some(ticket) = self.hopeless_waiter(now, priority) else { break };
            let after = self.drain_time().max(MIN_RETRY);
            self.queue.remove(ticket);
            actions.push(refuse(ticket, Refusal::Busy, after));
        }
        actions
    }

    /// Returns the least urgent of the waiting requests below `priority` that would get
    /// their permits too late, the last one in order if there are several.
    fn hopeless_waiter(&self, now: Instant, priority: u8) -> Option<Ticket> {
        let burst = self.prefill_limit().burst_tokens();
        let mut ahead = self.running.unread_tokens();
        let mut hopeless = None;
        for ticket in self.grant_order(now) {
            let Some(waiter) = self.queue.get(ticket) else { continue };
            let wait = self.prefill_wait(ahead.saturating_sub(burst));
            let rank = Some((waiter.request.priority, ahead, ticket));
            if waiter.request.priority > priority && now + wait > waiter.deadline() {
                hopeless = hopeless.max(rank);
            }
            ahead += waiter.prefill_tokens();
        }
        hopeless.map(|(.., ticket)| ticket)
    }

    /// Returns the time until the queue has drained.
    fn drain_time(&self) -> Span {
        self.prefill_wait(self.running.unread_tokens() + self.queue.prompt_tokens())
    }

    /// Refuses all waiting requests if the engine is gone, leaving or evacuated, as
    /// another engine may still serve them in time.
    fn refuse_unservable(&mut self, actions: &mut Vec<Action>) {
        let why = match &self.report {
            _ if self.evacuated => Refusal::Evacuated,
            None => Refusal::Unready,
            Some(report) if report.leaving => Refusal::Leaving,
            Some(_) => return,
        };
        for waiter in self.queue.clear() {
            actions.push(refuse(waiter.ticket, why, MIN_RETRY));
        }
    }

    /// Returns the waiting requests in the order in which they get permits. One
    /// whose adapter is not loaded has to wait for the load first.
    fn grant_order(&self, now: Instant) -> Vec<Ticket> {
        let turn = self.speed.prefill_tokens_in(TURN_TIME);
        self.queue.grant_order(now, turn, |name| {
            let resident =
                self.report.as_ref().is_some_and(|report| report.version(name).is_some());
            if resident { Span::ZERO } else { self.loads.wait_time(now, name, 0) }
        })
    }

    fn grant_permits(&mut self, now: Instant, order: &[Ticket], actions: &mut Vec<Action>) {
        let Some(report) = &self.report else { return };
        let memory = self.usable_memory(report);
        let limit = self.prefill_limit();
        self.recent_grants.expire(now, self.event_gap());
        let mut reserved = self.running.reserved_tokens();
        let mut free_slots = (self.spec.slots as usize).saturating_sub(self.running.len());
        for &ticket in order {
            if free_slots == 0 {
                return;
            }
            let Some(waiter) = self.queue.get(ticket) else { continue };
            let request = &waiter.request;
            let Some(version) = report.version(&request.name) else { continue };
            if self.newest_versions.get(&request.name).is_some_and(|&newest| version < newest) {
                continue;
            }
            if !self.cold.may_grant(now) || !self.limit.may_send(now) {
                return;
            }
            // Smaller requests do not overtake a large one, which would starve it.
            if reserved + request.size.total() > memory {
                return;
            }
            if !self.fits_prefill(limit, waiter) {
                self.running.on_prefill_delayed();
                return;
            }
            let version = request.name.adapter.is_some().then_some(version);
            free_slots -= 1;
            reserved += request.size.total();
            self.recent_grants.on_grant(now, waiter.prefill_tokens());
            self.cold.on_grant(now);
            self.limit.on_send(now);
            self.running.on_grant(now, request);
            self.queue.grant(now, ticket);
            actions.push(Action::Answer(ticket, Verdict::Granted { version }));
        }
    }

    pub(super) fn usable_memory(&self, report: &Report) -> u64 {
        let memory = if report.memory > 0 { report.memory } else { self.spec.kv_tokens };
        memory * USABLE_MEMORY_PERCENT / 100
    }
}
