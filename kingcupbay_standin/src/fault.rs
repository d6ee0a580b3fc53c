//! Faults that a test switches on and off.
//!
//! A [`Rule`] stays in force until it is cleared or has hit the number of
//! times it allows. Nothing here is random.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::changes::Changes;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The request has no effect and is answered 503.
    Outage,
    /// The port refuses connections, and open ones are reset, until cleared;
    /// `path`, `skip` and `times` do not apply. It can be cleared through the
    /// handle or on the control address.
    Refuse,
    /// The request takes effect after this delay, even if its caller has
    /// given up by then.
    Slow {
        /// Milliseconds.
        millis: u64,
    },
    /// The request takes effect at once and is answered after this delay.
    LateAnswer {
        /// Milliseconds.
        millis: u64,
    },
    /// The request takes effect, and its connection is closed without an answer.
    LoseAnswer,
    /// The request takes effect and is answered 500.
    ErrorAnswer,
    /// The request has no effect, and its connection is closed without an answer.
    Reset,
    /// The request has no effect and is never answered; its connection stays open.
    Silent,
    /// Engine: a load takes its usual time and then fails.
    FailLoads,
    /// Engine: a stream sends this many tokens and then nothing more; its
    /// connection stays open.
    StallStreams {
        /// Tokens sent before.
        tokens: u32,
    },
    /// Engine: a stream's connection is closed after this many tokens.
    CutStreams {
        /// Tokens sent before.
        tokens: u32,
    },
    /// Engine: `/load` shows the state as it was this long ago.
    LagReports {
        /// Milliseconds.
        millis: u64,
    },
    /// Engine: `/events` shows an event only this long after it happened.
    LagEvents {
        /// Milliseconds.
        millis: u64,
    },
    /// Engine: an event is numbered but never shown.
    LoseEvents,
    /// Upstream engine: a request to copy a run's memory is answered with this status. It
    /// has no effect, except that with 503 the last request stops the run first.
    RefuseMoves {
        /// HTTP status.
        status: u16,
        /// Whether requests that stop the run pass.
        not_last: bool,
    },
    /// Upstream engine: a copy lacks a part of the events made so far.
    PartialCopies {
        /// Share of the events in the copy.
        percent: u8,
    },
}

/// A fault, and which requests, loads, streams, reports or events it hits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rule {
    /// The fault to cause.
    pub fault: Fault,
    /// Path prefix of the requests to hit; all paths when absent.
    #[serde(default)]
    pub path: Option<String>,
    /// Number of matches to let pass first.
    #[serde(default)]
    pub skip: u32,
    /// Number of matches to hit; all until cleared when absent.
    #[serde(default)]
    pub times: Option<u32>,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultOrder {
    /// Adds a rule; answered with its [`RuleId`].
    Set(Rule),
    /// Clears one rule.
    Clear(RuleId),
    /// Clears all rules.
    ClearAll,
    /// Freezes the connections open now permanently: nothing more is read or
    /// written on them, and they are not closed. New connections work.
    Freeze,
    /// Resets the connections open now; an engine also restarts empty.
    Restart,
}

/// Id of a rule, valid until the rule is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleId(pub u64);

/// A rule that is in force or used up, with its counts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleStatus {
    /// The rule.
    pub rule: Rule,
    /// Requests, loads, streams, reports or events that matched, including
    /// those that it let pass.
    pub seen: u32,
    /// Matches that it hit.
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
    /// Creates a rule that hits everything until it is cleared.
    pub fn new(fault: Fault) -> Rule {
        Rule { fault, path: None, skip: 0, times: None }
    }

    /// Limits the rule to requests whose path starts with `path`.
    pub fn path(mut self, path: &str) -> Rule {
        self.path = Some(path.to_owned());
        self
    }

    /// Lets the first `skip` matches pass.
    pub fn skip(mut self, skip: u32) -> Rule {
        self.skip = skip;
        self
    }

    /// Limits the rule to `times` hits.
    pub fn times(mut self, times: u32) -> Rule {
        self.times = Some(times);
        self
    }
}

impl RuleStatus {
    /// Counts a match and returns whether the rule hits it.
    fn count_match(&mut self) -> bool {
        self.seen = self.seen.saturating_add(1);
        let used_up = self.rule.times.is_some_and(|times| self.hits >= times);
        let hit = self.seen > self.rule.skip && !used_up;
        self.hits += u32::from(hit);
        hit
    }
}

impl Faults {
    /// Returns the hits of a rule, 0 when it is cleared.
    pub fn hits(&self, id: RuleId) -> u32 {
        self.rules.get(&id.0).map_or(0, |status| status.hits)
    }
}

/// The fault rules of one server.
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

    /// Returns whether the port refuses connections.
    pub(crate) fn refuses(&self) -> bool {
        self.faults.rules.values().any(|status| status.rule.fault == Fault::Refuse)
    }

    /// Counts a match on `path` for each rule whose fault `pick` selects.
    /// Returns the values from `pick` of the rules that hit.
    pub(crate) fn hit<T>(&mut self, path: &str, pick: impl Fn(Fault) -> Option<T>) -> Vec<T> {
        let mut hits = Vec::new();
        for status in self.faults.rules.values_mut() {
            let on_path = status.rule.path.as_deref().is_none_or(|prefix| path.starts_with(prefix));
            let Some(picked) = pick(status.rule.fault).filter(|_| on_path) else {
                continue;
            };
            if status.count_match() {
                hits.push(picked);
            }
        }
        self.changes.notify();
        hits
    }
}
