//! Rate limits of organisations, enforced over all entries.
//!
//! Every entry keeps a copy of each organisation's token bucket. It subtracts its
//! own admissions at once and those of the other entries when their usage reports
//! arrive, about ten times a second. While the bucket holds enough, an entry admits
//! any request.
//!
//! When the bucket holds less than the others may spend before their next reports
//! arrive (`REPORT_LAG_PERIODS`), several entries could spend the same tokens. Each
//! entry then limits itself to its share of the rate, in proportion to its demand. An
//! entry that receives no reports from another one freezes its share, and so does the
//! other one, so that the shares do not add up to more than the whole.
//!
//! While an organisation asks for more than its rate, with requests that differ in priority,
//! [`kinds`] divides the rate between them.

mod account;
mod kinds;

pub use kinds::{OverLimit, TokenRequest};

use std::collections::{BTreeMap, BTreeSet};

use account::Account;
use kinds::{Claim, Demand, Kinds};

use crate::{
    deployment::model::Organisation,
    id::Number,
    time::{Instant, Span},
    wire::usage::{OrganisationUsage, UsageReport},
};

/// Shortest time between two usage reports. Between reports, entries may spend the
/// same tokens without noticing.
const REPORT_PERIOD_MIN: Span = Span::from_millis(100);

/// Time between two usage reports, per entry of the fleet. Every entry reports to
/// every other, so the number of reports that each receives per second does not
/// depend on the size of the fleet. When the network splits as a flood of requests
/// begins, both halves spend the same tokens for a few periods.
const REPORT_PERIOD_PER_ENTRY: Span = Span::from_millis(5);

/// Longest time between two usage reports. With longer periods, shares follow
/// demand too slowly.
const REPORT_PERIOD_MAX: Span = Span::from_secs(1);

/// One in this many usage reports is full and names every organisation. The others
/// name only organisations whose use has changed, as most send an entry nothing
/// between two reports. The next full report repeats what a lost report contained.
const REPORTS_PER_FULL: u32 = 8;

/// Factor by which demand must grow to be reported although nothing was spent, as
/// shares depend on demand. Falling demand is reported with the next full report.
const DEMAND_GROWTH_REPORTED: f64 = 1.1;

/// How long the other entries may spend before this one learns of it, in report
/// periods: two periods, and the time that a report takes to arrive.
const REPORT_LAG_PERIODS: f64 = 2.5;

/// Largest fraction of the burst reserved for what the others may have spent. An
/// organisation whose demand exceeds this reserve is over its limit anyway.
const RESERVED_BURST_MAX: f64 = 0.5;

/// Largest fraction of the burst kept for kinds of requests that come first.
const KEPT_BURST_MAX: f64 = 0.4;

/// Report periods without a report after which an entry counts as silent and may be
/// spending unnoticed: three reports in a row are missing.
const SILENT_PERIODS: f64 = 3.5;

/// Time constant of the moving average of demand, in seconds.
const DEMAND_WINDOW_SECS: f64 = 1.0;

/// Smallest demand assumed of each entry, as a fraction of the rate divided by the
/// number of entries. It gives every entry a share for callers that are new to it.
const DEMAND_FLOOR: f64 = 0.2;

/// Fill level, as a fraction of the burst, at which a request larger than the bucket
/// is admitted. The bucket goes into debt for the rest. Otherwise an organisation's
/// largest requests could never run once its burst is lowered.
const LARGE_REQUEST_LEVEL: f64 = 0.9;

/// Time after its start in which an entry adopts the bucket levels that the other
/// entries report.
const STARTUP: Span = Span::from_secs(2);

/// Shortest retry delay returned to a caller, in seconds.
const RETRY_AFTER_MIN_SECS: f64 = 0.05;

/// Longest retry delay returned to a caller.
const RETRY_AFTER_MAX: Span = Span::from_secs(5);

/// Another entry, as of its last usage report.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    received: Instant,
    uses: BTreeMap<String, OrganisationUsage>,
}

/// Rate limits of all organisations at one entry.
#[derive(Debug)]
pub struct Allowance {
    host: String,
    incarnation: u64,
    started: Instant,
    accounts: BTreeMap<String, Account>,
    /// The other entries by host. `None`: registered, but no report received since
    /// this entry started.
    peers: BTreeMap<String, Option<Peer>>,
    /// Hosts of the other listed entries. Invariant: all are in `peers`, which also holds
    /// entries that have reported without being listed.
    listed: BTreeSet<String>,
    /// Last reported use of each organisation.
    reported: BTreeMap<String, OrganisationUsage>,
    /// Usage reports until the next full one.
    until_full: u32,
    /// Whether another entry was silent at the last check.
    peer_silent: bool,
    /// Whether this entry is missing from the list of entries. The others may then
    /// use its share.
    removed: bool,
}

impl Allowance {
    /// Creates the limits of the entry on `host`, which starts at `now`.
    pub fn new(host: &str, incarnation: u64, now: Instant) -> Allowance {
        Allowance {
            host: host.to_owned(),
            incarnation,
            started: now,
            accounts: BTreeMap::new(),
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            reported: BTreeMap::new(),
            until_full: 0,
            peer_silent: false,
            removed: false,
        }
    }

    /// Updates the list of registered entries.
    pub fn on_entries<'a>(&mut self, hosts: impl Iterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.peers);
        let mut listed = false;
        self.listed.clear();
        for host in hosts {
            match host == self.host {
                true => listed = true,
                false => {
                    let peer = before.remove(host).flatten();
                    self.peers.insert(host.to_owned(), peer);
                    self.listed.insert(host.to_owned());
                }
            }
        }
        self.removed = !listed;
    }

    /// Returns the hosts of entries from which no report has arrived for `limit` or
    /// longer.
    pub fn silent_since(&self, now: Instant, limit: Span) -> impl Iterator<Item = &str> {
        self.peers.iter().filter_map(move |(host, peer)| {
            let since = peer.as_ref().map_or(self.started, |peer| peer.received);
            (now.since(since) >= limit).then_some(host.as_str())
        })
    }

    /// Returns the number of entries, including this one.
    pub fn entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the time between two usage reports to the other entries.
    pub fn report_period(&self) -> Span {
        let each = REPORT_PERIOD_PER_ENTRY.as_micros() * self.entries() as u64;
        Span::from_micros(each).clamp(REPORT_PERIOD_MIN, REPORT_PERIOD_MAX)
    }

    /// Takes `cost` tokens from the bucket of `who`.
    ///
    /// Fails with the time after which to retry if the limit does not allow it.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        who: &Organisation,
        cost: u64,
    ) -> Result<(), OverLimit> {
        if who.rate == 0 {
            return Ok(());
        }
        let request = TokenRequest { cost, ..TokenRequest::default() };
        self.acquire(now, who, &request)
    }

    /// Takes the tokens of `request` from the bucket of `who`.
    ///
    /// Fails with the time after which to retry if the limit does not allow it.
    pub fn acquire(
        &mut self,
        now: Instant,
        who: &Organisation,
        request: &TokenRequest,
    ) -> Result<(), OverLimit> {
        if who.rate == 0 {
            return Ok(());
        }
        let peer_silent = self.check_peers(now);
        let share = self.share(who);
        let lag = self.report_period().as_secs_f64() * REPORT_LAG_PERIODS;
        let reserved = (self.others_demand(who) * lag).min(who.burst as f64 * RESERVED_BURST_MAX);
        let delisted = self.removed && !self.peers.is_empty();
        let mut kinds = self.reported_kinds(who);
        let account = self.account(now, who, share);
        let cost = request.cost as f64;
        account.demand += cost / DEMAND_WINDOW_SECS;
        let kind = account.kinds.on_request(now, request);
        for (key, demand) in account.kinds.demand(now) {
            *kinds.entry(key).or_default() += demand;
        }
        let claim = account.divide(now, &kinds, kind);
        let level_min = claim.map_or(0.0, Claim::level_min);
        let burst = who.burst as f64;
        let needed = cost.min(burst * LARGE_REQUEST_LEVEL);
        let own_needed = cost.min(burst * share * LARGE_REQUEST_LEVEL);
        // Nothing is refused while the bucket holds enough for the kinds that come first.
        let ahead = match claim {
            None | Some(Claim::Entitled) => 0.0,
            _ => {
                let lacking = kinds.values().sum::<f64>() - who.rate as f64;
                let first = kinds::demand_ahead(&kinds, kind);
                (first.min(lacking) * lag).min(burst * KEPT_BURST_MAX)
            }
        };
        let shared = !peer_silent && account.level >= reserved + needed + ahead;
        let own = account.own_level >= own_needed.max(burst * share * level_min)
            && (peer_silent || account.level >= needed.min(0.0));
        if !delisted && (shared || own) {
            account.level -= cost;
            account.own_level = match own {
                true => account.own_level - cost,
                false => (account.own_level - cost).max(0.0),
            };
            account.spent += cost as i64;
            if claim.is_some() {
                account.kinds.spend(kind, cost);
            }
            return Ok(());
        }
        if let Some(claim) = claim {
            let after = account.kinds.promise(now, kind, request);
            let retry_after = after.unwrap_or(RETRY_AFTER_MAX);
            return Err(OverLimit { retry_after, hopeless: after.is_none(), why: claim.why() });
        }
        let rate = who.rate as f64;
        let refill = (own_needed - account.own_level) / (rate * share).max(1.0);
        let wait = refill.max(-account.level / rate);
        let after = Span::from_micros((wait.max(RETRY_AFTER_MIN_SECS) * 1e6) as u64);
        let retry_after = after.min(RETRY_AFTER_MAX);
        Err(OverLimit { retry_after, hopeless: false, why: "no tokens left" })
    }

    /// Returns `cost` tokens of a request that did not run.
    pub fn refund(&mut self, now: Instant, who: &Organisation, cost: u64) {
        if who.rate == 0 {
            return;
        }
        let share = self.share(who);
        let account = self.account(now, who, share);
        account.level = (account.level + cost as f64).min(who.burst as f64);
        account.own_level = (account.own_level + cost as f64).min(who.burst as f64 * share);
        account.spent -= cost as i64;
    }

    /// Builds the next usage report for the other entries. One in `REPORTS_PER_FULL` is
    /// full, and the others name only what has changed.
    pub fn usage_report(&mut self, now: Instant, number: Number) -> UsageReport {
        let peer_silent = self.check_peers(now);
        let full = self.until_full == 0;
        self.until_full = if full { REPORTS_PER_FULL - 1 } else { self.until_full - 1 };
        let mut uses = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.decay(now);
            let level = account.refilled_level(now);
            let Account { spent, demand, .. } = *account;
            let last = self.reported.get(name);
            let unchanged = last.is_some_and(|last| {
                last.spent == spent && demand <= last.demand * DEMAND_GROWTH_REPORTED
            });
            if unchanged && !full {
                continue;
            }
            if !peer_silent {
                account.reported_demand = demand;
            }
            let kinds = account.kinds.demand(now);
            let differ = kinds::differ(&kinds) || named_by_others(&self.peers, name);
            let kinds = if differ { kinds::named(&kinds) } else { BTreeMap::new() };
            uses.insert(name.clone(), OrganisationUsage { spent, demand, level, kinds });
        }
        self.reported.extend(uses.iter().map(|(name, used)| (name.clone(), used.clone())));
        let host = self.host.clone();
        let incarnation = self.incarnation;
        UsageReport { host, incarnation, number, whole: full, uses, ..UsageReport::default() }
    }

    /// Makes the next usage report a full one, as another entry has received none.
    pub fn on_full_report_request(&mut self) {
        self.until_full = 0;
    }

    /// Applies another entry's usage report.
    ///
    /// Returns false, and applies nothing, if the report is partial and this entry has
    /// no full one since the other's start. Without that it cannot compute what was
    /// spent since.
    pub fn on_usage_report(&mut self, now: Instant, report: UsageReport) -> bool {
        let starting = now.since(self.started) < STARTUP;
        let before = self.peers.get(&report.host).cloned().flatten();
        let same = before.as_ref().is_some_and(|peer| peer.incarnation == report.incarnation);
        if !report.whole && !same {
            return false;
        }
        for (name, used) in &report.uses {
            let known = before.as_ref().filter(|_| same).and_then(|peer| peer.uses.get(name));
            let Some(account) = self.accounts.get_mut(name) else { continue };
            match known {
                Some(known) => account.level -= (used.spent - known.spent) as f64,
                // This entry has no record of earlier use; the other entry has.
                None if starting && !same => account.level = account.level.min(used.level),
                None => account.level -= used.spent as f64,
            }
        }
        let mut uses = match before {
            Some(peer) if !report.whole => peer.uses,
            _ => BTreeMap::new(),
        };
        uses.extend(report.uses);
        let peer = Peer { incarnation: report.incarnation, received: now, uses };
        self.peers.insert(report.host, Some(peer));
        true
    }

    /// Returns the bucket level of each organisation, for dumps and metrics.
    pub fn levels(&self) -> impl Iterator<Item = (&str, f64)> {
        self.accounts.iter().map(|(name, account)| (name.as_str(), account.level))
    }

    /// Returns the bucket level of one organisation.
    pub fn level(&self, organisation: &str) -> Option<f64> {
        self.accounts.get(organisation).map(|account| account.level)
    }

    /// Checks whether another entry is silent and may be spending unnoticed. When that
    /// begins, limits this entry to its share of the current level, as the other entry
    /// does: the bucket may be nearly empty although nothing was spent here.
    fn check_peers(&mut self, now: Instant) -> bool {
        self.drop_unlisted(now);
        let peer_silent = self.has_silent_peer(now);
        if peer_silent && !std::mem::replace(&mut self.peer_silent, peer_silent) {
            let names: Vec<String> = self.accounts.keys().cloned().collect();
            for name in names {
                let share = self.share_of(&name, 0.0);
                let account = self.accounts.get_mut(&name).expect("it was listed");
                account.own_level = account.own_level.min(account.level.max(0.0) * share);
            }
        }
        self.peer_silent = peer_silent;
        peer_silent
    }

    fn has_silent_peer(&self, now: Instant) -> bool {
        self.silent_since(now, self.silence_max()).next().is_some()
    }

    /// Returns the time without a report after which an entry counts as silent.
    fn silence_max(&self) -> Span {
        Span::from_micros((self.report_period().as_micros() as f64 * SILENT_PERIODS) as u64)
    }

    /// Drops entries that are not listed and report no more. They have been taken off the list
    /// and admit nothing.
    fn drop_unlisted(&mut self, now: Instant) {
        let (listed, limit) = (&self.listed, self.silence_max());
        self.peers.retain(|host, peer| {
            let silent = peer.as_ref().is_none_or(|peer| now.since(peer.received) >= limit);
            listed.contains(host) || !silent
        });
    }

    /// Returns this entry's share of the rate of `who`, from 0 to 1.
    fn share(&self, who: &Organisation) -> f64 {
        self.share_of(&who.name, who.rate as f64 * DEMAND_FLOOR / self.entries() as f64)
    }

    /// Returns this entry's share of what `organisation` may use, from 0 to 1, with
    /// `floor` added to each entry's demand.
    ///
    /// While another entry is silent, this entry's demand counts as last reported: if
    /// the network is split, both halves must not enlarge their shares as demand grows.
    fn share_of(&self, organisation: &str, floor: f64) -> f64 {
        let demand = |account: &Account| {
            if self.peer_silent { account.reported_demand } else { account.demand }
        };
        let own = self.accounts.get(organisation).map_or(0.0, demand) + floor;
        let other = |peer: &Option<Peer>| {
            let known = peer.as_ref().and_then(|peer| peer.uses.get(organisation));
            known.map_or(0.0, |used| used.demand) + floor
        };
        own / (own + self.peers.values().map(other).sum::<f64>()).max(1.0)
    }

    /// Returns the tokens per second that the other entries' callers request for `who`.
    fn others_demand(&self, who: &Organisation) -> f64 {
        let known = self.peers.values().flatten();
        known.filter_map(|peer| peer.uses.get(&who.name)).map(|used| used.demand).sum()
    }

    /// Returns the demand of each kind of requests that the other entries report for `who`.
    fn reported_kinds(&self, who: &Organisation) -> Demand {
        let known = self.peers.values().flatten().filter_map(|peer| peer.uses.get(&who.name));
        let mut demand = Demand::new();
        known.for_each(|used| kinds::add_reported(&mut demand, used));
        demand
    }

    /// Returns the account of `who`, refilled up to `now`.
    fn account(&mut self, now: Instant, who: &Organisation, share: f64) -> &mut Account {
        let burst = who.burst as f64;
        let account = self.accounts.entry(who.name.clone()).or_insert_with(|| Account {
            level: burst,
            own_level: burst * share,
            refilled: now,
            rate: 0.0,
            burst,
            spent: 0,
            demand: 0.0,
            demand_at: now,
            reported_demand: 0.0,
            kinds: Kinds::default(),
            divided: None,
        });
        let passed = now.since(account.refilled).as_secs_f64();
        account.decay(now);
        account.refilled = now;
        account.rate = who.rate as f64;
        account.burst = burst;
        let gained = account.rate * passed;
        account.level = (account.level + gained).min(burst);
        account.own_level = (account.own_level + gained * share).min(burst * share);
        account
    }
}

/// Returns whether another entry names the kinds of requests of `organisation`.
fn named_by_others(peers: &BTreeMap<String, Option<Peer>>, organisation: &str) -> bool {
    let mut known = peers.values().flatten().filter_map(|peer| peer.uses.get(organisation));
    known.any(|used| !used.kinds.is_empty())
}
