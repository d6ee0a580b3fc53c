//! Decides which order the engine gets next.
//!
//! One order is in flight at a time, and the next one waits for a report made after
//! the reply. Only reports say what the engine holds, so a lost reply cannot make
//! the recorded state wrong.
//!
//! To update an adapter, the older version is unloaded and the newer one loaded.
//! A single replacing order would keep the engine from accepting any other order
//! until it completes.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::{AdapterName, Engine},
    time::{Instant, Span},
};

use super::{
    late_loads::LateLoads,
    loads::LoadLimiter,
    order::{Reply, Target},
    report::Report,
};

/// An adapter that was used this recently before its older version was unloaded is
/// reloaded in the newer version ahead of demand, so that no request waits for it.
const RECENT_USE: Span = Span::from_secs(10);

/// Lifetime of a replica request. Entries repeat a request that is still needed.
const REPLICA_REQUEST_TTL: Span = Span::from_secs(2);

/// Delay before an order that the engine refused is sent again.
const REFUSED_ORDER_BACKOFF: Span = Span::from_secs(1);

/// Target of all load orders: the newest version.
const LOAD_NEWEST: Target = Target::Load { version: None };

/// State that the next order is planned from.
pub(super) struct PlanInput<'a> {
    pub(super) spec: &'a Engine,
    pub(super) report: &'a Report,
    pub(super) newest: &'a BTreeMap<AdapterName, u32>,
    /// Adapters used by running requests.
    pub(super) used: &'a [&'a AdapterName],
    /// Adapters that queued requests wait for, in the order in which to load them.
    pub(super) awaited: &'a [AdapterName],
    pub(super) loads: &'a LoadLimiter,
}

/// State of the order in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum InFlight {
    /// No order, or a report has shown the effect of the last one.
    None,
    /// The engine has not replied yet.
    Sent {
        name: AdapterName,
        target: Target,
        /// The engine's order count when the order was sent.
        after: u64,
    },
    /// The engine has replied; the next report shows the effect.
    Replied,
}

/// Plans orders from recent orders, uses and refusals.
#[derive(Debug)]
pub(super) struct OrderPlanner {
    in_flight: InFlight,
    /// When each adapter was last requested or run.
    last_used: BTreeMap<AdapterName, Instant>,
    /// Earliest time at which an order that the engine refused may be sent again.
    retry_after: BTreeMap<AdapterName, Instant>,
    /// Replicas requested by entries, with the time of the request.
    replica_requests: BTreeMap<AdapterName, Instant>,
    /// Adapters whose older version was unloaded and whose newer one is to be loaded.
    updates: BTreeSet<AdapterName>,
    late_loads: LateLoads,
}

impl Default for OrderPlanner {
    fn default() -> OrderPlanner {
        OrderPlanner {
            in_flight: InFlight::None,
            last_used: BTreeMap::new(),
            retry_after: BTreeMap::new(),
            replica_requests: BTreeMap::new(),
            updates: BTreeSet::new(),
            late_loads: LateLoads::default(),
        }
    }
}

impl OrderPlanner {
    /// Records that the sidecar's process has started, at `unix` milliseconds of Unix time.
    pub(super) fn on_start(&mut self, now: Instant, unix: u64) {
        self.late_loads.on_start(now, unix);
    }

    pub(super) fn on_use(&mut self, now: Instant, name: &AdapterName) {
        self.last_used.insert(name.clone(), now);
    }

    /// Records an entry's request for a replica. It counts as a use, or the replica
    /// would be the first adapter to be evicted.
    pub(super) fn on_replica_request(&mut self, now: Instant, name: AdapterName) {
        self.last_used.insert(name.clone(), now);
        self.replica_requests.insert(name, now);
    }

    /// Applies the engine's reply; returns the adapter whose load has started.
    pub(super) fn on_reply(&mut self, now: Instant, reply: Reply) -> Option<AdapterName> {
        let previous = std::mem::replace(&mut self.in_flight, InFlight::Replied);
        let InFlight::Sent { name, target, after } = previous else { return None };
        match (reply, target) {
            (Reply::Unknown, Target::Load { .. }) => {
                self.late_loads.on_unanswered(now, after);
                None
            }
            (Reply::Refused | Reply::Fenced, _) => {
                self.retry_after.insert(name, now + REFUSED_ORDER_BACKOFF);
                None
            }
            (Reply::Accepted, Target::Load { .. }) => Some(name),
            _ => None,
        }
    }

    pub(super) fn on_report(&mut self) {
        if self.in_flight == InFlight::Replied {
            self.in_flight = InFlight::None;
        }
    }

    /// Handles a restart: the engine is empty and its order count starts again.
    /// Adapters are reloaded on demand. The order count no longer rejects late
    /// orders for good: an order from before the restart is carried out if the count
    /// reaches the value that it names.
    pub(super) fn on_restart(&mut self, now: Instant) {
        self.updates.clear();
        self.replica_requests.clear();
        let in_flight = match self.in_flight {
            InFlight::Sent { target: Target::Load { .. }, after, .. } => Some(after),
            _ => None,
        };
        self.late_loads.on_restart(now, in_flight);
    }

    /// Whether the engine has replied and no report has come since.
    pub(super) fn needs_report(&self) -> bool {
        self.in_flight == InFlight::Replied
    }

    /// Returns the next order, if one is due.
    pub(super) fn plan(
        &mut self,
        now: Instant,
        input: &PlanInput<'_>,
    ) -> Option<(AdapterName, Target)> {
        if self.in_flight != InFlight::None || input.report.leaving || input.report.busy {
            return None;
        }
        self.retry_after.retain(|_, until| *until > now);
        let resident = |name: &AdapterName| input.report.version(name).is_some();
        self.updates.retain(|name| !resident(name) && !input.report.is_pending(name));
        self.replica_requests.retain(|name, requested_at| {
            !resident(name)
                && !input.report.is_pending(name)
                && now.since(*requested_at) < REPLICA_REQUEST_TTL
        });
        let slots = input.spec.adapter_slots as usize;
        let reserved = self.late_loads.reserved_slots(now, input.report, slots);
        let (name, target) = self
            .load_base_model(input)
            .or_else(|| self.unload_outdated(now, input))
            .or_else(|| self.free_reserved(input, reserved))
            .or_else(|| self.load_missing(now, input, reserved))?;
        self.in_flight = InFlight::Sent { name: name.clone(), target, after: input.report.orders };
        Some((name, target))
    }

    /// Loads the base model, which an engine loses when it restarts.
    fn load_base_model(&self, input: &PlanInput<'_>) -> Option<(AdapterName, Target)> {
        if !input.report.resident.is_empty() {
            return None;
        }
        let fits = |mb: f64| input.spec.weights_mb <= 0.0 || mb <= input.spec.weights_mb;
        let (model, _) = input.spec.models.iter().find(|(_, model)| fits(model.weights_mb))?;
        let name = AdapterName { model: model.clone(), adapter: None };
        self.may_order(&name).then_some((name, LOAD_NEWEST))
    }

    /// Unloads an outdated version that no running request uses.
    fn unload_outdated(
        &mut self,
        now: Instant,
        input: &PlanInput<'_>,
    ) -> Option<(AdapterName, Target)> {
        let outdated = |name: &AdapterName, version: u32| {
            input.newest.get(name).is_some_and(|&newest| version < newest)
        };
        let unused = |name: &AdapterName| !input.used.contains(&name);
        let (name, _) = input.report.adapters().find(|(name, version)| {
            outdated(name, *version) && unused(name) && self.may_order(name)
        })?;
        if self.last_used.get(&name).is_some_and(|&used| now.since(used) < RECENT_USE) {
            self.updates.insert(name.clone());
        }
        Some((name, Target::Unload))
    }

    /// Evicts an adapter if one takes a reserved slot, as when a late load was carried out.
    fn free_reserved(
        &self,
        input: &PlanInput<'_>,
        reserved: usize,
    ) -> Option<(AdapterName, Target)> {
        let used = input.report.used_adapter_slots();
        if used + reserved <= input.spec.adapter_slots as usize {
            return None;
        }
        self.eviction_candidate(input).map(|evicted| (evicted, Target::Unload))
    }

    /// Loads a missing adapter, or evicts one to make room. Requested replicas go
    /// first, as each serves many requests, while most other missing adapters serve
    /// one. Updates ahead of demand go last and evict nothing.
    fn load_missing(
        &self,
        now: Instant,
        input: &PlanInput<'_>,
        reserved: usize,
    ) -> Option<(AdapterName, Target)> {
        let report = input.report;
        let absent = |name: &&AdapterName| {
            name.adapter.is_some()
                && report.version(name).is_none()
                && report.has_model(name)
                && !report.is_pending(name)
                && self.may_order(name)
                && input.loads.may_start(now, name, report.pending.len())
        };
        let has_slot = report.used_adapter_slots() + reserved < input.spec.adapter_slots as usize;
        if let Some(name) = self.replica_requests.keys().chain(input.awaited).find(absent) {
            return match has_slot {
                true => Some((name.clone(), LOAD_NEWEST)),
                false => self.eviction_candidate(input).map(|evicted| (evicted, Target::Unload)),
            };
        }
        let update = self.updates.iter().find(absent).filter(|_| has_slot)?;
        Some((update.clone(), LOAD_NEWEST))
    }

    /// Returns the least recently used adapter that no request uses or waits for.
    fn eviction_candidate(&self, input: &PlanInput<'_>) -> Option<AdapterName> {
        let free = |name: &AdapterName| {
            !input.used.contains(&name)
                && !input.awaited.contains(name)
                && !input.report.is_pending(name)
                && self.may_order(name)
        };
        let names = input.report.adapters().map(|(name, _)| name).filter(free);
        names.min_by_key(|name| self.last_used.get(name).copied().unwrap_or_default())
    }

    fn may_order(&self, name: &AdapterName) -> bool {
        !self.retry_after.contains_key(name)
    }
}
