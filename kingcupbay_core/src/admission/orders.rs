//! Which order an engine gets next.
//!
//! One order is in flight at a time, and after its reply a fresh report comes
//! before the next: the report alone says what the engine holds, so no state
//! of an order is kept that a lost answer could falsify.
//!
//! An older version of an adapter is unloaded and the newer one loaded, instead
//! of replaced in one order: a replacement keeps the engine from taking any
//! other order for as long as it lasts.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::model::{AdapterName, Engine},
    time::{Instant, Span},
};

use super::{
    loads::LoadLimiter,
    order::{Reply, Target},
    report::Report,
};

/// An adapter whose older version was used this lately is loaded in the newer
/// one before anybody asks for it, so that nobody waits for the load.
const RECENT: Span = Span::from_secs(10);

/// How long a copy is of use that an entry asked for; one that is still needed is
/// asked for again.
const COPY: Span = Span::from_secs(2);

/// Pause before an order that the engine refused is tried again.
const REFUSED: Span = Span::from_secs(1);

/// An order without an answer may still be carried out this much later. The
/// platform says "seconds"; the latest that was seen came after 12.
const LATE: Span = Span::from_secs(20);

/// Orders load the newest version there is.
const LOAD: Target = Target::Load { version: None };

/// What an order is decided from.
pub(super) struct View<'a> {
    pub(super) spec: &'a Engine,
    pub(super) report: &'a Report,
    pub(super) newest: &'a BTreeMap<AdapterName, u32>,
    /// Adapters of running requests.
    pub(super) used: &'a [&'a AdapterName],
    /// Adapters that requests wait for, in the order of their turns.
    pub(super) wanted: &'a [AdapterName],
    pub(super) loads: &'a LoadLimiter,
}

/// The order in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Flight {
    /// No order, or a report has shown what became of the last.
    None,
    /// The engine has not replied.
    Sent {
        name: AdapterName,
        target: Target,
        /// Orders that the engine had accepted before.
        after: u64,
    },
    /// It has; a report is due.
    Replied,
}

/// A load that was never answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unanswered {
    /// Orders that the engine must have accepted before it.
    after: u64,
    sent: Instant,
}

/// What was ordered, used and refused lately.
#[derive(Debug)]
pub(super) struct Orders {
    flight: Flight,
    /// When an adapter was last asked for or run.
    uses: BTreeMap<AdapterName, Instant>,
    /// Until when an order that the engine refused is not repeated.
    refused: BTreeMap<AdapterName, Instant>,
    /// Copies that entries asked for, and when.
    copies: BTreeMap<AdapterName, Instant>,
    /// Older versions of these were unloaded; the newer ones are due.
    renewed: BTreeSet<AdapterName>,
    /// LoadLimiter without an answer since the engine started.
    unanswered: Vec<Unanswered>,
    /// Those from before it did.
    stray: Vec<Unanswered>,
}

impl Default for Orders {
    fn default() -> Orders {
        Orders {
            flight: Flight::None,
            uses: BTreeMap::new(),
            refused: BTreeMap::new(),
            copies: BTreeMap::new(),
            renewed: BTreeSet::new(),
            unanswered: Vec::new(),
            stray: Vec::new(),
        }
    }
}

impl Orders {
    pub(super) fn on_use(&mut self, now: Instant, name: &AdapterName) {
        self.uses.insert(name.clone(), now);
    }

    /// An entry asks for a copy. It counts as used, or it would be the first to
    /// make room again.
    pub(super) fn on_replica_request(&mut self, now: Instant, name: AdapterName) {
        self.uses.insert(name.clone(), now);
        self.copies.insert(name, now);
    }

    /// Takes the engine's reply; gives the name whose load has begun.
    pub(super) fn on_reply(&mut self, now: Instant, reply: Reply) -> Option<AdapterName> {
        let before = std::mem::replace(&mut self.flight, Flight::Replied);
        let Flight::Sent { name, target, after } = before else { return None };
        match (reply, target) {
            (Reply::Unknown, Target::Load { .. }) => {
                self.unanswered.push(Unanswered { after, sent: now });
                None
            }
            (Reply::Refused | Reply::Fenced, _) => {
                self.refused.insert(name, now + REFUSED);
                None
            }
            (Reply::Accepted, Target::Load { .. }) => Some(name),
            _ => None,
        }
    }

    pub(super) fn on_report(&mut self) {
        if self.flight == Flight::Replied {
            self.flight = Flight::None;
        }
    }

    /// The engine came back empty and counts its orders anew; adapters are loaded
    /// again as they are asked for. Its counts hold late orders back no more: one
    /// from before is carried out when the count happens to be the one that it
    /// names.
    pub(super) fn on_restart(&mut self, now: Instant) {
        self.renewed.clear();
        self.copies.clear();
        if let Flight::Sent { target: Target::Load { .. }, after, .. } = self.flight {
            self.stray.push(Unanswered { after, sent: now });
        }
        self.stray.append(&mut self.unanswered);
    }

    /// Places that late loads from before a restart may still take, each of which
    /// can be carried out at one count of orders only. Without them such a load
    /// filled an engine beyond its places, and it crashed.
    fn kept_free(&mut self, now: Instant, orders: u64) -> usize {
        let may_come = |load: &Unanswered| now.since(load.sent) < LATE && load.after >= orders;
        self.stray.retain(may_come);
        self.unanswered.retain(may_come);
        self.stray.iter().map(|load| load.after).collect::<BTreeSet<u64>>().len()
    }

    /// Whether a reply has come and no report since.
    pub(super) fn unsettled(&self) -> bool {
        self.flight == Flight::Replied
    }

    /// The next order, if one is due.
    pub(super) fn plan(&mut self, now: Instant, view: &View<'_>) -> Option<(AdapterName, Target)> {
        if self.flight != Flight::None || view.report.leaving || view.report.busy {
            return None;
        }
        self.refused.retain(|_, until| *until > now);
        let held = |name: &AdapterName| view.report.version(name).is_some();
        self.renewed.retain(|name| !held(name) && !view.report.is_pending(name));
        self.copies.retain(|name, asked| {
            !held(name) && !view.report.is_pending(name) && now.since(*asked) < COPY
        });
        let kept = self.kept_free(now, view.report.orders);
        let (name, target) = self
            .base(view)
            .or_else(|| self.outdated(now, view))
            .or_else(|| self.missing(now, view, kept))?;
        self.flight = Flight::Sent { name: name.clone(), target, after: view.report.orders };
        Some((name, target))
    }

    /// A restarted engine comes back without its base model.
    fn base(&self, view: &View<'_>) -> Option<(AdapterName, Target)> {
        if !view.report.resident.is_empty() {
            return None;
        }
        let fits = |mb: f64| view.spec.weights_mb <= 0.0 || mb <= view.spec.weights_mb;
        let (model, _) = view.spec.models.iter().find(|(_, model)| fits(model.weights_mb))?;
        let name = AdapterName { model: model.clone(), adapter: None };
        self.allowed(&name).then_some((name, LOAD))
    }

    /// An older version that nobody uses any more.
    fn outdated(&mut self, now: Instant, view: &View<'_>) -> Option<(AdapterName, Target)> {
        let old = |name: &AdapterName, held: u32| {
            view.newest.get(name).is_some_and(|&newest| held < newest)
        };
        let unused = |name: &AdapterName| !view.used.contains(&name);
        let (name, _) = view
            .report
            .adapters()
            .find(|(name, held)| old(name, *held) && unused(name) && self.allowed(name))?;
        if self.uses.get(&name).is_some_and(|&used| now.since(used) < RECENT) {
            self.renewed.insert(name.clone());
        }
        Some((name, Target::Unload))
    }

    /// An adapter that is waited for or due, or the room for it. Copies go first:
    /// one serves many, where what is waited for mostly serves one.
    fn missing(&self, now: Instant, view: &View<'_>, kept: usize) -> Option<(AdapterName, Target)> {
        let report = view.report;
        let absent = |name: &&AdapterName| {
            name.adapter.is_some()
                && report.version(name).is_none()
                && report.has_model(name)
                && !report.is_pending(name)
                && self.allowed(name)
                && view.loads.may_begin(now, name, report.pending.len())
        };
        let room = report.places_taken() + kept < view.spec.places as usize;
        if let Some(name) = self.copies.keys().chain(view.wanted).find(absent) {
            return match room {
                true => Some((name.clone(), LOAD)),
                false => self.victim(view).map(|victim| (victim, Target::Unload)),
            };
        }
        let due = self.renewed.iter().find(absent).filter(|_| room)?;
        Some((due.clone(), LOAD))
    }

    /// The adapter that was not used for the longest time and that nobody
    /// uses or waits for.
    fn victim(&self, view: &View<'_>) -> Option<AdapterName> {
        let free = |name: &AdapterName| {
            !view.used.contains(&name)
                && !view.wanted.contains(name)
                && !view.report.is_pending(name)
                && self.allowed(name)
        };
        let names = view.report.adapters().map(|(name, _)| name).filter(free);
        names.min_by_key(|name| self.uses.get(name).copied().unwrap_or_default())
    }

    fn allowed(&self, name: &AdapterName) -> bool {
        !self.refused.contains_key(name)
    }
}
