//! How many copies of an adapter its demand is worth.

use std::collections::BTreeMap;

use crate::{
    id::VersionId,
    slot::heat::Heat,
    time::{Instant, Span},
};

/// A version whose demand fell below this is forgotten.
const FORGOTTEN: f64 = 0.001;

/// Standard deviations by which demand must exceed what a copy takes.
const DEVIATIONS: f64 = 2.0;

/// Requests for each upstream below which their parts say nothing.
const SAMPLE: f64 = 4.0;

/// Demand for one version.
#[derive(Clone, Copy, Debug)]
struct Demand {
    heat: Heat,
    /// Copies it is worth; at least 1.
    copies: u16,
}

/// Demand for all versions of one base model, as this entry sees it.
///
/// Every entry sees a sample of the same demand, so the parts of the whole
/// and the numbers that follow from them are alike everywhere.
#[derive(Debug, Default)]
pub(super) struct Copies {
    demands: BTreeMap<VersionId, Demand>,
    total: Heat,
    swept: Instant,
}

/// When copies are gained and lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rule {
    pub(super) half_life: Span,
    /// Demand that one copy takes, as a part of one upstream's mean demand.
    pub(super) fill: f64,
    /// Part of `fill` below which demand must fall before a copy goes.
    pub(super) keep: f64,
}

impl Copies {
    /// Counts one request for `version` and gives its number of copies among
    /// `upstreams`.
    pub(super) fn touch(
        &mut self,
        now: Instant,
        version: VersionId,
        upstreams: usize,
        rule: Rule,
    ) -> usize {
        self.sweep(now, rule);
        self.total.touch(now, rule.half_life);
        let fresh = Demand { heat: Heat::default(), copies: 1 };
        let demand = self.demands.entry(version).or_insert(fresh);
        demand.heat.touch(now, rule.half_life);
        let own = demand.heat.value(now, rule.half_life);
        let all = self.total.value(now, rule.half_life);
        // Few requests prove no demand: the square root of a count is its
        // standard deviation, and a small whole has large parts by chance.
        let sure = (own - DEVIATIONS * own.sqrt()).max(0.0);
        let most = upstreams.max(1) as f64;
        let one = all.max(SAMPLE * most) * rule.fill / most;
        let grown = sure / one;
        let kept = own / (one * rule.keep);
        let copies = f64::from(demand.copies).clamp(grown.ceil(), kept.ceil().max(grown.ceil()));
        demand.copies = copies.clamp(1.0, most) as u16;
        usize::from(demand.copies)
    }

    fn sweep(&mut self, now: Instant, rule: Rule) {
        if now.since(self.swept) < rule.half_life {
            return;
        }
        self.swept = now;
        self.demands.retain(|_, demand| demand.heat.value(now, rule.half_life) > FORGOTTEN);
    }
}
