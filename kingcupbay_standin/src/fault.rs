//! Faults that a test switches on and off by request.
//!
//! A [`Rule`] stays in force until it is cleared or has hit as often as it
//! says. Nothing here happens by chance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::changes::Changes;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The request has no effect and is answered 503.
    Outage,
    /// The port refuses connections, and open ones are reset, until cleared;
    /// `path`, `skip` and `times` do not apply. Cleared by the handle or on
    /// the control address.
    Refuse,
    /// The request takes effect this much later, also when its caller has
    /// given up by then.
    Slow {
        /// Milliseconds.
        millis: u64,
    },
    /// The request takes effect at once and is answered this much later.
    LateAnswer {
        /// Milliseconds.
        millis: u64,
    },
    /// The request takes effect, and its connection ends without an answer.
    LoseAnswer,
    /// The request takes effect and is answered 500.
    ErrorAnswer,
    /// The request has no effect, and its connection ends without an answer.
    Reset,
    /// The request has no effect and is never answered; its connection stays.
    Silent,
    /// Engine: a load takes its time and then fails.
    FailLoads,
    /// Engine: a stream sends this many tokens and then nothing more; its
    /// connection stays.
    StallStreams {
        /// Tokens sent before.
        tokens: u32,
    },
    /// Engine: a stream's connection ends after this many tokens.
    CutStreams {
        /// Tokens sent before.
        tokens: u32,
    },
    /// Engine: `/load` shows the state this long ago.
    LagReports {
        /// Milliseconds.
        millis: u64,
    },
    /// Engine: `/events` shows an event this long after it happened.
    LagEvents {
        /// Milliseconds.
        millis: u64,
    },
    /// Engine: an event takes its number but is never shown.
    LoseEvents,
}

/// A fault and the requests, loads, streams, reports or events it hits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rule {
    /// What goes wrong.
    pub fault: Fault,
    /// Hits only requests whose path starts with this.
    #[serde(default)]
    pub path: Option<String>,
    /// Lets this many pass first.
    #[serde(default)]
    pub skip: u32,
    /// Hits this many; all until cleared when absent.
    #[serde(default)]
    pub times: Option<u32>,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultOrder {
    /// Puts a rule in force; answered with its [`RuleId`].
    Set(Rule),
    /// Clears one rule.
    Clear(RuleId),
    /// Clears all rules.
    ClearAll,
    /// Freezes the connections open now for good: nothing more is read or
    /// written on them, and they are not closed. New ones work.
    Freeze,
    /// Resets the connections open now; an engine also restarts empty.
    Restart,
}

/// Names a rule until it is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleId(pub u64);

/// A rule in force, or spent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleStatus {
    /// The rule.
    pub rule: Rule,
    /// Requests, loads, streams, reports or events it applied to, also those
    /// it let pass.
    pub seen: u32,
    /// Those it hit.
    pub hits: u32,
}

/// Answer to `GET /fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Faults {
    /// The rules that are not cleared.
    pub rules: BTreeMap<u64, RuleStatus>,
}

impl Rule {
    /// A rule that hits everything until it is cleared.
    pub fn new(fault: Fault) -> Rule {
        Rule { fault, path: None, skip: 0, times: None }
    }

    /// Only requests whose path starts with `path`.
    pub fn path(mut self, path: &str) -> Rule {
        self.path = Some(path.to_owned());
        self
    }

    /// Not the first `skip`.
    pub fn skip(mut self, skip: u32) -> Rule {
        self.skip = skip;
        self
    }

    /// Only `times` of them.
    pub fn times(mut self, times: u32) -> Rule {
        self.times = Some(times);
        self
    }
}

impl RuleStatus {
    fn hit(&mut self) -> bool {
        self.seen = self.seen.saturating_add(1);
        let spent = self.rule.times.is_some_and(|times| self.hits >= times);
        let hit = self.seen > self.rule.skip && !spent;
        self.hits += u32::from(hit);
        hit
    }
}

impl Faults {
    /// Hits of one rule, 0 when it is cleared.
    pub fn hits(&self, id: RuleId) -> u32 {
        self.rules.get(&id.0).map_or(0, |status| status.hits)
    }
}

/// The rules of one server.
#[derive(Default)]
pub(crate) struct FaultRules {
    next: u64,
    faults: Faults,
    changes: Changes,
}

impl FaultRules {
    pub(crate) fn add(&mut self, rule: Rule) -> RuleId {
        let id = self.next;
        self.next += 1;
        self.faults.rules.insert(id, RuleStatus { rule, seen: 0, hits: 0 });
        RuleId(id)
    }

    pub(crate) fn clear(&mut self, id: RuleId) {
        self.faults.rules.remove(&id.0);
    }

    pub(crate) fn clear_all(&mut self) {
        self.faults.rules.clear();
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Whether the port refuses connections.
    pub(crate) fn refuses(&self) -> bool {
        self.faults.rules.values().any(|status| status.rule.fault == Fault::Refuse)
    }

    /// Counts something that happens on `path` against the rules whose fault
    /// `pick` knows; what `pick` made of those that hit it.
    pub(crate) fn hit<T>(&mut self, path: &str, pick: impl Fn(Fault) -> Option<T>) -> Vec<T> {
        let mut hits = Vec::new();
        for status in self.faults.rules.values_mut() {
            let on_path = status.rule.path.as_deref().is_none_or(|prefix| path.starts_with(prefix));
            let Some(picked) = pick(status.rule.fault).filter(|_| on_path) else {
                continue;
            };
            if status.hit() {
                hits.push(picked);
            }
        }
        self.changes.notify();
        hits
    }
}
